"""Feeds that keep settings, runners and instances up to date."""

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

#: Seconds of a long poll for settings: on the reader of a failure domain, and
#: on other instances, which get new versions from peers as well.
_READER_POLL_S = 10.0
_FOLLOWER_POLL_S = 25.0
#: Seconds between reads of the runner registry. A draining runner must get no
#: more requests after two seconds; two reads fit into that time.
_RUNNERS_INTERVAL_S = 0.8
#: Age of the runner view, in seconds, at which an instance that is not the
#: reader reads the registry itself: two missed reads, still within those two
#: seconds.
_MAX_VIEW_AGE_S = 1.6
#: Seconds between checks of that age.
_AGE_CHECK_S = 0.2
#: Seconds before a failed read is retried; jitter extends them up to twofold.
_RETRY_DELAY_S = 0.25
#: Seconds from the start to the first reads of the instance list, and seconds
#: between later reads: on the reader of a failure domain, and on others. The
#: intervals may be long, because links announce new instances sooner.
_FIRST_READS_S = (0.5, 4.0)
_READER_INTERVAL_S = 15.0
_FOLLOWER_INTERVAL_S = 60.0


class _Feed:
    """Base of the feeds: reads a topic and retries after failures."""

    __slots__ = (
        '_clock',
        '_metrics',
        '_rng',
        '_store',
        '_topic',
        'unreachable',
    )

    def __init__(
        self,
        topic: str,
        store: StoreClient,
        clock: Clock,
        metrics: Metrics,
        rng: random.Random,
    ) -> None:
        self._topic = topic
        self._store = store
        self._clock = clock
        self._metrics = metrics
        self._rng = rng
        #: Whether the last call to the store failed.
        self.unreachable = False

    async def run(self) -> None:
        """Follow the topic until cancelled."""
        while True:
            try:
                await self._follow_topic()
            except RecordsExpired:
                log_event('history_expired', topic=self._topic)
            except LogUnavailable as error:
                self._record_failure(error)
                await self._back_off()

    async def _follow_topic(self) -> None:
        raise NotImplementedError

    async def _back_off(self) -> None:
        await asyncio.sleep(_RETRY_DELAY_S * (1 + self._rng.random()))

    def _record_failure(self, error: PlatformError) -> None:
        self._metrics.platform_failures.labels(self._topic, error.code).inc()
        if not self.unreachable:
            self.unreachable = True
            log_event('store_lost', topic=self._topic, reason=error.reason)

    def _record_success(self) -> None:
        if self.unreachable:
            self.unreachable = False
            log_event('store_regained', topic=self._topic)


class SettingsFeed(_Feed):
    """Follows the routing settings and keeps their newest version."""

    __slots__ = ('_is_reader', '_on_change', 'settings')

    def __init__(
        self,
        store: StoreClient,
        clock: Clock,
        metrics: Metrics,
        rng: random.Random,
        on_change: Callable[[RoutingSettings], None],
        is_reader: Callable[[], bool],
    ) -> None:
        """Start without settings.

        :param on_change: called with each newer version.
        :param is_reader: returns whether this instance is the reader of its
            failure domain.
        """
        super().__init__(CONFIG_TOPIC, store, clock, metrics, rng)
        self._is_reader = is_reader
        self._on_change = on_change
        self.settings: RoutingSettings | None = None

    @property
    def version(self) -> int:
        """Current version; -1: none."""
        return self.settings.version if self.settings else -1

    def apply(self, encoded: bytes, source: str) -> None:
        """Apply a version if it is newer than the current one.

        :param encoded: the settings as JSON.
        :param source: for the log: ``store`` or the name of an instance.
        """
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

    async def _follow_topic(self) -> None:
        page = await self._store.list_newest(self._topic)
        self._apply_page(page)
        while True:
            poll_s = _READER_POLL_S if self._is_reader() else _FOLLOWER_POLL_S
            page = await self._store.read(
                self._topic,
                page.next_offset,
                poll_s,
            )
            self._apply_page(page)

    def _apply_page(self, page: KeyedPage) -> None:
        self._record_success()
        newest: bytes | None = None
        for record in page.records:
            if record.key == CONFIG_KEY and record.content is not None:
                newest = record.content
        if newest is not None:
            self.apply(newest, 'store')


