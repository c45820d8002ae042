"""Feed of the instances: registers this one and discovers the others.

The entries of quarantined prompts are in the same topic and are read with it.
"""

import asyncio
import random
from collections.abc import Callable

from anvilhall.clock import Clock
from anvilhall.core.members import Member
from anvilhall.core.quarantine import QuarantineEntry
from anvilhall.exceptions import AppendUncertain, LogUnavailable, UnusableEntry
from anvilhall.feeds.base import Feed
from anvilhall.logs import log_event
from anvilhall.metrics import Metrics
from anvilhall.platform.registration import (
    decode_instance,
    decode_quarantine,
    encode_instance,
    is_quarantine,
)
from anvilhall.platform.store import INSTANCES_TOPIC, KeyedRecord, StoreClient

#: Seconds from the registration to the first read of the instance list, in
#: which instances that start at the same time register, and on the reader of a
#: failure domain to the second read.
_FIRST_READ_S = 0.5
_SECOND_READ_S = 3.5
#: Seconds between later reads: on the reader, and on others. The intervals may
#: be long, because links announce new instances sooner.
_READER_INTERVAL_S = 15.0
_FOLLOWER_INTERVAL_S = 60.0


class InstancesFeed(Feed):
    """Registers this instance and discovers the others."""

    __slots__ = (
        '_on_change',
        '_on_quarantine',
        '_own',
        '_registered',
        'members',
    )

    def __init__(
        self,
        own: Member,
        store: StoreClient,
        clock: Clock,
        metrics: Metrics,
        rng: random.Random,
        on_change: Callable[[tuple[Member, ...]], None],
        on_quarantine: Callable[[QuarantineEntry], None],
        is_reader: Callable[[], bool],
    ) -> None:
        """Start with this instance only.

        :param on_change: called with all instances after a change.
        :param on_quarantine: called with each quarantined prompt at each read.
        """
        super().__init__(
            INSTANCES_TOPIC,
            store,
            clock,
            metrics,
            rng,
            is_reader,
        )
        self._own = own
        self._registered = False
        self._on_change = on_change
        self._on_quarantine = on_quarantine
        self.members: tuple[Member, ...] = (own,)

    async def _follow_topic(self) -> None:
        if not self._registered:
            await self._register()
            await asyncio.sleep(_FIRST_READ_S)
        await self._discover()
        if self._is_reader():
            await asyncio.sleep(_SECOND_READ_S)
            await self._discover()
        while True:
            reader = self._is_reader()
            pause_s = _READER_INTERVAL_S if reader else _FOLLOWER_INTERVAL_S
            await asyncio.sleep(pause_s)
            await self._discover()

    async def _register(self) -> None:
        try:
            await self._store.put(self._topic, encode_instance(self._own))
        except AppendUncertain as error:
            # Retrying is safe: the entry would be written unchanged.
            raise LogUnavailable(error.reason) from error
        self._registered = True

    async def _discover(self) -> None:
        page = await self._store.list_newest(self._topic)
        self._record_success()
        found = {self._own.name: self._own}
        for record in page.records:
            member = self._decode(record) if record.content else None
            if member:
                found.setdefault(member.name, member)
        members = tuple(found[name] for name in sorted(found))
        if members != self.members:
            self.members = members
            self._on_change(members)

    def _decode(self, record: KeyedRecord) -> Member | None:
        """Return the instance of a record, or pass on a quarantined prompt."""
        try:
            if not is_quarantine(record):
                return decode_instance(record)
            self._on_quarantine(decode_quarantine(record))
        except UnusableEntry as error:
            log_event('entry_unusable', reason=error.reason)
        return None
