"""Interface between the relay and what the platform's runners speak."""

import math
from typing import Protocol

import msgspec
from tornado.httputil import HTTPHeaders


class RequestHead(msgspec.Struct, frozen=True, kw_only=True):
    """Fields decoded from the headers of a caller's request."""

    request_id: str
    #: Account key; empty if the request has none.
    key: str
    #: Seconds until the caller's deadline; ``None``: no deadline given.
    deadline_s: float | None
    prompt_tokens: int
    #: Limit on the output tokens.
    max_tokens: int
    #: Prompt parts that a prefix cache may hold, in order: the identifier and
    #: the size in tokens of each.
    parts: tuple[tuple[str, int], ...]
    #: Identifier of the last event that the caller has received of a stream
    #: which it resumes; empty if it has received none.
    last_event_id: str = ''
    #: Identifier of the request that brought the first event of that stream.
    resumes: str = ''


class CallHead(msgspec.Struct, frozen=True, kw_only=True):
    """Fields that the relay sets in the headers of a call to a runner."""

    #: Name of the runner; any other runner at the address must refuse.
    runner: str
    account: str
    #: Rank among the requests at the runner; 0 is served first.
    urgency: int
    #: Seconds until the deadline.
    deadline_s: float
    #: Identifier of the last event that the caller received, for resuming a
    #: stream; empty at its start.
    last_event_id: str = ''


class AnswerHead(msgspec.Struct, frozen=True, kw_only=True):
    """Fields decoded from the headers of a runner's answer."""

    request_id: str
    #: Whether the runner states that it has not run the request.
    not_run: bool
    #: Whether the answer has the runner's seal header; its value is not
    #: verified.
    sealed: bool
    #: Requests per second that the runner takes from all instances together;
    #: infinite if it names no limit.
    requests_per_s: float = math.inf
    #: Whether the runner leaves: it is to get no new requests.
    leaving: bool = False
    #: Seconds for which the runner wants no requests of this instance, if it
    #: refuses this one as it has no room; 0: not stated.
    pause_s: float = 0.0


class Dialect(Protocol):
    """Decodes and builds the headers of one platform."""

    #: Request target at which runners state the start of their process.
    start_target: str

    def read_start(self, status: int, body: bytes) -> int:
        """Decode a runner's answer from :attr:`start_target`.

        :return: start of its process in Unix milliseconds; 0: not stated.
        :raises MalformedData: if the answer can't be decoded.
        """

    def read_request(self, headers: HTTPHeaders) -> RequestHead:
        """Decode the headers of a caller's request.

        :raises MalformedRequest: if a header that the relay needs is invalid.
        """

    def build_call(
        self,
        headers: HTTPHeaders,
        call: CallHead,
    ) -> HTTPHeaders:
        """Return the headers of the call to a runner.

        :param headers: headers of the caller's request.
        :param call: fields that the relay sets.
        """

    def read_answer(self, headers: HTTPHeaders) -> AnswerHead:
        """Decode the headers of a runner's answer."""

    def filter_response_headers(self, headers: HTTPHeaders) -> HTTPHeaders:
        """Return the headers of a runner's answer to send to the caller."""
