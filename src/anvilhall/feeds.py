"""Follows the settings, the runners and the instances in the store."""

import asyncio
import random
from collections.abc import Callable, Iterable

from anvilhall.clock import Clock
from anvilhall.core.members import Member
from anvilhall.core.messages import RunnerNews, RunnersOffer, RunnersRead
from anvilhall.core.routes import RoutingSettings
from anvilhall.core.views import RunnerView
from anvilhall.exceptions import (
    AppendUncertain,
    LogUnavailable,
    PlatformError,
    RecordsExpired,
    SettingsError,
    UnusableEntry,
)
from anvilhall.logs import log_event
from anvilhall.metrics import Metrics
from anvilhall.platform.registration import (
    decode_instance,
    decode_runner,
    encode_instance,
)
from anvilhall.platform.settings import decode_settings
from anvilhall.platform.store import (
    CONFIG_KEY,
    CONFIG_TOPIC,
    INSTANCES_TOPIC,
    RUNNERS_TOPIC,
    KeyedPage,
    KeyedRecord,
    StoreClient,
)

#: Seconds that one long poll for settings may last, of an instance that reads
#: for others and of one that hears of new versions from it.
_READER_POLL_S = 10.0
_LISTENER_POLL_S = 25.0
#: Seconds between reads of the runners' entries: two reads fit well into the
#: two seconds after which a draining runner must get no more requests.
_RUNNERS_INTERVAL_S = 0.8
#: Seconds without news from a reader after which an instance reads by itself:
#: two reads, and still within those two seconds.
_READER_LATE_S = 1.6
#: Seconds between looks at whether that is so.
_LOOK_S = 0.2
#: Seconds before a failed read is repeated; up to twice as long.
_RETRY_S = 0.25
#: Seconds from the start to the looks for other instances, and between looks
#: from then on, of an instance that reads for others and of another one; links
#: bring the news of new instances sooner.
_INSTANCE_LOOKS_S = (0.5, 4.0)
_READER_INTERVAL_S = 15.0
_LISTENER_INTERVAL_S = 60.0


class _Feed:
    """Common part of the feeds: reads a topic, and again after failures."""

    __slots__ = ('_chance', '_clock', '_metrics', '_store', '_topic', 'lost')

    def __init__(
        self,
        topic: str,
        store: StoreClient,
        clock: Clock,
        metrics: Metrics,
        chance: random.Random,
    ) -> None:
        self._topic = topic
        self._store = store
        self._clock = clock
        self._metrics = metrics
        self._chance = chance
        #: Whether the last call failed.
        self.lost = False

    async def run(self) -> None:
        """Follow the topic for ever."""
        while True:
            try:
                await self._follow()
            except RecordsExpired:
                log_event('history_expired', topic=self._topic)
            except LogUnavailable as error:
                self._note_lost(error)
                await self._pause()

    async def _follow(self) -> None:
        raise NotImplementedError

    async def _pause(self) -> None:
        await asyncio.sleep(_RETRY_S * (1 + self._chance.random()))

    def _note_lost(self, error: PlatformError) -> None:
        self._metrics.platform_failures.labels(self._topic, error.code).inc()
        if not self.lost:
            self.lost = True
            log_event('store_lost', topic=self._topic, reason=error.reason)

    def _note_contact(self) -> None:
        if self.lost:
            self.lost = False
            log_event('store_regained', topic=self._topic)


class SettingsFeed(_Feed):
    """Keeps the newest version of the routing settings."""

    __slots__ = ('_is_reader', '_on_change', 'settings')

    def __init__(
        self,
        store: StoreClient,
        clock: Clock,
        metrics: Metrics,
        chance: random.Random,
        on_change: Callable[[RoutingSettings], None],
        is_reader: Callable[[], bool],
    ) -> None:
        """Start without settings.

        :param on_change: called with each newer version.
        :param is_reader: whether this instance reads for others.
        """
        super().__init__(CONFIG_TOPIC, store, clock, metrics, chance)
        self._is_reader = is_reader
        self._on_change = on_change
        self.settings: RoutingSettings | None = None

    @property
    def version(self) -> int:
        """Version in force; -1: none."""
        return self.settings.version if self.settings else -1

    def take(self, encoded: bytes, source: str) -> None:
        """Put a version in force if it is newer than the present one."""
        try:
            settings = decode_settings(encoded)
        except SettingsError as error:
            log_event('settings_refused', source=source, reason=error.reason)
            self._metrics.publications.labels(error.code).inc()
            return
        if settings.version <= self.version:
            return
        log_event(
            'settings_in_force',
            version=settings.version,
            before=self.version,
            source=source,
        )
        self.settings = settings
        self._metrics.settings_version.set(settings.version)
        self._on_change(settings)

    async def _follow(self) -> None:
        page = await self._store.list_newest(self._topic)
        self._apply(page)
        while True:
            poll_s = _READER_POLL_S if self._is_reader() else _LISTENER_POLL_S
            page = await self._store.read(
                self._topic,
                page.next_offset,
                poll_s,
            )
            self._apply(page)

    def _apply(self, page: KeyedPage) -> None:
        self._note_contact()
        newest: bytes | None = None
        for record in page.records:
            if record.key == CONFIG_KEY and record.content is not None:
                newest = record.content
        if newest is not None:
            self.take(newest, 'store')


