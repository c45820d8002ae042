"""Stand-in for a model engine that batches continuously.

Prefill is taken in turns at a fixed rate and slows the streams beside it; a
step takes longer with more streams; at most ``slots`` requests run, the others
wait by priority. The text is a fixed function of the prompt, so that a
continued answer can be checked word by word.

Faults: ``slow`` multiplies all times by its amount; ``crash`` ends the process;
``silent`` stops the streams that are open; ``garbage``, ``half_event``,
``no_end`` and ``nothing`` spoil that many answers; ``refuse`` refuses work.
"""

import asyncio
import hashlib
import heapq
import itertools
import os
from typing import Any

import click
import msgspec
from tornado.iostream import StreamClosedError
from tornado.web import Application, RequestHandler

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
_WORDS = 997
#: Prompt tokens taken between two decode steps.
_CHUNK_TOKENS = 512
_HANG_S = 3600.0


class ChatRequest(msgspec.Struct):
    """The fields of a chat-completions body that matter here."""

    messages: list[dict[str, Any]]
    max_tokens: int = 32
    priority: int = 0
    continue_final_message: bool = False


class EngineModel(msgspec.Struct, frozen=True):
    """Speeds and sizes of an engine."""

    slots: int = 16
    prefill_tokens_per_s: float = 6000.0
    step_base_ms: float = 20.0
    step_per_stream_ms: float = 1.0


class Engine:
    """Slots, the line before them, and counters."""

    __slots__ = (
        '_line',
        '_prefill',
        '_sequence',
        'cancelled',
        'faults',
        'leaving',
        'model',
        'running',
        'started',
    )

    def __init__(self, model: EngineModel) -> None:
        """Start idle."""
        self.model = model
        self.faults = Faults()
        self.leaving = False
        #: Running requests by identifier; the value is set on cancellation.
        self.running: dict[str, asyncio.Event] = {}
        #: Identifiers of all requests ever started, in order.
        self.started: list[str] = []
        #: Loop times of cancellations by identifier.
        self.cancelled: dict[str, float] = {}
        self._line: list[tuple[int, int, asyncio.Future[None]]] = []
        self._sequence = itertools.count()
        self._prefill = asyncio.Lock()

    @property
    def waiting(self) -> int:
        """Requests in the line."""
        return len(self._line)

    async def enter(self, request_id: str, priority: int) -> asyncio.Event:
        """Wait for a slot and take it."""
        while len(self.running) >= self.model.slots:
            turn = asyncio.get_running_loop().create_future()
            entry = (priority, next(self._sequence), turn)
            heapq.heappush(self._line, entry)
            await turn
        stop = asyncio.Event()
        self.running[request_id] = stop
        self.started.append(request_id)
        return stop

    def leave(self, request_id: str) -> None:
        """Give a slot back."""
        self.running.pop(request_id, None)
        while self._line:
            turn = heapq.heappop(self._line)[2]
            if not turn.done():
                turn.set_result(None)
                return

    def cancel(self, request_id: str) -> None:
        """Stop a running request."""
        stop = self.running.get(request_id)
        if stop:
            stop.set()

    def note_cancelled(self, request_id: str) -> None:
        """Remember when a request was stopped."""
        now = asyncio.get_running_loop().time()
        self.cancelled.setdefault(request_id, now)

    async def prefill(self, tokens: int) -> None:
        """Take the time that reading a prompt takes."""
        left = tokens
        while left > 0:
            async with self._prefill:
                chunk = min(left, _CHUNK_TOKENS)
                await asyncio.sleep(
                    chunk / self.model.prefill_tokens_per_s * self.slowdown,
                )
            left -= chunk

    async def step(self) -> None:
        """Take the time of one decode step."""
        model = self.model
        step_ms = model.step_base_ms + (
            model.step_per_stream_ms * len(self.running)
        )
        await asyncio.sleep(step_ms / _MS_PER_S * self.slowdown)

    @property
    def slowdown(self) -> float:
        """Factor on all times."""
        return self.faults.get('slow') or 1.0


