"""Periodic work of a process."""

import asyncio
from collections.abc import Awaitable, Callable

from anvilhall.logs import log_event
from anvilhall.metrics import Metrics

#: Seconds before periodic work that a fault ended is started again.
_RESTART_S = 0.25


class Pace:
    """Waits between rounds of work that is more urgent at some times."""

    __slots__ = ('_event',)

    def __init__(self) -> None:
        """Start without urgent work."""
        self._event = asyncio.Event()

    def wake(self) -> None:
        """End the present wait."""
        self._event.set()

    async def wait(self, longest_s: float) -> None:
        """Wait until woken, at most for some seconds."""
        try:
            async with asyncio.timeout(longest_s):
                await self._event.wait()
        except TimeoutError:
            # The round is due by time.
            return
        self._event.clear()


class TaskSet:
    """Work that goes on until it is cancelled.

    :param metrics: count the faults that end work.
    """

    __slots__ = ('_metrics', '_tasks')

    def __init__(self, metrics: Metrics) -> None:
        """Start without work."""
        self._metrics = metrics
        self._tasks: list[asyncio.Task[None]] = []

    def spawn(self, work: Callable[[], Awaitable[None]]) -> None:
        """Run work that never ends; start it again if a fault ends it."""
        self._tasks.append(asyncio.ensure_future(self._keep_running(work)))

    def repeat(
        self,
        work: Callable[[], Awaitable[None]],
        interval_s: float,
    ) -> None:
        """Run work again and again with a pause in between."""

        async def repeat() -> None:  # noqa: WPS430
            while True:
                await work()
                await asyncio.sleep(interval_s)

        self.spawn(repeat)

    def cancel(self) -> None:
        """End all work."""
        for task in self._tasks:
            task.cancel()

    async def _keep_running(self, work: Callable[[], Awaitable[None]]) -> None:
        while True:
            try:
                await work()
            except Exception as error:  # noqa: BLE001
                kind = type(error).__name__
                self._metrics.internal_errors.labels(kind).inc()
                log_event('internal_error', error=kind, reason=str(error))
            await asyncio.sleep(_RESTART_S)
