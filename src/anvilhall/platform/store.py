"""Client of the platform's metadata store."""

import base64
import struct
from collections.abc import Iterable, Iterator
from typing import Annotated, TypeVar
from urllib.parse import urlencode

import msgspec

from anvilhall.core.positions import UNREAD, Position
from anvilhall.decoding import decode_items, decode_json
from anvilhall.exceptions import (
    AppendConflict,
    AppendUncertain,
    LogUnavailable,
    MalformedData,
    RecordsExpired,
    StoreRestored,
    UpstreamCut,
    UpstreamRefused,
    UpstreamStalled,
)
from anvilhall.logs import log_event
from anvilhall.outbound import Call, Outbound, Reply

#: Topics; the last two belong to this system. Each has one partition.
CONFIG_TOPIC = 'keyed.op'
RUNNERS_TOPIC = 'keyed.servers'
INSTANCES_TOPIC = 'keyed.instances'
#: Journal of streams; its records have no keys.
STREAMS_TOPIC = 'streams'
#: Terms and decisions of the duties; its records have no keys.
DUTIES_TOPIC = 'duties'

#: Key of the manifest in its topic.
CONFIG_KEY = 'config'
_PARTITION = 0
#: Timeout of a call, in seconds. The store answers within 4 ms, and an outage
#: must be noticed well within the two seconds for which a view may be stale.
_CALL_TIMEOUT_S = 0.7
#: Timeout of connecting, in seconds; a round trip takes a few milliseconds.
_CONNECT_TIMEOUT_S = 0.3
#: Seconds for which an idle connection may be reused.
_IDLE_LIMIT_S = 30
_MS_PER_S = 1000
#: Smallest limit on the size of a response, in KB.
_LEAST_KB = 1
_HTTP_OK = 200
_HTTP_NOT_FOUND = 404
_HTTP_GONE = 410
_HTTP_PRECONDITION_FAILED = 412
_HTTP_UNAVAILABLE = 503
#: Number of times that the store has come back from an older copy, in which
#: the records after the copy are missing.
_ERA = 'Store-Era'
_MAX_ERA_DIGITS = 18
_LENGTH = struct.Struct('>I')
_OFFSETS = struct.Struct('>QQ')

_Offset = Annotated[int, msgspec.Meta(ge=-1, le=2**63 - 1)]
_Decoded = TypeVar('_Decoded')


class KeyedRecord(msgspec.Struct, frozen=True):
    """A record that sets or removes the value of a key."""

    key: str
    #: ``None``: the key was removed.
    content: bytes | None
    position: Position = UNREAD


class KeyedPage(msgspec.Struct, frozen=True):
    """Records and the position at which to continue reading."""

    records: tuple[KeyedRecord, ...]
    end: Position


class RawPage(msgspec.Struct, frozen=True):
    """Records without keys and the position at which to continue reading."""

    records: tuple[bytes, ...]
    next: Position
    #: Whether there were no further records at the time of the read.
    complete: bool


class _Item(msgspec.Struct):
    key: str
    #: Content of the record in base64.
    value: str = ''
    offset: _Offset = -1


class _Expired(msgspec.Struct):
    #: Offset of the oldest retained record.
    first: _Offset


class _End(msgspec.Struct):
    end: _Offset


class _Appended(msgspec.Struct):
    offset: _Offset
    end: _Offset


class _NewestPage(msgspec.Struct):
    items: list[msgspec.Raw]
    truncated: bool
    end: _Offset


