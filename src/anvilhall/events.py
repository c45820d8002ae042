"""Server-sent events of a model engine's answer, handled as bytes.

Events are passed on whole and undecoded; they are decoded only when an answer
has to be continued on another runner or collected for a caller that does not
stream.
"""

import msgspec

from anvilhall.exceptions import UpstreamGarbled

#: What ends an event.
SEPARATOR = b'\n\n'
#: The event that ends a whole answer.
DONE_EVENT = b'data: [DONE]\n\n'
_DATA = b'data:'
_COMMENT = b':'
_DONE = b'[DONE]'
_ERROR = b'"error"'
#: Longest event that is waited for, in bytes.
_EVENT_LIMIT_BYTES = 1024 * 1024


class _Delta(msgspec.Struct):
    content: str | None = None


class _Choice(msgspec.Struct):
    delta: _Delta = msgspec.field(default_factory=_Delta)
    finish_reason: str | None = None


class _Chunk(msgspec.Struct):
    choices: list[_Choice] = []
    id: str = ''
    model: str = ''
    error: msgspec.Raw | None = None


class Answer(msgspec.Struct, frozen=True):
    """The decoded content of an answer so far."""

    text: str
    finish_reason: str | None
    tokens: int
    model: str


class EventReader:
    """Cuts a body into runs of whole events and watches for its end."""

    __slots__ = ('_last_run', '_tail', 'done', 'events')

    def __init__(self) -> None:
        """Start before the first byte."""
        self._tail = b''
        self._last_run = b''
        #: Whether the event that ends the answer has been read.
        self.done = False
        #: Events read, without the one that ends the answer.
        self.events = 0

    def feed(self, chunk: bytes) -> bytes:
        """Take in bytes and return the events that they complete.

        :raises UpstreamGarbled: if the bytes are not events of an answer.
        """
        if self._tail:
            chunk = self._tail + chunk
        if b'\r' in chunk:
            chunk = chunk.replace(b'\r\n', b'\n')
        end = chunk.rfind(SEPARATOR) + len(SEPARATOR)
        if end < len(SEPARATOR):
            end = 0
        self._tail = chunk[end:]
        if len(self._tail) > _EVENT_LIMIT_BYTES:
            raise UpstreamGarbled('an event is too long')
        run = chunk[:end]
        if run:
            self._inspect(run)
            self._last_run = run
        return run

    def is_finished(self) -> bool:
        """Return whether the last event read states why the answer ended."""
        events = self._last_run.split(SEPARATOR)
        last = _decode_event(events[-2]) if len(events) > 1 else _Chunk()
        return any(choice.finish_reason for choice in last.choices)

    def _inspect(self, run: bytes) -> None:
        if self.events == 0:
            _decode_event(run.partition(SEPARATOR)[0])
        if _ERROR in run:
            _check_error(run)
        if run.startswith(_DATA) and run.find(SEPARATOR) == len(run) - 2:
            events = 1
        else:
            events = _count_events(run)
        if run.endswith(DONE_EVENT):
            self.done = True
            events -= 1
        self.events += events


def decode_answer(runs: list[bytes]) -> Answer:
    """Decode the events of an answer.

    :param runs: runs of whole events, in order.
    :raises UpstreamGarbled: if an event can't be read.
    """
    texts: list[str] = []
    finish_reason: str | None = None
    model = ''
    for event in b''.join(runs).split(SEPARATOR):
        chunk = _decode_event(event)
        model = model or chunk.model
        for choice in chunk.choices:
            texts.append(choice.delta.content or '')
            finish_reason = choice.finish_reason or finish_reason
    tokens = sum(1 for text in texts if text)
    return Answer(''.join(texts), finish_reason, tokens, model)


def _decode_event(event: bytes) -> _Chunk:
    payload = event.removeprefix(_DATA).strip()
    if not payload or payload == _DONE or event.startswith(_COMMENT):
        return _Chunk()
    try:
        return msgspec.json.decode(payload, type=_Chunk)
    except msgspec.DecodeError as error:
        raise UpstreamGarbled(f'an event is not JSON: {error}') from error


def _count_events(run: bytes) -> int:
    count = 0
    for event in run.split(SEPARATOR):
        if event.startswith(_DATA):
            count += 1
        elif event and not event.startswith(_COMMENT):
            raise UpstreamGarbled('a line is not part of an event')
    return count


def _check_error(run: bytes) -> None:
    for event in run.split(SEPARATOR):
        if _decode_event(event).error is not None:
            raise UpstreamGarbled('the engine reported an error mid-answer')


class EventFramer:
    """Lets whole events through and remembers the last one's identifier."""

    __slots__ = ('_tail', 'last_id')

    def __init__(self) -> None:
        """Start before the first byte."""
        self._tail = b''
        #: Identifier of the last whole event; empty if there is none.
        self.last_id = ''

    def feed(self, chunk: bytes) -> bytes:
        """Take in bytes and return the events that they complete.

        :raises UpstreamGarbled: if an event is too long.
        """
        if self._tail:
            chunk = self._tail + chunk
        end = _find_last_border(chunk)
        self._tail = chunk[end:]
        if len(self._tail) > _EVENT_LIMIT_BYTES:
            raise UpstreamGarbled('an event is too long')
        events = chunk[:end]
        if events:
            self._remember_id(events)
        return events

    def drop_partial(self) -> None:
        """Forget the beginning of an event."""
        self._tail = b''

    def _remember_id(self, events: bytes) -> None:
        place = events.rfind(b'id:')
        while place > 0 and events[place - 1 : place] not in _LINE_ENDS:
            place = events.rfind(b'id:', 0, place)
        if place >= 0:
            line = events[place + len(b'id:') :].splitlines()[0]
            self.last_id = line.strip().decode('utf-8', 'replace')


#: What may stand before the first byte of a line.
_LINE_ENDS = frozenset((b'\n', b'\r'))


def _find_last_border(chunk: bytes) -> int:
    """Return the end of the last whole event; 0: there is none."""
    ends = [
        chunk.rfind(border) + len(border)
        for border in (SEPARATOR, b'\r\n\r\n')
        if border in chunk
    ]
    return max(ends, default=0)
