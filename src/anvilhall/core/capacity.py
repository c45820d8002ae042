"""Plans the number of a pool's runners of each kind in each failure domain.

Standing runners stay until they are given back. Reclaimable runners cost a
part of that and may be taken away within seconds, all of a domain at once, and
none may be had for some time after it. Standing runners therefore carry what
must be served without the others, and reclaimable ones the rest.

The module is pure: demand, runners and time are passed in, and the changes that
are returned are ordered elsewhere.
"""

import collections
import math
from collections.abc import Iterable, Mapping

import msgspec

from anvilhall.core.demand import PROMISED, SERVED, Load, RunnerModel
from anvilhall.core.messages import PoolDemand
from anvilhall.core.orders import (
    Change,
    Group,
    OrderBook,
    OrderResult,
    RunnerCounts,
)
from anvilhall.core.settings import Scaling

#: Seconds for which the highest demand counts. Bursts come every 10 to 20 s, so
#: that at least one burst is always among them.
HISTORY_S = 30.0
#: Seconds of observed demand before runners are given back: the longest time
#: between two bursts.
OBSERVE_S = 20.0
#: The same without any demand: traffic may begin late, or pause.
IDLE_S = 60.0
#: Seconds without a report after which the demand counts as unknown.
_STALE_S = 3.0
#: Seconds between two steps down, and without a step down after a raise or
#: after requests were refused or late.
_STEP_INTERVAL_S = 3.0
_HOLD_S = 15.0
#: Share of the runners that one step down gives back.
_STEP_SHARE = 0.1
#: Share of the ordered runners that must be there before standing ones are
#: given back.
_PRESENT_SHARE = 0.9
#: Reclaimable runners that are ordered before the demand is known, relative to
#: the room below the maximum or to the standing ones, whichever is less. The
#: rest of the room is left for standing runners, which are ordered at once if
#: the reclaimable ones are taken away.
START_SHARE = 0.8
#: Capacity relative to the highest recent demand, with reclaimable runners and
#: without. A burst may be higher than those before it.
_RESERVE = 1.5
_STANDING_RESERVE = 1.25
#: The same of the part that standing runners must carry alone.
_BASE_RESERVE = 1.15
#: Load of a runner that may be tried, relative to that which was served
#: without late requests.
_PROVEN_GROWTH = 1.15
#: Share of late requests from which the capacity is raised: half of that which
#: the targets allow, as they are for 95 % of the requests.
_LATE_SHARE = 0.025
#: Share of the slots below which lateness has other reasons than the load.
_LOADED_SHARE = 0.1
#: Late requests in a second below which their share says nothing.
_LATE_COUNT = 4
#: Factor on the need for each second with late requests, the largest factor
#: due to these, and due to refusals.
_LATE_GROWTH = 1.1
_MAX_LATE_STRAIN = 2.0
_MAX_STRAIN = 3.0
#: Time in seconds in which the excess of that factor falls to about a third.
_STRAIN_DECAY_S = 60.0
#: Range of the standing runners of a domain relative to an equal share.
_LEAST_SHARE = 0.7
_LARGEST_SHARE = 1.3


class Need(msgspec.Struct, frozen=True):
    """Runners that a demand needs."""

    #: To keep the promised latencies.
    promised: int = 0
    #: To keep them for the highest tier only.
    urgent: int = 0
    #: To serve all requests, some of them late.
    served: int = 0
    #: The requests themselves, at runners and in the queue.
    requests: int = 0

    def join(self, other: 'Need') -> 'Need':
        """Return the larger of each number."""
        return Need(
            max(self.promised, other.promised),
            max(self.urgent, other.urgent),
            max(self.served, other.served),
            max(self.requests, other.requests),
        )


