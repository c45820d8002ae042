"""Orders runners as the demand for a pool's runners needs them."""

import collections
from collections.abc import Iterable, Mapping
from urllib.parse import quote, unquote

import msgspec

from anvilhall.core.capacity import Planner
from anvilhall.core.demand import RunnerModel
from anvilhall.core.members import Member
from anvilhall.core.messages import Message, PoolDemand
from anvilhall.core.orders import Change, Group, OrderResult, RunnerCounts
from anvilhall.core.routes import RoutingSettings
from anvilhall.core.tree import Tree
from anvilhall.decoding import decode_json
from anvilhall.duties.base import (
    DUTIES,
    Answer,
    DutyServices,
    RunnerOrder,
    Term,
)
from anvilhall.exceptions import MalformedData
from anvilhall.logs import log_event

#: First part of the keys of this duty's decisions.
_PREFIX = 'capacity'
#: Names of the two kinds of runners in keys, log lines and metrics.
_STANDING = 'standing'
_RECLAIMABLE = 'reclaimable'
_KEY_PARTS = 4
#: Share of the API's calls that this duty makes in any second. Other duties
#: share the limit.
_CALL_SHARE = 0.6
_CALL_WINDOW_S = 1.0
_RESULTS = {
    Answer.ACCEPTED: OrderResult.ACCEPTED,
    Answer.BUSY: OrderResult.DEFERRED,
    Answer.EXHAUSTED: OrderResult.EXHAUSTED,
    Answer.REFUSED: OrderResult.REFUSED,
}


class _Decision(msgspec.Struct, frozen=True):
    """Decided number of runners of a group."""

    count: int


