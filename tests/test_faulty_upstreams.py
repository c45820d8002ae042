"""Upstreams of the own interface that repeat refusals or break off."""

import asyncio
import contextlib

import pytest
from msgspec import structs

from anvilhall.exceptions import UpstreamCut
from anvilhall.outbound import Call, CurlOutbound
from tests.cluster import Cluster, build_chat, find_port
from tests.test_faulty_answers import STATUSES

EVENT = b'data: {"choices":[{"delta":{"content":"%s"}%s}]}\n\n'
#: Events of a whole answer.
EVENTS = (
    EVENT % (b'one ', b''),
    EVENT % (b'two ', b''),
    EVENT % (b'three', b',"finish_reason":"stop"'),
    b'data: [DONE]\n\n',
)
#: Seconds after which a request of a test ends.
DEADLINE_S = 3.0
SERVICE_BODY = b'{"done": true}'


def frame_events(events):
    """Return a chunked response with events and its end."""
    chunks = b''.join(b'%x\r\n%s\r\n' % (len(each), each) for each in events)
    head = (
        b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
        b'Transfer-Encoding: chunked\r\n\r\n'
    )
    return head + chunks + b'0\r\n\r\n'


def frame_body(status, body):
    """Return a response with a length."""
    head = b'HTTP/1.1 %d Status\r\nContent-Length: %d\r\n\r\n'
    return head % (status, len(body)) + body


class RawUpstream:
    """Upstream that writes the bytes of a script, one entry a request."""

    def __init__(self, whole):
        #: Response to requests beyond the script.
        self.whole = whole
        #: Bytes to write, and whether the connection ends after them.
        self.script = []
        #: Numbers of requests on their connections that count as run.
        self.runs = []
        self.refused = 0
        self.connections = 0
        self._server = None

    async def start(self):
        port = find_port()
        self._server = await asyncio.start_server(
            self._serve, '127.0.0.1', port
        )
        return port

    def stop(self):
        self._server.close()

    async def _serve(self, reader, writer):
        self.connections += 1
        number = 0
        last_refusal = b''
        while True:
            try:
                head = await reader.readuntil(b'\r\n\r\n')
            except (asyncio.IncompleteReadError, ConnectionError):
                break
            size = 0
            for line in head.lower().split(b'\r\n'):
                if line.startswith(b'content-length:'):
                    size = int(line.partition(b':')[2])
            await reader.readexactly(size)
            if b'/cancel' in head.split(b'\r\n', 1)[0]:
                writer.write(frame_body(200, b''))
                continue
            number += 1
            kind, content, ends = 'run', self.whole, False
            if self.script:
                kind, content, ends = self.script.pop(0)
            if kind == 'refuse':
                last_refusal = content
                self.refused += 1
            else:
                self.runs.append(number)
            if kind == 'stale':
                content = last_refusal or self.whole
            writer.write(content)
            try:
                await writer.drain()
            except ConnectionError:
                break
            if ends:
                break
        writer.close()


@contextlib.asynccontextmanager
async def open_raw_cluster(root, kind):
    """Yield a cluster with one instance, and its only upstream."""
    cluster = Cluster()
    whole = frame_events(EVENTS)
    pool = 'chat'
    if kind != 'chat':
        whole = frame_body(200, SERVICE_BODY)
        pool = 'desk'
    upstream = RawUpstream(whole)
    try:
        port = await upstream.start()
        cluster._add_member('raw-0', port, 'd1', pool)
        defaults = {'deadline_s': DEADLINE_S}
        cluster.publish(structs.replace(root, class_defaults=defaults))
        await cluster.add_instance('entry-0')
        await cluster.wait_ready()
        yield cluster, upstream
    finally:
        upstream.stop()
        await cluster.close()


async def _send(cluster, kind, number):
    """Return status and body of a request; ``None`` if it was cut."""
    try:
        if kind == 'chat':
            status, _, body = await cluster.chat('entry-0', build_chat())
            return status, body
        headers = {'Anvilhall-Class': kind}
        if kind == 'order':
            headers['Idempotency-Key'] = f'key-{number}'
        reply = await cluster.call('entry-0', f'x/{number}', headers)
    except UpstreamCut:
        return None
    return reply.status, reply.body


def _says_not_run(body):
    return b'"outcome":"not_run"' in body


