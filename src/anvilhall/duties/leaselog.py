"""Topic of the duties: reads it into the lease and appends to it."""

import asyncio
import contextlib
import secrets
from collections.abc import Iterable, Iterator, Sequence

from anvilhall.clock import Clock
from anvilhall.core.leases import Lease, LeaseRecord, RecordKind
from anvilhall.core.positions import UNREAD
from anvilhall.exceptions import (
    AppendConflict,
    LeaseLost,
    LogUnavailable,
    MalformedData,
    PlatformError,
    RecordsExpired,
    StoreRestored,
)
from anvilhall.logs import log_event
from anvilhall.metrics import Metrics
from anvilhall.platform.duties import decode_record, encode_record
from anvilhall.platform.store import DUTIES_TOPIC, RawPage, StoreClient

_IDENTIFIER_BYTES = 8
#: Most decisions that are appended at a time.
_BATCH_RECORDS = 64
_MS_PER_S = 1000


class LeaseLog:
    """Keeps a lease up to date with the topic.

    Calls to the store follow one another: each append names the end of the
    topic that the call before has found.
    """

    __slots__ = (
        '_clock',
        '_lock',
        '_metrics',
        '_position',
        '_store',
        'appended_at',
        'lease',
        'stale',
    )

    def __init__(
        self,
        lease: Lease,
        store: StoreClient,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        """Start without having read the topic."""
        self.lease = lease
        self._store = store
        self._clock = clock
        self._metrics = metrics
        self._lock = asyncio.Lock()
        self._position = UNREAD
        #: Whether the topic may have records that were not read.
        self.stale = True
        #: Boot time before the last append that succeeded.
        self.appended_at = 0.0

    async def read(self, wait_s: float = 0.0) -> None:
        """Read the topic to its end.

        :param wait_s: seconds to wait for a record if there is none yet.
        :raises LogUnavailable: if the store does not answer.
        """
        async with self._lock:
            await self._read(wait_s)

    async def begin_term(self) -> None:
        """Append the record that begins a term of this instance.

        :raises PlatformError: if it is not known to be recorded.
        """
        async with self._lock:
            term = self.lease.begin_term(
                secrets.token_hex(_IDENTIFIER_BYTES),
                int(self._clock.now().timestamp() * _MS_PER_S),
                max(0, self._position.era),
                self._clock.boottime(),
            )
            await self._append((term,))

    async def renew(self) -> None:
        """Append a renewal of the own term, or decisions that were lost.

        :raises PlatformError: if it is not known to be recorded.
        """
        async with self._lock:
            if await self._check_held():
                now = self._clock.boottime()
                records = self._build_lost(now) or (
                    self.lease.build_record(RecordKind.RENEWAL, now),
                )
                await self._append(records)

    async def release(self) -> None:
        """Append the release of the own term, after decisions that were lost.

        :raises PlatformError: if it is not known to be recorded.
        """
        async with self._lock:
            if await self._check_held():
                now = self._clock.boottime()
                lost = self._build_lost(now)
                release = self.lease.build_record(RecordKind.RELEASE, now)
                await self._append((*lost, release))

    async def decide(
        self, token: int, key: str, content: bytes, *, once: bool
    ) -> bytes:
        """Append a decision of the own term and return the one in force.

        :param token: token of that term.
        :param once: whether a decision that was known before stays in force.
        :raises PlatformError: if it is not known to be recorded.
        """
        known = None if once else self.lease.decisions.find(key)
        async with self._lock:
            while True:
                await self._check_token(token)
                found = self.lease.decisions.find(key)
                if found and found != known:
                    # Also an earlier attempt may have been recorded late.
                    return found.content
                now = self._clock.boottime()
                if self.lease.decisions.has(key, content, now):
                    return content
                with contextlib.suppress(AppendConflict):
                    await self._append(
                        self.lease.build_decisions(((key, content),), now)
                    )
                    return content

    async def _check_token(self, token: int) -> None:
        """Check that the term with a token is the newest one.

        :raises LeaseLost: if it is not.
        """
        await self._check_held()
        if self.lease.held is None or self.lease.held.token != token:
            raise LeaseLost()

    async def _check_held(self) -> bool:
        """Return whether the own term is the newest one."""
        if self.stale:
            await self._read()
        return self.lease.held is not None

    def _build_lost(self, now: float) -> tuple[LeaseRecord, ...]:
        """Return records of the decisions that the topic may have lost."""
        lost = self.lease.decisions.list_unstored()[:_BATCH_RECORDS]
        return self.lease.build_decisions(lost, now)

    async def _read(self, wait_s: float = 0.0) -> None:
        complete = False
        while not complete:
            page = await self._read_page(wait_s)
            now = self._clock.boottime()
            self.lease.apply(_decode_records(page.records), now)
            self._position = page.next
            complete = page.complete
        self.stale = False
        self.lease.note_complete(self._clock.boottime())

    async def _read_page(self, wait_s: float) -> RawPage:
        while True:
            try:
                return await self._store.read_raw(
                    DUTIES_TOPIC, self._position, wait_s
                )
            except StoreRestored as restored:
                self._note_gap(restored)
                self._position = UNREAD
            except RecordsExpired as expired:
                self._note_gap(expired)
                self._position = await self._store.find_first(DUTIES_TOPIC)

    async def _append(self, records: Sequence[LeaseRecord]) -> None:
        sent_at = self._clock.boottime()
        # Also if this call is cancelled, the records may be recorded.
        self.stale = True
        try:
            end = await self._store.append_at(
                DUTIES_TOPIC, map(encode_record, records), self._position
            )
        except (AppendConflict, LogUnavailable) as refused:
            self._count_append(refused.code)
            self.lease.note_refused(records)
            self.stale = isinstance(refused, AppendConflict)
            raise
        except PlatformError as error:
            self._count_append(error.code)
            raise
        self._count_append('done')
        if end.era != self._position.era:
            raise StoreRestored(f'the store is in era {end.era} since')
        self.stale = False
        self._position = end
        self.appended_at = sent_at
        self.lease.apply(records, self._clock.boottime())

    def _note_gap(self, reason: PlatformError) -> None:
        log_event('duty_records_lost', result=reason.code, reason=reason.reason)
        self.stale = True
        self.lease.note_gap(self._clock.boottime())

    def _count_append(self, outcome: str) -> None:
        self._metrics.duty_appends.labels(outcome).inc()


def _decode_records(contents: Iterable[bytes]) -> Iterator[LeaseRecord]:
    """Decode records; those that can't be decoded are left out."""
    for content in contents:
        try:
            yield decode_record(content)
        except MalformedData as error:
            log_event(
                'record_unusable', topic=DUTIES_TOPIC, reason=error.reason
            )
