"""Runs a relayed request: its attempts, retries and resumed streams."""

import asyncio
import functools
import math
from typing import Protocol

from tornado.httputil import HTTPHeaders

from anvilhall.attempts import RelayAttempt
from anvilhall.core.hedging import Denial
from anvilhall.core.messages import Ask, Grant
from anvilhall.core.retries import may_retry_relayed
from anvilhall.core.shutdown import build_stop_error
from anvilhall.core.streams import Beginning
from anvilhall.events import EventFramer
from anvilhall.exceptions import (
    AnswerCut,
    AnvilhallError,
    DeadlineExceeded,
    DeadlinePassed,
    Outcome,
    RequestRefused,
    ShuttingDown,
    UpstreamFailed,
    UpstreamOutpaced,
    UpstreamRefused,
)
from anvilhall.faults import build_fault_error
from anvilhall.grants import PendingGrant
from anvilhall.handover import BUDGET_SPENT, Handover
from anvilhall.hedges import Hedge
from anvilhall.logs import log_failed_attempt
from anvilhall.relayjobs import RelayJob, RelayServices
from anvilhall.successors import Successor

#: Seconds after which a request that has no grant counts as queued. Deployments
#: allow owners as long for their first answer.
_QUEUED_S = 0.06
#: Time left until the deadline, in seconds, below which no retry is made.
_SEND_MARGIN_S = 0.005
#: Attempts beyond those of the route that runners may refuse.
_REFUSED_ATTEMPTS = 2


class RelaySink(Protocol):
    """Receives the response of a relayed request."""

    def send_head(self, status: int, headers: HTTPHeaders) -> None:
        """Start the response with its status and headers."""

    def write(self, chunk: bytes) -> None:
        """Send a chunk of the body."""


