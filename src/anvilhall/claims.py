"""Claims idempotency keys on the platform's log before a request runs."""

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

#: Seconds before an append is tried again.
_RETRY_S = 0.1
#: Size of a claim's identifier.
_ID_BITS = 128


class ClaimManager:
    """This instance's claims, and the ledger of everybody's.

    :param instance: name of this instance.
    """

    __slots__ = (
        '_chance',
        '_claims',
        '_clock',
        '_folded',
        '_instance',
        '_live',
        '_log',
        '_metrics',
        '_settlements',
        '_timings',
        '_wake',
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
        chance: random.Random,
    ) -> None:
        """Start with an empty queue."""
        self._instance = instance
        self._log = log
        self._chance = chance
        self._clock = clock
        self._timings = timings
        self._metrics = metrics
        self.ledger = ledger
        self._claims: dict[str, Claim] = {}
        self._settlements: list[Settlement] = []
        self._wake = asyncio.Event()
        self._folded = asyncio.Condition()
        #: Claims of this instance whose requests run now.
        self._live: set[str] = set()

    @property
    def all_written(self) -> bool:
        """Whether everything that this instance has to say is written."""
        return not self._claims and not self._settlements

    async def run(self) -> None:
        """Write and read until cancelled."""
        await asyncio.gather(self._follow(), self._write())

    def check(self, job: Job) -> None:
        """Refuse a request whose key is known to be taken.

        :raises StillRunning: if this instance runs the earlier request.
        :raises AlreadyRun: if the earlier request has run.
        :raises ClaimedBefore: if nothing is known of the earlier request.
        :raises KeyReused: if the earlier request asked for something else.
        """
        entry = self.ledger.get(job.account, job.key)
        if entry:
            self._refuse_taken(job, entry)

    async def claim(self, job: Job) -> Claim:
        """Claim the key of a request; it may run when this returns.

        :raises ClaimUnavailable: if the log does not confirm in time.
        :raises StillRunning: and the other errors of :meth:`check`.
        """
        self.check(job)
        claim = Claim(
            id=f'{self._chance.getrandbits(_ID_BITS):x}',
            account=job.account,
            key=job.key,
            digest=job.body_digest,
            instance=self._instance,
        )
        self._claims[claim.id] = claim
        self._live.add(claim.id)
        self._wake.set()
        try:
            await asyncio.wait_for(
                self._wait_folded(claim),
                self._timings.claim_timeout_s,
            )
        except (TimeoutError, asyncio.CancelledError) as error:
            self.settle(claim, ran=False)
            self._count('unavailable')
            if isinstance(error, asyncio.CancelledError):
                raise
            raise ClaimUnavailable(retry_after_s=1.0) from error
        return self._judge(job, claim)

    def settle(self, claim: Claim, *, ran: bool) -> None:
        """Write what became of a claim.

        :param ran: whether the request ran to its end; if not, it was
            certainly never sent.
        """
        self._claims.pop(claim.id, None)
        self._live.discard(claim.id)
        self._settlements.append(
            Settlement(
                claim_id=claim.id,
                account=claim.account,
                key=claim.key,
                ran=ran,
            ),
        )
        self._wake.set()

    def abandon(self, claim: Claim) -> None:
        """Leave a claim as it is: whether its request ran is unknown."""
        self._live.discard(claim.id)

    def _judge(self, job: Job, claim: Claim) -> Claim:
        entry = self.ledger.get(job.account, job.key)
        if entry and entry.claim.id == claim.id:
            self._count('won')
            return claim
        self._live.discard(claim.id)
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
        if entry.claim.id in self._live:
            raise StillRunning
        raise ClaimedBefore

    def _count(self, outcome: str) -> None:
        self._metrics.claims.labels(outcome).inc()

    async def _wait_folded(self, claim: Claim) -> None:
        async with self._folded:
            await self._folded.wait_for(lambda: claim.id not in self._claims)

    async def _write(self) -> None:
        while True:
            await self._wake.wait()
            await asyncio.sleep(defaults.CLAIM_BATCH_S)
            self._wake.clear()
            if not self.all_written and not await self._append():
                self._wake.set()
                await asyncio.sleep(_RETRY_S)

    async def _append(self) -> bool:
        """Append what is queued; return whether it was taken.

        Records may be appended twice when an answer is lost: the first one
        counts, whichever that is.
        """
        settlements = tuple(self._settlements)
        batch = LedgerBatch(
            claims=tuple(self._claims.values()),
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
            self._take_page,
            self.ledger.skip_to,
        )
        poll_s = self._timings.log_poll_s
        await follow_stream(reader, self._log, poll_s, self._metrics)

    def _get_next_offset(self) -> int:
        return self.ledger.covers + 1

    async def _take_page(self, page: Page) -> None:
        now = self._clock.monotonic()
        for record in page.records:
            batch = decode_batch(record.body)
            self.ledger.fold(record.offset, batch, now)
            self._confirm(batch.claims if batch else ())
        self.ledger.forget_old(now)
        async with self._folded:
            self._folded.notify_all()

    def _confirm(self, claims: Iterable[Claim]) -> None:
        for claim in claims:
            self._claims.pop(claim.id, None)
