"""Writer of this system's keyed records to the platform's store.

Such records outlive the instances: when all instances have been replaced at
once, the new ones read the records with the list of instances.
"""

import asyncio
import random

from anvilhall.clock import Clock
from anvilhall.exceptions import AppendUncertain, LogUnavailable
from anvilhall.feeds.base import Feed
from anvilhall.metrics import Metrics
from anvilhall.platform.store import (
    INSTANCES_TOPIC,
    KeyedRecord,
    StoreClient,
)


class RecordWriter(Feed):
    """Writes the records that this instance has decided on."""

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
            INSTANCES_TOPIC, store, clock, metrics, rng, has_no_reader
        )
        #: Newest version of each record that is not stored yet, by key.
        self._pending: dict[str, KeyedRecord] = {}
        self._wakeup = asyncio.Event()

    def put(self, record: KeyedRecord) -> None:
        """Have a record written; one without content removes its key."""
        self._pending[record.key] = record
        self._wakeup.set()

    async def _follow_topic(self) -> None:
        while True:
            await self._wakeup.wait()
            self._wakeup.clear()
            while self._pending:
                await self._write(next(iter(self._pending.values())))

    async def _write(self, record: KeyedRecord) -> None:
        # A failed write leaves the record pending.
        self._wakeup.set()
        try:
            await self._store.put(self._topic, record)
        except AppendUncertain as error:
            # Repeating it is safe: the same record would be written again.
            raise LogUnavailable(error.reason) from error
        self._record_success()
        if self._pending.get(record.key) == record:
            self._pending.pop(record.key)


def has_no_reader() -> bool:
    """Return that no other instance stands in for this one.

    Failed writes are therefore retried without a growing delay.
    """
    return True
