"""This instance's requests for grants, and where each of them was sent.

No input or output: messages to other instances leave through a callback, and
answers reach the request through its ticket.
"""

from collections.abc import Callable
from typing import Protocol

import msgspec

from anvilhall.clock import Clock
from anvilhall.core.directory import Directory
from anvilhall.core.fallback import Fallback, Patience
from anvilhall.core.messages import (
    Ask,
    Grant,
    Held,
    Inventory,
    Progress,
    Queued,
    Read,
    Refusal,
    Release,
)
from anvilhall.core.owner import NOT_OWNER, Owner, OwnerMessage
from anvilhall.core.policies import DEFAULT_POLICY
from anvilhall.core.reads import RecentReads
from anvilhall.core.tree import Tree
from anvilhall.exceptions import (
    NoRunner,
    Overloaded,
    PeerUnreachable,
    RequestRefused,
    list_errors,
)

#: Sends a message to another instance; raises :exc:`PeerUnreachable`.
Send = Callable[[str, Ask | Progress | Release | Inventory], None]
#: Carries an owned shard's answer to another instance, as far as it can.
Forward = Callable[[str, OwnerMessage], None]
#: Name under which the fall-back shards deliver.
_FALLBACK = ''
#: Seconds in the own region's queue after which other regions are asked.
SPILL_AFTER_S = 0.25
#: Refusals after which another region is asked.
_SPILL_CODES = frozenset((NoRunner.code, Overloaded.code, NOT_OWNER))


class Ticket(Protocol):
    """Where the answers to one ask go."""

    def take_grant(self, grant: Grant) -> None:
        """Take the grant; it must be released in the end."""

    def take_refusal(self, error: RequestRefused) -> None:
        """Take the refusal."""

    def take_pause(self) -> None:
        """Take the owner's wish that the running request yields."""


class _Pending:
    """An ask without an answer."""

    __slots__ = ('ask', 'asked_at', 'foreign', 'queued', 'target', 'ticket')

    def __init__(self, ask: Ask, ticket: Ticket, now: float) -> None:
        self.ask = ask
        self.ticket = ticket
        self.asked_at = now
        #: Whether the target has confirmed that the request waits there.
        self.queued = False
        #: Instance that has the request in its queue; ``None``: nobody.
        self.target: str | None = None
        #: Owners in other regions that remain to be asked; ``None``: not yet
        #: looked up.
        self.foreign: list[str] | None = None

    def detach(self) -> None:
        """Wait at no owner."""
        self.target = None
        self.queued = False

    def avoid(self, runner: str) -> None:
        """Ask again, and for another runner than this one."""
        avoid = (*self.ask.avoid, runner)
        self.ask = msgspec.structs.replace(self.ask, avoid=avoid)
        self.detach()


class _Running:
    """A granted request."""

    __slots__ = ('ask', 'grant', 'target', 'ticket', 'tokens')

    def __init__(self, pending: _Pending, grant: Grant, target: str) -> None:
        self.ask = pending.ask
        self.ticket = pending.ticket
        self.grant = grant
        #: Instance that granted it.
        self.target = target
        self.tokens = 0


