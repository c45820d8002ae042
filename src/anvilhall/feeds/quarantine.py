"""Writer of quarantined prompts to the platform's store.

They outlive the instances there: when all instances have been replaced at once,
the new ones read the entries with the list of instances.
"""

import asyncio
import random

from anvilhall.clock import Clock
from anvilhall.core.quarantine import QuarantineEntry
from anvilhall.exceptions import AppendUncertain, LogUnavailable
from anvilhall.feeds.base import Feed
from anvilhall.metrics import Metrics
from anvilhall.platform.registration import encode_quarantine
from anvilhall.platform.store import INSTANCES_TOPIC, StoreClient


class QuarantineWriter(Feed):
    """Writes the entries that this instance has decided on."""

    __slots__ = ('_pending', '_wakeup')

    def __init__(
        self,
        store: StoreClient,
        clock: Clock,
        metrics: Metrics,
        rng: random.Random,
    ) -> None:
        """Start with nothing to write."""
        super().__init__(
            INSTANCES_TOPIC, store, clock, metrics, rng, _has_no_reader
        )
        #: Newest version of each entry that is not stored yet.
        self._pending: dict[str, QuarantineEntry] = {}
        self._wakeup = asyncio.Event()

    def put(self, entry: QuarantineEntry) -> None:
        """Have an entry written; a withdrawn one is removed."""
        self._pending[entry.key] = entry
        self._wakeup.set()

    async def _follow_topic(self) -> None:
        while True:
            await self._wakeup.wait()
            self._wakeup.clear()
            while self._pending:
                await self._write(next(iter(self._pending.values())))

    async def _write(self, entry: QuarantineEntry) -> None:
        # A failed write leaves the entry pending.
        self._wakeup.set()
        try:
            await self._store.put(self._topic, encode_quarantine(entry))
        except AppendUncertain as error:
            # Repeating it is safe: the same entry would be written again.
            raise LogUnavailable(error.reason) from error
        self._record_success()
        if self._pending.get(entry.key) == entry:
            self._pending.pop(entry.key)


def _has_no_reader() -> bool:
    """Return that no other instance stands in for this one.

    Failed writes are therefore retried without a growing delay.
    """
    return True
