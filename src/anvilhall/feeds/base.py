"""Base of the feeds, which follow a topic of the platform's store."""

import asyncio
import random
from collections.abc import Callable

from anvilhall.clock import Clock
from anvilhall.exceptions import (
    LogUnavailable,
    PlatformError,
    RecordsExpired,
    StoreRestored,
)
from anvilhall.logs import log_event
from anvilhall.metrics import Metrics
from anvilhall.platform.store import StoreClient

#: Seconds before a failed read is retried; jitter extends them up to twofold.
_RETRY_DELAY_S = 0.25
#: Upper limit of that delay, which doubles with each further failure, on
#: instances other than a reader. A reader notifies them of the store's return.
_MAX_RETRY_DELAY_S = 1.0
#: Seconds between checks whether a read is due.
DUE_CHECK_S = 0.2


class Feed:
    """Base of the feeds: reads a topic and retries after failures.

    One instance of each failure domain, the reader, polls the store on behalf
    of the others.
    """

    __slots__ = (
        '_answered_at',
        '_clock',
        '_failures',
        '_is_reader',
        '_metrics',
        '_rng',
        '_store',
        '_topic',
    )

    def __init__(
        self,
        topic: str,
        store: StoreClient,
        clock: Clock,
        metrics: Metrics,
        rng: random.Random,
        is_reader: Callable[[], bool],
    ) -> None:
        """Start without having read the topic.

        :param is_reader: returns whether this instance is the reader of its
            failure domain.
        """
        self._topic = topic
        self._store = store
        self._clock = clock
        self._metrics = metrics
        self._rng = rng
        self._is_reader = is_reader
        #: Calls to the store that have failed since the last success.
        self._failures = 0
        #: Monotonic time of the last answer; ``None``: there was none.
        self._answered_at: float | None = None

    @property
    def unreachable(self) -> bool:
        """Whether the last call to the store failed."""
        return self._failures > 0

    async def run(self) -> None:
        """Follow the topic until cancelled."""
        while True:
            try:
                await self._follow_topic()
            except RecordsExpired:
                log_event('history_expired', topic=self._topic)
            except StoreRestored as restored:
                log_event(
                    'store_restored',
                    topic=self._topic,
                    reason=restored.reason,
                )
            except LogUnavailable as error:
                self._record_failure(error)
                await self._back_off()

    async def _follow_topic(self) -> None:
        raise NotImplementedError

    async def _back_off(self) -> None:
        delay_s = _RETRY_DELAY_S
        if not self._is_reader():
            delay_s = min(
                _MAX_RETRY_DELAY_S,
                _RETRY_DELAY_S * 2 ** max(0, self._failures - 1),
            )
        await asyncio.sleep(delay_s * (1 + self._rng.random()))

    async def _sleep_until_stale(self, age_s: float, limit_s: float) -> None:
        """Sleep until state of this age may have reached its age limit."""
        await asyncio.sleep(max(DUE_CHECK_S, limit_s - age_s))

    def _record_failure(self, error: PlatformError) -> None:
        self._metrics.platform_failures.labels(self._topic, error.code).inc()
        if not self.unreachable:
            log_event(
                'store_lost',
                topic=self._topic,
                reason=error.reason,
                answer_age_s=self._measure_answer_age_s(),
            )
        self._failures += 1

    def _measure_answer_age_s(self) -> float | None:
        if self._answered_at is None:
            return None
        return self._clock.monotonic() - self._answered_at

    def _record_success(self) -> None:
        self._answered_at = self._clock.monotonic()
        if self.unreachable:
            self._failures = 0
            log_event('store_regained', topic=self._topic)
