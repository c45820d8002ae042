"""Runs one job: grant, idempotency claim, attempts on runners, result."""

import asyncio
import functools
import random
from collections.abc import Callable
from typing import Protocol

import msgspec
from tornado.httputil import HTTPHeaders

from anvilhall import defaults
from anvilhall.claims import ClaimManager
from anvilhall.clock import Clock
from anvilhall.core.activity import RunnerActivity
from anvilhall.core.broker import Broker
from anvilhall.core.ledger import Claim
from anvilhall.core.messages import Ask, Grant, Progress, Release
from anvilhall.core.retries import RetryBudget, draw_backoff_s, may_retry
from anvilhall.core.shutdown import Shutdown, build_stop_error
from anvilhall.core.statuses import Meaning, find_row
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
    ShuttingDown,
    UpstreamCut,
    UpstreamFailed,
    UpstreamGarbled,
    UpstreamRefused,
    UpstreamRestarted,
    UpstreamStalled,
)
from anvilhall.faults import build_fault_error
from anvilhall.grants import PendingGrant, note_limit
from anvilhall.handover import BUDGET_SPENT, Handover
from anvilhall.jobs import Job
from anvilhall.listeners import Listeners
from anvilhall.logs import log_failed_attempt, log_other_version
from anvilhall.metrics import Metrics
from anvilhall.outbound import Call, Outbound, Reply, Transfer
from anvilhall.successors import Successor
from anvilhall.upstreams import WIRES, Wire, read_limit, read_version

_HTTP_OK = 200
#: Header in which an upstream may name the request that it answers.
_REQUEST_ID = 'X-Request-Id'
#: Seconds between progress reports on one request to the pool's owner.
_PROGRESS_INTERVAL_S = 1.0
#: Gap between chunks, in seconds, from which on progress is reported early;
#: also the least time between early reports.
_LONG_GAP_S = 0.1
#: Lower bound of a measured time to first token, in seconds; 0 in a report
#: means that no token has arrived.
_MIN_FIRST_TOKEN_S = 0.0001
#: Refusals beside a stalled attempt after which no other runner is tried.
_REFUSED_MOVES = 2
#: Seconds until it is checked again whether a stalled request may be sent to
#: another runner.
_WATCHDOG_REPEAT_S = 0.2


class Sink(Protocol):
    """Receives the result of a job."""

    def write_events(self, events: bytes) -> None:
        """Accept one or more whole server-sent events."""

    def write_reply(self, reply: Reply) -> None:
        """Accept the whole response of a plain service."""


class Services:
    """Dependencies shared by all executions of an instance."""

    __slots__ = (
        'activity',
        'broker',
        'claims',
        'clock',
        'listeners',
        'metrics',
        'outbound',
        'retry_budget',
        'rng',
        'shutdown',
    )

    def __init__(
        self,
        broker: Broker,
        claims: ClaimManager,
        outbound: Outbound,
        clock: Clock,
        metrics: Metrics,
        rng: random.Random,
    ) -> None:
        """Store the dependencies; the retry budget starts empty."""
        self.broker = broker
        self.claims = claims
        self.outbound = outbound
        self.clock = clock
        self.metrics = metrics
        self.retry_budget = RetryBudget(defaults.RETRY_BUDGET_SHARE)
        self.rng = rng
        self.shutdown = Shutdown()
        self.activity = RunnerActivity()
        self.listeners = Listeners(broker.verification)


