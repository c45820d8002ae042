"""Runs one job: grant, claim, attempts on runners, and the way back."""

import asyncio
import random
from typing import Protocol

from tornado.httputil import HTTPHeaders

from anvilhall import defaults
from anvilhall.claims import ClaimManager
from anvilhall.clock import Clock
from anvilhall.core.broker import Broker
from anvilhall.core.ledger import Claim
from anvilhall.core.messages import Grant, Progress, Release
from anvilhall.core.retries import RetryBudget, draw_backoff_s, may_repeat
from anvilhall.events import (
    DONE_EVENT,
    Answer,
    EventReader,
    decode_answer,
)
from anvilhall.exceptions import (
    AnswerCut,
    AnvilhallError,
    DeadlineExceeded,
    DeadlinePassed,
    Outcome,
    Paused,
    UpstreamCut,
    UpstreamFailed,
    UpstreamGarbled,
    UpstreamRefused,
    UpstreamStalled,
)
from anvilhall.grants import GrantTicket
from anvilhall.jobs import Job
from anvilhall.metrics import Metrics
from anvilhall.outbound import Outbound, Reply, Transfer
from anvilhall.upstreams import WIRES, Wire

#: Statuses with which an upstream says that it has not taken the work.
_REFUSAL_STATUSES = frozenset((429, 503))
_HTTP_OK = 200
#: Seconds between reports of one request's progress to its owner.
_PROGRESS_INTERVAL_S = 1.0
#: Gap between tokens that is reported at once, in seconds.
_LONG_GAP_S = 0.1
#: Shortest time that is told apart from none, in seconds.
_CLOCK_TICK_S = 0.0001


class Sink(Protocol):
    """Where the answer of a job goes."""

    def write_events(self, run: bytes) -> None:
        """Take a run of whole events."""

    def write_reply(self, reply: Reply) -> None:
        """Take the whole response of a plain service."""


class Services:
    """What every execution needs."""

    __slots__ = (
        'broker',
        'retry_budget',
        'chance',
        'claims',
        'clock',
        'metrics',
        'outbound',
    )

    def __init__(
        self,
        broker: Broker,
        claims: ClaimManager,
        outbound: Outbound,
        clock: Clock,
        metrics: Metrics,
        chance: random.Random,
    ) -> None:
        """Bundle them."""
        self.broker = broker
        self.claims = claims
        self.outbound = outbound
        self.clock = clock
        self.metrics = metrics
        self.retry_budget = RetryBudget(defaults.RETRY_BUDGET_SHARE)
        self.chance = chance