class Relay:
    """One relayed request, which may take several attempts."""

    __slots__ = (
        '_attempts',
        '_avoid',
        '_counted',
        '_delivered',
        '_event_framer',
        '_first_grant',
        '_first_sent_at',
        '_hedging',
        '_job',
        '_may_have_run',
        '_moved',
        '_origin_version',
        '_runs',
        '_services',
        '_sink',
        '_stream',
        '_was_suspended',
        'content_type',
        'first_event_s',
        'longest_gap_s',
        'response_started',
        'runners',
        'sends',
        'suspended',
        'versions',
        'waiting',
        'waits_s',
    )

    def __init__(
        self,
        job: RelayJob,
        sink: RelaySink,
        services: RelayServices,
    ) -> None:
        """Create the relay; :meth:`run` asks for a runner."""
        self._job = job
        self._sink = sink
        self._services = services
        #: Attempts that are under way: several while a stream may move.
        self._attempts: list[RelayAttempt] = []
        #: Whether the response is not read on, as the caller is slower.
        self.suspended = False
        self._avoid: tuple[str, ...] = ()
        #: Grant of the attempt that sent the first event, and what is known of
        #: that event; ``None``: there is none.
        self._first_grant: Grant | None = None
        self._stream: Beginning | None = None
        #: Whether the response was not read for some time.
        self._was_suspended = False
        #: Whether the request was counted as one that a runner has run.
        self._counted = False
        #: Whether a runner may have run the request in a previous attempt.
        self._may_have_run = False
        #: Attempt that the stream goes on with, if it moves.
        self._moved: Successor | None = None
        #: Attempts that may have run the request.
        self._runs = 0
        self._event_framer = EventFramer()
        #: Software version of the stream that the request resumes; ``None``:
        #: the request begins anew.
        self._origin_version: str | None = None
        #: Decides when a copy is sent; ``None``: never.
        self._hedging = services.hedging if job.hedgeable else None
        #: Monotonic time at which the attempt began that a copy may follow.
        self._first_sent_at: float | None = None
        #: Whether a part of the response's body has been sent to the caller.
        self._delivered = False
        #: Whether a part of the response has been sent to the caller.
        self.response_started = False
        #: Content type of the response; empty before it has started.
        self.content_type = ''
        #: Seconds from the arrival of the request to the first chunk of its
        #: response; 0 before that.
        self.first_event_s = 0.0
        self.longest_gap_s = 0.0
        #: Runners of all attempts, in order.
        self.runners: list[str] = []
        #: Their software versions; empty: unknown.
        self.versions: list[str] = []
        #: For each attempt, the seconds until a grant or a refusal.
        self.waits_s: list[float] = []
        #: Attempts in which the request may have been sent.
        self.sends = 0
        #: Whether the request waits for a runner.
        self.waiting = False

    async def run(self) -> None:
        """Send the whole response to the sink.

        :raises AnvilhallError: whose ``outcome`` says whether the request may
            have run.
        """
        services = self._services
        now = services.clock.monotonic()
        services.budgets.note_first_attempt(self._job.pool_name, now)
        try:
            async with asyncio.timeout(self._job.deadline_at - now):
                await self._find_origin()
                await self._run_attempts()
        except TimeoutError as error:
            if self.response_started:
                raise AnswerCut(
                    'the deadline passed before the response was complete'
                ) from error
            if self._may_have_run:
                raise DeadlineExceeded from error
            raise DeadlinePassed from error
        finally:
            if self._moved:
                self._moved.cancel()

    async def _find_origin(self) -> None:
        """Bind a request that resumes a stream to where the stream began.

        :raises VersionUnknown: if that can't be told.
        """
        job = self._job
        if job.resumes:
            job.origin = await self._services.origins.find(
                job.account, job.head.resumes, job.route, job.pool_name
            )
            job.pool_name = job.origin.pool
            job.pool = job.origin.settings
            self._origin_version = job.origin.version

    async def _run_attempts(self) -> None:
        while True:
            try:
                await self._run_attempt()
            except AnvilhallError as error:
                if not self._should_retry(error):
                    raise self._convert_error(error) from error
                _count_retry(self._services, error, self._job.route.name)
            else:
                return

    def suspend(self) -> None:
        """Stop reading the response, as the caller reads more slowly."""
        self.suspended = True
        self._was_suspended = True
        for attempt in self._attempts:
            attempt.suspend()

    def resume(self) -> None:
        """Read the response on."""
        self.suspended = False
        for attempt in self._attempts:
            attempt.resume()

    def check_shutdown(self) -> None:
        """Refuse to begin what may not end before this instance does.

        :raises ShuttingDown: if the request must not be sent.
        """
        job = self._job
        self._services.shutdown.check(
            job.route.name,
            job.deadline_at,
            self._services.clock.monotonic(),
            bears_cut=job.bears_cut,
        )

    def build_stop_error(self) -> AnvilhallError:
        """Return the error of a request that the end of this instance cuts."""
        return build_stop_error(
            begun=self.response_started, may_have_run=self._may_have_run
        )

    def build_fault_error(self, fault: BaseException) -> AnvilhallError:
        """Return the error of a request that a fault of this program ends."""
        return build_fault_error(
            fault,
            begun=self.response_started,
            may_have_run=self._may_have_run,
        )

    def build_ask(self, avoid: tuple[str, ...] = ()) -> Ask:
        """Return the message that asks for a runner.

        :param avoid: runners to avoid besides those that failed.
        """
        now = self._services.clock.monotonic()
        version = self._origin_version
        if self._stream and version is None:
            version = self._stream.origin.version
        return self._job.build_ask(now, (*self._avoid, *avoid), version)

    def find_obstacle(self) -> str:
        """Return why the stream may not be moved; empty if it may."""
        try:
            self.check_shutdown()
        except ShuttingDown as error:
            return f'{error.code}: {error.reason}'
        if self._delivered and not self._event_framer.last_id:
            return 'its events have no identifiers'
        if self._stream and not self._services.origins.is_settled(self._stream):
            return 'the version that began it is not confirmed yet'
        if self._runs + len(self._attempts) >= self._job.route.attempts:
            return 'the attempts of the route are spent'
        if self._is_refused_too_often():
            return 'too many runners have refused the request'
        now = self._services.clock.monotonic()
        if not self._services.budgets.has_left(self._job.pool_name, now):
            return BUDGET_SPENT
        return ''

    def find_hedge_denial(self) -> Denial | None:
        """Return why the request itself may not be sent again, if so."""
        if self.response_started:
            return Denial.BEGUN
        try:
            self.check_shutdown()
        except ShuttingDown:
            return Denial.STOP
        spent = self._runs + len(self._attempts)
        refused = self._is_refused_too_often()
        if refused or spent >= self._job.route.attempts:
            return Denial.ATTEMPTS
        return None

    def try_spend_retry(self) -> bool:
        """Take a retry from the budget; return whether one was left."""
        now = self._services.clock.monotonic()
        return self._services.budgets.try_spend(self._job.pool_name, now)

    def start_successor(
        self, pending: PendingGrant, ask: Ask, grant: Grant
    ) -> Successor:
        """Send the request to another runner beside the stalled attempt.

        :param pending: holds the grant.
        """
        with pending.hold(self._services.broker, ask):
            attempt = self._build_attempt(grant, ask)
        self.waits_s.append(0.0)
        return Successor(
            attempt,
            self._exchange(attempt, ask),
            functools.partial(self._end_attempt, attempt),
            self._services.metrics,
        )

    def start_copy(
        self, pending: PendingGrant, ask: Ask, grant: Grant
    ) -> Successor:
        """Send a copy of the request beside an attempt that is late.

        :param pending: holds the grant.
        """
        successor = self.start_successor(pending, ask, grant)
        self._attempts[-1].begins_with_body = True
        return successor

    async def _wait_for_grant(self, pending: PendingGrant, ask: Ask) -> Grant:
        services = self._services
        began = services.clock.monotonic()
        self.waiting = True
        try:
            return await pending.wait(services.broker, ask)
        finally:
            self.waiting = False
            waited_s = services.clock.monotonic() - began
            self.waits_s.append(round(waited_s, 3))
            _note_wait(services, ask.pool, waited_s, granted=pending.granted)

    def _build_attempt(self, grant: Grant, ask: Ask) -> RelayAttempt:
        services = self._services
        repeated = grant.runner in self.runners
        self.runners.append(grant.runner)
        self.versions.append(grant.version)
        attempt = RelayAttempt(
            self,
            self._job,
            grant,
            services,
            repeated=repeated,
            version=ask.version,
        )
        if self._job.resumable or self._hedging:
            attempt.handover = Handover(
                attempt,
                self,
                services.broker,
                services.clock,
                services.activity,
                services.metrics,
            )
        self._attempts.append(attempt)
        return attempt

    def _start_hedge(self, attempt: RelayAttempt) -> None:
        """Have a copy of the request sent if its first answer is late."""
        hedging = self._hedging
        if not hedging or not attempt.handover or self.response_started:
            return
        now = self._services.clock.monotonic()
        name = self._job.route.name
        if self._first_sent_at is None:
            hedging.note_send(name)
        self._first_sent_at = now
        delay_s = hedging.compute_delay_s(name, now)
        if delay_s < math.inf:
            hedge = Hedge(hedging, self, self._job, self._services, attempt)
            attempt.handover.hedge = hedge
            hedge.start(delay_s)

    async def _run_attempt(self) -> None:
        successor = self._moved
        if successor:
            self._moved = None
            await successor.wait()
            return
        self.check_shutdown()
        if self._stream:
            await self._services.origins.settle(self._stream)
        ask = self.build_ask()
        pending = PendingGrant()
        with pending.hold(self._services.broker, ask):
            grant = await self._wait_for_grant(pending, ask)
            attempt = self._build_attempt(grant, ask)
        try:
            self._start_hedge(attempt)
            await self._exchange(attempt, ask)
        finally:
            self._end_attempt(attempt)

    async def _exchange(self, attempt: RelayAttempt, ask: Ask) -> None:
        try:
            self.check_shutdown()
            await attempt.run(self._event_framer.last_id)
        except AnvilhallError as error:
            if error.outcome is not Outcome.NOT_RUN:
                self._may_have_run = True
            self._avoid = (*self._avoid, attempt.grant.runner)
            outpaced = isinstance(error, UpstreamOutpaced)
            if not outpaced:
                self._services.origins.note_failure(attempt.grant.runner)
            if attempt.handover:
                self._moved = attempt.handover.take()
            if outpaced:
                raise
            log_failed_attempt(
                ask,
                attempt.grant,
                error,
                elapsed_s=attempt.measure_elapsed_s(),
                first_token_s=attempt.first_token_s,
            )
            raise
        self._services.shutdown.note_duration(
            self._job.route.name, attempt.measure_elapsed_s()
        )

    def _end_attempt(self, attempt: RelayAttempt) -> None:
        self.sends += attempt.transfer.sent
        if attempt.transfer.sent and not attempt.not_run:
            self._runs += 1
            self._may_have_run = True
        self._attempts.remove(attempt)
        attempt.close()

    def handle_head(self, status: int, headers: HTTPHeaders) -> None:
        """Send the head of the response, unless an attempt has already."""
        if self.response_started:
            return
        self.response_started = True
        self.content_type = headers.get('Content-Type', '')
        passed = self._services.dialect.filter_response_headers(headers)
        if self._job.route.streaming:
            # The stream may be resumed on another runner, which changes its
            # total length.
            passed.pop('Content-Length', None)
        self._sink.send_head(status, passed)

    def handle_chunk(self, chunk: bytes) -> bool:
        """Send a chunk of the body; of resumable streams, whole events only.

        :return: whether anything was sent.
        """
        if not self.first_event_s:
            now = self._services.clock.monotonic()
            self.first_event_s = now - self._job.arrived_at
            if self._hedging and self._first_sent_at is not None:
                waited_s = now - self._first_sent_at
                self._hedging.note_answer(self._job.route.name, waited_s, now)
        if self._job.resumable:
            chunk = self._event_framer.feed(chunk)
        if chunk:
            self._delivered = True
            self._sink.write(chunk)
        return bool(chunk)

    def note_delivery(self, grant: Grant) -> None:
        """Bind further attempts to the version of the grant's runner.

        The runner may have restarted since the grant; this is known later.
        """
        job = self._job
        if not job.route.keeps_version:
            return
        refined = self._services.broker.verification.refine(grant)
        origins = self._services.origins
        live = not self._was_suspended
        if self._stream is None:
            self._first_grant = grant
        elif (
            grant is not self._first_grant
            or not live
            or not origins.is_restarted(self._stream)
        ):
            return
        self._stream = origins.note_begun(
            job.account,
            job.stream_id,
            # A later start may have begun before or after this event.
            refined if refined.born == grant.born else grant,
            # Attempts that must have a version forward nothing else.
            confirmed=bool(self._origin_version),
            live=live,
        )

    def note_run(self) -> None:
        """Count the request once, whatever number of runners run it."""
        if self._counted or not self._job.account:
            return
        self._counted = True
        self._services.count_run(self._job.account)

    def note_gap(self, gap_s: float) -> None:
        """Update the longest gap between two chunks of the response."""
        self.longest_gap_s = max(self.longest_gap_s, gap_s)

    def drop_partial(self) -> None:
        """Discard an incomplete event that the runner will not complete."""
        self._event_framer.drop_partial()

    def _should_retry(self, error: AnvilhallError) -> bool:
        if self._moved:
            return True
        job = self._job
        if not may_retry_relayed(
            error,
            retryable=job.route.retryable,
            resumable=job.resumable,
            begun=self.response_started,
        ):
            return False
        if self._delivered and not self._event_framer.last_id:
            # A stream without event identifiers can't be resumed.
            return False
        now = self._services.clock.monotonic()
        if job.deadline_at - now <= _SEND_MARGIN_S:
            return False
        if isinstance(error, RequestRefused) and self._is_refused_too_often():
            return False
        if isinstance(error, UpstreamRefused):
            # Nothing was sent, so this spends neither the route's attempts nor
            # the retry budget.
            return True
        # A refusal spends an attempt only if the caller can be told of it.
        spent = self._runs if self._may_have_run else self.sends
        return spent < job.route.attempts and self.try_spend_retry()

    def _is_refused_too_often(self) -> bool:
        limit = self._job.route.attempts + _REFUSED_ATTEMPTS
        return len(self.runners) > limit

    def _convert_error(self, error: AnvilhallError) -> AnvilhallError:
        if self.response_started:
            return AnswerCut(f'{error.code}: {error.reason}')
        if error.outcome is Outcome.NOT_RUN and self._may_have_run:
            return UpstreamFailed(
                f'a previous attempt may have run; then {error.code}',
            )
        return error


def _count_retry(
    services: RelayServices, error: AnvilhallError, class_name: str
) -> None:
    """Count a further attempt after a failure; a faster copy is none."""
    if not isinstance(error, UpstreamOutpaced):
        services.metrics.retries.labels(error.code, class_name).inc()


def _note_wait(
    services: RelayServices, pool: str, waited_s: float, *, granted: bool
) -> None:
    """Note how long a request has waited for a runner."""
    services.metrics.grant_wait.labels(pool).observe(waited_s)
    if services.hedging and (waited_s > _QUEUED_S or not granted):
        services.hedging.note_shortage(pool, services.clock.monotonic())
