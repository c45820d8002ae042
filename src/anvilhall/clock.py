"""The clock as an interface, so that tests and replay run on virtual time."""

import datetime as dt
import time
from typing import Protocol


class Clock(Protocol):
    """Source of wall-clock and monotonic time."""

    def now(self) -> dt.datetime:
        """Return the wall-clock time, aware, in UTC."""

    def monotonic(self) -> float:
        """Return seconds that never go back, from an arbitrary start."""


class SystemClock:
    """Reads the clocks of the operating system."""

    __slots__ = ()

    def now(self) -> dt.datetime:
        """Return the wall-clock time, aware, in UTC."""
        return dt.datetime.now(dt.UTC)

    def monotonic(self) -> float:
        """Return seconds since an arbitrary start."""
        return time.monotonic()


class ManualClock:
    """Stands still until it is moved.

    :param start: wall-clock time at monotonic second 0.
    """

    __slots__ = ('_elapsed_s', '_start')

    def __init__(self, start: dt.datetime) -> None:
        """Start at monotonic second 0."""
        self._start = start
        self._elapsed_s = 0.0

    def now(self) -> dt.datetime:
        """Return the start plus what has elapsed."""
        return self._start + dt.timedelta(seconds=self._elapsed_s)

    def monotonic(self) -> float:
        """Return the seconds elapsed."""
        return self._elapsed_s

    def advance(self, seconds: float) -> None:
        """Move both clocks forward."""
        self._elapsed_s += seconds