class Execution:
    """One job on its way through one or more attempts."""

    __slots__ = (
        '_arrived_at',
        '_attempts',
        '_avoid',
        '_claim',
        '_job',
        '_may_have_run',
        '_runs',
        '_services',
        '_sink',
        '_wire',
    )

    def __init__(self, job: Job, sink: Sink, services: Services) -> None:
        """Prepare; nothing is asked or sent yet."""
        self._job = job
        self._sink = sink
        self._services = services
        self._wire: Wire = WIRES.get(job.pool.wire)
        self._arrived_at = services.clock.monotonic()
        #: Failed attempts so far.
        self._attempts = 0
        #: Whether an attempt that failed may have run the request.
        self._may_have_run = False
        self._avoid: tuple[str, ...] = ()
        self._claim: Claim | None = None
        #: Runs of events passed on, kept for as long as they may be needed
        #: to continue the answer elsewhere.
        self._runs: list[bytes] = []

    async def run(self) -> None:
        """Bring the whole answer to the sink.

        :raises AnvilhallError: saying what is known of the request's run.
        """
        remaining_s = self._job.deadline_at - self._arrived_at
        self._services.budget.note_first(self._arrived_at)
        try:
            async with asyncio.timeout(remaining_s):
                await self._try_attempts()
        except TimeoutError as error:
            if self._may_have_run:
                raise self._describe_partial(DeadlineExceeded()) from error
            raise DeadlinePassed from error
        finally:
            self._close_claim()

    async def _try_attempts(self) -> None:
        while True:
            try:
                await self._attempt()
            except AnvilhallError as error:
                if not self._may_go_on(error):
                    raise self._describe_partial(error) from error
                self._count_retry(error)
            else:
                return
            pause_s = draw_backoff_s(self._attempts, self._services.chance)
            await asyncio.sleep(pause_s)

    async def _attempt(self) -> None:
        ticket = GrantTicket()
        grant = await self._acquire(ticket)
        attempt = _Attempt(self._job, grant, self._services)
        try:
            await self._claim_key()
            ticket.bind(attempt.transfer)
            await self._transfer(attempt)
        except asyncio.CancelledError:
            self._may_have_run = self._may_have_run or attempt.transfer.sent
            raise
        except AnvilhallError as error:
            if error.outcome is not Outcome.NOT_RUN:
                self._may_have_run = True
            if ticket.paused:
                raise Paused from error
            self._note_failure(attempt, error)
            raise
        finally:
            attempt.close()

    def _note_failure(self, attempt: '_Attempt', error: AnvilhallError) -> None:
        self._attempts += 1
        attempt.failure = _blame_runner(error)
        if attempt.failure:
            self._avoid = (*self._avoid, attempt.grant.runner)

    async def _acquire(self, ticket: GrantTicket) -> Grant:
        broker = self._services.broker
        now = self._services.clock.monotonic()
        delivered = decode_answer(self._runs).tokens if self._runs else 0
        ask = self._job.describe(now, self._avoid, delivered)
        return await ticket.wait(broker, ask)

    async def _claim_key(self) -> None:
        needed = self._job.key and not self._job.settings.idempotent
        if needed and self._claim is None:
            self._claim = await self._services.claims.claim(self._job)

    def _close_claim(self) -> None:
        claim = self._claim
        if claim is None:
            return
        if not self._may_have_run:
            self._services.claims.settle(claim, ran=False)
        else:
            self._services.claims.abandon(claim)

    async def _transfer(self, attempt: '_Attempt') -> None:
        if self._wire.streams:
            answer = decode_answer(self._runs) if self._runs else None
            await attempt.stream(self._wire, answer, self._pass_on)
        else:
            reply = await attempt.exchange(self._wire)
            self._sink.write_reply(reply)
        attempt.served = True
        if self._claim:
            self._services.claims.settle(self._claim, ran=True)
            self._claim = None

    def _pass_on(self, run: bytes) -> None:
        if not self._runs:
            self._note_first_token()
        self._runs.append(run)
        self._sink.write_events(run)

    def _note_first_token(self) -> None:
        waited_s = self._services.clock.monotonic() - self._arrived_at
        self._services.metrics.first_token.labels(
            self._job.class_name,
        ).observe(waited_s)

    def _may_go_on(self, error: AnvilhallError) -> bool:
        allowed = may_repeat(
            error,
            idempotent=self._job.retryable,
            delivered=bool(self._runs),
            resumable=self._job.settings.resumable,
        )
        if isinstance(error, Paused):
            return True
        if not allowed or self._attempts >= defaults.ATTEMPTS_LIMIT:
            return False
        return self._services.budget.try_spend(self._services.clock.monotonic())

    def _count_retry(self, error: AnvilhallError) -> None:
        self._services.metrics.retries.labels(
            error.code,
            self._job.class_name,
        ).inc()

    def _describe_partial(self, error: AnvilhallError) -> AnvilhallError:
        if not self._runs:
            return self._describe_unseen(error)
        return AnswerCut(f'{error.code}: {error.reason}')

    def _describe_unseen(self, error: AnvilhallError) -> AnvilhallError:
        """Keep "not run" for requests of which no attempt may have run."""
        if error.outcome is Outcome.NOT_RUN and self._may_have_run:
            return UpstreamFailed(
                f'an earlier attempt may have run; then {error.code}',
            )
        return error


