"""A gateway in a process of its own that is stopped and goes on."""

import asyncio
import contextlib
import signal
import subprocess
import sys
import time

import msgspec
import pytest

from anvilhall.local import Listen
from anvilhall.outbound import Call
from anvilhall_standins.serving import Fault
from tests.cluster import find_port
from tests.site import run_site, wait_until
from tests.test_resumed_streams import (
    SAFE_S,
    add_engine,
    begin_streams,
    count_engine_runs,
    take_up,
)

#: Gateway that is stopped.
STOPPED = 'g3'
#: Seconds for which a process may start.
START_S = 20.0
#: Least seconds of a stop.
STOP_S = 3.0
#: Seconds in which the others learn that runners drain.
NEWS_S = 1.0


class GatewayProcess:
    """A gateway in a process of its own."""

    def __init__(self, site, folder):
        """Start the gateway with the settings of ``g1``, at its own ports."""
        ports = [find_port() for _ in range(3)]
        callers, peers, operators = (f'127.0.0.1:{port}' for port in ports)
        config = msgspec.structs.replace(
            site.configs['g1'],
            instance=STOPPED,
            listen=Listen(callers=callers, peers=peers, operators=operators),
        )
        site.ports[STOPPED] = ports[0]
        self._site = site
        self._status_url = f'http://{operators}/status'
        path = folder / 'gateway.json'
        path.write_bytes(msgspec.json.encode(config))
        self._process = subprocess.Popen(
            [sys.executable, '-m', 'anvilhall.daemon', path],
            stderr=subprocess.DEVNULL,
            stdout=subprocess.DEVNULL,
        )

    async def wait_linked(self, count):
        """Wait until the gateway is ready and has links."""
        async with asyncio.timeout(START_S):
            while not await self._is_linked(count):
                await asyncio.sleep(0.05)

    async def _is_linked(self, count):
        with contextlib.suppress(Exception):
            call = Call(url=self._status_url, timeout_s=0.5)
            reply = await self._site.client.fetch(call)
            status = msgspec.json.decode(reply.body)
            return status['ready'] and len(status['linked']) == count
        return False

    def suspend(self):
        """Stop the process until :meth:`resume`."""
        self._process.send_signal(signal.SIGSTOP)

    def resume(self):
        """Let the process go on."""
        self._process.send_signal(signal.SIGCONT)

    def end(self):
        """End the process."""
        self._process.kill()
        self._process.wait(10)


@contextlib.asynccontextmanager
async def run_with_process(folder):
    """Run two gateways, one in a process of its own, and runners of v1."""
    async with run_site() as site:
        second = await site.add_gateway('g2')
        for number in range(2):
            await add_engine(site, f'llm-{number}', 'v1')
        process = GatewayProcess(site, folder)
        try:
            await process.wait_linked(2)
            await wait_until(lambda: second.ready and len(second.runners) == 3)
            # It has read all that it needs to tell the only version.
            (stream, *_) = await begin_streams(site)
            assert await take_up(site, stream, STOPPED) == (200, {'v1'})
            yield site, process
        finally:
            process.end()


async def release_while_stopped(site, process):
    """Have streams begin at a second version while the process is stopped."""
    began_at = time.monotonic()
    process.suspend()
    for number in range(2):
        await add_engine(site, f'llm-new-{number}', 'v2')
        await site.register(f'llm-{number}', 'llm', 'draining', version='v1')
    others = site.gateways.values()
    await wait_until(lambda: all(len(each.runners) == 5 for each in others))
    await asyncio.sleep(NEWS_S)
    streams = await begin_streams(site)
    assert {version for each in streams for version in each.versions} == {'v2'}
    await asyncio.sleep(max(0.0, began_at + STOP_S - time.monotonic()))
    return streams


async def take_up_all(site, streams):
    """Take streams up at once at the gateway that was stopped."""
    return await asyncio.gather(
        *(take_up(site, stream, STOPPED) for stream in streams)
    )


# Guards against a stopped instance that takes the version which it knew for
# the only one: as it goes on, and later.
@pytest.mark.parametrize('pause_s', [0.0, 0.05, 1.5])
def test_streams_of_an_unseen_version_go_on_there_after_a_stop(
    tmp_path, pause_s
):
    async def scenario():
        async with run_with_process(tmp_path) as (site, process):
            streams = await release_while_stopped(site, process)
            process.resume()
            await asyncio.sleep(pause_s)
            replies = await take_up_all(site, streams)
            assert replies == [(200, {'v2'})] * len(streams)

    asyncio.run(scenario())


# Guards against the same without a store that could be asked.
@pytest.mark.parametrize('fault', ['down', 'silent'])
def test_streams_are_refused_after_a_stop_while_the_store_is_away(
    tmp_path, fault
):
    async def scenario():
        async with run_with_process(tmp_path) as (site, process):
            streams = await release_while_stopped(site, process)
            await asyncio.sleep(SAFE_S)
            runs = count_engine_runs(site)
            site.store.faults.start(Fault(fault, for_s=60))
            process.resume()
            replies = await take_up_all(site, streams)
            assert replies == [(503, set())] * len(streams)
            assert count_engine_runs(site) == runs

    asyncio.run(scenario())
