"""Decides when a late request is sent to a second runner, and how often.

Each instance decides alone, on the requests that it has sent itself.
"""

import bisect
import collections
import enum
import math
from collections.abc import Mapping

#: First answers kept for each class, and seconds for which they count. Speeds
#: of runners follow their load, which changes within a minute.
_KEPT = 128
_KEPT_S = 60.0
#: Answers from which on requests may be late: the next one exceeds the largest
#: of them with a probability of a tenth.
_LEAST = 9
#: Share of first answers that are not late: the rest, up to the share of extra
#: sends. A lower quantile would spend them on requests that are hardly late.
_LEAST_QUANTILE = 0.9
_GREATEST_QUANTILE = 0.98
#: Multiple of the median below which a request is not late. A copy takes about
#: one median, so an earlier one would seldom arrive before the first answer.
_MEDIAN_FACTOR = 2
#: Seconds that the ask for a runner and the connection to it take at most, as
#: links between domains have up to 1.4 ms and each takes a round trip.
_COPY_COST_S = 0.006
#: Extra sends that may be saved up. A fault that makes many requests late at
#: once gets no more than these beyond the share.
_MAX_SAVED = 2.0
#: Sums of shares are not exact.
_ROUNDING = 1e-6
#: Seconds for which a pool counts as short of room after a request has waited.
_SHORTAGE_S = 1.0


class Denial(enum.StrEnum):
    """Reason for which a late request is not sent a second time."""

    ATTEMPTS = 'attempts'
    BEGUN = 'begun'
    BUDGET = 'retry_budget'
    DEADLINE = 'deadline'
    NO_ROOM = 'no_room'
    NO_RUNNER = 'no_runner'
    SHARE = 'share'
    STOP = 'stop'
    WAITING = 'waiting'


