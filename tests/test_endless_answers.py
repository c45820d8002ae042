"""Answers without end: each reader of foreign bytes stops at a limit."""

import asyncio
import contextlib
import time
import tracemalloc

import pytest
from msgspec import structs

from anvilhall.exceptions import LogUnavailable, UpstreamCut
from anvilhall.outbound import Call, CurlOutbound, Transfer
from anvilhall.platform.store import StoreClient
from tests.cluster import Cluster, build_chat
from tests.endless import BODIES, FORMS, OVERHEAD, open_endless
from tests.site import WAIT_S, run_site, wait_until

_MIB = 1024 * 1024
#: Bytes of an answer that its server may send, with those in the sockets.
_SENT_BYTES = 24 * _MIB
#: Memory that one endless answer may take.
_MEMORY_BYTES = 40 * _MIB
#: Seconds within which an answer must end that has nothing for its reader.
_END_S = 3.0
#: Seconds after which requests with endless bodies end.
_DEADLINE_S = 1.0
_AT_ONCE = 50
#: Processor seconds that one iteration of the event loop may take.
_STALL_S = 0.4


@contextlib.contextmanager
def _bound_memory():
    tracemalloc.start()
    try:
        yield
        assert tracemalloc.get_traced_memory()[1] < _MEMORY_BYTES
    finally:
        tracemalloc.stop()


async def _measure_stalls(stalls):
    """Collect the processor time of each iteration of the event loop."""
    while True:
        began = time.thread_time()
        await asyncio.sleep(0)
        stalls.append(time.thread_time() - began)


def _discard(_):
    """Accept bytes without keeping them."""


async def _get_status(client, call):
    """Return the status of an answer; 0 if it was cut."""
    try:
        return (await client.stream(call, Transfer(), _discard)).status
    except UpstreamCut:
        return 0


# Guards against bytes that libcurl skips and that were read until a timeout.
@pytest.mark.parametrize('form', sorted(OVERHEAD))
@pytest.mark.parametrize('reader', ['stream', 'fetch'])
def test_bytes_that_are_no_body_are_bounded(form, reader):
    async def scenario():
        async with open_endless(form) as server, asyncio.timeout(_END_S):
            outbound = CurlOutbound()
            call = Call(url=f'http://{server.address}/', timeout_s=WAIT_S)
            with pytest.raises(UpstreamCut):
                if reader == 'stream':
                    await outbound.stream(call, Transfer(), _discard)
                else:
                    await outbound.fetch(call)
            await wait_until(lambda: not server.open)
            assert server.longest < _SENT_BYTES

    with _bound_memory():
        asyncio.run(scenario())


# Guards against a body that is read on although it exceeds what is gathered.
@pytest.mark.parametrize('form', sorted(BODIES))
def test_gathered_body_ends_at_the_limit_of_its_reader(form):
    async def scenario():
        async with open_endless(form) as server, asyncio.timeout(_END_S):
            outbound = CurlOutbound()
            call = Call(
                url=f'http://{server.address}/',
                timeout_s=WAIT_S,
                gather_limit_bytes=100_000,
            )
            with pytest.raises(UpstreamCut, match='limit 100000'):
                await outbound.fetch(call)
            await wait_until(lambda: not server.open)
            assert server.longest < _SENT_BYTES

    with _bound_memory():
        asyncio.run(scenario())


# Guards against an event loop that stands still while many answers arrive.
@pytest.mark.parametrize('form', sorted(FORMS))
def test_many_endless_answers_leave_time_to_others(form):
    async def scenario():
        async with open_endless(form) as server:
            outbound = CurlOutbound()
            call = Call(url=f'http://{server.address}/', timeout_s=_DEADLINE_S)
            stalls = []
            probe = asyncio.ensure_future(_measure_stalls(stalls))
            await asyncio.gather(
                *(
                    outbound.stream(call, Transfer(), _discard)
                    for _ in range(_AT_ONCE)
                ),
                return_exceptions=True,
            )
            probe.cancel()
            assert server.answers
            assert max(stalls) < _STALL_S

    asyncio.run(scenario())


@pytest.mark.parametrize('form', sorted(FORMS))
@pytest.mark.parametrize('kind', ['order', 'lookup', 'brief', 'chat'])
def test_relayed_answer_without_end_is_bounded(form, kind):
    async def scenario():
        plain = kind in {'order', 'lookup'}
        async with (
            run_site(desks=1 - plain, engines=int(plain)) as site,
            open_endless(form) as server,
        ):
            site.runners['raw'] = server
            await site.register('raw', 'desk' if plain else 'llm')
            path = '/chat/1' if plain else '/lookup/1'
            assert (await site.fetch(path)).status == 200
            endless = asyncio.ensure_future(_send_relayed(site, server, kind))
            await wait_until(lambda: server.answers)
            assert (await site.fetch(path)).status == 200
            assert await endless in {0, 502, 504}
            context = site.gateways['g1'].context
            await wait_until(lambda: not context.open_requests)
            await wait_until(lambda: not server.open)
            assert form in BODIES or server.longest < _SENT_BYTES

    with _bound_memory():
        asyncio.run(scenario())


# Guards against an answer that is kept without a limit.
@pytest.mark.parametrize('form', sorted(FORMS))
@pytest.mark.parametrize('kind', ['stream', 'chat', 'lookup'])
def test_own_answer_without_end_is_bounded(root, form, kind):
    async def scenario():
        cluster = Cluster()
        pool = 'desk' if kind == 'lookup' else 'chat'
        async with open_endless(form) as server:
            port = int(server.address.partition(':')[2])
            cluster._add_member('raw-0', port, 'd1', pool)
            defaults = {'deadline_s': _DEADLINE_S}
            cluster.publish(structs.replace(root, class_defaults=defaults))
            try:
                instance = await cluster.add_instance('entry-0')
                await cluster.wait_ready()
                with contextlib.suppress(UpstreamCut):
                    status = await _send_own(cluster, kind)
                    assert status in {200, 502, 504}
                await wait_until(lambda: not instance.gate.open_requests)
                await wait_until(lambda: not server.open)
                assert form in BODIES or server.longest < _SENT_BYTES
            finally:
                await cluster.close()

    with _bound_memory():
        asyncio.run(scenario())


async def _send_relayed(site, server, kind):
    """Return the status of the first request that a server answers."""
    status = 503
    while not server.answers:
        # The gateway learns of the server.
        assert status == 503
        call = site.build_call(
            f'/{kind}/1',
            method='POST',
            body=b'x',
            headers={'Anvilhall-Deadline-Ms': '1000'},
        )
        status = await _get_status(site.client, call)
    return status


async def _send_own(cluster, kind):
    """Return the status of a request to the own interface."""
    if kind == 'lookup':
        headers = {'Anvilhall-Class': 'lookup'}
        return (await cluster.call('entry-0', 'x/1', headers)).status
    body = build_chat(max_tokens=1000, stream=kind == 'stream')
    call = Call(
        url=f'{cluster.locate("entry-0")}/v1/chat/completions',
        method='POST',
        headers={'Authorization': 'Bearer ann'},
        body=body,
    )
    return await _get_status(cluster.client, call)


@pytest.mark.parametrize('form', sorted(FORMS))
def test_answer_of_the_store_without_end_is_bounded(form):
    async def scenario():
        async with open_endless(form) as server:
            store = StoreClient(server.address, CurlOutbound())
            with pytest.raises(LogUnavailable):
                await store.list_newest('keyed.op')
            await wait_until(lambda: not server.open)
            assert form in BODIES or server.longest < _SENT_BYTES

    with _bound_memory():
        asyncio.run(scenario())