class DemandHistory:
    """What the recent demand for a pool's runners needs.

    :param model: predicts the runners that a load needs.
    """

    __slots__ = (
        '_active_at',
        '_began_at',
        '_needs',
        '_pressed_at',
        '_proven',
        '_reported_at',
        '_strain',
        'model',
    )

    def __init__(self, model: RunnerModel) -> None:
        """Start without reports."""
        self.model = model
        #: Time and need of each report within the history.
        self._needs: collections.deque[tuple[float, Need]] = collections.deque()
        #: Time of the first report with demand, or before it of any report.
        self._began_at: float | None = None
        #: Time of the last report with demand, or of the first one.
        self._active_at = 0.0
        self._reported_at = -math.inf
        #: Time of the last report with refused or late requests.
        self._pressed_at = -math.inf
        #: Largest number of requests for each runner without late ones.
        self._proven = 0.0
        #: Factor by which the need exceeds the predicted one, as shown by
        #: refused and late requests.
        self._strain = 1.0

    @property
    def strain(self) -> float:
        """Factor by which the need exceeds the predicted one."""
        return self._strain

    def note(self, demand: PoolDemand, now: float) -> None:
        """Add a report."""
        load = Load.from_demand(demand)
        share = demand.urgent / max(1, demand.running + demand.waiting)
        urgent = load.scale(min(1.0, share))
        need = Need(
            self.model.count_runners(load, PROMISED),
            self.model.count_runners(urgent, PROMISED),
            self.model.count_runners(load, SERVED),
            demand.running + demand.waiting,
        )
        if self._began_at is None or (need.served and self._is_idle):
            self._began_at = now
            self._active_at = now
        if need.served:
            self._active_at = now
        self._needs.append((now, need))
        while self._needs[0][0] < now - HISTORY_S:
            self._needs.popleft()
        self._update_strain(demand, need, now)
        self._reported_at = now

    def measure_peak(self) -> Need:
        """Return the highest need within the history."""
        peak = Need()
        for _, need in self._needs:
            peak = peak.join(need)
        return peak

    def count_proven(self) -> int:
        """Return the runners for the highest demand as far as it is proven.

        Each is loaded little more than it was without late requests, whatever
        the model predicts.
        """
        if not self._proven:
            return 0
        return math.ceil(
            self.measure_peak().requests / (self._proven * _PROVEN_GROWTH)
        )

    def has_observed(self, now: float) -> bool:
        """Return whether the demand has been reported for long enough."""
        return self._began_at is not None and now - self._began_at >= OBSERVE_S

    def is_current(self, now: float) -> bool:
        """Return whether the demand is known."""
        return now - self._reported_at <= _STALE_S

    def is_pressed(self, now: float) -> bool:
        """Return whether requests were refused or late a short while ago."""
        return now - self._pressed_at <= _HOLD_S

    def may_lower(self, now: float) -> bool:
        """Return whether the demand is known for long enough to give back."""
        known = self.has_observed(now) and self.is_current(now)
        if self._is_idle and now - self._active_at < IDLE_S:
            return False
        return known and not self.is_pressed(now)

    @property
    def _is_idle(self) -> bool:
        return not any(need.served for _, need in self._needs)

    def _update_strain(
        self, demand: PoolDemand, need: Need, now: float
    ) -> None:
        elapsed_s = min(demand.period_s, _STALE_S)
        excess = self._strain - 1
        self._strain = 1 + excess * math.exp(-elapsed_s / _STRAIN_DECAY_S)
        if demand.refused:
            shown = _STANDING_RESERVE * demand.runners / max(1, need.promised)
            self._strain = min(_MAX_STRAIN, max(self._strain, shown))
            self._pressed_at = now
        elif _is_late(demand):
            # With fewer runners than predicted, lateness was to be expected.
            enough = demand.runners >= need.promised * self._strain
            if enough and self._strain < _MAX_LATE_STRAIN:
                grown = self._strain * _LATE_GROWTH
                self._strain = min(_MAX_LATE_STRAIN, grown)
            self._pressed_at = now
        elif not demand.late and demand.runners:
            self._proven = max(self._proven, need.requests / demand.runners)


