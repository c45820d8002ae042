"""Callers that read more slowly than their runners send."""

import asyncio
import contextlib
import tracemalloc

import pytest
from msgspec import structs

from tests.cluster import Cluster, build_chat
from tests.endless import EVENT, HEAD, EndlessServer
from tests.rawcaller import RawCaller
from tests.site import (
    HOST,
    KEY,
    ROUTES,
    make_manifest,
    run_site,
    wait_until,
)

_ANSWER_BYTES = 12_000_000
_SPEED_BYTES_PER_S = 2_000_000
_DEADLINE_S = 20.0
#: Memory for each caller that does not read its answer.
_MEMORY_BYTES = 512 * 1024
_CALLERS = 200
#: Longer than a stream may stay without an event.
_PAUSE_S = 2.0
#: Time limit of requests that their callers do not read.
_LIMIT_S = 1.6
#: Seconds within which a stopped instance must have ended.
_GRACE_S = 4.0


class _LargeServer(EndlessServer):
    """Sends answers of a size, as fast as they are read."""

    def __init__(self, kind, size=_ANSWER_BYTES):
        super().__init__('events')
        self._kind = kind
        self._size = size

    async def _send(self, writer, request_id):
        writer.write(HEAD % request_id)
        if self._kind in {'lookup', 'order'}:
            writer.write(b'Content-Length: %d\r\n\r\n' % self._size)
            while self._size > self.longest:
                piece = bytes(min(16_000, self._size - self.longest))
                writer.write(piece)
                self.longest += len(piece)
                await writer.drain()
            return
        writer.write(b'Transfer-Encoding: chunked\r\n\r\n')
        size = number = 0
        while size < self._size:
            number += 1
            events = b'id: %d\n' % number + b'data: ' + b'x' * 16_000 + b'\n\n'
            if self._kind == 'own':
                events = EVENT * 200
            writer.write(b'%x\r\n%s\r\n' % (len(events), events))
            size += len(events)
            self.longest = max(self.longest, size)
            await writer.drain()
        if self._kind == 'own':
            writer.write(b'e\r\ndata: [DONE]\n\n\r\n')
        writer.write(b'0\r\n\r\n')
        await writer.drain()


def _build_caller(kind, number=0, deadline_s=_DEADLINE_S):
    lines = (
        f'POST /{kind}/{number} HTTP/1.1',
        f'Host: {HOST}',
        f'Anvilhall-Request-Id: slow-{number}',
        f'Anvilhall-Credential: {KEY}',
        f'Anvilhall-Deadline-Ms: {int(deadline_s * 1000)}',
    )
    return RawCaller(lines, b'body')


@contextlib.asynccontextmanager
async def _run_site(kind, size=_ANSWER_BYTES):
    """Run a site whose only runner of a kind sends large answers."""
    plain = kind in {'lookup', 'order'}
    server = _LargeServer(kind, size)
    await server.start()
    async with run_site(desks=1 - plain, engines=int(plain)) as site:
        routes = [route | {'timeout_ms': 30_000} for route in ROUTES]
        await site.publish(make_manifest(2, routes))
        gateway = site.gateways['g1']
        await wait_until(lambda: gateway.context.version == 2)
        site.runners['raw'] = server
        await site.register('raw', 'desk' if plain else 'llm', slots=400)
        await wait_until(lambda: len(gateway.runners) == 2)
        yield site, server
    server.stop()


async def _start(site, kind, number=0, deadline_s=_DEADLINE_S, **fields):
    """Return a caller that has sent a request and not read its answer."""
    caller = _build_caller(kind, number, deadline_s)
    await caller.connect(site.ports['g1'], **fields)
    caller.send_head(4)
    return caller


# Guards against a caller that is cut as it reads more slowly than its runner
# sends.
@pytest.mark.parametrize('kind', ['lookup', 'order', 'brief', 'chat'])
def test_large_answer_reaches_a_slow_caller_whole(kind):
    async def scenario():
        async with _run_site(kind) as (site, server):
            caller = await _start(site, kind, kept_bytes=65_536)
            answer = await caller.read_slowly(_SPEED_BYTES_PER_S)
            assert answer.whole
            assert len(answer.body) >= _ANSWER_BYTES
            assert server.answers == 1

    asyncio.run(scenario())


def test_many_callers_that_do_not_read_take_bounded_memory():
    async def scenario():
        async with _run_site('brief', 50 * _ANSWER_BYTES) as (site, server):
            # By default, later callers are refused for want of memory.
            memory = site.gateways['g1'].context.memory
            memory.limit_bytes = _CALLERS * _MEMORY_BYTES
            tracemalloc.start()
            callers = [
                await _start(site, 'brief', number, narrow=True)
                for number in range(_CALLERS)
            ]
            await wait_until(lambda: server.answers == _CALLERS)
            await asyncio.sleep(_PAUSE_S)
            taken = tracemalloc.get_traced_memory()[1]
            assert taken < _CALLERS * _MEMORY_BYTES
            assert server.open == _CALLERS
            for caller in callers:
                caller.close()
            context = site.gateways['g1'].context
            await wait_until(lambda: not context.open_requests)

    try:
        asyncio.run(scenario())
    finally:
        tracemalloc.stop()


