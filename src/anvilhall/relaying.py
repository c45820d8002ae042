"""Runs one relayed request: grant, attempts on runners, and the way back."""

import asyncio
import random
from http import HTTPStatus
from typing import Protocol

from tornado.httputil import HTTPHeaders

from anvilhall.clock import Clock
from anvilhall.core.broker import Broker
from anvilhall.core.messages import Ask, Grant, Progress, Release
from anvilhall.core.retries import RetryBudgets, may_resend
from anvilhall.core.routes import Route
from anvilhall.core.settings import Pool
from anvilhall.dialect import CallHead, Dialect, RequestHead
from anvilhall.events import EventBorders
from anvilhall.exceptions import (
    AnswerCut,
    AnvilhallError,
    DeadlineExceeded,
    DeadlinePassed,
    Outcome,
    RequestRefused,
    UpstreamCut,
    UpstreamErred,
    UpstreamFailed,
    UpstreamFull,
    UpstreamGarbled,
    UpstreamRefused,
    UpstreamReplaced,
    UpstreamStalled,
)
from anvilhall.grants import GrantTicket
from anvilhall.metrics import Metrics
from anvilhall.outbound import Call, Outbound, Transfer

#: Longest answer of a plain service that is held until it is whole, in bytes.
#: A held answer that breaks off can still be replaced by another runner's.
_HELD_BYTES = 256 * 1024
#: Seconds without an event after which a stream goes on elsewhere. Callers
#: give up after two seconds.
_STALL_S = 1.2
#: Time below which a request is not sent any more, in seconds.
_SEND_MARGIN_S = 0.005
#: Tiers whose routes are told apart at a runner, and the ranks in each:
#: runners know ten degrees of urgency, and there are eight tiers.
_SPLIT_TIERS = 2
_RANKS = 2
#: Seconds for which an idle connection to a runner is used again.
_IDLE_LIMIT_S = 2


class RelayJob:
    """A relayed request between its arrival and the end of its answer."""

    __slots__ = (
        'account',
        'arrived_at',
        'body',
        'deadline_at',
        'head',
        'headers',
        'method',
        'pool',
        'pool_name',
        'request_id',
        'route',
        'target',
        'tier',
    )

    def __init__(self, head: RequestHead, arrived_at: float) -> None:
        """Start with what the headers say.

        :param arrived_at: monotonic seconds.
        """
        self.head = head
        self.request_id = head.request_id
        self.arrived_at = arrived_at
        #: Monotonic seconds.
        self.deadline_at = arrived_at
        self.method = ''
        #: Path and query as the caller sent them.
        self.target = ''
        self.headers = HTTPHeaders()
        self.body: bytes | None = None
        self.account = ''
        self.tier = 0
        self.route: Route
        self.pool: Pool
        self.pool_name = ''

    def describe(self, now: float, avoid: tuple[str, ...]) -> Ask:
        """Return the message that asks for a runner."""
        return Ask(
            pool=self.pool_name,
            request_id=self.request_id,
            class_name=self.route.name,
            account=self.account,
            prompt_tokens=self.head.prompt_tokens,
            max_tokens=self.head.max_tokens,
            deadline_s=self.deadline_at - now,
            parts=self.head.parts,
            avoid=avoid,
            tier=self.tier,
        )


def choose_urgency(tier: int, rank: int) -> int:
    """Return the order of a request among those at one runner, from 0.

    :param tier: of the request, which is strict.
    :param rank: of its route among requests of that tier.
    """
    if tier >= _SPLIT_TIERS:
        return _SPLIT_TIERS * _RANKS + tier - _SPLIT_TIERS
    return tier * _RANKS + min(rank, _RANKS - 1)


class RelaySink(Protocol):
    """Where the answer of a relayed request goes."""

    def begin(self, status: int, headers: HTTPHeaders) -> None:
        """Take the head of the answer."""

    def write(self, chunk: bytes) -> None:
        """Take a part of the body."""


