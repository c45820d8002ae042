"""HTTP interface for callers: chat completions and plain services."""

import asyncio
import contextlib
import math
import uuid
import weakref
from http import HTTPStatus
from types import TracebackType
from typing import Any

import msgspec
from tornado.http1connection import HTTP1Connection
from tornado.httputil import HTTPHeaders
from tornado.iostream import IOStream
from tornado.web import (
    Application,
    HTTPError,
    RequestHandler,
    stream_request_body,
)

from anvilhall.answers import AnswerCache, CachedAnswer
from anvilhall.bodies import RequestBody
from anvilhall.core.memory import MemoryBudget
from anvilhall.core.tree import ClientAccount
from anvilhall.events import decode_answer
from anvilhall.exceptions import (
    AnvilhallError,
    CallerGone,
    MalformedRequest,
    ShuttingDown,
    UnknownAccount,
    UnknownPath,
)
from anvilhall.execution import Execution, Services
from anvilhall.faults import drop_tracebacks, report_internal_error
from anvilhall.gate import Gate
from anvilhall.jobs import ChatBody, Job
from anvilhall.logs import log_event
from anvilhall.outbound import Reply
from anvilhall.parsing import get_refusal
from anvilhall.upstreams import WIRES

CLASS_HEADER = 'Anvilhall-Class'
DEADLINE_HEADER = 'Anvilhall-Deadline-Seconds'
KEY_HEADER = 'Idempotency-Key'
REQUEST_ID_HEADER = 'Anvilhall-Request-Id'
OUTCOME_HEADER = 'Anvilhall-Outcome'
CODE_HEADER = 'Anvilhall-Error'
#: Reason in the log for the end of a connection whose caller does not read.
SLOW_CALLER = 'slow_caller'

_BEARER = 'Bearer '
_JSON = 'application/json'
_EVENT_STREAM = 'text/event-stream'
_CONTENT_TYPE = 'Content-Type'
#: ``Retry-After`` of a request whose body had not arrived at the end of the
#: instance, in seconds.
_STOPPED_RETRY_S = 1.0
#: Longest idempotency key, in characters.
_KEY_LIMIT = 255
#: Longest deadline that a caller may set, in seconds.
_DEADLINE_LIMIT_S = 86400.0
#: Bytes of an answer that wait for a slow caller, above which the runner's
#: answer is not read on.
_UNSENT_LIMIT_BYTES = 256 * 1024
#: Response headers of a service that are not forwarded to the caller.
_HOP_HEADERS = frozenset(
    (
        'connection',
        'content-encoding',
        'content-length',
        'date',
        'keep-alive',
        'server',
        'transfer-encoding',
    ),
)


class CallerContext:
    """Dependencies shared by all request handlers."""

    __slots__ = (
        'answer_cache',
        'gate',
        'memory',
        'open',
        'services',
        'unsent',
    )

    def __init__(
        self,
        gate: Gate,
        services: Services,
        answer_cache: AnswerCache,
        memory_bytes: float = math.inf,
    ) -> None:
        """Store the dependencies.

        :param memory_bytes: most bytes of bodies and unsent answers together.
        """
        self.memory = MemoryBudget(memory_bytes, self._measure_unsent)
        self.gate = gate
        self.services = services
        self.answer_cache = answer_cache
        #: Requests that were admitted and have not ended.
        self.open: set[CallerHandler] = set()
        #: Connections on which a part of the last answer was still unsent when
        #: its request ended.
        self.unsent: weakref.WeakSet[IOStream] = weakref.WeakSet()

    @property
    def has_unsent(self) -> bool:
        """Whether a part of an answer waits for a slow caller."""
        return any(stream.writing() for stream in self.unsent)

    def _measure_unsent(self) -> int:
        """Return the bytes of the answers that wait for slow callers."""
        return sum(handler.unsent for handler in self.open)

    def shut_down(self) -> None:
        """Answer all open requests with an error, as the instance stops."""
        for handler in list(self.open):
            handler.shut_down()


