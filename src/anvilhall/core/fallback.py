"""What an instance grants itself while an owner does not answer."""

import msgspec

from anvilhall import defaults
from anvilhall.clock import Clock
from anvilhall.core.messages import Ask, Progress, Release
from anvilhall.core.owner import Deliver, Owner


class OwnerTimeouts(msgspec.Struct, frozen=True, kw_only=True):
    """How long this instance waits for owners, in seconds."""

    #: Until an owner's first answer to an ask; ``None``: until it is known
    #: to be gone.
    answer_timeout_s: float | None = None
    #: For inventories, on becoming an owner.
    settling_s: float = defaults.SETTLING_S


class Fallback:
    """Shards of this instance's own, with a share of the runners' slots.

    An owner that let an ask go unanswered is passed by until it is heard of
    again: one request pays for the discovery, not each of them.
    """

    __slots__ = ('_unresponsive', '_name', '_timeouts', 'owner')

    def __init__(
        self,
        clock: Clock,
        deliver: Deliver,
        policy: str,
        timeouts: OwnerTimeouts,
        name: str,
    ) -> None:
        """Start without shards.

        :param name: this instance; others fill the runners in other orders.
        """
        self._name = name
        self._timeouts = timeouts
        self._unresponsive: set[str] = set()
        self.owner = Owner(clock, deliver, policy, salt=name)

    def ask(self, ask: Ask, share: float) -> None:
        """Decide on a request.

        :param share: share of the slots to use.
        """
        self.owner.take_over(ask.pool, (), share)
        self.owner.set_share(ask.pool, share)
        self.owner.handle(self._name, ask)

    def report(self, message: Progress | Release) -> None:
        """Take in what became of a request that was granted here."""
        self.owner.handle(self._name, message)

    def is_overdue(self, waited_s: float) -> bool:
        """Return whether an owner's first answer takes too long."""
        limit_s = self._timeouts.answer_timeout_s
        return limit_s is not None and waited_s >= limit_s

    def is_unresponsive(self, owner: str) -> bool:
        """Return whether an owner is passed by."""
        return owner in self._unresponsive

    def mark_unresponsive(self, owner: str) -> None:
        """Pass an owner by until it is heard of."""
        self._unresponsive.add(owner)

    def mark_not_owner(self, owner: str) -> None:
        """Pass by who says that it does not own the shard, if in a hurry."""
        if self._timeouts.answer_timeout_s is not None:
            self._unresponsive.add(owner)

    def mark_responsive(self, instance: str) -> None:
        """Note a message from an instance."""
        self._unresponsive.discard(instance)
