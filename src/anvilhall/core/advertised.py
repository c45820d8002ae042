"""Request rates that runners advertise in their answers."""

import collections
import math
from collections.abc import Iterable

from anvilhall.core.members import Member, Process, identify_process

#: Seconds by which requests may come earlier than evenly spaced ones.
_BURST_S = 0.5
#: An answer without a limit lifts a limit only after this many seconds, or this
#: many intervals if they are longer, in which no answer has named it: answers
#: of a runner are not reported in the order in which it gave them.
_HOLD_S = 1.0
_HOLD_INTERVALS = 2
_HOLD_MAX_S = 5.0
#: Least requests per second to a runner, so that its answers tell when it takes
#: more.
_MIN_RATE_PER_S = 0.1
#: Limit on the runners that are kept; the longest unchanged are dropped.
_MAX_RUNNERS = 4096


class AdvertisedRate:
    """Spaces the requests to one runner by the limit that it advertises."""

    __slots__ = ('_interval_s', '_named_at', '_next_at')

    def __init__(self) -> None:
        """Start without a limit."""
        #: Seconds between two requests; 0: no limit.
        self._interval_s = 0.0
        #: Monotonic time at which an answer last named a limit.
        self._named_at = 0.0
        #: Monotonic time at which the next request is due.
        self._next_at = 0.0

    def set(self, requests_per_s: float, share: float, now: float) -> None:
        """Apply a limit.

        :param requests_per_s: infinite if there is none.
        :param share: part of it to use, in (0, 1]. Instances that grant without
            knowing of each other divide the limit.
        :param now: monotonic seconds.
        """
        rate = max(requests_per_s, _MIN_RATE_PER_S) * share
        if math.isinf(rate):
            self._lift(now)
            return
        self._named_at = now
        if not self._interval_s:
            # The others have their first requests at about the same time.
            self._next_at = now + (1 - share) / rate
        self._interval_s = 1 / rate

    def _lift(self, now: float) -> None:
        hold_s = max(_HOLD_S, self._interval_s * _HOLD_INTERVALS)
        if now - self._named_at >= min(hold_s, _HOLD_MAX_S):
            self._interval_s = 0.0

    def may_take(self, now: float) -> bool:
        """Return whether the runner may get a request now."""
        return not self._interval_s or now >= self._next_at - _BURST_S

    def take(self, now: float) -> None:
        """Count a request to the runner."""
        self._next_at = max(self._next_at, now) + self._interval_s


class AdvertisedLimits:
    """Requests per second that each runner takes, as it last said.

    They are those of the listed processes: one that starts again has not named
    a limit.
    """

    __slots__ = ('_by_runner', '_processes')

    def __init__(self) -> None:
        """Start without limits."""
        #: Process of each runner that is listed or has a limit.
        self._processes: dict[str, Process] = {}
        self._by_runner: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )

    def set_listed(self, members: Iterable[Member]) -> None:
        """Drop the limits of processes that a changed list has replaced.

        Those of runners that are not listed for a while are kept.
        """
        listed = {each.name: identify_process(each) for each in members}
        for limited in list(self._by_runner):
            known = self._processes.get(limited)
            if known and listed.get(limited, known) != known:
                self._by_runner.pop(limited)
        kept = {
            runner: process
            for runner, process in self._processes.items()
            if runner in self._by_runner
        }
        self._processes = {**kept, **listed}

    def get(self, runner: str) -> float:
        """Return the limit of a runner; infinite if it has named none."""
        return self._by_runner.get(runner, math.inf)

    def note(self, runner: str, requests_per_s: float) -> bool:
        """Note what an answer of a runner says; return whether it is new.

        :param requests_per_s: infinite if the answer names no limit.
        """
        if self.get(runner) == requests_per_s:
            return False
        self._by_runner.pop(runner, None)
        if not math.isinf(requests_per_s):
            self._by_runner[runner] = requests_per_s
        if len(self._by_runner) > _MAX_RUNNERS:
            self._by_runner.popitem(last=False)
        return True

    def list_limits(self) -> tuple[tuple[str, float], ...]:
        """Return the runners that have a limit, with it."""
        return tuple(self._by_runner.items())

    def list_starts(self) -> tuple[tuple[str, int], ...]:
        """Return the runners that have a limit, with the start it is of.

        Starts are in Unix milliseconds; those that are not known are left out.
        """
        return tuple(
            (runner, self._processes[runner].born)
            for runner in self._by_runner
            if runner in self._processes and self._processes[runner].born
        )
