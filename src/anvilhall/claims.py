"""Claims idempotency keys on the platform's log before requests run."""

import asyncio
import random
from collections.abc import Iterable, Iterator

import msgspec

from anvilhall import defaults
from anvilhall.clock import Clock
from anvilhall.core.ledger import (
    CLAIMS_STREAM,
    Claim,
    Entry,
    KeyState,
    Ledger,
    LedgerBatch,
    Settlement,
    decode_batch,
)
from anvilhall.core.positions import Position
from anvilhall.exceptions import (
    AlreadyRun,
    AppendUncertain,
    ClaimedBefore,
    ClaimUnavailable,
    KeyReused,
    LogUnavailable,
    StillRunning,
    StoreRestored,
)
from anvilhall.following import StreamReader, follow_stream
from anvilhall.jobs import Job
from anvilhall.local import Timings
from anvilhall.logs import log_event
from anvilhall.logservice import LogClient, Page
from anvilhall.metrics import Metrics

#: Seconds before a failed append is retried.
_RETRY_S = 0.1
#: Seconds after a restore of the log within which instances write back the
#: claims that it has lost, and upper limit of the seconds until an instance
#: writes those of others.
_RECOVERY_S = 3.0
_RECOVERY_SPREAD_S = 2.0
#: Bits of a claim's random identifier.
_ID_BITS = 128


