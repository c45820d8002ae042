"""Feed of the instances: registers this one and discovers the others."""

import asyncio
import random
from collections.abc import Callable

from anvilhall.clock import Clock
from anvilhall.core.members import Member
from anvilhall.exceptions import AppendUncertain, LogUnavailable, UnusableEntry
from anvilhall.feeds.base import Feed
from anvilhall.logs import log_event
from anvilhall.metrics import Metrics
from anvilhall.platform.registration import decode_instance, encode_instance
from anvilhall.platform.store import INSTANCES_TOPIC, StoreClient

#: Seconds from the start to the first reads of the instance list, and seconds
#: between later reads: on the reader of a failure domain, and on others. The
#: intervals may be long, because links announce new instances sooner.
_FIRST_READS_S = (0.5, 4.0)
_READER_INTERVAL_S = 15.0
_FOLLOWER_INTERVAL_S = 60.0


class InstancesFeed(Feed):
    """Registers this instance and discovers the others."""

    __slots__ = ('_is_reader', '_on_change', '_own', 'members')

    def __init__(
        self,
        own: Member,
        store: StoreClient,
        clock: Clock,
        metrics: Metrics,
        rng: random.Random,
        on_change: Callable[[tuple[Member, ...]], None],
        is_reader: Callable[[], bool],
    ) -> None:
        """Start with this instance only.

        :param on_change: called with all instances after a change.
        :param is_reader: returns whether this instance is the reader of its
            failure domain.
        """
        self._is_reader = is_reader
        super().__init__(INSTANCES_TOPIC, store, clock, metrics, rng)
        self._own = own
        self._on_change = on_change
        self.members: tuple[Member, ...] = (own,)

    async def _follow_topic(self) -> None:
        await self._register()
        started_at = self._clock.monotonic()
        for due_s in _FIRST_READS_S:
            waited_s = self._clock.monotonic() - started_at
            await asyncio.sleep(max(0.0, due_s - waited_s))
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

    async def _discover(self) -> None:
        page = await self._store.list_newest(self._topic)
        self._record_success()
        found = {self._own.name: self._own}
        for record in page.records:
            if record.content is None:
                continue
            try:
                member = decode_instance(record)
            except UnusableEntry as error:
                log_event('entry_unusable', reason=error.reason)
                continue
            found.setdefault(member.name, member)
        members = tuple(found[name] for name in sorted(found))
        if members != self.members:
            self.members = members
            self._on_change(members)
