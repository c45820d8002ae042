"""Client of the platform's metadata store."""

import base64
import struct
from typing import TypeVar
from urllib.parse import urlencode

import msgspec

from anvilhall.exceptions import (
    AppendUncertain,
    LogUnavailable,
    RecordsExpired,
    UpstreamCut,
    UpstreamRefused,
    UpstreamStalled,
)
from anvilhall.outbound import Call, Outbound, Reply

#: Topics of the platform and of this system; each has one partition.
CONFIG_TOPIC = 'keyed.op'
RUNNERS_TOPIC = 'keyed.servers'
INSTANCES_TOPIC = 'keyed.instances'

#: Key of the manifest in its topic.
CONFIG_KEY = 'config'
_PART = 0
#: Time for one call, in seconds. The store answers in 4 ms; it counts as away
#: well inside the two seconds for which a view may lag.
_CALL_TIMEOUT_S = 0.7
#: Time to connect, in seconds: one round trip takes a few milliseconds.
_CONNECT_TIMEOUT_S = 0.3
#: Seconds for which an idle connection is used again.
_IDLE_LIMIT_S = 30
_MS_PER_S = 1000
_HTTP_OK = 200
_HTTP_GONE = 410
_LENGTH = struct.Struct('>I')
_OFFSETS = struct.Struct('>QQ')

_Decoded = TypeVar('_Decoded')


class KeyedRecord(msgspec.Struct, frozen=True):
    """The newest record of a key, or its removal."""

    key: str
    #: ``None``: the key was removed.
    content: bytes | None
    #: Place in the topic; rises with each record.
    offset: int = -1


class KeyedPage(msgspec.Struct, frozen=True):
    """Records in the order of their offsets, and where to read on."""

    records: tuple[KeyedRecord, ...]
    next_offset: int


class _Item(msgspec.Struct):
    key: str
    #: In base64.
    value: str = ''
    offset: int = -1


class _Newest(msgspec.Struct):
    items: list[_Item]
    truncated: bool
    end: int


class StoreClient:
    """Reads and writes keyed records.

    :param address: host and port of the store.
    :param outbound: sends the calls.
    """

    __slots__ = ('_address', '_outbound')

    def __init__(self, address: str, outbound: Outbound) -> None:
        """Use the store at an address."""
        self._address = address
        self._outbound = outbound

    async def list_newest(self, topic: str) -> KeyedPage:
        """Return the newest record of each key, and the offset to go on from.

        :raises LogUnavailable: if the store does not answer as asked.
        """
        records: list[KeyedRecord] = []
        # Pages are no snapshot: what changes between them is read again from
        # the end that the first page states.
        next_offset: int | None = None
        after = ''
        while True:
            page = await self._read_newest(topic, after)
            if next_offset is None:
                next_offset = page.end
            records.extend(_decode_item(entry) for entry in page.items)
            if not page.truncated or not page.items:
                return KeyedPage(tuple(records), next_offset)
            after = page.items[-1].key

    async def read(
        self,
        topic: str,
        offset: int,
        wait_s: float,
    ) -> KeyedPage:
        """Return the records from an offset on.

        :param wait_s: longest wait for a record if there is none yet.
        :raises RecordsExpired: if the offset is no longer kept.
        :raises LogUnavailable: if the store does not answer as asked.
        """
        query = {'from': offset, 'topic': topic, 'part': _PART}
        if wait_s > 0:
            query['wait_ms'] = int(wait_s * _MS_PER_S)
        reply = await self._get('log-read', query, wait_s + _CALL_TIMEOUT_S)
        if reply.status == _HTTP_GONE:
            raise RecordsExpired(f'offset {offset} of {topic} is gone')
        _check_status(reply)
        return _decode_records(reply.body, offset)

    async def put(self, topic: str, record: KeyedRecord) -> None:
        """Write a record; ``content`` of ``None`` removes the key.

        :raises LogUnavailable: if nothing was written.
        :raises AppendUncertain: if the record may have been written.
        """
        key = record.key.encode()
        frame = bytes((len(key),)) + key + (record.content or b'')
        query = urlencode({'topic': topic, 'part': _PART})
        call = Call(
            url=f'http://{self._address}/log-append?{query}',
            method='POST',
            body=_LENGTH.pack(len(frame)) + frame,
            connect_timeout_s=_CONNECT_TIMEOUT_S,
            timeout_s=_CALL_TIMEOUT_S,
            idle_limit_s=_IDLE_LIMIT_S,
        )
        try:
            reply = await self._outbound.fetch(call)
        except UpstreamRefused as error:
            raise LogUnavailable(error.reason) from error
        except (UpstreamCut, UpstreamStalled) as uncertain:
            raise AppendUncertain(uncertain.reason) from uncertain
        _check_status(reply)

    async def _read_newest(self, topic: str, after: str) -> _Newest:
        query: dict[str, object] = {'topic': topic, 'part': _PART}
        if after:
            query['after'] = after
        reply = await self._get('log-newest', query, _CALL_TIMEOUT_S)
        _check_status(reply)
        return _decode(reply.body, _Newest)

    async def _get(
        self,
        path: str,
        query: dict[str, object] | dict[str, str | int],
        timeout_s: float,
    ) -> Reply:
        call = Call(
            url=f'http://{self._address}/{path}?{urlencode(query)}',
            connect_timeout_s=_CONNECT_TIMEOUT_S,
            timeout_s=timeout_s,
            idle_limit_s=_IDLE_LIMIT_S,
        )
        try:
            return await self._outbound.fetch(call)
        except (UpstreamRefused, UpstreamCut, UpstreamStalled) as error:
            raise LogUnavailable(error.reason) from error


def _check_status(reply: Reply) -> None:
    if reply.status != _HTTP_OK:
        raise LogUnavailable(f'the store answered {reply.status}')


def _decode(body: bytes, kind: type[_Decoded]) -> _Decoded:
    try:
        return msgspec.json.decode(body, type=kind)
    except msgspec.DecodeError as error:
        raise LogUnavailable(f'unreadable answer: {error}') from error


def _decode_item(entry: _Item) -> KeyedRecord:
    try:
        content = base64.b64decode(entry.value)
        return KeyedRecord(entry.key, content, entry.offset)
    except ValueError as error:
        raise LogUnavailable(f'unreadable record: {error}') from error


def _decode_records(body: bytes, offset: int) -> KeyedPage:
    if len(body) < _OFFSETS.size:
        raise LogUnavailable('an answer without offsets')
    records: list[KeyedRecord] = []
    place = _OFFSETS.size
    while place < len(body):
        start = place + _LENGTH.size
        if start > len(body):
            raise LogUnavailable('an answer ends within a record')
        size = int.from_bytes(body[place:start])
        place = start + size
        if place > len(body):
            raise LogUnavailable('an answer ends within a record')
        frame = body[start:place]
        records.append(_decode_frame(frame, offset + len(records)))
    return KeyedPage(tuple(records), offset + len(records))


def _decode_frame(frame: bytes, offset: int) -> KeyedRecord:
    if not frame or len(frame) <= frame[0]:
        raise LogUnavailable('a record without a key')
    key_end = 1 + frame[0]
    key = frame[1:key_end].decode('utf-8', 'replace')
    return KeyedRecord(key, frame[key_end:] or None, offset)
