"""Feed of the runner registry."""

import asyncio
import random
from collections.abc import Callable, Iterable

from anvilhall.clock import Clock
from anvilhall.core.coverage import MAX_LAG_S, Coverage
from anvilhall.core.members import Member
from anvilhall.core.messages import RunnerNews, RunnersOffer, RunnersRead
from anvilhall.core.positions import Position
from anvilhall.core.views import RunnerView
from anvilhall.exceptions import LogUnavailable, PlatformError, UnusableEntry
from anvilhall.feeds.base import Feed
from anvilhall.logs import log_event
from anvilhall.metrics import Metrics
from anvilhall.platform.registration import check_runner, decode_runner
from anvilhall.platform.store import (
    RUNNERS_TOPIC,
    KeyedPage,
    KeyedRecord,
    StoreClient,
)

#: Seconds between reads of the runner registry. A draining runner must get no
#: more requests after two seconds; two reads fit into that time.
_RUNNERS_INTERVAL_S = 0.8
#: Age of the runner view, in seconds, at which an instance that is not the
#: reader reads the registry itself: two missed reads, still within those two
#: seconds.
_MAX_VIEW_AGE_S = 1.6
#: Seconds between checks for deferred records that are due.
_DEFERRED_CHECK_S = 0.2


class RunnersFeed(Feed):
    """Keeps the view of the runners up to date.

    One instance of each failure domain, the reader, polls the registry and
    notifies the others. An instance whose view becomes too old reads the
    registry itself and notifies its peers, too.
    """

    __slots__ = (
        '_coverage',
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
        """
        super().__init__(RUNNERS_TOPIC, store, clock, metrics, rng, is_reader)
        self._notify_peers = notify_peers
        self._region = region
        self._view = RunnerView()
        self._coverage = Coverage()
        self._on_change = on_change

    def apply_news(self, news: RunnerNews) -> None:
        """Apply a registry record that another instance has read."""
        name = news.runner.name
        if news.position <= self._view.get_version(name):
            return
        if not news.gone and not self._is_usable(news.runner):
            return
        before = self._view.members
        now = self._clock.monotonic()
        self._view.note_era(news.era, now)
        if news.gone:
            self._view.remove(name, news.position, now)
        else:
            self._view.put(news.runner, news.position, now)
        self._publish_changes(before, 'peer')

    def find(self, name: str) -> Member | None:
        """Return a runner by name, if the view has it."""
        return self._view.find(name)

    def measure_age_s(self) -> float | None:
        """Return the age of the view in seconds; ``None``: never read."""
        return self._view.measure_age_s(self._clock.monotonic())

    @property
    def reads_registry(self) -> bool:
        """Whether this instance polls the registry for others."""
        return self._is_reader()

    @property
    def lapses(self) -> int:
        """Number of times that the view was not current for long."""
        return self._coverage.lapses

    def measure_lag_s(self) -> float | None:
        """Return the seconds since the registry was surely covered.

        :return: ``None`` if it never was.
        """
        return self._coverage.measure_lag_s(self._clock.monotonic())

    def has_covered(self, since: float) -> bool:
        """Return whether a process that listened at a time is listed.

        It is not while runners may not have written their entries again after
        an outage of the registry.

        :param since: monotonic time in seconds.
        """
        now = self._clock.monotonic()
        lag_s = self.measure_lag_s()
        recovers = self._coverage.measure_recovery_s(now) > 0
        return lag_s is not None and not recovers and now - lag_s >= since

    def is_current(self) -> bool:
        """Return whether runners that the view lacks are absent."""
        lag_s = self.measure_lag_s()
        return lag_s is not None and lag_s <= MAX_LAG_S

    async def read_now(self) -> None:
        """Read the whole registry once.

        :raises PlatformError: if the store does not answer.
        """
        began_at = self._clock.monotonic()
        try:
            page = await self._store.list_newest(self._topic)
        except PlatformError as error:
            self._metrics.platform_failures.labels(
                self._topic, error.code
            ).inc()
            self._coverage.note_failure()
            raise
        self._apply_page(page, began_at, complete=True)

    def compare_read(self, read: RunnersRead) -> bool:
        """Compare the view with that of an instance that read the registry.

        :return: whether the own view is the same or newer; if not, the caller
            should ask for all runners.
        """
        now = self._clock.monotonic()
        self._coverage.note_report(now)
        if read.digest == self._view.digest:
            self._coverage.note_recovery(read.recovering_s, now)
            if read.position >= self._view.covers:
                self._coverage.note_same(read.age_s, read.era, now)
            self._view.note_contact(now)
            self._view.note_era(read.era, now)
            self._view.covers = max(self._view.covers, read.position)
            return True
        return self._view.has_newer(read.position)

    def build_offer(self) -> RunnersOffer:
        """Return a message with all runners of the view."""
        entries = tuple(
            RunnerNews(version.offset, member, era=version.era)
            for version, member in self._view.list_entries()
        )
        covers = self._view.covers
        return RunnersOffer(covers.offset, entries, covers.era)

    def apply_offer(self, offer: RunnersOffer) -> None:
        """Apply the view of another instance unless it is older."""
        if offer.position < self._view.covers:
            return
        before = self._view.members
        now = self._clock.monotonic()
        self._view.note_contact(now)
        self._view.note_era(offer.era, now)
        names: set[str] = set()
        for entry in offer.entries:
            if not self._is_usable(entry.runner):
                continue
            names.add(entry.runner.name)
            self._view.put(entry.runner, entry.position, now)
        self._view.keep_only(names, offer.position, now)
        self._view.covers = offer.position
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
        began_at = self._clock.monotonic()
        page = await self._store.list_newest(self._topic)
        self._apply_page(page, began_at, complete=True, notify=not first)
        while self._is_reader():
            await asyncio.sleep(_RUNNERS_INTERVAL_S)
            began_at, page = await self._read(page.end)
            self._apply_page(page, began_at, complete=False)

    def _record_failure(self, error: PlatformError) -> None:
        super()._record_failure(error)
        self._coverage.note_failure()

    def _is_read_due(self) -> bool:
        age_s = self.measure_age_s()
        return self._is_reader() or age_s is None or age_s > _MAX_VIEW_AGE_S

    async def _wait_until_due(self) -> None:
        while not self._is_read_due():
            if self._view.has_deferred:
                await asyncio.sleep(_DEFERRED_CHECK_S)
                self._expire()
            else:
                age_s = self.measure_age_s() or 0.0
                await self._sleep_until_stale(age_s, _MAX_VIEW_AGE_S)

    async def _read(self, start: Position) -> tuple[float, KeyedPage]:
        """Return when the call that succeeded began, and what it returned."""
        while True:
            began_at = self._clock.monotonic()
            try:
                return began_at, await self._store.read(self._topic, start, 0)
            except LogUnavailable as error:
                self._record_failure(error)
                self._expire()
            await self._back_off()

    def _apply_page(
        self,
        page: KeyedPage,
        began_at: float,
        *,
        complete: bool,
        notify: bool = True,
    ) -> None:
        self._record_success()
        before = self._view.members
        now = self._clock.monotonic()
        self._view.note_contact(now)
        self._coverage.note_read(began_at, page.end.era, now)
        self._view.note_era(page.end.era, now)
        for record in page.records:
            self._apply_record(record, now)
        if complete:
            names = {listed.key for listed in page.records}
            self._view.keep_only(names, page.end, now)
        self._view.expire(now)
        self._view.covers = max(self._view.covers, page.end)
        # Peers get no changes from the first read, because each instance reads
        # the whole registry at its own start.
        self._publish_changes(before, 'store', notify=notify)
        covers = self._view.covers
        self._notify_peers(
            RunnersRead(
                covers.offset,
                self._view.digest,
                era=covers.era,
                age_s=now - began_at,
                recovering_s=self._coverage.measure_recovery_s(now),
            ),
        )

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
                self._notify_peers(
                    RunnerNews(version.offset, member, gone, version.era),
                )

    def _apply_record(self, record: KeyedRecord, now: float) -> None:
        known = self._view.get_version(record.key)
        if record.position < known:
            log_event(
                'record_ignored',
                topic=self._topic,
                key=record.key,
                era=record.position.era,
                offset=record.position.offset,
                known_offset=known.offset,
            )
        if record.content is None:
            self._view.remove(record.key, record.position, now)
            return
        try:
            runner = decode_runner(record, self._region)
        except UnusableEntry as error:
            self._note_unusable(error)
            self._view.remove(record.key, record.position, now)
        else:
            self._view.put(runner, record.position, now)

    def _is_usable(self, runner: Member) -> bool:
        try:
            check_runner(runner)
        except UnusableEntry as error:
            self._note_unusable(error)
            return False
        return True

    def _note_unusable(self, error: UnusableEntry) -> None:
        self._metrics.platform_failures.labels(self._topic, error.code).inc()
        log_event('entry_unusable', reason=error.reason)


def _log_runner_changes(
    before: Iterable[Member],
    after: Iterable[Member],
    source: str,
) -> None:
    """Log the runners that appeared, restarted, disappeared or drain."""
    before_names = {member.name for member in before}
    states = {_describe_state(member) for member in before}
    changed = [
        member for member in after if _describe_state(member) not in states
    ]
    came = [member for member in changed if not member.leaving]
    log_event(
        'runners_changed',
        source=source,
        came=sorted(member.name for member in came),
        versions={member.name: member.version for member in came},
        leaving=sorted(member.name for member in changed if member.leaving),
        gone=sorted(before_names - {member.name for member in after}),
    )


def _describe_state(member: Member) -> tuple[str, bool, int, str]:
    return member.name, member.leaving, member.born, member.version
