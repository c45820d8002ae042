"""Feed of the routing settings."""

import asyncio
import random
from collections.abc import Callable

from anvilhall.clock import Clock
from anvilhall.core.positions import UNREAD, Position
from anvilhall.core.routes import RoutingSettings
from anvilhall.exceptions import LogUnavailable, SettingsError
from anvilhall.feeds.base import DUE_CHECK_S, Feed
from anvilhall.feeds.versions import EncodedVersion, WaitingVersions
from anvilhall.logs import log_event
from anvilhall.metrics import Metrics
from anvilhall.platform.settings import decode_settings, decode_version
from anvilhall.platform.store import (
    CONFIG_KEY,
    CONFIG_TOPIC,
    KeyedPage,
    StoreClient,
)
from anvilhall.tasks import WakeableTimer

#: Seconds of the first long poll, within which links to peers come up that make
#: further polls needless, and of later ones. A version must be in force two
#: seconds after it was published, even if the answer to a poll is lost.
_FIRST_POLL_S = 2.0
_POLL_S = 0.8
#: Seconds beyond those of the poll after which it counts as lost. The store
#: answers within 4 ms, and within 0.2 s when it is slow.
_POLL_TIMEOUT_S = 0.5
#: Seconds without a report of a polling peer after which an instance that is
#: not the reader polls the store itself. Peers report every 0.8 s.
_MAX_PEER_AGE_S = 1.6
#: Seconds between two versions that are put in force. A burst of versions must
#: not take the processor time of the relayed requests; versions superseded in
#: between are skipped.
_APPLY_INTERVAL_S = 0.25
#: Number of waiting versions from which on they come into force at once, so
#: that their memory is bounded.
_MAX_WAITING = 16
#: Seconds after which a version that a peer was asked for is asked for again,
#: and after which one that a peer has reported is read from the store.
_ASK_TIMEOUT_S = 0.5


