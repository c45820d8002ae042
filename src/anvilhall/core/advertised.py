"""Request rates that runners advertise in their answers."""

import collections
import math

#: Limit on the runners that are kept; the longest unchanged are dropped.
_MAX_RUNNERS = 4096


class AdvertisedLimits:
    """Requests per second that each runner takes, as it last said."""

    __slots__ = ('_by_runner',)

    def __init__(self) -> None:
        """Start without limits."""
        self._by_runner: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )

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