class ChatHandler(RequestHandler):
    """Generates an answer as server-sent events."""

    def initialize(self, engine: Engine) -> None:
        """Take the engine from the application."""
        self._engine = engine
        self._request_id = self.request.headers.get('X-Request-Id', '')

    def on_connection_close(self) -> None:
        """Stop working when the other side hangs up."""
        self._engine.cancel(self._request_id)

    async def post(self) -> None:
        """Answer one request."""
        engine = self._engine
        if engine.leaving or engine.faults.get('refuse'):
            self.set_status(_UNAVAILABLE)
            self.finish()
            return
        body = msgspec.json.decode(self.request.body, type=ChatRequest)
        stop = await engine.enter(self._request_id, body.priority)
        try:
            await self._generate(body, stop)
        except StreamClosedError:
            engine.note_cancelled(self._request_id)
        finally:
            engine.leave(self._request_id)

    async def _generate(self, body: ChatRequest, stop: asyncio.Event) -> None:
        engine = self._engine
        self.set_header('Content-Type', 'text/event-stream')
        if engine.faults.consume('nothing'):
            await asyncio.sleep(_HANG_S)
        if engine.faults.consume('garbage'):
            self.finish('<html>not an answer</html>')
            return
        size = sum(len(msgspec.json.encode(part)) for part in body.messages)
        await engine.prefill(size // _BYTES_PER_TOKEN)
        seed, done = read_prompt(body)
        for index in range(done, done + body.max_tokens):
            await engine.step()
            if stop.is_set():
                engine.note_cancelled(self._request_id)
                self.finish()
                return
            if engine.faults.get('silent'):
                await asyncio.sleep(_HANG_S)
            await self._send_word(make_word(seed, index), body, index - done)
        await self._end()

    async def _send_word(
        self, word: str, body: ChatRequest, count: int
    ) -> None:
        last = count == body.max_tokens - 1
        event = encode_event(self._request_id, word, last=last)
        if self._engine.faults.consume('half_event'):
            self.write(event[: len(event) // 2])
            await self.flush()
            self.request.connection.detach().close()  # type: ignore[union-attr]
            raise StreamClosedError
        self.write(event)
        await self.flush()

    async def _end(self) -> None:
        if self._engine.faults.consume('no_end'):
            self.finish()
            return
        self.finish(b'data: [DONE]\n\n')


class CancelHandler(RequestHandler):
    """Cancels a running request."""

    def initialize(self, engine: Engine) -> None:
        """Take the engine from the application."""
        self._engine = engine

    def post(self, request_id: str) -> None:
        """Cancel."""
        self._engine.cancel(request_id)


class LoadHandler(RequestHandler):
    """Tells the load, and for tests what was started and cancelled."""

    def initialize(self, engine: Engine) -> None:
        """Take the engine from the application."""
        self._engine = engine

    def get(self) -> None:
        """Answer with the counters."""
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
    """Starts faults; a crash ends the process."""

    def initialize(self, engine: Engine) -> None:  # type: ignore[override]
        """Take the engine from the application."""
        super().initialize(engine.faults)
        self._engine = engine

    def post(self) -> None:
        """Start the fault in the body."""
        super().post()
        if self._engine.faults.get('leave'):
            self._engine.leaving = True
        if self._engine.faults.get('crash'):
            os._exit(1)


def read_prompt(body: ChatRequest) -> tuple[int, int]:
    """Return the seed of a prompt and the words of it already answered."""
    messages = body.messages
    done = 0
    if body.continue_final_message:
        done = len(str(messages[-1]['content']).split())
        messages = messages[:-1]
    digest = hashlib.blake2b(msgspec.json.encode(messages), digest_size=4)
    return int.from_bytes(digest.digest()), done


def make_word(seed: int, index: int) -> str:
    """Return one word of an answer."""
    return f'w{(seed + index * index) % _WORDS} '


def encode_event(request_id: str, word: str, *, last: bool) -> bytes:
    """Return one event of an answer."""
    choice = {
        'index': 0,
        'delta': {'content': word},
        'finish_reason': 'stop' if last else None,
    }
    event = {
        'id': request_id,
        'object': 'chat.completion.chunk',
        'model': 'stand-in',
        'choices': [choice],
    }
    return b''.join((b'data: ', msgspec.json.encode(event), b'\n\n'))


def build_engine_app(engine: Engine) -> Application:
    """Return the application of an engine."""
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
    """Run a model engine on loopback."""
    model = EngineModel(slots=slots, step_base_ms=step_ms)
    application = build_engine_app(Engine(model))
    asyncio.run(serve_until_signal(application, port))


if __name__ == '__main__':
    run_engine()