@pytest.mark.parametrize('kind', ['lookup', 'brief', 'chat'])
def test_caller_that_does_not_read_is_ended_by_its_time_limit(kind):
    async def scenario():
        async with _run_site(kind, 50 * _ANSWER_BYTES) as (site, server):
            caller = await _start(site, kind, deadline_s=_LIMIT_S, narrow=True)
            context = site.gateways['g1'].context
            await wait_until(lambda: server.open)
            await asyncio.sleep(_LIMIT_S / 2)
            assert context.open_requests == 1
            sent = server.longest
            await asyncio.sleep(_LIMIT_S / 4)
            assert server.longest == sent
            await wait_until(lambda: not context.open_requests)
            await wait_until(lambda: not server.open)
            assert not (await caller.read_answer()).whole

    asyncio.run(scenario())


# Guards against a runner that is blamed for the pauses of a caller.
def test_slow_caller_does_not_make_its_runner_look_silent():
    async def scenario():
        async with _run_site('chat') as (site, server):
            caller = await _start(site, 'chat', narrow=True)
            await wait_until(lambda: server.answers)
            await site.add_runner('llm-1', 'llm', 3)
            gateway = site.gateways['g1']
            await wait_until(lambda: len(gateway.runners) == 3)
            await asyncio.sleep(_PAUSE_S)
            services = gateway.context.services
            now = services.clock.monotonic()
            assert not services.activity.list_silent(now - _PAUSE_S / 2)
            answer = await caller.read_slowly(100 * _SPEED_BYTES_PER_S)
            assert answer.whole
            assert len(answer.body) >= _ANSWER_BYTES
            assert server.answers == 1
            assert not site.runners['llm-1'].runs
            assert not services.activity._runners

    asyncio.run(scenario())


def test_planned_stop_ends_a_caller_that_does_not_read():
    async def scenario():
        async with _run_site('brief', 50 * _ANSWER_BYTES) as (site, server):
            gateway = await site.restart_with(grace_s=_GRACE_S)
            await wait_until(lambda: len(gateway.runners) == 2)
            caller = await _start(site, 'brief', narrow=True)
            await wait_until(lambda: server.open)
            await asyncio.sleep(_LIMIT_S / 2)
            async with asyncio.timeout(_GRACE_S):
                await gateway.stop()
            await wait_until(lambda: not server.open)
            assert not (await caller.read_answer()).whole

    asyncio.run(scenario())


@contextlib.asynccontextmanager
async def _run_own(root, size, deadline_s):
    """Run an instance whose only engine sends large answers."""
    server = _LargeServer('own', size)
    await server.start()
    cluster = Cluster()
    port = int(server.address.partition(':')[2])
    cluster._add_member('raw-0', port, 'd1', 'chat')
    defaults = {'deadline_s': deadline_s}
    cluster.publish(structs.replace(root, class_defaults=defaults))
    try:
        instance = await cluster.add_instance('entry-0')
        await cluster.wait_ready()
        yield cluster, instance, server
    finally:
        await cluster.close()
        server.stop()


async def _start_own(cluster, **fields):
    lines = (
        'POST /v1/chat/completions HTTP/1.1',
        'Host: own',
        'Authorization: Bearer ann',
    )
    caller = RawCaller(lines, build_chat(max_tokens=100_000))
    await caller.connect(cluster.ports['entry-0'], **fields)
    caller.send_head()
    caller.send_rest()
    return caller


def test_large_chat_reaches_a_slow_caller_whole(root):
    async def scenario():
        async with _run_own(root, _ANSWER_BYTES, _DEADLINE_S) as (
            cluster,
            _,
            server,
        ):
            caller = await _start_own(cluster, kept_bytes=65_536)
            answer = await caller.read_slowly(_SPEED_BYTES_PER_S)
            assert answer.whole
            assert len(answer.body) >= _ANSWER_BYTES
            assert answer.body.endswith(b'data: [DONE]\n\n')
            assert server.answers == 1

    asyncio.run(scenario())


def test_caller_that_does_not_read_its_chat_is_ended_by_its_time_limit(root):
    async def scenario():
        async with _run_own(root, 50 * _ANSWER_BYTES, _LIMIT_S) as (
            cluster,
            instance,
            server,
        ):
            caller = await _start_own(cluster, narrow=True)
            await wait_until(lambda: server.open)
            await asyncio.sleep(_LIMIT_S / 2)
            assert instance.gate.open_requests == 1
            sent = server.longest
            await asyncio.sleep(_LIMIT_S / 4)
            assert server.longest == sent
            await wait_until(lambda: not instance.gate.open_requests)
            await wait_until(lambda: not server.open)
            assert not (await caller.read_answer()).whole

    asyncio.run(scenario())
