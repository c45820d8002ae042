"""HTTP server for callers, whose requests are routed by host and path."""

import asyncio
import functools
import math
import weakref
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from http import HTTPStatus
from http.client import responses
from typing import Any

from tornado.http1connection import HTTP1Connection
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream

from anvilhall.bodies import RequestBody
from anvilhall.callers import (
    REQUEST_ID_HEADER,
    SLOW_CALLER,
    encode_error,
)
from anvilhall.closing import (
    LAST_REQUESTS_S,
    CallerServer,
    CallerStream,
)
from anvilhall.core.memory import MemoryBudget
from anvilhall.core.messages import name_grant
from anvilhall.core.routes import RequestLimits, RoutingSettings
from anvilhall.dialect import RequestHead
from anvilhall.exceptions import (
    AnvilhallError,
    BodyTooLarge,
    CallerGone,
    MalformedRequest,
    NoRunner,
    NotReady,
    Outcome,
    ShuttingDown,
    UnknownAccount,
)
from anvilhall.faults import (
    build_fault_error,
    drop_tracebacks,
    report_internal_error,
)
from anvilhall.idling import IdleTimer
from anvilhall.local import split_address
from anvilhall.logs import log_event
from anvilhall.parsing import get_refusal, log_refusals
from anvilhall.relaying import Relay
from anvilhall.relayjobs import CallerRequest, RelayJob, RelayServices

#: Bytes of a response that wait for a caller that reads slowly: above the first
#: number, the runner's response is not read on; up to the second one, it is.
_UNSENT_LIMIT_BYTES = 256 * 1024
_UNSENT_LOW_BYTES = 64 * 1024
#: ``Retry-After`` in seconds while the instance is not ready, has no pool for
#: the route or is shutting down.
_NOT_READY_RETRY_S = 0.5
#: Statuses that tell a caller that the request has not run. Errors of this
#: system with that outcome and any other status are sent as 503.
_NOT_RUN_STATUSES = frozenset(
    (
        HTTPStatus.BAD_REQUEST,
        HTTPStatus.UNAUTHORIZED,
        HTTPStatus.NOT_FOUND,
        HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    ),
)
#: Bits of the random number in the identifier of a request's asks.
_ASK_ID_BITS = 48
#: Factor on the idle timeout of the settings. Callers reuse a connection until
#: shortly before that timeout, so the server must close it later.
_IDLE_MARGIN = 1.1


