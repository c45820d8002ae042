"""What the relay needs to know of requests and answers, and who tells it."""

from typing import Protocol

import msgspec
from tornado.httputil import HTTPHeaders


class RequestHead(msgspec.Struct, frozen=True, kw_only=True):
    """What a caller's headers say of a request."""

    request_id: str
    #: Account key; empty if there is none.
    key: str
    #: Seconds that the caller will wait; ``None``: not stated.
    deadline_s: float | None
    prompt_tokens: int
    #: Largest number of output tokens.
    max_tokens: int
    #: Parts of the prompt that other requests may share, in order: the key of
    #: each and its size in tokens.
    parts: tuple[tuple[str, int], ...]


class CallHead(msgspec.Struct, frozen=True, kw_only=True):
    """What this system tells a runner of a request."""

    #: The only runner that may take the request.
    runner: str
    account: str
    #: Order among the requests at one runner; 0 is first.
    urgency: int
    #: Seconds until the answer is of no use.
    deadline_s: float
    #: Last event that the caller has; empty at the start of a stream.
    last_event_id: str = ''


class AnswerHead(msgspec.Struct, frozen=True, kw_only=True):
    """What a runner's headers say of an answer."""

    request_id: str
    #: Whether the runner states that it has not run the request.
    not_run: bool
    #: Whether the runner has signed the answer.
    sealed: bool


class Dialect(Protocol):
    """Translates headers."""

    def read_request(self, headers: HTTPHeaders) -> RequestHead:
        """Decode what a caller's headers say.

        :raises MalformedRequest: if one that matters can't be read.
        """

    def build_call(
        self,
        headers: HTTPHeaders,
        call: CallHead,
    ) -> HTTPHeaders:
        """Return the headers of the call to a runner."""

    def read_answer(self, headers: HTTPHeaders) -> AnswerHead:
        """Decode what a runner's headers say."""

    def filter_response_headers(self, headers: HTTPHeaders) -> HTTPHeaders:
        """Return the headers of a runner's answer that reach the caller."""
