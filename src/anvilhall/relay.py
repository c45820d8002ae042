"""The callers' interface that relays requests by host and path."""

import asyncio
import weakref
from collections.abc import Callable
from http import HTTPStatus
from http.client import responses
from typing import Any

from tornado.http1connection import HTTP1Connection
from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
    ResponseStartLine,
)

from anvilhall.callers import REQUEST_ID_HEADER, encode_error
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
from anvilhall.local import split_address
from anvilhall.logs import note_change
from anvilhall.relaying import Relay
from anvilhall.relayjobs import CallerRequest, RelayJob, RelayServices

#: Bytes that may wait for a slow caller before its request is given up.
_UNSENT_LIMIT_BYTES = 1024 * 1024
#: Seconds after which a caller that came too early may return.
_NOT_READY_RETRY_S = 0.5
#: Statuses that say that a request has not run; any other error of this
#: system's own with that outcome becomes 503.
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
#: Share by which an idle connection outlives the stated time: callers reuse
#: connections until shortly before it.
_IDLE_MARGIN = 1.1


class RelayContext:
    """State that all relayed requests of one instance share.

    :param services: what a request needs to run.
    :param get_settings: returns the routing settings in force, or ``None``.
    :param measure_view_age_s: returns the age of the view of the runners.
    """

    __slots__ = (
        '_get_settings',
        'closing',
        'idle',
        'measure_view_age_s',
        'open_requests',
        'services',
    )

    def __init__(
        self,
        services: RelayServices,
        get_settings: Callable[[], RoutingSettings | None],
        measure_view_age_s: Callable[[], float | None],
    ) -> None:
        """Start without requests."""
        self.measure_view_age_s = measure_view_age_s
        self.services = services
        self._get_settings = get_settings
        #: Whether connections are closed as soon as they are idle.
        self.closing = False
        #: Connections on which no request has begun; those that callers
        #: close drop out by themselves.
        self.idle: weakref.WeakSet[RelayRequest] = weakref.WeakSet()
        self.open_requests = 0

    @property
    def version(self) -> int:
        """Version of the settings in force; -1: none."""
        settings = self._get_settings()
        return settings.version if settings else -1

    @property
    def settings(self) -> RoutingSettings:
        """The routing settings in force.

        :raises NotReady: if there are none yet.
        """
        settings = self._get_settings()
        if settings is None:
            raise NotReady(retry_after_s=_NOT_READY_RETRY_S)
        return settings

    def build_job(
        self,
        start_line: RequestStartLine,
        headers: HTTPHeaders,
    ) -> RelayJob:
        """Describe a request from its head.

        :raises AnvilhallError: if it is refused.
        """
        if self.closing:
            raise ShuttingDown(retry_after_s=_NOT_READY_RETRY_S)
        settings = self.settings
        path = start_line.path.partition('?')[0]
        route = settings.table.find(headers.get('Host', ''), path)
        head = self.services.dialect.read_request(headers)
        if not head.request_id:
            raise MalformedRequest('the request has no identifier')
        job = RelayJob(head, self.services.clock.monotonic())
        job.request = CallerRequest(
            start_line.method,
            start_line.path,
            headers,
        )
        job.route = route
        job.tier = settings.tree.classes[route.name].tier
        if not route.public:
            self._identify(job, head, settings)
        job.pool_name = route.choose_pool(head.request_id)
        pool = settings.tree.pools.get(job.pool_name)
        if pool is None:
            raise NoRunner(f'no pool {job.pool_name}', _NOT_READY_RETRY_S)
        job.pool = pool
        limits = [route.timeout_s]
        if head.deadline_s is not None:
            limits.append(head.deadline_s)
        job.deadline_at = job.arrived_at + min(limits)
        return job

    def _identify(
        self,
        job: RelayJob,
        head: RequestHead,
        settings: RoutingSettings,
    ) -> None:
        if not head.key:
            raise UnknownAccount('no key')
        holder = settings.tree.get_holder(head.key)
        job.account = holder.name
        if holder.account.tier is not None:
            job.tier = holder.account.tier


