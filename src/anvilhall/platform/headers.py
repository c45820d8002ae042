"""HTTP headers of relayed requests and of the responses of runners."""

import math
import re
from http import HTTPStatus

import msgspec
from tornado.httputil import HTTPHeaders

from anvilhall.decoding import decode_json
from anvilhall.dialect import AnswerHead, CallHead, RequestHead
from anvilhall.exceptions import MalformedRequest
from anvilhall.logs import log_event

_REQUEST_ID = 'Anvilhall-Request-Id'
#: Remaining milliseconds for which the sender waits for the response.
_DEADLINE = 'Anvilhall-Deadline-Ms'
_KEY = 'Anvilhall-Credential'
_TENANT = 'Anvilhall-Tenant'
_EXPECT_INSTANCE = 'Anvilhall-Expect-Instance'
_NOT_RUN = 'Anvilhall-Not-Executed'
#: Priority of a request at its runner, from 0, the most urgent, to 9.
_URGENCY = 'Anvilhall-Urgency'
_MAX_URGENCY = 9
#: Prompt tokens and maximum output tokens, as ``PROMPT,OUTPUT``.
_TOKENS = 'Anvilhall-Token-Count'
#: Comma-separated parts of the prompt in order, each as ``ID:TOKENS``.
_PARTS = 'Anvilhall-Prefix-Hash'
_LAST_EVENT_ID = 'Last-Event-Id'
#: Identifier of the request that began the stream which a caller resumes.
_RESUMES = 'Resumes'
_KEEP_ALIVE = 'Keep-Alive'
_SEAL = 'Anvilhall-Server-Seal'
#: Requests per second that a runner in need takes from all instances together.
_RATE = 'Server-Limit'
#: Set by a runner that leaves, in all its answers.
_LEAVING = 'Server-Leaving'
_LEAVES = '1'
#: Seconds for which a runner that refuses a request wants no other one.
_RETRY_AFTER = 'Retry-After'
_MS_PER_S = 1000.0
#: Number of tokens; longer ones exceed any prompt.
_COUNT = re.compile(r'\d{1,12}', re.ASCII)
#: Characters of a malformed header in an error message.
_SHOWN_CHARACTERS = 80

#: Headers that are never forwarded: hop-by-hop headers, and those that depend
#: on the framing of the message.
_CONNECTION_HEADERS = frozenset(
    (
        'connection',
        'content-length',
        'expect',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    ),
)
#: Headers to runners that only this system may set; those of callers are
#: dropped.
_RESERVED_HEADERS = frozenset(
    (
        'anvilhall-credential',
        'anvilhall-deadline-ms',
        'anvilhall-expect-instance',
        'anvilhall-expect-version',
        'anvilhall-hold',
        'anvilhall-kv-backup',
        'anvilhall-pin-ms',
        'anvilhall-tenant',
        'anvilhall-urgency',
        'kv-fetch',
        'kv-from',
    ),
)


class _Report(msgspec.Struct):
    """What a runner says of itself."""

    #: Start of its process in Unix milliseconds.
    born: int = 0