class RelayContext:
    """State that all relayed requests of one instance share.

    :param services: dependencies of a relayed request.
    :param get_settings: returns the current routing settings, or ``None``.
    :param measure_view_age_s: returns the age of the runner list in seconds,
        or ``None`` if it has never been read.
    :param memory_bytes: most bytes of bodies and unsent answers together.
    """

    __slots__ = (
        '_get_settings',
        'closed',
        'closing',
        'idle',
        'measure_view_age_s',
        'memory',
        'open',
        'services',
        'unsent',
    )

    def __init__(
        self,
        services: RelayServices,
        get_settings: Callable[[], RoutingSettings | None],
        measure_view_age_s: Callable[[], float | None],
        memory_bytes: float = math.inf,
    ) -> None:
        """Start with no open requests."""
        self.memory = MemoryBudget(memory_bytes, self._measure_unsent)
        self.measure_view_age_s = measure_view_age_s
        self.services = services
        self._get_settings = get_settings
        #: Whether new requests are refused and idle connections closed.
        self.closing = False
        #: Whether this instance closes the connections that are still open.
        self.closed = False
        #: Requests whose head has not arrived yet, one for each idle
        #: connection. The references are weak, so that entries of connections
        #: that callers close disappear.
        self.idle: weakref.WeakSet[RelayRequest] = weakref.WeakSet()
        #: Requests whose head has arrived and that have not ended.
        self.open: set[RelayRequest] = set()
        #: Connections on which a part of the last response was still unsent
        #: when its request ended, with the bytes of that part.
        self.unsent: weakref.WeakKeyDictionary[IOStream, int] = (
            weakref.WeakKeyDictionary()
        )

    @property
    def open_requests(self) -> int:
        """Number of requests that have not ended or are not all sent."""
        return len(self.open) + sum(each.writing() for each in self.unsent)

    @property
    def version(self) -> int:
        """Version of the current settings; -1: none."""
        settings = self._get_settings()
        return settings.version if settings else -1

    @property
    def settings(self) -> RoutingSettings:
        """The current routing settings.

        :raises NotReady: if no settings have been received yet.
        """
        settings = self._get_settings()
        if settings is None:
            raise NotReady(retry_after_s=_NOT_READY_RETRY_S)
        return settings

    @property
    def limits(self) -> RequestLimits:
        """Limits of the requests that arrive now."""
        settings = self._get_settings()
        return settings.limits if settings else RequestLimits()

    def build_job(
        self,
        start_line: RequestStartLine,
        headers: HTTPHeaders,
    ) -> RelayJob:
        """Route and authenticate a request by its request line and headers.

        :raises AnvilhallError: if the request is refused.
        """
        if self.closing:
            raise ShuttingDown(retry_after_s=_NOT_READY_RETRY_S)
        settings = self.settings
        path = start_line.path.partition('?')[0]
        route = settings.table.find(headers.get('Host', ''), path)
        head = self.services.dialect.read_request(headers)
        if not head.request_id:
            raise MalformedRequest('the request has no request identifier')
        job = RelayJob(head, self.services.clock.monotonic())
        job.ask_id = name_grant(
            head.request_id, self.services.draw_bits(_ASK_ID_BITS)
        )
        job.request = CallerRequest(
            start_line.method,
            start_line.path,
            headers,
        )
        job.route = route
        job.tier = settings.tree.classes[route.name].tier
        if not route.public:
            self._authenticate(job, head, settings)
        job.pool_name = route.choose_pool(job.stream_id)
        pool = settings.tree.pools.get(job.pool_name)
        if pool is None:
            raise NoRunner(
                f'route {route.name}: no pool {job.pool_name} in the settings',
                _NOT_READY_RETRY_S,
            )
        job.pool = pool
        limits = [route.timeout_s]
        if head.deadline_s is not None:
            limits.append(head.deadline_s)
        job.deadline_at = job.arrived_at + min(limits)
        return job

    def get_idle_limit_s(self) -> float:
        """Return the seconds after which an idle connection is closed."""
        return self.limits.idle_s * _IDLE_MARGIN

    def _measure_unsent(self) -> int:
        """Return the bytes of responses that are not sent yet."""
        ended = sum(
            size for stream, size in self.unsent.items() if stream.writing()
        )
        return ended + sum(request.unsent for request in self.open)

    def _authenticate(
        self,
        job: RelayJob,
        head: RequestHead,
        settings: RoutingSettings,
    ) -> None:
        if not head.key:
            raise UnknownAccount('the request has no account key')
        client_account = settings.tree.find_account(head.key)
        job.account = client_account.name
        if client_account.account.tier is not None:
            job.tier = client_account.account.tier


