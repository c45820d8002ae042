"""Scheduling of one shard, that is, of one pool's runners in one region.

The shard's owner queues requests here and grants them slots on runners. The
module does no I/O and reads no clock: callers pass the time in and carry out
the actions that are returned.
"""

import datetime as dt
import math
from collections.abc import Container, Iterable

import msgspec

from anvilhall import defaults
from anvilhall.core.admission import Admission
from anvilhall.core.demand import DemandMeter
from anvilhall.core.messages import (
    Ask,
    Grant,
    Held,
    Pause,
    Progress,
    Read,
    Refusal,
    Release,
)
from anvilhall.core.policies import DEFAULT_POLICY, POLICIES, Policy
from anvilhall.core.quarantine import Quarantine
from anvilhall.core.queues import ClassQueue, PoolQueue, QueuedRequest
from anvilhall.core.returns import ReturnLine
from anvilhall.core.roster import Roster, RunnerEndpoint
from anvilhall.core.runners import Assignment, LatencyTargets, Runner
from anvilhall.core.schedules import is_active
from anvilhall.core.screening import Screening
from anvilhall.core.senders import Senders
from anvilhall.core.settings import ClassSettings, Pool
from anvilhall.core.tree import Tree
from anvilhall.exceptions import (
    DeadlinePassed,
    NoRunner,
    Overloaded,
    RequestRefused,
    UnknownClass,
    UpstreamStalled,
    VersionGone,
)

_MS_PER_S = 1000.0
#: After a waiting request expires, requests of lower priority get no grant for
#: this many seconds. It is about the time that a stream holds its slot, so
#: that a slot freed meanwhile does not go to another low-priority request.
_EXPIRY_HOLD_S = 1.5
#: Longest time in seconds that a grant takes to reach its instance.
_GRANT_TRANSIT_S = 1.0
#: Largest share of all granted tokens that may be prefilled a second time
#: because of pauses.
_MAX_REPREFILL_SHARE = 0.005


class Action(msgspec.Struct, frozen=True):
    """A message to send to an entry instance."""

    instance: str
    message: Grant | Refusal | Pause


