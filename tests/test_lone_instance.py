"""An instance that decides alone, as one that is gone owns the pools."""

import asyncio
import itertools

import pytest

from anvilhall.core.directory import Directory
from anvilhall.core.members import Member, MemberList
from tests.site import make_manifest, run_site, wait_until

#: Requests at the same time: more than the slots of all runners.
REQUESTS = 6


def _owns_pool(name, gateway):
    """Return whether an instance owns the pool ``desk`` beside ``g1``."""
    directory = Directory('g1', 'r')
    entries = (Member(each, 'a:1', 'd1', region='r') for each in ('g1', name))
    directory.set_list(MemberList(members=(*entries, *gateway.runners)))
    directory.set_live(['g1', name])
    return directory.find_owner('desk') == name


def _count_errors(gateway):
    (family,) = gateway.metrics.internal_errors.collect()
    return sum(
        sample.value
        for sample in family.samples
        if sample.name.endswith('_total')
    )


async def _restart_alone(site):
    """Have an instance crash and another one restart and decide alone."""
    g1 = site.gateways['g1']
    names = (f'gone-{number}' for number in itertools.count())
    name = next(each for each in names if _owns_pool(each, g1))
    await site.add_gateway(name)
    await wait_until(lambda: name in g1._fleet.live)
    site.gateways.pop(name).close()
    site.gateways.pop('g1').close()
    gateway = await site.restart_gateway('g1')
    await wait_until(lambda: gateway.ready and name in gateway._fleet.live)
    return gateway


# Guards against requests that are refused, and a process that ends, as a slot
# that is released in a change is granted within it.
@pytest.mark.parametrize('change', ['settings', 'stop'])
def test_change_at_an_instance_that_decides_alone_loses_no_request(change):
    async def scenario():
        async with run_site() as site:
            site.runners['desk-0'].work_s = 0.3
            gateway = await _restart_alone(site)
            calls = [
                asyncio.ensure_future(
                    site.fetch(f'/lookup/{number}', method='POST', body=b'q')
                )
                for number in range(REQUESTS)
            ]
            await wait_until(lambda: gateway._fleet.broker.running_count)
            if change == 'stop':
                await gateway.stop()
            else:
                for version in range(2, 12):
                    await site.publish(make_manifest(version))
                    await asyncio.sleep(0.05)
            replies = await asyncio.gather(*calls)
            assert {reply.status for reply in replies} == {200}
            assert _count_errors(gateway) == 0

    asyncio.run(scenario())
