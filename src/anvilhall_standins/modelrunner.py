"""A model runner and a service runner on virtual time.

The model runner batches continuously: one loop takes a chunk of prefill and a
decode step for every stream by turns, so that a long prefill slows every
stream beside it. Prompt prefixes are cached, least recently used dropped first.
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
#: Prompt tokens taken between two decode steps.
_CHUNK_TOKENS = 512
_BYTES_PER_TOKEN = 4
_UNLIMITED = 1 << 30


class RunnerModel(msgspec.Struct, frozen=True):
    """Speeds and sizes, as in the header of a trace."""

    slots: int = 16
    prefill_tokens_s: float = 6000.0
    step_base_ms: float = 20.0
    step_per_stream_ms: float = 1.0
    cache_tokens: int = 200_000


class _Stream:
    """One running request."""

    __slots__ = (
        'done',
        'ended',
        'limit',
        'prefill_left',
        'prefix',
        'prefix_tokens',
        'request_id',
        'seed',
        'sink',
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
        seed, done = read_prompt(body)
        self.seed = seed
        self.done = done
        self.limit = min(done + body.max_tokens, max(length, done + 1))
        self.ended: asyncio.Future[int] = loop.create_future()
        sizes = [len(msgspec.json.encode(part)) for part in body.messages]
        self.prefill_left = float(sum(sizes) // _BYTES_PER_TOKEN)
        self.prefix = ''
        self.prefix_tokens = 0
        if len(sizes) > 1:
            self.prefix = str(body.messages[0].get('content'))[:64]
            self.prefix_tokens = sizes[0] // _BYTES_PER_TOKEN


class ModelRunner:
    """One engine."""

    __slots__ = (
        '_cache',
        '_line',
        '_loop_running',
        '_sequence',
        '_streams',
        'leaving',
        'lengths',
        'model',
        'prefilled_tokens_by_request',
        'prefilled_tokens',
        'slowdown',
        'started',
        'decoded_tokens',
        'up',
    )

    def __init__(self, model: RunnerModel) -> None:
        """Start idle."""
        self.model = model
        self.up = True
        self.leaving = False
        self.slowdown = 1.0
        #: Tokens read and made so far, for the measure of wasted work.
        self.prefilled_tokens = 0.0
        self.decoded_tokens = 0
        self.prefilled_tokens_by_request: dict[str, float] = {}
        #: Identifiers of the requests started, in order.
        self.started: list[str] = []
        #: Tokens of the answers by request, where they are not the most that
        #: the caller accepts.
        self.lengths: dict[str, int] = {}
        self._streams: list[_Stream] = []
        self._line: list[tuple[int, int, _Stream]] = []
        self._sequence = itertools.count()
        self._loop_running = False
        self._cache: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )

    @property
    def running(self) -> int:
        """Requests with a slot."""
        return len(self._streams)

    @property
    def waiting(self) -> int:
        """Requests in the line."""
        return len(self._line)

    def is_open(self) -> bool:
        """Return whether the runner accepts connections."""
        return self.up

    def crash(self) -> None:
        """Break all connections and forget everything."""
        self.up = False
        for stream in (*self._streams, *(entry[2] for entry in self._line)):
            if not stream.ended.done():
                stream.ended.set_exception(ConnectionError('runner crashed'))
        self._streams = []
        self._line = []
        self._cache.clear()

    async def handle(self, call: Call, sink: Callable[[bytes], None]) -> int:
        """Answer a call."""
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
            self._line,
            (body.priority, next(self._sequence), stream),
        )
        self._wake()
        try:
            return await stream.ended
        finally:
            self._drop(stream)

    def _encode_load(self) -> bytes:
        return msgspec.json.encode(
            {
                'running': self.running,
                'waiting': self.waiting,
                'leaving': self.leaving,
            },
        )

    def _drop(self, stream: _Stream) -> None:
        if stream in self._streams:
            self._streams.remove(stream)
        self._line = [entry for entry in self._line if entry[2] is not stream]
        heapq.heapify(self._line)

    def _wake(self) -> None:
        if not self._loop_running:
            self._loop_running = True
            asyncio.ensure_future(self._run())

    async def _run(self) -> None:
        try:
            while self._streams or self._line:
                self._fill_slots()
                await self._turn()
        finally:
            self._loop_running = False

    def _fill_slots(self) -> None:
        while self._line and len(self._streams) < self.model.slots:
            stream = heapq.heappop(self._line)[2]
            self.started.append(stream.request_id)
            self._use_cache(stream)
            self._streams.append(stream)

    async def _turn(self) -> None:
        """Take one chunk of prefill and one decode step."""
        decoding = [
            stream for stream in self._streams if stream.prefill_left <= 0
        ]
        chunk = self._take_prefill()
        turn_s = chunk / self.model.prefill_tokens_s
        if decoding:
            step_ms = self.model.step_base_ms + (
                self.model.step_per_stream_ms * len(decoding)
            )
            turn_s += step_ms / _MS_PER_S
        await asyncio.sleep(turn_s * self.slowdown)
        for stream in decoding:
            if stream in self._streams:
                self._emit(stream)

    def _take_prefill(self) -> float:
        left = float(_CHUNK_TOKENS)
        for stream in self._streams:
            taken = min(left, max(0.0, stream.prefill_left))
            stream.prefill_left -= taken
            self._count_prefill(stream, taken)
            left -= taken
        return _CHUNK_TOKENS - left

    def _count_prefill(self, stream: _Stream, taken: float) -> None:
        self.prefilled_tokens += taken
        before = self.prefilled_tokens_by_request.get(stream.request_id, 0)
        self.prefilled_tokens_by_request[stream.request_id] = before + taken

    def _emit(self, stream: _Stream) -> None:
        self.decoded_tokens += 1
        word = make_word(stream.seed, stream.done)
        stream.done += 1
        last = stream.done >= stream.limit
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
        stream.prefill_left -= min(cached, stream.prefix_tokens)
        self._cache[stream.prefix] = stream.prefix_tokens
        while sum(self._cache.values()) > self.model.cache_tokens:
            self._cache.popitem(last=False)


class ServiceRunner:
    """One plain service; the path ends in the milliseconds of work."""

    __slots__ = ('_slots', 'responses_to_drop', 'runs', 'slowdown', 'up')

    def __init__(self, slots: int) -> None:
        """Start idle."""
        self._slots = asyncio.Semaphore(slots)
        self.up = True
        self.slowdown = 1.0
        #: Answers still to be lost after the call took effect.
        self.responses_to_drop = 0
        #: Keys, or identifiers where there is none, of calls that ran.
        self.runs: list[str] = []

    def is_open(self) -> bool:
        """Return whether the service accepts connections."""
        return self.up

    async def handle(self, call: Call, sink: Callable[[bytes], None]) -> int:
        """Answer a call."""
        name = call.headers.get('Idempotency-Key')
        self.runs.append(name or call.headers.get('X-Request-Id', ''))
        work_ms = float(call.url.rpartition('/')[2] or 0)
        async with self._slots:
            await asyncio.sleep(work_ms / _MS_PER_S * self.slowdown)
        if self.responses_to_drop > 0 or not self.up:
            self.responses_to_drop -= 1
            raise ConnectionError('the answer was lost')
        sink(b'{"ran": true}')
        return _HTTP_OK
