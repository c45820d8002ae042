"""Clients of the platform's append-only log service."""

from typing import Any, Protocol, TypeVar
from urllib.parse import urlencode

import msgspec

from anvilhall.core.positions import Offset, Position
from anvilhall.decoding import decode_items
from anvilhall.exceptions import (
    AppendUncertain,
    LogUnavailable,
    MalformedData,
    RecordsExpired,
    StoreRestored,
    UpstreamCut,
    UpstreamRefused,
    UpstreamStalled,
)
from anvilhall.outbound import Call, Outbound, Reply
from anvilhall.registry import Registry

#: Timeout of a call in seconds, and of a read beyond the wait of its long poll.
_CALL_TIMEOUT_S = 2.0
_READ_TIMEOUT_S = 1.0
_HTTP_OK = 200
_HTTP_CONFLICT = 409
_HTTP_GONE = 410
_Decoded = TypeVar('_Decoded')


class Record(msgspec.Struct, frozen=True):
    """One record of a stream."""

    offset: Offset
    body: Any


class Page(msgspec.Struct, frozen=True):
    """Records of a stream, in order of their offsets."""

    records: tuple[Record, ...]
    #: Offset after the last record of the stream.
    end: Offset
    #: Rises each time that the log comes back from an older copy.
    era: Offset = 0


class _Appended(msgspec.Struct, frozen=True):
    offset: Offset
    era: Offset = 0


class LogClient(Protocol):
    """Appends to and reads from the log; any client must provide this."""

    async def append(
        self, stream: str, body: Any, era: int | None = None
    ) -> int:
        """Append a record and return its offset.

        :param era: only era of the log in which to append; ``None``: any.
        :raises StoreRestored: if the log is in another era.
        :raises LogUnavailable: if nothing was written.
        :raises AppendUncertain: if the record may have been written.
        """

    async def read(self, stream: str, offset: int, wait_s: float) -> Page:
        """Read the records from an offset on.

        :param wait_s: longest wait for the first record, in seconds.
        :raises RecordsExpired: if the offset is no longer retained.
        :raises LogUnavailable: if the service gives no usable answer.
        """

    async def find_start(self, stream: str) -> Position:
        """Return the position of the oldest retained record.

        :raises LogUnavailable: if the service gives no usable answer.
        """


LOG_CLIENTS: Registry[type['HttpLogClient']] = Registry('log client')


@LOG_CLIENTS.register('http')
class HttpLogClient:
    """Log service with an HTTP interface and JSON records."""

    __slots__ = ('_base_url', '_outbound')

    def __init__(self, base_url: str, outbound: Outbound) -> None:
        """Use the service at a URL."""
        self._base_url = base_url
        self._outbound = outbound

    async def append(
        self, stream: str, body: Any, era: int | None = None
    ) -> int:
        """Append a record and return its offset."""
        query = '' if era is None else f'?era={era}'
        call = Call(
            url=f'{self._build_url(stream)}{query}',
            method='POST',
            headers={'Content-Type': 'application/json'},
            body=msgspec.json.encode(body),
            timeout_s=_CALL_TIMEOUT_S,
        )
        try:
            reply = await self._outbound.fetch(call)
        except UpstreamRefused as error:
            raise LogUnavailable(error.reason) from error
        except (UpstreamCut, UpstreamStalled) as error:
            raise AppendUncertain(error.reason) from error
        if reply.status == _HTTP_CONFLICT:
            raise StoreRestored(f'log is not in era {era}')
        if reply.status != _HTTP_OK:
            raise LogUnavailable(
                f'log append answered with status {reply.status}',
            )
        return _decode(reply, _Appended).offset

    async def read(self, stream: str, offset: int, wait_s: float) -> Page:
        """Read the records from an offset on."""
        query = urlencode({'from': offset, 'wait_s': wait_s})
        url = f'{self._build_url(stream)}?{query}'
        reply = await self._get(url, wait_s + _READ_TIMEOUT_S)
        if reply.status == _HTTP_GONE:
            raise RecordsExpired(
                f'offset {offset} of stream {stream} is no longer retained',
            )
        return _decode(reply, Page)

    async def find_start(self, stream: str) -> Position:
        """Return the position of the oldest retained record."""
        url = f'{self._build_url(stream)}/start'
        start = _decode(await self._get(url, _CALL_TIMEOUT_S), _Appended)
        return Position(start.era, start.offset)

    def _build_url(self, stream: str) -> str:
        return f'{self._base_url}/streams/{stream}'

    async def _get(self, url: str, timeout_s: float) -> Reply:
        try:
            reply = await self._outbound.fetch(
                Call(url=url, timeout_s=timeout_s),
            )
        except (UpstreamRefused, UpstreamCut, UpstreamStalled) as error:
            raise LogUnavailable(error.reason) from error
        if reply.status not in {_HTTP_OK, _HTTP_GONE}:
            raise LogUnavailable(
                f'log read answered with status {reply.status}',
            )
        return reply


def _decode(reply: Reply, kind: type[_Decoded]) -> _Decoded:
    try:
        return decode_items(reply.body, kind)
    except MalformedData as error:
        raise LogUnavailable(
            f'log answer cannot be decoded: {error.reason}',
        ) from error
