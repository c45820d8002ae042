"""Shards that this instance owns, and the handling of messages to them.

The module does no I/O: messages leave through the callback given at
construction.
"""

import functools
from collections.abc import Callable, Iterable

import msgspec

from anvilhall import defaults
from anvilhall.clock import Clock
from anvilhall.core.messages import (
    Ask,
    Grant,
    HeldAsk,
    HeldList,
    Inventory,
    Pause,
    PoolDemand,
    Progress,
    Queued,
    Refusal,
    Release,
)
from anvilhall.core.outbox import Outbox
from anvilhall.core.policies import DEFAULT_POLICY, POLICIES
from anvilhall.core.quarantine import Quarantine
from anvilhall.core.roster import RunnerEndpoint
from anvilhall.core.runners import Runner
from anvilhall.core.shard import Action, Shard
from anvilhall.core.tree import Tree
from anvilhall.exceptions import Overloaded

#: Code of a refusal by an instance that does not own the shard.
NOT_OWNER = 'not_owner'

#: Seconds without a report of a running request after which its instance is
#: asked whether it still holds the grant, and between two such checks.
_SILENT_S = 5.0
_CHECK_INTERVAL_S = 1.0

OwnerMessage = Grant | Refusal | Queued | Pause | HeldAsk
RequesterMessage = Ask | Progress | Release | Inventory | HeldList
Deliver = Callable[[str, OwnerMessage], None]


class _OwnedShard:
    """One owned shard and the peers whose inventory it still waits for."""

    __slots__ = ('awaited_peers', 'settled_at', 'shard')

    def __init__(
        self, shard: Shard, awaited_peers: set[str], until: float
    ) -> None:
        self.shard = shard
        self.awaited_peers = awaited_peers
        #: Monotonic time at which the owner stops waiting for inventories.
        self.settled_at = until

    def is_settled(self, now: float) -> bool:
        return not self.awaited_peers or now >= self.settled_at


