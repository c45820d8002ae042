"""Simulated model engine and plain service for the virtual event loop.

The model engine uses continuous batching: each iteration processes one chunk of
prefill and one decode step of every stream. A long prefill therefore slows all
streams. Prompt prefixes are cached with least-recently-used eviction.
"""

import asyncio
import collections
import heapq
import itertools
from collections.abc import Callable

import msgspec

from anvilhall.outbound import Call
from anvilhall_standins.engine import (
    ChatRequest,
    encode_event,
    make_word,
    read_prompt,
)

_DONE = b'data: [DONE]\n\n'
_MS_PER_S = 1000.0
_HTTP_OK = 200
_HTTP_UNAVAILABLE = 503
#: Most prompt tokens processed in one iteration.
_CHUNK_TOKENS = 512
_BYTES_PER_TOKEN = 4
_UNLIMITED = 1 << 30


class RunnerModel(msgspec.Struct, frozen=True):
    """Speed and capacity, as in the header of a trace."""

    slots: int = 16
    prefill_tokens_s: float = 6000.0
    step_base_ms: float = 20.0
    step_per_stream_ms: float = 1.0
    cache_tokens: int = 200_000


class _Stream:
    """One running request."""

    __slots__ = (
        'ended',
        'limit',
        'prefill_remaining',
        'prefix',
        'prefix_tokens',
        'request_id',
        'seed',
        'sink',
        'word_index',
    )

    def __init__(
        self,
        request_id: str,
        body: ChatRequest,
        sink: Callable[[bytes], None],
        length: int,
    ) -> None:
        loop = asyncio.get_running_loop()
        self.request_id = request_id
        self.sink = sink
        seed, generated = read_prompt(body)
        self.seed = seed
        self.word_index = generated
        self.limit = min(
            generated + body.max_tokens, max(length, generated + 1)
        )
        self.ended: asyncio.Future[int] = loop.create_future()
        sizes = [len(msgspec.json.encode(part)) for part in body.messages]
        self.prefill_remaining = float(sum(sizes) // _BYTES_PER_TOKEN)
        self.prefix = ''
        self.prefix_tokens = 0
        if len(sizes) > 1:
            self.prefix = str(body.messages[0].get('content'))[:64]
            self.prefix_tokens = sizes[0] // _BYTES_PER_TOKEN


class ModelRunner:
    """One simulated model engine."""

    __slots__ = (
        '_cache',
        '_loop_running',
        '_queue',
        '_sequence',
        '_streams',
        'decoded_tokens',
        'leaving',
        'lengths',
        'model',
        'prefilled_tokens',
        'prefilled_tokens_by_request',
        'slowdown',
        'started',
        'up',
    )

    def __init__(self, model: RunnerModel) -> None:
        """Create an idle engine."""
        self.model = model
        self.up = True
        self.leaving = False
        self.slowdown = 1.0
        #: Tokens prefilled and decoded so far; replays compute the share of
        #: wasted work from them.
        self.prefilled_tokens = 0.0
        self.decoded_tokens = 0
        self.prefilled_tokens_by_request: dict[str, float] = {}
        #: Identifiers of all requests ever started, in order.
        self.started: list[str] = []
        #: Length of the response in tokens, by request identifier. Other
        #: requests are answered with ``max_tokens``.
        self.lengths: dict[str, int] = {}
        self._streams: list[_Stream] = []
        self._queue: list[tuple[int, int, _Stream]] = []
        self._sequence = itertools.count()
        self._loop_running = False
        self._cache: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )

    @property
    def running(self) -> int:
        """Number of requests that hold a slot."""
        return len(self._streams)

    @property
    def waiting(self) -> int:
        """Number of requests that wait for a slot."""
        return len(self._queue)

    def is_open(self) -> bool:
        """Return whether the engine accepts connections."""
        return self.up

    def crash(self) -> None:
        """Break all connections and clear the queue and the prefix cache."""
        self.up = False
        for stream in (*self._streams, *(entry[2] for entry in self._queue)):
            if not stream.ended.done():
                stream.ended.set_exception(ConnectionError('runner crashed'))
        self._streams = []
        self._queue = []
        self._cache.clear()

    async def handle(self, call: Call, sink: Callable[[bytes], None]) -> int:
        """Handle a call: a chat completion, a cancellation or a load report."""
        if call.url.endswith('/cancel'):
            return _HTTP_OK
        if call.url.endswith('/load'):
            sink(self._encode_load())
            return _HTTP_OK
        if self.leaving:
            return _HTTP_UNAVAILABLE
        body = msgspec.json.decode(call.body or b'', type=ChatRequest)
        request_id = call.headers['X-Request-Id']
        length = self.lengths.get(request_id, _UNLIMITED)
        stream = _Stream(request_id, body, sink, length)
        heapq.heappush(
            self._queue,
            (body.priority, next(self._sequence), stream),
        )
        self._ensure_loop()
        try:
            return await stream.ended
        finally:
            self._remove(stream)

    def _encode_load(self) -> bytes:
        return msgspec.json.encode(
            {
                'running': self.running,
                'waiting': self.waiting,
                'leaving': self.leaving,
            },
        )

    def _remove(self, stream: _Stream) -> None:
        if stream in self._streams:
            self._streams.remove(stream)
        self._queue = [entry for entry in self._queue if entry[2] is not stream]
        heapq.heapify(self._queue)

    def _ensure_loop(self) -> None:
        if not self._loop_running:
            self._loop_running = True
            asyncio.ensure_future(self._run())

    async def _run(self) -> None:
        try:
            while self._streams or self._queue:
                self._fill_slots()
                await self._run_iteration()
        finally:
            self._loop_running = False

    def _fill_slots(self) -> None:
        while self._queue and len(self._streams) < self.model.slots:
            stream = heapq.heappop(self._queue)[2]
            self.started.append(stream.request_id)
            self._use_cache(stream)
            self._streams.append(stream)

    async def _run_iteration(self) -> None:
        """Process one chunk of prefill and one decode step."""
        decoding = [
            stream for stream in self._streams if stream.prefill_remaining <= 0
        ]
        chunk = self._advance_prefill()
        iteration_s = chunk / self.model.prefill_tokens_s
        if decoding:
            step_ms = self.model.step_base_ms + (
                self.model.step_per_stream_ms * len(decoding)
            )
            iteration_s += step_ms / _MS_PER_S
        await asyncio.sleep(iteration_s * self.slowdown)
        for stream in decoding:
            if stream in self._streams:
                self._emit(stream)

    def _advance_prefill(self) -> float:
        remaining = float(_CHUNK_TOKENS)
        for stream in self._streams:
            taken = min(remaining, max(0.0, stream.prefill_remaining))
            stream.prefill_remaining -= taken
            self._count_prefill(stream, taken)
            remaining -= taken
        return _CHUNK_TOKENS - remaining

    def _count_prefill(self, stream: _Stream, taken: float) -> None:
        self.prefilled_tokens += taken
        before = self.prefilled_tokens_by_request.get(stream.request_id, 0)
        self.prefilled_tokens_by_request[stream.request_id] = before + taken

    def _emit(self, stream: _Stream) -> None:
        self.decoded_tokens += 1
        word = make_word(stream.seed, stream.word_index)
        stream.word_index += 1
        last = stream.word_index >= stream.limit
        event = encode_event(stream.request_id, word, last=last)
        if last:
            event = b''.join((event, _DONE))
        stream.sink(event)
        if last and not stream.ended.done():
            stream.ended.set_result(_HTTP_OK)
            self._streams.remove(stream)

    def _use_cache(self, stream: _Stream) -> None:
        if not stream.prefix:
            return
        cached = self._cache.pop(stream.prefix, 0)
        stream.prefill_remaining -= min(cached, stream.prefix_tokens)
        self._cache[stream.prefix] = stream.prefix_tokens
        while sum(self._cache.values()) > self.model.cache_tokens:
            self._cache.popitem(last=False)