@stream_request_body
class CallerHandler(RequestHandler):
    """Base of all request handlers: admission, body, errors, execution."""

    context: CallerContext
    _account: ClientAccount
    _task: 'asyncio.Task[None] | None'
    _execution: Execution | None

    def initialize(self, context: CallerContext) -> None:
        """Store the application's context and reset the request's state."""
        self.context = context
        self._body = RequestBody(context.memory)
        #: Why the body is refused, if it is.
        self._body_error: AnvilhallError | None = None
        #: Bytes of the answer that wait for a caller who reads slowly.
        self.unsent = 0
        self._admitted = False
        self._task = None
        self._execution = None
        #: Whether the end of this instance cuts the request.
        self._stopping = False
        #: Whether the request was cancelled because its caller has left or
        #: does not read.
        self._caller_left = False
        self._close_logged = False
        #: Bytes of the answer's body that were written.
        self.written = 0
        self._class_name = ''
        self.request_id = uuid.uuid4().hex

    def prepare(self) -> None:
        """Check the request's headers before its body is read."""
        try:
            self._check_head()
        except AnvilhallError as error:
            # The body stays unread, so the connection can't be reused.
            self.set_header('Connection', 'close')
            self.refuse(error)
        except asyncio.CancelledError as cancelled:
            # No task of this instance runs yet: something that was read has
            # been cancelled.
            self.set_header('Connection', 'close')
            self._refuse_fault(cancelled)

    def data_received(self, chunk: bytes) -> None:
        """Buffer a chunk of the body, unless it is refused."""
        if self._finished or self._body_error:
            return
        try:
            self._body.add(chunk)
        except AnvilhallError as error:
            self._body.drop()
            self._body_error = error

    def on_connection_close(self) -> None:
        """Cancel the request when its caller disconnects."""
        super().on_connection_close()
        if self._finished:
            return
        self.log_close(
            MalformedRequest.code if get_refusal() else CallerGone.code
        )
        self._caller_left = True
        if self._task:
            self._task.cancel()
        else:
            self.on_finish()

    def close_slow(self) -> None:
        """Close the connection of a caller that does not read its answer."""
        self.log_close(SLOW_CALLER)
        self._get_connection().close()

    def suspend(self) -> None:
        """Stop reading the answer of a caller that reads more slowly."""
        if self._execution:
            self._execution.suspend()

    def resume(self) -> None:
        """Read the answer on."""
        if self._execution:
            self._execution.resume()

    def log_close(self, reason: str) -> None:
        """Log that the connection is closed before the answer was sent.

        :param reason: code of an error, or another word.
        """
        if self._close_logged:
            return
        self._close_logged = True
        log_event(
            'connection_closed',
            reason=reason,
            request_id=self.request_id,
            path=self.request.path,
            received_bytes=self._body.size,
            relayed=self._task is not None,
            head_written=self._headers_written,
            written_bytes=self.written,
        )

    def on_finish(self) -> None:
        """Release the request's place in the count of open requests."""
        self.context.open.discard(self)
        self._body.drop()
        self._note_unsent()
        if self._admitted:
            self._admitted = False
            self.context.gate.release()

    def shut_down(self) -> None:
        """End the request with an error, as this instance stops."""
        if self._task:
            self._stopping = True
            self._task.cancel()
        elif not self._finished:
            self.set_header('Connection', 'close')
            self.refuse(ShuttingDown(retry_after_s=_STOPPED_RETRY_S))

    def log_exception(
        self,
        typ: type[BaseException] | None,
        value: BaseException | None,
        tb: TracebackType | None,
    ) -> None:
        """Log and count a fault for which tornado sends an error response."""
        super().log_exception(typ, value, tb)
        if value and not isinstance(value, HTTPError):
            report_internal_error(self.context.services.metrics, value)

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Send an error response for a tornado error or an internal fault."""
        error = AnvilhallError()
        if status_code == HTTPStatus.METHOD_NOT_ALLOWED:
            error = UnknownPath(
                f'method {self.request.method} not allowed at this path',
            )
        self.refuse(error)

    def refuse(self, error: AnvilhallError) -> None:
        """Send an error response; nothing may have been sent before."""
        self.context.gate.count_error(error, self._class_name)
        self.set_status(error.status)
        self.set_header(CODE_HEADER, error.code)
        self.set_header(OUTCOME_HEADER, error.outcome.value)
        self.set_header(REQUEST_ID_HEADER, self.request_id)
        if error.retry_after_s is not None:
            self.set_header(
                'Retry-After', str(max(1, round(error.retry_after_s)))
            )
        if isinstance(error, UnknownAccount):
            self.set_header('WWW-Authenticate', 'Bearer')
        self.set_header(_CONTENT_TYPE, _JSON)
        self.finish(encode_error(error, self.request_id))

    async def serve_job(self, job: Job, sink: 'HandlerSink') -> None:
        """Run a job and end the response, with an error if the job fails."""
        execution = Execution(job, sink, self.context.services)
        self._execution = execution
        self._task = asyncio.current_task()
        try:
            await execution.run()
            sink.finish()
        except AnvilhallError as error:
            self._send_failure(error, sink)
        except asyncio.CancelledError as cancelled:
            if self._stopping:
                self._send_failure(execution.build_stop_error(), sink)
            elif self._caller_left:
                self.context.gate.count_disconnect(self._class_name)
            else:
                # Something that the request has waited for was cancelled.
                self._send_fault(cancelled, execution, sink)
        except Exception as unexpected:  # noqa: BLE001
            self._send_fault(unexpected, execution, sink)
        finally:
            job.drop_body()

    def build_job(self, job_path: str) -> Job:
        """Return the job for this request; its body is not parsed yet.

        :param job_path: path and query that a plain service is called with.
        """
        gate = self.context.gate
        tree = gate.tree
        requested = self.request.headers.get(CLASS_HEADER, '')
        self._class_name = tree.choose_class(
            self._account,
            requested,
            self.request.path,
        )
        job = Job(self.request_id, self._account.name)
        job.class_name = self._class_name
        job.settings = tree.classes[self._class_name]
        job.pool = tree.pools[job.settings.pool]
        job.key = self._read_key()
        job.path = job_path
        job.method = self.request.method or 'POST'
        job.body = self._body.take()
        deadline_s = min(self._read_deadline_s(), job.settings.deadline_s)
        job.deadline_at = self.context.services.clock.monotonic() + deadline_s
        gate.count_request(self._class_name)
        return job

    def check_body(self) -> None:
        """Check a received body, which may lack a length header.

        :raises AnvilhallError: if it was refused while it arrived.
        """
        if self._body_error:
            raise self._body_error

    def _get_connection(self) -> HTTP1Connection:
        connection = self.request.connection
        assert isinstance(connection, HTTP1Connection)  # noqa: S101
        return connection

    def _note_unsent(self) -> None:
        stream = self._get_connection().stream
        if stream.writing():
            self.context.unsent.add(stream)
        else:
            self.context.unsent.discard(stream)

    def _check_head(self) -> None:
        gate = self.context.gate
        gate.admit()
        self._admitted = True
        self.context.open.add(self)
        self._account = gate.tree.find_account(self._read_account_key())
        self._body.set_limit(gate.tree.guards.body_bytes)
        declared = self.request.headers.get('Content-Length', '0')
        # The class, and with it the tier, is not known yet.
        self._body.expect(declared, self._account.name, tier=0)

    def _read_account_key(self) -> str:
        authorization = self.request.headers.get('Authorization', '')
        if not authorization.startswith(_BEARER):
            raise UnknownAccount('no bearer token in the Authorization header')
        return authorization.removeprefix(_BEARER)

    def _read_key(self) -> str:
        key = self.request.headers.get(KEY_HEADER, '')
        if len(key) > _KEY_LIMIT:
            raise MalformedRequest(
                f'{KEY_HEADER} has {len(key)} characters; '
                f'the limit is {_KEY_LIMIT}',
            )
        return key

    def _read_deadline_s(self) -> float:
        text = self.request.headers.get(DEADLINE_HEADER)
        if text is None:
            return _DEADLINE_LIMIT_S
        with contextlib.suppress(ValueError):
            deadline_s = float(text)
            if 0 < deadline_s <= _DEADLINE_LIMIT_S:
                return deadline_s
        raise MalformedRequest(
            f'{DEADLINE_HEADER} must be a number of seconds above 0 and at '
            f'most {_DEADLINE_LIMIT_S:.0f}, got {text!r}',
        )

    def _refuse_fault(self, fault: BaseException) -> None:
        report_internal_error(self.context.services.metrics, fault)
        self.refuse(AnvilhallError(type(fault).__name__))

    def _send_fault(
        self, fault: BaseException, execution: Execution, sink: 'HandlerSink'
    ) -> None:
        report_internal_error(self.context.services.metrics, fault)
        self._send_failure(execution.build_fault_error(fault), sink)

    def _send_failure(self, error: AnvilhallError, sink: 'HandlerSink') -> None:
        if sink.started:
            self.context.gate.count_error(error, self._class_name)
            sink.abort(error)
        else:
            self.refuse(error)
        drop_tracebacks(error)


class HandlerSink:
    """Base of the sinks that write a job's result to the caller."""

    __slots__ = ('_handler', 'started')

    def __init__(self, handler: CallerHandler) -> None:
        """Start before the first byte."""
        self._handler = handler
        #: Whether any part of the response has been written.
        self.started = False

    def write_events(self, events: bytes) -> None:
        """Accept one or more whole server-sent events."""
        raise NotImplementedError

    def write_reply(self, reply: Reply) -> None:
        """Accept the whole response of a plain service."""
        raise NotImplementedError

    def finish(self) -> None:
        """End the response."""
        self._handler.finish()

    def abort(self, error: AnvilhallError) -> None:
        """End a partly delivered response with an error."""
        raise NotImplementedError


