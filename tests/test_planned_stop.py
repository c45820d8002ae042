"""Planned stops of a gateway while requests arrive, wait and run."""

import asyncio
import math

import pytest

from anvilhall.core.shutdown import Shutdown
from anvilhall.exceptions import ShuttingDown
from tests.latecaller import LateCaller
from tests.rawcaller import RawCaller
from tests.site import HOST, KEY, count_runs, run_site, wait_until

#: Seconds from the signal to the end of the process, and until which requests
#: are accepted.
GRACE_S = 2.6
LINGER_S = 0.3
#: Seconds that the end of a stop may take beyond the grace period.
TOLERANCE_S = 0.5


def _stop(site):
    return asyncio.ensure_future(site.gateways['g1'].stop())


async def _open_stopping(site, path, deadline_ms):
    """Send the head of a request just before the stop."""
    lines = (
        f'POST {path} HTTP/1.1',
        f'Host: {HOST}',
        f'Anvilhall-Request-Id: late-{path}-{deadline_ms}',
        f'Anvilhall-Deadline-Ms: {deadline_ms}',
        f'Anvilhall-Credential: {KEY}',
    )
    caller = LateCaller(lines, b'late')
    await caller.send_head(site.ports['g1'])
    await wait_until(lambda: site.gateways['g1'].context.open_requests)
    return caller, _stop(site)


# Guards against a request whose body ends late in the grace period, which is
# passed on and cut without an answer.
@pytest.mark.parametrize('path', ['/order/1', '/lookup/1', '/chat/1'])
@pytest.mark.parametrize('late_s', [0.5, 1.2, 1.9])
def test_late_body_of_a_long_request_is_refused_unrun(path, late_s):
    async def scenario():
        async with run_site(engines=1) as site:
            await site.restart_with(grace_s=GRACE_S, linger_s=LINGER_S)
            caller, stopping = await _open_stopping(site, path, 4000)
            await asyncio.sleep(late_s)
            caller.send_body()
            assert await caller.read_status() == 503
            await stopping
            assert count_runs(site) == 0

    asyncio.run(scenario())


# Guards against refusals of requests that are certain to end in time.
def test_late_body_of_a_short_request_is_served():
    async def scenario():
        async with run_site() as site:
            await site.restart_with(grace_s=GRACE_S, linger_s=LINGER_S)
            caller, stopping = await _open_stopping(site, '/order/1', 1200)
            await asyncio.sleep(0.6)
            caller.send_body()
            assert await caller.read_status() == 200
            await stopping

    asyncio.run(scenario())


# Guards against a request that gets its slot so late that it is cut.
@pytest.mark.parametrize('path', ['/order/1', '/lookup/1'])
def test_request_that_waits_beyond_its_time_is_refused_unrun(path):
    async def scenario():
        async with run_site() as site:
            runner = site.runners['desk-0']
            runner.work_s = 1.0
            await site.restart_with(grace_s=GRACE_S, linger_s=LINGER_S)
            first = [
                asyncio.ensure_future(site.fetch(f'/lookup/{number}'))
                for number in range(4)
            ]
            await wait_until(lambda: count_runs(site) == 4)
            waiting = asyncio.ensure_future(site.fetch(path))
            await wait_until(
                lambda: site.gateways['g1'].context.open_requests == 5
            )
            loop = asyncio.get_running_loop()
            began = loop.time()
            stopping = _stop(site)
            assert (await waiting).status == 503
            assert loop.time() - began < LINGER_S + TOLERANCE_S
            assert [(await each).status for each in first] == [200] * 4
            await stopping
            assert count_runs(site) == 4

    asyncio.run(scenario())


# Guards against a connection that is closed without an answer at the end.
def test_request_that_runs_until_the_end_gets_an_error():
    async def scenario():
        async with run_site() as site:
            runner = site.runners['desk-0']
            runner.work_s = 30.0
            await site.restart_with(grace_s=GRACE_S, linger_s=LINGER_S)
            running = asyncio.ensure_future(site.fetch('/order/1'))
            await wait_until(lambda: count_runs(site) == 1)
            loop = asyncio.get_running_loop()
            began = loop.time()
            stopping = _stop(site)
            reply = await running
            # It may have run, which 503 would deny.
            assert reply.status == 502
            assert loop.time() - began < GRACE_S
            await stopping
            assert loop.time() - began < GRACE_S

    asyncio.run(scenario())