# Guards against 'not run' for a request that an upstream has run.
@pytest.mark.parametrize('kind', ['chat', 'lookup', 'order'])
@pytest.mark.parametrize('status', [429, 503])
def test_repeated_refusal_does_not_deny_a_run(root, kind, status):
    async def scenario():
        async with open_raw_cluster(root, kind) as (cluster, upstream):
            assert (await _send(cluster, kind, 'first'))[0] == 200
            before = len(upstream.runs)
            refusal = frame_body(status, b'{}')
            upstream.script = [
                ('refuse', refusal, False),
                *[('stale', b'', False)] * 6,
            ]
            for number in range(2):
                answer = await _send(cluster, kind, number)
                ran = len(upstream.runs) - before
                if answer is not None and ran:
                    assert not _says_not_run(answer[1])
                if kind == 'order':
                    assert ran <= 1
                before = len(upstream.runs)

    asyncio.run(scenario())


# Guards against a refusal of another request on a kept connection.
@pytest.mark.parametrize('kind', ['chat', 'lookup'])
def test_refusal_that_names_another_request_is_not_believed(root, kind):
    async def scenario():
        async with open_raw_cluster(root, kind) as (cluster, upstream):
            refusal = frame_body(503, b'{}').replace(
                b'\r\n', b'\r\nX-Request-Id: another\r\n', 1
            )
            assert (await _send(cluster, kind, 'first'))[0] == 200
            upstream.script = [('run', refusal, False)] * 8
            answer = await _send(cluster, kind, 0)
            assert answer[0] != 200
            assert upstream.runs
            assert not _says_not_run(answer[1])

    asyncio.run(scenario())


# Guards against upstreams whose own identifiers make every answer fail.
@pytest.mark.parametrize('kind', ['chat', 'lookup', 'order'])
def test_answer_with_an_identifier_of_the_upstream_is_delivered(root, kind):
    async def scenario():
        async with open_raw_cluster(root, kind) as (cluster, upstream):
            upstream.whole = upstream.whole.replace(
                b'\r\n', b'\r\nX-Request-Id: its-own\r\n', 1
            )
            for number in range(2):
                assert (await _send(cluster, kind, number))[0] == 200

    asyncio.run(scenario())


# Guards against the text of an error within a stream.
@pytest.mark.parametrize('status', STATUSES)
def test_answer_of_the_next_engine_is_no_part_of_a_begun_stream(root, status):
    async def scenario():
        async with open_raw_cluster(root, 'chat') as (cluster, engine):
            whole = engine.whole
            begun = whole[: whole.index(b'two')]
            body = b'failed\n\n' if status not in {204, 304} else b''
            refusal = frame_body(status, body)
            engine.script = [
                ('run', begun, True),
                *[('run', refusal, False)] * 6,
            ]
            answer = await _send(cluster, 'chat', 0)
            assert answer is None or b'failed' not in answer[1]
            if answer is not None and b'[DONE]' in answer[1]:
                assert b'"error"' in answer[1] or b'three' in answer[1]

    asyncio.run(scenario())


# Guards against a response framed as whole although its upstream broke off.
@pytest.mark.parametrize(
    'whole', [frame_events(EVENTS), frame_body(200, SERVICE_BODY)]
)
def test_response_cut_at_any_byte_is_not_taken_for_whole(whole):
    async def scenario():
        upstream = RawUpstream(whole)
        outbound = CurlOutbound()
        port = await upstream.start()
        for cut in range(len(whole)):
            upstream.script = [('run', whole[:cut], True)]
            call = Call(
                url=f'http://127.0.0.1:{port}/', method='POST', body=b'x'
            )
            with pytest.raises(UpstreamCut):
                await outbound.fetch(call)
            assert not upstream.script
        outbound.close()
        upstream.stop()

    asyncio.run(scenario())


# Guards against a response framed as whole although its service broke off.
def test_order_cut_at_any_byte_is_not_taken_for_whole(root):
    async def scenario():
        async with open_raw_cluster(root, 'order') as (cluster, upstream):
            whole = upstream.whole
            for cut in range(len(whole)):
                upstream.script = [('run', whole[:cut], True)]
                before = len(upstream.runs)
                answer = await _send(cluster, 'order', cut)
                assert answer is None or answer[0] != 200
                if answer is not None and len(upstream.runs) > before:
                    assert not _says_not_run(answer[1])
                upstream.script = []

    asyncio.run(scenario())


# Guards against an answer that ends as if complete although its engine broke
# off, within the head or later.
@pytest.mark.parametrize('cut', [0, 9, 12, 17, 40, 92, 95, 110, 300, -8, -3])
def test_chat_that_breaks_off_is_completed_or_cut(root, cut):
    async def scenario():
        async with open_raw_cluster(root, 'chat') as (cluster, upstream):
            whole = upstream.whole
            upstream.script = [('run', whole[:cut], True)] * 3
            answer = await _send(cluster, 'chat', cut)
            if answer is not None and b'[DONE]' in answer[1]:
                assert b'"error"' in answer[1] or b'three' in answer[1]

    asyncio.run(scenario())
