"""Headers of relayed requests and of runners' answers."""

from tornado.httputil import HTTPHeaders

from anvilhall.dialect import AnswerHead, CallHead, RequestHead
from anvilhall.exceptions import MalformedRequest

_REQUEST_ID = 'Anvilhall-Request-Id'
#: Milliseconds for which the sender will wait from now on.
_DEADLINE = 'Anvilhall-Deadline-Ms'
_KEY = 'Anvilhall-Credential'
_TENANT = 'Anvilhall-Tenant'
_EXPECT_INSTANCE = 'Anvilhall-Expect-Instance'
_NOT_RUN = 'Anvilhall-Not-Executed'
#: Rank of a request at a runner, from 0, which is first, to 9.
_URGENCY = 'Anvilhall-Urgency'
_LAST_URGENCY = 9
#: Prompt tokens and the largest number of output tokens.
_TOKENS = 'Anvilhall-Token-Count'
#: Parts of the prompt in order, as ID:TOKENS.
_PARTS = 'Anvilhall-Prefix-Hash'
_LAST_EVENT_ID = 'Last-Event-Id'
_KEEP_ALIVE = 'Keep-Alive'
_SEAL = 'Anvilhall-Server-Seal'
_MS_PER_S = 1000.0

#: Headers that concern one connection only.
_HOP_HEADERS = frozenset(
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
#: Headers that only this system may set towards a runner.
_OWN_HEADERS = frozenset(
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


class PlatformHeaders:
    """Translates the platform's headers."""

    __slots__ = ()

    def read_request(self, headers: HTTPHeaders) -> RequestHead:
        """Decode what a caller's headers say.

        :raises MalformedRequest: if one that matters can't be read.
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
        )

    def build_call(
        self,
        headers: HTTPHeaders,
        call: CallHead,
    ) -> HTTPHeaders:
        """Return the headers of the call to a runner.

        :param headers: the caller's.
        :param call: what this system adds.
        """
        dropped = _list_connection_headers(headers)
        passed = HTTPHeaders()
        for name, text in headers.get_all():
            if name.lower() not in dropped:
                passed.add(name, text)
        passed[_DEADLINE] = str(max(1, int(call.deadline_s * _MS_PER_S)))
        passed[_EXPECT_INSTANCE] = call.runner
        passed[_URGENCY] = str(min(call.urgency, _LAST_URGENCY))
        if call.account:
            passed[_TENANT] = call.account
        if call.last_event_id:
            passed[_LAST_EVENT_ID] = call.last_event_id
        return passed

    def read_answer(self, headers: HTTPHeaders) -> AnswerHead:
        """Decode what a runner's headers say."""
        return AnswerHead(
            request_id=headers.get(_REQUEST_ID, ''),
            not_run=_NOT_RUN in headers,
            sealed=_SEAL in headers,
        )

    def filter_response_headers(self, headers: HTTPHeaders) -> HTTPHeaders:
        """Return the headers of a runner's answer that reach the caller."""
        dropped = _list_connection_headers(headers) - _OWN_HEADERS
        passed = HTTPHeaders()
        for name, text in headers.get_all():
            if name.lower() not in dropped or name.lower() == 'content-length':
                passed.add(name, text)
        return passed


def _list_connection_headers(headers: HTTPHeaders) -> frozenset[str]:
    """Return the names of headers that are not passed on, in lower case."""
    dropped = _HOP_HEADERS | _OWN_HEADERS
    named = headers.get('Connection', '')
    if named:
        listed = {name.strip().lower() for name in named.split(',')}
        dropped |= listed
    return dropped


def _read_number(headers: HTTPHeaders, name: str) -> float | None:
    text = headers.get(name)
    if text is None:
        return None
    try:
        return float(text)
    except ValueError as error:
        raise MalformedRequest(f'{name} is not a number') from error


def _read_tokens(text: str) -> tuple[int, int]:
    prompt, _, output = text.partition(',')
    if not prompt.strip().isdigit() or not output.strip().isdigit():
        # Without the header the request counts as small.
        return 1, 1
    return int(prompt), int(output)


def _read_parts(text: str) -> tuple[tuple[str, int], ...]:
    parts: list[tuple[str, int]] = []
    for entry in text.split(','):
        key, _, tokens = entry.strip().rpartition(':')
        if not key or not tokens.isdigit():
            break
        parts.append((key, int(tokens)))
    return tuple(parts)
