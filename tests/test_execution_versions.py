"""Streams of the own interface whose engines have different versions."""

import asyncio
import contextlib
import re

import pytest

from tests.cluster import (
    build_chat,
    expect_text,
    open_cluster,
    read_error,
    read_text,
    wait_for,
)

BODY = build_chat(max_tokens=200)


def _list_versions(answer):
    found = re.findall(b'"system_fingerprint":(null|"[^"]*")', answer)
    return {version.decode().strip('"') for version in found}


def _list_known(cluster):
    directory = cluster.instances['entry-0'].services.broker._directory
    return {each.name: each.version for each in directory.list_runners('chat')}


@contextlib.asynccontextmanager
async def _begin(root_json, version, actual=None):
    """Run a cluster whose only engine has begun a stream.

    :param actual: version of the engine, if its entry names another one.
    """
    async with open_cluster(root_json, engines=0) as cluster:
        await _add(cluster, 'chat-0', version)
        if actual:
            cluster.engines['chat-0'].version = actual
        received = []
        call = asyncio.ensure_future(
            cluster.chat('entry-0', BODY, chunks=received)
        )
        await wait_for(lambda: len(received) > 3)
        yield cluster, call, received


async def _add(cluster, name, version):
    cluster.add_engine(name, version=version)
    await wait_for(lambda: name in _list_known(cluster))


# Guards against events of two versions in one answer.
@pytest.mark.parametrize(
    ('begun', 'other'), [('v1', 'v2'), ('', 'v2'), ('v1', '')]
)
def test_cut_stream_does_not_go_on_at_another_version(root_json, begun, other):
    async def scenario():
        async with _begin(root_json, begun) as (cluster, call, _):
            await _add(cluster, 'chat-1', other)
            await cluster.stop_server('chat-0')
            _, _, answer = await call
            assert len(_list_versions(answer)) == 1
            assert not cluster.engines['chat-1'].started
            last = answer.rstrip().rpartition(b'event: error\ndata: ')[2]
            assert read_error(last)['outcome'] == 'partly_delivered'

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ('version', 'others'), [('v1', ('v2', 'v1', 'v3')), ('', ('',))]
)
def test_cut_stream_goes_on_at_an_engine_of_its_version(
    root_json, version, others
):
    async def scenario():
        async with _begin(root_json, version) as (cluster, call, _):
            for number, other in enumerate(others, 1):
                await _add(cluster, f'chat-{number}', other)
            await cluster.stop_server('chat-0')
            _, _, answer = await call
            assert read_text(answer) == expect_text(BODY)
            assert len(_list_versions(answer)) == 1

    asyncio.run(scenario())


# Guards against the version of an entry that was written before the engine has
# started again.
def test_stream_that_a_restarted_engine_has_begun_goes_on_at_its_version(
    root_json,
):
    async def scenario():
        async with _begin(root_json, 'v1', 'v2') as (cluster, call, received):
            await _add(cluster, 'chat-1', 'v2')
            await _add(cluster, 'chat-2', 'v1')
            cluster.restart_member('chat-0', 'v2', born=2)
            await wait_for(lambda: _list_known(cluster)['chat-0'] == 'v2')
            count = len(received)
            await wait_for(lambda: len(received) > count)
            await cluster.stop_server('chat-0')
            _, _, answer = await call
            assert read_text(answer) == expect_text(BODY)
            assert _list_versions(answer) == {'v2'}

    asyncio.run(scenario())
