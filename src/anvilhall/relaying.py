"""Runs one relayed request: attempts on runners, and the way back."""

import asyncio
from typing import Protocol

from tornado.httputil import HTTPHeaders

from anvilhall.attempts import RelayAttempt
from anvilhall.core.retries import may_retry_relayed
from anvilhall.events import EventFramer
from anvilhall.exceptions import (
    AnswerCut,
    AnvilhallError,
    DeadlineExceeded,
    DeadlinePassed,
    Outcome,
    UpstreamFailed,
    UpstreamRefused,
)
from anvilhall.grants import GrantTicket
from anvilhall.relayjobs import RelayJob, RelayServices

#: Time below which a request is not sent any more, in seconds.
_SEND_MARGIN_S = 0.005


class RelaySink(Protocol):
    """Where the answer of a relayed request goes."""

    def begin(self, status: int, headers: HTTPHeaders) -> None:
        """Take the head of the answer."""

    def write(self, chunk: bytes) -> None:
        """Take a part of the body."""


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
        self._borders = EventFramer()
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
        services.budgets.note_first_attempt(self._job.pool_name, now)
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
        try:
            grant = await GrantTicket().wait(
                self._services.broker,
                job.describe(now, self._avoid),
            )
        finally:
            waited_s = self._services.clock.monotonic() - now
            self.waits_s.append(round(waited_s, 3))
            self._services.metrics.grant_wait.labels(job.pool_name).observe(
                waited_s,
            )
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
        passed = self._services.dialect.filter_response_headers(headers)
        if self._job.route.streaming:
            # Another runner may go on with the stream, at another length.
            passed.pop('Content-Length', None)
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
        if not may_retry_relayed(
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
