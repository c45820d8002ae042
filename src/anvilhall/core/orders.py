"""Numbers of runners that are ordered, in force and listed.

Runners of one kind in a failure domain form a group, which is ordered together.
"""

import collections
import enum
import math
from collections.abc import Iterable, Mapping

import msgspec

from anvilhall.core.members import Member

#: Seconds for which reclaimable runners are not ordered after some were taken
#: away, and after an order for lack of runners failed: at first, and at most.
_RECLAIM_HOLD_S = 10.0
_RETRY_S = 4.0
_MAX_RETRY_S = 8.0
#: Seconds without an order for a group after one that was not allowed. Runners
#: that are being taken away may still count for the limit of their domain.
_REFUSED_S = 3.0
#: Seconds beyond the time of a boot after which an order that the registry
#: does not show is repeated. The registry lags by up to two seconds.
_CARRY_OUT_S = 4.0
#: Seconds for which the largest number of runners seen stands for the number
#: that was ordered, where this system has ordered none. The registry lists
#: runners one by one.
_SEEN_S = 10.0
#: Seconds after the first runner was seen in which all are listed.
_LISTING_S = 2.0


class Group(msgspec.Struct, frozen=True, order=True):
    """Runners of one kind in a failure domain, which are ordered together."""

    failure_domain: str
    reclaimable: bool = False


class Change(msgspec.Struct, frozen=True):
    """A number of runners to order."""

    group: Group
    count: int
    #: The number ordered before; the same if the order is repeated.
    before: int


class OrderResult(enum.Enum):
    """What became of an order."""

    ACCEPTED = 'accepted'
    #: It is to be sent again.
    DEFERRED = 'deferred'
    #: No runner of the group can be had now.
    EXHAUSTED = 'exhausted'
    #: The platform does not allow it.
    REFUSED = 'refused'


class RunnerCounts(msgspec.Struct, frozen=True):
    """Runners of a pool as the registry lists them."""

    #: Runners that take requests.
    ready: Mapping[Group, int]
    #: Groups of which most runners are being taken away. Of a group that is
    #: lowered, only a few runners leave at once.
    reclaimed: frozenset[Group] = frozenset()

    @classmethod
    def from_members(
        cls, pool: str, members: Iterable[Member]
    ) -> 'RunnerCounts':
        """Count the runners of a pool."""
        ready: collections.Counter[Group] = collections.Counter()
        leaving: collections.Counter[Group] = collections.Counter()
        for member in members:
            group = Group(member.failure_domain, member.reclaimable)
            if member.pool != pool:
                continue
            if not member.leaving:
                ready[group] += 1
            elif member.reclaimable and member.leaves_in_s is not None:
                leaving[group] += 1
        reclaimed = (
            group for group in leaving if leaving[group] > ready[group]
        )
        return cls(ready, frozenset(reclaimed))


class _Order:
    """Number of runners that is in force for a group."""

    __slots__ = ('changed_at', 'count', 'sent_at')

    def __init__(self, count: int, now: float) -> None:
        self.count = count
        #: Monotonic time of the change to this number, and of the last order.
        self.changed_at = now
        self.sent_at = now


class OrderBook:
    """Numbers of runners that are in force, and what can be had."""

    __slots__ = (
        '_began_at',
        '_blocked',
        '_delays',
        '_orders',
        '_refused',
        '_seen',
    )

    def __init__(self) -> None:
        """Start without orders."""
        self._orders: dict[Group, _Order] = {}
        #: Time at which runners were seen first.
        self._began_at: float | None = None
        #: Time until which a group is not raised.
        self._blocked: dict[Group, float] = {}
        #: Time until which a group is not ordered at all.
        self._refused: dict[Group, float] = {}
        #: Length of the last block because of a failed order.
        self._delays: dict[Group, float] = {}
        #: Largest number of ready runners seen of late, and when.
        self._seen: dict[Group, tuple[int, float]] = {}

    @property
    def groups(self) -> set[Group]:
        """Groups that have runners or orders."""
        return {*self._orders, *self._seen}

    def adopt(self, orders: Mapping[Group, int], now: float) -> None:
        """Take over the orders of earlier holders."""
        self._orders = {
            group: _Order(count, now) for group, count in orders.items()
        }

    def has_order(self, group: Group) -> bool:
        """Return whether a number was ordered for a group."""
        return group in self._orders

    def get_count(self, group: Group) -> int:
        """Return the number of runners that is in force."""
        order = self._orders.get(group)
        return order.count if order else self._seen.get(group, (0, 0))[0]

    def note_counts(self, counts: RunnerCounts, now: float) -> None:
        """Apply the registry's runners."""
        if counts.ready and self._began_at is None:
            self._began_at = now
        listed = self._seen.keys() | counts.ready.keys()
        for group in listed:
            ready = counts.ready.get(group, 0)
            count, seen_at = self._seen.get(group, (0, now))
            # A group without any runner is lost, and is to come back as it was.
            if ready >= count or (ready and now - seen_at > _SEEN_S):
                self._seen[group] = (ready, now)
        if any(
            counts.ready.get(taken, 0) < self.get_count(taken)
            or not self.may_raise(taken, now)
            for taken in counts.reclaimed
        ):
            # No domain has any for a while.
            for each in self.groups:
                if each.reclaimable:
                    self._block(each, now + _RECLAIM_HOLD_S)

    def is_settled(self, now: float) -> bool:
        """Return whether the numbers in force are known."""
        if self._orders:
            return True
        began_at = self._began_at
        return began_at is not None and now - began_at >= _LISTING_S

    def may_raise(self, group: Group, now: float) -> bool:
        """Return whether more runners of a group may be there to order."""
        return now >= self._blocked.get(group, -math.inf)

    def note_accepted(self, group: Group, count: int, now: float) -> None:
        """Note an order that has taken effect."""
        if count > self.get_count(group):
            self._delays.pop(group, None)
        order = self._orders.get(group)
        if order and order.count == count:
            order.sent_at = now
        else:
            self._orders[group] = _Order(count, now)

    def note_refused(self, group: Group, now: float) -> None:
        """Note an order that the platform does not allow."""
        self._refused[group] = now + _REFUSED_S

    def is_refused(self, group: Group, now: float) -> bool:
        """Return whether an order of a group was refused of late."""
        return now < self._refused.get(group, -math.inf)

    def note_exhausted(self, group: Group, now: float) -> None:
        """Note an order that has no effect, as there is no such runner."""
        delay_s = self._delays.get(group, _RETRY_S / 2) * 2
        self._delays[group] = min(delay_s, _MAX_RETRY_S)
        self._block(group, now + self._delays[group])

    def is_overdue(
        self, group: Group, ready: int, boot_s: float, now: float
    ) -> bool:
        """Return whether the registry should show an order and does not."""
        order = self._orders.get(group)
        if order is None:
            # Runners that were not ordered may have restarted by themselves.
            count, sent_at = self._seen.get(group, (0, now))
            count = 0 if ready else count
        else:
            count = order.count
            sent_at = order.sent_at
        return ready != count and now - sent_at > boot_s + _CARRY_OUT_S

    def count_missing(
        self, group: Group, ready: int, boot_s: float, now: float
    ) -> int:
        """Return the ordered runners that should be there and are not."""
        order = self._orders.get(group)
        if order and now - order.changed_at <= boot_s + _CARRY_OUT_S:
            return 0
        return max(0, self.get_count(group) - ready)

    def _block(self, group: Group, until: float) -> None:
        self._blocked[group] = max(until, self._blocked.get(group, until))