# Guards against a connection that is closed without an answer at the end.
def test_request_whose_body_never_ends_is_refused():
    async def scenario():
        async with run_site() as site:
            await site.restart_with(grace_s=GRACE_S, linger_s=LINGER_S)
            caller, stopping = await _open_stopping(site, '/order/1', 4000)
            assert await caller.read_status() == 503
            await stopping
            assert count_runs(site) == 0

    asyncio.run(scenario())


# Guards against a retry that is begun and cut.
def test_retry_late_in_the_grace_period_is_not_begun():
    async def scenario():
        async with run_site(desks=2) as site:
            for runner in site.runners.values():
                runner.work_s = 1.0
                runner.behaviours.append('error')
            await site.restart_with(grace_s=GRACE_S, linger_s=LINGER_S)
            running = asyncio.ensure_future(site.fetch('/lookup/1'))
            await wait_until(lambda: count_runs(site) == 1)
            stopping = _stop(site)
            assert (await running).status == 502
            await stopping
            assert count_runs(site) == 1

    asyncio.run(scenario())


def test_stop_without_requests_takes_no_longer_than_it_lingers():
    async def scenario():
        async with run_site() as site:
            await site.restart_with(grace_s=GRACE_S, linger_s=LINGER_S)
            loop = asyncio.get_running_loop()
            began = loop.time()
            await _stop(site)
            assert loop.time() - began < LINGER_S + TOLERANCE_S

    asyncio.run(scenario())


def _is_allowed(shutdown, deadline_at, now=0.0, *, bears_cut=True):
    try:
        shutdown.check('chat', deadline_at, now, bears_cut=bears_cut)
    except ShuttingDown:
        return False
    return True


def test_requests_begin_if_most_of_their_kind_end_in_time():
    shutdown = Shutdown()
    assert _is_allowed(shutdown, 1e9)
    shutdown.stop_at = 5.0
    assert _is_allowed(shutdown, 5.0)
    assert not _is_allowed(shutdown, 15.0)
    for _ in range(50):
        shutdown.note_duration('chat', 2.0)
    assert _is_allowed(shutdown, 15.0)
    assert not _is_allowed(shutdown, 15.0, now=3.5)
    assert not _is_allowed(shutdown, 15.0, bears_cut=False)
    for _ in range(8):
        shutdown.note_duration('chat', 9.0)
    assert not _is_allowed(shutdown, 15.0)


def test_only_certain_requests_begin_once_the_instance_is_closed():
    shutdown = Shutdown()
    for _ in range(50):
        shutdown.note_duration('chat', 0.1)
    shutdown.stop_at = 5.0
    shutdown.closed = True
    assert _is_allowed(shutdown, 4.0)
    assert not _is_allowed(shutdown, 6.0)
    assert not _is_allowed(shutdown, math.inf)


# Guards against an answer that a stop cuts although its request has ended: the
# caller reads slowly, and a part of the answer was not sent yet.
def test_answer_that_is_read_slowly_is_sent_to_its_end():
    async def scenario():
        async with run_site() as site:
            site.runners['desk-0'].body_bytes = 600_000
            await site.restart_with(grace_s=GRACE_S, linger_s=LINGER_S)
            lines = (
                'POST /lookup/1 HTTP/1.1',
                f'Host: {HOST}',
                'Anvilhall-Request-Id: slow',
                f'Anvilhall-Credential: {KEY}',
            )
            caller = RawCaller(lines, b'body')
            await caller.connect(site.ports['g1'], narrow=True)
            caller.send_head(4)
            await wait_until(lambda: site.runners['desk-0'].runs)
            stopping = _stop(site)
            await asyncio.sleep(LINGER_S * 2)
            assert (await caller.read_answer()).whole
            await stopping

    asyncio.run(scenario())


# Guards against a request that was read whole, but whose handler has not run
# yet when the instance closes its idle connections.
def test_request_that_was_just_read_is_answered():
    async def scenario():
        async with run_site() as site:
            context = site.gateways['g1'].context
            lines = (
                'POST /lookup/1 HTTP/1.1',
                f'Host: {HOST}',
                'Anvilhall-Request-Id: just-read',
                f'Anvilhall-Credential: {KEY}',
            )
            caller = RawCaller(lines, b'body')
            await caller.connect(site.ports['g1'])
            await wait_until(lambda: len(context.idle))
            (request,) = context.idle
            caller.send_head(4)
            while request._connection.stream.reading():
                await asyncio.sleep(0)
            assert request in context.idle
            site.gateways['g1']._server.stop()
            answer = await caller.read_answer()
            assert answer.whole

    asyncio.run(scenario())