class StreamSink(HandlerSink):
    """Streams events to the caller as they arrive."""

    __slots__ = (
        '_ended',
        '_flushing',
        '_relayed_bytes',
        '_suspended',
        '_unsent_bytes',
    )

    def __init__(self, handler: CallerHandler) -> None:
        """Start before the first byte."""
        super().__init__(handler)
        self._flushing: asyncio.Future[None] | None = None
        self._unsent_bytes = 0
        self._relayed_bytes = 0
        #: Whether the answer is not read on until a flush has ended.
        self._suspended = False
        #: Whether the response has ended.
        self._ended = False

    def write_events(self, events: bytes) -> None:
        """Write events; those written during a flush go out with the next."""
        if not self.started:
            self._start()
        handler = self._handler
        handler.write(events)
        self._relayed_bytes += len(events)
        handler.written = self._relayed_bytes
        if self._flushing is None or self._flushing.done():
            self._unsent_bytes = 0
            handler.unsent = 0
            self._flushing = handler.flush()
        else:
            self._add_unsent(len(events), self._flushing)

    def finish(self) -> None:
        """End the response."""
        self._ended = True
        self._count_relayed()
        super().finish()

    def abort(self, error: AnvilhallError) -> None:
        """Send the error as the last event, without a ``[DONE]`` event."""
        self._ended = True
        self._count_relayed()
        if self._suspended:
            # The error would wait behind what the caller does not read.
            self._handler.close_slow()
            return
        payload = encode_error(error, self._handler.request_id)
        event = b''.join((b'event: error\ndata: ', payload, b'\n\n'))
        self._handler.write(event)
        self._handler.finish()

    def _add_unsent(self, size: int, flushing: 'asyncio.Future[None]') -> None:
        self._unsent_bytes += size
        self._handler.unsent = self._unsent_bytes
        if self._unsent_bytes > _UNSENT_LIMIT_BYTES and not self._suspended:
            self._suspended = True
            self._handler.suspend()
            flushing.add_done_callback(self._resume)

    def _resume(self, flushed: 'asyncio.Future[None]') -> None:
        """Send what has waited, and read the answer on."""
        self._suspended = False
        if flushed.cancelled() or flushed.exception() is not None:
            # The caller has gone.
            return
        if not self._ended:
            self._unsent_bytes = 0
            self._handler.unsent = 0
            self._flushing = self._handler.flush()
            self._handler.resume()

    def _count_relayed(self) -> None:
        self._handler.context.gate.count_relayed_bytes(self._relayed_bytes)

    def _start(self) -> None:
        self.started = True
        handler = self._handler
        handler.set_header(_CONTENT_TYPE, _EVENT_STREAM)
        handler.set_header('Cache-Control', 'no-cache')
        handler.set_header(REQUEST_ID_HEADER, handler.request_id)


