"""Gateways whose store has entries of other writers that can't be used."""

import asyncio

import msgspec
import pytest

from anvilhall.core.members import Member
from anvilhall.core.messages import RunnerNews
from anvilhall.core.positions import Position
from anvilhall.exceptions import UnusableEntry
from anvilhall.platform.registration import decode_runner
from anvilhall.platform.store import KeyedRecord
from tests.site import run_site, wait_until

DEPTH = 50_000
DEEP = b'[' * DEPTH + b']' * DEPTH
ENTRY = {
    'service': 'desk',
    'address': '127.0.0.1:9',
    'zone': 'd1',
    'slots': 4,
    'state': 'ready',
    'seq': 1,
    'born': 1_785_061_641_000,
}


def _encode(**fields):
    return msgspec.json.encode({**ENTRY, **fields})


def _nest(name, nested=DEEP):
    return b'{"%s":%s,%s' % (name.encode(), nested, _encode()[1:])


#: Entries that name no runner to use.
ODD_ENTRIES = {
    'deep unknown field': _nest('other'),
    'deep and unclosed': _nest('other', b'[' * DEPTH),
    'deep objects': _nest('other', b'{"a":' * DEPTH + b'1' + b'}' * DEPTH),
    'deep field': _nest('service'),
    'deep array': DEEP,
    'port 0': _encode(address='127.0.0.1:0'),
    'port 65536': _encode(address='127.0.0.1:65536'),
    'port of 6000 digits': _encode(address='127.0.0.1:' + '8' * 6000),
    'superscript port': _encode(address='127.0.0.1:8²'),
    'arabic port': _encode(address='127.0.0.1:٨٠'),
    'negative port': _encode(address='127.0.0.1:-1'),
    'spaced port': _encode(address='127.0.0.1: 80'),
    'empty port': _encode(address='127.0.0.1:'),
    'no port': _encode(address='127.0.0.1'),
    'empty host': _encode(address=':80'),
    'host with CR LF': _encode(address='a\r\nX: y:80'),
    'host with NUL': _encode(address='a\0b:80'),
    'host with space': _encode(address='a b:80'),
    'host with path': _encode(address='a/b:80'),
    'host with credentials': _encode(address='u@h:80'),
    'host beyond ASCII': _encode(address='hö:80'),
    'host of 10000 characters': _encode(address='h' * 10_000 + ':80'),
    'born beyond 64 bits': _encode(born=2**64),
    'born of 6000 digits': b'{"born":' + b'9' * 6000 + b',' + _encode()[1:],
    'negative born': _encode(born=-1),
    'slots beyond 64 bits': _encode(slots=2**80),
    'slots as text': _encode(slots='4'),
    'fractional slots': _encode(slots=1.5),
    'infinite slots': b'{"slots":1e999,' + _encode()[1:],
    'service as number': _encode(service=7),
    'version as number': _encode(version=2),
    'null version': _encode(version=None),
    'version with CR LF': _encode(version='v1\r\nX: y'),
    'version of 129 characters': _encode(version='v' * 129),
    'empty service': _encode(service=''),
    'unknown state': _encode(state='odd'),
    'null': b'null',
    'no JSON': b'\x00\xff',
    'no UTF-8': b'{"service":"\xff"}',
    'lone surrogate': b'{"service":"\\ud800"}',
    'blank': b' ',
}


@pytest.mark.parametrize('name', ODD_ENTRIES)
def test_odd_entry_names_no_runner(name):
    with pytest.raises(UnusableEntry):
        decode_runner(KeyedRecord('r-1', ODD_ENTRIES[name]), 'r')


@pytest.mark.parametrize('version', ['v1', '1.20.3+x', 'v' * 128, ''])
def test_entry_states_the_version_of_its_runner(version):
    record = KeyedRecord('r-1', _encode(version=version))
    assert decode_runner(record, 'r').version == version


def test_entry_without_version_names_a_runner_of_unknown_version():
    assert decode_runner(KeyedRecord('r-1', _encode()), 'r').version == ''


@pytest.mark.parametrize(
    'key', ['', ' ', 'a b', 'a\r\nX: y', 'a\0', 'ö', '\ufffd']
)
def test_key_that_is_no_header_value_names_no_runner(key):
    with pytest.raises(UnusableEntry):
        decode_runner(KeyedRecord(key, _encode()), 'r')


# Guards against one entry that ends the reading of all runners.
def test_runners_are_followed_beside_odd_entries():
    async def scenario():
        async with run_site() as site:
            gateway = site.gateways['g1']
            for number, entry in enumerate(ODD_ENTRIES.values()):
                await site.store.put('keyed.servers', f'odd-{number}', entry)
            await site.add_runner('desk-1')
            await wait_until(lambda: len(gateway.runners) == 2)
            late = await site.add_gateway('g2')
            await wait_until(lambda: len(late.runners) == 2)
            await site.unregister('desk-0')
            await wait_until(lambda: len(gateway.runners) == 1)
            await wait_until(lambda: len(late.runners) == 1)

    asyncio.run(scenario())


# Guards against an address that this instance would refuse itself.
def test_odd_runner_of_a_peer_is_not_used():
    async def scenario():
        async with run_site() as site:
            gateway = site.gateways['g1']
            peer = await site.add_gateway('g2')
            await wait_until(lambda: 'g1' in peer.describe().linked)
            odd = Member('odd', 'a\r\nb:80', 'd1', 'desk', region='r')
            sound = Member('sound', '127.0.0.1:9', 'd1', 'desk', region='r')
            position = Position(1, 1000)
            for runner in (odd, sound):
                news = RunnerNews(position.offset, runner, era=position.era)
                peer._notify_peers(news)
            await wait_until(lambda: len(gateway.runners) == 2)
            assert {member.name for member in gateway.runners} == {
                'desk-0',
                'sound',
            }

    asyncio.run(scenario())


# Guards against a runner that stays in use after its entry became unusable.
def test_runner_whose_entry_becomes_odd_is_removed():
    async def scenario():
        async with run_site(desks=2) as site:
            gateway = site.gateways['g1']
            entry = ODD_ENTRIES['deep unknown field']
            await site.store.put('keyed.servers', 'desk-0', entry)
            await wait_until(lambda: len(gateway.runners) == 1)

    asyncio.run(scenario())


# Guards against one entry that ends the discovery of instances.
def test_instances_find_each_other_beside_odd_entries():
    async def scenario():
        async with run_site() as site:
            for number, entry in enumerate(ODD_ENTRIES.values()):
                keys = (f'odd-{number}', f'quarantine/odd-{number}')
                for key in keys:
                    await site.store.put('keyed.instances', key, entry)
            gateway = await site.add_gateway('g2')
            await wait_until(lambda: 'g1' in gateway.describe().linked)

    asyncio.run(scenario())
