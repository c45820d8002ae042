"""The callers' HTTP interface."""

import asyncio
import contextlib
import uuid
from http import HTTPStatus
from typing import Any

import msgspec
from tornado.httputil import HTTPHeaders
from tornado.web import Application, RequestHandler, stream_request_body

from anvilhall.answers import AnswerCache, CachedAnswer
from anvilhall.core.tree import Holder
from anvilhall.events import decode_answer
from anvilhall.exceptions import (
    AnvilhallError,
    BodyTooLarge,
    MalformedRequest,
    UnknownAccount,
    UnknownPath,
)
from anvilhall.execution import Execution, Services
from anvilhall.gate import Gate
from anvilhall.jobs import ChatBody, Job
from anvilhall.outbound import Reply
from anvilhall.upstreams import WIRES

CLASS_HEADER = 'Anvilhall-Class'
DEADLINE_HEADER = 'Anvilhall-Deadline-Seconds'
KEY_HEADER = 'Idempotency-Key'
REQUEST_ID_HEADER = 'Anvilhall-Request-Id'
OUTCOME_HEADER = 'Anvilhall-Outcome'
CODE_HEADER = 'Anvilhall-Error'

_BEARER = 'Bearer '
_JSON = 'application/json'
_EVENT_STREAM = 'text/event-stream'
_CONTENT_TYPE = 'Content-Type'
#: Longest idempotency key, in characters.
_KEY_LIMIT = 255
#: Longest deadline that a caller may ask for, in seconds.
_DEADLINE_LIMIT_S = 86400.0
#: Bytes that may wait for a slow caller before its request is given up.
_UNSENT_LIMIT_BYTES = 8 * 1024 * 1024
#: Headers of a service's response that are not passed on.
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
    """What every handler needs."""

    __slots__ = ('gate', 'services', 'shelf')

    def __init__(
        self,
        gate: Gate,
        services: Services,
        shelf: AnswerCache,
    ) -> None:
        """Bundle them."""
        self.gate = gate
        self.services = services
        self.shelf = shelf


@stream_request_body
class CallerHandler(RequestHandler):
    """Common part of all requests of callers."""

    context: CallerContext
    _holder: Holder
    _task: 'asyncio.Task[None] | None'

    def initialize(self, context: CallerContext) -> None:
        """Take the context from the application."""
        self.context = context
        self._parts: list[bytes] = []
        self._size = 0
        self._admitted = False
        self._task = None
        self._class_name = ''
        self.request_id = uuid.uuid4().hex

    def prepare(self) -> None:
        """Check the head of the request before its body is read."""
        try:
            self._check_head()
        except AnvilhallError as error:
            # The unread body makes the connection useless for more requests.
            self.set_header('Connection', 'close')
            self.refuse(error)

    def data_received(self, chunk: bytes) -> None:
        """Take a part of the body."""
        self._size += len(chunk)
        if self._size <= self.context.gate.tree.guards.body_bytes:
            self._parts.append(chunk)

    def on_connection_close(self) -> None:
        """Stop working for a caller that has gone."""
        if self._task:
            self._task.cancel()

    def on_finish(self) -> None:
        """Count the request as ended."""
        if self._admitted:
            self._admitted = False
            self.context.gate.release()

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Answer with a typed error when tornado or a fault ends a request."""
        error = AnvilhallError()
        if status_code == HTTPStatus.METHOD_NOT_ALLOWED:
            error = UnknownPath('no such method at this path')
        self.refuse(error)

    def refuse(self, error: AnvilhallError) -> None:
        """Answer with an error and end the request."""
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
        """Run a job, and answer with its error if it has one."""
        execution = Execution(job, sink, self.context.services)
        self._task = asyncio.current_task()
        try:
            await execution.run()
        except AnvilhallError as error:
            self._fail(error, sink)
        except asyncio.CancelledError:
            self.context.gate.count_disconnect(self._class_name)
        else:
            sink.finish()

    def build_job(self, job_path: str) -> Job:
        """Describe the request as a job, without its body's fields."""
        gate = self.context.gate
        tree = gate.tree
        named = self.request.headers.get(CLASS_HEADER, '')
        self._class_name = tree.choose_class(
            self._holder,
            named,
            self.request.path,
        )
        job = Job(self.request_id, self._holder.name)
        job.class_name = self._class_name
        job.settings = tree.classes[self._class_name]
        job.pool = tree.pools[job.settings.pool]
        job.key = self._read_key()
        job.path = job_path
        job.method = self.request.method or 'POST'
        job.body = b''.join(self._parts)
        deadline_s = min(self._read_deadline_s(), job.settings.deadline_s)
        job.deadline_at = self.context.services.clock.monotonic() + deadline_s
        gate.count_request(self._class_name)
        return job

    def check_body(self) -> None:
        """Refuse a body that turned out to be too large."""
        limit = self.context.gate.tree.guards.body_bytes
        if self._size > limit:
            raise BodyTooLarge(f'the body exceeds {limit} bytes')

    def _check_head(self) -> None:
        gate = self.context.gate
        gate.admit()
        self._admitted = True
        self._holder = gate.tree.get_holder(self._read_account_key())
        declared = self.request.headers.get('Content-Length', '0')
        limit = gate.tree.guards.body_bytes
        if declared.isdigit() and int(declared) > limit:
            raise BodyTooLarge(f'the body exceeds {limit} bytes')

    def _read_account_key(self) -> str:
        authorization = self.request.headers.get('Authorization', '')
        if not authorization.startswith(_BEARER):
            raise UnknownAccount('no bearer key in the Authorization header')
        return authorization.removeprefix(_BEARER)

    def _read_key(self) -> str:
        key = self.request.headers.get(KEY_HEADER, '')
        if len(key) > _KEY_LIMIT:
            raise MalformedRequest(f'{KEY_HEADER} is too long')
        return key

    def _read_deadline_s(self) -> float:
        text = self.request.headers.get(DEADLINE_HEADER)
        if text is None:
            return _DEADLINE_LIMIT_S
        with contextlib.suppress(ValueError):
            deadline_s = float(text)
            if 0 < deadline_s <= _DEADLINE_LIMIT_S:
                return deadline_s
        raise MalformedRequest(f'{DEADLINE_HEADER} is not a number of seconds')

    def _fail(self, error: AnvilhallError, sink: 'HandlerSink') -> None:
        if sink.begun:
            self.context.gate.count_error(error, self._class_name)
            sink.break_off(error)
        else:
            self.refuse(error)