class Shard:
    """Queue, slots and limits of one pool in one region."""

    __slots__ = (
        '_admission',
        '_granted_tokens',
        '_policy',
        '_pool',
        '_pool_name',
        '_queue',
        '_reported_at',
        '_reprefilled_tokens',
        '_returns',
        '_senders',
        '_expired_at',
        '_tree',
        'demand',
        'paused',
        'roster',
        'screening',
    )

    def __init__(
        self,
        pool_name: str,
        tree: Tree,
        policy: Policy | None = None,
        salt: str = '',
        quarantine: Quarantine | None = None,
        *,
        may_probe: bool = True,
    ) -> None:
        """Start with no runners.

        :param salt: seed of the order in which runners are filled.
        :param quarantine: prompts to refuse; shared with the other shards.
        :param may_probe: whether the shard lets through probes of them.
        """
        #: Refuses prompts that crash runners.
        self.screening = Screening(
            quarantine or Quarantine(), may_probe=may_probe
        )
        self._policy = policy or POLICIES.get(DEFAULT_POLICY)
        self._pool_name = pool_name
        self._queue = PoolQueue(self._policy)
        self._admission = Admission()
        #: Times at which refused requests return.
        self._returns = ReturnLine()
        #: Entry instance of each waiting or running request, by request id.
        self._senders = Senders()
        #: Monotonic time at which each running request was granted or adopted,
        #: or its instance last reported progress.
        self._reported_at: dict[str, float] = {}
        #: Monotonic time of the latest expiry in the queue, by tier and rank.
        self._expired_at: dict[tuple[int, int], float] = {}
        #: Demand for the runners since it was last reported.
        self.demand = DemandMeter(pool_name)
        #: Requests that were asked to pause and have not been released yet.
        self.paused: set[str] = set()
        #: Tokens granted so far, and prompt tokens to prefill again because of
        #: pauses.
        self._granted_tokens = 0
        self._reprefilled_tokens = 0
        #: Runners of the shard.
        self.roster = Roster(self._policy, tree.pools[pool_name], salt)
        self.set_tree(tree)

    @property
    def runners(self) -> dict[str, Runner]:
        """Runners by name."""
        return self.roster.runners

    @property
    def waiting_count(self) -> int:
        """Number of requests in the queue."""
        return len(self._queue)

    @property
    def running_count(self) -> int:
        """Number of requests on runners."""
        return self.roster.running_count

    def set_share(self, share: float) -> None:
        """Limit this shard to a share of each runner's slots, in (0, 1]."""
        self.roster.share = share

    def set_tree(self, tree: Tree) -> None:
        """Apply changed settings."""
        self._tree = tree
        self._pool: Pool = tree.pools[self._pool_name]
        self.demand.set_tree(tree)
        self._admission.set_tree(tree)
        self.roster.set_pool(self._pool)

    def set_runners(self, endpoints: Iterable[RunnerEndpoint]) -> None:
        """Replace the pool's runners by those that the registry lists.

        Requests on a runner that has restarted no longer count as running.
        """
        for lost in self.roster.set_endpoints(endpoints):
            self._release_request(
                lost.request_id, lost.account, lost.class_name
            )

    def submit(self, sender: str, ask: Ask, now: float) -> list[Action]:
        """Queue a request; if the queue is full, shed one of a lower tier.

        :param sender: entry instance that sent the request.
        :param now: monotonic seconds.
        :return: the refusal of this request or of the shed one, or the grant
            that a repeated request already has; empty if nothing is to be sent.
        """
        if ask.request_id in self._senders:
            if not _is_replaced(ask, self._queue, self.roster):
                return self._answer_repeated_ask(sender, ask)
            self.release(_build_release(self._pool_name, ask.request_id), now)
        try:
            settings = self._check(ask, now)
            shed_request = (
                None if ask.moves else self._make_room(settings, ask, now)
            )
        except RequestRefused as error:
            self.demand.refused += isinstance(error, Overloaded | NoRunner)
            self.screening.forget(ask.request_id)
            return [_refuse(sender, ask.request_id, error)]
        self._senders.set(ask.request_id, sender)
        queued = QueuedRequest(ask, settings, now, sender)
        weight = self._admission.get_weight(ask.account)
        queued.cost_tokens = (
            0 if ask.moves else self._admission.estimate_tokens(ask)
        )
        self._queue.push(queued, weight, now)
        self._admission.admit(ask)
        if shed_request is None:
            return []
        self._release_ask(shed_request.ask)
        self.demand.refused += 1
        shed = Overloaded(
            f'shed from a full queue ({self._pool.queue_limit} requests) '
            f'for a request of tier {settings.tier}',
            self._returns.place(shed_request, self._queue, now),
        )
        return [_refuse(shed_request.sender, shed_request.ask.request_id, shed)]

    def dispatch(self, now: float, wall: dt.datetime) -> list[Action]:
        """Refuse expired requests and grant slots to waiting ones.

        :param now: monotonic seconds.
        :param wall: wall-clock time, for the schedules of reserves.
        """
        self.demand.sample(self.roster, self._queue, now)
        actions = self._refuse_waiting(now)
        while True:
            action = self._grant_next(now, wall)
            if action is None:
                return actions + self._pause_for_waiting(now)
            actions.append(action)

    def list_waiting(self) -> list[tuple[str, str]]:
        """Return entry instance and identifier of each waiting request."""
        return [
            (queued.sender, queued.ask.request_id) for queued in self._queue
        ]

    def is_waiting(self, request_id: str) -> bool:
        """Return whether a request is in the queue."""
        return (
            request_id in self._senders
            and self.roster.find_assignment(request_id) is None
        )

    def withdraw(self, request_id: str) -> bool:
        """Remove a request from the queue; return whether it was in it."""
        queued = self._queue.remove(request_id)
        if queued:
            self._release_ask(queued.ask)
        return queued is not None

    def note_progress(self, progress: Progress, now: float) -> None:
        """Update a running request's output and its runner's latencies."""
        found = self.roster.find_assignment(progress.request_id)
        if found is None:
            return
        runner, assignment = found
        self._reported_at[progress.request_id] = now
        assignment.tokens = progress.tokens
        self.roster.note_limit(runner.name, progress.requests_per_s, now)
        if progress.stalled:
            # The streams of a runner stall together, which is one failure.
            if not runner.health.unavailable:
                runner.note_failure(UpstreamStalled.code, now)
            return
        runner.note_progress(now)
        assignment.long = (
            assignment.long or progress.tokens >= defaults.LONG_OUTPUT_TOKENS
        )
        self.demand.late += _is_late(progress, assignment)
        if progress.first_token_s:
            self.screening.note_first_token(progress.request_id, now)
            runner.note_first_token(assignment, progress.first_token_s)
            self.roster.calibrate()
        runner.note_gap(progress.gap_s, now)

    def release(self, release: Release, now: float) -> None:
        """Free the slot of a request that ended, or remove it from the queue.

        The result updates the runner's health and the estimates of output
        lengths.
        """
        self.withdraw(release.request_id)
        found = self.roster.find_assignment(release.request_id)
        if found is None:
            return
        runner, assignment = found
        if release.first_token_s:
            runner.note_first_token(assignment, release.first_token_s)
            self.roster.calibrate()
        if release.failure:
            runner.note_failure(release.failure, now)
        elif release.served:
            runner.note_progress(now)
            runner.health.note_success()
            self._admission.note_length(
                assignment.class_name,
                assignment.account,
                release.tokens,
            )
        self.roster.note_limit(runner.name, release.requests_per_s, now)
        self.screening.note_release(release, runner.start_name, now)
        runner.remove_assignment(release.request_id)
        self._release_request(
            assignment.request_id, assignment.account, assignment.class_name
        )
        self.roster.remove_if_drained(runner)

    def adopt(self, sender: str, held: Held, now: float) -> None:
        """Count a running request that a previous owner granted.

        :param sender: entry instance that reports the request.
        """
        runner = self.runners.get(held.runner)
        if runner is None or held.request_id in runner.assignments:
            return
        if held.request_id in self._senders:
            # Another owner has granted it while it was queued here or this
            # owner's grant was on its way.
            self.release(_build_release(self._pool_name, held.request_id), now)
        assignment = Assignment(held.request_id, held.class_name, held.account)
        assignment.prefill_tokens = held.prompt_tokens
        assignment.uncached_tokens = held.prompt_tokens
        assignment.context_tokens = held.prompt_tokens + held.max_tokens
        assignment.tokens = held.tokens
        assignment.first_token_seen = held.tokens > 0
        assignment.long = held.prompt_tokens >= defaults.LONG_PROMPT_TOKENS
        settings = self._tree.classes.get(held.class_name)
        if settings:
            settings = _apply_account_tier(settings, held.tier)
            assignment.priority = _get_priority(settings)
            assignment.latency_targets = _build_latency_targets(settings)
        assignment.predicted_s = 1.0
        self._reported_at[held.request_id] = now
        runner.adopt_assignment(assignment)
        self.screening.note_grant(held.request_id, held.parts)
        if held.tokens:
            self.screening.note_first_token(held.request_id, now)
        self._senders.set(held.request_id, sender)
        self._admission.adopt(held)

    def list_silent_senders(self, since: float) -> set[str]:
        """Return the instances that report nothing of a request they run.

        :param since: monotonic time of the last report, in seconds.
        """
        return {
            self._senders.get(request_id)
            for request_id, reported_at in self._reported_at.items()
            if reported_at < since and request_id in self._senders
        }

    def keep_only(
        self, sender: str, held: Container[str], listed_at: float, now: float
    ) -> list[str]:
        """Release the requests of an instance that it no longer runs.

        Their releases were lost. Grants may still have been on their way to it
        when it listed its requests, so those of the moments before are kept.

        :param held: requests that run on the instance.
        :param listed_at: monotonic time at which it had not listed them yet.
        :return: the released ones.
        """
        oldest = listed_at - _GRANT_TRANSIT_S
        ended: list[str] = []
        for request_id in self._senders.list_requests(sender):
            if request_id not in self._reported_at:
                # It waits.
                continue
            if request_id in held:
                self._reported_at[request_id] = now
            elif self._reported_at[request_id] < oldest:
                ended.append(request_id)
        for request_id in ended:
            self.release(_build_release(self._pool_name, request_id), now)
        return ended

    def adopt_read(self, read: Read) -> None:
        """Mark a prompt as cached by the runner that has read it.

        Instances report such prompts to a new owner, so that it can route to
        the prefix caches that were filled under its predecessor.
        """
        runner = self.runners.get(read.runner)
        if runner and self._policy.use_prefixes:
            runner.mark_parts_cached(read.parts)

    def drop_sender(self, sender: str) -> None:
        """Release all requests of an instance that left or failed."""
        for request_id in self._senders.list_requests(sender):
            self.release(_build_release(self._pool_name, request_id), 0)

    def _answer_repeated_ask(self, sender: str, ask: Ask) -> list[Action]:
        """Answer a request that was sent again after its link broke.

        A running one gets its grant again; a waiting one stays in the queue.
        """
        self._senders.set(ask.request_id, sender)
        found = self.roster.find_assignment(ask.request_id)
        if found is None:
            return []
        runner, assignment = found
        return [Action(sender, self._build_grant(runner, assignment))]

    def _build_grant(self, runner: Runner, assignment: Assignment) -> Grant:
        return Grant(
            pool=self._pool_name,
            request_id=assignment.request_id,
            runner=runner.name,
            address=runner.address,
            tier=assignment.tier,
            version=runner.version,
            born=runner.born,
        )

    def _check(self, ask: Ask, now: float) -> ClassSettings:
        settings = self._tree.classes.get(ask.class_name)
        if settings is None:
            raise UnknownClass(f'no class named {ask.class_name!r}')
        settings = _apply_account_tier(settings, ask.tier)
        if not self.roster.has_available(ask.version):
            if ask.version is not None:
                raise _build_version_error(self._pool_name, ask.version)
            raise NoRunner(
                f'pool {self._pool_name!r} has no runner that accepts requests',
                1.0,
            )
        if ask.moves and ask.at_once and len(self._queue):
            # It could take a slot that a waiting request is about to get.
            raise Overloaded('requests wait for a slot')
        if not ask.moves:
            self._admission.check(ask, settings, now)
        self.screening.check(ask, now)
        return settings

    def _make_room(
        self, settings: ClassSettings, ask: Ask, now: float
    ) -> QueuedRequest | None:
        if len(self._queue) < self._pool.queue_limit:
            return None
        shed_request = self._queue.shed_lowest_tier(settings.tier)
        if shed_request is None:
            refused = QueuedRequest(ask, settings, now, '')
            raise Overloaded(
                retry_after_s=self._returns.place(refused, self._queue, now)
            )
        return shed_request

    def _refuse_waiting(self, now: float) -> list[Action]:
        actions: list[Action] = []
        for request_id in self._queue.find_expired(now):
            queued = self._queue.remove(request_id)
            if queued:
                self._release_ask(queued.ask)
                self.demand.refused += 1
                occupancy = (
                    f'{self.running_count} of {self.roster.slots} slots '
                    f'taken, {len(self._queue)} waiting'
                )
                error = _build_expiry_error(
                    queued,
                    now,
                    occupancy,
                    self._returns.place(queued, self._queue, now),
                )
                priority = _get_priority(queued.class_settings)
                if queued.ask.version is None and not queued.ask.moves:
                    # Runners that these may not use may be free.
                    self._expired_at[priority] = now
                actions.append(_refuse(queued.sender, request_id, error))
        all_refused: list[tuple[QueuedRequest, RequestRefused]] = [
            *self.screening.list_refused(self._queue, now),
            *_list_version_gone(self._queue, self.roster, self._pool_name),
        ]
        for refused, refusal in all_refused:
            if self.withdraw(refused.ask.request_id):
                actions.append(
                    _refuse(refused.sender, refused.ask.request_id, refusal)
                )
        return actions

    def _grant_next(self, now: float, wall: dt.datetime) -> Action | None:
        for queue in self._queue.list_by_priority(now):
            if self._is_held_back(queue, now):
                continue
            queued = queue.peek()
            assignment = _build_assignment(queued)
            reserved = 0
            if self._policy.reserve:
                reserved = _count_reserved_slots(
                    self._pool, self._tree, assignment.tier, wall
                )
            runner = self.roster.choose_runner(
                queued.ask,
                assignment,
                reserved,
                now,
                urgent=queued.is_urgent(now),
            )
            if runner:
                return self._grant(queue, runner, assignment, now)
        return None

    def _is_held_back(self, queue: ClassQueue, now: float) -> bool:
        """Return whether free slots are held for a higher priority.

        That is so for ``_EXPIRY_HOLD_S`` after a request of a higher priority
        has expired, unless the class has waited for its floor interval.
        """
        if not self._policy.keep_order or queue.is_overdue(now):
            return False
        priority = _get_priority(queue.settings)
        oldest = now - _EXPIRY_HOLD_S
        return any(
            expired_at > oldest and expired < priority
            for expired, expired_at in self._expired_at.items()
        )

    def _grant(
        self,
        queue: ClassQueue,
        runner: Runner,
        assignment: Assignment,
        now: float,
    ) -> Action:
        queued = self._queue.pop(queue, now)
        runner.add_assignment(assignment, queued.ask, now)
        self._reported_at[queued.ask.request_id] = now
        self.screening.note_grant(queued.ask.request_id, queued.ask.part_names)
        self._granted_tokens += queued.cost_tokens
        self.demand.note_grant(assignment.uncached_tokens)
        self._returns.note_grant(now)
        grant = self._build_grant(runner, assignment)
        return Action(queued.sender, grant)

    def _pause_for_waiting(self, now: float) -> list[Action]:
        """Pause the lowest preemptible request for a waiting higher tier.

        A paused request must prefill its prompt again. One is therefore paused
        only when a request has waited for half of its latency target (without
        a target, for its floor interval), and only one at a time.
        """
        urgent = [
            queue
            for queue in self._queue.list_by_priority(now)
            if now - queue.peek().arrived_at >= _get_pause_delay_s(queue)
        ]
        if not urgent or not self._policy.pause:
            return []
        victims = _list_victims(urgent, self.roster, self._tree)
        if not victims or self.paused:
            return []
        victim = max(victims, key=_get_victim_order)
        reprefilled = self._reprefilled_tokens + victim.prefill_tokens
        if reprefilled > _MAX_REPREFILL_SHARE * self._granted_tokens:
            return []
        self._reprefilled_tokens = reprefilled
        self.paused.add(victim.request_id)
        sender = self._senders.get(victim.request_id)
        return [Action(sender, Pause(victim.request_id))]

    def _release_ask(self, ask: Ask) -> None:
        self._release_request(ask.request_id, ask.account, ask.class_name)

    def _release_request(
        self, request_id: str, account: str, class_name: str
    ) -> None:
        self.paused.discard(request_id)
        self._senders.remove(request_id)
        self._reported_at.pop(request_id, None)
        self.screening.forget(request_id)
        self._admission.release(request_id, account, class_name)


