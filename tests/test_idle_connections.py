"""Idle connections of callers while the idle timeout changes."""

import asyncio

import pytest

from tests.rawcaller import RawCaller
from tests.site import HOST, KEY, make_manifest, run_site, wait_until

SHORT_MS = 500
LONG_MS = 15_000
MS_PER_S = 1000
#: Factor on the idle timeout after which the server closes, with some room.
OVER = 1.3


def _build_caller(number):
    lines = (
        'POST /lookup/1 HTTP/1.1',
        f'Host: {HOST}',
        f'Anvilhall-Request-Id: idle-{number}',
        f'Anvilhall-Credential: {KEY}',
    )
    return RawCaller(lines, b'body')


async def _set_idle_timeout(site, version, timeout_ms):
    manifest = make_manifest(version)
    manifest['limits']['idle_timeout_ms'] = timeout_ms
    await site.publish(manifest)
    context = site.gateways['g1'].context
    await wait_until(lambda: context.version == version)


async def _serve(site, caller):
    caller.send_head(4)
    answer = await caller.read_answer()
    assert answer.status == 200
    await wait_until(lambda: len(site.gateways['g1'].context.idle) == 1)


async def _open(site):
    caller = _build_caller(1)
    await caller.connect(site.ports['g1'])
    await _serve(site, caller)
    return caller


def _continue(caller):
    following = _build_caller(2)
    following.continue_on(caller)
    return following


def test_connection_is_closed_after_the_idle_timeout():
    async def scenario():
        async with run_site() as site:
            await _set_idle_timeout(site, 2, SHORT_MS)
            caller = await _open(site)
            began = asyncio.get_running_loop().time()
            assert await caller.read_bytes(1) == b''
            waited_s = asyncio.get_running_loop().time() - began
            assert SHORT_MS <= waited_s * MS_PER_S < 2 * SHORT_MS

    asyncio.run(scenario())


# Guards against a connection that is closed while a request arrives, whose
# caller has learnt that it may be idle for longer, or not yet that for shorter.
@pytest.mark.parametrize('timeouts', [(SHORT_MS, LONG_MS), (LONG_MS, SHORT_MS)])
@pytest.mark.parametrize('pause_s', [0, 0.1])
def test_waiting_connection_is_kept_by_the_longer_timeout(timeouts, pause_s):
    async def scenario():
        async with run_site() as site:
            await _set_idle_timeout(site, 2, timeouts[0])
            caller = await _open(site)
            await _set_idle_timeout(site, 3, timeouts[1])
            await asyncio.sleep(SHORT_MS / MS_PER_S * OVER - pause_s / 2)
            caller.send_bytes(b'POST /lookup/1 HTTP/1.1\r\nHost: ')
            await asyncio.sleep(pause_s)
            caller.send_bytes(
                f'{HOST}\r\nAnvilhall-Request-Id: idle-2\r\n'
                f'Anvilhall-Credential: {KEY}\r\n\r\n'.encode()
            )
            assert (await caller.read_answer()).status == 200

    asyncio.run(scenario())


def test_shorter_timeout_applies_to_the_next_wait():
    async def scenario():
        async with run_site() as site:
            await _set_idle_timeout(site, 2, LONG_MS)
            caller = await _open(site)
            await _set_idle_timeout(site, 3, SHORT_MS)
            following = _continue(caller)
            await _serve(site, following)
            async with asyncio.timeout(2 * SHORT_MS / MS_PER_S):
                assert await following.read_bytes(1) == b''

    asyncio.run(scenario())
