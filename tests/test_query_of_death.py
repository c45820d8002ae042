"""Requests whose content crashes runners, seen from callers and runners."""

import asyncio

import msgspec
import pytest

from anvilhall.exceptions import UpstreamCut
from anvilhall_standins.serving import Fault
from tests.cluster import Cluster
from tests.site import run_site, wait_until

#: Runners that may crash before requests of the kind must be known, and
#: requests of the kind that may reach runners after that.
CRASHES = 5
LATE_REQUESTS = 3
#: Seconds after the last of these crashes from which on the limit holds.
TOUCH_S = 3.0


async def fetch(site, path, parts, **fields):
    """Send a request with a prompt of these parts.

    :return: the status of the response; 0 if it was cut.
    """
    sizes = ','.join(f'{part}:10' for part in parts)
    headers = {'Anvilhall-Prefix-Hash': sizes}
    try:
        reply = await site.fetch(
            path, method='POST', body=b'q', headers=headers, **fields
        )
    except UpstreamCut:
        return 0
    return reply.status


def set_deadly_part(site, part):
    """Have a part crash every engine that begins to answer it."""
    for runner in site.runners.values():
        runner.traits.deadly_parts = frozenset((part,))


def count_sent(site, part):
    """Return how many requests with a part have reached runners."""
    return sum(
        part in request.parts
        for runner in site.runners.values()
        for request in runner.runs
    )


# Guards against one kind of request that crashes runner after runner, because
# nothing connects the crashes with the part that the requests share.
def test_requests_that_crash_runners_no_longer_reach_them():
    async def scenario():
        async with run_site(engines=8, events=3) as site:
            second = await site.add_gateway('g2')
            await wait_until(lambda: second.ready and second.describe().linked)
            set_deadly_part(site, 'bad')
            sound = []
            for turn in range(16):
                gateway = f'g{turn % 2 + 1}'
                deadly = fetch(
                    site,
                    f'/brief/{turn}',
                    ('first', 'doc', 'bad', f'own-{turn}'),
                    gateway=gateway,
                )
                beside = fetch(
                    site,
                    f'/brief/beside-{turn}',
                    ('first', f'doc-{turn % 3}', f'own-beside-{turn}'),
                    gateway=gateway,
                )
                _, status = await asyncio.gather(deadly, beside)
                sound.append(status)
                await asyncio.sleep(0.1)
            assert count_sent(site, 'bad') <= CRASHES + LATE_REQUESTS
            assert set(sound[-6:]) == {200}

    asyncio.run(scenario())


# Guards against a new owner that starts to count crashes anew, or that admits
# what its predecessor had quarantined.
def test_quarantine_survives_the_owner_of_the_runners():
    async def scenario():
        async with run_site(engines=8, events=3) as site:
            second = await site.add_gateway('g2')
            await wait_until(lambda: second.ready and second.describe().linked)
            for turn in range(12):
                path = f'/brief/{turn}'
                assert await fetch(site, path, ('first', 'doc', 'x')) == 200
            set_deadly_part(site, 'bad')
            owner = next(
                name
                for name, gateway in site.gateways.items()
                for owned in gateway.describe().owned
                if owned.pool == 'llm'
            )
            other = 'g1' if owner == 'g2' else 'g2'
            for turn in range(16):
                parts = ('first', 'doc', 'bad', f'own-{turn}')
                await fetch(site, f'/brief/{turn}', parts, gateway=other)
                status = await fetch(
                    site,
                    f'/brief/s{turn}',
                    ('first', 'doc', 'y'),
                    gateway=other,
                )
                if turn == 2:
                    await site.gateways[owner].stop()
            assert status == 200
            assert count_sent(site, 'bad') <= CRASHES + LATE_REQUESTS

    asyncio.run(scenario())


# Guards against a quarantine that is lost when all instances are replaced.
def test_quarantine_survives_a_restart_of_all_instances():
    async def scenario():
        async with run_site(engines=8, events=3) as site:
            for turn in range(12):
                path = f'/brief/{turn}'
                assert await fetch(site, path, ('first', 'doc', 'x')) == 200
            set_deadly_part(site, 'bad')
            for turn in range(8):
                deadly = ('first', 'doc', 'bad', f'own-{turn}')
                await fetch(site, f'/brief/{turn}', deadly)
                sound = ('first', 'doc', f'own-s{turn}')
                await fetch(site, f'/brief/s{turn}', sound)
            sent = count_sent(site, 'bad')
            assert sent <= CRASHES
            site.gateways['g1'].close()
            gateway = await site.restart_gateway('g1')
            await wait_until(lambda: gateway.ready)
            await wait_until(lambda: gateway.describe().quarantined)
            for turn in range(8):
                deadly = ('first', 'doc', 'bad', f'own-{turn}')
                status = await fetch(site, f'/brief/{turn}', deadly, fresh=True)
                assert status == 503
            assert count_sent(site, 'bad') == sent

    asyncio.run(scenario())


