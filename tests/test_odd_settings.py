"""Gateways whose store has versions of the settings that can't be read."""

import asyncio

import pytest

from tests.site import make_manifest, run_site, wait_until

DEEP = b'[' * 50_000 + b']' * 50_000


# Guards against one odd version of the settings that ends their reading.
@pytest.mark.parametrize(
    'manifest',
    [
        b'{"version":2,"other":' + DEEP + b'}',
        b'{"version":2,"routes":' + DEEP + b'}',
        b'{"version":' + b'9' * 6000 + b'}',
        b'{"version":%d}' % 2**70,
        b'{"version":-5}',
        b'{"version":2.5}',
        DEEP,
        b'\xff',
    ],
)
def test_next_version_is_in_force_after_an_odd_one(manifest):
    async def scenario():
        async with run_site() as site:
            gateway = site.gateways['g1']
            await site.store.put('keyed.op', 'config', manifest)
            await asyncio.sleep(0.3)
            assert gateway.describe().settings_version == 1
            await site.publish(make_manifest(3))
            await wait_until(lambda: gateway.describe().settings_version == 3)

    asyncio.run(scenario())
