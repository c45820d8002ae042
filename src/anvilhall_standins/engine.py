"""Stand-in for a model engine with continuous batching.

Only one request at a time prefills a chunk, at a fixed rate. The duration of a
decode step grows with the number of running requests. At most ``slots``
requests run; the others wait in a priority queue. The generated text is a
deterministic function of the prompt: tests can check a continued response word
by word.

Faults: ``slow`` multiplies all durations by its amount; ``crash`` ends the
process; ``silent`` stalls all open streams; ``refuse`` and ``leave`` make the
engine answer new requests with 503, ``leave`` for good, ``refuse_late`` after
the seconds of its amount. The amount of the following faults is the number of
responses they affect: ``nothing`` sends no response, ``garbage`` sends HTML,
``half_event`` closes the connection within an event, ``no_end`` omits the final
``[DONE]`` event.

An engine whose ``pause_s`` is set falls silent once in each stream, after
``pause_after`` events, and then goes on.
"""

import asyncio
import contextlib
import hashlib
import heapq
import itertools
import os
from typing import Any

import click
import msgspec
from tornado.iostream import StreamClosedError
from tornado.web import Application, RequestHandler

from anvilhall.upstreams import VERSION_HEADER
from anvilhall_standins.serving import (
    FaultHandler,
    Faults,
    serve_until_signal,
    suppress_access_log,
    write_json,
)

_UNAVAILABLE = 503
_BYTES_PER_TOKEN = 4
_MS_PER_S = 1000.0
_VOCABULARY_SIZE = 997
#: Most prompt tokens in one prefill chunk.
_CHUNK_TOKENS = 512
_HANG_S = 3600.0


class ChatRequest(msgspec.Struct):
    """The fields of a chat-completions body that the engine uses."""

    messages: list[dict[str, Any]]
    max_tokens: int = 32
    priority: int = 0
    continue_final_message: bool = False


class EngineModel(msgspec.Struct, frozen=True):
    """Speed and capacity of an engine."""

    slots: int = 16
    prefill_tokens_per_s: float = 6000.0
    step_base_ms: float = 20.0
    step_per_stream_ms: float = 1.0


class Engine:
    """Slots, the queue of waiting requests, and counters."""

    __slots__ = (
        '_prefill',
        '_queue',
        '_sequence',
        'cancelled',
        'begun',
        'faults',
        'leaving',
        'model',
        'pause_after',
        'pause_s',
        'running',
        'spans',
        'started',
        'version',
    )

    def __init__(self, model: EngineModel, version: str = '') -> None:
        """Create an idle engine.

        :param version: software version that the responses name.
        """
        self.model = model
        self.version = version
        self.faults = Faults()
        self.leaving = False
        #: Duration in seconds of a pause in each stream; 0: no pause.
        self.pause_s = 0.0
        #: Events that the engine sends on a stream before the pause.
        self.pause_after = 0
        #: Of each request that ended, its identifier, the loop times between
        #: which it had a slot, and that of its first event, if any.
        self.spans: list[tuple[str, float, float, float | None]] = []
        #: Loop time of the first event of the running requests, by identifier.
        self.begun: dict[str, float] = {}
        #: Cancellation events of the running requests, by request identifier.
        self.running: dict[str, asyncio.Event] = {}
        #: Identifiers of all requests ever started, in order.
        self.started: list[str] = []
        #: Loop time of each cancellation, by request identifier.
        self.cancelled: dict[str, float] = {}
        self._queue: list[tuple[int, int, asyncio.Future[None]]] = []
        self._sequence = itertools.count()
        self._prefill = asyncio.Lock()

    @property
    def waiting(self) -> int:
        """Number of requests that wait for a slot."""
        return len(self._queue)

    async def acquire_slot(
        self, request_id: str, priority: int
    ) -> asyncio.Event:
        """Wait for a free slot and take it.

        :return: event that is set when the request is cancelled.
        """
        while len(self.running) >= self.model.slots:
            granted = asyncio.get_running_loop().create_future()
            entry = (priority, next(self._sequence), granted)
            heapq.heappush(self._queue, entry)
            await granted
        cancellation = asyncio.Event()
        self.running[request_id] = cancellation
        self.started.append(request_id)
        return cancellation

    def release_slot(self, request_id: str) -> None:
        """Free the slot of a request and wake the next waiting request."""
        self.running.pop(request_id, None)
        while self._queue:
            granted = heapq.heappop(self._queue)[2]
            if not granted.done():
                granted.set_result(None)
                return

    def cancel(self, request_id: str) -> None:
        """Cancel a running request; does nothing for any other request."""
        cancellation = self.running.get(request_id)
        if cancellation:
            cancellation.set()

    def record_cancellation(self, request_id: str) -> None:
        """Record when a cancelled or disconnected request stopped."""
        now = asyncio.get_running_loop().time()
        self.cancelled.setdefault(request_id, now)

    async def prefill(self, tokens: int) -> None:
        """Wait as long as the prefill of a prompt takes."""
        remaining = tokens
        while remaining > 0:
            async with self._prefill:
                chunk = min(remaining, _CHUNK_TOKENS)
                await asyncio.sleep(
                    chunk / self.model.prefill_tokens_per_s * self.slowdown,
                )
            remaining -= chunk

    async def pause(self, count: int, cancellation: asyncio.Event) -> None:
        """Pause if this many events of a stream were sent, unless cancelled."""
        if count != self.pause_after or not self.pause_s:
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self.pause_s):
                await cancellation.wait()

    async def step(self) -> None:
        """Wait for the duration of one decode step."""
        model = self.model
        step_ms = model.step_base_ms + (
            model.step_per_stream_ms * len(self.running)
        )
        await asyncio.sleep(step_ms / _MS_PER_S * self.slowdown)

    @property
    def slowdown(self) -> float:
        """Factor by which all durations are multiplied."""
        return self.faults.get('slow') or 1.0


