"""Reads a stream of the platform's log continuously, also across outages."""

import asyncio
from collections.abc import Awaitable, Callable

from anvilhall.core.positions import Position
from anvilhall.exceptions import LogUnavailable, PlatformError, RecordsExpired
from anvilhall.logs import log_event
from anvilhall.logservice import LogClient, Page
from anvilhall.metrics import Metrics

#: Seconds between a failed read and the next one.
_RETRY_S = 0.1


class StreamReader:
    """The callbacks with which a stream is read.

    :param get_position: returns the position to read next; its era is negative
        before the first page.
    :param handle_page: processes the records of one page.
    :param skip_to: continues at the oldest retained offset, if the next one
        has expired.
    :param restart: continues before the first record of an era, because the
        log has come back from an older copy.
    """

    __slots__ = ('get_position', 'handle_page', 'restart', 'skip_to', 'stream')

    def __init__(
        self,
        stream: str,
        get_position: Callable[[], Position],
        handle_page: Callable[[Page], Awaitable[None]],
        skip_to: Callable[[int], None],
        restart: Callable[[int], None],
    ) -> None:
        """Store the callbacks."""
        self.stream = stream
        self.get_position = get_position
        self.handle_page = handle_page
        self.skip_to = skip_to
        self.restart = restart


async def follow_stream(
    reader: StreamReader,
    log: LogClient,
    poll_s: float,
    metrics: Metrics,
) -> None:
    """Read a stream until cancelled.

    :param poll_s: longest time that one read waits for a record, in seconds.
    """
    wait_s = poll_s
    while True:
        try:
            moved = await _read_once(reader, log, wait_s)
        except PlatformError as error:
            metrics.platform_failures.labels('log', error.code).inc()
            await asyncio.sleep(_RETRY_S)
        else:
            wait_s = 0 if moved else poll_s


async def _read_once(
    reader: StreamReader,
    log: LogClient,
    wait_s: float,
) -> bool:
    """Read one page; return whether the position was moved instead."""
    position = reader.get_position()
    try:
        page = await log.read(reader.stream, position.offset, wait_s)
    except RecordsExpired:
        await _skip(reader, log, position)
        return True
    if page.era < position.era:
        raise LogUnavailable(
            f'answer of era {page.era} after one of era {position.era}',
        )
    # A log that does not state eras goes back to a lower end.
    if 0 <= position.era < page.era or page.end < position.offset:
        _restart(reader, position, page.era)
        return True
    await reader.handle_page(page)
    return False


async def _skip(
    reader: StreamReader, log: LogClient, position: Position
) -> None:
    start = await log.find_start(reader.stream)
    if start.offset > position.offset and start.era <= max(0, position.era):
        reader.skip_to(start.offset)
    else:
        _restart(reader, position, start.era)


def _restart(reader: StreamReader, position: Position, era: int) -> None:
    log_event(
        'log_restored',
        stream=reader.stream,
        offset=position.offset,
        era=era,
        before=position.era,
    )
    reader.restart(era)