class RelayRequest(HTTPMessageDelegate):
    """One request on a caller's connection."""

    def __init__(
        self, context: RelayContext, connection: HTTP1Connection
    ) -> None:
        """Wait for the head of a request on a connection."""
        self._context = context
        context.idle.add(self)
        self._idle_timer = IdleTimer(self, context.get_idle_limit_s)
        self._connection = connection
        self._body = RequestBody(context.memory)
        self._job: RelayJob | None = None
        self._task: asyncio.Task[None] | None = None
        self._relay: Relay | None = None
        self._error: AnvilhallError | None = None
        self._response_started = False
        #: Whether the whole response has been written.
        self._answered = False
        self._close_logged = False
        self._has_body = False
        #: Whether the end of this instance cuts the request.
        self._stopping = False
        #: Whether the request has been cancelled because its caller has left.
        self._caller_left = False
        self.host = ''
        self.path = ''
        #: Bytes written but not flushed to the socket yet.
        self.unsent = 0
        #: Whether a write is not flushed yet, and the chunks that follow it.
        #: The connection reports only the last of several writes as flushed.
        self._flushing = False
        self._next_chunks: list[bytes] = []
        #: Bytes of the response's body that were written.
        self._written = 0
        self.request_id = ''

    def headers_received(self, start_line: Any, headers: HTTPHeaders) -> None:
        """Route the request; refuse one with too large a body at once."""
        self._idle_timer.cancel()
        self._context.idle.discard(self)
        self._context.open.add(self)
        with self._catch_faults():
            self._read_head(start_line, headers)

    def data_received(self, chunk: bytes) -> None:
        """Buffer a chunk of the request body."""
        if self._response_started or self._error:
            return
        with self._catch_faults():
            try:
                self._body.add(chunk)
            except BodyTooLarge as too_large:
                self._body.drop()
                self._refuse(too_large)
            except AnvilhallError as error:
                self._body.drop()
                self._error = error

    def finish(self) -> None:
        """Relay the request, whose body is complete."""
        with self._catch_faults():
            self._start()
        if self._error and not self._response_started:
            with self._catch_faults():
                self._refuse(self._error)

    @contextmanager
    def _catch_faults(self) -> Iterator[None]:
        """End the request with an error after a fault of this program.

        Without it, the connection would be closed without an answer.
        """
        try:
            yield
        except (Exception, asyncio.CancelledError) as fault:  # noqa: BLE001
            # No task is cancelled here: a cancellation is one of something
            # that was read.
            self._error = build_fault_error(
                fault, begun=self._response_started, may_have_run=False
            )
            self._body.drop()
            if self._response_started:
                self._release()
                self._close_unanswered()
            report_internal_error(self._context.services.metrics, fault)

    def _read_head(self, start_line: Any, headers: HTTPHeaders) -> None:
        self._connection.stream.set_nodelay(True)
        body_limit = self._context.limits.body_bytes
        self._body.set_limit(body_limit)
        self._connection.set_max_body_size(body_limit)
        self.request_id = headers.get(REQUEST_ID_HEADER, '')
        self.host = headers.get('Host', '')
        self.path = start_line.path
        self._has_body = (
            'Content-Length' in headers or 'Transfer-Encoding' in headers
        )
        try:
            job = self._context.build_job(start_line, headers)
            self._job = job
            declared = headers.get('Content-Length', '0')
            self._body.expect(declared, job.account, job.tier)
        except BodyTooLarge as too_large:
            self._refuse(too_large)
        except AnvilhallError as error:
            # The body is read before the error is sent: closing a connection
            # with unread bytes resets it, and the caller might not get the
            # response.
            self._error = error

    def _start(self) -> None:
        """Start the task that relays the request."""
        job = self._job
        if job is None or self._error or self._response_started:
            return
        if self._has_body:
            job.request.body = self._body.take()
        self._connection.set_close_callback(self.on_connection_close)
        relay = Relay(job, self, self._context.services)
        self._task = asyncio.ensure_future(self._run(relay, job))

    def on_connection_close(self) -> None:
        """Cancel the request, as the caller has disconnected."""
        if self._task or not self._answered:
            self._log_close(_find_close_reason(self._context))
        self._caller_left = True
        if self._task:
            self._cancel(self._task)
        else:
            self._release()

    def refuse_if_late(self) -> None:
        """Refuse the request if it waits and could no longer begin in time."""
        if self._relay is None or not self._relay.waiting:
            return
        try:
            self._relay.check_shutdown()
        except ShuttingDown:
            self.shut_down()

    def shut_down(self) -> None:
        """End the request with an error, as this instance stops."""
        if self._task:
            self._stopping = True
            self._cancel(self._task)
        elif not self._response_started:
            with self._catch_faults():
                self._refuse(ShuttingDown(retry_after_s=_NOT_READY_RETRY_S))

    def _cancel(self, task: 'asyncio.Task[None]') -> None:
        # A task that is cancelled before it begins would never run its end.
        if self._relay:
            task.cancel()

    def has_unread_bytes(self) -> bool:
        """Return whether the caller has sent bytes that were not read yet.

        A head that has arrived counts as not read until it is handled.
        """
        stream = self._connection.stream
        assert isinstance(stream, CallerStream)  # noqa: S101
        return stream.has_unread_bytes()

    def close(self) -> None:
        """Close the idle connection."""
        self._context.idle.discard(self)
        self._connection.close()

    def _log_close(self, reason: str) -> None:
        """Log that the connection is closed before the response was sent.

        :param reason: code of an error, or another word.
        """
        if self._close_logged:
            return
        self._close_logged = True
        log_event(
            'connection_closed',
            reason=reason,
            request_id=self.request_id,
            host=self.host,
            path=self.path,
            received_bytes=self._body.size,
            relayed=self._task is not None,
            head_written=self._response_started,
            written_bytes=self._written,
            unsent_bytes=self.unsent,
            answered=self._answered,
        )

    def send_head(self, status: int, headers: HTTPHeaders) -> None:
        """Send the status line and headers of the response."""
        self._response_started = True
        start_line = ResponseStartLine(
            'HTTP/1.1',
            status,
            responses.get(status, 'Unknown'),
        )
        self._connection.write_headers(start_line, headers)

    def write(self, chunk: bytes) -> None:
        """Send a chunk of the response body."""
        self._context.services.metrics.bytes_relayed.inc(len(chunk))
        self.unsent += len(chunk)
        self._written += len(chunk)
        if self.unsent > _UNSENT_LIMIT_BYTES and self._relay:
            self._relay.suspend()
        self._next_chunks.append(chunk)
        if not self._flushing:
            self._write_next()

    def _write_next(self) -> None:
        """Write the chunks that have arrived since the last write."""
        chunk = b''.join(self._next_chunks)
        self._next_chunks.clear()
        if not chunk:
            return
        self._flushing = True
        flushed = self._connection.write(chunk)
        flushed.add_done_callback(
            functools.partial(self._handle_flushed, len(chunk)),
        )

    def _handle_flushed(
        self,
        size: int,
        flushed: 'asyncio.Future[None]',
    ) -> None:
        if flushed.cancelled() or flushed.exception() is not None:
            return
        self._flushing = False
        self.unsent -= size
        if not self._answered:
            self._write_next()
        relay = self._relay
        if relay and relay.suspended and self.unsent <= _UNSENT_LOW_BYTES:
            relay.resume()

    async def _run(self, relay: Relay, job: RelayJob) -> None:
        self._relay = relay
        error: AnvilhallError | None = None
        try:
            error = await self._serve(relay, job)
        except Exception as unexpected:  # noqa: BLE001
            # The error could not be sent.
            error = self._report_fault(unexpected, relay)
        finally:
            self._release()
            self._close_unanswered()
            self._log_end(job, relay, error)
            drop_tracebacks(error)

    async def _serve(
        self, relay: Relay, job: RelayJob
    ) -> AnvilhallError | None:
        """Relay the request and end its response.

        :return: the error with which it ended, if any.
        """
        try:
            await self._begin(relay, job)
        except AnvilhallError as failure:
            error = failure
        except asyncio.CancelledError as cancelled:
            if self._caller_left and not self._stopping:
                gone = CallerGone()
                self._count_error(gone)
                return gone
            error = self._find_cancel_error(cancelled, relay)
        except Exception as unexpected:  # noqa: BLE001
            # A bug in this program must not leave the caller without response.
            error = self._report_fault(unexpected, relay)
        else:
            return None
        self._fail(error, relay)
        return error

    async def _begin(self, relay: Relay, job: RelayJob) -> None:
        if self._stopping or self._caller_left:
            raise asyncio.CancelledError
        metrics = self._context.services.metrics
        metrics.requests.labels(job.route.name).inc()
        await relay.run()
        self._finish()

    def _find_cancel_error(
        self, cancelled: asyncio.CancelledError, relay: Relay
    ) -> AnvilhallError:
        """Return the error of a cancelled request whose caller waits.

        Only this instance's stop cancels such a request; any other cancellation
        is of something that the request has waited for, and a fault.
        """
        if self._stopping:
            return relay.build_stop_error()
        return self._report_fault(cancelled, relay)

    def _report_fault(
        self, fault: BaseException, relay: Relay
    ) -> AnvilhallError:
        """Log and count a fault of this program; return its error."""
        report_internal_error(self._context.services.metrics, fault)
        return relay.build_fault_error(fault)

    def _close_unanswered(self) -> None:
        """Close the connection if no response could be sent or ended."""
        if self._answered or self._connection.stream.closed():
            return
        self._log_close(AnvilhallError.code)
        self._connection.close()

    def _fail(self, error: AnvilhallError, relay: Relay) -> None:
        if not relay.response_started:
            self._refuse(error)
            return
        self._count_error(error)
        self._log_close(SLOW_CALLER if relay.suspended else error.code)
        # Closing early tells the caller that the response is incomplete.
        self._connection.close()

    def _refuse(self, error: AnvilhallError) -> None:
        """Send an error of this system as the response."""
        self._response_started = True
        headers = HTTPHeaders({'Content-Type': 'application/json'})
        body = encode_error(error, self.request_id)
        headers['Content-Length'] = str(len(body))
        if error.retry_after_s is not None:
            headers['Retry-After'] = f'{error.retry_after_s:.2f}'
        status = choose_status(error)
        start_line = ResponseStartLine('HTTP/1.1', status, responses[status])
        if isinstance(error, BodyTooLarge):
            # The rest of the body stays unread.
            headers['Connection'] = 'close'
        self._connection.write_headers(start_line, headers, body)
        self._finish()
        self._count_error(error)
        if self._task is None:
            self._release()
            _log_refusal(self, error, status, self._context.version)

    def _release(self) -> None:
        """End the request, and free its body without the garbage collector."""
        self._context.open.discard(self)
        self._body.drop()
        if self._job:
            self._job.request.body = None
        self._relay = None

    def _finish(self) -> None:
        """End the response."""
        self._write_next()
        self._connection.finish()
        self._answered = True
        stream = self._connection.stream
        if stream.writing():
            self._context.unsent[stream] = self.unsent
        else:
            self._context.unsent.pop(stream, None)

    def _count_error(self, error: AnvilhallError) -> None:
        metrics = self._context.services.metrics
        refused = error.outcome is Outcome.NOT_RUN
        counter = metrics.refusals if refused else metrics.failures
        name = self._job.route.name if self._job else ''
        counter.labels(error.code, name).inc()

    def _log_end(
        self,
        job: RelayJob,
        relay: Relay,
        error: AnvilhallError | None,
    ) -> None:
        services = self._context.services
        elapsed_s = services.clock.monotonic() - job.arrived_at
        services.metrics.duration.labels(job.route.name).observe(elapsed_s)
        if relay.first_event_s:
            services.metrics.first_token.labels(job.route.name).observe(
                relay.first_event_s,
            )
        log_event(
            'request_ended',
            request_id=job.request_id,
            route=job.route.name,
            pool=job.pool_name,
            account=job.account,
            tier=job.tier,
            result=error.code if error else 'served',
            reason=error.reason if error else '',
            settings_version=self._context.version,
            view_age_s=self._context.measure_view_age_s(),
            runners=relay.runners,
            versions=relay.versions,
            sends=relay.sends,
            waits_s=relay.waits_s,
            first_event_s=round(relay.first_event_s, 3),
            longest_gap_s=round(relay.longest_gap_s, 3),
            prompt_tokens=job.head.prompt_tokens,
            elapsed_s=round(elapsed_s, 3),
            **job.describe_origin(),
        )