class RunnersFeed(_Feed):
    """Keeps the view of the runners up to date.

    One instance of each failure domain, the reader, polls the registry and
    notifies the others. An instance whose view becomes too old reads the
    registry itself and notifies its peers, too.
    """

    __slots__ = (
        '_is_reader',
        '_notify_peers',
        '_on_change',
        '_region',
        '_view',
    )

    def __init__(
        self,
        region: str,
        store: StoreClient,
        clock: Clock,
        metrics: Metrics,
        rng: random.Random,
        on_change: Callable[[tuple[Member, ...]], None],
        notify_peers: Callable[[RunnerNews | RunnersRead], None],
        is_reader: Callable[[], bool],
    ) -> None:
        """Start without runners.

        :param on_change: called with all runners after a change.
        :param notify_peers: sends a change, or the digest of the view after a
            read, to linked instances.
        :param is_reader: returns whether this instance is the reader of its
            failure domain.
        """
        self._is_reader = is_reader
        self._notify_peers = notify_peers
        super().__init__(RUNNERS_TOPIC, store, clock, metrics, rng)
        self._region = region
        self._view = RunnerView()
        self._on_change = on_change

    def apply_news(self, news: RunnerNews) -> None:
        """Apply a registry record that another instance has read."""
        if news.version <= self._view.get_version(news.runner.name):
            return
        before = self._view.members
        if news.gone:
            now = self._clock.monotonic()
            self._view.remove(news.runner.name, news.version, now)
        else:
            self._view.put(news.runner, news.version)
        self._publish_changes(before, 'peer')

    def measure_age_s(self) -> float | None:
        """Return the age of the view in seconds; ``None``: never read."""
        return self._view.measure_age_s(self._clock.monotonic())

    def compare_read(self, read: RunnersRead) -> bool:
        """Compare the view with that of an instance that read the registry.

        :return: whether the own view is the same or newer; if not, the caller
            should ask for all runners.
        """
        if read.digest == self._view.digest:
            now = self._clock.monotonic()
            self._view.note_contact(now)
            self._view.covers = max(self._view.covers, read.covers)
            return True
        return self._view.has_newer(read.covers)

    def build_offer(self) -> RunnersOffer:
        """Return a message with all runners of the view."""
        entries = tuple(
            RunnerNews(version, member)
            for version, member in self._view.list_entries()
        )
        return RunnersOffer(self._view.covers, entries)

    def apply_offer(self, offer: RunnersOffer) -> None:
        """Apply the view of another instance unless it is older."""
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
        self._publish_changes(before, 'peer')

    async def _follow_topic(self) -> None:
        first = self.measure_age_s() is None
        await self._wait_until_due()
        if not self.unreachable:
            log_event(
                'registry_read',
                reader=self._is_reader(),
                age_s=self.measure_age_s(),
            )
        page = await self._store.list_newest(self._topic)
        self._apply_page(page, complete=True, notify=not first)
        while self._is_reader():
            await asyncio.sleep(_RUNNERS_INTERVAL_S)
            page = await self._read(page.next_offset)
            self._apply_page(page, complete=False)

    def _is_read_due(self) -> bool:
        age_s = self.measure_age_s()
        return self._is_reader() or age_s is None or age_s > _MAX_VIEW_AGE_S

    async def _wait_until_due(self) -> None:
        while not self._is_read_due():
            await asyncio.sleep(_AGE_CHECK_S)
            if self._view.has_pending_removals:
                self._expire()

    async def _read(self, offset: int) -> KeyedPage:
        while True:
            try:
                return await self._store.read(self._topic, offset, 0)
            except LogUnavailable as error:
                self._record_failure(error)
                self._expire()
            await self._back_off()

    def _apply_page(
        self,
        page: KeyedPage,
        *,
        complete: bool,
        notify: bool = True,
    ) -> None:
        self._record_success()
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
        # Peers get no changes from the first read, because each instance reads
        # the whole registry at its own start.
        self._publish_changes(before, 'store', notify=notify)
        self._notify_peers(RunnersRead(self._view.covers, self._view.digest))

    def _expire(self) -> None:
        before = self._view.members
        self._view.expire(self._clock.monotonic())
        self._publish_changes(before, 'store')

    def _publish_changes(
        self,
        before: tuple[Member, ...],
        source: str,
        *,
        notify: bool = True,
    ) -> None:
        after = self._view.members
        if after == before:
            return
        _log_runner_changes(before, after, source)
        self._on_change(after)
        if not notify:
            return
        names = {member.name for member in after}
        for member in set(before) ^ set(after):
            gone = member.name not in names
            if gone or member in after:
                version = self._view.get_version(member.name)
                self._notify_peers(RunnerNews(version, member, gone))

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


def _log_runner_changes(
    before: Iterable[Member],
    after: Iterable[Member],
    source: str,
) -> None:
    """Log the runners that appeared, disappeared or started to drain."""
    old = {(member.name, member.leaving) for member in before}
    new = {(member.name, member.leaving) for member in after}
    log_event(
        'runners_changed',
        source=source,
        came=sorted(name for name, leaving in new - old if not leaving),
        leaving=sorted(name for name, leaving in new - old if leaving),
        gone=sorted({name for name, _ in old} - {name for name, _ in new}),
    )