class StoreClient:
    """Client that reads and writes keyed records.

    :param address: host and port of the store.
    :param outbound: HTTP client.
    """

    __slots__ = ('_address', '_era', '_outbound')

    def __init__(self, address: str, outbound: Outbound) -> None:
        """Create a client of the store at ``HOST:PORT``."""
        self._address = address
        self._outbound = outbound
        #: Era that the last answer stated; -1: none.
        self._era = -1

    async def list_newest(self, topic: str) -> KeyedPage:
        """Return the newest record of each key, and the next position to read.

        :raises StoreRestored: if the store was restored between two pages.
        :raises LogUnavailable: if the call fails or the response is invalid.
        """
        records: list[KeyedRecord] = []
        # The pages are not a consistent snapshot: changes between them are read
        # again from the end offset that the first page states.
        end: Position | None = None
        after = ''
        while True:
            era, page = await self._read_newest(topic, after)
            if end is None:
                end = Position(era, page.end)
            _check_era(topic, end, era)
            listed = list(_decode_page_items(topic, page.items, era))
            records.extend(listed)
            if not page.truncated or not listed:
                return KeyedPage(tuple(records), end)
            after = listed[-1].key

    async def read(
        self,
        topic: str,
        start: Position,
        wait_s: float,
        timeout_s: float = _CALL_TIMEOUT_S,
    ) -> KeyedPage:
        """Return the records from a position on.

        :param wait_s: seconds to wait for a record if there is none yet.
        :param timeout_s: seconds beyond ``wait_s`` after which the call fails.
        :raises StoreRestored: if the store is in another era.
        :raises RecordsExpired: if the store no longer has that offset.
        :raises LogUnavailable: if the call fails or the response is invalid.
        """
        offset = start.offset
        query = {'from': offset, 'topic': topic, 'part': _PARTITION}
        if wait_s > 0:
            query['wait_ms'] = int(wait_s * _MS_PER_S)
        era, reply = await self._get('log-read', query, wait_s + timeout_s)
        _check_era(topic, start, era)
        _check_retained(topic, offset, reply)
        _check_status(reply)
        return _decode_records(topic, reply.body, start)

    async def read_raw(
        self, topic: str, start: Position, wait_s: float = 0.0
    ) -> RawPage:
        """Return the records without keys from a position on.

        A topic that does not exist yet is empty.

        :param start: :data:`UNREAD` for the start of the topic in any era.
        :param wait_s: seconds to wait for a record if there is none yet.
        :raises StoreRestored: if the store is in another era.
        :raises RecordsExpired: if the store no longer has that offset.
        :raises LogUnavailable: if the call fails or the response is invalid.
        """
        offset = max(0, start.offset)
        query = {'from': offset, 'topic': topic, 'part': _PARTITION}
        if wait_s > 0:
            query['wait_ms'] = int(wait_s * _MS_PER_S)
        timeout_s = wait_s + _CALL_TIMEOUT_S
        era, reply = await self._get('log-read', query, timeout_s)
        if start != UNREAD:
            _check_era(topic, start, era)
        if reply.status == _HTTP_NOT_FOUND:
            return RawPage((), Position(era, 0), complete=True)
        _check_retained(topic, offset, reply)
        _check_status(reply)
        end, _ = _decode_offsets(reply.body)
        records = tuple(_split_records(reply.body))
        reached = offset + len(records)
        # A response without records can't be continued, whatever its end is.
        complete = reached >= end or not records
        return RawPage(records, Position(era, reached), complete=complete)

    async def find_first(self, topic: str) -> Position:
        """Return the position of the oldest retained record.

        :raises LogUnavailable: if the call fails or the response is invalid.
        """
        query = {
            'from': 0,
            'topic': topic,
            'part': _PARTITION,
            'max_kb': _LEAST_KB,
        }
        era, reply = await self._get('log-read', query, _CALL_TIMEOUT_S)
        if reply.status == _HTTP_GONE:
            return Position(era, _decode(reply.body, _Expired).first)
        _check_status(reply)
        _, first = _decode_offsets(reply.body)
        return Position(era, first)

    async def put(self, topic: str, record: KeyedRecord) -> int:
        """Write a record; a ``content`` of ``None`` removes its key.

        :return: the era of the store, which has the record until it is
            restored.
        :raises LogUnavailable: if nothing was written.
        :raises AppendUncertain: if the record may have been written.
        """
        key = record.key.encode()
        frame = bytes((len(key),)) + key + (record.content or b'')
        return await self.append(topic, frame)

    async def append(self, topic: str, frame: bytes) -> int:
        """Append a record, which has a key only in topics of keyed records.

        :return: the era of the store, which has the record until it is
            restored.
        :raises LogUnavailable: if nothing was written.
        :raises AppendUncertain: if the record may have been written.
        """
        reply = await self._append({'topic': topic}, (frame,))
        era = self._note_era(reply)
        _check_status(reply)
        return era

    async def append_at(
        self, topic: str, frames: Iterable[bytes], end: Position
    ) -> Position:
        """Append records, all or none, if the topic ends at a position.

        :return: the new end. If its era is another one, so may be the records
            before.
        :raises AppendConflict: if the topic ends elsewhere.
        :raises LogUnavailable: if nothing was written.
        :raises AppendUncertain: if they may have been written, or may be
            written later.
        """
        reply = await self._append({'topic': topic, 'at': end.offset}, frames)
        era = self._note_era(reply)
        if reply.status == _HTTP_PRECONDITION_FAILED:
            found = _decode(reply.body, _End).end
            raise AppendConflict(f'topic {topic} ends at {found}', found)
        if reply.status == _HTTP_UNAVAILABLE:
            raise LogUnavailable('the store has written nothing')
        try:
            appended = decode_json(reply.body, _Appended)
        except MalformedData as error:
            raise AppendUncertain(
                f'the store answered {reply.status}: {error.reason}',
            ) from error
        if appended.offset != end.offset:
            raise AppendUncertain(
                f'appended to {topic} at {appended.offset}, not {end.offset}',
            )
        return Position(era, appended.end)

    async def _append(
        self, query: dict[str, object], frames: Iterable[bytes]
    ) -> Reply:
        encoded = urlencode({**query, 'part': _PARTITION})
        call = Call(
            url=f'http://{self._address}/log-append?{encoded}',
            method='POST',
            body=b''.join(_LENGTH.pack(len(each)) + each for each in frames),
            connect_timeout_s=_CONNECT_TIMEOUT_S,
            timeout_s=_CALL_TIMEOUT_S,
            idle_limit_s=_IDLE_LIMIT_S,
        )
        try:
            return await self._outbound.fetch(call)
        except UpstreamRefused as error:
            raise LogUnavailable(error.reason) from error
        except (UpstreamCut, UpstreamStalled) as uncertain:
            raise AppendUncertain(uncertain.reason) from uncertain

    async def _read_newest(
        self, topic: str, after: str
    ) -> tuple[int, _NewestPage]:
        query: dict[str, object] = {'topic': topic, 'part': _PARTITION}
        if after:
            query['after'] = after
        era, reply = await self._get('log-newest', query, _CALL_TIMEOUT_S)
        _check_status(reply)
        return era, _decode(reply.body, _NewestPage)

    async def _get(
        self,
        path: str,
        query: dict[str, object] | dict[str, str | int],
        timeout_s: float,
    ) -> tuple[int, Reply]:
        call = Call(
            url=f'http://{self._address}/{path}?{urlencode(query)}',
            connect_timeout_s=_CONNECT_TIMEOUT_S,
            timeout_s=timeout_s,
            idle_limit_s=_IDLE_LIMIT_S,
        )
        try:
            reply = await self._outbound.fetch(call)
        except (UpstreamRefused, UpstreamCut, UpstreamStalled) as error:
            raise LogUnavailable(error.reason) from error
        return self._note_era(reply), reply

    def _note_era(self, reply: Reply) -> int:
        """Return the era of an answer.

        :raises LogUnavailable: if it is malformed, or lower than one before.
        """
        era = _read_era(reply, self._era)
        if era < self._era:
            raise LogUnavailable(
                f'answer of era {era} after one of era {self._era}',
            )
        if era > self._era:
            log_event('store_era', era=era, before=self._era)
        self._era = era
        return era


