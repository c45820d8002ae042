"""Delivers callbacks after the step in which they arise.

A callback may change any state of the scheduling core. None is therefore called
from within a loop over that state or half-way through a change of it: it is
queued, and called when the outermost step has ended.
"""

import collections
from collections.abc import Callable, Iterable, Iterator
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

    def run_parts(self, parts: Iterable[Callable[[], None]]) -> None:
        """Run the parts of a step; report the faults of those that fail.

        :raises Exception: the first fault, after the last part, if there is no
            receiver.
        """
        errors = self._run_each(parts)
        if self.on_error:
            for error in errors:
                self.on_error(error)
        elif errors:
            raise errors[0]

    def run_change(self, parts: Iterable[Callable[[], None]]) -> None:
        """Run the parts of a change that is repeated unless all succeed.

        :raises Exception: the first fault, after the last part.
        """
        errors = self._run_each(parts)
        if self.on_error:
            for error in errors[1:]:
                self.on_error(error)
        if errors:
            raise errors[0]

    def _run_each(self, parts: Iterable[Callable[[], None]]) -> list[Exception]:
        errors: list[Exception] = []
        with self.run_step():
            for part in parts:
                try:
                    part()
                except Exception as error:  # noqa: BLE001
                    # One broken pool must not keep the others from theirs.
                    errors.append(error)
        return errors

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