class BufferedSink(HandlerSink):
    """Buffers an engine's events and sends them as one JSON completion."""

    __slots__ = ('_chunks', '_model')

    def __init__(self, handler: CallerHandler, model: str) -> None:
        """Start with no events.

        :param model: the requested model, sent if the engine names none.
        """
        super().__init__(handler)
        self._model = model
        self._chunks: list[bytes] = []

    def write_events(self, events: bytes) -> None:
        """Buffer events."""
        self._chunks.append(events)

    def finish(self) -> None:
        """Send the completion."""
        answer = decode_answer(self._chunks)
        message = {'role': 'assistant', 'content': answer.text}
        choice = {
            'index': 0,
            'message': message,
            'finish_reason': answer.finish_reason,
        }
        body = {
            'id': self._handler.request_id,
            'object': 'chat.completion',
            'model': answer.model or self._model,
            'choices': [choice],
            'usage': {'completion_tokens': answer.tokens},
        }
        self._handler.set_header(_CONTENT_TYPE, _JSON)
        self._handler.set_header(REQUEST_ID_HEADER, self._handler.request_id)
        self._handler.finish(msgspec.json.encode(body))


class ReplySink(HandlerSink):
    """Forwards the whole response of a plain service."""

    __slots__ = ('_job', '_reply')

    def __init__(self, handler: CallerHandler, job: Job) -> None:
        """Start with no response."""
        super().__init__(handler)
        self._job = job
        self._reply: Reply | None = None

    def write_reply(self, reply: Reply) -> None:
        """Store the response; cache it if the request has a key."""
        self._reply = reply
        if self._job.key:
            cached = CachedAnswer(
                status=reply.status,
                content_type=reply.headers.get(_CONTENT_TYPE, _JSON),
                body=reply.body,
            )
            self._handler.context.answer_cache.store(self._job, cached)

    def finish(self) -> None:
        """Send the response."""
        reply = self._reply
        if reply is None:
            return
        self._handler.set_status(reply.status)
        for name, text in _list_forwarded_headers(reply.headers):
            self._handler.add_header(name, text)
        self._handler.set_header(REQUEST_ID_HEADER, self._handler.request_id)
        self._handler.finish(reply.body)


