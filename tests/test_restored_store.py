"""Gateways whose store comes back from an older copy."""

import asyncio

import pytest

from tests.site import make_manifest, make_route, run_site, wait_until

INSTANCES = 'keyed.instances'
#: Number of records that a test writes and then loses.
LOST = 8


async def _write_many(site, name, count=LOST):
    """Write entries of a runner that differ only in their number of orders."""
    for seq in range(count):
        await site.register(name, seq=2 + seq)


def _list_leaving(gateway):
    return {member.name for member in gateway.runners if member.leaving}


# Guards against a drain that is ignored because its offset is too low.
def test_drain_at_an_offset_below_the_known_one_is_noted():
    async def scenario():
        async with run_site(desks=2) as site:
            gateway = site.gateways['g1']
            await _write_many(site, 'desk-0')
            await asyncio.sleep(1.0)
            site.store.restore(LOST)
            await asyncio.sleep(1.0)
            await site.register('desk-0', state='draining')
            await wait_until(lambda: _list_leaving(gateway) == {'desk-0'})

    asyncio.run(scenario())


# Guards against a removal that is ignored because its offset is too low.
def test_removal_at_an_offset_below_the_known_one_is_noted():
    async def scenario():
        async with run_site(desks=2) as site:
            gateway = site.gateways['g1']
            await _write_many(site, 'desk-0')
            await asyncio.sleep(1.0)
            site.store.restore(LOST)
            await asyncio.sleep(1.0)
            await site.unregister('desk-0')
            await wait_until(lambda: len(gateway.runners) == 1)

    asyncio.run(scenario())


# Guards against records that are skipped at offsets that are given out again.
@pytest.mark.parametrize('appended', [1, LOST, LOST + 3])
def test_runner_at_an_offset_given_out_again_is_found(appended):
    async def scenario():
        async with run_site(desks=1) as site:
            gateway = site.gateways['g1']
            await _write_many(site, 'desk-0')
            await asyncio.sleep(1.0)
            site.store.restore(LOST)
            await site.add_runner('desk-1')
            await _write_many(site, 'desk-0', appended - 1)
            await wait_until(lambda: len(gateway.runners) == 2)

    asyncio.run(scenario())


# Guards against a version that is skipped at an offset given out again.
@pytest.mark.parametrize('later', [0, 1, 2])
def test_version_at_an_offset_given_out_again_is_in_force(later):
    async def scenario():
        async with run_site() as site:
            gateway = site.gateways['g1']
            await site.publish(make_manifest(2))
            await wait_until(lambda: gateway.describe().settings_version == 2)
            site.store.restore(1)
            added = (make_route('added', public=True),)
            await site.publish(make_manifest(3, added))
            for number in range(later):
                await site.store.put('keyed.op', f'other-{number}', b'x')
            await wait_until(lambda: gateway.describe().settings_version == 3)
            assert (await site.fetch('/added/1')).status == 200

    asyncio.run(scenario())


# Guards against settings that come back older with the store.
def test_version_missing_from_the_copy_stays_in_force():
    async def scenario():
        async with run_site() as site:
            gateway = site.gateways['g1']
            await site.publish(make_manifest(2, keys=('another',)))
            await wait_until(lambda: gateway.describe().settings_version == 2)
            site.store.restore(1)
            await asyncio.sleep(2.0)
            assert gateway.describe().settings_version == 2
            assert (await site.fetch('/lookup/1')).status == 401

    asyncio.run(scenario())


# Guards against requests to a runner that drained before the store was lost.
def test_drain_missing_from_the_copy_is_not_forgotten():
    async def scenario():
        async with run_site(desks=2) as site:
            gateway = site.gateways['g1']
            await site.register('desk-0', state='draining')
            await wait_until(lambda: _list_leaving(gateway) == {'desk-0'})
            site.store.restore(1)
            await asyncio.sleep(1.0)
            assert _list_leaving(gateway) == {'desk-0'}
            # The runner writes its state again.
            await site.register('desk-0', state='draining')
            await asyncio.sleep(2.0)
            assert _list_leaving(gateway) == {'desk-0'}

    asyncio.run(scenario())


# Guards against runners lost because they registered after the copy was taken.
def test_runner_missing_from_the_copy_is_kept_until_it_registers_again():
    async def scenario():
        async with run_site(desks=1) as site:
            gateway = site.gateways['g1']
            await site.add_runner('desk-1')
            await wait_until(lambda: len(gateway.runners) == 2)
            site.store.restore(1)
            await asyncio.sleep(1.2)
            assert len(gateway.runners) == 2
            await site.register('desk-1')
            await asyncio.sleep(2.0)
            assert len(gateway.runners) == 2

    asyncio.run(scenario())


# Guards against new instances that do not find the others.
def test_instances_register_again():
    async def scenario():
        async with run_site() as site:
            await site.add_gateway('g2')
            topic = site.store.topics[INSTANCES]
            await wait_until(lambda: set(topic.newest) == {'g1', 'g2'})
            site.store.restore(2)
            await wait_until(lambda: set(topic.newest) == {'g1', 'g2'})

    asyncio.run(scenario())


# Guards against a larger share of the retry budget than there is.
def test_instances_missing_from_the_copy_are_counted():
    async def scenario():
        async with run_site() as site:
            gateway = site.gateways['g1']
            await site.add_gateway('g2')
            budgets = gateway.context.services.budgets
            await wait_until(lambda: budgets.instances == 2)
            site.gateways['g2'].close()
            site.store.restore(1)
            await wait_until(
                lambda: 'g1' in site.store.topics[INSTANCES].newest
            )
            await asyncio.sleep(2.5)
            assert budgets.instances == 2

    asyncio.run(scenario())


# Guards against quarantined prompts that new instances do not know.
def test_quarantined_prompts_are_stored_again():
    async def scenario():
        async with run_site() as site:
            quarantine = site.gateways['g1'].context.services.broker.quarantine
            topic = site.store.topics[INSTANCES]
            quarantine.add(('deadly',), 0.0)
            key = f'quarantine/{quarantine.entries[0].key}'
            await wait_until(lambda: key in topic.newest)
            site.store.restore(1)
            assert key not in topic.newest
            await wait_until(lambda: key in topic.newest)

    asyncio.run(scenario())


# Guards against a withdrawn prompt that comes back with the store.
def test_withdrawn_prompt_is_removed_from_the_store_again():
    async def scenario():
        async with run_site() as site:
            quarantine = site.gateways['g1'].context.services.broker.quarantine
            topic = site.store.topics[INSTANCES]
            quarantine.add(('deadly',), 0.0)
            key = f'quarantine/{quarantine.entries[0].key}'
            await wait_until(lambda: key in topic.newest)
            quarantine.note_served(('deadly',), 0.0)
            await wait_until(lambda: key not in topic.newest)
            site.store.restore(1)
            assert key in topic.newest
            await wait_until(lambda: key not in topic.newest)
            assert not quarantine.list_parts()

    asyncio.run(scenario())
