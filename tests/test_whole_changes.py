"""Changes that are applied whole although a step of them fails."""

import asyncio
import math

import pytest
from tornado.httpserver import HTTPServer

from anvilhall.core.broker import Broker
from anvilhall.core.owner import Owner
from anvilhall.core.retirement import Retirement
from anvilhall.fleet import Fleet
from tests.site import ROUTES, make_manifest, make_route, run_site, wait_until


def _fail(*_):
    raise RuntimeError('injected')


def _fail_often(monkeypatch, owner, name, times):
    """Make the first calls of a function fail; return those that have."""
    function = getattr(owner, name)
    failed = []

    def fail(*arguments):
        if len(failed) < times:
            failed.append(name)
            raise RuntimeError('injected')
        return function(*arguments)

    monkeypatch.setattr(owner, name, fail)
    return failed


def _count_errors(gateway):
    errors = gateway.metrics.internal_errors.labels('RuntimeError')
    return errors._value.get()


# Guards against requests that a planned stop cuts because handing over the
# shards has failed.
def test_stop_drains_requests_although_the_handover_of_shards_fails(
    monkeypatch,
):
    async def scenario():
        async with run_site() as site:
            gateway = site.gateways['g1']
            site.runners['desk-0'].work_s = 0.6
            call = asyncio.ensure_future(site.fetch('/order/1', method='POST'))
            await wait_until(lambda: gateway.context.open_requests)
            failed = _fail_often(monkeypatch, Broker, 'refresh', math.inf)
            await gateway.stop()
            assert (await call).status == 200
            assert _count_errors(gateway) == len(failed) > 0

    asyncio.run(scenario())


# Guards against settings that are in force in one component and not in the
# next, and that peers do not hear of.
def test_settings_reach_all_components_although_one_fails(monkeypatch):
    async def scenario():
        async with run_site() as site:
            gateway = site.gateways['g1']
            announced = []
            failed = _fail_often(monkeypatch, Broker, 'set_tree', math.inf)
            monkeypatch.setattr(
                Fleet,
                'announce_settings',
                lambda _: announced.append(gateway._settings_feed.version),
            )
            await site.publish(make_manifest(2))
            await wait_until(lambda: announced)
            assert announced == [2]
            assert gateway._origins._settings.version == 2
            assert _count_errors(gateway) == len(failed) > 0

    asyncio.run(scenario())


# Guards against settings that are in force in a part of an instance for good.
@pytest.mark.parametrize(
    ('owner', 'name'),
    [
        (Broker, 'set_tree'),
        (Broker, 'refresh'),
        (Fleet, '_update_links'),
        (Owner, 'set_tree'),
        (Retirement, 'extend'),
    ],
)
def test_settings_are_applied_again_after_a_failure(monkeypatch, owner, name):
    async def scenario():
        async with run_site() as site:
            gateway = site.gateways['g1']
            await site.add_runner('extra-0', 'extra')
            failed = _fail_often(monkeypatch, owner, name, 2)
            extra = make_route('extra', service='extra', timeout_ms=1500)
            manifest = make_manifest(2, (*ROUTES, extra))
            manifest['services'].append({'name': 'extra'})
            await site.publish(manifest)
            await wait_until(lambda: len(failed) == 2)
            owners = gateway._fleet.broker.owner
            await wait_until(lambda: 'extra' in owners.pools)
            answer = await site.fetch('/extra/1', method='POST')
            assert answer.status == 200
            assert _count_errors(gateway) == 2

    asyncio.run(scenario())


# Guards against an instance that keeps its shards while it stops.
@pytest.mark.parametrize(
    ('owner', 'name'),
    [(Broker, 'refresh'), (Fleet, 'broadcast'), (Fleet, '_update_links')],
)
def test_shards_are_handed_over_again_after_a_failure(monkeypatch, owner, name):
    async def scenario():
        async with run_site() as site:
            await site.add_gateway('g2')
            gateways = list(site.gateways.values())
            await wait_until(
                lambda: all(len(each._fleet.live) == 2 for each in gateways)
            )
            await wait_until(
                lambda: any(each._fleet.broker.owner.pools for each in gateways)
            )
            fleet = next(
                each._fleet
                for each in gateways
                if each._fleet.broker.owner.pools
            )
            failed = _fail_often(monkeypatch, owner, name, 1)
            with pytest.raises(RuntimeError, match='injected'):
                fleet.leave()
            assert failed
            assert fleet.busy
            await wait_until(lambda: not fleet.broker.owner.pools)

    asyncio.run(scenario())


# Guards against a change of the view that is given up half-way for good.
def test_view_is_applied_again_after_a_failure(monkeypatch):
    async def scenario():
        async with run_site() as site:
            gateway = site.gateways['g1']
            fleet = gateway._fleet
            with monkeypatch.context() as patched:
                patched.setattr(Broker, 'refresh', _fail)
                await site.add_runner('desk-1')
                await wait_until(lambda: _count_errors(gateway))
            owner = fleet.broker.owner
            await wait_until(lambda: len(owner.get_shard('desk').runners) == 2)

    asyncio.run(scenario())


# Guards against requests that wait beyond their limits while a change of the
# view can't be applied.
def test_timeouts_are_applied_although_the_view_is_not(monkeypatch):
    async def scenario():
        async with run_site() as site:
            gateway = site.gateways['g1']
            ticks = []
            tick = Broker.tick

            def note(broker):
                ticks.append(broker)
                tick(broker)

            monkeypatch.setattr(Fleet, '_update_links', _fail)
            await site.add_runner('desk-1')
            await wait_until(lambda: _count_errors(gateway))
            monkeypatch.setattr(Broker, 'tick', note)
            await wait_until(lambda: ticks)

    asyncio.run(scenario())


# Guards against a process that does not end after SIGTERM, as one connection
# does not close.
def test_stop_ends_although_a_connection_does_not_close(monkeypatch):
    async def wait_forever(_):
        await asyncio.Event().wait()

    async def scenario():
        async with run_site() as site:
            monkeypatch.setattr(
                HTTPServer, 'close_all_connections', wait_forever
            )
            async with asyncio.timeout(2.0):
                await site.gateways['g1'].stop()

    asyncio.run(scenario())
