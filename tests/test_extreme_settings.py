"""Versions of the settings with values at and beyond their limits."""

import asyncio
import copy

import pytest

from tests.site import make_manifest, run_site, wait_until

#: Manifests that no operator can mean; they must not come into force.
INVALID = {
    'no header bytes': ('limits', 'max_header_bytes', 0),
    'negative header bytes': ('limits', 'max_header_bytes', -1),
    'no body bytes': ('limits', 'max_body_bytes', -1),
    'endless body': ('limits', 'max_body_bytes', 2**70),
    'no idle time': ('limits', 'idle_timeout_ms', 0),
    'negative idle time': ('limits', 'idle_timeout_ms', -5),
    'endless idle time': ('limits', 'idle_timeout_ms', 1e300),
    'no timeout': ('route', 'timeout_ms', 0),
    'negative timeout': ('route', 'timeout_ms', -1),
    'endless timeout': ('route', 'timeout_ms', 1e300),
    'negative objective': ('route', 'slo_ms', -1),
    'endless objective': ('route', 'slo_ms', 1e300),
    'endless gap': ('route', 'gap_aim_ms', 1e300),
    'negative gap': ('route', 'gap_aim_ms', -1),
    'negative priority': ('route', 'priority', -1),
    'priority beyond 64 bits': ('route', 'priority', 2**70),
    'attempts beyond 64 bits': ('route', 'attempts', 2**70),
    'prefix without slashes': ('route', 'path_prefix', 'lookup'),
    'prefix without its last slash': ('route', 'path_prefix', '/lookup'),
    'no service': ('route', 'service', ''),
    'unknown service': ('route', 'service', 'nowhere'),
    'negative weight': (
        'route',
        'traffic_split',
        [{'service': 'desk', 'weight': -1}],
    ),
    'endless weight': (
        'route',
        'traffic_split',
        [{'service': 'desk', 'weight': 1e300}] * 2,
    ),
    'weights of nothing': (
        'route',
        'traffic_split',
        [{'service': 'desk', 'weight': 0}],
    ),
    'split to an unknown service': (
        'route',
        'traffic_split',
        [{'service': 'nowhere', 'weight': 1}],
    ),
    'negative slots': ('engine', 'slots', -1),
    'no slots': ('engine', 'slots', 0),
    'slots beyond 64 bits': ('engine', 'slots', 2**70),
    'negative memory': ('engine', 'kv_tokens', -1),
    'memory beyond 64 bits': ('engine', 'kv_tokens', 2**70),
    'negative stride': ('engine', 'stride', -1),
    'tenant priority beyond 64 bits': ('tenant', 'priority', 2**70),
    'negative tenant priority': ('tenant', 'priority', -1),
    'key of two tenants': (
        'manifest',
        'tenants',
        [
            {'name': 'ann', 'api_keys': ['k']},
            {'name': 'bob', 'api_keys': ['k']},
        ],
    ),
}
#: Unusual manifests that are sound and must come into force.
VALID = {
    'key listed twice': ('tenant', 'api_keys', ['key-of-ann', 'key-of-ann']),
    'unknown kind': ('route', 'kind', 'odd'),
    'no bodies': ('limits', 'max_body_bytes', 0),
    'no keys': ('tenant', 'api_keys', []),
    'unused services': (
        'manifest',
        'services',
        [{'name': 'desk'}, {'name': 'llm'}, {'name': 'idle'}],
    ),
    'no attempts': ('route', 'attempts', 0),
    'many attempts': ('route', 'attempts', 1000),
    'low priority': ('route', 'priority', 99),
    'host in capitals': ('route', 'host', 'DESK.example'),
    'fractional timeout': ('route', 'timeout_ms', 1500.5),
    'no memory': ('engine', 'kv_tokens', 0),
    'no stride': ('engine', 'stride', 0),
    'no objective for gaps': ('route', 'gap_aim_ms', 0),
    'new fields': ('manifest', 'other', {'a': [1, None]}),
    'one share of a split': (
        'route',
        'traffic_split',
        [{'service': 'desk', 'weight': 1}, {'service': 'llm', 'weight': 0}],
    ),
}


def _change(part, name, content):
    """Return a manifest of version 2 of which one field is changed."""
    manifest = copy.deepcopy(make_manifest(2))
    parts = {
        'manifest': manifest,
        'limits': manifest['limits'],
        'route': manifest['routes'][0],
        'engine': manifest['services'][1]['engine'],
        'tenant': manifest['tenants'][0],
    }
    parts[part][name] = content
    return manifest


async def _check_service(site, gateway):
    """Check that requests are served, and that the next version holds."""
    reply = await site.fetch('/open/1')
    assert reply.status == 200
    await site.publish(make_manifest(3))
    await wait_until(lambda: gateway.describe().settings_version == 3)
    reply = await site.fetch('/lookup/1')
    assert reply.status == 200


# Guards against an invalid version that comes into force, whole or in part.
@pytest.mark.parametrize('name', INVALID)
def test_invalid_version_is_refused(name):
    async def scenario():
        async with run_site() as site:
            gateway = site.gateways['g1']
            await site.publish(_change(*INVALID[name]))
            await asyncio.sleep(0.4)
            assert gateway.describe().settings_version == 1
            await _check_service(site, gateway)

    asyncio.run(scenario())


# Guards against a confirmed version that is refused for what it may hold.
@pytest.mark.parametrize('name', VALID)
def test_unusual_version_is_in_force(name):
    async def scenario():
        async with run_site() as site:
            gateway = site.gateways['g1']
            await site.publish(_change(*VALID[name]))
            await wait_until(lambda: gateway.describe().settings_version == 2)
            await _check_service(site, gateway)

    asyncio.run(scenario())