class Execution:
    """Runs one job in one or more attempts."""

    __slots__ = (
        '_arrived_at',
        '_avoided_runners',
        '_claim',
        '_current',
        '_delivered',
        '_delivered_size',
        '_failed_attempts',
        '_job',
        '_listed',
        '_may_have_run',
        '_moved',
        '_refused_moves',
        '_runners',
        '_services',
        '_sink',
        '_version',
        '_wire',
        'suspended',
    )

    def __init__(self, job: Job, sink: Sink, services: Services) -> None:
        """Prepare the execution without requesting a grant."""
        self._job = job
        self._sink = sink
        self._services = services
        self._wire: Wire = WIRES.get(job.pool.wire)
        self._arrived_at = services.clock.monotonic()
        #: Failed attempts; preempted ones do not count.
        self._failed_attempts = 0
        #: Those of them that runners refused beside a stalled attempt.
        self._refused_moves = 0
        #: Whether an attempt may have run the request.
        self._may_have_run = False
        self._avoided_runners: tuple[str, ...] = ()
        #: Runners of all attempts.
        self._runners: set[str] = set()
        #: Attempt that the answer goes on with, if it moves.
        self._moved: Successor | None = None
        self._claim: Claim | None = None
        #: Attempts whose events are forwarded: two while an answer may move.
        self._current: list[_Attempt] = []
        #: Whether the answer is not read on, as the caller is slower.
        self.suspended = False
        #: Events written to the sink, kept to continue the answer on another
        #: runner.
        self._delivered: list[bytes] = []
        self._delivered_size = 0
        #: Software version that these events are from, as their engine states
        #: it; ``None``: no events.
        self._version: str | None = None
        #: Whether the entry of that engine names a version.
        self._listed = False

    async def run(self) -> None:
        """Write the whole answer to the sink.

        :raises AnvilhallError: with the outcome as far as it is known.
        """
        remaining_s = self._job.deadline_at - self._arrived_at
        self._services.retry_budget.note_first_attempt(self._arrived_at)
        try:
            async with asyncio.timeout(remaining_s):
                await self._try_attempts()
        except TimeoutError as error:
            if self._may_have_run:
                raise self._describe_partial(DeadlineExceeded()) from error
            raise DeadlinePassed from error
        finally:
            if self._moved:
                self._moved.cancel()
            self._close_claim()

    async def _try_attempts(self) -> None:
        while True:
            try:
                await self._attempt()
            except AnvilhallError as error:
                if not self._may_retry(error):
                    raise self._describe_partial(error) from error
                self._count_retry(error)
            else:
                return
            if self._moved:
                continue
            backoff_s = draw_backoff_s(
                self._failed_attempts,
                self._services.rng,
            )
            await asyncio.sleep(backoff_s)

    def check_shutdown(self) -> None:
        """Refuse to begin what may not end before this instance does.

        :raises ShuttingDown: if the request must not be sent.
        """
        job = self._job
        self._services.shutdown.check(
            job.class_name,
            job.deadline_at,
            self._services.clock.monotonic(),
            bears_cut=job.retryable,
        )

    def build_stop_error(self) -> AnvilhallError:
        """Return the error of a request that the end of this instance cuts."""
        return build_stop_error(
            begun=bool(self._delivered), may_have_run=self._may_have_run
        )

    def build_fault_error(self, fault: BaseException) -> AnvilhallError:
        """Return the error of a request that a fault of this program ends."""
        return build_fault_error(
            fault, begun=bool(self._delivered), may_have_run=self._may_have_run
        )

    def build_ask(self, avoid: tuple[str, ...] = ()) -> Ask:
        """Return the message that asks for a runner.

        :param avoid: runners to avoid besides those that failed.
        """
        now = self._services.clock.monotonic()
        delivered = (
            decode_answer(self._delivered).tokens if self._delivered else 0
        )
        # Engines whose entries name no version are told apart by their answers
        # alone.
        unlisted = self._version is not None and not self._listed
        return self._job.build_ask(
            now,
            (*self._avoided_runners, *avoid),
            delivered,
            '' if unlisted else self._version,
        )

    def find_obstacle(self) -> str:
        """Return why no other runner may be tried; empty if one may."""
        try:
            self.check_shutdown()
        except ShuttingDown as error:
            return f'{error.code}: {error.reason}'
        if not self._job.retryable:
            return 'the request may not run twice'
        if self._delivered and not self._job.settings.resumable:
            return 'its answer may not be continued'
        open_count = max(len(self._current), 1)
        if self._count_spent() + open_count >= defaults.ATTEMPTS_LIMIT:
            return 'the attempts of the request are spent'
        if self._refused_moves > _REFUSED_MOVES:
            return 'too many runners have refused the request'
        now = self._services.clock.monotonic()
        if not self._services.retry_budget.has_left(now):
            return BUDGET_SPENT
        return ''

    def try_spend_retry(self) -> bool:
        """Take a retry from the budget; return whether one was left."""
        return self._services.retry_budget.try_spend(
            self._services.clock.monotonic(),
        )

    def suspend(self) -> None:
        """Stop reading the answer, as the caller reads more slowly."""
        self.suspended = True
        for attempt in self._current:
            attempt.suspend()

    def resume(self) -> None:
        """Read the answer on."""
        self.suspended = False
        for attempt in self._current:
            attempt.resume()

    def _build_attempt(self, grant: Grant) -> '_Attempt':
        services = self._services
        repeated = grant.runner in self._runners
        self._runners.add(grant.runner)
        attempt = _Attempt(
            self._job,
            grant,
            services,
            repeated=repeated,
            required=self._version,
        )
        if self._wire.streams:
            attempt.handover = Handover(
                attempt,
                self,
                services.broker,
                services.clock,
                services.activity,
                services.metrics,
            )
        return attempt

    def start_successor(
        self, pending: PendingGrant, ask: Ask, grant: Grant
    ) -> Successor:
        """Send the request to another runner beside the stalled attempt.

        :param pending: holds the grant.
        """
        with pending.hold(self._services.broker, ask):
            attempt = self._build_attempt(grant)
        return Successor(
            attempt,
            self._exchange(attempt, pending, ask),
            attempt.close,
            self._services.metrics,
        )

    async def _attempt(self) -> None:
        successor = self._moved
        if successor:
            self._moved = None
            await successor.wait()
            return
        self.check_shutdown()
        pending = PendingGrant()
        ask = self.build_ask()
        broker = self._services.broker
        with pending.hold(broker, ask):
            grant = await pending.wait(broker, ask)
            attempt = self._build_attempt(grant)
        try:
            await self._exchange(attempt, pending, ask)
        finally:
            attempt.close()

    async def _exchange(
        self, attempt: '_Attempt', pending_grant: PendingGrant, ask: Ask
    ) -> None:
        try:
            await self._send(attempt, pending_grant)
        except AnvilhallError as error:
            if error.outcome is not Outcome.NOT_RUN or attempt.disputed:
                self._may_have_run = True
            if pending_grant.paused:
                raise Paused from error
            self._moved = attempt.take_successor()
            self._record_failure(attempt, error)
            log_failed_attempt(
                ask,
                attempt.grant,
                error,
                elapsed_s=attempt.measure_elapsed_s(),
                first_token_s=attempt.first_token_s,
            )
            raise
        except BaseException:
            # A cancellation, or a fault of this program.
            self._may_have_run = self._may_have_run or attempt.transfer.sent
            raise

    async def _send(
        self, attempt: '_Attempt', pending_grant: PendingGrant
    ) -> None:
        self.check_shutdown()
        await self._claim_key()
        pending_grant.abort_on_pause(attempt.transfer)
        await self._transfer(attempt)

    def _record_failure(
        self,
        attempt: '_Attempt',
        error: AnvilhallError,
    ) -> None:
        self._failed_attempts += 1
        if attempt.begin_handler and error.outcome is Outcome.NOT_RUN:
            self._refused_moves += not attempt.disputed
        attempt.failure = _get_runner_failure(error)
        if attempt.failure:
            self._avoided_runners = (
                *self._avoided_runners,
                attempt.grant.runner,
            )

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
            answer = decode_answer(self._delivered) if self._delivered else None
            forward = functools.partial(self._forward, attempt)
            self._current.append(attempt)
            try:
                await attempt.stream(self._wire, answer, forward)
            finally:
                self._current.remove(attempt)
        else:
            reply = await attempt.exchange(self._wire, self.find_obstacle)
            self._sink.write_reply(reply)
        attempt.served = True
        self._may_have_run = True
        self._services.shutdown.note_duration(
            self._job.class_name, attempt.measure_elapsed_s()
        )
        if self._claim:
            self._services.claims.settle(self._claim, ran=True)
            self._claim = None

    def _forward(self, attempt: '_Attempt', events: bytes) -> None:
        if not self._delivered:
            self._observe_first_token()
        self._delivered_size += len(events)
        if self._delivered_size > defaults.GATHER_LIMIT_BYTES:
            raise UpstreamGarbled(
                f'answer of {self._delivered_size} bytes, '
                f'limit {defaults.GATHER_LIMIT_BYTES}',
            )
        self._delivered.append(events)
        self._version = attempt.version
        self._listed = bool(attempt.grant.version)
        self._sink.write_events(events)

    def _observe_first_token(self) -> None:
        waited_s = self._services.clock.monotonic() - self._arrived_at
        self._services.metrics.first_token.labels(
            self._job.class_name,
        ).observe(waited_s)

    def _may_retry(self, error: AnvilhallError) -> bool:
        """Return whether another attempt is allowed.

        A preempted request may always be retried: preemption counts neither
        as a failed attempt nor against the retry budget.
        """
        allowed = may_retry(
            error,
            idempotent=self._job.retryable,
            delivered=bool(self._delivered),
            resumable=self._job.settings.resumable,
        )
        if isinstance(error, Paused) or self._moved:
            return True
        if not allowed or self._count_spent() >= defaults.ATTEMPTS_LIMIT:
            return False
        return self.try_spend_retry()

    def _count_spent(self) -> int:
        """Return the failed attempts that count against their limit."""
        return self._failed_attempts - self._refused_moves

    def _count_retry(self, error: AnvilhallError) -> None:
        self._services.metrics.retries.labels(
            error.code,
            self._job.class_name,
        ).inc()

    def _describe_partial(self, error: AnvilhallError) -> AnvilhallError:
        if not self._delivered:
            return self._describe_undelivered(error)
        return AnswerCut(f'{error.code}: {error.reason}')

    def _describe_undelivered(self, error: AnvilhallError) -> AnvilhallError:
        """Report ``not_run`` only if no attempt may have run the request."""
        if error.outcome is Outcome.NOT_RUN and self._may_have_run:
            return UpstreamFailed(
                'an earlier attempt may have run; '
                f'the last one failed with {error.code}',
            )
        return error


