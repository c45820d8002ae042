"""Instances whose log, member list or peers hold what can't be read."""

import asyncio

import msgspec
import pytest
from tornado.httputil import HTTPHeaders

from anvilhall import defaults
from anvilhall.core.ledger import CLAIMS_STREAM
from anvilhall.core.messages import (
    SettingsOffer,
    SettingsRecords,
    encode_message,
)
from anvilhall.core.positions import Position
from anvilhall.core.publication import SETTINGS_STREAM
from anvilhall.events import EventReader
from anvilhall.exceptions import (
    LogUnavailable,
    MalformedRequest,
    PlatformError,
    UpstreamGarbled,
    UpstreamStalled,
)
from anvilhall.following import StreamReader, follow_stream
from anvilhall.jobs import ChatBody
from anvilhall.logservice import HttpLogClient
from anvilhall.memberlist import HttpMembershipClient
from anvilhall.metrics import Metrics
from anvilhall.outbound import Reply
from anvilhall_standins.virtualloop import VirtualLoop
from tests.simulated import open_fleet, start_instances, submit_order

#: Seconds within which a change must be in force.
IN_FORCE_S = 4.0
DEEP = b'[' * 50_000 + b']' * 50_000
#: Invalid as settings: the class refers to a pool that does not exist.
FAULTY = {'classes': {'lost': {'pool': 'nowhere'}}}
FAULTY_STATE = {'version': 9, 'node': FAULTY}

ODD_RECORDS = {
    'null': None,
    'number': 2**70,
    'text': 'x',
    'list': [[[]]],
    'unknown kind': {'type': 'other'},
    'faulty snapshot': {
        'type': 'snapshot',
        'covers': 0,
        'version': 0,
        'teams': {'': FAULTY_STATE},
    },
    'snapshot of the future': {
        'type': 'snapshot',
        'covers': 1_000_000,
        'version': 1_000_000,
        'teams': {},
    },
    'snapshot beyond 64 bits': {
        'type': 'snapshot',
        'covers': 2**70,
        'version': 2**70,
        'teams': {},
    },
    'faulty recovery': {'type': 'recovery', 'teams': {'': FAULTY_STATE}},
    'faulty publication': {
        'type': 'publish',
        'id': 'odd',
        'team': '',
        'based_on': 1,
        'node': FAULTY,
    },
}


@pytest.fixture
def run_fleet(root_json):
    """Return a function that runs a scenario on three instances."""

    def run(scenario):
        loop, fleet = open_fleet(root_json)

        async def start():
            start_instances(fleet)
            await asyncio.sleep(2.0)
            await scenario(fleet, root_json)

        try:
            loop.run_until_complete(start())
        finally:
            loop.close()

    return run


def _with_deadline(root_json, deadline_s):
    return {**root_json, 'class_defaults': {'deadline_s': deadline_s}}


def _send(fleet, message):
    frame = encode_message(message)
    fleet.network.transmit('entry-0-1', 'entry-0-0', frame)


def _list_deadlines(fleet):
    return {
        instance.gate.tree.classes['quick'].deadline_s
        for instance in fleet.instances.values()
    }


# Guards against a publication that is lost or late behind an odd record.
@pytest.mark.parametrize('name', ODD_RECORDS)
def test_publication_after_an_odd_record_is_in_force(run_fleet, name):
    async def scenario(fleet, root_json):
        fleet.log.put(SETTINGS_STREAM, ODD_RECORDS[name])
        fleet.publish('', 1, _with_deadline(root_json, 11))
        await asyncio.sleep(IN_FORCE_S)
        assert _list_deadlines(fleet) == {11}
        fleet.add_instance('late', 'd0')
        await asyncio.sleep(IN_FORCE_S)
        assert _list_deadlines(fleet) == {11}

    run_fleet(scenario)


# Guards against claims that are no longer read behind an odd record.
@pytest.mark.parametrize('record', [None, 2**70, {'claims': [[1]]}, [], 'x'])
def test_orders_run_after_an_odd_claim(run_fleet, record):
    async def scenario(fleet, root_json):
        fleet.log.put(CLAIMS_STREAM, record)
        order = submit_order(fleet, 'entry-0-0', 'key-1')
        await order.task
        assert order.error is None

    run_fleet(scenario)


# Guards against records of a peer of which one can't be decoded: those before
# it were applied but did not come into force.
def test_records_of_a_peer_before_an_odd_one_are_in_force(run_fleet):
    async def scenario(fleet, root_json):
        for instance in fleet.instances:
            fleet.log.set_cut(instance, cut=True)
        await asyncio.sleep(8.0)
        fleet.publish('', 1, _with_deadline(root_json, 11))
        published = fleet.log.streams[SETTINGS_STREAM][-1]
        records = (msgspec.json.encode(published), DEEP)
        message = SettingsRecords(1, records)
        _send(fleet, message)
        await asyncio.sleep(IN_FORCE_S)
        assert _list_deadlines(fleet) == {11}

    run_fleet(scenario)


