"""Relayed streams whose runners have different software versions."""

import asyncio
import contextlib
import re

import pytest

from anvilhall.exceptions import UpstreamCut
from anvilhall.outbound import Transfer
from tests.site import make_manifest, make_route, run_site, wait_until

EVENTS = 40
#: Pause after each event of the runner that begins, in seconds: the registry is
#: read several times before it has sent all.
SLOW_EVENT_S = 0.1
#: A silent runner is left only after the registry has been read several times.
ROUTE = make_route(
    'chat',
    kind='streaming',
    service='llm',
    resumable=True,
    slo_ms=2500,
    gap_aim_ms=500,
    timeout_ms=8000,
)


class _Stream:
    """A stream that the first runner has begun."""

    def __init__(self, site):
        self.chunks = []
        deadline = {'Anvilhall-Deadline-Ms': '8000'}
        call = site.build_call(
            '/chat/1', method='POST', body=b'q', headers=deadline
        )
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
async def _begin(behaviour='', actual=None, **fields):
    """Run a site whose only runner has begun a stream.

    :param behaviour: of the runner in that stream.
    :param actual: version of the runner, if its entry names another one.
    """
    async with run_site() as site:
        gateway = site.gateways['g1']
        await site.publish(make_manifest(2, (ROUTE,)))
        runner = await site.add_runner('llm-0', 'llm', EVENTS, **fields)
        runner.event_s = SLOW_EVENT_S
        runner.behaviours.append(behaviour)
        runner.traits.version = actual or runner.traits.version
        await wait_until(lambda: len(gateway.runners) == 2)
        await wait_until(lambda: gateway.describe().settings_version == 2)
        stream = _Stream(site)
        await wait_until(lambda: stream.events)
        yield site, stream


async def _add(site, name, **fields):
    count = len(site.gateways['g1'].runners)
    runner = await site.add_runner(name, 'llm', EVENTS, **fields)
    await wait_until(lambda: len(site.gateways['g1'].runners) > count)
    return runner


async def _end(site, name):
    """End a runner, as if its process was killed."""
    runner = site.runners[name]
    runner.crash()
    runner.stop()
    await site.unregister(name)


# Guards against events of two versions in one response.
def test_cut_stream_does_not_go_on_at_another_version():
    async def scenario():
        async with _begin(version='v1') as (site, stream):
            other = await _add(site, 'llm-1', version='v2')
            await _end(site, 'llm-0')
            await stream.expect_cut()
            assert not other.runs

    asyncio.run(scenario())


def test_cut_stream_goes_on_at_another_runner_of_its_version():
    async def scenario():
        async with _begin(version='v1') as (site, stream):
            for name in ('llm-1', 'llm-2', 'llm-4'):
                await site.add_runner(name, 'llm', EVENTS, version='v2')
            same = await site.add_runner('llm-3', 'llm', EVENTS, version='v1')
            gateway = site.gateways['g1']
            await wait_until(lambda: len(gateway.runners) == 6)
            await _end(site, 'llm-0')
            await stream.expect_whole()
            assert len(same.runs) == 1

    asyncio.run(scenario())


# Guards against a runner that is taken for the one that began the stream, as it
# has started again under its name.
def test_cut_stream_does_not_go_on_at_its_runner_after_a_change_of_version():
    async def scenario():
        async with _begin('drip', version='v1', born=1) as (site, stream):
            # Its machine has lost power: the connection stays open.
            runner = site.runners['llm-0']
            runner.traits.version = 'v2'
            await site.register('llm-0', 'llm', version='v2', born=2)
            await stream.expect_cut()
            assert len(runner.runs) == 1

    asyncio.run(scenario())


# Guards against the version of an entry that was written before the runner has
# started again.
def test_stream_that_a_restarted_runner_has_begun_goes_on_at_its_version():
    async def scenario():
        async with _begin(actual='v2', version='v1', born=1) as (site, stream):
            gateway = site.gateways['g1']
            same = await site.add_runner('llm-1', 'llm', EVENTS, version='v2')
            await site.add_runner('llm-2', 'llm', EVENTS, version='v1')
            await site.register('llm-0', 'llm', version='v2', born=2)
            await wait_until(
                lambda: (
                    sorted(each.version for each in gateway.runners)
                    == ['', 'v1', 'v2', 'v2']
                )
            )
            count = len(stream.events)
            await wait_until(lambda: len(stream.events) > count)
            await _end(site, 'llm-0')
            await stream.expect_whole()
            assert len(same.runs) == 1

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
            await _end(site, 'llm-0')
            await stream.expect_cut()
            assert not other.runs

    asyncio.run(scenario())


@pytest.mark.parametrize('fields', [{}, {'version': 'v1'}])
def test_stream_goes_on_if_all_runners_have_one_version(fields):
    async def scenario():
        async with _begin(**fields) as (site, stream):
            await _add(site, 'llm-1', **fields)
            await _end(site, 'llm-0')
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