class ChatHandler(CallerHandler):
    """Handles chat completion requests."""

    async def post(self) -> None:
        """Run the request on a model engine."""
        try:
            job = self._build_chat_job()
        except AnvilhallError as error:
            self.refuse(error)
            return
        except asyncio.CancelledError as cancelled:
            self._refuse_fault(cancelled)
            return
        if job.chat and job.chat.stream:
            await self.serve_job(job, StreamSink(self))
        elif job.chat:
            await self.serve_job(job, BufferedSink(self, job.chat.model))

    def _build_chat_job(self) -> Job:
        self.check_body()
        job = self.build_job('')
        if not WIRES.get(job.pool.wire).streams:
            raise UnknownPath(
                f'class {job.class_name} is served by pool '
                f'{job.settings.pool}, which has no chat completions',
            )
        job.chat = ChatBody.from_body(job.body)
        return job


class ServiceHandler(CallerHandler):
    """Handles calls to plain services."""

    async def get(self, name: str, rest: str) -> None:
        """Forward the call to a runner of the service."""
        await self._serve(name, rest)

    async def post(self, name: str, rest: str) -> None:
        """Forward the call to a runner of the service."""
        await self._serve(name, rest)

    async def _serve(self, name: str, rest: str) -> None:
        try:
            job = self._build_service_job(name, rest)
            cached = await self.context.answer_cache.find(job)
        except AnvilhallError as error:
            self.refuse(error)
            return
        except asyncio.CancelledError as cancelled:
            # Only a request that runs is cancelled by this instance.
            self._refuse_fault(cancelled)
            return
        if self._finished or self._caller_left:
            # It was refused, or its caller has left, during the look-up.
            return
        if cached:
            self._send_cached(cached)
        else:
            await self._run_job(job)

    async def _run_job(self, job: Job) -> None:
        with self.context.answer_cache.track_running(job):
            await self.serve_job(job, ReplySink(self, job))

    def _send_cached(self, cached: CachedAnswer) -> None:
        self.set_status(cached.status)
        self.set_header(_CONTENT_TYPE, cached.content_type)
        self.set_header('Anvilhall-Repeated', 'true')
        self.set_header(REQUEST_ID_HEADER, self.request_id)
        self.finish(cached.body)

    def _build_service_job(self, name: str, rest: str) -> Job:
        self.check_body()
        path = rest
        if self.request.query:
            path = f'{rest}?{self.request.query}'
        job = self.build_job(path)
        streams = WIRES.get(job.pool.wire).streams
        if job.settings.pool != name or streams:
            raise UnknownPath(
                f'class {job.class_name} is served by pool '
                f'{job.settings.pool} over {job.pool.wire}, '
                f'not by a plain service {name}',
            )
        return job


