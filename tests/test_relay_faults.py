"""Relaying beside faulty runners, broken connections and planned stops."""

import asyncio
import socket

import pytest
from tornado.httputil import HTTPHeaders

from anvilhall.core.messages import Heartbeat
from anvilhall.exceptions import UpstreamCut
from anvilhall.relay import RelayRequest
from tests.rawcaller import RawCaller
from tests.site import HOST, KEY, WAIT_S, count_runs, run_site, wait_until


def test_instance_without_a_manifest_refuses_a_request_with_a_body():
    async def scenario():
        async with run_site() as site:
            site.store.topics.clear()
            await site.add_gateway('g2')
            reply = await site.fetch(
                '/order/1', gateway='g2', method='POST', body=b'x' * 5000
            )
            assert reply.status == 503
            assert not count_runs(site)

    asyncio.run(scenario())


def test_request_that_arrived_before_the_stop_gets_an_answer():
    async def scenario():
        async with run_site() as site:
            gateway = site.gateways['g1']
            caller = socket.create_connection(('127.0.0.1', site.ports['g1']))
            caller.setblocking(False)
            await wait_until(lambda: gateway.context.idle)
            # The bytes are in the gateway's socket, which it has not read when
            # it stops.
            caller.send(
                b'POST /order/1 HTTP/1.1\r\nHost: desk.example\r\n'
                b'Anvilhall-Request-Id: late\r\nContent-Length: 1\r\n'
                b'Anvilhall-Credential: key-of-ann\r\n\r\nx',
            )
            gateway._server.stop()
            loop = asyncio.get_running_loop()
            async with asyncio.timeout(WAIT_S):
                answer = await loop.sock_recv(caller, 4096)
            assert answer.startswith(b'HTTP/1.1 503')
            assert not count_runs(site)
            caller.close()

    asyncio.run(scenario())


def test_stream_that_drips_bytes_without_an_event_is_moved():
    async def scenario():
        async with run_site(engines=2, events=3) as site:
            dripping = site.runners['llm-0']
            dripping.behaviours.append('drip')
            replies = await asyncio.gather(
                *(
                    site.fetch(f'/chat/{number}', method='POST', body=b'q')
                    for number in range(8)
                ),
            )
            assert not dripping.behaviours
            expected = b''.join(
                b'id: %d\ndata: event %d\n\n' % (number, number)
                for number in range(1, 4)
            )
            assert {reply.body for reply in replies} == {expected}

    asyncio.run(scenario())


EVENTS = b''.join(b'id: %d\ndata: event %d\n\n' % (n, n) for n in (1, 2, 3))


@pytest.mark.parametrize('path', ['/chat/1', '/brief/1'])
def test_stream_that_ends_with_its_connection_is_whole(path):
    async def scenario():
        async with run_site(engines=1, events=3) as site:
            site.runners['llm-0'].behaviours.append('unframed-stream')
            reply = await site.fetch(path, method='POST', body=b'q')
            assert reply.body == EVENTS
            assert count_runs(site) == 1

    asyncio.run(scenario())


# Guards against a response without a body that counts as a broken stream.
def test_head_of_a_stream_is_relayed():
    async def scenario():
        async with run_site(engines=1) as site:
            reply = await site.fetch('/brief/1', method='HEAD')
            assert reply.status == 200
            assert not reply.body

    asyncio.run(scenario())


# Guards against a stream whose runner ends within an event and that the caller
# takes for whole, because neither a length nor chunks tell.
@pytest.mark.parametrize('size', [0, 3, 7, 8, len(EVENTS) - 1])
def test_unframed_stream_that_ends_within_an_event_is_cut(size):
    async def scenario():
        async with run_site(engines=1, events=3) as site:
            site.runners['llm-0'].behaviours.append(
                f'unframed-stream-cut-{size}'
            )
            try:
                reply = await site.fetch('/brief/1', method='POST', body=b'q')
            except UpstreamCut:
                return
            assert reply.status == 502

    asyncio.run(scenario())


@pytest.mark.parametrize('size', [0, 3, 30, len(EVENTS) - 1])
def test_unframed_stream_that_ends_within_an_event_is_resumed(size):
    async def scenario():
        async with run_site(engines=2, events=3) as site:
            cut = site.runners['llm-0']
            cut.behaviours.append(f'unframed-stream-cut-{size}')
            replies = await asyncio.gather(
                *(
                    site.fetch(f'/chat/{number}', method='POST', body=b'q')
                    for number in range(4)
                ),
            )
            assert not cut.behaviours
            assert {reply.body for reply in replies} == {EVENTS}

    asyncio.run(scenario())