class RelayRequest(HTTPMessageDelegate):
    """One request on a caller's connection."""

    def __init__(
        self, context: RelayContext, connection: HTTP1Connection
    ) -> None:
        """Start before the head."""
        self._context = context
        context.idle.add(self)
        self._connection = connection
        self._parts: list[bytes] = []
        self._size = 0
        self._job: RelayJob | None = None
        self._task: asyncio.Task[None] | None = None
        self._relay: Relay | None = None
        self._error: AnvilhallError | None = None
        self._answered = False
        self._has_body = False
        self._left = False
        self._host = ''
        self._path = ''
        #: Bytes written since everything had last reached the caller's side.
        self._unsent = 0
        self._request_id = ''

    def headers_received(self, start_line: Any, headers: HTTPHeaders) -> None:
        """Check the head of the request before its body is read."""
        self._context.idle.discard(self)
        self._context.open_requests += 1
        self._connection.stream.set_nodelay(True)
        self._host = headers.get('Host', '')
        self._path = start_line.path
        self._has_body = (
            'Content-Length' in headers or 'Transfer-Encoding' in headers
        )
        try:
            self._job = self._context.build_job(start_line, headers)
            self._check_length(headers)
            self._request_id = self._job.request_id
        except BodyTooLarge as too_large:
            self._refuse(too_large)
        except AnvilhallError as error:
            # A connection that is closed with unread bytes is reset, and the
            # caller might lose the answer; so the body is read first.
            self._error = error
            self._request_id = headers.get(REQUEST_ID_HEADER, '')

    def data_received(self, chunk: bytes) -> None:
        """Take a part of the body."""
        if self._answered:
            return
        self._size += len(chunk)
        limits = self._context.settings.limits
        if self._size > limits.body_bytes:
            self._parts.clear()
            self._refuse(BodyTooLarge(f'over {limits.body_bytes} bytes'))
            return
        self._parts.append(chunk)

    def finish(self) -> None:
        """Run the request: it has been read whole."""
        if self._answered:
            return
        if self._error:
            self._refuse(self._error)
            return
        job = self._job
        if job is None:
            return
        if self._has_body:
            job.request.body = b''.join(self._parts)
        self._parts.clear()
        self._connection.set_close_callback(self.on_connection_close)
        self._task = asyncio.ensure_future(self._run(job))

    def on_connection_close(self) -> None:
        """Stop working for a caller that has gone."""
        if self._task:
            self._task.cancel()
        else:
            self._leave()

    def close(self) -> None:
        """Close the connection, on which no request has begun."""
        self._context.idle.discard(self)
        self._connection.close()

    def begin(self, status: int, headers: HTTPHeaders) -> None:
        """Send the head of the answer."""
        self._answered = True
        start_line = ResponseStartLine(
            'HTTP/1.1',
            status,
            responses.get(status, 'Unknown'),
        )
        self._connection.write_headers(start_line, headers)

    def write(self, chunk: bytes) -> None:
        """Send a part of the body."""
        self._context.services.metrics.bytes_relayed.inc(len(chunk))
        self._unsent += len(chunk)
        if self._unsent > _UNSENT_LIMIT_BYTES:
            # The caller does not read; nothing more is kept for it.
            self._connection.close()
            self.on_connection_close()
            return
        flushed = self._connection.write(chunk)
        flushed.add_done_callback(self._note_flushed)

    def _note_flushed(self, flushed: 'asyncio.Future[None]') -> None:
        if not flushed.cancelled() and flushed.exception() is None:
            self._unsent = 0

    async def _run(self, job: RelayJob) -> None:
        metrics = self._context.services.metrics
        metrics.requests.labels(job.route.name).inc()
        relay = Relay(job, self, self._context.services)
        self._relay = relay
        error: AnvilhallError | None = None
        try:
            await relay.run()
        except AnvilhallError as failure:
            error = failure
            self._fail(failure, relay)
        except asyncio.CancelledError:
            error = CallerGone()
            metrics.uncertain.labels(error.code, job.route.name).inc()
        except Exception as fault:  # noqa: BLE001
            # A fault of this program must not leave the caller waiting.
            kind = type(fault).__name__
            metrics.internal_errors.labels(kind).inc()
            error = AnvilhallError(f'{kind}: {fault}')
            self._fail(error, relay)
        else:
            self._connection.finish()
        finally:
            self._leave()
            self._note_end(job, relay, error)

    def _fail(self, error: AnvilhallError, relay: Relay) -> None:
        if not relay.begun:
            self._refuse(error)
            return
        self._count(error)
        # An answer that broke off must not look whole.
        self._connection.close()

    def _refuse(self, error: AnvilhallError) -> None:
        """Answer with an error of this system."""
        self._answered = True
        self._count(error)
        headers = HTTPHeaders({'Content-Type': 'application/json'})
        body = encode_error(error, self._request_id)
        headers['Content-Length'] = str(len(body))
        if error.retry_after_s is not None:
            headers['Retry-After'] = f'{error.retry_after_s:.2f}'
        status = choose_status(error)
        start_line = ResponseStartLine('HTTP/1.1', status, responses[status])
        if isinstance(error, BodyTooLarge):
            # The rest of the request is not read.
            headers['Connection'] = 'close'
        self._connection.write_headers(start_line, headers, body)
        self._connection.finish()
        if self._task is None:
            self._leave()
            self._note_refusal(error, status)

    def _check_length(self, headers: HTTPHeaders) -> None:
        declared = headers.get('Content-Length', '0')
        limit = self._context.settings.limits.body_bytes
        if declared.isdigit() and int(declared) > limit:
            raise BodyTooLarge(f'the body exceeds {limit} bytes')

    def _leave(self) -> None:
        if not self._left:
            self._left = True
            self._context.open_requests -= 1

    def _count(self, error: AnvilhallError) -> None:
        metrics = self._context.services.metrics
        refused = error.outcome is Outcome.NOT_RUN
        counter = metrics.refusals if refused else metrics.uncertain
        name = self._job.route.name if self._job else ''
        counter.labels(error.code, name).inc()

    def _note_refusal(self, error: AnvilhallError, status: int) -> None:
        """Write a line for a request that was refused on its head."""
        note_change(
            'request_refused',
            request_id=self._request_id,
            host=self._host,
            path=self._path,
            result=error.code,
            reason=error.reason,
            status=status,
            settings_version=self._context.version,
        )

    def _note_end(
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
        note_change(
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
            sends=relay.sends,
            waits_s=relay.waits_s,
            first_event_s=round(relay.first_event_s, 3),
            longest_gap_s=round(relay.longest_gap_s, 3),
            prompt_tokens=job.head.prompt_tokens,
            elapsed_s=round(elapsed_s, 3),
        )


class RelayServer(HTTPServerConnectionDelegate):
    """Accepts callers' connections."""

    def __init__(self, context: RelayContext, limits: RequestLimits) -> None:
        """Serve with these limits until others are set."""
        self._context = context
        self._limits = limits
        self._server = HTTPServer(
            self,
            max_header_size=limits.header_bytes,
            idle_connection_timeout=limits.idle_s * _IDLE_MARGIN,
        )

    def listen(self, address: str) -> None:
        """Accept connections at an address."""
        host, port = split_address(address)
        self._server.listen(port, host)

    def set_limits(self, limits: RequestLimits) -> None:
        """Take over changed limits, for requests from now on."""
        self._limits = limits
        parameters = self._server.conn_params
        parameters.max_header_size = limits.header_bytes
        parameters.header_timeout = limits.idle_s * _IDLE_MARGIN

    def close_after_answers(self) -> None:
        """Close each connection after its next answer."""
        self._server.conn_params.no_keep_alive = True

    def stop(self) -> None:
        """Accept no more connections or requests."""
        self._server.stop()
        self._context.closing = True
        for request in list(self._context.idle):
            request.close()

    async def close(self) -> None:
        """Close all connections."""
        await self._server.close_all_connections()

    def start_request(
        self,
        server_conn: object,
        request_conn: HTTPConnection,
    ) -> HTTPMessageDelegate:
        """Take a request."""
        assert isinstance(request_conn, HTTP1Connection)  # noqa: S101
        request_conn.set_max_body_size(self._limits.body_bytes)
        request = RelayRequest(self._context, request_conn)
        if self._context.closing:
            request.close()
        return request


def choose_status(error: AnvilhallError) -> int:
    """Return the status that callers of relayed routes get for an error."""
    if error.outcome is not Outcome.NOT_RUN:
        return int(error.status)
    if error.status in _NOT_RUN_STATUSES:
        return int(error.status)
    return int(HTTPStatus.SERVICE_UNAVAILABLE)