class FirstAnswers:
    """Recent times to the first answer of one class.

    :param quantile: share of the answers that are not late, in (0, 1).
    """

    __slots__ = ('_noted', '_quantile', '_sorted')

    def __init__(self, quantile: float) -> None:
        """Start without answers."""
        self._quantile = quantile
        #: Monotonic times at which answers were noted, and their seconds.
        self._noted: collections.deque[tuple[float, float]] = (
            collections.deque()
        )
        self._sorted: list[float] = []

    def note(self, waited_s: float, now: float) -> None:
        """Add an answer.

        :param waited_s: seconds from the first send of the request, whichever
            copy was answered. Answers to copies are later than the quantile
            was, so they hardly lower it.
        :param now: monotonic seconds.
        """
        self._drop_old(now)
        if len(self._noted) == _KEPT:
            self._drop_oldest()
        self._noted.append((now, waited_s))
        bisect.insort(self._sorted, waited_s)

    def compute_delay_s(self, now: float) -> float:
        """Return the seconds after which a request is late.

        Of ``n`` answers in order, the next one exceeds the ``k``-th with
        probability ``(n + 1 - k) / (n + 1)``, whatever the distribution. So
        ``quantile / (1 - quantile)`` answers show a quantile, 19 that of 0.95;
        of fewer ones, the largest is taken.

        :return: infinite while there are too few answers.
        """
        self._drop_old(now)
        count = len(self._sorted)
        if count < _LEAST:
            return math.inf
        rank = math.ceil(self._quantile * (count + 1) - _ROUNDING)
        rank = min(rank, count)
        least_s = _MEDIAN_FACTOR * self._compute_median_s() + _COPY_COST_S
        return max(self._sorted[rank - 1], least_s)

    def estimate_copy_s(self) -> float:
        """Return the seconds that a copy usually takes; 0: unknown."""
        if not self._sorted:
            return 0.0
        return self._compute_median_s() + _COPY_COST_S

    def _compute_median_s(self) -> float:
        return self._sorted[len(self._sorted) // 2]

    def _drop_old(self, now: float) -> None:
        while self._noted and self._noted[0][0] < now - _KEPT_S:
            self._drop_oldest()

    def _drop_oldest(self) -> None:
        _, waited_s = self._noted.popleft()
        self._sorted.pop(bisect.bisect_left(self._sorted, waited_s))


class ExtraSends:
    """Limits the extra sends of one class to a share of its first sends.

    :param share: extra sends allowed for each first send.
    """

    __slots__ = ('_saved', '_share')

    def __init__(self, share: float) -> None:
        """Start with none allowed."""
        self._share = share
        self._saved = 0.0

    @property
    def left(self) -> bool:
        """Whether a request may be sent a second time."""
        return self._saved >= 1 - _ROUNDING

    def earn(self) -> None:
        """Count a first send."""
        self._saved = min(_MAX_SAVED, self._saved + self._share)

    def spend(self) -> None:
        """Count an extra send."""
        self._saved = max(0.0, self._saved - 1)


class _Class:
    """State of one class."""

    __slots__ = ('answers', 'extra')

    def __init__(self, share: float) -> None:
        quantile = min(max(1 - share, _LEAST_QUANTILE), _GREATEST_QUANTILE)
        self.answers = FirstAnswers(quantile)
        self.extra = ExtraSends(share)


class Hedging:
    """Late requests of one instance, by class.

    :param share: extra sends allowed for each first send of a class; 0: none.
    :param shares: other shares, by the names of classes.
    """

    __slots__ = ('_classes', '_late', '_share', '_shares', '_short_until')

    def __init__(
        self, share: float, shares: Mapping[str, float] | None = None
    ) -> None:
        """Start without requests."""
        self._share = share
        self._shares = shares or {}
        self._classes: dict[str, _Class] = {}
        #: Number of late requests that each runner has not answered yet.
        self._late: collections.Counter[str] = collections.Counter()
        #: Monotonic times until which pools count as short of room.
        self._short_until: dict[str, float] = {}

    @classmethod
    def from_settings(
        cls, share: float, shares: Mapping[str, float]
    ) -> 'Hedging | None':
        """Return the state of an instance; ``None`` if no share is above 0."""
        if share > 0 or any(each > 0 for each in shares.values()):
            return cls(share, shares)
        return None

    def note_send(self, class_name: str) -> None:
        """Count the first send of a request."""
        if self._get_share(class_name) > 0:
            self._get(class_name).extra.earn()

    def note_answer(self, class_name: str, waited_s: float, now: float) -> None:
        """Note how long a caller waited for the first answer.

        :param waited_s: seconds from the first send of the request.
        :param now: monotonic seconds.
        """
        if self._get_share(class_name) > 0:
            self._get(class_name).answers.note(waited_s, now)

    def compute_delay_s(self, class_name: str, now: float) -> float:
        """Return the seconds after which a request is late.

        :return: infinite if requests of the class are not sent twice.
        """
        if self._get_share(class_name) <= 0:
            return math.inf
        return self._get(class_name).answers.compute_delay_s(now)

    def find_denial(
        self, class_name: str, pool: str, deadline_at: float, now: float
    ) -> Denial | None:
        """Return why a late request is not sent a second time, if so.

        :param deadline_at: monotonic time at which the request times out.
        """
        state = self._get(class_name)
        if not state.extra.left:
            return Denial.SHARE
        if deadline_at - now <= state.answers.estimate_copy_s():
            return Denial.DEADLINE
        if now < self._short_until.get(pool, 0):
            return Denial.WAITING
        return None

    def spend(self, class_name: str) -> None:
        """Count an extra send."""
        self._get(class_name).extra.spend()

    def note_shortage(self, pool: str, now: float) -> None:
        """Note that a request has waited for room in a pool, or was refused."""
        self._short_until[pool] = now + _SHORTAGE_S

    def begin_late(self, runner: str) -> None:
        """Note that a runner has not answered a request in time."""
        self._late[runner] += 1

    def end_late(self, runner: str) -> None:
        """Note that a late request has been answered or has ended."""
        self._late[runner] -= 1
        if self._late[runner] <= 0:
            self._late.pop(runner)

    def list_late(self) -> frozenset[str]:
        """Return the runners that have late requests now."""
        return frozenset(self._late)

    def _get_share(self, class_name: str) -> float:
        return self._shares.get(class_name, self._share)

    def _get(self, class_name: str) -> _Class:
        state = self._classes.get(class_name)
        if state is None:
            state = _Class(self._get_share(class_name))
            self._classes[class_name] = state
        return state
