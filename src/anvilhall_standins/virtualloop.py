"""Event loop on virtual time, without sockets.

Runs are deterministic: if no callback is ready, the time advances to the next
timer at once.
"""

import asyncio
import datetime as dt
from collections.abc import Coroutine
from typing import Any, TypeVar

_Returned = TypeVar('_Returned')


class _TimerSelector:
    """Replaces the selector: advances the virtual time instead of waiting."""

    __slots__ = ('now',)

    def __init__(self) -> None:
        self.now = 0.0

    def select(self, timeout: float | None) -> list[Any]:
        if timeout is None:
            raise RuntimeError(
                f'deadlock at virtual second {self.now}: no callback is ready '
                'and no timer is set',
            )
        self.now += max(0.0, timeout)
        return []

    def close(self) -> None:
        """Do nothing: no file descriptor is open."""


class VirtualLoop(asyncio.BaseEventLoop):
    """Event loop whose clock is virtual."""

    def __init__(self) -> None:
        """Create a loop at virtual second 0."""
        super().__init__()
        self._selector = _TimerSelector()

    def time(self) -> float:
        """Return the virtual seconds elapsed."""
        return self._selector.now

    def _process_events(self, event_list: list[Any]) -> None:
        """Do nothing: there are no sockets."""

    def _write_to_self(self) -> None:
        """Do nothing: there are no other threads."""


class LoopClock:
    """Clock that reads the time of a virtual loop.

    :param start: wall-clock time at virtual second 0.
    """

    __slots__ = ('_loop', '_start', 'wall_clock_error')

    def __init__(self, loop: VirtualLoop, start: dt.datetime) -> None:
        """Create a clock without a wall-clock error."""
        self._loop = loop
        self._start = start
        #: Error of the wall clock; the monotonic clock has none.
        self.wall_clock_error = dt.timedelta()

    def now(self) -> dt.datetime:
        """Return the wall-clock time."""
        elapsed = dt.timedelta(seconds=self._loop.time())
        return self._start + elapsed + self.wall_clock_error

    def monotonic(self) -> float:
        """Return the virtual seconds elapsed."""
        return self._loop.time()

    def boottime(self) -> float:
        """Return the virtual seconds elapsed."""
        return self._loop.time()


def run_virtual(
    loop: VirtualLoop,
    work: Coroutine[Any, Any, _Returned],
) -> _Returned:
    """Run a coroutine to completion, cancel other tasks and close the loop."""
    asyncio.set_event_loop(loop)
    try:
        return loop.run_until_complete(work)
    finally:
        close_virtual(loop)


def close_virtual(loop: VirtualLoop) -> None:
    """Cancel the pending tasks of a loop and close it."""
    pending = asyncio.all_tasks(loop)
    while pending:
        for task in pending:
            task.cancel()
        loop.run_until_complete(
            asyncio.gather(*pending, return_exceptions=True)
        )
        # A cancelled request may have started a task that sends a cancellation
        # to its upstream.
        pending = asyncio.all_tasks(loop)
    asyncio.set_event_loop(None)
    loop.close()