class HandlerSink:
    """Common part of the ways back to a caller."""

    __slots__ = ('_handler', 'begun')

    def __init__(self, handler: CallerHandler) -> None:
        """Start before the first byte."""
        self._handler = handler
        #: Whether any part of the answer has been sent.
        self.begun = False

    def write_events(self, run: bytes) -> None:
        """Take a run of whole events."""
        raise NotImplementedError

    def write_reply(self, reply: Reply) -> None:
        """Take the whole response of a plain service."""
        raise NotImplementedError

    def finish(self) -> None:
        """End the answer."""
        self._handler.finish()

    def break_off(self, error: AnvilhallError) -> None:
        """End a partly delivered answer with an error."""
        raise NotImplementedError


class StreamSink(HandlerSink):
    """Passes events on as they come."""

    __slots__ = ('_flushing', '_relayed_bytes', '_unsent')

    def __init__(self, handler: CallerHandler) -> None:
        """Start before the first byte."""
        super().__init__(handler)
        self._flushing: asyncio.Future[None] | None = None
        self._unsent = 0
        self._relayed_bytes = 0

    def write_events(self, run: bytes) -> None:
        """Write a run; what gathers while one flush lasts goes in the next."""
        if not self.begun:
            self._begin()
        handler = self._handler
        handler.write(run)
        self._relayed_bytes += len(run)
        if self._flushing is None or self._flushing.done():
            self._unsent = 0
            self._flushing = handler.flush()
        else:
            self._note_backlog(len(run))

    def finish(self) -> None:
        """End the answer."""
        self._count()
        super().finish()

    def break_off(self, error: AnvilhallError) -> None:
        """Send the error as a last event; no event ends the answer."""
        self._count()
        payload = encode_error(error, self._handler.request_id)
        event = b''.join((b'event: error\ndata: ', payload, b'\n\n'))
        self._handler.write(event)
        self._handler.finish()

    def _note_backlog(self, size: int) -> None:
        self._unsent += size
        if self._unsent > _UNSENT_LIMIT_BYTES:
            self._handler.on_connection_close()

    def _count(self) -> None:
        self._handler.context.gate.count_relayed_bytes(self._relayed_bytes)

    def _begin(self) -> None:
        self.begun = True
        handler = self._handler
        handler.set_header(_CONTENT_TYPE, _EVENT_STREAM)
        handler.set_header('Cache-Control', 'no-cache')
        handler.set_header(REQUEST_ID_HEADER, handler.request_id)


