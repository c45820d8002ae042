"""Each connection that is closed before its answer has a line in the log."""

import asyncio

import pytest

from anvilhall_standins.engine import EngineModel
from tests.cluster import build_chat, inject_fault, open_cluster, wait_for
from tests.rawcaller import RawCaller
from tests.site import HOST, KEY, run_site, wait_until

CLOSED = 'connection_closed'
#: An engine without pauses between words.
QUICK_ENGINE = EngineModel(
    prefill_tokens_per_s=1e9, step_base_ms=0, step_per_stream_ms=0
)


@pytest.fixture
def lines(monkeypatch):
    """Return the log lines on closed connections, as they are written."""
    written = []

    def note(kind, **fields):
        if kind == CLOSED:
            written.append(fields)

    monkeypatch.setattr('anvilhall.relay.log_event', note)
    monkeypatch.setattr('anvilhall.callers.log_event', note)
    return written


def _build_caller(path, body=b'body', *, chunked=False):
    return RawCaller(
        (
            f'POST {path} HTTP/1.1',
            f'Host: {HOST}',
            'Anvilhall-Request-Id: closed',
            f'Anvilhall-Credential: {KEY}',
        ),
        body,
        chunked=chunked,
    )


async def _open(site, path, size, **fields):
    caller = _build_caller(path, **fields)
    await caller.connect(site.ports['g1'])
    caller.send_head(size)
    return caller


def _run(scenario, **fields):
    async def start():
        async with run_site(**fields) as site:
            await scenario(site)

    asyncio.run(start())


def test_answer_that_is_cut_is_logged(lines):
    async def scenario(site):
        site.runners['llm-0'].cut_after = 2
        caller = await _open(site, '/brief/1', 4)
        assert not (await caller.read_answer()).whole
        await wait_until(lambda: lines)
        assert lines[0]['reason'] == 'answer_cut'
        assert lines[0]['request_id'] == 'closed'
        assert lines[0]['head_written']
        assert lines[0]['written_bytes'] > 0

    _run(scenario, engines=1)


@pytest.mark.parametrize('size', [2, 4])
def test_caller_that_leaves_before_its_answer_is_logged(lines, size):
    async def scenario(site):
        site.runners['desk-0'].work_s = 5.0
        caller = await _open(site, '/lookup/1', size)
        context = site.gateways['g1'].context
        await wait_until(lambda: context.open_requests)
        if size == 4:
            await wait_until(lambda: site.runners['desk-0'].runs)
        caller.close()
        await wait_until(lambda: not context.open_requests)
        (line,) = lines
        assert line['reason'] == 'caller_gone'
        assert line['request_id'] == 'closed'
        assert line['received_bytes'] == size
        assert line['relayed'] == (size == 4)
        assert not line['head_written']

    _run(scenario)


def test_caller_that_does_not_read_is_logged(lines):
    async def scenario(site):
        site.runners['desk-0'].body_bytes = 64 * 1024 * 1024
        caller = await _open(site, '/lookup/1', 4)
        await wait_until(lambda: lines)
        (line,) = lines
        assert line['reason'] == 'slow_caller'
        assert line['request_id'] == 'closed'
        caller.close()

    _run(scenario)


def test_answered_and_idle_connections_are_not_logged(lines):
    async def scenario(site):
        for path in ('/lookup/1', '/unknown/1'):
            caller = await _open(site, path, 4)
            assert (await caller.read_answer()).whole
            caller.close()
        large = await _open(site, '/lookup/1', 4, body=bytes(200_000))
        assert (await large.read_answer()).status == 413
        await site.gateways['g1'].stop()
        assert lines == []

    _run(scenario)


# Guards against a body that the parser refuses without a line in the log.
def test_malformed_body_is_logged_with_its_request(lines):
    async def scenario(site):
        caller = _build_caller('/lookup/1', b'body', chunked=True)
        await caller.connect(site.ports['g1'])
        caller.send_head(2)
        caller.send_bytes(b'no chunk\r\n')
        assert (await caller.read_answer()).status == 400
        await wait_until(lambda: lines)
        (line,) = lines
        assert line['reason'] == 'malformed_request'
        assert line['request_id'] == 'closed'

    _run(scenario)