class UnknownPathHandler(CallerHandler):
    """Refuses requests to unknown paths."""

    async def get(self) -> None:
        """Send an ``unknown_path`` error."""
        self.refuse(UnknownPath())

    async def post(self) -> None:
        """Send an ``unknown_path`` error."""
        self.refuse(UnknownPath())


def build_caller_app(context: CallerContext) -> Application:
    """Return the tornado application of the callers' interface."""
    arguments: dict[str, Any] = {'context': context}
    return Application(
        [
            ('/v1/chat/completions', ChatHandler, arguments),
            ('/services/([^/]+)/(.*)', ServiceHandler, arguments),
        ],
        default_handler_class=UnknownPathHandler,
        default_handler_args=arguments,
        log_function=_skip_request_log,
    )


def encode_error(error: AnvilhallError, request_id: str) -> bytes:
    """Return the JSON body of an error response."""
    fields = {
        'code': error.code,
        'message': error.reason,
        'outcome': error.outcome.value,
        'request_id': request_id,
        'retry_after_s': error.retry_after_s,
    }
    return msgspec.json.encode({'error': fields})


def _list_forwarded_headers(headers: HTTPHeaders) -> list[tuple[str, str]]:
    return [
        (name, text)
        for name, text in headers.get_all()
        if name.lower() not in _HOP_HEADERS and not name.startswith('X-Http')
    ]


def _skip_request_log(handler: RequestHandler) -> None:
    """Replace tornado's access log, which writes a line per request."""
