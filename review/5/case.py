"""A stream leaves a server that is silent for a moment, and the next one is full."""

import asyncio

from harness.client import Answer, build_request, read_answer
from harness.server import Server, build_head
from harness.site import make_manifest, make_route

NAME = 'edge-tx-central-a-1'
TOUCH_S = 3
STREAMS = 8
EVENTS = 40
EVENT_S = 0.03
#: Event before which the first server is silent, and for how long.
PAUSE_BEFORE = 10
PAUSE_S = 1.4
#: Requests that a machine may lose, by the rule.
ALLOWED = 3


async def play(site, record, trouble):
    """Stream events, with a pause, while the other server has no room."""
    full = False

    async def stream(server, request, reader, writer):
        if full and server.name == 'i-2':
            server.runs.pop()
            record.note('server', server.name, 'is full and has not run', request.request_id)
            writer.write(
                b'HTTP/1.1 503 Service Unavailable\r\nAnvilhall-Not-Executed: 1\r\n'
                b'Anvilhall-Request-Id: %b\r\nContent-Length: 0\r\n\r\n'
                % request.request_id.encode()
            )
            return True
        writer.write(
            build_head(
                server, request, 'Content-Type: text/event-stream', 'Transfer-Encoding: chunked'
            )
        )
        first = int(request.headers.get('last-event-id') or 0) + 1
        for number in range(first, EVENTS + 1):
            if full and number == PAUSE_BEFORE:
                await asyncio.sleep(PAUSE_S)
            event = b'id: %d\ndata: %b\n\n' % (number, request.request_id.encode())
            writer.write(b'%x\r\n%b\r\n' % (len(event), event))
            await writer.drain()
            await asyncio.sleep(EVENT_S)
        writer.write(b'0\r\n\r\n')
        return True

    reply = make_route(
        'quick-reply', 'assist', kind='streaming', timeout_ms=15000, priority=0,
        attempts=2, resumable=True, gap_aim_ms=200,
    )
    await site.start(make_manifest(7, [reply]))
    servers = [
        Server('i-1', 'assist', site.store, record, stream, slots=48),
        Server('i-2', 'assist', site.store, record, stream, slots=48),
    ]
    await servers[0].start()
    site.add(NAME)
    site.launch(NAME)
    await site.wait_ready(NAME)
    await asyncio.sleep(TOUCH_S)
    ends = []

    async def ask(reader, writer):
        request_id, encoded = build_request(
            'POST', '/quick-reply/1', b'x',
            Anvilhall_Deadline_Ms='15000', Anvilhall_Token_Count='600,160',
        )
        answer = Answer()
        answer.request_id = request_id
        try:
            writer.write(encoded)
            async with asyncio.timeout(10):
                await read_answer(reader, answer)
        except (TimeoutError, ConnectionError):
            pass
        state = 'whole' if answer.whole else 'channel closed'
        record.note('client:', request_id, answer.status, state, answer.body.count(b'id: '), 'events')
        return answer

    async def use_channel():
        port = site.instances[NAME].front
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        # The second request comes on a kept channel.
        await ask(reader, writer)
        await ready.wait()
        ends.append(await ask(reader, writer))
        writer.close()

    ready = asyncio.Event()
    clients = [asyncio.create_task(use_channel()) for _ in range(STREAMS)]
    await asyncio.sleep(2.5)
    full = trouble
    if trouble:
        record.note('disruption: i-1 falls silent once in each stream for', PAUSE_S, 's; i-2 is full')
    ready.set()
    await asyncio.sleep(0.2)
    await servers[1].start()
    await asyncio.gather(*clients)
    runs = {request.request_id for request in servers[0].runs}
    lost = [each for each in ends if each.request_id in runs and not each.whole]
    record.note(f'{len(lost)} of {len(ends)} streams were closed before their end')
    if not ends:
        raise RuntimeError('no stream was asked for')
    if len(lost) <= ALLOWED:
        return []
    return [f'{each.request_id} was passed on, and its channel closed' for each in lost]
