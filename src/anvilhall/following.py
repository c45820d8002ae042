"""Follows one stream of the platform's log through its outages."""

import asyncio
from collections.abc import Awaitable, Callable

from anvilhall.exceptions import PlatformError, RecordsExpired
from anvilhall.logservice import LogClient, Page
from anvilhall.metrics import Metrics

#: Seconds before the log is read again after it failed.
_RETRY_S = 0.1


class StreamReader:
    """Where a reader of a stream stands, and what it does with the records.

    :param next_offset: returns the offset to read next.
    :param handle_page: takes records in.
    :param skip_to: goes on at an offset when those before it are lost.
    """

    __slots__ = ('next_offset', 'skip_to', 'stream', 'handle_page')

    def __init__(
        self,
        stream: str,
        next_offset: Callable[[], int],
        handle_page: Callable[[Page], Awaitable[None]],
        skip_to: Callable[[int], None],
    ) -> None:
        """Keep the callbacks."""
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

    :param poll_s: seconds that one read may wait for a record.
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
