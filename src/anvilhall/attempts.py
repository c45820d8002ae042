"""One attempt of a relayed request: the HTTP exchange with one runner."""

import math
from collections.abc import Callable
from http import HTTPStatus
from typing import Protocol

from tornado.httputil import HTTPHeaders

from anvilhall.confirmation import Confirmation, confirm_end
from anvilhall.core.messages import Grant, Progress, Release
from anvilhall.core.statuses import Meaning, find_meaning
from anvilhall.dialect import CallHead
from anvilhall.events import EventBorder
from anvilhall.exceptions import (
    AnvilhallError,
    RequestRefused,
    UpstreamCut,
    UpstreamErred,
    UpstreamFull,
    UpstreamGarbled,
    UpstreamOutpaced,
    UpstreamRefused,
    UpstreamReplaced,
    UpstreamStalled,
)
from anvilhall.grants import note_limit, note_state
from anvilhall.handover import Handover
from anvilhall.outbound import Call, Transfer
from anvilhall.relayjobs import RelayJob, RelayServices

#: Largest response without streaming that is buffered until it is complete, in
#: bytes. If the connection breaks, a buffered response can still be replaced by
#: that of another runner.
_BUFFER_LIMIT_BYTES = 256 * 1024
#: Seconds without a whole event after which another runner is asked for a
#: resumable stream. Callers give up after two seconds.
_STALL_TIMEOUT_S = 1.2
#: Lower bound of the reported time to the first token, in seconds; 0 means
#: that no token has arrived.
_MIN_FIRST_TOKEN_S = 0.005
#: Number of tiers, from the highest, that are divided into ranks by route, and
#: the ranks in each. Runners distinguish ten degrees of urgency, and there are
#: eight tiers.
_RANKED_TIERS = 2
_RANKS_PER_TIER = 2
_EVENT_STREAM = 'text/event-stream'
#: Characters of a header in an error message.
_SHOWN_CHARACTERS = 80
#: Seconds for which an idle connection to a runner may be reused.
_IDLE_LIMIT_S = 2


class AttemptListener(Protocol):
    """Receives the response of a runner during an attempt."""

    #: Whether a part of the response has been sent to the caller.
    response_started: bool
    #: Content type of the response; empty before it has started.
    content_type: str
    #: Whether the response is not read on, as the caller is slower.
    suspended: bool

    def handle_head(self, status: int, headers: HTTPHeaders) -> None:
        """Send the head of the response, unless an attempt has already."""

    def handle_chunk(self, chunk: bytes) -> bool:
        """Send a chunk of the body.

        :return: whether it made progress: of a resumable stream, whether it
            completed an event.
        """

    def note_delivery(self, grant: Grant) -> None:
        """Note that a part of the answer to a grant has been sent."""

    def note_run(self) -> None:
        """Note that a runner has begun to run the request."""

    def note_gap(self, gap_s: float) -> None:
        """Update the longest gap between two chunks of the response."""

    def drop_partial(self) -> None:
        """Discard an incomplete event that the runner will not complete."""


def choose_urgency(tier: int, rank: int) -> int:
    """Return the urgency of a request at its runner; 0 is served first.

    :param tier: tier of the request; a lower tier always goes first.
    :param rank: order of the route within the tier.
    """
    if tier >= _RANKED_TIERS:
        return _RANKED_TIERS * _RANKS_PER_TIER + tier - _RANKED_TIERS
    return tier * _RANKS_PER_TIER + min(rank, _RANKS_PER_TIER - 1)