# Guards against a state of which only the teams and not the tree is replaced.
@pytest.mark.parametrize(
    'snapshot',
    [
        DEEP,
        b'',
        b'{"covers":9}',
        msgspec.json.encode(
            {
                'type': 'snapshot',
                'covers': 5,
                'version': 5,
                'teams': {'': FAULTY_STATE},
            }
        ),
    ],
)
def test_odd_snapshot_of_a_peer_changes_nothing(run_fleet, snapshot):
    async def scenario(fleet, root_json):
        instance = fleet.instances['entry-0-0']
        _send(fleet, SettingsOffer(snapshot))
        fleet.publish('', 1, _with_deadline(root_json, 11))
        await asyncio.sleep(IN_FORCE_S)
        assert _list_deadlines(fleet) == {11}
        assert instance.describe().teams == {'': 2}

    run_fleet(scenario)


# Guards against a deeply nested body or event that ends a request with an
# internal error.
def test_deep_chat_is_refused_or_its_stream_garbled():
    with pytest.raises(MalformedRequest):
        ChatBody.from_body(b'{"messages":' + DEEP + b'}')
    with pytest.raises(MalformedRequest):
        ChatBody.from_body(DEEP)
    with pytest.raises(UpstreamGarbled):
        EventReader().feed(b'data: {"x":' + DEEP + b'}\n\n')


class _Outbound:
    """Answers every call with the same body."""

    def __init__(self, body):
        self.reply = Reply(200, HTTPHeaders(), body)

    async def fetch(self, call):
        return self.reply


# Guards against one deeply nested record that ends the reading of a stream.
@pytest.mark.parametrize('odd', [DEEP, b'{"a":' * 5000 + b'1' + b'}' * 5000])
def test_records_beside_a_deep_one_are_read(odd):
    body = (
        b'{"end":3,"records":[{"offset":0,"body":1},'
        b'{"offset":1,"body":' + odd + b'},{"offset":2,"body":"]}\\""}]}'
    )
    client = HttpLogClient('http://a', _Outbound(body))
    page = asyncio.run(client.read('s', 0, 0))
    assert [record.offset for record in page.records] == [0, 1, 2]
    assert page.records[0].body == 1
    assert page.records[2].body == ']}"'


@pytest.mark.parametrize(
    'body', [b'', b'\xff', DEEP, b'[' * 50_000, b'{"end":-1,"records":[]}']
)
def test_answer_of_the_log_that_is_no_page_is_refused(body):
    client = HttpLogClient('http://a', _Outbound(body))
    with pytest.raises(LogUnavailable):
        asyncio.run(client.read('s', 0, 0))


_SOUND = b'{"name":"e","address":"a:1","failure_domain":"d"}'


# Guards against one odd member that hides all others.
@pytest.mark.parametrize(
    'odd',
    [
        b'7',
        b'null',
        b'{"name":"odd"}',
        b'{"name":"odd","address":"a:0","failure_domain":"d"}',
        b'{"name":"odd","address":"a:65536","failure_domain":"d"}',
        b'{"name":"odd","address":":80","failure_domain":"d"}',
        b'{"name":"odd","address":"a\\r\\nb:80","failure_domain":"d"}',
        b'{"name":"a b","address":"a:1","failure_domain":"d"}',
        b'{"name":"odd","address":"a:1","failure_domain":"d","slots":%d}'
        % 2**80,
        b'{"name":"odd","address":"a:1","failure_domain":"d","capacity":-1}',
        b'{"name":"odd","address":"a:1","failure_domain":"d","x":'
        + DEEP
        + b'}',
    ],
)
def test_members_beside_an_odd_one_are_listed(odd):
    body = b'{"members":[' + odd + b',' + _SOUND + b']}'
    client = HttpMembershipClient('http://a', _Outbound(body))
    listed = asyncio.run(client.read())
    assert [member.name for member in listed.members][-1] == 'e'
    assert len(listed.members) == 1 or odd.endswith(b']}')


@pytest.mark.parametrize('body', [b'', DEEP, b'{"members":7}'])
def test_answer_that_is_no_member_list_is_refused(body):
    client = HttpMembershipClient('http://a', _Outbound(body))
    with pytest.raises(PlatformError):
        asyncio.run(client.read())


class _SilentOutbound:
    """Leaves the first call unanswered and answers the others."""

    def __init__(self, body):
        self._answer = _Outbound(body)
        self._calls = 0

    async def fetch(self, call):
        self._calls += 1
        if self._calls == 1:
            await asyncio.sleep(call.timeout_s)
            raise UpstreamStalled('no answer')
        return await self._answer.fetch(call)


# Guards against a change that is late because the answer to a poll is lost.
def test_record_is_read_in_time_if_a_poll_is_not_answered():
    body = b'{"end":1,"records":[{"offset":0,"body":1}]}'
    loop = VirtualLoop()
    pages = []

    async def handle_page(page):
        pages.append((loop.time(), page))
        await asyncio.Event().wait()

    async def scenario():
        reader = StreamReader(
            's',
            lambda: Position(0, 0),
            handle_page,
            lambda start: None,
            lambda era: None,
        )
        log = HttpLogClient('http://a', _SilentOutbound(body))
        work = follow_stream(reader, log, defaults.LOG_POLL_S, Metrics())
        task = asyncio.ensure_future(work)
        while not pages:
            await asyncio.sleep(0.1)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    loop.run_until_complete(scenario())
    loop.close()
    assert pages[0][0] < IN_FORCE_S