@DUTIES.register('autoscale')
class CapacityDuty:
    """Plans the runners of all pools that may grow or shrink.

    Each instance reports the demand for the pools that it owns to the readers
    of the registry, one of which is the holder; so the next holder knows the
    recent demand as well.
    """

    __slots__ = (
        '_adopted',
        '_called_at',
        '_planners',
        '_services',
        '_settings',
        '_token',
    )

    def __init__(self, services: DutyServices) -> None:
        """Start without pools."""
        self._services = services
        self._planners: dict[str, Planner] = {}
        #: Settings that the planners have been given.
        self._settings: RoutingSettings | None = None
        #: Token of the last term of this instance, and the pools whose earlier
        #: orders it has taken over.
        self._token = -1
        self._adopted: set[str] = set()
        #: Times of the calls within the last second.
        self._called_at: collections.deque[float] = collections.deque()
        services.fleet.add_handler(PoolDemand, self._handle_demand)

    @classmethod
    def from_config(cls, services: DutyServices) -> 'CapacityDuty':
        """Create the duty and register its message handlers."""
        return cls(services)

    def update(self) -> None:
        """Report the demand for the runners of owned pools."""
        fleet = self._services.fleet
        for report in fleet.broker.owner.take_demand():
            fleet.readers.send(report)

    async def perform(self, term: Term) -> None:
        """Order the runners whose number is to change.

        :raises AnvilhallError: if an order has no answer; it stays planned.
        """
        self._update_planners()
        services = self._services
        members = services.list_runners()
        self._adopt_orders(term, members)
        for pool, planner in list(self._planners.items()):
            counts = RunnerCounts.from_members(pool, members)
            now = services.clock.monotonic()
            changes = planner.plan(counts, now)
            for change in changes[: self._count_calls_left(now)]:
                self._called_at.append(now)
                answer = await self._order(term, pool, change)
                planner.note_answer(
                    change, _RESULTS[answer], services.clock.monotonic()
                )
                if answer is Answer.BUSY:
                    return

    def _count_calls_left(self, now: float) -> int:
        while self._called_at and self._called_at[0] <= now - _CALL_WINDOW_S:
            self._called_at.popleft()
        limit = int(self._services.duties.calls_per_s * _CALL_SHARE)
        return max(0, max(1, limit) - len(self._called_at))

    def _adopt_orders(self, term: Term, members: Iterable[Member]) -> None:
        """Continue from the orders of earlier holders."""
        if term.token != self._token:
            self._token = term.token
            self._adopted.clear()
        now = self._services.clock.monotonic()
        for pool in self._planners.keys() - self._adopted:
            orders = _read_decisions(pool, term.decisions)
            counts = RunnerCounts.from_members(pool, members)
            self._planners[pool].adopt(orders, counts, now)
            self._adopted.add(pool)

    async def _order(self, term: Term, pool: str, change: Change) -> Answer:
        """Record a number of runners and order it.

        :return: also :attr:`Answer.BUSY` if another decision is in force.
        """
        group = change.group
        key = _build_key(pool, group)
        content = msgspec.json.encode(_Decision(change.count))
        if term.decisions.get(key) != content:
            in_force = await term.decide(key, content)
            if in_force != content:
                log_event('decision_superseded', key=key, token=term.token)
                return Answer.BUSY
        answer = await term.order_runners(
            RunnerOrder(
                pool, group.failure_domain, change.count, group.reclaimable
            )
        )
        kind = _name_kind(group)
        self._services.metrics.runner_orders.labels(
            pool, kind, answer.value
        ).inc()
        log_event(
            'runners_ordered',
            pool=pool,
            failure_domain=group.failure_domain,
            runner_kind=kind,
            count=change.count,
            before=change.before,
            result=answer.value,
            token=term.token,
            need=self._planners[pool].describe(),
        )
        return answer

    def _handle_demand(self, _: str, message: Message) -> None:
        assert isinstance(message, PoolDemand)  # noqa: S101
        self._update_planners()
        planner = self._planners.get(message.pool)
        if planner:
            planner.history.note(message, self._services.clock.monotonic())

    def _update_planners(self) -> None:
        """Apply the settings in force."""
        settings = self._services.get_settings()
        if settings is None or settings is self._settings:
            return
        self._settings = settings
        pools = {
            name: (pool.scaling, _build_model(settings.tree, name))
            for name, pool in settings.tree.pools.items()
            if pool.scaling
        }
        for gone in self._planners.keys() - pools.keys():
            del self._planners[gone]
            self._adopted.discard(gone)
        for name, (scaling, model) in pools.items():
            planner = self._planners.setdefault(name, Planner(scaling, model))
            planner.set_pool(scaling, model)


def _build_model(tree: Tree, pool: str) -> RunnerModel:
    classes = (each for each in tree.classes.values() if each.pool == pool)
    return RunnerModel(tree.pools[pool], classes)


def _name_kind(group: Group) -> str:
    return _RECLAIMABLE if group.reclaimable else _STANDING


def _build_key(pool: str, group: Group) -> str:
    """Return the key of a group's decisions."""
    parts = (_PREFIX, pool, group.failure_domain, _name_kind(group))
    return '/'.join(quote(part, safe='') for part in parts)


def _parse_key(key: str) -> tuple[str, Group] | None:
    """Return pool and group of a decision; ``None``: not of this duty."""
    parts = [unquote(part) for part in key.split('/')]
    if parts[0] != _PREFIX or len(parts) != _KEY_PARTS:
        return None
    _, pool, domain, kind = parts
    return pool, Group(domain, kind == _RECLAIMABLE)


def _read_decisions(
    pool: str, decisions: Mapping[str, bytes]
) -> dict[Group, int]:
    """Return the decided numbers of a pool's runners."""
    orders: dict[Group, int] = {}
    for key, content in decisions.items():
        parsed = _parse_key(key)
        if parsed is None or parsed[0] != pool:
            continue
        try:
            decided = decode_json(content, _Decision)
        except MalformedData as error:
            # The number in the registry stands for it.
            log_event('decision_unusable', key=key, reason=error.reason)
        else:
            orders[parsed[1]] = decided.count
    return orders