class RelayAttempt:
    """The exchange with the runner of one grant."""

    __slots__ = (
        '_border',
        '_buffer',
        '_buffer_size',
        '_confirmation',
        '_forwarding',
        '_granted_at',
        '_job',
        '_last_chunk_at',
        '_last_progress_at',
        '_late',
        '_listener',
        '_problem',
        '_repeated',
        '_requests_per_s',
        '_response_head',
        '_sealed',
        '_services',
        'begin_handler',
        'begins_with_body',
        'failure',
        'first_token_s',
        'grant',
        'handover',
        'not_run',
        'served',
        'transfer',
    )

    def __init__(
        self,
        listener: AttemptListener,
        job: RelayJob,
        grant: Grant,
        services: RelayServices,
        *,
        repeated: bool = False,
        version: str | None = None,
    ) -> None:
        """Create the attempt; :meth:`run` sends the request.

        :param repeated: whether the request was sent to this runner before.
        :param version: software version that the runner must have; ``None`` or
            empty: none that could be checked.
        """
        self._repeated = repeated
        #: Forwards nothing before the runner's process is known to be that of
        #: the grant; ``None`` if any process will do.
        self._confirmation = (
            Confirmation(
                services.processes,
                grant,
                doubted=services.origins.doubts.has_failed(grant.runner),
            )
            if version
            else None
        )
        self._listener = listener
        self._job = job
        self._services = services
        self.grant = grant
        self.transfer = Transfer()
        self.served = False
        #: Error code for the owner of the runner; empty if there is none.
        self.failure = ''
        #: Whether the runner stated that it has not run the request.
        self.not_run = False
        self.first_token_s = 0.0
        self._granted_at = services.clock.monotonic()
        self._last_chunk_at = self._granted_at
        self._last_progress_at = self._granted_at
        self._buffer: list[bytes] = []
        self._buffer_size = 0
        self._response_head: tuple[int, HTTPHeaders] | None = None
        #: Limit that the answer names; ``None`` before the answer and, as a
        #: stream may end long after its head, once it is reported.
        self._requests_per_s: float | None = None
        self._border = EventBorder()
        #: Whether the answer has the runner's signature of a run.
        self._sealed = False
        #: Whether chunks are forwarded at once instead of buffered.
        self._forwarding = False
        #: Whether the end of the response may be read long after it arrived.
        self._late = False
        #: Failure found in the response, which ends the attempt.
        self._problem: AnvilhallError | None = None
        #: Moves the stream if it stalls; ``None`` if it is not resumable.
        self.handover: Handover | None = None
        #: Called when the runner has accepted the request, if a stalled attempt
        #: of it is open until then.
        self.begin_handler: Callable[[], None] | None = None
        #: Whether that is when the response is forwarded: a copy of a request
        #: must not end the first attempt before it has something to forward.
        self.begins_with_body = False

    async def run(self, last_event_id: str) -> None:
        """Send the request and forward the response.

        :param last_event_id: identifier of the last event that was sent to the
            caller; empty if none was.
        :raises AnvilhallError: if the runner does not serve the request.
        """
        services = self._services
        if self._job.route.streaming:
            services.activity.begin(self.grant.runner, self._granted_at)
        if self.handover and self.begin_handler is None:
            self.handover.start()
        try:
            await self._exchange(last_event_id)
        except AnvilhallError as error:
            self._problem = self._classify_failure(error)
        finally:
            if self._job.route.streaming:
                services.activity.end(
                    self.grant.runner,
                    begun=self.first_token_s > 0,
                    suspended=self.transfer.suspended,
                )
        self._problem = self._problem or self._check_end()
        if self._problem:
            raise self._note_failure(self._problem)
        self._flush()
        self.served = True

    async def _exchange(self, last_event_id: str) -> None:
        confirmation = self._confirmation
        if confirmation and self._repeated:
            # The runner has failed this request: another process may have
            # taken its place.
            await confirmation.check_unsent()
        try:
            reply = await self._services.outbound.stream(
                self._build_call(last_event_id),
                self.transfer,
                self._handle_chunk,
                self._handle_head,
            )
        except AnvilhallError:
            if confirmation:
                confirmation.raise_fault()
            raise
        if confirmation:
            await confirmation.wait()
        ended = reply.framed or self._problem or self._check_end()
        if not (ended or self._services.broker.notices.leaves(self.grant)):
            await self._confirm_end()

    async def _confirm_end(self) -> None:
        """Check that the runner's process has outlived its response.

        :raises UpstreamCut: if it has not.
        """
        if self.handover:
            # The stream must not move while its end is checked.
            self.handover.close()
        await confirm_end(
            self._services.processes,
            self.grant,
            self._job.deadline_at - self._services.clock.monotonic(),
            late=self._late,
        )

    def measure_elapsed_s(self) -> float:
        """Return the seconds since the grant."""
        return self._services.clock.monotonic() - self._granted_at

    @property
    def stall_timeout_s(self) -> float:
        """Seconds without a whole event after which a stream is stalled.

        Other attempts are never stalled.
        """
        if not self._job.resumable:
            return math.inf
        return max(_STALL_TIMEOUT_S, self._job.route.objective_s)

    def compute_time_left_s(self) -> float:
        """Return the seconds left until the stream counts as stalled."""
        if self.transfer.suspended:
            return self.stall_timeout_s
        limit = self._last_progress_at + self.stall_timeout_s
        return limit - self._services.clock.monotonic()

    def report_stall(self) -> None:
        """Tell the owner of the runner that the attempt has stalled."""
        self._services.broker.note_progress(
            Progress(
                pool=self.grant.pool,
                request_id=self.grant.request_id,
                first_token_s=0.0,
                tokens=int(self.first_token_s > 0),
                gap_s=0.0,
                stalled=True,
            ),
        )

    def abort_stalled(self) -> None:
        """End the attempt with an error, as another runner has begun."""
        silent_s = self._services.clock.monotonic() - self._last_progress_at
        if self.handover and self.handover.stalled:
            self._problem = UpstreamStalled(
                f'no whole event for {silent_s:.2f} s, '
                f'limit {self.stall_timeout_s:.2f} s'
            )
        else:
            # A copy of a late request was faster, which is no fault.
            self._problem = UpstreamOutpaced(
                f'another runner answered after {silent_s:.2f} s'
            )
        self._drop_partial()
        self.transfer.abort()

    def suspend(self) -> None:
        """Stop reading the response, as the caller reads more slowly."""
        if not self.transfer.suspended:
            self._late = True
            self.transfer.suspend()
            if self._job.route.streaming:
                self._services.activity.suspend(self.grant.runner)

    def resume(self) -> None:
        """Read the response on; the time since the suspension is no gap."""
        if self.transfer.suspended:
            now = self._services.clock.monotonic()
            self._last_chunk_at = now
            self._last_progress_at = now
            if self._job.route.streaming:
                self._services.activity.resume(self.grant.runner, now)
            self.transfer.resume()

    def close(self) -> None:
        """Abort the exchange unless it succeeded, and release the grant."""
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
        # These refer to this attempt.
        self._problem = None
        self.handover = None
        if self._confirmation:
            self._confirmation.close()
        if not self.served:
            self.transfer.abort()
        self._services.broker.release(
            Release(
                pool=self.grant.pool,
                request_id=self.grant.request_id,
                served=self.served,
                failure=self.failure,
                first_token_s=self.first_token_s,
                requests_per_s=self._requests_per_s,
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
            # A faulty runner may repeat its earlier answer to this request.
            fresh=self._repeated,
        )

    def _handle_head(self, status: int, headers: HTTPHeaders) -> None:
        if self.transfer.aborted:
            # Another attempt may have been answered.
            return
        answer = self._services.dialect.read_answer(headers)
        self._requests_per_s = answer.requests_per_s
        services = self._services
        note_limit(
            services.broker,
            services.metrics,
            self.grant,
            answer.requests_per_s,
        )
        self._problem = self._check_request_id(status, answer.request_id)
        if self._problem is None:
            note_state(services.broker, self.grant, status, answer)
            self._problem = self._check_status(
                status,
                not_run=answer.not_run,
                sealed=answer.sealed,
            )
            self._sealed = answer.sealed
            # A stream counts from its first chunk on.
            waits = self._job.route.streaming and status == HTTPStatus.OK
            if answer.sealed and not self.not_run and not waits:
                self._listener.note_run()
        if self._problem is None:
            self._problem = self._check_content_type(headers)
        if self._problem:
            self.transfer.abort()
            return
        self._response_head = (status, headers)
        if self._confirmation:
            self._confirmation.start(self._handle_confirmed)
        elif self.begin_handler and not self.begins_with_body:
            self.begin_handler()

    def _handle_confirmed(self, problem: AnvilhallError | None) -> None:
        """Forward the response, or end it as that of another process."""
        if self._problem or self.transfer.aborted:
            return
        if problem:
            self._problem = problem
            self.transfer.abort()
            return
        try:
            if self.begin_handler and not self.begins_with_body:
                self.begin_handler()
            if self._buffer:
                self._start_forwarding()
        except BaseException:
            self.transfer.abort()
            raise
        if self.transfer.suspended and not self._listener.suspended:
            self.resume()

    def _check_request_id(
        self, status: int, request_id: str
    ) -> AnvilhallError | None:
        """Return the failure if a response does not belong to this request.

        A response with an error status may lack the request identifier, but on
        a reused connection it may then be a copy of an earlier response.
        """
        if request_id == self._job.request_id:
            return None
        if (
            not request_id
            and status >= HTTPStatus.BAD_REQUEST
            and self.transfer.connected
        ):
            return None
        return UpstreamGarbled(
            'the response does not carry the identifier of this request'
        )

    def _check_status(
        self,
        status: int,
        *,
        not_run: bool,
        sealed: bool,
    ) -> AnvilhallError | None:
        meaning = find_meaning(status, stated=not_run, sealed=sealed)
        if meaning is Meaning.NOT_RUN:
            self.not_run = True
            if status == HTTPStatus.MISDIRECTED_REQUEST:
                return UpstreamReplaced(
                    'another runner has taken over the address'
                )
            return UpstreamFull(f'the runner answered {status}: not run')
        if meaning is Meaning.INVALID:
            return UpstreamGarbled(f'the runner answered {status}')
        if status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            self.failure = UpstreamErred.code
        if self._is_replaced(status, meaning):
            return UpstreamErred(f'the runner answered {status}')
        if status < HTTPStatus.MULTIPLE_CHOICES and not sealed:
            return UpstreamGarbled("the response lacks the runner's signature")
        return None

    def _is_replaced(self, status: int, meaning: Meaning) -> bool:
        """Return whether the caller gets another answer than the runner's."""
        if meaning is Meaning.UNTRUE:
            return True
        if self.begins_with_body and status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            # The first attempt may still be served.
            return True
        if self._listener.response_started and status != HTTPStatus.OK:
            # Its body is no continuation of the stream.
            return True
        return meaning is Meaning.ERROR and self._job.route.retryable

    def _check_content_type(
        self, headers: HTTPHeaders
    ) -> AnvilhallError | None:
        """Return the failure if an answer does not continue the response."""
        begun = self._listener.content_type
        given = headers.get('Content-Type', '')
        continues = given == begun or given.startswith(_EVENT_STREAM)
        if self._listener.response_started and not continues:
            return UpstreamGarbled(
                f'the answer has content type {given[:_SHOWN_CHARACTERS]!r}, '
                f'the response that it continues {begun!r}',
            )
        return None

    def _check_end(self) -> AnvilhallError | None:
        """Return the failure if a stream has ended within an event.

        A response without length and chunks ends with its connection, so that
        a runner that breaks it off looks as if it had completed it.
        """
        if not self._job.route.streaming or self._response_head is None:
            return None
        status, _ = self._response_head
        has_events = status == HTTPStatus.OK and (
            self._job.request.method != 'HEAD'
        )
        if not has_events or self._border.reached:
            return None
        return UpstreamCut('the stream ended within an event')

    def _handle_chunk(self, chunk: bytes) -> None:
        if self._problem or self.transfer.aborted:
            return
        self._border.feed(chunk)
        now = self._services.clock.monotonic()
        if self.first_token_s:
            self._listener.note_gap(now - self._last_chunk_at)
        self._last_chunk_at = now
        self._services.activity.note(self.grant.runner, now)
        if not self.first_token_s:
            self.first_token_s = max(now - self._granted_at, _MIN_FIRST_TOKEN_S)
            if self._sealed:
                self._listener.note_run()
            if self._job.route.streaming:
                self._services.activity.note_begun(self.grant.runner)
                self._report_first_token()
        if self._forwarding:
            self._forward(chunk)
            return
        self._buffer.append(chunk)
        self._buffer_size += len(chunk)
        if self._confirmation and not self._confirmation.confirmed:
            if self._buffer_size > _BUFFER_LIMIT_BYTES:
                self.suspend()
            return
        if self._job.route.streaming or self._buffer_size > _BUFFER_LIMIT_BYTES:
            self._start_forwarding()

    def _start_forwarding(self) -> None:
        """Send the buffered chunks and forward the following ones."""
        if self.begin_handler and self.begins_with_body:
            self.begin_handler()
        if self._response_head:
            status, headers = self._response_head
            self._listener.handle_head(status, headers)
        self._forwarding = True
        for chunk in self._buffer:
            self._forward(chunk)
        self._buffer.clear()

    def _forward(self, chunk: bytes) -> None:
        if self._listener.handle_chunk(chunk):
            self._last_progress_at = self._services.clock.monotonic()
            self._listener.note_delivery(self.grant)
            if self.handover:
                self.handover.note_progress()

    def _flush(self) -> None:
        if not self._forwarding:
            self._start_forwarding()

    def _report_first_token(self) -> None:
        self._services.broker.note_progress(
            Progress(
                pool=self.grant.pool,
                request_id=self.grant.request_id,
                first_token_s=self.first_token_s,
                tokens=1,
                gap_s=0.0,
                requests_per_s=self._requests_per_s,
            ),
        )
        self._requests_per_s = None

    def _drop_partial(self) -> None:
        """Discard an incomplete event of this attempt, but of no later one."""
        if self._forwarding:
            self._forwarding = False
            self._listener.drop_partial()

    def _note_failure(self, error: AnvilhallError) -> AnvilhallError:
        self._drop_partial()
        if isinstance(error, UpstreamOutpaced):
            return error
        if not isinstance(error, RequestRefused) or isinstance(
            error,
            UpstreamFull | UpstreamRefused | UpstreamReplaced,
        ):
            self.failure = error.code
        return error

    def _classify_failure(self, error: AnvilhallError) -> AnvilhallError:
        if self._problem:
            return self._problem
        if self.transfer.sent and isinstance(error, UpstreamRefused):
            return UpstreamCut(error.reason)
        return error