class Owner:
    """Owned shards by pool name.

    :param clock: source of time.
    :param deliver: sends a message to an instance, this one included; called
        after the step in which the message arises.
    :param policy: name of the scheduling policy.
    :param settling_s: seconds that a new owner waits for peers' inventories
        before it grants slots.
    :param salt: seed of the order in which runners are filled.
    :param quarantine: prompts to refuse.
    :param may_probe: whether the shards let through probes of them.
    :param outbox: queue of the messages; one of its own by default.
    """

    __slots__ = (
        '_checked_at',
        '_clock',
        '_deliver',
        '_may_probe',
        '_outbox',
        '_owned',
        '_policy',
        '_quarantine',
        '_salt',
        '_endpoints',
        '_settling_s',
        '_tree',
        'on_reclaim',
    )

    def __init__(
        self,
        clock: Clock,
        deliver: Deliver,
        policy: str = DEFAULT_POLICY,
        settling_s: float = defaults.SETTLING_S,
        salt: str = '',
        quarantine: Quarantine | None = None,
        *,
        may_probe: bool = True,
        outbox: Outbox | None = None,
    ) -> None:
        """Start without owned shards."""
        self._outbox = outbox or Outbox()
        self._salt = salt
        self._quarantine = quarantine or Quarantine()
        self._may_probe = may_probe
        self._settling_s = settling_s
        self._policy = POLICIES.get(policy)
        self._clock = clock
        self._deliver = deliver
        self._owned: dict[str, _OwnedShard] = {}
        self._endpoints: dict[str, tuple[RunnerEndpoint, ...]] = {}
        self._tree = Tree({})
        #: Monotonic time of the last check for slots that nobody holds.
        self._checked_at = clock.monotonic()
        #: Called with the pool, the instance and the requests if slots were
        #: freed that the instance does not hold.
        self.on_reclaim: Callable[[str, str, list[str]], None] = _ignore

    @property
    def pools(self) -> frozenset[str]:
        """Names of the pools whose shard is owned."""
        return frozenset(self._owned)

    @property
    def has_waiting(self) -> bool:
        """Whether requests wait in the queue of an owned shard."""
        return any(owned.shard.waiting_count for owned in self._owned.values())

    def get_shard(self, pool: str) -> Shard | None:
        """Return the shard of a pool; ``None`` if it is not owned."""
        owned = self._owned.get(pool)
        return owned.shard if owned else None

    def set_tree(self, tree: Tree) -> None:
        """Apply changed settings; resign shards whose pool was removed."""
        self._tree = tree
        self._outbox.run_change(
            [
                functools.partial(owned.shard.set_tree, tree)
                if pool in tree.pools
                else functools.partial(self.resign, pool)
                for pool, owned in self._owned.items()
            ],
        )

    def set_endpoints(
        self, pool: str, endpoints: Iterable[RunnerEndpoint]
    ) -> None:
        """Replace the runners of a pool in this region."""
        self._endpoints[pool] = tuple(endpoints)
        owned = self._owned.get(pool)
        if owned:
            with self._outbox.run_step():
                owned.shard.set_runners(self._endpoints[pool])
                self._dispatch(owned)

    def take_over(
        self,
        pool: str,
        peers: Iterable[str],
        share: float = 1.0,
    ) -> None:
        """Become the owner of a pool's shard.

        :param peers: instances whose inventory must arrive before slots are
            granted, or until ``settling_s`` has passed.
        :param share: share of each runner's slots to use, in (0, 1].
        """
        if pool in self._owned or pool not in self._tree.pools:
            return
        shard = Shard(
            pool,
            self._tree,
            self._policy,
            self._salt,
            self._quarantine,
            may_probe=self._may_probe,
        )
        shard.set_share(share)
        shard.set_runners(self._endpoints.get(pool, ()))
        until = self._clock.monotonic() + self._settling_s
        self._owned[pool] = _OwnedShard(shard, set(peers), until)

    def take_demand(self) -> list[PoolDemand]:
        """Return the demand of each owned pool since the last call.

        Pools whose number of runners is fixed are left out.
        """
        now = self._clock.monotonic()
        reports = (
            owned.shard.demand.take_report(owned.shard.roster, now)
            for owned in self._owned.values()
        )
        return [report for report in reports if report]

    def set_share(self, pool: str, share: float) -> None:
        """Limit an owned shard to a share of each runner's slots."""
        owned = self._owned.get(pool)
        if owned:
            owned.shard.set_share(share)

    def resign(self, pool: str) -> None:
        """Stop owning a shard.

        Its waiting requests are refused with ``not_owner``, so that their
        entry instances ask another owner.
        """
        owned = self._owned.pop(pool, None)
        if owned is None:
            return
        with self._outbox.run_step():
            for sender, request_id in owned.shard.list_waiting():
                self._refuse_not_owned(sender, request_id)

    def handle(
        self,
        sender: str,
        message: RequesterMessage,
    ) -> None:
        """Apply a message of an entry instance and dispatch its shard.

        :param sender: entry instance that sent the message.
        """
        owned = self._owned.get(message.pool)
        if owned is None:
            if isinstance(message, Ask):
                self._refuse_not_owned(sender, message.request_id)
            return
        with self._outbox.run_step():
            self._apply(owned, sender, message)
            self._dispatch(owned)
            if isinstance(message, Ask) and message.at_once:
                self._refuse_unless_granted(owned, sender, message.request_id)
            elif isinstance(message, Ask):
                self._confirm_queued(owned, sender, message.request_id)

    def adopt_limits(self, limits: Iterable[tuple[str, float]]) -> None:
        """Apply limits that runners have advertised to this instance."""
        now = self._clock.monotonic()
        for owned in self._owned.values():
            owned.shard.roster.adopt_limits(limits, now)

    def drop_sender(self, sender: str) -> None:
        """Release all requests of an instance that left or failed."""
        self._outbox.run_parts(
            [
                functools.partial(self._drop_sender, owned, sender)
                for owned in self._owned.values()
            ],
        )

    def tick(self) -> None:
        """Dispatch all shards: expiry and probes depend on time alone."""
        self._outbox.run_parts(
            [
                *(
                    functools.partial(self._dispatch, owned)
                    for owned in self._owned.values()
                ),
                self._check_held,
            ],
        )

    def _check_held(self) -> None:
        """Ask instances that are silent which grants they still hold.

        A release may be lost with its link, or because of a fault of the
        instance.
        """
        now = self._clock.monotonic()
        if now - self._checked_at < _CHECK_INTERVAL_S:
            return
        self._checked_at = now
        for pool, owned in self._owned.items():
            for sender in owned.shard.list_silent_senders(now - _SILENT_S):
                self._post(sender, HeldAsk(pool, now))

    def _apply(
        self,
        owned: _OwnedShard,
        sender: str,
        message: RequesterMessage,
    ) -> None:
        now = self._clock.monotonic()
        shard = owned.shard
        if isinstance(message, Ask):
            self._send(shard.submit(sender, message, now))
        elif isinstance(message, Progress):
            shard.note_progress(message, now)
        elif isinstance(message, Release):
            shard.release(message, now)
        elif isinstance(message, HeldList):
            held = frozenset(message.request_ids)
            ended = shard.keep_only(sender, held, message.asked_at, now)
            if ended:
                self.on_reclaim(message.pool, sender, ended)
        else:
            owned.awaited_peers.discard(sender)
            _adopt_inventory(shard, sender, message, now)

    def _drop_sender(self, owned: _OwnedShard, sender: str) -> None:
        owned.awaited_peers.discard(sender)
        owned.shard.drop_sender(sender)
        self._dispatch(owned)

    def _dispatch(self, owned: _OwnedShard) -> None:
        now = self._clock.monotonic()
        if owned.is_settled(now):
            self._send(owned.shard.dispatch(now, self._clock.now()))

    def _send(self, actions: Iterable[Action]) -> None:
        with self._outbox.run_step():
            for action in actions:
                self._post(action.instance, action.message)

    def _post(self, instance: str, message: OwnerMessage) -> None:
        self._outbox.post(functools.partial(self._deliver, instance, message))

    def _refuse_unless_granted(
        self,
        owned: _OwnedShard,
        sender: str,
        request_id: str,
    ) -> None:
        if not owned.shard.withdraw(request_id):
            return
        refusal = Refusal(
            request_id=request_id,
            code=Overloaded.code,
            reason='no slot is free, and the request may not wait here',
        )
        self._post(sender, refusal)

    def _confirm_queued(
        self,
        owned: _OwnedShard,
        sender: str,
        request_id: str,
    ) -> None:
        if owned.shard.is_waiting(request_id):
            self._post(sender, Queued(request_id))

    def _refuse_not_owned(self, sender: str, request_id: str) -> None:
        reason = 'this instance does not own the shard of the pool'
        refusal = Refusal(request_id=request_id, code=NOT_OWNER, reason=reason)
        self._post(sender, refusal)


