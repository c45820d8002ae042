"""Links between instances."""

import asyncio

import pytest

from anvilhall.fleet import Fleet
from anvilhall.links import Link
from tests.site import run_site, wait_until

FAULTS = (RuntimeError, asyncio.CancelledError)


def _fail_once(monkeypatch, name, instance, fault):
    """Make the first call of a method of the fleet of an instance fail."""
    method = getattr(Fleet, name)
    failed = []

    def fail(fleet, *arguments):
        if not failed and fleet._config.instance == instance:
            failed.append(name)
            raise fault('injected')
        method(fleet, *arguments)

    monkeypatch.setattr(Fleet, name, fail)
    return failed


def _is_joined(*gateways):
    return all(
        len(gateway._fleet.live) == len(gateways)
        and len(gateway._fleet.linked) == len(gateways) - 1
        for gateway in gateways
    )


# Guards against an instance that is never dialled again, and whose messages are
# put on a closed link, after a fault when the link came up.
@pytest.mark.parametrize('fault', FAULTS)
@pytest.mark.parametrize('instance', ['g1', 'g2'])
def test_link_is_dialled_again_after_a_fault(monkeypatch, instance, fault):
    async def scenario():
        failed = _fail_once(monkeypatch, '_handle_link_up', instance, fault)
        async with run_site() as site:
            await site.add_gateway('g2')
            await wait_until(lambda: failed)
            gateways = site.gateways.values()
            await wait_until(lambda: _is_joined(*gateways))
            for gateway in gateways:
                links = gateway._fleet._links
                assert not any(task.done() for task in links._dialling.values())
                for link in (
                    *links._dialled.values(),
                    *links._accepted.values(),
                ):
                    assert link._connection.state.name == 'OPEN'
            answer = await site.fetch('/order/1', method='POST', gateway='g2')
            assert answer.status == 200

    asyncio.run(scenario())


# Guards against messages that wait for ever on a link that seems to be open.
def test_link_whose_writer_fails_is_closed():
    class Connection:
        def __init__(self):
            self.transport = self
            self.aborted = False

        async def send(self, _):
            raise RuntimeError('injected')

        def abort(self):
            self.aborted = True

    class Counter:
        def __getattr__(self, _):
            return self

        def labels(self, *_):
            return self

        def inc(self, *_):
            """Count nothing."""

    async def scenario():
        connection = Connection()
        link = Link(connection, None, Counter())
        link._outbox.put_nowait(b'message')
        await wait_until(lambda: connection.aborted)

    asyncio.run(scenario())