def test_slow_stream_with_whole_events_is_not_moved():
    async def scenario():
        async with run_site(engines=2, events=6) as site:
            for engine in (site.runners['llm-0'], site.runners['llm-1']):
                engine.event_s = 0.6
            reply = await site.fetch('/chat/1', method='POST', body=b'q')
            assert reply.body.endswith(b'data: event 6\n\n')
            assert count_runs(site) == 1

    asyncio.run(scenario())


def test_failed_attempt_is_logged_with_its_prompt_parts(monkeypatch):
    lines = []
    monkeypatch.setattr(
        'anvilhall.logs.log_event',
        lambda kind, **fields: lines.append((kind, fields)),
    )

    async def scenario():
        async with run_site(engines=1) as site:
            site.runners['llm-0'].behaviours.append('reset')
            headers = {'Anvilhall-Prefix-Hash': 'aa:10,bb:20,cc:5'}
            await site.fetch(
                '/brief/1', method='POST', body=b'q', headers=headers
            )
            kind, fields = lines[-1]
            assert kind == 'attempt_failed'
            assert fields['runner'] == 'llm-0'
            assert fields['result'] == 'upstream_cut'
            assert fields['parts'] == ['aa', 'bb', 'cc']

    asyncio.run(scenario())


@pytest.mark.parametrize(
    'behaviour', ['endless-head', 'endless-info', 'endless-body']
)
def test_bytes_without_end_are_bounded_and_may_have_run(behaviour):
    async def scenario():
        async with run_site() as site:
            site.runners['desk-0'].behaviours.append(behaviour)
            call = site.build_call('/order/1', method='POST', body=b'x')
            other = asyncio.ensure_future(site.fetch('/lookup/2'))
            try:
                # It fails if nothing ends the exchange within ``WAIT_S``.
                reply = await site.client.fetch(call)
            except UpstreamCut:
                # The answer had begun, so that its end must look incomplete.
                assert behaviour == 'endless-body'
            else:
                assert reply.status in {502, 504}
            assert (await other).status == 200
            context = site.gateways['g1'].context
            await wait_until(lambda: not context.open_requests)

    asyncio.run(scenario())


def test_length_of_other_digits_is_a_bad_request():
    async def scenario():
        async with run_site() as site:
            reader, writer = await asyncio.open_connection(
                '127.0.0.1', site.ports['g1']
            )
            writer.write(
                b'POST /order/1 HTTP/1.1\r\nHost: desk.example\r\n'
                b'Anvilhall-Request-Id: odd\r\nContent-Length: \xb2\r\n'
                b'Anvilhall-Credential: key-of-ann\r\n\r\nx',
            )
            head = await reader.read(100)
            assert head.startswith(b'HTTP/1.1 400') or not head
            assert not count_runs(site)
            rendered = site.gateways['g1'].metrics.render()
            assert b'ValueError' not in rendered
            writer.close()

    asyncio.run(scenario())


def test_failing_message_handler_leaves_links_and_redialling_intact(
    monkeypatch,
):
    def fail(*_):
        raise LookupError('bug')

    async def scenario():
        async with run_site() as site:
            first = site.gateways['g1']
            first._fleet.add_handler(Heartbeat, fail)
            second = await site.add_gateway('g2')
            await wait_until(lambda: first.describe().linked)
            await wait_until(lambda: b'LookupError' in first.metrics.render())
            await second.stop()
            await wait_until(lambda: not first.describe().linked)
            await site.restart_gateway('g2')
            await wait_until(lambda: first.describe().linked)

    asyncio.run(scenario())


def test_unsent_bytes_are_counted_until_each_write_is_flushed():
    class Connection:
        def __init__(self):
            self.futures = []

        def write(self, chunk):
            self.futures.append(asyncio.get_running_loop().create_future())
            return self.futures[-1]

    class Response:
        suspended = False

        def suspend(self):
            self.suspended = True

        def resume(self):
            self.suspended = False

    async def scenario():
        async with run_site() as site:
            connection = Connection()
            context = site.gateways['g1'].context
            request = RelayRequest(context, connection)
            context.idle.discard(request)
            request._relay = Response()
            for _ in range(4):
                request.write(b'x' * 75_000 if connection.futures else b'x')
            assert not request._relay.suspended
            # The first write is flushed; three of 75,000 bytes are not.
            connection.futures[0].set_result(None)
            await asyncio.sleep(0)
            request.write(b'x' * 75_000)
            assert request._relay.suspended
            for future in connection.futures[1:]:
                assert request._relay.suspended
                future.set_result(None)
                await asyncio.sleep(0)
            # What waited is written in turn, and then read on.
            assert request._relay.suspended
            connection.futures[-1].set_result(None)
            await asyncio.sleep(0)
            assert not request._relay.suspended

    asyncio.run(scenario())


