"""Delivers callbacks after the step in which they arise.

A callback may change any state of the scheduling core. None is therefore called
from within a loop over that state or half-way through a change of it: it is
queued, and called when the outermost step has ended.
"""

import collections
from collections.abc import Callable, Iterator
from contextlib import contextmanager


class Outbox:
    """Callbacks that wait for the end of the current step."""

    __slots__ = ('_active', '_callbacks', 'on_error')

    def __init__(self) -> None:
        """Start without callbacks, outside of a step."""
        self._active = False
        self._callbacks: collections.deque[Callable[[], None]] = (
            collections.deque()
        )
        #: Receives the exceptions of callbacks, which keep no other callback
        #: from its call. ``None``: the first one is raised after the last
        #: callback.
        self.on_error: Callable[[BaseException], None] | None = None

    def post(self, callback: Callable[[], None]) -> None:
        """Call a function after the current step; at once outside of one."""
        self._callbacks.append(callback)
        if not self._active:
            with self.run_step():
                """Nothing but the callbacks is to be run."""

    @contextmanager
    def run_step(self) -> Iterator[None]:
        """Run a change of state; steps within it are a part of it."""
        if self._active:
            yield
            return
        self._active = True
        try:
            yield
        finally:
            errors = self._end_step()
        if errors and not self.on_error:
            raise errors[0]

    def _end_step(self) -> list[BaseException]:
        try:
            return self._deliver()
        finally:
            self._active = False

    def _deliver(self) -> list[BaseException]:
        errors: list[BaseException] = []
        while self._callbacks:
            try:
                self._callbacks.popleft()()
            except BaseException as error:  # noqa: BLE001
                # One failed callback must not keep the others from their call.
                # A cancellation is one of something that the callback read.
                errors.append(error)
                if self.on_error:
                    self.on_error(error)
        return errors