class WholeSink(HandlerSink):
    """Collects an engine's events into one JSON answer."""

    __slots__ = ('_model', '_runs')

    def __init__(self, handler: CallerHandler, model: str) -> None:
        """Start empty."""
        super().__init__(handler)
        self._model = model
        self._runs: list[bytes] = []

    def write_events(self, run: bytes) -> None:
        """Keep a run."""
        self._runs.append(run)

    def finish(self) -> None:
        """Send the collected answer."""
        answer = decode_answer(self._runs)
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
    """Passes the whole response of a plain service on."""

    __slots__ = ('_job', '_reply')

    def __init__(self, handler: CallerHandler, job: Job) -> None:
        """Start without a response."""
        super().__init__(handler)
        self._job = job
        self._reply: Reply | None = None

    def write_reply(self, reply: Reply) -> None:
        """Keep the response, also for repeats of its key."""
        self._reply = reply
        if self._job.key:
            kept = CachedAnswer(
                status=reply.status,
                content_type=reply.headers.get(_CONTENT_TYPE, _JSON),
                body=reply.body,
            )
            self._handler.context.shelf.store(self._job, kept)

    def finish(self) -> None:
        """Send the response."""
        reply = self._reply
        if reply is None:
            return
        self._handler.set_status(reply.status)
        for name, text in _list_end_to_end(reply.headers):
            self._handler.add_header(name, text)
        self._handler.set_header(REQUEST_ID_HEADER, self._handler.request_id)
        self._handler.finish(reply.body)


class ChatHandler(CallerHandler):
    """Serves chat completions."""

    async def post(self) -> None:
        """Run one request on a model engine."""
        try:
            job = self._build_chat_job()
        except AnvilhallError as error:
            self.refuse(error)
            return
        if job.chat and job.chat.stream:
            await self.serve_job(job, StreamSink(self))
        elif job.chat:
            await self.serve_job(job, WholeSink(self, job.chat.model))

    def _build_chat_job(self) -> Job:
        self.check_body()
        job = self.build_job('')
        if not WIRES.get(job.pool.wire).streams:
            raise UnknownPath(f'class {job.class_name} serves no chat')
        job.chat = ChatBody.from_body(job.body)
        return job


class ServiceHandler(CallerHandler):
    """Serves calls to plain services."""

    async def get(self, name: str, rest: str) -> None:
        """Run one call."""
        await self._serve(name, rest)

    async def post(self, name: str, rest: str) -> None:
        """Run one call."""
        await self._serve(name, rest)

    async def _serve(self, name: str, rest: str) -> None:
        try:
            job = self._build_service_job(name, rest)
            kept = await self.context.shelf.find(job)
        except AnvilhallError as error:
            self.refuse(error)
            return
        if kept:
            self._repeat(kept)
        else:
            await self._run_once(job)

    async def _run_once(self, job: Job) -> None:
        with self.context.shelf.track_running(job):
            await self.serve_job(job, ReplySink(self, job))

    def _repeat(self, kept: CachedAnswer) -> None:
        self.set_status(kept.status)
        self.set_header(_CONTENT_TYPE, kept.content_type)
        self.set_header('Anvilhall-Repeated', 'true')
        self.set_header(REQUEST_ID_HEADER, self.request_id)
        self.finish(kept.body)

    def _build_service_job(self, name: str, rest: str) -> Job:
        self.check_body()
        path = rest
        if self.request.query:
            path = f'{rest}?{self.request.query}'
        job = self.build_job(path)
        streams = WIRES.get(job.pool.wire).streams
        if job.settings.pool != name or streams:
            raise UnknownPath(
                f'class {job.class_name} is served by {job.settings.pool}, '
                f'not by {name}',
            )
        return job


class MissingHandler(CallerHandler):
    """Answers requests to paths that do not exist."""

    async def get(self) -> None:
        """Refuse."""
        self.refuse(UnknownPath())

    async def post(self) -> None:
        """Refuse."""
        self.refuse(UnknownPath())


def build_caller_app(context: CallerContext) -> Application:
    """Return the application of the callers' interface."""
    arguments: dict[str, Any] = {'context': context}
    return Application(
        [
            ('/v1/chat/completions', ChatHandler, arguments),
            ('/services/([^/]+)/(.*)', ServiceHandler, arguments),
        ],
        default_handler_class=MissingHandler,
        default_handler_args=arguments,
        log_function=_log_nothing,
    )


def encode_error(error: AnvilhallError, request_id: str) -> bytes:
    """Return the JSON that callers get for an error."""
    fields = {
        'code': error.code,
        'message': error.reason,
        'outcome': error.outcome.value,
        'request_id': request_id,
        'retry_after_s': error.retry_after_s,
    }
    return msgspec.json.encode({'error': fields})


def _list_end_to_end(headers: HTTPHeaders) -> list[tuple[str, str]]:
    return [
        (name, text)
        for name, text in headers.get_all()
        if name.lower() not in _HOP_HEADERS and not name.startswith('X-Http')
    ]


def _log_nothing(handler: RequestHandler) -> None:
    """Keep tornado from writing a line for each request."""