class PlatformHeaders:
    """Implements :class:`anvilhall.dialect.Dialect` for the platform."""

    __slots__ = ()

    start_target = '/report'

    def read_start(self, status: int, body: bytes) -> int:
        """Decode a runner's report on itself.

        :return: start of its process in Unix milliseconds; 0: not stated.
        :raises MalformedData: if the report can't be decoded.
        """
        if status != HTTPStatus.OK:
            return 0
        report: _Report = decode_json(body, _Report)
        return report.born

    def read_request(self, headers: HTTPHeaders) -> RequestHead:
        """Decode the headers of a caller's request.

        :raises MalformedRequest: if the deadline is not a number.
        """
        deadline_ms = _read_number(headers, _DEADLINE)
        prompt, output = _read_tokens(headers.get(_TOKENS, ''))
        return RequestHead(
            request_id=headers.get(_REQUEST_ID, ''),
            key=headers.get(_KEY, ''),
            deadline_s=None if deadline_ms is None else deadline_ms / _MS_PER_S,
            prompt_tokens=prompt,
            max_tokens=output,
            parts=_read_parts(headers.get(_PARTS, '')),
            last_event_id=headers.get(_LAST_EVENT_ID, ''),
            resumes=headers.get(_RESUMES, ''),
        )

    def build_call(
        self,
        headers: HTTPHeaders,
        call: CallHead,
    ) -> HTTPHeaders:
        """Return the headers of the request to a runner.

        :param headers: headers of the caller's request.
        :param call: fields that this system adds.
        """
        dropped = _list_connection_headers(headers)
        forwarded = HTTPHeaders()
        for name, text in headers.get_all():
            if name.lower() not in dropped:
                forwarded.add(name, text)
        forwarded[_DEADLINE] = str(max(1, int(call.deadline_s * _MS_PER_S)))
        forwarded[_EXPECT_INSTANCE] = call.runner
        forwarded[_URGENCY] = str(min(call.urgency, _MAX_URGENCY))
        if call.account:
            forwarded[_TENANT] = call.account
        if call.last_event_id:
            forwarded[_LAST_EVENT_ID] = call.last_event_id
        return forwarded

    def read_answer(self, headers: HTTPHeaders) -> AnswerHead:
        """Decode the headers of a runner's response."""
        return AnswerHead(
            request_id=headers.get(_REQUEST_ID, ''),
            not_run=_NOT_RUN in headers,
            sealed=_SEAL in headers,
            requests_per_s=_read_rate(headers.get(_RATE)),
            leaving=headers.get(_LEAVING, '').strip() == _LEAVES,
            pause_s=_read_pause(headers.get(_RETRY_AFTER)),
        )

    def filter_response_headers(self, headers: HTTPHeaders) -> HTTPHeaders:
        """Return the headers of a runner's response to send to the caller."""
        dropped = _list_connection_headers(headers) - _RESERVED_HEADERS
        forwarded = HTTPHeaders()
        for name, text in headers.get_all():
            if name.lower() not in dropped or name.lower() == 'content-length':
                forwarded.add(name, text)
        return forwarded


def _list_connection_headers(headers: HTTPHeaders) -> frozenset[str]:
    """Return the names of headers not to forward, in lower case."""
    dropped = _CONNECTION_HEADERS | _RESERVED_HEADERS
    connection = headers.get('Connection', '')
    if connection:
        listed = {name.strip().lower() for name in connection.split(',')}
        dropped |= listed
    return dropped


def _read_rate(text: str | None) -> float:
    if text is None:
        return math.inf
    try:
        rate = float(text)
    except ValueError:
        rate = math.nan
    if math.isfinite(rate) and rate >= 0:
        return rate
    log_event('header_unusable', header=_RATE, content=text[:_SHOWN_CHARACTERS])
    return math.inf


def _read_pause(text: str | None) -> float:
    if text is None:
        return 0.0
    try:
        pause_s = float(text)
    except ValueError:
        pause_s = math.nan
    if math.isfinite(pause_s) and pause_s >= 0:
        return pause_s
    log_event(
        'header_unusable',
        header=_RETRY_AFTER,
        content=text[:_SHOWN_CHARACTERS],
    )
    return 0.0


def _read_number(headers: HTTPHeaders, name: str) -> float | None:
    text = headers.get(name)
    if text is None:
        return None
    try:
        number = float(text)
    except ValueError:
        number = math.nan
    if not math.isfinite(number):
        shown = text[:_SHOWN_CHARACTERS]
        raise MalformedRequest(f'{name} is not a number: {shown!r}')
    return number


def _read_count(text: str) -> int | None:
    return int(text) if _COUNT.fullmatch(text) else None


def _read_tokens(text: str) -> tuple[int, int]:
    prompt, _, output = text.partition(',')
    prompt_tokens = _read_count(prompt.strip())
    output_tokens = _read_count(output.strip())
    if prompt_tokens is None or output_tokens is None:
        # A request without a valid header counts as a small one.
        return 1, 1
    return prompt_tokens, output_tokens


def _read_parts(text: str) -> tuple[tuple[str, int], ...]:
    parts: list[tuple[str, int]] = []
    for entry in text.split(','):
        key, _, size = entry.strip().rpartition(':')
        tokens = _read_count(size)
        if not key or tokens is None:
            break
        parts.append((key, tokens))
    return tuple(parts)