class Planner:
    """Plans the runners of one pool.

    :param scaling: bounds and prices of the pool.
    :param model: predicts the runners that a load needs.
    """

    __slots__ = (
        '_lowered_at',
        '_pending',
        '_raised_at',
        '_scaling',
        'book',
        'history',
    )

    def __init__(self, scaling: Scaling, model: RunnerModel) -> None:
        """Start without demand and orders."""
        self._scaling = scaling
        self.history = DemandHistory(model)
        self.book = OrderBook()
        #: Planned numbers that are not in force yet.
        self._pending: dict[Group, int] = {}
        self._raised_at = -math.inf
        #: Time of the last step down. Both kinds share it, as each step counts
        #: on the runners of the other kind.
        self._lowered_at = -math.inf

    def set_pool(self, scaling: Scaling, model: RunnerModel) -> None:
        """Apply changed settings."""
        self._scaling = scaling
        self.history.model = model

    def adopt(
        self, orders: Mapping[Group, int], counts: RunnerCounts, now: float
    ) -> None:
        """Continue from the orders of earlier holders.

        More runners than were ordered are not given back at once: the order
        may not have been sent, or be an old one of a store that was restored.
        """
        self._pending.clear()
        adopted = {
            group: max(count, counts.ready.get(group, 0))
            for group, count in orders.items()
        }
        self.book.adopt(adopted, now)

    def plan(self, counts: RunnerCounts, now: float) -> list[Change]:
        """Return the numbers to order now, the most urgent ones first."""
        self.book.note_counts(counts, now)
        if not self.book.is_settled(now):
            return []
        wanted = {
            group: self.book.get_count(group) for group in self.book.groups
        }
        domains = self._list_domains(counts, now)
        if domains:
            wanted.update(self._plan_domains(domains, counts, now))
        self._pending = {
            group: count
            for group, count in wanted.items()
            if count != self.book.get_count(group)
        }
        return self._list_changes(wanted, counts, now)

    def _plan_domains(
        self, domains: list[str], counts: RunnerCounts, now: float
    ) -> dict[Group, int]:
        """Return the wanted numbers in domains that have runners."""
        standing = self._plan_standing(domains, counts, now)
        reclaimable = self._plan_reclaimable(domains, standing, counts, now)
        wanted: dict[Group, int] = {}
        for domain in domains:
            spare = reclaimable[domain]
            wanted[Group(domain, reclaimable=True)] = spare
            limit = max(0, self._scaling.maximum - spare)
            wanted[Group(domain)] = min(standing[domain], limit)
        return wanted

    def note_answer(
        self, change: Change, result: OrderResult, now: float
    ) -> None:
        """Note what became of an order."""
        if result is OrderResult.ACCEPTED:
            self.book.note_accepted(change.group, change.count, now)
        elif result is OrderResult.EXHAUSTED:
            self.book.note_exhausted(change.group, now)
        elif result is OrderResult.REFUSED:
            self.book.note_refused(change.group, now)

    def describe(self) -> dict[str, float]:
        """Return what the plan is based on, for the log."""
        peak = self.history.measure_peak()
        return {
            'need_promised': peak.promised,
            'need_urgent': peak.urgent,
            'need_served': peak.served,
            'strain': round(self.history.strain, 2),
        }

    def _list_domains(self, counts: RunnerCounts, now: float) -> list[str]:
        """Return the domains to plan for.

        The numbers in force for a domain that has lost all standing runners
        stay, and the others make up for it.
        """
        known = {group.failure_domain for group in self.book.groups}
        domains = sorted(known.union(self._scaling.prices))
        missing = self._count_missing(domains, counts, now)
        return [
            domain
            for domain in domains
            if not missing[domain] or counts.ready.get(Group(domain), 0)
        ]

    def _get_planned(
        self, domains: Iterable[str], now: float, *, reclaimable: bool = False
    ) -> dict[str, int]:
        """Return the planned numbers of a kind by domain.

        What can't be had now is not planned.
        """
        planned: dict[str, int] = {}
        for domain in domains:
            group = Group(domain, reclaimable)
            in_force = self.book.get_count(group)
            count = self._pending.get(group, in_force)
            if not self.book.may_raise(group, now):
                count = min(count, in_force)
            planned[domain] = count
        return planned

    def _measure_total(self, reserve: float, domains: list[str]) -> int:
        """Return the runners for the promised latencies, with a reserve."""
        promised = self.history.measure_peak().promised
        total = math.ceil(promised * self.history.strain * reserve)
        return min(total, self._scaling.maximum * len(domains))

    def _measure_base(self, domains: list[str]) -> int:
        """Return the standing runners that the highest tier needs.

        Without reclaimable ones, that is so if a domain is lost as well.
        """
        urgent = self.history.measure_peak().urgent * _BASE_RESERVE
        if len(domains) > 1 and not self._has_reclaimable:
            urgent *= len(domains) / (len(domains) - 1)
        return math.ceil(urgent)

    @property
    def _has_reclaimable(self) -> bool:
        price = self._scaling.reclaimable_price
        return price is not None and price < 1

    def _plan_standing(
        self, domains: list[str], counts: RunnerCounts, now: float
    ) -> dict[str, int]:
        """Return the wanted standing runners by domain."""
        ordered = self._get_planned(domains, now)
        current = sum(ordered.values())
        total = self._measure_total(_STANDING_RESERVE, domains)
        least = total - self._count_expected(domains, counts, now)
        least = max(least, self._measure_base(domains))
        missing = self._count_missing(domains, counts, now)
        if current - sum(missing.values()) < least:
            wanted = least + sum(missing.values())
            closed = frozenset(each for each in domains if missing[each])
            return self._raise_standing(ordered, wanted, closed, now)
        keep = max(least, self._measure_served())
        if current > keep and self._may_step(now):
            count = max(keep, current - _measure_step(current))
            needed = max(total, self.history.count_proven())
            if self._count_spare(needed, counts) >= current - count:
                return self._lower_standing(ordered, count, now)
        return self._bound_standing(ordered, now)

    def _measure_served(self) -> int:
        """Return the runners to serve all requests, some of them late."""
        served = self.history.measure_peak().served
        return math.ceil(served * _BASE_RESERVE)

    def _count_expected(
        self, domains: list[str], counts: RunnerCounts, now: float
    ) -> int:
        """Return the reclaimable runners that are there or can be ordered."""
        if not self._has_reclaimable:
            return 0
        expected = 0
        for domain in domains:
            group = Group(domain, reclaimable=True)
            if group in counts.reclaimed:
                continue
            expected += counts.ready.get(group, 0)
            if self.book.may_raise(group, now):
                room = self._scaling.maximum
                room -= self.book.get_count(Group(domain))
                expected += max(0, room - counts.ready.get(group, 0))
        return expected

    def _count_spare(self, total: int, counts: RunnerCounts) -> int:
        """Return the ready runners beyond a total.

        :return: 0 if too many of the ordered ones are missing.
        """
        ready = sum(counts.ready.values())
        ordered = sum(self.book.get_count(group) for group in self.book.groups)
        return ready - total if ready >= ordered * _PRESENT_SHARE else 0

    def _count_missing(
        self, domains: list[str], counts: RunnerCounts, now: float
    ) -> dict[str, int]:
        """Return the standing runners by domain that are not there."""
        boot_s = self._scaling.boot_s
        return {
            domain: self.book.count_missing(
                Group(domain), counts.ready.get(Group(domain), 0), boot_s, now
            )
            for domain in domains
        }

    def _raise_standing(
        self,
        ordered: dict[str, int],
        total: int,
        closed: frozenset[str],
        now: float,
    ) -> dict[str, int]:
        """Add runners in the cheapest domains, within a range.

        :param closed: domains in which none can be had.
        """
        balanced = math.ceil(total / len(ordered) * _LARGEST_SHARE)
        raised = self._bound_standing(ordered, now)
        candidates = [
            domain
            for domain in sorted(raised, key=self._get_price)
            if domain not in closed and self.book.may_raise(Group(domain), now)
        ]
        # Beyond the range only if the domains within it are full.
        for limit in (balanced, self._scaling.maximum):
            for domain in candidates:
                lacking = total - sum(raised.values())
                room = min(limit, self._scaling.maximum) - raised[domain]
                raised[domain] += max(0, min(room, lacking))
        if raised != ordered:
            self._raised_at = now
        return raised

    def _lower_standing(
        self, ordered: dict[str, int], total: int, now: float
    ) -> dict[str, int]:
        """Remove runners in the dearest domains, within a range."""
        share = total / len(ordered)
        lowered = self._bound_standing(ordered, now)
        # Domains above the range come first, whatever their price.
        for limit in (
            math.ceil(share * _LARGEST_SHARE),
            max(int(share * _LEAST_SHARE), self._scaling.minimum),
        ):
            for domain in sorted(lowered, key=self._get_price, reverse=True):
                excess = sum(lowered.values()) - total
                spare = lowered[domain] - limit
                lowered[domain] -= max(0, min(spare, excess))
        if lowered != ordered:
            self._lowered_at = now
        return lowered

    def _bound_standing(
        self, ordered: dict[str, int], now: float
    ) -> dict[str, int]:
        scaling = self._scaling
        if not self.history.has_observed(now):
            return dict(ordered)
        return {
            domain: min(max(count, scaling.minimum), scaling.maximum)
            for domain, count in ordered.items()
        }

    def _plan_reclaimable(
        self,
        domains: list[str],
        standing: Mapping[str, int],
        counts: RunnerCounts,
        now: float,
    ) -> dict[str, int]:
        """Return the wanted reclaimable runners by domain."""
        ordered = self._get_planned(domains, now, reclaimable=True)
        if not self._has_reclaimable:
            return dict.fromkeys(domains, 0)
        room = self._measure_room(domains, standing)
        wanted = self._count_reclaimable(domains, standing, room)
        if self._is_new(domains):
            least = min(sum(room.values()), sum(standing.values()))
            wanted = max(wanted, int(least * START_SHARE))
        current = sum(ordered.values())
        if wanted < current:
            if self._may_step(now):
                proven = self.history.count_proven() - sum(standing.values())
                wanted = max(wanted, proven, current - _measure_step(current))
                wanted = min(wanted, current)
            else:
                wanted = current
        planned = _level(ordered, wanted, room, self._scaling.prices)
        if sum(planned.values()) < current:
            self._lowered_at = now
        for domain in domains:
            group = Group(domain, reclaimable=True)
            if not self.book.may_raise(group, now):
                planned[domain] = min(planned[domain], ordered[domain])
            if group in counts.reclaimed:
                # Makes room for standing runners.
                planned[domain] = min(
                    planned[domain], counts.ready.get(group, 0)
                )
        return planned

    def _measure_room(
        self, domains: list[str], standing: Mapping[str, int]
    ) -> dict[str, int]:
        """Return the largest numbers of reclaimable runners by domain.

        Reclaimable runners that serve are not given back for standing ones,
        as the domain would have fewer runners for the time of a boot.
        """
        room: dict[str, int] = {}
        for domain in domains:
            ordered = self.book.get_count(Group(domain))
            free = max(0, self._scaling.maximum - ordered)
            left = max(0, self._scaling.maximum - standing[domain])
            kept = self.book.get_count(Group(domain, reclaimable=True))
            room[domain] = min(free, max(left, kept))
        return room

    def _count_reclaimable(
        self,
        domains: list[str],
        standing: Mapping[str, int],
        room: Mapping[str, int],
    ) -> int:
        """Return how many reclaimable runners are needed in all domains.

        If those of one domain are taken away, the others suffice.
        """
        kept = max(self._measure_base(domains), self._measure_served())
        kept = min(sum(standing.values()), kept)
        needed: float = max(0, self._measure_total(_RESERVE, domains) - kept)
        if len(domains) > 1:
            needed *= len(domains) / (len(domains) - 1)
        return min(math.ceil(needed), sum(room.values()))

    def _is_new(self, domains: list[str]) -> bool:
        """Return whether no reclaimable runner was ever ordered."""
        return not any(
            self.book.has_order(Group(domain, reclaimable=True))
            for domain in domains
        )

    def _get_price(self, domain: str) -> float:
        return self._scaling.prices.get(domain, 1.0)

    def _may_step(self, now: float) -> bool:
        """Return whether runners may be given back now."""
        return (
            self.history.may_lower(now)
            and now - self._lowered_at >= _STEP_INTERVAL_S
            and now - self._raised_at >= _HOLD_S
        )

    def _list_changes(
        self, wanted: Mapping[Group, int], counts: RunnerCounts, now: float
    ) -> list[Change]:
        boot_s = self._scaling.boot_s
        changes: list[Change] = []
        for group, planned in wanted.items():
            if self.book.is_refused(group, now):
                continue
            ready = counts.ready.get(group, 0)
            before = self.book.get_count(group)
            count = self._limit_raise(group, planned, now)
            overdue = self.book.is_overdue(group, ready, boot_s, now)
            blocked = count > ready and not self.book.may_raise(group, now)
            if count != before or (overdue and not blocked):
                changes.append(Change(group, count, before))
        return sorted(changes, key=_get_urgency)

    def _limit_raise(self, group: Group, planned: int, now: float) -> int:
        """Return the number to order now on the way to a planned one.

        The limit of a domain holds for the numbers in force, so that one kind
        is lowered before the other is raised.
        """
        before = self.book.get_count(group)
        if planned <= before:
            return planned
        if not self.book.may_raise(group, now):
            return before
        other = Group(group.failure_domain, not group.reclaimable)
        room = self._scaling.maximum - self.book.get_count(other)
        return max(before, min(planned, room))