class Broker:
    """Asks owners for grants on behalf of this instance's requests.

    :param name: this instance.
    :param clock: source of time.
    :param directory: who owns what.
    :param send: sends a request's message to another instance.
    :param forward: carries an owned shard's answer to another instance.
    :param patience: how long owners are waited for.
    """

    __slots__ = (
        '_clock',
        '_directory',
        '_fallback',
        '_forward',
        '_name',
        '_owners',
        '_pending',
        '_reads',
        '_running',
        '_send',
        'on_wait',
        'owner',
    )

    def __init__(
        self,
        name: str,
        clock: Clock,
        directory: Directory,
        send: Send,
        forward: Forward,
        policy: str = DEFAULT_POLICY,
        patience: Patience | None = None,
    ) -> None:
        """Start with no requests."""
        patience = patience or Patience()
        self._name = name
        self._clock = clock
        self._directory = directory
        self._send = send
        self._forward = forward
        self._owners: dict[str, str | None] = {}
        self._pending: dict[str, _Pending] = {}
        self._running: dict[str, _Running] = {}
        self._reads = RecentReads()
        #: Called when a request begins to wait for an answer.
        self.on_wait: Callable[[], None] = _ignore
        #: The shards that this instance owns; its own answers come directly.
        self.owner = Owner(
            clock,
            self._route_answer,
            policy,
            patience.settling_s,
        )
        self._fallback = Fallback(
            clock,
            lambda _, message: self.take_answer(_FALLBACK, message),
            policy,
            patience,
            name,
        )

    @property
    def running_count(self) -> int:
        """Number of granted requests."""
        return len(self._running)

    @property
    def busy(self) -> bool:
        """Whether requests wait, so that time alone may bring work."""
        return bool(self._pending) or self.owner.has_waiting

    def ask(self, ask: Ask, ticket: Ticket) -> None:
        """Ask for a grant; the ticket gets exactly one answer."""
        pending = _Pending(ask, ticket, self._clock.monotonic())
        self._pending[ask.request_id] = pending
        self._place(pending)
        if ask.request_id in self._pending:
            self.on_wait()

    def withdraw(self, request_id: str) -> None:
        """Give up an ask; its ticket gets nothing more."""
        pending = self._pending.pop(request_id, None)
        if pending:
            self._tell_withdrawn(pending)

    def note_progress(self, progress: Progress) -> None:
        """Report the output of a running request to its owner."""
        running = self._running.get(progress.request_id)
        if running:
            running.tokens = progress.tokens
            self._report(running.target, progress)

    def release(self, release: Release) -> None:
        """Give the grant of a request back."""
        running = self._running.pop(release.request_id, None)
        if running:
            self._report(running.target, release)

    def take_answer(self, sender: str, message: OwnerMessage) -> None:
        """Take in an owner's answer."""
        if isinstance(message, Grant):
            self._take_grant(sender, message)
        elif isinstance(message, Refusal):
            self._take_refusal(sender, message)
        elif isinstance(message, Queued):
            self._take_queued(sender, message)
        else:
            running = self._running.get(message.request_id)
            if running:
                running.ticket.take_pause()

    def set_tree(self, tree: Tree) -> None:
        """Take over changed settings."""
        self.owner.set_tree(tree)
        self._fallback.owner.set_tree(tree)
        self.refresh(tree)

    def refresh(self, tree: Tree) -> None:
        """Follow a change of the view: take over, resign, ask anew."""
        for pool in tree.pools:
            seats = self._directory.list_seats(pool)
            self.owner.set_endpoints(pool, seats)
            self._fallback.owner.set_endpoints(pool, seats)
            self._follow_owner(pool)
        self._move_requests()
        self.tick()

    def list_inventory(self, pool: str) -> Inventory:
        """Return what this instance has running in the own region's shard."""
        seats = {seat.name for seat in self._directory.list_seats(pool)}
        held = tuple(
            _describe_held(running)
            for running in self._running.values()
            if running.ask.pool == pool and running.grant.runner in seats
        )
        reads = tuple(
            read
            for read in self._reads.list_reads(pool)
            if read.runner in seats
        )
        return Inventory(pool=pool, held=held, reads=reads)

    def note_link(self, instance: str) -> None:
        """Tell an instance that can be reached again what runs in its shards.

        :param instance: the other side of a new link.
        """
        for pool, owner in self._owners.items():
            if owner == instance:
                self.report_inventory(pool)

    def report_inventory(self, pool: str) -> None:
        """Tell the owner of the own region's shard what is running."""
        owner = self._owners.get(pool)
        if owner is None or owner == self._name:
            return
        try:
            self._send(owner, self.list_inventory(pool))
        except PeerUnreachable:
            # It is told again when the link comes up.
            return

    def tick(self) -> None:
        """Do what is due by time alone."""
        self.owner.tick()
        self._fallback.owner.tick()
        now = self._clock.monotonic()
        for pending in list(self._pending.values()):
            if pending.target is None:
                self._place(pending)
            elif self._is_unanswered(pending, now):
                self._fallback.note_mute(pending.target)
                self._tell_withdrawn(pending)
                self._ask_fallback(pending)
            elif now - pending.asked_at >= SPILL_AFTER_S:
                pending.asked_at = now
                self._spill(pending)

    def note_heard(self, instance: str) -> None:
        """Note a message from an instance: it answers again."""
        self._fallback.note_heard(instance)

    def drop_link(self, instance: str) -> None:
        """Ask elsewhere for what was asked of an instance now out of reach."""
        for pending in self._pending.values():
            if pending.target == instance:
                pending.detach()

    def _place(self, pending: _Pending) -> None:
        pool = pending.ask.pool
        owner = self._directory.find_owner(pool)
        if owner is None:
            if not self._spill(pending):
                self._refuse(pending, NoRunner(f'no live runner of {pool}'))
            return
        if owner == self._name:
            pending.target = owner
            self.owner.handle(self._name, pending.ask)
            return
        if self._fallback.is_mute(owner):
            self._ask_fallback(pending)
            return
        try:
            self._send(owner, pending.ask)
        except PeerUnreachable:
            self._ask_fallback(pending)
            return
        pending.target = owner

    def _ask_fallback(self, pending: _Pending) -> None:
        share = 1.0 / max(1, len(self._directory.live))
        pending.target = _FALLBACK
        pending.queued = False
        self._fallback.ask(pending.ask, share)

    def _spill(self, pending: _Pending) -> bool:
        """Ask the next owner in another region; return whether one was."""
        if pending.foreign is None:
            owners = self._directory.list_foreign_owners(pending.ask.pool)
            pending.foreign = owners
        while pending.foreign:
            owner = pending.foreign.pop(0)
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

    def _is_unanswered(self, pending: _Pending, now: float) -> bool:
        if pending.queued or pending.target in {_FALLBACK, self._name}:
            return False
        return self._fallback.is_overdue(now - pending.asked_at)

    def _take_queued(self, sender: str, queued: Queued) -> None:
        pending = self._pending.get(queued.request_id)
        if pending and pending.target == sender:
            pending.queued = True

    def _take_grant(self, sender: str, grant: Grant) -> None:
        pending = self._pending.pop(grant.request_id, None)
        if pending is None:
            self._report(sender, _build_release(grant))
            return
        if self._directory.is_leaving(grant.runner):
            # The owner has older news of the runner; it is asked again.
            self._report(sender, _build_release(grant))
            pending.avoid(grant.runner)
            self._pending[grant.request_id] = pending
            return
        if pending.target != sender:
            self._tell_withdrawn(pending)
        self._running[grant.request_id] = _Running(pending, grant, sender)
        self._reads.note(grant.pool, Read(grant.runner, pending.ask.parts))
        pending.ticket.take_grant(grant)

    def _take_refusal(self, sender: str, refusal: Refusal) -> None:
        pending = self._pending.get(refusal.request_id)
        if pending is None or pending.target != sender:
            return
        pending.target = None
        if refusal.code in _SPILL_CODES and self._spill(pending):
            return
        if refusal.code == NOT_OWNER:
            # The views differ for a moment; others may still name the sender.
            pending.foreign = None
            self._fallback.note_disowned(sender)
            return
        self._refuse(pending, _build_error(refusal))

    def _refuse(self, pending: _Pending, error: RequestRefused) -> None:
        self._pending.pop(pending.ask.request_id, None)
        pending.ticket.take_refusal(error)

    def _tell_withdrawn(self, pending: _Pending) -> None:
        if pending.target is None:
            return
        self._report(pending.target, _build_release(pending.ask))

    def _report(self, target: str, message: Progress | Release) -> None:
        if target == _FALLBACK:
            self._fallback.report(message)
        elif target == self._name:
            self.owner.handle(self._name, message)
        else:
            self._report_remote(target, message)

    def _report_remote(self, target: str, message: Progress | Release) -> None:
        try:
            self._send(target, message)
        except PeerUnreachable:
            # The owner frees the slot when it finds this instance silent, and
            # learns what is running from the inventory when it comes back.
            return

    def _follow_owner(self, pool: str) -> None:
        owner = self._directory.find_owner(pool)
        if owner != self._name:
            self.owner.resign(pool)
        elif pool not in self.owner.pools:
            self.owner.take_over(pool, set(self._directory.live) - {owner})
            self.owner.handle(owner, self.list_inventory(pool))
        if owner != self._owners.get(pool):
            self._owners[pool] = owner
            self.report_inventory(pool)

    def _move_requests(self) -> None:
        """Bind requests to the present owners of their shards."""
        for running in self._running.values():
            owner = self._directory.find_owner(running.ask.pool)
            if owner in {None, running.target}:
                continue
            if _is_home(running, self._directory):
                self._report(running.target, _build_release(running.ask))
                running.target = owner
        for pending in self._pending.values():
            owner = self._directory.find_owner(pending.ask.pool)
            if owner and pending.target not in {owner, None}:
                self._tell_withdrawn(pending)
                pending.detach()

    def _route_answer(self, instance: str, message: OwnerMessage) -> None:
        if instance == self._name:
            self.take_answer(self._name, message)
        else:
            self._forward(instance, message)


def _is_home(running: _Running, directory: Directory) -> bool:
    """Return whether a request runs on a runner of the own region."""
    seats = directory.list_seats(running.ask.pool)
    return any(seat.name == running.grant.runner for seat in seats)


def _ignore() -> None:
    """Do nothing."""


_REFUSALS = {
    error.code: error
    for error in list_errors()
    if issubclass(error, RequestRefused)
}


def _build_error(refusal: Refusal) -> RequestRefused:
    kind = _REFUSALS.get(refusal.code, RequestRefused)
    return kind(refusal.reason, refusal.retry_after_s)


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
    )