# Guards against an entry that is lost because the store was away when an
# instance decided on it.
def test_quarantine_is_stored_once_the_store_is_back():
    async def scenario():
        async with run_site(engines=8, events=3) as site:
            set_deadly_part(site, 'bad')
            site.store.faults.start(Fault('down', for_s=60))
            for turn in range(9):
                await fetch(site, f'/brief/{turn}', ('doc', 'bad', 'own'))
                await asyncio.sleep(0.05)
            assert site.gateways['g1'].describe().quarantined
            site.store.faults.start(Fault('down', for_s=0))
            topic = site.store.topics['keyed.instances']
            await wait_until(
                lambda: any(
                    key.startswith('quarantine/') for key in topic.newest
                )
            )

    asyncio.run(scenario())


def build_chat(*texts):
    """Return a chat of these messages."""
    messages = [{'role': 'user', 'content': text} for text in texts]
    fields = {'messages': messages, 'max_tokens': 5, 'stream': True}
    return msgspec.json.encode(fields)


# Guards against one request without a prompt that crashes runner after runner
# each time that its caller sends it again.
@pytest.mark.parametrize('path', ['/order/1', '/lookup/1', '/brief/1'])
def test_repeated_request_without_parts_no_longer_reaches_runners(path):
    async def scenario():
        async with run_site(desks=8, engines=8, events=3) as site:
            second = await site.add_gateway('g2')
            await wait_until(lambda: second.ready and second.describe().linked)
            for runner in site.runners.values():
                runner.traits.deadly_bodies = frozenset((b'deadly',))
            await _repeat_deadly(site, path, turns=16)
            early = _count_deadly(site)
            assert early <= CRASHES + LATE_REQUESTS
            await asyncio.sleep(TOUCH_S)
            sound = await _repeat_deadly(site, path, turns=8)
            assert _count_deadly(site) - early <= LATE_REQUESTS
            assert set(sound) == {200}

    asyncio.run(scenario())


async def _repeat_deadly(site, path, turns):
    """Send a deadly request again and again beside sound ones.

    :return: the statuses of the sound ones.
    """
    sound = []
    for turn in range(turns):
        gateway = f'g{turn % 2 + 1}'
        deadly = _send(site, path, b'deadly', gateway)
        beside = _send(site, path, b'sound-%d' % turn, gateway)
        _, status = await asyncio.gather(deadly, beside)
        sound.append(status)
        await asyncio.sleep(0.1)
    return sound


def _count_deadly(site):
    return sum(
        request.body == b'deadly'
        for runner in site.runners.values()
        for request in runner.runs
    )


async def _send(site, path, body, gateway):
    call = site.fetch(path, method='POST', body=body, gateway=gateway)
    try:
        return (await call).status
    except UpstreamCut:
        return 0


# Guards against a last message that crashes engine after engine each time that
# its caller sends the same chat again.
def test_repeated_chat_no_longer_reaches_engines(root):
    async def scenario():
        cluster = Cluster()
        received = [
            cluster.add_fragile_engine(f'chat-{number}', b'deadly')
            for number in range(8)
        ]
        cluster.publish(root)
        for name in ('entry-0', 'entry-1'):
            await cluster.add_instance(name)
        try:
            await cluster.wait_ready()
            for turn in range(16):
                entry = f'entry-{turn % 2}'
                await cluster.chat(entry, build_chat('sheet', 'deadly'))
                sound = build_chat('sheet', f'question {turn}')
                status, _, _ = await cluster.chat(entry, sound)
                assert status == 200
        finally:
            await cluster.close()
        sent = sum(b'deadly' in body for chats in received for body in chats)
        assert sent <= CRASHES + LATE_REQUESTS

    asyncio.run(scenario())


# Guards against a message behind the first one that crashes engine after
# engine, because only the first message was known as a part of the prompt.
def test_chats_that_crash_engines_no_longer_reach_them(root):
    async def scenario():
        cluster = Cluster()
        received = [
            cluster.add_fragile_engine(f'chat-{number}', b'deadly')
            for number in range(8)
        ]
        cluster.publish(root)
        for name in ('entry-0', 'entry-1'):
            await cluster.add_instance(name)
        try:
            await cluster.wait_ready()
            for turn in range(16):
                entry = f'entry-{turn % 2}'
                deadly = build_chat('sheet', 'deadly', f'question {turn}')
                await cluster.chat(entry, deadly)
                sound = build_chat('sheet', f'question {turn}')
                status, _, _ = await cluster.chat(entry, sound)
                assert status == 200
        finally:
            await cluster.close()
        sent = sum(b'deadly' in body for chats in received for body in chats)
        assert sent <= CRASHES + LATE_REQUESTS

    asyncio.run(scenario())