class _Attempt:
    """One attempt of a job: the exchange with the granted runner."""

    __slots__ = (
        '_granted_at',
        '_job',
        '_last_chunk_at',
        '_longest_gap_s',
        '_reader',
        '_repeated',
        '_reported_at',
        '_requests_per_s',
        '_required',
        '_services',
        'begin_handler',
        'disputed',
        'failure',
        'first_token_s',
        'grant',
        'handover',
        'served',
        'transfer',
        'version',
    )

    def __init__(
        self,
        job: Job,
        grant: Grant,
        services: Services,
        *,
        repeated: bool,
        required: str | None,
    ) -> None:
        """Create the attempt without sending the request.

        :param required: software version that must answer, as it has begun the
            answer; ``None``: any will do.
        """
        self.grant = grant
        self._required = required
        #: Whether the request was sent to this runner before.
        self._repeated = repeated
        #: Whether a refusal may be a copy of one to an earlier request.
        self.disputed = False
        self.transfer = Transfer()
        self.served = False
        self.failure = ''
        self.first_token_s = 0.0
        #: Software version that the engine states; empty: none yet.
        self.version = ''
        self._job = job
        self._services = services
        self._granted_at = services.clock.monotonic()
        self._last_chunk_at = self._granted_at
        self._reported_at = self._granted_at
        #: Longest gap between chunks since the last progress report.
        self._longest_gap_s = 0.0
        self._reader = EventReader()
        #: Limit that the answer names; ``None`` before the answer and, as a
        #: stream may end long after its head, once it is reported.
        self._requests_per_s: float | None = None
        #: Moves the answer if it stalls; ``None`` if it is not resumable.
        self.handover: Handover | None = None
        #: Called when the runner has accepted the request, if a stalled attempt
        #: of it is open until then.
        self.begin_handler: Callable[[], None] | None = None

    async def exchange(
        self, wire: Wire, find_obstacle: Callable[[], str]
    ) -> Reply:
        """Return the whole response of a plain service.

        :param find_obstacle: returns why a silent service is waited for; empty
            if the request may be sent elsewhere.
        """
        watchdog = _Watchdog(self, find_obstacle)
        try:
            reply = await self._services.outbound.fetch(
                self._build_call(wire, None), self.transfer
            )
        except (UpstreamCut, UpstreamRefused) as error:
            raise self._detect_stall(error) from error
        finally:
            watchdog.cancel()
        if not reply.framed:
            await self._services.listeners.confirm_end(self.grant)
        self._note_limit(reply.headers)
        self._check_refusal(reply.status, reply.headers)
        self.first_token_s = self.measure_elapsed_s()
        if _is_refusal(reply.status) and self._job.retryable:
            raise UpstreamRefused(
                f'the service answered with HTTP status {reply.status}',
            )
        return reply

    async def stream(
        self,
        wire: Wire,
        answer: Answer | None,
        forward: '_ForwardEvents',
    ) -> None:
        """Forward an engine's events until its answer is complete.

        :param answer: what earlier runners delivered and this one continues.
        """
        errors: list[AnvilhallError] = []

        def on_chunk(chunk: bytes) -> None:  # noqa: WPS430
            if errors or not accepted:
                return
            try:
                self._process_chunk(chunk, forward)
            except AnvilhallError as error:
                errors.append(error)
                self.transfer.abort()

        accepted = False

        def on_head(  # noqa: WPS430
            status: int, headers: HTTPHeaders
        ) -> None:
            nonlocal accepted  # noqa: WPS420
            self._note_limit(headers)
            self._check_refusal(status, headers)
            accepted = status == _HTTP_OK
            problem = self._accept(headers) if accepted else None
            if problem:
                errors.append(problem)
                self.transfer.abort()

        activity = self._services.activity
        activity.begin(self.grant.runner, self._granted_at)
        if self.handover and self.begin_handler is None:
            self.handover.start()
        try:
            reply = await self._services.outbound.stream(
                self._build_call(wire, answer),
                self.transfer,
                on_chunk,
                on_head,
            )
        except (UpstreamCut, UpstreamRefused, UpstreamStalled) as error:
            failure: AnvilhallError | None = self._detect_stall(error)
        else:
            failure = _find_status_error(reply)
        finally:
            activity.end(
                self.grant.runner,
                begun=self.first_token_s > 0,
                suspended=self.transfer.suspended,
            )
        self._check_end(errors, failure, forward)

    def suspend(self) -> None:
        """Stop reading the answer, as the caller reads more slowly."""
        if not self.transfer.suspended:
            self.transfer.suspend()
            self._services.activity.suspend(self.grant.runner)

    def resume(self) -> None:
        """Read the answer on; the time since the suspension is no gap."""
        if self.transfer.suspended:
            self._last_chunk_at = self._services.clock.monotonic()
            self._services.activity.resume(
                self.grant.runner, self._last_chunk_at
            )
            self.transfer.resume()

    def close(self) -> None:
        """Release the grant; cancel a request that may still be running."""
        try:
            self._close_handover()
        finally:
            self._release()

    def _close_handover(self) -> None:
        if self.handover:
            if self.handover.stalled and not self.served:
                self.failure = self.failure or UpstreamStalled.code
            self.handover.close()

    def _release(self) -> None:
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
                tokens=self._reader.event_count,
                requests_per_s=self._requests_per_s,
            ),
        )

    def _build_call(self, wire: Wire, answer: Answer | None) -> Call:
        call = wire.build_call(self._job, self.grant, answer)
        if self._repeated:
            # A faulty runner may repeat its earlier answer to this request.
            return msgspec.structs.replace(call, fresh=True)
        return call

    def _check_refusal(self, status: int, headers: HTTPHeaders) -> None:
        """Note whether a refusal may be a copy of an earlier one.

        On a reused connection, it may unless it names this request. Other names
        are no error, because upstreams may choose their own.
        """
        if _is_refusal(status):
            named = headers.get(_REQUEST_ID) == self._job.request_id
            self.disputed = not (named or self.transfer.connected)

    def _accept(self, headers: HTTPHeaders) -> AnvilhallError | None:
        """Begin with an answer unless another version has to continue it.

        The runner may have started again since its entry was read, so that only
        the answer tells the version of the process that sends it.

        :return: the failure of an answer that must not be forwarded.
        """
        self.version = read_version(headers)
        if self._required is not None and self.version != self._required:
            return UpstreamRestarted(
                f'the engine states version {self.version!r}, the answer that '
                f'it is to continue is from {self._required!r}',
            )
        log_other_version(self.grant, self.version)
        if self.begin_handler:
            self.begin_handler()
        return None

    def _note_limit(self, headers: HTTPHeaders) -> None:
        services = self._services
        self._requests_per_s = read_limit(headers)
        note_limit(
            services.broker,
            services.metrics,
            self.grant,
            self._requests_per_s,
        )

    def _process_chunk(self, chunk: bytes, forward: '_ForwardEvents') -> None:
        now = self._services.clock.monotonic()
        gap_s = now - self._last_chunk_at
        self._last_chunk_at = now
        self._services.activity.note(self.grant.runner, now)
        events = self._reader.feed(chunk)
        if events:
            forward(events)
        if self.first_token_s:
            self._longest_gap_s = max(self._longest_gap_s, gap_s)
        elif events:
            self.first_token_s = max(
                now - self._granted_at,
                _MIN_FIRST_TOKEN_S,
            )
            self._services.activity.note_begun(self.grant.runner)
            self._report(now)
        if self.handover:
            self.handover.note_progress()
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
                tokens=self._reader.event_count,
                gap_s=self._longest_gap_s,
                requests_per_s=self._requests_per_s,
            ),
        )
        self._requests_per_s = None
        self._longest_gap_s = 0.0

    def _check_end(
        self,
        errors: list[AnvilhallError],
        failure: AnvilhallError | None,
        forward: '_ForwardEvents',
    ) -> None:
        if errors:
            raise errors[0]
        if self._reader.done:
            return
        if self._reader.is_finished():
            # The answer is complete; only the [DONE] event is missing.
            forward(DONE_EVENT)
            return
        raise failure or UpstreamCut(
            f'the stream ended after {self._reader.event_count} events, '
            'without a finish reason',
        )

    def measure_elapsed_s(self) -> float:
        """Return the seconds since the grant."""
        return self._services.clock.monotonic() - self._granted_at

    @property
    def stall_timeout_s(self) -> float:
        """Seconds without data after which the runner counts as stalled."""
        pool = self._job.pool
        if self.first_token_s:
            return pool.gap_timeout_s
        return pool.first_byte_timeout_s

    def compute_time_left_s(self) -> float:
        """Return the seconds left until the runner counts as stalled."""
        if self.transfer.suspended:
            return self.stall_timeout_s
        began = self._last_chunk_at if self.first_token_s else self._granted_at
        limit = began + self.stall_timeout_s
        return limit - self._services.clock.monotonic()

    def take_successor(self) -> Successor | None:
        """Return the attempt that the answer goes on with, if any."""
        return self.handover.take() if self.handover else None

    def report_stall(self) -> None:
        """Tell the owner of the runner that the attempt has stalled."""
        self._services.broker.note_progress(
            Progress(
                pool=self.grant.pool,
                request_id=self.grant.request_id,
                first_token_s=0.0,
                tokens=self._reader.event_count,
                gap_s=0.0,
                stalled=True,
            ),
        )

    def abort_stalled(self) -> None:
        """End the attempt with an error, as another runner has begun."""
        self.transfer.abort()

    def _detect_stall(self, error: AnvilhallError) -> AnvilhallError:
        """Replace the error of a transfer that was aborted as it stalled."""
        aborted = self.transfer.sent and self.transfer.aborted
        if aborted and self.compute_time_left_s() <= 0:
            return UpstreamStalled(
                'no data within the time limit (first byte: '
                f'{self._job.pool.first_byte_timeout_s} s, '
                f'gap: {self._job.pool.gap_timeout_s} s)',
            )
        return error

    def _cancel_upstream(self) -> None:
        wire = WIRES.get(self._job.pool.wire)
        call = wire.build_cancel(self._job, self.grant)
        if call:
            cancel = asyncio.ensure_future(self._services.outbound.fetch(call))
            cancel.add_done_callback(_ignore_failure)