class RelayServices:
    """What every relayed request needs."""

    __slots__ = (
        'broker',
        'budgets',
        'chance',
        'clock',
        'dialect',
        'metrics',
        'outbound',
    )

    def __init__(
        self,
        broker: Broker,
        outbound: Outbound,
        dialect: Dialect,
        clock: Clock,
        metrics: Metrics,
        budgets: RetryBudgets,
        chance: random.Random,
    ) -> None:
        """Bundle them."""
        self.broker = broker
        self.outbound = outbound
        self.dialect = dialect
        self.clock = clock
        self.metrics = metrics
        self.budgets = budgets
        self.chance = chance


class Relay:
    """One relayed request on its way through one or more attempts."""

    __slots__ = (
        '_avoid',
        '_borders',
        '_job',
        '_may_have_run',
        '_services',
        '_sink',
        'begun',
        'first_event_s',
        'longest_gap_s',
        'runners',
        'sends',
        'waits_s',
    )

    def __init__(
        self,
        job: RelayJob,
        sink: RelaySink,
        services: RelayServices,
    ) -> None:
        """Prepare; nothing is asked or sent yet."""
        self._job = job
        self._sink = sink
        self._services = services
        self._avoid: tuple[str, ...] = ()
        #: Whether an attempt that failed may have run the request.
        self._may_have_run = False
        self._borders = EventBorders()
        #: Whether the caller has got a part of the answer.
        self.begun = False
        #: Seconds from arrival to the first part; 0 while there is none.
        self.first_event_s = 0.0
        self.longest_gap_s = 0.0
        #: Runners in the order of the attempts.
        self.runners: list[str] = []
        #: Seconds from each ask to its grant.
        self.waits_s: list[float] = []
        #: Attempts in which the request may have left this process.
        self.sends = 0

    async def run(self) -> None:
        """Bring the whole answer to the sink.

        :raises AnvilhallError: saying what is known of the request's run.
        """
        services = self._services
        now = services.clock.monotonic()
        services.budgets.note_first(self._job.pool_name, now)
        try:
            async with asyncio.timeout(self._job.deadline_at - now):
                await self._try_attempts()
        except TimeoutError as error:
            if self.begun:
                raise AnswerCut('the time limit has passed') from error
            if self._may_have_run:
                raise DeadlineExceeded from error
            raise DeadlinePassed from error

    async def _try_attempts(self) -> None:
        while True:
            try:
                await self._attempt()
            except AnvilhallError as error:
                if not self._may_go_on(error):
                    raise self._describe(error) from error
                self._services.metrics.retries.labels(
                    error.code,
                    self._job.route.name,
                ).inc()
            else:
                return

    async def _attempt(self) -> None:
        job = self._job
        now = self._services.clock.monotonic()
        grant = await GrantTicket().wait(
            self._services.broker,
            job.describe(now, self._avoid),
        )
        granted_at = self._services.clock.monotonic()
        self.waits_s.append(round(granted_at - now, 3))
        self.runners.append(grant.runner)
        attempt = RelayAttempt(self, job, grant, self._services)
        try:
            await attempt.run(self._borders.last_id)
        except AnvilhallError as error:
            if error.outcome is not Outcome.NOT_RUN:
                self._may_have_run = True
            self._avoid = (*self._avoid, grant.runner)
            raise
        finally:
            self.sends += attempt.transfer.sent
            if attempt.transfer.sent and not attempt.not_run:
                self._may_have_run = True
            attempt.close()

    def take_head(self, status: int, headers: HTTPHeaders) -> None:
        """Pass the head of the answer on, unless an earlier one was."""
        if self.begun:
            return
        self.begun = True
        passed = self._services.dialect.pass_answer(headers)
        self._sink.begin(status, passed)

    def take_chunk(self, chunk: bytes) -> None:
        """Pass a part of the body on."""
        if not self.first_event_s:
            now = self._services.clock.monotonic()
            self.first_event_s = now - self._job.arrived_at
        if self._job.route.resumable and self._job.route.streaming:
            chunk = self._borders.feed(chunk)
        if chunk:
            self._sink.write(chunk)

    def note_gap(self, gap_s: float) -> None:
        """Remember the longest gap between two parts of the answer."""
        self.longest_gap_s = max(self.longest_gap_s, gap_s)

    def drop_partial(self) -> None:
        """Forget the beginning of an event that will not be completed."""
        self._borders.drop_partial()

    def _may_go_on(self, error: AnvilhallError) -> bool:
        job = self._job
        if not may_resend(
            error,
            retryable=job.route.retryable,
            resumable=job.route.streaming and job.route.resumable,
            begun=self.begun,
        ):
            return False
        if self.begun and not self._borders.last_id:
            # Part of an answer without event identifiers can't be continued.
            return False
        now = self._services.clock.monotonic()
        if job.deadline_at - now <= _SEND_MARGIN_S:
            return False
        if isinstance(error, UpstreamRefused):
            # Nothing reached a runner, so it counts against no limit.
            return len(self.runners) <= job.route.attempts + 2
        if self.sends >= job.route.attempts:
            return False
        return self._services.budgets.try_spend(job.pool_name, now)

    def _describe(self, error: AnvilhallError) -> AnvilhallError:
        if self.begun:
            return AnswerCut(f'{error.code}: {error.reason}')
        if error.outcome is Outcome.NOT_RUN and self._may_have_run:
            return UpstreamFailed(
                f'an earlier attempt may have run; then {error.code}',
            )
        return error