class ServiceRunner:
    """One simulated plain service.

    The last part of the path is the duration of the work in milliseconds.
    """

    __slots__ = ('_slots', 'responses_to_drop', 'runs', 'slowdown', 'up')

    def __init__(self, slots: int) -> None:
        """Create an idle service with a number of slots."""
        self._slots = asyncio.Semaphore(slots)
        self.up = True
        self.slowdown = 1.0
        #: Number of calls that will take effect but whose responses are lost.
        self.responses_to_drop = 0
        #: Idempotency key, or else request identifier, of each call that ran.
        self.runs: list[str] = []

    def is_open(self) -> bool:
        """Return whether the service accepts connections."""
        return self.up

    async def handle(self, call: Call, sink: Callable[[bytes], None]) -> int:
        """Handle a call and record that it ran."""
        key = call.headers.get('Idempotency-Key')
        self.runs.append(key or call.headers.get('X-Request-Id', ''))
        work_ms = float(call.url.rpartition('/')[2] or 0)
        async with self._slots:
            await asyncio.sleep(work_ms / _MS_PER_S * self.slowdown)
        if self.responses_to_drop > 0 or not self.up:
            self.responses_to_drop -= 1
            raise ConnectionError('connection closed before the response')
        sink(b'{"ran": true}')
        return _HTTP_OK