class ClaimManager:
    """Writes this instance's claims and follows those of all instances.

    :param instance: name of this instance.
    """

    __slots__ = (
        '_clock',
        '_instance',
        '_log',
        '_lost',
        '_lost_due_at',
        '_metrics',
        '_page_folded',
        '_reread',
        '_rng',
        '_running',
        '_settlements',
        '_timings',
        '_trusted_at',
        '_unconfirmed',
        '_write_wanted',
        'ledger',
    )

    def __init__(
        self,
        instance: str,
        log: LogClient,
        ledger: Ledger,
        clock: Clock,
        timings: Timings,
        metrics: Metrics,
        rng: random.Random,
    ) -> None:
        """Start with nothing to write."""
        self._instance = instance
        self._log = log
        self._rng = rng
        self._clock = clock
        self._timings = timings
        self._metrics = metrics
        self.ledger = ledger
        #: Ledger of a restored log, until it has been read to its end.
        self._reread: Ledger | None = None
        #: Claims that the log has lost, by identifier, until read back.
        self._lost: dict[str, Entry] = {}
        #: Monotonic time from which claims of other instances are written back.
        self._lost_due_at = 0.0
        #: Monotonic time from which the ledger has all claims that others have
        #: written back; before it, no claim of this instance is won.
        self._trusted_at: float | None = None
        #: Claims of this instance that have not been read back from the log.
        self._unconfirmed: dict[str, Claim] = {}
        #: Settlements of this instance that have not been appended.
        self._settlements: list[Settlement] = []
        self._write_wanted = asyncio.Event()
        #: Notified after each page of the stream.
        self._page_folded = asyncio.Condition()
        #: Identifiers of claims whose requests run on this instance.
        self._running: set[str] = set()

    @property
    def all_written(self) -> bool:
        """Whether all claims and settlements of this instance are written."""
        return not self._unconfirmed and not self._settlements

    async def run(self) -> None:
        """Follow and append to the claims stream until cancelled."""
        if not self.all_written:
            # A cut append has left something to write.
            self._write_wanted.set()
        tasks = [
            asyncio.ensure_future(self._follow()),
            asyncio.ensure_future(self._write()),
        ]
        try:
            await asyncio.gather(*tasks)
        finally:
            # After a fault in one task, this method is run again.
            for task in tasks:
                task.cancel()
            await asyncio.wait(tasks)

    def check(self, job: Job) -> None:
        """Refuse a request whose key has a claim in the ledger.

        :raises StillRunning: if the claiming request runs on this instance.
        :raises AlreadyRun: if the claiming request has run.
        :raises ClaimedBefore: if it is unknown whether it has run.
        :raises KeyReused: if it had another path or body.
        """
        entry = self.ledger.get(job.account, job.key)
        if entry:
            self._refuse_taken(job, entry)

    async def claim(self, job: Job) -> Claim:
        """Claim the key of a request, which may run once this returns.

        :raises ClaimUnavailable: if the claim is not read back in time.
        :raises StillRunning: and the other errors of :meth:`check`.
        """
        self.check(job)
        if not self._is_trusted():
            self._count('unavailable')
            raise ClaimUnavailable(retry_after_s=1.0)
        claim = Claim(
            id=f'{self._rng.getrandbits(_ID_BITS):x}',
            account=job.account,
            key=job.key,
            digest=job.body_digest,
            instance=self._instance,
        )
        self._unconfirmed[claim.id] = claim
        self._running.add(claim.id)
        self._write_wanted.set()
        confirmed = False
        try:
            async with asyncio.timeout(self._timings.claim_timeout_s):
                await self._wait_confirmed(claim)
            confirmed = True
        except TimeoutError as error:
            raise ClaimUnavailable(retry_after_s=1.0) from error
        finally:
            if not confirmed:
                self.settle(claim, ran=False)
                self._count('unavailable')
        return self._check_won(job, claim)

    def settle(self, claim: Claim, *, ran: bool) -> None:
        """Queue the settlement of a claim for writing.

        :param ran: whether the request ran to its end; if not, no runner can
            have received it.
        """
        self._unconfirmed.pop(claim.id, None)
        self._running.discard(claim.id)
        self._settlements.append(
            Settlement(
                claim_id=claim.id,
                account=claim.account,
                key=claim.key,
                ran=ran,
            ),
        )
        self._write_wanted.set()

    def abandon(self, claim: Claim) -> None:
        """Leave a claim unsettled: it is unknown whether its request ran."""
        self._running.discard(claim.id)

    def _check_won(self, job: Job, claim: Claim) -> Claim:
        entry = self.ledger.get(job.account, job.key)
        if entry and entry.claim.id == claim.id:
            self._count('won')
            return claim
        self._running.discard(claim.id)
        self._count('lost')
        if entry is None:
            raise ClaimUnavailable(retry_after_s=1.0)
        self._refuse_taken(job, entry)
        raise ClaimedBefore

    def _refuse_taken(self, job: Job, entry: Entry) -> None:
        if entry.claim.digest != job.body_digest:
            raise KeyReused
        if entry.state is KeyState.RAN:
            raise AlreadyRun
        if entry.claim.id in self._running:
            raise StillRunning
        raise ClaimedBefore

    def _count(self, outcome: str) -> None:
        self._metrics.claims.labels(outcome).inc()

    async def _wait_confirmed(self, claim: Claim) -> None:
        async with self._page_folded:
            await self._page_folded.wait_for(
                lambda: claim.id not in self._unconfirmed,
            )

    async def _write(self) -> None:
        while True:
            await self._write_wanted.wait()
            await asyncio.sleep(defaults.CLAIM_BATCH_S)
            self._write_wanted.clear()
            pending = not self.all_written or self._list_lost_due()
            if pending and not await self._append():
                self._write_wanted.set()
                await asyncio.sleep(_RETRY_S)

    async def _append(self) -> bool:
        """Append all claims and settlements; return whether it succeeded.

        They may be written twice if the log's answer is lost; the copy with
        the lower offset counts.
        """
        settlements = tuple(self._settlements)
        lost = self._list_lost_due()
        batch = LedgerBatch(
            claims=(
                *(entry.claim for entry in lost),
                *self._unconfirmed.values(),
            ),
            settlements=(*_list_settlements(lost), *settlements),
        )
        era = self.ledger.era if self.ledger.era >= 0 else None
        try:
            await self._log.append(
                CLAIMS_STREAM, msgspec.to_builtins(batch), era
            )
        except (LogUnavailable, AppendUncertain, StoreRestored) as error:
            self._metrics.platform_failures.labels('log', error.code).inc()
            return False
        self._settlements = self._settlements[len(settlements) :]
        return True

    async def _follow(self) -> None:
        reader = StreamReader(
            CLAIMS_STREAM,
            self._get_next_position,
            self._fold_page,
            self._skip_to,
            self._restart,
        )
        poll_s = self._timings.log_poll_s
        await follow_stream(reader, self._log, poll_s, self._metrics)

    @property
    def _reading(self) -> Ledger:
        """The ledger to which the records of the log are applied."""
        return self.ledger if self._reread is None else self._reread

    def _get_next_position(self) -> Position:
        return self._reading.position

    def _skip_to(self, start: int) -> None:
        self._reading.skip_to(start)

    def _restart(self, era: int) -> None:
        self._reread = Ledger(self.ledger.window_s, era)

    def _is_trusted(self) -> bool:
        return (
            self._trusted_at is None
            or self._clock.monotonic() >= self._trusted_at
        )

    async def _fold_page(self, page: Page) -> None:
        now = self._clock.monotonic()
        if self.ledger.era < 0:
            self._begin(page.era, now)
        ledger = self._reading
        for record in page.records:
            batch = decode_batch(record.body)
            ledger.fold(record.offset, batch, now)
            self._confirm(batch.claims if batch else ())
        if ledger is not self.ledger and ledger.covers + 1 >= page.end:
            self._finish_reread(ledger, now)
        if self._reread is None:
            self.ledger.evict_expired(now)
            async with self._page_folded:
                self._page_folded.notify_all()

    def _begin(self, era: int, now: float) -> None:
        self.ledger.era = era
        if era > 0:
            # The log may have been restored just before.
            self._trusted_at = now + _RECOVERY_S

    def _finish_reread(self, reread: Ledger, now: float) -> None:
        lost = reread.adopt(self.ledger)
        log_event('claims_lost', era=reread.era, count=len(lost))
        self.ledger = reread
        self._reread = None
        self._lost = {entry.claim.id: entry for entry in lost}
        self._lost_due_at = now + _RECOVERY_SPREAD_S * self._rng.random()
        # Claims that were appended before the restore may be lost as well.
        self._write_wanted.set()
        loop = asyncio.get_running_loop()
        loop.call_later(_RECOVERY_SPREAD_S, self._write_wanted.set)

    def _list_lost_due(self) -> list[Entry]:
        """Return the lost claims to write back now: at first the own ones."""
        due = self._clock.monotonic() >= self._lost_due_at
        return [
            entry
            for entry in self._lost.values()
            if due or entry.claim.instance == self._instance
        ]

    def _confirm(self, claims: Iterable[Claim]) -> None:
        for claim in claims:
            self._unconfirmed.pop(claim.id, None)
            self._lost.pop(claim.id, None)


def _list_settlements(entries: Iterable[Entry]) -> Iterator[Settlement]:
    for entry in entries:
        if entry.state is KeyState.RAN:
            claim = entry.claim
            yield Settlement(claim.id, claim.account, claim.key, ran=True)