class _Attempt:
    """One grant's use: the exchange with one runner."""

    __slots__ = (
        '_events',
        '_gap_s',
        '_granted_at',
        '_heard_at',
        '_job',
        '_reported_at',
        '_services',
        'failure',
        'first_token_s',
        'grant',
        'served',
        'transfer',
    )

    def __init__(self, job: Job, grant: Grant, services: Services) -> None:
        self.grant = grant
        self.transfer = Transfer()
        self.served = False
        self.failure = ''
        self.first_token_s = 0.0
        self._job = job
        self._services = services
        self._granted_at = services.clock.monotonic()
        self._heard_at = self._granted_at
        self._reported_at = self._granted_at
        self._gap_s = 0.0
        self._events = EventReader()

    async def exchange(self, wire: Wire) -> Reply:
        """Return the whole response of a plain service."""
        call = wire.build_call(self._job, self.grant, None)
        timer = self._watch()
        try:
            reply = await self._services.outbound.fetch(call, self.transfer)
        except (UpstreamCut, UpstreamRefused) as error:
            raise self._name_stall(error) from error
        finally:
            timer.cancel()
        self.first_token_s = self._measure()
        if reply.status in _REFUSAL_STATUSES and self._job.retryable:
            raise UpstreamRefused(f'the service answered {reply.status}')
        return reply

    async def stream(
        self,
        wire: Wire,
        answer: Answer | None,
        pass_on: '_PassOn',
    ) -> None:
        """Pass the events of an engine on until its answer is whole."""
        call = wire.build_call(self._job, self.grant, answer)
        problems: list[AnvilhallError] = []

        def take(chunk: bytes) -> None:  # noqa: WPS430
            if problems or not accepted:
                return
            try:
                self._take_chunk(chunk, pass_on)
            except AnvilhallError as error:
                problems.append(error)
                self.transfer.abort()

        accepted = False

        def take_head(status: int, _: HTTPHeaders) -> None:  # noqa: WPS430
            nonlocal accepted  # noqa: WPS420
            accepted = status == _HTTP_OK

        timer = self._watch()
        try:
            reply = await self._services.outbound.stream(
                call,
                self.transfer,
                take,
                take_head,
            )
        except (UpstreamCut, UpstreamRefused, UpstreamStalled) as error:
            failure: AnvilhallError | None = self._name_stall(error)
        else:
            failure = _judge_reply(reply)
        finally:
            timer.cancel()
        self._judge_end(problems, failure, pass_on)

    def close(self) -> None:
        """Give the grant back; cancel what may still run."""
        if not self.served:
            self.transfer.abort()
            if self.transfer.sent:
                self._cancel_upstream()
        self._services.broker.release(
            Release(
                pool=self.grant.pool,
                request_id=self.grant.request_id,
                served=self.served,
                failure=self.failure,
                first_token_s=self.first_token_s,
                tokens=self._events.events,
            ),
        )

    def _take_chunk(self, chunk: bytes, pass_on: '_PassOn') -> None:
        now = self._services.clock.monotonic()
        gap_s = now - self._heard_at
        self._heard_at = now
        run = self._events.feed(chunk)
        if run:
            pass_on(run)
        if self.first_token_s:
            self._gap_s = max(self._gap_s, gap_s)
        elif run:
            self.first_token_s = max(now - self._granted_at, _CLOCK_TICK_S)
            self._report(now)
        interval_s = _PROGRESS_INTERVAL_S
        if gap_s >= _LONG_GAP_S:
            interval_s = _LONG_GAP_S
        if now - self._reported_at >= interval_s:
            self._report(now)

    def _report(self, now: float) -> None:
        self._reported_at = now
        self._services.broker.note_progress(
            Progress(
                pool=self.grant.pool,
                request_id=self.grant.request_id,
                first_token_s=self.first_token_s,
                tokens=self._events.events,
                gap_s=self._gap_s,
            ),
        )
        self._gap_s = 0.0

    def _judge_end(
        self,
        problems: list[AnvilhallError],
        failure: AnvilhallError | None,
        pass_on: '_PassOn',
    ) -> None:
        if problems:
            raise problems[0]
        if self._events.done:
            return
        if self._events.is_finished():
            # All the text has come; only the event that ends it is missing.
            pass_on(DONE_EVENT)
            return
        raise failure or UpstreamCut('the stream ended before the answer did')

    def _watch(self) -> '_Watchdog':
        return _Watchdog(self, self._job)

    def _measure(self) -> float:
        return self._services.clock.monotonic() - self._granted_at

    def measure_patience_s(self) -> float:
        """Return the seconds within which the runner must send something."""
        pool = self._job.pool
        limit = self._granted_at + pool.first_byte_timeout_s
        if self.first_token_s:
            limit = self._heard_at + pool.gap_timeout_s
        return limit - self._services.clock.monotonic()

    def _name_stall(self, error: AnvilhallError) -> AnvilhallError:
        if self.transfer.sent and self.measure_patience_s() <= 0:
            return UpstreamStalled('no progress within the time limit')
        return error

    def _cancel_upstream(self) -> None:
        wire = WIRES.get(self._job.pool.wire)
        call = wire.build_cancel(self._job, self.grant)
        if call:
            order = asyncio.ensure_future(self._services.outbound.fetch(call))
            order.add_done_callback(_ignore_failure)


class _PassOn(Protocol):
    def __call__(self, run: bytes) -> None:
        """Take a run of whole events."""


class _Watchdog:
    """Aborts an attempt whose runner makes no progress in time."""

    __slots__ = ('_attempt', '_timer')

    def __init__(self, attempt: _Attempt, job: Job) -> None:
        self._attempt = attempt
        self._timer: asyncio.TimerHandle
        self._arm(min(job.pool.first_byte_timeout_s, job.pool.gap_timeout_s))

    def cancel(self) -> None:
        self._timer.cancel()

    def _arm(self, delay_s: float) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(delay_s, self._check)

    def _check(self) -> None:
        left_s = self._attempt.measure_patience_s()
        if left_s > 0:
            self._arm(left_s)
        else:
            self._attempt.transfer.abort()


def _judge_reply(reply: Reply) -> AnvilhallError | None:
    if reply.status in _REFUSAL_STATUSES:
        return UpstreamRefused(f'the engine answered {reply.status}')
    if reply.status != _HTTP_OK:
        return UpstreamGarbled(f'the engine answered {reply.status}')
    return None


def _blame_runner(error: AnvilhallError) -> str:
    if isinstance(error, UpstreamFailed | UpstreamRefused):
        return error.code
    return ''


def _ignore_failure(order: 'asyncio.Future[Reply]') -> None:
    if not order.cancelled():
        order.exception()