def _ignore(*_: object) -> None:
    """Do nothing."""


def _adopt_inventory(
    shard: Shard, sender: str, inventory: Inventory, now: float
) -> None:
    held_ids = {held.request_id for held in inventory.held}
    shard.keep_only(sender, held_ids, now, now)
    for held in inventory.held:
        shard.adopt(sender, held, now)
    for read in inventory.reads:
        shard.adopt_read(read)
    shard.screening.adopt_losses(inventory.losses, now)
    shard.roster.adopt_limits(inventory.limits, now, inventory.limit_starts)


class OwnedSummary(msgspec.Struct, frozen=True):
    """State of one owned shard, for operators."""

    pool: str
    waiting: int
    running: int
    runners: int


def summarise_shards(owner: Owner) -> list[OwnedSummary]:
    """Return the state of every owned shard."""
    summaries: list[OwnedSummary] = []
    for pool in sorted(owner.pools):
        shard = owner.get_shard(pool)
        if shard:
            summaries.append(
                OwnedSummary(
                    pool=pool,
                    waiting=shard.waiting_count,
                    running=shard.running_count,
                    runners=len(shard.runners),
                ),
            )
    return summaries


def list_suspect_runners(owner: Owner) -> frozenset[tuple[str, str]]:
    """Return pool and name of each runner that gets only probe requests."""
    return frozenset(
        (pool, runner.name)
        for pool in owner.pools
        for runner in _list_runners(owner, pool)
        if runner.suspect
    )


def _list_runners(owner: Owner, pool: str) -> Iterable[Runner]:
    shard = owner.get_shard(pool)
    return shard.runners.values() if shard else ()
