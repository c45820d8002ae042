"""Base of the feeds, which follow a topic of the platform's store."""

import asyncio
import random

from anvilhall.clock import Clock
from anvilhall.exceptions import LogUnavailable, PlatformError, RecordsExpired
from anvilhall.logs import log_event
from anvilhall.metrics import Metrics
from anvilhall.platform.store import StoreClient

#: Seconds before a failed read is retried; jitter extends them up to twofold.
_RETRY_DELAY_S = 0.25


class Feed:
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