class RelayAttempt:
    """One grant's use: the exchange with one runner."""

    __slots__ = (
        '_granted_at',
        '_heard_at',
        '_held',
        '_held_head',
        '_held_size',
        '_job',
        '_passing',
        '_problem',
        '_relay',
        '_services',
        '_timer',
        'failure',
        'first_token_s',
        'grant',
        'not_run',
        'served',
        'transfer',
    )

    def __init__(
        self,
        relay: Relay,
        job: RelayJob,
        grant: Grant,
        services: RelayServices,
    ) -> None:
        """Prepare the use of a grant."""
        self._relay = relay
        self._job = job
        self._services = services
        self.grant = grant
        self.transfer = Transfer()
        self.served = False
        self.failure = ''
        #: Whether the runner states that it has not run the request.
        self.not_run = False
        self.first_token_s = 0.0
        self._granted_at = services.clock.monotonic()
        self._heard_at = self._granted_at
        self._held: list[bytes] = []
        self._held_size = 0
        self._held_head: tuple[int, HTTPHeaders] | None = None
        #: Whether the answer goes straight to the caller.
        self._passing = False
        self._problem: AnvilhallError | None = None
        self._timer: asyncio.TimerHandle | None = None

    async def run(self, last_event_id: str) -> None:
        """Exchange the request for an answer.

        :param last_event_id: last event that the caller has, if any.
        :raises AnvilhallError: if this runner does not serve the request.
        """
        self._watch()
        try:
            await self._services.outbound.stream(
                self._build_call(last_event_id),
                self.transfer,
                self._take_chunk,
                self._take_head,
            )
        except AnvilhallError as error:
            self._raise_failure(self._name_failure(error))
        finally:
            if self._timer:
                self._timer.cancel()
        if self._problem:
            self._raise_failure(self._problem)
        self._deliver()
        self.served = True

    def close(self) -> None:
        """Give the grant back; end what may still run."""
        if not self.served:
            self.transfer.abort()
        self._services.broker.release(
            Release(
                pool=self.grant.pool,
                request_id=self.grant.request_id,
                served=self.served,
                failure=self.failure,
                first_token_s=self.first_token_s,
            ),
        )

    def _build_call(self, last_event_id: str) -> Call:
        job = self._job
        left_s = job.deadline_at - self._services.clock.monotonic()
        head = CallHead(
            runner=self.grant.runner,
            account=job.account,
            urgency=choose_urgency(job.tier, job.route.tier),
            deadline_s=left_s,
            last_event_id=last_event_id,
        )
        return Call(
            url=f'http://{self.grant.address}/',
            target=job.target,
            method=job.method,
            headers=self._services.dialect.build_call(job.headers, head),
            body=job.body,
            connect_timeout_s=min(left_s, job.pool.connect_timeout_s),
            idle_limit_s=_IDLE_LIMIT_S,
        )

    def _take_head(self, status: int, headers: HTTPHeaders) -> None:
        answer = self._services.dialect.read_answer(headers)
        self._problem = self._judge_head(status, answer.request_id)
        if self._problem is None:
            self._problem = self._judge_status(
                status,
                not_run=answer.not_run,
                sealed=answer.sealed,
            )
        if self._problem:
            self.transfer.abort()
            return
        self._held_head = (status, headers)

    def _judge_head(
        self, status: int, request_id: str
    ) -> AnvilhallError | None:
        """Return what is wrong with the identity of an answer."""
        if request_id == self._job.request_id:
            return None
        if not request_id and status >= HTTPStatus.BAD_REQUEST:
            return None
        return UpstreamGarbled('the answer belongs to another request')

    def _judge_status(
        self,
        status: int,
        *,
        not_run: bool,
        sealed: bool,
    ) -> AnvilhallError | None:
        if status == HTTPStatus.MISDIRECTED_REQUEST:
            self.not_run = True
            return UpstreamReplaced('another runner has the address')
        if not_run:
            self.not_run = True
            return UpstreamFull(f'the runner answered {status}, not run')
        if status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            return self._judge_error(status)
        if status == HTTPStatus.TOO_MANY_REQUESTS:
            return UpstreamErred(f'the runner answered {status}')
        if status < HTTPStatus.MULTIPLE_CHOICES and not sealed:
            return UpstreamGarbled("an answer without the runner's signature")
        return None

    def _judge_error(self, status: int) -> AnvilhallError | None:
        """Return the failure that another attempt or a refusal replaces.

        A runner's own error is passed on if nobody else may run the request,
        except a status that would promise that it has not run.
        """
        self.failure = UpstreamErred.code
        error = UpstreamErred(f'the runner answered {status}')
        promise = status == HTTPStatus.SERVICE_UNAVAILABLE
        if promise or self._job.route.retryable or self._relay.begun:
            return error
        return None

    def _take_chunk(self, chunk: bytes) -> None:
        if self._problem:
            return
        now = self._services.clock.monotonic()
        if self.first_token_s:
            self._relay.note_gap(now - self._heard_at)
        self._heard_at = now
        if not self.first_token_s:
            self.first_token_s = max(now - self._granted_at, _SEND_MARGIN_S)
            if self._job.route.streaming:
                self._report()
        if self._passing:
            self._relay.take_chunk(chunk)
            return
        self._held.append(chunk)
        self._held_size += len(chunk)
        if self._job.route.streaming or self._held_size > _HELD_BYTES:
            self._pass_on()

    def _pass_on(self) -> None:
        """Send what is held and let the rest through."""
        if self._held_head:
            status, headers = self._held_head
            self._relay.take_head(status, headers)
        self._passing = True
        for chunk in self._held:
            self._relay.take_chunk(chunk)
        self._held.clear()

    def _deliver(self) -> None:
        if not self._passing:
            self._pass_on()

    def _report(self) -> None:
        self._services.broker.note_progress(
            Progress(
                pool=self.grant.pool,
                request_id=self.grant.request_id,
                first_token_s=self.first_token_s,
                tokens=1,
                gap_s=0.0,
            ),
        )

    def _raise_failure(self, error: AnvilhallError) -> None:
        self._relay.drop_partial()
        if not isinstance(error, RequestRefused) or isinstance(
            error,
            UpstreamFull | UpstreamRefused | UpstreamReplaced,
        ):
            self.failure = error.code
        raise error

    def _name_failure(self, error: AnvilhallError) -> AnvilhallError:
        if self._problem:
            return self._problem
        if self.transfer.sent and isinstance(error, UpstreamRefused):
            return UpstreamCut(error.reason)
        return error

    def _watch(self) -> None:
        route = self._job.route
        if not (route.streaming and route.resumable):
            return
        if self._relay.sends + 1 >= route.attempts:
            return
        self._arm(max(_STALL_S, route.objective_s))

    def _arm(self, delay_s: float) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(delay_s, self._check_progress)

    def _check_progress(self) -> None:
        limit_s = max(_STALL_S, self._job.route.objective_s)
        silent_s = self._services.clock.monotonic() - self._heard_at
        if silent_s < limit_s:
            self._arm(limit_s - silent_s)
            return
        self._problem = UpstreamStalled('no event within the time limit')
        self.transfer.abort()
