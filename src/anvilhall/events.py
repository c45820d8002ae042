"""Server-sent events of a model engine's answer, handled as bytes.

Events are forwarded whole and undecoded. They are decoded only to continue an
answer on another runner or to build the response of a non-streaming request.
"""

import msgspec

from anvilhall.decoding import decode_json
from anvilhall.exceptions import MalformedData, UpstreamGarbled

#: Ends an event.
SEPARATOR = b'\n\n'
_SEPARATORS = (SEPARATOR, b'\r\n\r\n')
#: Size of the longest separator.
_BORDER_BYTES = 4
#: Last event of a complete answer.
DONE_EVENT = b'data: [DONE]\n\n'
_DATA = b'data:'
_COMMENT = b':'
_DONE = b'[DONE]'
_ERROR = b'"error"'
#: Bytes of an incomplete event above which the stream is rejected.
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
    """The decoded content of a complete or partial answer."""

    text: str
    finish_reason: str | None
    tokens: int
    model: str


class EventReader:
    """Splits a chat stream into whole events and detects its end."""

    __slots__ = ('_last_events', '_tail', 'done', 'event_count')

    def __init__(self) -> None:
        """Start before the first byte."""
        #: Start of an event whose end has not arrived.
        self._tail = b''
        #: Events that the last call of :meth:`feed` completed, if any.
        self._last_events = b''
        #: Whether the ``[DONE]`` event has been read.
        self.done = False
        #: Events read, except ``[DONE]``.
        self.event_count = 0

    def feed(self, chunk: bytes) -> bytes:
        """Add a chunk of the stream and return the events that it completes.

        :raises UpstreamGarbled: if the stream is not a chat completion.
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
            raise UpstreamGarbled(
                f'an incomplete event has {len(self._tail)} bytes; '
                f'the limit is {_EVENT_LIMIT_BYTES}',
            )
        events = chunk[:end]
        if events:
            self._inspect(events)
            self._last_events = events
        return events

    def is_finished(self) -> bool:
        """Return whether the last event read has a finish reason."""
        events = self._last_events.split(SEPARATOR)
        last = _decode_event(events[-2]) if len(events) > 1 else _Chunk()
        return any(choice.finish_reason for choice in last.choices)

    def _inspect(self, events: bytes) -> None:
        if self.event_count == 0:
            _decode_event(events.partition(SEPARATOR)[0])
        if _ERROR in events:
            _check_error(events)
        if events.startswith(_DATA) and events.find(SEPARATOR) == (
            len(events) - 2
        ):
            count = 1
        else:
            count = _count_events(events)
        if events.endswith(DONE_EVENT):
            self.done = True
            count -= 1
        self.event_count += count


def decode_answer(chunks: list[bytes]) -> Answer:
    """Decode the events of a complete or partial answer.

    :param chunks: whole events, one or more in each item, in order.
    :raises UpstreamGarbled: if an event can't be decoded.
    """
    texts: list[str] = []
    finish_reason: str | None = None
    model = ''
    for event in b''.join(chunks).split(SEPARATOR):
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
        return decode_json(payload, _Chunk)
    except MalformedData as error:
        raise UpstreamGarbled(
            f'an event has invalid data: {error.reason}',
        ) from error


def _count_events(events: bytes) -> int:
    count = 0
    for event in events.split(SEPARATOR):
        if event.startswith(_DATA):
            count += 1
        elif event and not event.startswith(_COMMENT):
            raise UpstreamGarbled(
                'an event starts neither with "data:" nor as a comment',
            )
    return count


def _check_error(events: bytes) -> None:
    for event in events.split(SEPARATOR):
        if _decode_event(event).error is not None:
            raise UpstreamGarbled('the engine sent an error in the stream')


class EventBorder:
    """Tells whether a stream of bytes stands at the end of an event."""

    __slots__ = ('_tail',)

    def __init__(self) -> None:
        """Start before the first byte, which is not the end of an event."""
        self._tail = b''

    @property
    def reached(self) -> bool:
        """Whether the last byte ended an event."""
        return self._tail.endswith(_SEPARATORS)

    def feed(self, chunk: bytes) -> None:
        """Note the next chunk of the stream."""
        self._tail = (self._tail + chunk[-_BORDER_BYTES:])[-_BORDER_BYTES:]


class EventFramer:
    """Splits any event stream into whole events and tracks the last ID."""

    __slots__ = ('_tail', 'last_id')

    def __init__(self) -> None:
        """Start before the first byte."""
        #: Start of an event whose end has not arrived.
        self._tail = b''
        #: Last ``id`` field of the whole events; empty if there was none.
        self.last_id = ''

    def feed(self, chunk: bytes) -> bytes:
        """Add a chunk of the stream and return the events that it completes.

        :raises UpstreamGarbled: if an incomplete event exceeds the limit.
        """
        if self._tail:
            chunk = self._tail + chunk
        end = _find_last_event_end(chunk)
        self._tail = chunk[end:]
        if len(self._tail) > _EVENT_LIMIT_BYTES:
            raise UpstreamGarbled(
                f'an incomplete event has {len(self._tail)} bytes; '
                f'the limit is {_EVENT_LIMIT_BYTES}',
            )
        events = chunk[:end]
        if events:
            self._update_last_id(events)
        return events

    def drop_partial(self) -> None:
        """Discard the start of an incomplete event."""
        self._tail = b''

    def _update_last_id(self, events: bytes) -> None:
        start = events.rfind(b'id:')
        while start > 0 and events[start - 1 : start] not in _LINE_ENDS:
            start = events.rfind(b'id:', 0, start)
        if start >= 0:
            line = events[start + len(b'id:') :].splitlines()[0]
            self.last_id = line.strip().decode('utf-8', 'replace')


#: Bytes that end a line.
_LINE_ENDS = frozenset((b'\n', b'\r'))


def _find_last_event_end(chunk: bytes) -> int:
    """Return the end of the last whole event; 0 if there is none."""
    ends = [
        chunk.rfind(separator) + len(separator)
        for separator in _SEPARATORS
        if separator in chunk
    ]
    return max(ends, default=0)