class SettingsFeed(Feed):
    """Follows the routing settings and keeps their newest version.

    The reader of a failure domain polls the store; the other instances get new
    versions from peers, and poll only while no polling peer reports to them.
    """

    __slots__ = (
        '_applied_at',
        '_apply_timer',
        '_asked',
        '_on_change',
        '_peer_contact_at',
        '_due_timer',
        '_polling',
        '_refusals',
        '_reported',
        '_searched_until',
        '_waiting',
        'settings',
    )

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
        """
        super().__init__(CONFIG_TOPIC, store, clock, metrics, rng, is_reader)
        self._on_change = on_change
        self.settings: RoutingSettings | None = None
        #: Whether a long poll at the store keeps the version current.
        self._polling = False
        #: Monotonic time of the last report of a polling peer.
        self._peer_contact_at: float | None = None
        #: Version that a peer was asked for last, and when.
        self._asked = (-1, 0.0)
        #: Newest version that a peer has reported, and when this instance first
        #: lacked it.
        self._reported = (-1, 0.0)
        #: Woken when a reported version is due to be read from the store.
        self._due_timer = WakeableTimer()
        self._waiting = WaitingVersions()
        #: Versions that were refused as invalid.
        self._refusals = 0
        #: End of the records in which an older valid version was searched for.
        self._searched_until = UNREAD
        self._applied_at: float | None = None
        self._apply_timer: asyncio.TimerHandle | None = None

    @property
    def version(self) -> int:
        """Current version; -1: none."""
        return self.settings.version if self.settings else -1

    def states_start(self, pool: str) -> bool:
        """Return whether the runners of a pool state their start if asked."""
        known = self.settings.tree.pools.get(pool) if self.settings else None
        return known is not None and known.states_start

    @property
    def polled_version(self) -> int:
        """Current version if this instance polls the store itself, else -1."""
        return self.version if self._polling else -1

    def note_peer_version(self, version: int) -> None:
        """Note the version reported by a peer that polls the store.

        :param version: the peer's :attr:`polled_version`; an older one than the
            current version, or -1, is ignored.
        """
        if version >= max(0, self.version):
            self._peer_contact_at = self._clock.monotonic()

    def should_ask(self, version: int) -> bool:
        """Return whether a peer should be asked for its version now.

        It should not if the version is known already or another peer was just
        asked for it.
        """
        if version <= max(self.version, self._waiting.newest):
            return False
        now = self._clock.monotonic()
        self._note_reported(version, now)
        asked, asked_at = self._asked
        if version <= asked and now - asked_at < _ASK_TIMEOUT_S:
            return False
        self._asked = (version, now)
        return True

    def _note_reported(self, version: int, now: float) -> None:
        reported, _ = self._reported
        if reported <= self.version:
            self._reported = (version, now)
            loop = asyncio.get_running_loop()
            loop.call_later(_ASK_TIMEOUT_S, self._due_timer.wake)

    def _lacks_reported(self) -> bool:
        reported, reported_at = self._reported
        return reported > self.version and (
            self._clock.monotonic() - reported_at >= _ASK_TIMEOUT_S
        )

    def apply(self, encoded: bytes, source: str) -> None:
        """Put a version in force if it is newer than the current one.

        Within :data:`_APPLY_INTERVAL_S` of the last version, this happens at
        the end of the interval.

        :param encoded: the settings as JSON.
        :param source: for the log: ``store`` or the name of an instance.
        """
        self._add(encoded, source)
        self._apply_in_turn()

    def _add(self, encoded: bytes, source: str) -> None:
        try:
            number = decode_version(encoded)
        except SettingsError as error:
            self._record_refusal(error, source)
            return
        if number > self.version:
            self._waiting.add(EncodedVersion(number, encoded, source))

    def _apply_in_turn(self) -> None:
        if not self._waiting:
            return
        delay_s = self._measure_apply_delay_s()
        if delay_s <= 0 or len(self._waiting) >= _MAX_WAITING:
            self._apply_waiting()
        elif self._apply_timer is None:
            loop = asyncio.get_running_loop()
            self._apply_timer = loop.call_later(delay_s, self._apply_waiting)

    def _measure_apply_delay_s(self) -> float:
        if self._applied_at is None:
            return 0.0
        elapsed_s = self._clock.monotonic() - self._applied_at
        return _APPLY_INTERVAL_S - elapsed_s

    def _apply_waiting(self) -> None:
        """Put the newest valid version in force and drop the others."""
        if self._apply_timer:
            self._apply_timer.cancel()
            self._apply_timer = None
        while version := self._waiting.pop_newest():
            try:
                settings = decode_settings(version.encoded)
            except SettingsError as error:
                self._record_refusal(error, version.source)
                continue
            self._waiting.clear()
            self._put_in_force(settings, version.source)

    def _put_in_force(self, settings: RoutingSettings, source: str) -> None:
        log_event(
            'settings_in_force',
            version=settings.version,
            before=self.version,
            source=source,
        )
        self.settings = settings
        self._applied_at = self._clock.monotonic()
        self._metrics.settings_version.set(settings.version)
        self._on_change(settings)

    def _record_refusal(self, error: SettingsError, source: str) -> None:
        self._refusals += 1
        log_event('settings_refused', source=source, reason=error.reason)
        self._metrics.publications.labels(error.code).inc()

    async def _follow_topic(self) -> None:
        await self._wait_until_due()
        log_event(
            'settings_polled',
            reader=self._is_reader(),
            peer_age_s=(
                None
                if self._peer_contact_at is None
                else self._measure_peer_age_s()
            ),
        )
        try:
            await self._poll()
        finally:
            self._polling = False

    async def _wait_until_due(self) -> None:
        while not self._is_poll_due():
            left_s = _MAX_PEER_AGE_S - self._measure_peer_age_s()
            await self._due_timer.wait(max(DUE_CHECK_S, left_s))

    def _is_poll_due(self) -> bool:
        return (
            self._is_reader()
            or self._measure_peer_age_s() > _MAX_PEER_AGE_S
            or self._lacks_reported()
        )

    def _measure_peer_age_s(self) -> float:
        if self._peer_contact_at is None:
            return float('inf')
        return self._clock.monotonic() - self._peer_contact_at

    async def _poll(self) -> None:
        end = await self._list_newest()
        poll_s = _FIRST_POLL_S
        while self._is_poll_due():
            try:
                page = await self._store.read(
                    self._topic, end, poll_s, _POLL_TIMEOUT_S
                )
            except LogUnavailable as error:
                # A lost answer may have carried a version.
                self._polling = False
                self._record_failure(error)
                end = await self._list_newest()
            else:
                self._apply_page(page)
                end = page.end
            poll_s = _POLL_S

    async def _list_newest(self) -> Position:
        refusals = self._refusals
        page = await self._store.list_newest(self._topic)
        self._apply_page(page)
        self._apply_waiting()
        if self._refusals > refusals and page.end > self._searched_until:
            await self._search_records(page.end)
            self._searched_until = page.end
        # A reported version that the store does not have is not asked for
        # again until a peer reports it again.
        self._reported = (-1, 0.0)
        self._polling = True
        return page.end

    async def _search_records(self, end: Position) -> None:
        """Apply all retained records: the newest one of the key is invalid."""
        position = await self._store.find_first(self._topic)
        while position < end:
            page = await self._store.read(self._topic, position, 0)
            self._apply_page(page)
            if page.end == position:
                return
            position = page.end

    def _apply_page(self, page: KeyedPage) -> None:
        self._record_success()
        for record in page.records:
            if record.key == CONFIG_KEY and record.content is not None:
                self._add(record.content, 'store')
        self._apply_in_turn()