def _is_late(progress: Progress, assignment: Assignment) -> bool:
    targets = assignment.latency_targets
    first_late = (
        not assignment.first_token_seen
        and progress.first_token_s > targets.first_s
    )
    return first_late or progress.gap_s > targets.gap_s


def _build_expiry_error(
    queued: QueuedRequest, now: float, occupancy: str, retry_after_s: float
) -> RequestRefused:
    waited_s = now - queued.arrived_at
    reason = f'no runner after {waited_s:.2f} s; {occupancy}'
    if now >= queued.deadline_at:
        return DeadlinePassed(reason)
    return Overloaded(reason, retry_after_s)


def _count_reserved_slots(
    pool: Pool, tree: Tree, tier: int, wall: dt.datetime
) -> int:
    """Return how many slots of a runner requests of a tier may not use."""
    schedules = tree.schedules if pool.reserves else {}
    return sum(
        reserve.slots_per_runner
        for reserve in pool.reserves
        if tier > reserve.tier and is_active(schedules[reserve.schedule], wall)
    )


def _is_replaced(ask: Ask, queue: PoolQueue, roster: Roster) -> bool:
    """Return whether a known request is asked for another version.

    The release of its previous attempt was lost.
    """
    found = roster.find_assignment(ask.request_id)
    if found:
        return found[0] not in roster.list_runners(ask.version)
    return any(
        queued.ask.version != ask.version
        for queued in queue
        if queued.ask.request_id == ask.request_id
    )