@pytest.mark.parametrize(
    ('head', 'reason'),
    [
        (b'no request\r\n\r\n', 'Malformed HTTP'),
        (b'GET / HTTP/1.1\r\nX: %s' % bytes(100_000), 'Unsatisfiable read'),
    ],
)
def test_head_that_the_server_refuses_is_logged(monkeypatch, head, reason):
    reasons = []

    def note(kind, **fields):
        if kind == 'http_server':
            reasons.append(fields['reason'])

    monkeypatch.setattr('anvilhall.parsing.log_event', note)

    async def scenario(site):
        caller = RawCaller(())
        await caller.connect(site.ports['g1'])
        caller.send_bytes(head)
        await wait_until(lambda: reasons)
        assert reasons[0].startswith(reason)
        caller.close()

    _run(scenario)


def _build_own_caller(path, body, *, chunked=False, deadline_s=60.0):
    lines = (
        f'POST {path} HTTP/1.1',
        'Host: a',
        'Authorization: Bearer ann',
        f'Anvilhall-Deadline-Seconds: {deadline_s}',
    )
    return RawCaller(lines, body, chunked=chunked)


CALL = ('/services/desk/1', b'{"n": 1}')
CHAT = ('/v1/chat/completions', build_chat('hello', 5))


def _list_owned(instance):
    return [owned.pool for owned in instance.describe().owned]


def _run_own(node, scenario, **fields):
    async def start():
        async with open_cluster(node, **fields) as cluster:
            await scenario(cluster, cluster.instances['entry-0'])

    asyncio.run(start())


# Guards against requests that count as open for ever, so that others are
# refused and a planned stop waits for them.
@pytest.mark.parametrize('request_', [CALL, CHAT])
def test_caller_that_leaves_within_its_body_is_logged(
    root_json, lines, request_
):
    async def scenario(cluster, instance):
        caller = _build_own_caller(*request_)
        await caller.connect(cluster.ports['entry-0'])
        caller.send_head(3)
        await wait_for(lambda: instance.gate.open_requests)
        caller.close()
        await wait_for(lambda: not instance.gate.open_requests)
        (line,) = lines
        assert line['reason'] == 'caller_gone'
        assert line['received_bytes'] == 3
        assert not line['relayed']

    _run_own(root_json, scenario)


def test_caller_that_leaves_a_chat_is_logged(root_json, lines):
    async def scenario(cluster, instance):
        inject_fault(cluster.engines['chat-0'].faults, 'silent')
        caller = _build_own_caller(*CHAT)
        await caller.connect(cluster.ports['entry-0'])
        caller.send_head()
        caller.send_rest()
        await wait_for(lambda: cluster.engines['chat-0'].started)
        caller.close()
        await wait_for(lambda: not instance.gate.open_requests)
        (line,) = lines
        assert line['reason'] == 'caller_gone'
        assert line['relayed']

    _run_own(root_json, scenario)


# Guards against a slow caller whose answer ends as if it were complete.
def test_caller_that_does_not_read_its_chat_is_closed_and_logged(
    root_json, lines, monkeypatch
):
    monkeypatch.setattr('anvilhall.callers._UNSENT_LIMIT_BYTES', 100_000)

    async def scenario(cluster, instance):
        cluster.add_engine('quick', model=QUICK_ENGINE)
        await wait_for(lambda: 'chat' in _list_owned(instance))
        request = build_chat('hello', 10_000)
        caller = _build_own_caller(
            '/v1/chat/completions', request, deadline_s=2.0
        )
        await caller.connect(cluster.ports['entry-0'], narrow=True)
        caller.send_head()
        caller.send_rest()
        await wait_for(lambda: lines)
        await wait_for(lambda: not instance.gate.open_requests)
        (line,) = lines
        assert line['reason'] == 'slow_caller'
        assert not (await caller.read_answer()).whole

    _run_own(root_json, scenario, engines=0)


def test_malformed_body_at_the_own_interface_is_logged(root_json, lines):
    async def scenario(cluster, instance):
        caller = _build_own_caller(*CHAT, chunked=True)
        await caller.connect(cluster.ports['entry-0'])
        caller.send_head(3)
        caller.send_bytes(b'no chunk\r\n')
        assert (await caller.read_answer()).status == 400
        await wait_for(lambda: not instance.gate.open_requests)
        assert [line['reason'] for line in lines] == ['malformed_request']

    _run_own(root_json, scenario)


def test_answered_calls_are_not_logged(root_json, lines):
    async def scenario(cluster, instance):
        for request in (CALL, CHAT, ('/unknown', b'')):
            caller = _build_own_caller(*request)
            await caller.connect(cluster.ports['entry-0'])
            caller.send_head()
            caller.send_rest()
            assert (await caller.read_answer()).whole
            caller.close()
        await instance.stop()
        assert lines == []

    _run_own(root_json, scenario)
