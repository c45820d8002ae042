"""Clock interface, which lets tests and replays run on virtual time."""

import datetime as dt
import time
from typing import Protocol


class Clock(Protocol):
    """Source of wall-clock and monotonic time."""

    def now(self) -> dt.datetime:
        """Return the wall-clock time, aware, in UTC."""

    def monotonic(self) -> float:
        """Return seconds since an arbitrary start; they never decrease."""

    def boottime(self) -> float:
        """Return the same with the time in which the machine was suspended."""


class SystemClock:
    """Reads the clocks of the operating system."""

    __slots__ = ()

    def now(self) -> dt.datetime:
        """Return the wall-clock time, aware, in UTC."""
        return dt.datetime.now(dt.UTC)

    def monotonic(self) -> float:
        """Return seconds since an arbitrary start."""
        return time.monotonic()

    def boottime(self) -> float:
        """Return seconds since the start of the machine."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class ManualClock:
    """A clock that advances only when :meth:`advance` is called.

    :param start: wall-clock time at monotonic second 0.
    """

    __slots__ = ('_elapsed_s', '_start')

    def __init__(self, start: dt.datetime) -> None:
        """Start at monotonic second 0."""
        self._start = start
        self._elapsed_s = 0.0

    def now(self) -> dt.datetime:
        """Return the start plus the elapsed time."""
        return self._start + dt.timedelta(seconds=self._elapsed_s)

    def monotonic(self) -> float:
        """Return the elapsed seconds."""
        return self._elapsed_s

    def boottime(self) -> float:
        """Return the elapsed seconds."""
        return self._elapsed_s

    def advance(self, seconds: float) -> None:
        """Advance wall-clock and monotonic time."""
        self._elapsed_s += seconds