def _list_version_gone(
    queue: PoolQueue, roster: Roster, pool: str
) -> Iterable[tuple[QueuedRequest, VersionGone]]:
    """Yield the waiting requests whose version no runner has any more."""
    gone = {
        version
        for version in queue.list_versions()
        if not roster.has_available(version)
    }
    for queued in queue if gone else ():
        version = queued.ask.version
        if version in gone:
            yield queued, _build_version_error(pool, version)


def _build_version_error(pool: str, version: str | None) -> VersionGone:
    return VersionGone(
        f'pool {pool!r} has no runner of version {version!r} that accepts '
        'requests'
    )


def _list_victims(
    urgent: Iterable[ClassQueue], roster: Roster, tree: Tree
) -> list[Assignment]:
    """Return the running requests that may be paused for waiting ones.

    :param urgent: queues of the waiting ones; each is served only by runners of
        its version.
    """
    tiers: dict[str | None, int] = {}
    for queue in urgent:
        tier = queue.settings.tier
        tiers[queue.version] = min(tiers.get(queue.version, tier), tier)
    victims: list[Assignment] = []
    for version, above_tier in tiers.items():
        victims.extend(
            assignment
            for runner in roster.list_runners(version)
            for assignment in runner.assignments.values()
            if assignment.tier > above_tier and _may_pause(assignment, tree)
        )
    return victims