def _is_late(demand: PoolDemand) -> bool:
    """Return whether too many requests are late because of the load."""
    requests = demand.running + demand.waiting
    loaded = requests >= demand.slots * _LOADED_SHARE
    allowed = max(demand.granted, requests) * _LATE_SHARE
    return loaded and demand.late >= max(_LATE_COUNT, allowed)


def _measure_step(current: int) -> int:
    return max(1, int(current * _STEP_SHARE))


def _level(
    counts: Mapping[str, int],
    total: int,
    room: Mapping[str, int],
    prices: Mapping[str, float],
) -> dict[str, int]:
    """Change numbers of runners to a sum, the most uneven ones first.

    Of domains with the same number, the cheaper one gets more.

    :param room: largest number of each.
    """
    levelled = {
        domain: min(count, room[domain]) for domain, count in counts.items()
    }
    total = min(total, sum(room.values()))
    while sum(levelled.values()) < total:
        lowest = min(
            (count, prices.get(domain, 1.0), domain)
            for domain, count in levelled.items()
            if count < room[domain]
        )
        levelled[lowest[-1]] += 1
    while sum(levelled.values()) > total:
        highest = max(
            (count, prices.get(domain, 1.0), domain)
            for domain, count in levelled.items()
        )
        levelled[highest[-1]] -= 1
    return levelled


def _get_urgency(change: Change) -> tuple[bool, int, Group]:
    """Return the order of changes.

    Raises come first, the largest one before the others, then repeated orders
    and those that lower a number.
    """
    added = change.count - change.before
    return added <= 0, -added, change.group
