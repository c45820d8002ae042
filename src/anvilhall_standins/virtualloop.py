"""An event loop on virtual time: it never waits and has no sockets.

Runs are deterministic: with nothing ready, time jumps to the next timer.
"""

import asyncio
import datetime as dt
from collections.abc import Coroutine
from typing import Any, TypeVar

_Returned = TypeVar('_Returned')


class _TimerSelector:
    """Takes the place of the selector: moves time instead of waiting."""

    __slots__ = ('now',)

    def __init__(self) -> None:
        self.now = 0.0

    def select(self, timeout: float | None) -> list[Any]:
        if timeout is None:
            raise RuntimeError('nothing is ready and no timer is set')
        self.now += max(0.0, timeout)
        return []

    def close(self) -> None:
        """Do nothing: there is nothing to close."""


class VirtualLoop(asyncio.BaseEventLoop):
    """Event loop whose time is virtual."""

    def __init__(self) -> None:
        """Start at second 0."""
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
    """Clock that follows a virtual loop.

    :param start: wall-clock time at virtual second 0.
    """

    __slots__ = ('_loop', '_start', 'jump')

    def __init__(self, loop: VirtualLoop, start: dt.datetime) -> None:
        """Follow the loop."""
        self._loop = loop
        self._start = start
        #: Error of the wall clock; the monotonic clock has none.
        self.jump = dt.timedelta()

    def now(self) -> dt.datetime:
        """Return the wall-clock time."""
        elapsed = dt.timedelta(seconds=self._loop.time())
        return self._start + elapsed + self.jump

    def monotonic(self) -> float:
        """Return the virtual seconds elapsed."""
        return self._loop.time()


def run_virtual(
    loop: VirtualLoop,
    work: Coroutine[Any, Any, _Returned],
) -> _Returned:
    """Run a coroutine to its end, cancel what is left, close the loop."""
    asyncio.set_event_loop(loop)
    try:
        return loop.run_until_complete(work)
    finally:
        close_virtual(loop)


def close_virtual(loop: VirtualLoop) -> None:
    """Cancel what is left on a loop and close it."""
    left = asyncio.all_tasks(loop)
    while left:
        for task in left:
            task.cancel()
        loop.run_until_complete(asyncio.gather(*left, return_exceptions=True))
        # A cancelled request may have sent an order to cancel its run.
        left = asyncio.all_tasks(loop)
    asyncio.set_event_loop(None)
    loop.close()