def _may_pause(assignment: Assignment, tree: Tree) -> bool:
    settings = tree.classes.get(assignment.class_name)
    if settings is None:
        return False
    return settings.preemptible and settings.resumable


def _get_priority(settings: ClassSettings) -> tuple[int, int]:
    return settings.tier, settings.rank


def _apply_account_tier(
    settings: ClassSettings, tier: int | None
) -> ClassSettings:
    """Return class settings with the tier replaced by the account's.

    The class's tier becomes the rank, which orders the requests within the
    account's tier.

    :param tier: tier of the account; ``None``: the class's applies.
    """
    if tier is None:
        return settings
    return msgspec.structs.replace(settings, tier=tier, rank=settings.tier)


def _get_pause_delay_s(queue: ClassQueue) -> float:
    target = queue.settings.target
    target_ms = target.first_token_ms or target.done_ms
    if target_ms is None:
        return queue.settings.floor_interval_s
    return target_ms / _MS_PER_S / 2


def _build_assignment(queued: QueuedRequest) -> Assignment:
    ask = queued.ask
    assignment = Assignment(ask.request_id, ask.class_name, ask.account)
    assignment.priority = _get_priority(queued.class_settings)
    assignment.prefill_tokens = ask.prompt_tokens
    assignment.uncached_tokens = ask.prompt_tokens
    assignment.context_tokens = ask.prompt_tokens + ask.max_tokens
    assignment.long = ask.prompt_tokens >= defaults.LONG_PROMPT_TOKENS
    assignment.latency_targets = _build_latency_targets(queued.class_settings)
    return assignment


def _build_latency_targets(settings: ClassSettings) -> LatencyTargets:
    target = settings.target
    first_ms = target.first_token_ms or target.done_ms or math.inf
    return LatencyTargets(
        first_ms / _MS_PER_S, (target.gap_ms or math.inf) / _MS_PER_S
    )


def _get_victim_order(assignment: Assignment) -> tuple[int, float]:
    # The lowest tier first, within it the request with the fewest tokens to
    # prefill again.
    return assignment.tier, -assignment.prefill_tokens - assignment.tokens


def _build_release(pool: str, request_id: str) -> Release:
    return Release(pool=pool, request_id=request_id, served=False)


def _refuse(sender: str, request_id: str, error: RequestRefused) -> Action:
    refusal = Refusal(
        request_id=request_id,
        code=error.code,
        reason=error.reason,
        retry_after_s=error.retry_after_s,
    )
    return Action(sender, refusal)
