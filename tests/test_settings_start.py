"""Instances that start while the store's newest settings are invalid."""

import asyncio

import pytest

from anvilhall_standins.serving import Fault
from tests.site import make_manifest, make_route, run_site, wait_until

#: Seconds after which a version must be in force.
IN_FORCE_S = 2.0
INVALID = (b'{"version":3,"routes":7}', b'{"version":3', b'\xff', b'[]')


def _get_version(site, name):
    return site.gateways[name].describe().settings_version


# Guards against an instance that finds only the invalid one of two versions.
@pytest.mark.parametrize('invalid', INVALID)
def test_instance_starts_with_the_newest_valid_version(invalid):
    async def scenario():
        async with run_site() as site:
            added = (make_route('added', public=True),)
            await site.publish(make_manifest(2, added))
            await wait_until(lambda: _get_version(site, 'g1') == 2)
            await site.store.put('keyed.op', 'config', invalid)
            site.gateways['g1'].close()
            gateway = await site.add_gateway('g2')
            async with asyncio.timeout(IN_FORCE_S):
                await wait_until(lambda: gateway.ready)
            assert _get_version(site, 'g2') == 2
            reply = await site.fetch('/added/1', gateway='g2')
            assert reply.status == 200

    asyncio.run(scenario())


# Guards against a version that was published while the store was away, just
# before an invalid one.
def test_version_missed_during_an_outage_is_found_behind_an_invalid_one():
    async def scenario():
        async with run_site() as site:
            site.store.faults.start(Fault('down', for_s=1.5))
            await asyncio.sleep(1.0)
            await site.publish(make_manifest(2))
            await site.store.put('keyed.op', 'config', INVALID[0])
            await asyncio.sleep(0.5)
            async with asyncio.timeout(IN_FORCE_S):
                await wait_until(lambda: _get_version(site, 'g1') == 2)

    asyncio.run(scenario())


# Guards against an instance that waits for the store although the records have
# expired and its peers know a valid version.
def test_instance_starts_with_the_version_of_a_peer():
    async def scenario():
        async with run_site() as site:
            await site.store.put('keyed.op', 'config', INVALID[0])
            site.store.get_topic('keyed.op').truncate()
            gateway = await site.add_gateway('g2')
            await wait_until(lambda: gateway.ready)
            assert _get_version(site, 'g2') == 1

    asyncio.run(scenario())


# Guards against refusals that claim that a route does not exist while no
# version is known.
def test_instance_without_a_valid_version_is_not_ready():
    async def scenario():
        async with run_site() as site:
            await site.store.put('keyed.op', 'config', INVALID[0])
            site.store.get_topic('keyed.op').truncate()
            site.gateways['g1'].close()
            gateway = await site.add_gateway('g2')
            await asyncio.sleep(1.0)
            assert not gateway.ready
            reply = await site.fetch('/lookup/1', gateway='g2')
            assert reply.status == 503
            await site.publish(make_manifest(4))
            await wait_until(lambda: gateway.ready)

    asyncio.run(scenario())