class RunnersFeed(_Feed):
    """Keeps the view of the runners.

    One instance of each failure domain reads the registry and tells the
    others; who hears nothing for a while reads by itself and tells, too.
    """

    __slots__ = (
        '_is_reader',
        '_on_change',
        '_region',
        '_tell_peers',
        '_view',
    )

    def __init__(
        self,
        region: str,
        store: StoreClient,
        clock: Clock,
        metrics: Metrics,
        chance: random.Random,
        on_change: Callable[[tuple[Member, ...]], None],
        tell_peers: Callable[[RunnerNews | RunnersRead], None],
        is_reader: Callable[[], bool],
    ) -> None:
        """Start without runners.

        :param on_change: called with all runners after a change.
        :param tell_peers: passes a change, or the fact that nothing changed,
            on to other instances.
        :param is_reader: whether this instance reads for others.
        """
        self._is_reader = is_reader
        self._tell_peers = tell_peers
        super().__init__(RUNNERS_TOPIC, store, clock, metrics, chance)
        self._region = region
        self._view = RunnerView()
        self._on_change = on_change

    def take_news(self, news: RunnerNews) -> None:
        """Take in what another instance has read."""
        if news.version <= self._view.get_version(news.runner.name):
            return
        before = self._view.members
        if news.gone:
            now = self._clock.monotonic()
            self._view.remove(news.runner.name, news.version, now)
        else:
            self._view.put(news.runner, news.version)
        self._tell(before, 'peer')

    def measure_age_s(self) -> float | None:
        """Return the seconds since the store was last read."""
        return self._view.measure_age_s(self._clock.monotonic())

    def take_read(self, read: RunnersRead) -> bool:
        """Take in that another instance has just read the registry.

        :return: whether the own view is the same, or newer.
        """
        if read.digest == self._view.digest:
            now = self._clock.monotonic()
            self._view.note_contact(now)
            self._view.covers = max(self._view.covers, read.covers)
            return True
        return self._view.has_newer(read.covers)

    def build_offer(self) -> RunnersOffer:
        """Return all that this instance knows of the runners."""
        entries = tuple(
            RunnerNews(version, member)
            for version, member in self._view.list_entries()
        )
        return RunnersOffer(self._view.covers, entries)

    def take_offer(self, offer: RunnersOffer) -> None:
        """Take in all that another instance knows of the runners."""
        if offer.covers < self._view.covers:
            return
        before = self._view.members
        now = self._clock.monotonic()
        self._view.note_contact(now)
        names: set[str] = set()
        for entry in offer.entries:
            names.add(entry.runner.name)
            self._view.put(entry.runner, entry.version)
        self._view.keep_only(names, offer.covers, now)
        self._view.covers = offer.covers
        self._tell(before, 'peer')

    async def _follow(self) -> None:
        first = self.measure_age_s() is None
        await self._wait_turn()
        if not self.lost:
            log_event(
                'registry_read',
                reader=self._is_reader(),
                age_s=self.measure_age_s(),
            )
        page = await self._store.list_newest(self._topic)
        self._apply(page, complete=True, spread=not first)
        while self._is_reader():
            await asyncio.sleep(_RUNNERS_INTERVAL_S)
            page = await self._read(page.next_offset)
            self._apply(page, complete=False)

    def _must_read(self) -> bool:
        age_s = self.measure_age_s()
        return self._is_reader() or age_s is None or age_s > _READER_LATE_S

    async def _wait_turn(self) -> None:
        while not self._must_read():
            await asyncio.sleep(_LOOK_S)
            if self._view.has_pending_removals:
                self._expire()

    async def _read(self, offset: int) -> KeyedPage:
        while True:
            try:
                return await self._store.read(self._topic, offset, 0)
            except LogUnavailable as error:
                self._note_lost(error)
                self._expire()
            await self._pause()

    def _apply(
        self,
        page: KeyedPage,
        *,
        complete: bool,
        spread: bool = True,
    ) -> None:
        self._note_contact()
        before = self._view.members
        now = self._clock.monotonic()
        self._view.note_contact(now)
        for record in page.records:
            self._apply_record(record, now)
        if complete:
            names = {listed.key for listed in page.records}
            self._view.keep_only(names, page.next_offset, now)
        self._view.expire(now)
        self._view.covers = max(self._view.covers, page.next_offset)
        # The first list is no news: each instance reads it by itself.
        self._tell(before, 'store', spread=spread)
        self._tell_peers(RunnersRead(self._view.covers, self._view.digest))

    def _expire(self) -> None:
        before = self._view.members
        self._view.expire(self._clock.monotonic())
        self._tell(before, 'store')

    def _tell(
        self,
        before: tuple[Member, ...],
        source: str,
        *,
        spread: bool = True,
    ) -> None:
        after = self._view.members
        if after == before:
            return
        _note_runner_changes(before, after, source)
        self._on_change(after)
        if not spread:
            return
        names = {member.name for member in after}
        for member in set(before) ^ set(after):
            gone = member.name not in names
            if gone or member in after:
                version = self._view.get_version(member.name)
                self._tell_peers(RunnerNews(version, member, gone))

    def _apply_record(self, record: KeyedRecord, now: float) -> None:
        if record.content is None:
            self._view.remove(record.key, record.offset, now)
            return
        try:
            runner = decode_runner(record, self._region)
        except UnusableEntry as error:
            self._metrics.platform_failures.labels(
                self._topic,
                error.code,
            ).inc()
            log_event('entry_unusable', reason=error.reason)
            self._view.remove(record.key, record.offset, now)
        else:
            self._view.put(runner, record.offset)