class RelayServer(HTTPServerConnectionDelegate):
    """Accepts connections from callers."""

    def __init__(self, context: RelayContext, limits: RequestLimits) -> None:
        """Create the server without listening.

        :param limits: apply until :meth:`set_limits` is called.
        """
        self._context = context
        log_refusals()
        self._server = CallerServer(self, max_header_size=limits.header_bytes)
        #: Closes the idle connections during a stop.
        self._idle_timer: asyncio.TimerHandle | None = None
        # The requests have timers of their own.
        self._server.conn_params.header_timeout = None

    def listen(self, address: str) -> None:
        """Accept connections at ``HOST:PORT``."""
        host, port = split_address(address)
        self._server.listen(port, host)

    def set_limits(self, limits: RequestLimits) -> None:
        """Replace the limit of heads."""
        self._server.conn_params.max_header_size = limits.header_bytes

    def close_after_answers(self) -> None:
        """Disable keep-alive: close each connection after its next response."""
        self._server.close_after_answers()

    def stop(self) -> None:
        """Stop accepting connections and requests.

        Idle connections stay open for a moment, so that a request which is on
        its way is refused. A connection on which one has arrived is kept
        longer, so that it is read and refused.
        """
        self._server.stop()
        self._context.closing = True
        self._context.services.shutdown.closed = True
        if self._idle_timer is None:
            self._idle_timer = asyncio.get_running_loop().call_later(
                LAST_REQUESTS_S, self.close_idle
            )
        for waiting in list(self._context.open):
            waiting.refuse_if_late()

    def close_idle(self) -> None:
        """Close the connections on which no request has arrived."""
        for request in list(self._context.idle):
            if not request.has_unread_bytes():
                request.close()

    def shut_down(self) -> None:
        """Answer all open requests with an error, as this instance stops."""
        for request in list(self._context.open):
            request.shut_down()

    async def close(self, timeout_s: float) -> None:
        """Close all connections, also those with requests in flight.

        :param timeout_s: seconds after which those still open are left.
        """
        if self._context.idle:
            await self._server.refuse_last()
        self._context.closed = True
        if not await self._server.close_connections(timeout_s):
            log_event('close_timeout', open=self._context.open_requests)

    def start_request(
        self,
        server_conn: object,
        request_conn: HTTPConnection,
    ) -> HTTPMessageDelegate:
        """Return the handler of the next request on a connection."""
        assert isinstance(request_conn, HTTP1Connection)  # noqa: S101
        return RelayRequest(self._context, request_conn)


def _log_refusal(
    request: RelayRequest, error: AnvilhallError, status: int, version: int
) -> None:
    """Log a request that was refused before it was relayed.

    :param version: version of the settings.
    """
    log_event(
        'request_refused',
        request_id=request.request_id,
        host=request.host,
        path=request.path,
        result=error.code,
        reason=error.reason,
        status=status,
        settings_version=version,
    )


def choose_status(error: AnvilhallError) -> int:
    """Return the HTTP status that callers get for an error."""
    if error.outcome is not Outcome.NOT_RUN:
        return int(error.status)
    if error.status in _NOT_RUN_STATUSES:
        return int(error.status)
    return int(HTTPStatus.SERVICE_UNAVAILABLE)


def _find_close_reason(context: RelayContext) -> str:
    if context.closed:
        return ShuttingDown.code
    return MalformedRequest.code if get_refusal() else CallerGone.code
