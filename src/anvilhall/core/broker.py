"""Tracks this instance's requests for grants and the owner that has each one.

Performs no I/O: messages to other instances are passed to a callback, and
answers are passed to the request's :class:`GrantHandler`. Each public method is
one step: what it makes the shards and handlers do follows when it has ended
(see :mod:`anvilhall.core.outbox`).
"""

import functools
from collections.abc import Callable
from typing import Protocol

import msgspec

from anvilhall.clock import Clock
from anvilhall.core.advertised import AdvertisedLimits
from anvilhall.core.directory import Directory
from anvilhall.core.fallback import Fallback, OwnerTimeouts
from anvilhall.core.losses import RecentLosses
from anvilhall.core.messages import (
    Ask,
    Grant,
    Held,
    HeldAsk,
    HeldList,
    Inventory,
    Progress,
    Queued,
    Read,
    Refusal,
    Release,
)
from anvilhall.core.notices import RunnerNotices
from anvilhall.core.outbox import Outbox
from anvilhall.core.owner import (
    NOT_OWNER,
    Owner,
    OwnerMessage,
    RequesterMessage,
)
from anvilhall.core.policies import DEFAULT_POLICY
from anvilhall.core.quarantine import Quarantine
from anvilhall.core.reads import RecentPrompts
from anvilhall.core.runners import name_start
from anvilhall.core.tree import Tree
from anvilhall.core.verification import Verification
from anvilhall.exceptions import (
    InternalRefusal,
    NoRunner,
    Overloaded,
    PeerUnreachable,
    RequestRefused,
    UnknownClass,
    VersionGone,
    list_errors,
)

#: Sends a message to another instance; raises :exc:`PeerUnreachable`.
SendRequest = Callable[[str, RequesterMessage], None]
#: Sends an owned shard's answer to another instance; drops it if there is no
#: link.
SendAnswer = Callable[[str, OwnerMessage], None]
#: Name of the fallback shards, as sender of answers and target of requests.
_FALLBACK = ''
#: Seconds in the local region's queue after which a request is also sent to
#: other regions.
SPILL_AFTER_S = 0.25
#: Codes of the refusals after which a request is sent to another region.
_SPILL_CODES = frozenset(
    (NoRunner.code, VersionGone.code, Overloaded.code, NOT_OWNER),
)


class GrantHandler(Protocol):
    """Receives the answers to one :class:`Ask`."""

    def handle_grant(self, grant: Grant) -> None:
        """Handle the grant, which must be released when the request ends."""

    def handle_refusal(self, error: RequestRefused) -> None:
        """Handle the refusal."""

    def handle_pause(self) -> None:
        """Handle the owner's request to free the runner's slot."""

    def is_abandoned(self) -> bool:
        """Return whether the request has ended, so that it needs no grant."""


class _Pending:
    """A request without a grant or refusal."""

    __slots__ = (
        'ask',
        'asked_at',
        'deadline_at',
        'foreign_owners',
        'handler',
        'queued',
        'target',
    )

    def __init__(self, ask: Ask, handler: GrantHandler, now: float) -> None:
        self.ask = ask
        self.handler = handler
        #: Monotonic time of the last ask, in seconds.
        self.asked_at = now
        self.deadline_at = now + ask.deadline_s
        #: Whether the target has confirmed that the request is in its queue.
        self.queued = False
        #: Instance that the request was sent to, or :data:`_FALLBACK`;
        #: ``None``: the next tick sends it.
        self.target: str | None = None
        #: Owners in other regions that the request was not sent to yet;
        #: ``None``: not looked up.
        self.foreign_owners: list[str] | None = None

    def renew(self, now: float) -> None:
        """Prepare to send the request again: update its remaining time."""
        left_s = max(0.0, self.deadline_at - now)
        self.ask = msgspec.structs.replace(self.ask, deadline_s=left_s)
        self.asked_at = now

    def measure_silence_s(self, instance: str, now: float) -> float:
        """Return the seconds for which another instance has not answered.

        :param instance: the instance that asks, whose own shards always answer.
        """
        if self.queued or self.target in {_FALLBACK, instance}:
            return 0.0
        return now - self.asked_at

    def detach(self) -> None:
        """Clear the target, so that the next tick sends the request again."""
        self.target = None
        self.queued = False

    def avoid(self, runner: str) -> None:
        """Add a runner to the avoid list and have the request sent again."""
        if runner not in self.ask.avoid:
            avoid = (*self.ask.avoid, runner)
            self.ask = msgspec.structs.replace(self.ask, avoid=avoid)
        self.detach()