class InstancesFeed(_Feed):
    """Announces this instance and finds the others."""

    __slots__ = ('_is_reader', '_on_change', '_own', 'members')

    def __init__(
        self,
        own: Member,
        store: StoreClient,
        clock: Clock,
        metrics: Metrics,
        chance: random.Random,
        on_change: Callable[[tuple[Member, ...]], None],
        is_reader: Callable[[], bool],
    ) -> None:
        """Start knowing of this instance only.

        :param on_change: called with all instances after a change.
        :param is_reader: whether this instance reads for others.
        """
        self._is_reader = is_reader
        super().__init__(INSTANCES_TOPIC, store, clock, metrics, chance)
        self._own = own
        self._on_change = on_change
        self.members: tuple[Member, ...] = (own,)

    async def _follow(self) -> None:
        await self._announce()
        started_at = self._clock.monotonic()
        for due_s in _INSTANCE_LOOKS_S:
            waited_s = self._clock.monotonic() - started_at
            await asyncio.sleep(max(0.0, due_s - waited_s))
            await self._look()
        while True:
            reader = self._is_reader()
            pause_s = _READER_INTERVAL_S if reader else _LISTENER_INTERVAL_S
            await asyncio.sleep(pause_s)
            await self._look()

    async def _announce(self) -> None:
        try:
            await self._store.put(self._topic, encode_instance(self._own))
        except AppendUncertain as error:
            # Writing the same entry again does no harm.
            raise LogUnavailable(error.reason) from error

    async def _look(self) -> None:
        page = await self._store.list_newest(self._topic)
        self._note_contact()
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


def _note_runner_changes(
    before: Iterable[Member],
    after: Iterable[Member],
    source: str,
) -> None:
    """Write a line for the runners that came, left or began to drain."""
    old = {(member.name, member.leaving) for member in before}
    new = {(member.name, member.leaving) for member in after}
    log_event(
        'runners_changed',
        source=source,
        came=sorted(name for name, leaving in new - old if not leaving),
        leaving=sorted(name for name, leaving in new - old if leaving),
        gone=sorted({name for name, _ in old} - {name for name, _ in new}),
    )