class _ForwardEvents(Protocol):
    def __call__(self, events: bytes) -> None:
        """Accept one or more whole server-sent events."""


class _Watchdog:
    """Aborts an attempt that has stalled, if the request may be sent elsewhere.

    Otherwise its runner, which may go on, has time until the deadline.
    """

    __slots__ = ('_attempt', '_find_obstacle', '_timer')

    def __init__(
        self, attempt: _Attempt, find_obstacle: Callable[[], str]
    ) -> None:
        self._attempt = attempt
        self._find_obstacle = find_obstacle
        self._timer: asyncio.TimerHandle
        self._arm(attempt.stall_timeout_s)

    def cancel(self) -> None:
        self._timer.cancel()

    def _arm(self, delay_s: float) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(delay_s, self._check)

    def _check(self) -> None:
        left_s = self._attempt.compute_time_left_s()
        if left_s > 0:
            self._arm(left_s)
        elif self._find_obstacle():
            self._arm(_WATCHDOG_REPEAT_S)
        else:
            self._attempt.transfer.abort()


def _is_refusal(status: int) -> bool:
    """Return whether an upstream states that it did not start a request."""
    return find_row(status).usual is Meaning.NOT_RUN


def _find_status_error(reply: Reply) -> AnvilhallError | None:
    if _is_refusal(reply.status):
        return UpstreamRefused(
            f'the engine answered with HTTP status {reply.status}',
        )
    if reply.status != _HTTP_OK:
        return UpstreamGarbled(
            f'the engine answered with HTTP status {reply.status}, not 200',
        )
    return None


def _get_runner_failure(error: AnvilhallError) -> str:
    """Return the failure to report on the runner; empty if not its fault."""
    if isinstance(error, UpstreamFailed | UpstreamRefused):
        return error.code
    return ''


def _ignore_failure(cancel: 'asyncio.Future[Reply]') -> None:
    # A retrieved exception is not logged by asyncio.
    if not cancel.cancelled():
        cancel.exception()