class _Running:
    """A request that holds a grant."""

    __slots__ = (
        'ask',
        'grant',
        'handler',
        'runner_start',
        'target',
        'tokens',
    )

    def __init__(
        self,
        pending: _Pending,
        grant: Grant,
        target: str,
        runner_start: str,
    ) -> None:
        self.ask = pending.ask
        self.handler = pending.handler
        self.grant = grant
        #: Identifies the start of the runner that the grant is for.
        self.runner_start = runner_start
        #: Instance that receives the request's progress and release.
        self.target = target
        self.tokens = 0


class Broker:
    """Obtains grants from the owners of shards for this instance's requests.

    :param name: name of this instance.
    :param clock: source of time.
    :param directory: looks up runners and the owners of shards.
    :param send: sends a request's message to another instance.
    :param forward: sends an owned shard's answer to another instance.
    :param policy: name of the scheduling policy of the shards.
    :param timeouts: timeouts towards owners.
    """

    __slots__ = (
        '_clock',
        '_directory',
        '_forward',
        '_losses',
        '_name',
        '_owners',
        '_pending',
        '_prompts',
        '_running',
        '_send',
        '_unreported',
        'fallback',
        'limits',
        'notices',
        'on_wait',
        'outbox',
        'owner',
        'quarantine',
        'verification',
    )

    def __init__(
        self,
        name: str,
        clock: Clock,
        directory: Directory,
        send: SendRequest,
        forward: SendAnswer,
        policy: str = DEFAULT_POLICY,
        timeouts: OwnerTimeouts | None = None,
    ) -> None:
        """Create a broker without requests."""
        timeouts = timeouts or OwnerTimeouts()
        self._name = name
        self._clock = clock
        self._directory = directory
        self._send = send
        self._forward = forward
        self._owners: dict[str, str | None] = {}
        #: Pools whose owner does not know all running requests.
        self._unreported: set[str] = set()
        self._pending: dict[str, _Pending] = {}
        self._running: dict[str, _Running] = {}
        self._prompts = RecentPrompts()
        self._losses = RecentLosses()
        #: Limits that runners have advertised to this instance.
        self.limits = AdvertisedLimits()
        #: What runners have said in their answers.
        self.notices = RunnerNotices(directory, clock)
        #: Checks the runners that grants name.
        self.verification = Verification(directory, self.notices)
        #: Prompts that are refused, whoever owns the shards.
        self.quarantine = Quarantine()
        #: Answers of the shards that have not been handled yet.
        self.outbox = Outbox()
        #: Called when a new request was not answered at once.
        self.on_wait: Callable[[], None] = _do_nothing
        #: Shards that this instance owns. Answers to its own requests are
        #: passed in memory.
        self.owner = Owner(
            clock,
            self._route_answer,
            policy,
            timeouts.settling_s,
            quarantine=self.quarantine,
            outbox=self.outbox,
        )
        #: Shards by which this instance decides while an owner is silent.
        self.fallback = Fallback(
            clock,
            lambda _, message: self._handle_answer(_FALLBACK, message),
            policy,
            timeouts,
            name,
            self.quarantine,
            self.outbox,
        )

    @property
    def running_count(self) -> int:
        """Number of requests that hold a grant."""
        return len(self._running)

    @property
    def busy(self) -> bool:
        """Whether requests are waiting, so that :meth:`tick` is needed."""
        return bool(self._pending) or self.owner.has_waiting

    def has_waiting(self, pool: str) -> bool:
        """Return whether a request of this instance waits in a pool's queue.

        This instance's own shards answer at once unless they queue a request.
        """
        return any(
            pending.ask.pool == pool
            and (pending.queued or pending.target in {self._name, _FALLBACK})
            for pending in self._pending.values()
        )

    def ask(self, ask: Ask, handler: GrantHandler) -> None:
        """Request a grant; the handler gets one grant or one refusal."""
        ask = self.notices.avoid_paused(ask)
        pending = _Pending(ask, handler, self._clock.monotonic())
        self._pending[ask.request_id] = pending
        with self.outbox.run_step():
            refusal = self.notices.find_refusal(ask)
            if refusal:
                self._refuse(pending, refusal)
            else:
                self._send_ask(pending)
        if ask.request_id in self._pending:
            self.on_wait()

    def withdraw(self, request_id: str) -> None:
        """Withdraw a waiting request; its handler is not called any more."""
        pending = self._pending.pop(request_id, None)
        if pending:
            self._report(pending.target, _build_release(pending.ask))

    def note_progress(self, progress: Progress) -> None:
        """Report the output of a running request to its owner."""
        running = self._running.get(progress.request_id)
        if running:
            running.tokens = progress.tokens
            self._report(running.target, progress)

    def release(self, release: Release) -> None:
        """Release the grant of a request that has ended."""
        running = self._running.pop(release.request_id, None)
        if running:
            self._losses.note_release(
                running.ask,
                release,
                running.runner_start,
                self._clock.monotonic(),
            )
            self._report(running.target, release)

    def handle_answer(self, sender: str, message: OwnerMessage) -> None:
        """Handle an owner's message about a request, after a current step."""
        self.outbox.post(
            functools.partial(self._handle_answer, sender, message)
        )

    def set_tree(self, tree: Tree) -> None:
        """Apply changed settings."""
        self.outbox.run_change(
            (
                functools.partial(self.owner.set_tree, tree),
                functools.partial(self.fallback.owner.set_tree, tree),
                functools.partial(self.refresh, tree),
            ),
        )

    def refresh(self, tree: Tree) -> None:
        """Apply a change of live instances, runners or settings.

        Takes over or resigns shards, and moves requests to the new owners.
        """
        self.outbox.run_change(
            [
                *(
                    functools.partial(update, pool)
                    for pool in tree.pools
                    for update in (
                        functools.partial(
                            _update_runners, self.owner, self._directory
                        ),
                        functools.partial(
                            _update_runners,
                            self.fallback.owner,
                            self._directory,
                        ),
                        self._update_owner,
                    )
                ),
                self._retarget_requests,
                self._report_moved,
                self.tick,
            ],
        )

    def reclaim_abandoned(self) -> list[str]:
        """Release the grants of requests that ended without a release.

        Only a fault of this program leaves such a grant behind.

        :return: identifiers of the grants.
        """
        abandoned = [
            _build_release(running.ask)
            for running in self._running.values()
            if running.handler.is_abandoned()
        ]
        for release in abandoned:
            self.release(release)
        return [each.request_id for each in abandoned]

    def list_inventory(self, pool: str) -> Inventory:
        """Return this instance's running requests in the local region's shard.

        Includes its recent prompts on the shard's runners.
        """
        runners = {
            endpoint.name for endpoint in self._directory.list_runners(pool)
        }
        held = tuple(
            _describe_held(running)
            for running in self._running.values()
            if running.ask.pool == pool and running.grant.runner in runners
        )
        reads = tuple(
            read
            for read in self._prompts.list_prompts(pool)
            if read.runner in runners
        )
        losses = self._losses.list_losses(pool, self._clock.monotonic())
        return Inventory(
            pool=pool,
            held=held,
            reads=reads,
            losses=losses,
            limits=self.limits.list_limits(),
            limit_starts=self.limits.list_starts(),
        )

    def handle_link_up(self, instance: str) -> None:
        """Report the inventory of each shard that a reconnected instance owns.

        :param instance: peer of the new link.
        """
        self._unreported.update(
            pool for pool, owner in self._owners.items() if owner == instance
        )
        self._report_moved()

    def tick(self) -> None:
        """Apply timeouts and send the requests that have no target."""
        self.outbox.run_parts(
            (
                self.owner.tick,
                self.fallback.owner.tick,
                *(
                    functools.partial(self._check_pending, pending)
                    for pending in self._pending.values()
                ),
            ),
        )

    def _check_pending(self, pending: _Pending) -> None:
        now = self._clock.monotonic()
        if pending.target is None:
            pending.renew(now)
            self._send_ask(pending)
        elif self.fallback.is_overdue(
            pending.measure_silence_s(self._name, now)
        ):
            self.fallback.mark_unresponsive(pending.target)
            self._report(pending.target, _build_release(pending.ask))
            pending.renew(now)
            self._ask_fallback(pending)
        elif now - pending.asked_at >= SPILL_AFTER_S:
            pending.asked_at = now
            self._spill(pending)

    def handle_link_down(self, instance: str) -> None:
        """Clear the target of requests that wait at an unreachable instance.

        The next tick sends them to the current owner.
        """
        for pending in self._pending.values():
            if pending.target == instance:
                pending.detach()

    def _handle_answer(self, sender: str, message: OwnerMessage) -> None:
        if isinstance(message, Grant):
            self._handle_grant(sender, message)
        elif isinstance(message, Refusal):
            self._handle_refusal(sender, message)
        elif isinstance(message, Queued):
            _note_queued(self._pending, sender, message)
        elif isinstance(message, HeldAsk):
            self._report(sender, _list_held(self._running, sender, message))
        else:
            running = self._running.get(message.request_id)
            if running:
                running.handler.handle_pause()

    def _send_ask(self, pending: _Pending) -> None:
        pool = pending.ask.pool
        owner = self._directory.find_owner(pool)
        if owner is None:
            if not self._spill(pending):
                self._refuse(pending, _build_absence(pending.ask))
            return
        if owner == self._name:
            pending.target = owner
            self.owner.handle(self._name, pending.ask)
            return
        if self.fallback.is_unresponsive(owner):
            self._ask_fallback(pending)
            return
        try:
            self._send(owner, pending.ask)
        except PeerUnreachable:
            self._ask_fallback(pending)
            return
        pending.target = owner

    def _ask_fallback(self, pending: _Pending) -> None:
        if pending.ask.at_once:
            # It is not worth a decision that may exceed the runner's slots.
            refusal = Overloaded('the owner of the pool does not answer')
            self._refuse(pending, refusal)
            return
        share = 1.0 / max(1, len(self._directory.live))
        pending.target = _FALLBACK
        pending.queued = False
        self.fallback.ask(pending.ask, share, self.limits.list_limits())

    def _spill(self, pending: _Pending) -> bool:
        """Send the request to the next reachable owner in another region.

        A request that is in an owner's queue already is sent with ``at_once``:
        the other owner grants or refuses it without queueing it. One that may
        not wait at all is not sent to another region.

        :return: whether it was sent.
        """
        if pending.ask.at_once:
            return False
        if pending.foreign_owners is None:
            owners = self._directory.list_foreign_owners(pending.ask.pool)
            pending.foreign_owners = owners
        while pending.foreign_owners:
            owner = pending.foreign_owners.pop(0)
            at_once = pending.target is not None
            ask = msgspec.structs.replace(pending.ask, at_once=at_once)
            try:
                self._send(owner, ask)
            except PeerUnreachable:
                continue
            if not at_once:
                pending.target = owner
            return True
        return False

    def _handle_grant(self, sender: str, grant: Grant) -> None:
        pending = self._pending.get(grant.request_id)
        moved = pending and pending.target != sender
        if pending is None or (moved and sender in {self._name, _FALLBACK}):
            # The request has ended, or has left the shard while its grant was
            # in the queue of callbacks.
            self._report(sender, _build_release(grant))
            return
        self._pending.pop(grant.request_id)
        try:
            self._accept_grant(sender, grant, pending)
        except BaseException:
            # Nobody else would release the slot or end the request's wait.
            self._running.pop(grant.request_id, None)
            self._report(sender, _build_release(grant))
            pending.handler.handle_refusal(InternalRefusal())
            raise

    def _accept_grant(
        self, sender: str, grant: Grant, pending: _Pending
    ) -> None:
        grant = self.verification.refine(grant)
        if not self.verification.is_usable(grant, pending.ask):
            # The owner does not know yet that the runner is leaving or gone, or
            # knows another version of it. The next tick sends the request again
            # with the runner to avoid.
            self._report(sender, _build_release(grant))
            if pending.target != sender:
                self._report(pending.target, _build_release(pending.ask))
            pending.avoid(grant.runner)
            self._pending[grant.request_id] = pending
            return
        if pending.target != sender:
            self._report(pending.target, _build_release(pending.ask))
        start = name_start(grant.runner, self._directory.get_born(grant.runner))
        self._running[grant.request_id] = _Running(
            pending, grant, sender, start
        )
        self._prompts.add(grant.pool, Read(grant.runner, pending.ask.parts))
        pending.handler.handle_grant(grant)

    def _handle_refusal(self, sender: str, refusal: Refusal) -> None:
        pending = self._pending.get(refusal.request_id)
        if pending is None or pending.target != sender:
            return
        pending.target = None
        if refusal.code in _SPILL_CODES and self._spill(pending):
            return
        if refusal.code == NOT_OWNER:
            # Views of the live instances differ for a moment after a change:
            # other instances may still name the sender as owner. The next tick
            # sends the request again, to any region.
            pending.foreign_owners = None
            self.fallback.mark_not_owner(sender)
            return
        remote = sender not in {self._name, _FALLBACK}
        if remote and refusal.code == UnknownClass.code:
            # This instance knows the class, so the owner has other settings.
            self._ask_fallback(pending)
            return
        self._refuse(pending, _build_error(refusal))

    def _refuse(self, pending: _Pending, error: RequestRefused) -> None:
        self.outbox.post(
            functools.partial(_finish_refusal, self._pending, pending, error)
        )

    def _report(
        self,
        target: str | None,
        message: Progress | Release | HeldList | Inventory,
    ) -> None:
        if target is None:
            return
        if target == _FALLBACK:
            self.fallback.report(message)
        elif target == self._name:
            self.owner.handle(self._name, message)
        else:
            try:
                self._send(target, message)
            except PeerUnreachable:
                # The owner frees the slot when this instance times out there,
                # or asks which grants are held once a link is up again.
                return

    def _update_owner(self, pool: str) -> None:
        """Take over or resign the shard of a pool."""
        owner = self._directory.find_owner(pool)
        if owner != self._owners.get(pool):
            self._unreported.add(pool)
        self._owners[pool] = owner
        if owner != self._name:
            self.owner.resign(pool)
        elif pool not in self.owner.pools:
            self.owner.take_over(pool, set(self._directory.live) - {owner})

    def _retarget_requests(self) -> None:
        """Move requests from former owners to the current ones."""
        for running in self._running.values():
            owner = self._directory.find_owner(running.ask.pool)
            if owner in {None, running.target}:
                continue
            if _runs_in_local_region(running, self._directory):
                self._report(running.target, _build_release(running.ask))
                running.target = owner
                self._unreported.add(running.ask.pool)
        for pending in self._pending.values():
            owner = self._directory.find_owner(pending.ask.pool)
            if owner and pending.target not in {owner, None}:
                self._report(pending.target, _build_release(pending.ask))
                pending.detach()

    def _report_moved(self) -> None:
        """Tell owners of the running requests that they do not know yet."""
        while self._unreported:
            pool = self._unreported.pop()
            owner = self._owners.get(pool)
            if owner:
                self._report(owner, self.list_inventory(pool))

    def _route_answer(self, instance: str, message: OwnerMessage) -> None:
        if instance == self._name:
            self._handle_answer(self._name, message)
        else:
            self._forward(instance, message)


