"""Changes that are applied whole although a step of them fails."""

import asyncio

from tornado.httpserver import HTTPServer

from anvilhall.core.broker import Broker
from anvilhall.fleet import Fleet
from tests.site import make_manifest, run_site, wait_until


def _fail(*_):
    raise RuntimeError('injected')


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
            monkeypatch.setattr(Broker, 'refresh', _fail)
            await gateway.stop()
            assert (await call).status == 200
            assert _count_errors(gateway) == 1

    asyncio.run(scenario())


# Guards against settings that are in force in one component and not in the
# next, and that peers do not hear of.
def test_settings_reach_all_components_although_one_fails(monkeypatch):
    async def scenario():
        async with run_site() as site:
            gateway = site.gateways['g1']
            announced = []
            monkeypatch.setattr(Broker, 'set_tree', _fail)
            monkeypatch.setattr(
                Fleet,
                'announce_settings',
                lambda _: announced.append(gateway._settings_feed.version),
            )
            await site.publish(make_manifest(2))
            await wait_until(lambda: announced)
            assert announced == [2]
            assert gateway._origins._settings.version == 2
            assert _count_errors(gateway) == 1

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
