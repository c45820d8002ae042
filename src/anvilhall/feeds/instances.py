"""Feed of the instances: registers this one and discovers the others.

The entries of quarantined prompts and of the versions of each pool's runners
are in the same topic and are read with it. A store that was restored from an
older copy may lack entries of any kind. Instances then register again, and the
others are written again.
"""

import asyncio
import random
from collections.abc import Callable, Iterator
from typing import TypeVar

import msgspec

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
    decode_versions,
    encode_instance,
    is_instance,
    is_quarantine,
    is_versions,
)
from anvilhall.platform.store import (
    INSTANCES_TOPIC,
    KeyedPage,
    KeyedRecord,
    StoreClient,
)

#: Seconds from the registration to the first read of the instance list, in
#: which instances that start at the same time register, and on the reader of a
#: failure domain to the second read.
_FIRST_READ_S = 0.5
_SECOND_READ_S = 3.5
#: Upper limit of the seconds until an instance registers again, in which the
#: writes of all instances spread.
_REGISTER_AGAIN_S = 0.5
#: Seconds between later reads: on the reader, and on others. The intervals may
#: be long, because links announce new instances sooner.
_READER_INTERVAL_S = 15.0
_FOLLOWER_INTERVAL_S = 60.0


_Decoded = TypeVar('_Decoded')


class StoredState(msgspec.Struct, frozen=True):
    """State of the whole system that one read of the store has returned."""

    quarantined: tuple[QuarantineEntry, ...]
    #: Versions at which runners serve or have served, by pool.
    versions: dict[str, tuple[str, ...]]
    #: Whether the store may lack entries that were stored before.
    restored: bool


class InstancesFeed(Feed):
    """Registers this instance and discovers the others."""

    __slots__ = (
        '_on_change',
        '_on_stored',
        '_own',
        '_read_era',
        '_registered_era',
        '_store_era',
        '_store_restored',
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
        on_stored: Callable[[StoredState], None],
        is_reader: Callable[[], bool],
    ) -> None:
        """Start with this instance only.

        :param on_change: called with all instances after a change.
        :param on_stored: called at each read with what the store has beside
            the instances.
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
        #: Era of the store in which this instance was registered; -1: none.
        self._registered_era = -1
        #: Era of the last read, or before it of the first entry; -1: none.
        self._read_era = -1
        #: Highest era that this instance or a peer has read.
        self._store_era = -1
        self._store_restored = asyncio.Event()
        self._on_change = on_change
        self._on_stored = on_stored
        self.members: tuple[Member, ...] = (own,)

    def note_era(self, era: int) -> None:
        """Note the era of the store that this instance or a peer has read."""
        if era > self._store_era:
            self._store_era = era
            if self._is_entry_lost:
                self._store_restored.set()

    @property
    def _is_entry_lost(self) -> bool:
        """Whether the store may lack the entry of this instance."""
        return self._registered_era < self._store_era

    async def _follow_topic(self) -> None:
        await self._register()
        await self.discover()
        reader = self._is_reader()
        pause_s = _SECOND_READ_S if reader else _FOLLOWER_INTERVAL_S
        while True:
            await self._pause(pause_s)
            if self._is_entry_lost:
                await asyncio.sleep(_REGISTER_AGAIN_S * self._rng.random())
                await self._register()
            await self.discover()
            reader = self._is_reader()
            pause_s = _READER_INTERVAL_S if reader else _FOLLOWER_INTERVAL_S

    async def _pause(self, pause_s: float) -> None:
        """Sleep until the next read is due or the store is restored."""
        try:
            async with asyncio.timeout(pause_s):
                await self._store_restored.wait()
        except TimeoutError:
            return
        self._store_restored.clear()

    async def _register(self) -> None:
        """Write the entry of this instance unless the store has it."""
        if self._registered_era >= 0 and not self._is_entry_lost:
            return
        try:
            era = await self._store.put(self._topic, encode_instance(self._own))
        except AppendUncertain as error:
            # Retrying is safe: the entry would be written unchanged.
            raise LogUnavailable(error.reason) from error
        self._registered_era = era
        if self._read_era < 0:
            self._read_era = era
        log_event('registered', era=era)
        await asyncio.sleep(_FIRST_READ_S)

    async def discover(self) -> None:
        """Read the topic once.

        :raises LogUnavailable: if the store does not answer.
        """
        page = await self._store.list_newest(self._topic)
        self._record_success()
        restored = 0 <= self._read_era < page.end.era
        self._read_era = page.end.era
        self.note_era(page.end.era)
        self._apply_members(page, restored=restored)
        self._on_stored(
            StoredState(
                tuple(_decode_all(page, is_quarantine, decode_quarantine)),
                dict(_decode_all(page, is_versions, decode_versions)),
                restored,
            ),
        )

    def _apply_members(self, page: KeyedPage, *, restored: bool) -> None:
        listed = {
            member.name: member
            for member in _decode_all(page, is_instance, decode_instance)
        }
        known = {member.name: member for member in self.members}
        # Entries of instances stay in the store, so one that is missing was
        # lost, and one of an older copy may be outdated.
        found = listed | known if restored else known | listed
        found[self._own.name] = self._own
        members = tuple(found[name] for name in sorted(found))
        if members != self.members:
            self.members = members
            self._on_change(members)


def _decode_all(
    page: KeyedPage,
    is_kind: Callable[[KeyedRecord], bool],
    decode: Callable[[KeyedRecord], _Decoded],
) -> Iterator[_Decoded]:
    """Decode the entries of one kind; unusable ones are left out."""
    for record in page.records:
        if record.content and is_kind(record):
            try:
                yield decode(record)
            except UnusableEntry as error:
                log_event('entry_unusable', reason=error.reason)
