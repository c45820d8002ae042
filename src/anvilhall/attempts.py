"""One use of a grant: the exchange of a relayed request with one runner."""

import asyncio
from http import HTTPStatus
from typing import Protocol

from tornado.httputil import HTTPHeaders

from anvilhall.core.messages import Grant, Progress, Release
from anvilhall.dialect import CallHead
from anvilhall.exceptions import (
    AnvilhallError,
    RequestRefused,
    UpstreamCut,
    UpstreamErred,
    UpstreamFull,
    UpstreamGarbled,
    UpstreamRefused,
    UpstreamReplaced,
    UpstreamStalled,
)
from anvilhall.outbound import Call, Transfer
from anvilhall.relayjobs import RelayJob, RelayServices

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


class AnswerTaker(Protocol):
    """Takes the answer of a runner on its way to the caller."""

    #: Whether the caller has got a part of the answer.
    begun: bool
    #: Attempts before this one in which the request may have left.
    sends: int

    def take_head(self, status: int, headers: HTTPHeaders) -> None:
        """Pass the head of the answer on, unless an earlier one was."""

    def take_chunk(self, chunk: bytes) -> None:
        """Pass a part of the body on."""

    def note_gap(self, gap_s: float) -> None:
        """Remember the longest gap between two parts of the answer."""

    def drop_partial(self) -> None:
        """Forget the beginning of an event that will not be completed."""


def choose_urgency(tier: int, rank: int) -> int:
    """Return the order of a request among those at one runner, from 0.

    :param tier: of the request, which is strict.
    :param rank: of its route among requests of that tier.
    """
    if tier >= _SPLIT_TIERS:
        return _SPLIT_TIERS * _RANKS + tier - _SPLIT_TIERS
    return tier * _RANKS + min(rank, _RANKS - 1)


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
        '_services',
        '_taker',
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
        taker: AnswerTaker,
        job: RelayJob,
        grant: Grant,
        services: RelayServices,
    ) -> None:
        """Prepare the use of a grant."""
        self._taker = taker
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
            target=job.request.target,
            method=job.request.method,
            headers=self._services.dialect.build_call(
                job.request.headers, head
            ),
            body=job.request.body,
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
        if promise or self._job.route.retryable or self._taker.begun:
            return error
        return None

    def _take_chunk(self, chunk: bytes) -> None:
        if self._problem:
            return
        now = self._services.clock.monotonic()
        if self.first_token_s:
            self._taker.note_gap(now - self._heard_at)
        self._heard_at = now
        if not self.first_token_s:
            self.first_token_s = max(now - self._granted_at, _SEND_MARGIN_S)
            if self._job.route.streaming:
                self._report()
        if self._passing:
            self._taker.take_chunk(chunk)
            return
        self._held.append(chunk)
        self._held_size += len(chunk)
        if self._job.route.streaming or self._held_size > _HELD_BYTES:
            self._pass_on()

    def _pass_on(self) -> None:
        """Send what is held and let the rest through."""
        if self._held_head:
            status, headers = self._held_head
            self._taker.take_head(status, headers)
        self._passing = True
        for chunk in self._held:
            self._taker.take_chunk(chunk)
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
        self._taker.drop_partial()
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
        if self._taker.sends + 1 >= route.attempts:
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
