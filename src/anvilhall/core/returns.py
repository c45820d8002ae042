"""Times at which refused requests are told to return.

Requests that are refused together and return together are refused again. A
shard therefore gives each one a place in a line of returns: places are as far
apart as the shard can grant them beside the requests that wait and the new
ones. Higher priorities get the earlier places.
"""

import bisect
from collections.abc import Iterable

from anvilhall.core.limits import DecayingSum
from anvilhall.core.queues import QueuedRequest

#: Time constant in seconds over which the rate of grants is measured. Shorter
#: than the bursts of some seconds that fill a shard.
_RATE_WINDOW_S = 2.0
#: Share of the grants that returning requests get; the others are for requests
#: that come for the first time.
_RETURN_SHARE = 0.5
#: Earliest return, in seconds: a caller that returns sooner finds the queue as
#: it was.
_EARLIEST_S = 0.2
#: Share of a request's remaining time within which its caller returns: callers
#: wait for at most a third, and the way back takes time.
_LATEST_SHARE = 0.3
#: Part of that time, at its end, over which returns without a place are spread.
_SPREAD_SHARE = 0.4
#: Steps of the spread; consecutive refusals are far apart in it.
_SPREAD_STEPS = 16
_SPREAD_STRIDE = 7

_Priority = tuple[int, int]


class ReturnLine:
    """The announced returns of one shard, and the rate of its grants."""

    __slots__ = ('_grants', '_places', '_spread_index')

    def __init__(self) -> None:
        """Start without returns."""
        self._grants = DecayingSum(_RATE_WINDOW_S)
        #: Monotonic times of the announced returns by priority, sorted.
        self._places: dict[_Priority, list[float]] = {}
        self._spread_index = 0

    def note_grant(self, now: float) -> None:
        """Count a grant.

        :param now: monotonic seconds.
        """
        self._grants.add(1, now)

    def place(
        self, refused: QueuedRequest, queue: Iterable[QueuedRequest], now: float
    ) -> float:
        """Return the seconds after which a request is to return.

        :param refused: request that is no longer in the queue.
        :param queue: requests that wait.
        :param now: monotonic seconds.
        """
        priority = refused.priority
        waiting = sum(other.priority <= priority for other in queue)
        left_s = refused.deadline_at - now
        return self.announce(priority, waiting, left_s, now)

    def announce(
        self, priority: _Priority, waiting: int, left_s: float, now: float
    ) -> float:
        """Return the seconds after which a refused request is to return.

        :param priority: tier and rank of the request.
        :param waiting: requests of its priority or a higher one that wait.
        :param left_s: seconds until the request's deadline.
        :param now: monotonic seconds.
        """
        latest_s = max(0.0, left_s) * _LATEST_SHARE
        rate = self._grants.measure(now) / _RATE_WINDOW_S
        ahead = waiting + self._count_ahead(priority, now)
        place_s = latest_s
        if rate > 0:
            place_s = max(_EARLIEST_S, (ahead + 1) / (rate * _RETURN_SHARE))
        if place_s >= latest_s:
            place_s = latest_s * (1 - _SPREAD_SHARE * self._next_spread())
        bisect.insort(self._places.setdefault(priority, []), now + place_s)
        return place_s

    def _count_ahead(self, priority: _Priority, now: float) -> int:
        """Return how many announced returns of no lower priority are due."""
        count = 0
        for other, places in self._places.items():
            del places[: bisect.bisect_right(places, now)]
            if other <= priority:
                count += len(places)
        return count

    def _next_spread(self) -> float:
        """Return the next position in the spread, from 0 to below 1."""
        self._spread_index += _SPREAD_STRIDE
        return self._spread_index % _SPREAD_STEPS / _SPREAD_STEPS
