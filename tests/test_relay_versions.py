"""Relayed streams whose runners have different software versions."""

import asyncio
import contextlib
import re

import pytest

from anvilhall.exceptions import UpstreamCut
from anvilhall.outbound import Transfer
from tests.site import run_site, wait_until

EVENTS = 40
#: Pause after each event of the runner that begins, in seconds: the registry is
#: read several times before it has sent all.
SLOW_EVENT_S = 0.1


class _Stream:
    """A stream that the first runner has begun."""

    def __init__(self, site):
        self.chunks = []
        call = site.build_call('/chat/1', method='POST', body=b'q')
        self._call = asyncio.ensure_future(
            site.client.stream(call, Transfer(), self.chunks.append)
        )

    @property
    def events(self):
        """Number and version of each event that the caller has got."""
        found = re.findall(
            rb'^id: (\d+)\ndata: event \1(?: of (\S+))?\n\n',
            b''.join(self.chunks),
            re.MULTILINE,
        )
        return [(int(number), version.decode()) for number, version in found]

    @property
    def versions(self):
        return {version for _, version in self.events}

    async def expect_cut(self):
        """Check that the connection ends early, after events of one version."""
        with pytest.raises(UpstreamCut):
            await self._call
        assert 0 < len(self.events) < EVENTS
        assert len(self.versions) == 1

    async def expect_whole(self):
        """Check that all events have come, of one version."""
        await self._call
        numbers = [number for number, _ in self.events]
        assert numbers == list(range(1, EVENTS + 1))
        assert len(self.versions) == 1


@contextlib.asynccontextmanager
async def _begin(**fields):
    """Run a site whose only runner has begun a stream."""
    async with run_site() as site:
        runner = await site.add_runner('llm-0', 'llm', EVENTS, **fields)
        runner.event_s = SLOW_EVENT_S
        await wait_until(lambda: len(site.gateways['g1'].runners) == 2)
        stream = _Stream(site)
        await wait_until(lambda: len(stream.events) > 1)
        yield site, stream


async def _add(site, name, **fields):
    count = len(site.gateways['g1'].runners)
    runner = await site.add_runner(name, 'llm', EVENTS, **fields)
    await wait_until(lambda: len(site.gateways['g1'].runners) > count)
    return runner


# Guards against events of two versions in one response.
def test_cut_stream_does_not_go_on_at_another_version():
    async def scenario():
        async with _begin(version='v1') as (site, stream):
            other = await _add(site, 'llm-1', version='v2')
            site.runners['llm-0'].crash()
            await stream.expect_cut()
            assert not other.runs

    asyncio.run(scenario())


def test_cut_stream_goes_on_at_another_runner_of_its_version():
    async def scenario():
        async with _begin(version='v1') as (site, stream):
            for name in ('llm-1', 'llm-2', 'llm-4'):
                await _add(site, name, version='v2')
            same = await _add(site, 'llm-3', version='v1')
            site.runners['llm-0'].crash()
            await stream.expect_whole()
            assert len(same.runs) == 1

    asyncio.run(scenario())


# Guards against a runner that is taken for the one that began the stream, as it
# has started again under its name.
def test_cut_stream_does_not_go_on_at_its_runner_after_a_change_of_version():
    async def scenario():
        async with _begin(version='v1', born=1) as (site, stream):
            runner = site.runners['llm-0']
            runner.traits.version = 'v2'
            runner.event_s = 0
            await site.register('llm-0', 'llm', version='v2', born=2)
            gateway = site.gateways['g1']
            await wait_until(
                lambda: 'v2' in {member.version for member in gateway.runners}
            )
            runs = len(runner.runs)
            runner.crash()
            await stream.expect_cut()
            assert len(runner.runs) == runs

    asyncio.run(scenario())


# Guards against a version that is taken for any other one as it is unknown.
@pytest.mark.parametrize(
    ('begun', 'others'),
    [({}, {'version': 'v2'}), ({'version': 'v1'}, {})],
)
def test_stream_does_not_go_on_between_known_and_unknown_versions(
    begun, others
):
    async def scenario():
        async with _begin(**begun) as (site, stream):
            other = await _add(site, 'llm-1', **others)
            site.runners['llm-0'].crash()
            await stream.expect_cut()
            assert not other.runs

    asyncio.run(scenario())


@pytest.mark.parametrize('fields', [{}, {'version': 'v1'}])
def test_stream_goes_on_if_all_runners_have_one_version(fields):
    async def scenario():
        async with _begin(**fields) as (site, stream):
            await _add(site, 'llm-1', **fields)
            site.runners['llm-0'].crash()
            await stream.expect_whole()

    asyncio.run(scenario())


# Guards against a binding to the version of a runner that has sent nothing.
def test_stream_without_an_event_goes_on_at_any_version():
    async def scenario():
        async with run_site() as site:
            silent = await _add(site, 'llm-0', version='v1')
            silent.behaviours.append('mute')
            stream = _Stream(site)
            await wait_until(lambda: silent.runs)
            await _add(site, 'llm-1', version='v2')
            await stream.expect_whole()
            assert stream.versions == {'v2'}

    asyncio.run(scenario())