def _read_era(reply: Reply, known: int) -> int:
    text = reply.headers.get(_ERA)
    if text is None:
        return max(0, known)
    if not text.isdecimal() or len(text) > _MAX_ERA_DIGITS:
        raise LogUnavailable(f'{_ERA} is not a number: {text!r}')
    return int(text)


def _check_era(topic: str, known: Position, era: int) -> None:
    if era != known.era:
        raise StoreRestored(
            f'topic {topic} is in era {era}, its offsets are of {known.era}',
        )


def _check_retained(topic: str, offset: int, reply: Reply) -> None:
    if reply.status == _HTTP_GONE:
        raise RecordsExpired(f'offset {offset} of topic {topic} has expired')


def _check_status(reply: Reply) -> None:
    if reply.status != _HTTP_OK:
        raise LogUnavailable(f'the store answered {reply.status}')


def _decode(body: bytes, kind: type[_Decoded]) -> _Decoded:
    try:
        return decode_items(body, kind)
    except MalformedData as error:
        raise LogUnavailable(f'malformed response: {error.reason}') from error


def _decode_page_items(
    topic: str, items: Iterable[msgspec.Raw], era: int
) -> Iterator[KeyedRecord]:
    """Decode the items of a list; those that can't be decoded are left out."""
    for encoded in items:
        try:
            entry: _Item = decode_json(bytes(encoded), _Item)
            content = base64.b64decode(entry.value)
        except (MalformedData, ValueError) as error:
            _log_unusable(topic, f'item of a list: {error}')
        else:
            yield KeyedRecord(entry.key, content, Position(era, entry.offset))


def _log_unusable(topic: str, reason: str) -> None:
    log_event('record_unusable', topic=topic, reason=reason)


def _decode_offsets(body: bytes) -> tuple[int, int]:
    """Return the end and the oldest retained offset of a response."""
    if len(body) < _OFFSETS.size:
        raise LogUnavailable(
            f'response has {len(body)} bytes, its header {_OFFSETS.size}',
        )
    end, first = _OFFSETS.unpack_from(body)
    return end, first


def _split_records(body: bytes) -> Iterator[bytes]:
    """Yield the records of a response.

    :raises LogUnavailable: if the response is truncated.
    """
    index = _OFFSETS.size
    count = 0
    while index < len(body):
        content_start = index + _LENGTH.size
        size = int.from_bytes(body[index:content_start])
        index = content_start + size
        if index > len(body):
            raise LogUnavailable(f'response truncated after {count} records')
        count += 1
        yield body[content_start:index]


def _decode_records(topic: str, body: bytes, start: Position) -> KeyedPage:
    _decode_offsets(body)
    records: list[KeyedRecord] = []
    end = start
    for frame in _split_records(body):
        if frame and len(frame) > frame[0]:
            records.append(_decode_frame(frame, end))
        else:
            _log_unusable(topic, f'no key at offset {end.offset}')
        end = Position(start.era, end.offset + 1)
    return KeyedPage(tuple(records), end)


def _decode_frame(frame: bytes, position: Position) -> KeyedRecord:
    key_end = 1 + frame[0]
    key = frame[1:key_end].decode('utf-8', 'replace')
    return KeyedRecord(key, frame[key_end:] or None, position)
