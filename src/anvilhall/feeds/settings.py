"""Feed of the routing settings."""

import random
from collections.abc import Callable

from anvilhall.clock import Clock
from anvilhall.core.routes import RoutingSettings
from anvilhall.exceptions import SettingsError
from anvilhall.feeds.base import Feed
from anvilhall.logs import log_event
from anvilhall.metrics import Metrics
from anvilhall.platform.settings import decode_settings
from anvilhall.platform.store import (
    CONFIG_KEY,
    CONFIG_TOPIC,
    KeyedPage,
    StoreClient,
)

#: Seconds of a long poll for settings: on the reader of a failure domain, and
#: on other instances, which get new versions from peers as well.
_READER_POLL_S = 10.0
_FOLLOWER_POLL_S = 25.0


class SettingsFeed(Feed):
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
