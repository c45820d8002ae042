"""Grants by the requesting instance itself while an owner does not answer."""

import msgspec

from anvilhall import defaults
from anvilhall.clock import Clock
from anvilhall.core.messages import Ask
from anvilhall.core.outbox import Outbox
from anvilhall.core.owner import Deliver, Owner, RequesterMessage
from anvilhall.core.quarantine import Quarantine


class OwnerTimeouts(msgspec.Struct, frozen=True, kw_only=True):
    """Timeouts towards owners, in seconds."""

    #: Longest wait for an owner's first answer to a request; ``None``: until
    #: the owner is known to be gone.
    answer_timeout_s: float | None = None
    #: Longest wait of a new owner for inventories, before it grants requests.
    settling_s: float = defaults.SETTLING_S


class Fallback:
    """Local shards for requests whose owner does not answer.

    They grant a share of the runners' slots. An owner that left a request
    unanswered is skipped until a message from it arrives, so that later
    requests do not wait for the timeout too.
    """

    __slots__ = ('_name', '_timeouts', '_unresponsive', 'owner')

    def __init__(
        self,
        clock: Clock,
        deliver: Deliver,
        policy: str,
        timeouts: OwnerTimeouts,
        name: str,
        quarantine: Quarantine,
        outbox: Outbox,
    ) -> None:
        """Create the fallback without shards.

        :param name: name of this instance. It also determines the order in
            which runners are filled: the order differs between instances,
            because they do not know of each other's grants.
        :param quarantine: prompts to refuse. Only owners probe them.
        :param outbox: queue of the messages to deliver.
        """
        self._name = name
        self._timeouts = timeouts
        self._unresponsive: set[str] = set()
        self.owner = Owner(
            clock,
            deliver,
            policy,
            salt=name,
            quarantine=quarantine,
            may_probe=False,
            outbox=outbox,
        )

    def ask(
        self, ask: Ask, share: float, limits: tuple[tuple[str, float], ...]
    ) -> None:
        """Grant, queue or refuse a request.

        :param share: share of the runners' slots and limits that may be used.
        :param limits: limits that runners have advertised to this instance.
        """
        self.owner.take_over(ask.pool, (), share)
        self.owner.set_share(ask.pool, share)
        self.owner.adopt_limits(limits)
        self.owner.handle(self._name, ask)

    def report(self, message: RequesterMessage) -> None:
        """Handle a report on requests in a local shard."""
        self.owner.handle(self._name, message)

    def is_overdue(self, waited_s: float) -> bool:
        """Return whether the wait for an owner's first answer has timed out."""
        limit_s = self._timeouts.answer_timeout_s
        return limit_s is not None and waited_s >= limit_s

    def is_unresponsive(self, owner: str) -> bool:
        """Return whether an owner is skipped."""
        return owner in self._unresponsive

    def mark_unresponsive(self, owner: str) -> None:
        """Skip an owner until a message from it arrives."""
        self._unresponsive.add(owner)

    def mark_not_owner(self, owner: str) -> None:
        """Skip an instance that refused a request as it is not the owner.

        Without an answer timeout, it is not skipped.
        """
        if self._timeouts.answer_timeout_s is not None:
            self._unresponsive.add(owner)

    def mark_responsive(self, instance: str) -> None:
        """Stop skipping an instance from which a message has arrived."""
        self._unresponsive.discard(instance)
