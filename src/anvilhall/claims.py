"""Claims idempotency keys on the platform's log before requests run."""

import asyncio
import random
from collections.abc import Iterable

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
from anvilhall.exceptions import (
    AlreadyRun,
    AppendUncertain,
    ClaimedBefore,
    ClaimUnavailable,
    KeyReused,
    LogUnavailable,
    StillRunning,
)
from anvilhall.following import StreamReader, follow_stream
from anvilhall.jobs import Job
from anvilhall.local import Timings
from anvilhall.logservice import LogClient, Page
from anvilhall.metrics import Metrics

#: Seconds before a failed append is retried.
_RETRY_S = 0.1
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
        '_metrics',
        '_page_folded',
        '_rng',
        '_running',
        '_settlements',
        '_timings',
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
        await asyncio.gather(self._follow(), self._write())

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
        try:
            await asyncio.wait_for(
                self._wait_confirmed(claim),
                self._timings.claim_timeout_s,
            )
        except (TimeoutError, asyncio.CancelledError) as error:
            self.settle(claim, ran=False)
            self._count('unavailable')
            if isinstance(error, asyncio.CancelledError):
                raise
            raise ClaimUnavailable(retry_after_s=1.0) from error
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
            if not self.all_written and not await self._append():
                self._write_wanted.set()
                await asyncio.sleep(_RETRY_S)

    async def _append(self) -> bool:
        """Append all claims and settlements; return whether it succeeded.

        They may be written twice if the log's answer is lost; the copy with
        the lower offset counts.
        """
        settlements = tuple(self._settlements)
        batch = LedgerBatch(
            claims=tuple(self._unconfirmed.values()),
            settlements=settlements,
        )
        try:
            await self._log.append(CLAIMS_STREAM, msgspec.to_builtins(batch))
        except (LogUnavailable, AppendUncertain) as error:
            self._metrics.platform_failures.labels('log', error.code).inc()
            return False
        self._settlements = self._settlements[len(settlements) :]
        return True

    async def _follow(self) -> None:
        reader = StreamReader(
            CLAIMS_STREAM,
            self._get_next_offset,
            self._fold_page,
            self.ledger.skip_to,
        )
        poll_s = self._timings.log_poll_s
        await follow_stream(reader, self._log, poll_s, self._metrics)

    def _get_next_offset(self) -> int:
        return self.ledger.covers + 1

    async def _fold_page(self, page: Page) -> None:
        now = self._clock.monotonic()
        for record in page.records:
            batch = decode_batch(record.body)
            self.ledger.fold(record.offset, batch, now)
            self._confirm(batch.claims if batch else ())
        self.ledger.evict_expired(now)
        async with self._page_folded:
            self._page_folded.notify_all()

    def _confirm(self, claims: Iterable[Claim]) -> None:
        for claim in claims:
            self._unconfirmed.pop(claim.id, None)