@pytest.mark.parametrize('kind', ['order', 'lookup'])
def test_late_copy_of_an_answer_never_reaches_the_next_caller(kind):
    async def scenario():
        async with run_site() as site:
            runner = site.runners['desk-0']
            statuses = set()
            # A copy has some 170 bytes; 0 sends all of it with the next answer.
            for split in range(175):
                runner.behaviours.append(f'copy-{split}')
                for turn in range(2):
                    call = site.build_call(
                        f'/{kind}/{split}-{turn}', method='POST', body=b'x'
                    )
                    reply = await site.client.fetch(call)
                    own = call.headers['Anvilhall-Request-Id'].encode()
                    if reply.status == 200:
                        assert own in reply.body
                    else:
                        assert reply.status == 502
                    statuses.add(reply.status)
                runner.behaviours.clear()
            # The copies did meet orders, which are not sent again.
            assert kind == 'lookup' or statuses == {200, 502}

    asyncio.run(scenario())


@pytest.mark.parametrize('kind', ['order', 'lookup', 'chat', 'brief'])
@pytest.mark.parametrize(
    'death',
    ['refused', 'unread', 'reset', 'cut-head', 'cut-after-head', 'cut-body'],
)
def test_outcome_is_true_wherever_the_connection_dies(kind, death):
    async def scenario():
        async with run_site(desks=1, engines=1, events=3) as site:
            pool = 'desk' if kind in {'order', 'lookup'} else 'llm'
            runner = site.runners[f'{pool}-0']
            if death == 'refused':
                runner.stop()
            else:
                runner.behaviours.append(death)
            call = site.build_call(f'/{kind}/1', method='POST', body=b'x')
            try:
                reply = await site.client.fetch(call)
            except UpstreamCut:
                # The caller has received a part that is not taken for a whole.
                assert kind in {'chat', 'brief'}
                reply = None
            runs = count_runs(site)
            if death == 'refused':
                assert reply.status == 503
                assert not runs
                return
            if reply and reply.status != 200:
                # Statuses that deny a run are not sent after a send.
                assert reply.status in {502, 504}
            if kind in {'order', 'brief'}:
                assert runs == (death != 'unread')
                assert reply is None or reply.status != 200
            else:
                assert reply.status == 200

    asyncio.run(scenario())


def test_stop_passes_over_a_connection_that_its_caller_has_closed():
    async def scenario():
        async with run_site() as site:
            gateway = site.gateways['g1']
            before = set(gateway.context.idle)
            _, writer = await asyncio.open_connection(
                '127.0.0.1', site.ports['g1']
            )
            await wait_until(lambda: set(gateway.context.idle) - before)
            # The reference keeps the request in the set of idle ones.
            idle = (set(gateway.context.idle) - before).pop()
            writer.close()
            await wait_until(idle._connection.stream.closed)
            gateway._server.stop()
            assert gateway.context.closing

    asyncio.run(scenario())


# Guards against a caller whose connection is closed although it reads: writes
# that overlapped counted as unsent for ever.
def test_overlapping_writes_are_counted_as_sent_once_they_are_read():
    async def scenario():
        async with run_site() as site:
            site.runners['desk-0'].behaviours.append('mute')
            lines = (
                'POST /lookup/1 HTTP/1.1',
                f'Host: {HOST}',
                'Anvilhall-Request-Id: overlapping',
                f'Anvilhall-Credential: {KEY}',
            )
            caller = RawCaller(lines, b'body')
            await caller.connect(site.ports['g1'], narrow=True)
            caller.send_head(4)
            await wait_until(lambda: count_runs(site))
            (request,) = site.gateways['g1'].context.open
            request.send_head(200, HTTPHeaders())
            head = await caller.read_bytes(1)
            assert head == b'H'
            for _ in range(4):
                for _ in range(2):
                    request.write(bytes(400_000))
                assert len(await caller.read_bytes(800_000)) == 800_000

    asyncio.run(scenario())
