"""Reads a stream of the platform's log continuously, also across outages."""

import asyncio
from collections.abc import Awaitable, Callable

from anvilhall.exceptions import PlatformError, RecordsExpired
from anvilhall.logservice import LogClient, Page
from anvilhall.metrics import Metrics

#: Seconds between a failed read and the next one.
_RETRY_S = 0.1


class StreamReader:
    """The callbacks with which a stream is read.

    :param next_offset: returns the offset to read next.
    :param handle_page: processes the records of one page.
    :param skip_to: continues at the oldest retained offset, if the next one
        has expired.
    """

    __slots__ = ('handle_page', 'next_offset', 'skip_to', 'stream')

    def __init__(
        self,
        stream: str,
        next_offset: Callable[[], int],
        handle_page: Callable[[Page], Awaitable[None]],
        skip_to: Callable[[int], None],
    ) -> None:
        """Store the callbacks."""
        self.stream = stream
        self.next_offset = next_offset
        self.handle_page = handle_page
        self.skip_to = skip_to


async def follow_stream(
    reader: StreamReader,
    log: LogClient,
    poll_s: float,
    metrics: Metrics,
) -> None:
    """Read a stream until cancelled.

    :param poll_s: longest time that one read waits for a record, in seconds.
    """
    while True:
        try:
            await _read_once(reader, log, poll_s)
        except PlatformError as error:
            metrics.platform_failures.labels('log', error.code).inc()
            await asyncio.sleep(_RETRY_S)


async def _read_once(
    reader: StreamReader,
    log: LogClient,
    poll_s: float,
) -> None:
    try:
        page = await log.read(reader.stream, reader.next_offset(), poll_s)
    except RecordsExpired:
        reader.skip_to(await log.find_oldest_offset(reader.stream))
        return
    await reader.handle_page(page)