def _update_runners(owner: Owner, directory: Directory, pool: str) -> None:
    owner.set_endpoints(pool, directory.list_runners(pool))


def _note_queued(
    waiting: dict[str, _Pending], sender: str, queued: Queued
) -> None:
    pending = waiting.get(queued.request_id)
    if pending and pending.target == sender:
        pending.queued = True


def _finish_refusal(
    waiting: dict[str, _Pending], pending: _Pending, error: RequestRefused
) -> None:
    """Refuse a request unless it has been withdrawn."""
    request_id = pending.ask.request_id
    if waiting.get(request_id) is pending:
        waiting.pop(request_id)
        pending.handler.handle_refusal(error)


def _list_held(
    requests: dict[str, _Running], owner: str, ask: HeldAsk
) -> HeldList:
    """Return the requests that hold a grant of an owner which asks for them."""
    request_ids = (
        request_id
        for request_id, running in requests.items()
        if running.target == owner and running.ask.pool == ask.pool
    )
    return HeldList(ask.pool, tuple(request_ids), ask.asked_at)


def _runs_in_local_region(running: _Running, directory: Directory) -> bool:
    """Return whether a request runs on a runner of the local region."""
    runners = directory.list_runners(running.ask.pool)
    return any(endpoint.name == running.grant.runner for endpoint in runners)


def _do_nothing() -> None:
    """Do nothing."""


_REFUSALS = {
    error.code: error
    for error in list_errors()
    if issubclass(error, RequestRefused)
}


def _build_error(refusal: Refusal) -> RequestRefused:
    kind = _REFUSALS.get(refusal.code, RequestRefused)
    return kind(refusal.reason, refusal.retry_after_s)


def _build_absence(ask: Ask) -> RequestRefused:
    """Return the error of a request for which no runner is known."""
    reason = f'no live runner of pool {ask.pool!r}'
    if ask.version is None:
        return NoRunner(reason)
    return VersionGone(f'{reason}; version {ask.version!r} is required')


def _build_release(message: Ask | Grant) -> Release:
    return Release(
        pool=message.pool,
        request_id=message.request_id,
        served=False,
    )


def _describe_held(running: _Running) -> Held:
    return Held(
        request_id=running.ask.request_id,
        class_name=running.ask.class_name,
        account=running.ask.account,
        runner=running.grant.runner,
        prompt_tokens=running.ask.prompt_tokens,
        tokens=running.tokens,
        max_tokens=running.ask.max_tokens,
        tier=running.ask.tier,
        parts=running.ask.part_names,
    )
