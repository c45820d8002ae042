"""Divides the time of the event loop among calls that would take all of it."""

import asyncio
from collections.abc import Callable, Hashable

#: Seconds of one iteration of the event loop that the calls may take together
#: before the others wait for the next iteration.
_TURN_S = 0.01


class TurnQueue:
    """Runs calls at once while the iteration has time left, and later in turn.

    :param loop: the running event loop.
    """

    __slots__ = ('_ends_at', '_loop', '_next_turn', '_waiting', 'number')

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Start without calls."""
        self._loop = loop
        #: Number of the current iteration, of those with calls.
        self.number = 0
        self._ends_at = 0.0
        self._next_turn: asyncio.Handle | None = None
        #: Calls by key, in the order in which they run.
        self._waiting: dict[Hashable, Callable[[], None]] = {}

    def run(self, key: Hashable, call: Callable[[], None]) -> None:
        """Run a call now or, if the time is up, in a later iteration.

        :param key: a call is dropped if another one of this key waits.
        """
        if self._next_turn is None:
            self._begin()
        if self._waiting or self._loop.time() >= self._ends_at:
            self._waiting.setdefault(key, call)
        else:
            call()

    def run_later(self, key: Hashable, call: Callable[[], None]) -> None:
        """Run a call in a later iteration."""
        if self._next_turn is None:
            self._begin()
        self._waiting.setdefault(key, call)

    def close(self) -> None:
        """Drop the calls that wait."""
        self._waiting.clear()
        if self._next_turn:
            self._next_turn.cancel()
            self._next_turn = None

    def _begin(self) -> None:
        self.number += 1
        self._ends_at = self._loop.time() + _TURN_S
        self._next_turn = self._loop.call_soon(self._run_waiting)

    def _run_waiting(self) -> None:
        self._next_turn = None
        if not self._waiting:
            return
        self._begin()
        # Calls that are added meanwhile wait for the next turn.
        for key in list(self._waiting):
            call = self._waiting.pop(key, None)
            if call:
                call()
            if self._loop.time() >= self._ends_at:
                break
