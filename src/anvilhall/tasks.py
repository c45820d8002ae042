"""Background tasks of a process."""

import asyncio
from collections.abc import Awaitable, Callable

from anvilhall.faults import report_internal_error
from anvilhall.metrics import Metrics

#: Seconds before a task that has failed or returned is started again.
_RESTART_S = 0.25


class WakeableTimer:
    """Waits between rounds of a task; :meth:`wake` ends the wait early."""

    __slots__ = ('_event',)

    def __init__(self) -> None:
        """Start without a pending wake-up."""
        self._event = asyncio.Event()

    def wake(self) -> None:
        """End the current wait, or the next one if there is none."""
        self._event.set()

    async def wait(self, timeout_s: float) -> None:
        """Wait until woken or until the timeout expires."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._event.wait()
        except TimeoutError:
            # Not woken: there is no wake-up to clear.
            return
        self._event.clear()


class TaskSet:
    """Tasks that run until cancelled and are restarted after an exception.

    :param metrics: counts the exceptions.
    """

    __slots__ = ('_metrics', '_tasks')

    def __init__(self, metrics: Metrics) -> None:
        """Start without tasks."""
        self._metrics = metrics
        self._tasks: list[asyncio.Task[None]] = []

    def spawn(self, work: Callable[[], Awaitable[None]]) -> None:
        """Run work in a task, and again whenever it fails or returns."""
        self._tasks.append(asyncio.ensure_future(self._keep_running(work)))

    def repeat(
        self,
        work: Callable[[], Awaitable[None]],
        interval_s: float,
    ) -> None:
        """Run work in a task repeatedly, with a pause in between."""

        async def repeat() -> None:  # noqa: WPS430
            while True:
                await work()
                await asyncio.sleep(interval_s)

        self.spawn(repeat)

    def cancel(self) -> None:
        """Cancel all tasks."""
        for task in self._tasks:
            task.cancel()

    async def _keep_running(self, work: Callable[[], Awaitable[None]]) -> None:
        while True:
            try:
                await work()
            except (Exception, asyncio.CancelledError) as error:
                if is_cancelled():
                    raise
                report_internal_error(self._metrics, error)
            await asyncio.sleep(_RESTART_S)


def is_cancelled() -> bool:
    """Return whether the current task itself has been cancelled.

    A cancellation is also raised in it if it awaits something that has been.
    """
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0