class ChatHandler(RequestHandler):
    """Streams a response as server-sent events."""

    def initialize(self, engine: Engine) -> None:
        """Store the engine and the request identifier."""
        self._engine = engine
        self._request_id = self.request.headers.get('X-Request-Id', '')

    def on_connection_close(self) -> None:
        """Cancel the request when the client disconnects."""
        self._engine.cancel(self._request_id)

    async def post(self) -> None:
        """Handle one chat-completions request."""
        engine = self._engine
        late_s = engine.faults.get('refuse_late')
        await asyncio.sleep(late_s)
        if engine.leaving or late_s or engine.faults.get('refuse'):
            self.set_status(_UNAVAILABLE)
            self.finish()
            return
        body = msgspec.json.decode(self.request.body, type=ChatRequest)
        cancellation = await engine.acquire_slot(
            self._request_id, body.priority
        )
        loop = asyncio.get_running_loop()
        began = loop.time()
        try:
            await self._generate(body, cancellation)
        except StreamClosedError:
            engine.record_cancellation(self._request_id)
        finally:
            engine.release_slot(self._request_id)
            first = engine.begun.pop(self._request_id, None)
            engine.spans.append((self._request_id, began, loop.time(), first))

    async def _generate(
        self, body: ChatRequest, cancellation: asyncio.Event
    ) -> None:
        engine = self._engine
        self.set_header('Content-Type', 'text/event-stream')
        if engine.version:
            self.set_header(VERSION_HEADER, engine.version)
        if engine.faults.consume('nothing'):
            await asyncio.sleep(_HANG_S)
        if engine.faults.consume('garbage'):
            self.finish('<html>not an answer</html>')
            return
        size = sum(len(msgspec.json.encode(part)) for part in body.messages)
        await engine.prefill(size // _BYTES_PER_TOKEN)
        seed, already_generated = read_prompt(body)
        for index in range(
            already_generated, already_generated + body.max_tokens
        ):
            await engine.step()
            await engine.pause(index - already_generated, cancellation)
            if cancellation.is_set():
                engine.record_cancellation(self._request_id)
                self.finish()
                return
            if engine.faults.get('silent'):
                await asyncio.sleep(_HANG_S)
            await self._send_event(
                make_word(seed, index), body, index - already_generated
            )
        await self._finish_stream()

    async def _send_event(
        self, word: str, body: ChatRequest, count: int
    ) -> None:
        last = count == body.max_tokens - 1
        event = encode_event(
            self._request_id, word, last=last, version=self._engine.version
        )
        if self._engine.faults.consume('half_event'):
            self.write(event[: len(event) // 2])
            await self.flush()
            self.request.connection.detach().close()  # type: ignore[union-attr]
            raise StreamClosedError
        self.write(event)
        now = asyncio.get_running_loop().time()
        self._engine.begun.setdefault(self._request_id, now)
        await self.flush()

    async def _finish_stream(self) -> None:
        if self._engine.faults.consume('no_end'):
            self.finish()
            return
        self.finish(b'data: [DONE]\n\n')


class CancelHandler(RequestHandler):
    """Cancels a running request."""

    def initialize(self, engine: Engine) -> None:
        """Store the engine."""
        self._engine = engine

    def post(self, request_id: str) -> None:
        """Cancel the request in the path."""
        self._engine.cancel(request_id)


class LoadHandler(RequestHandler):
    """Reports the load and, for tests, started and cancelled requests."""

    def initialize(self, engine: Engine) -> None:
        """Store the engine."""
        self._engine = engine

    def get(self) -> None:
        """Return the load report."""
        engine = self._engine
        write_json(
            self,
            {
                'running': len(engine.running),
                'waiting': engine.waiting,
                'leaving': engine.leaving,
                'started': engine.started,
                'cancelled': engine.cancelled,
            },
        )


class EngineFaultHandler(FaultHandler):
    """Starts faults; ``crash`` ends the process."""

    def initialize(self, engine: Engine) -> None:  # type: ignore[override]
        """Store the engine and its faults."""
        super().initialize(engine.faults)
        self._engine = engine

    def post(self) -> None:
        """Start the fault described in the request body."""
        super().post()
        if self._engine.faults.get('leave'):
            self._engine.leaving = True
        if self._engine.faults.get('crash'):
            os._exit(1)


def read_prompt(body: ChatRequest) -> tuple[int, int]:
    """Return the seed of a prompt and the number of words already generated.

    A request that continues its final message has that message's words already.
    """
    messages = body.messages
    done = 0
    if body.continue_final_message:
        done = len(str(messages[-1]['content']).split())
        messages = messages[:-1]
    digest = hashlib.blake2b(msgspec.json.encode(messages), digest_size=4)
    return int.from_bytes(digest.digest()), done


def make_word(seed: int, index: int) -> str:
    """Return the word at an index of the response to a seed."""
    return f'w{(seed + index * index) % _VOCABULARY_SIZE} '


def encode_event(
    request_id: str, word: str, *, last: bool, version: str = ''
) -> bytes:
    """Encode one server-sent event of a response."""
    choice = {
        'index': 0,
        'delta': {'content': word},
        'finish_reason': 'stop' if last else None,
    }
    event = {
        'id': request_id,
        'object': 'chat.completion.chunk',
        'model': 'stand-in',
        'system_fingerprint': version or None,
        'choices': [choice],
    }
    return b''.join((b'data: ', msgspec.json.encode(event), b'\n\n'))


def build_engine_app(engine: Engine) -> Application:
    """Build the web application of an engine."""
    arguments = {'engine': engine}
    return Application(
        [
            ('/v1/chat/completions', ChatHandler, arguments),
            ('/v1/requests/([^/]+)/cancel', CancelHandler, arguments),
            ('/load', LoadHandler, arguments),
            ('/fault', EngineFaultHandler, arguments),
        ],
        log_function=suppress_access_log,
    )


@click.command()
@click.option('--port', type=int, required=True)
@click.option('--slots', type=int, default=16, show_default=True)
@click.option('--step-ms', type=float, default=20, show_default=True)
def run_engine(port: int, slots: int, step_ms: float) -> None:
    """Run a model engine on the loopback interface."""
    model = EngineModel(slots=slots, step_base_ms=step_ms)
    application = build_engine_app(Engine(model))
    asyncio.run(serve_until_signal(application, port))


if __name__ == '__main__':
    run_engine()
