"""Clients read long answers slowly while their machine is stopped as planned."""

import asyncio
import signal
import socket

from harness.client import Answer, build_request, read_answer, send
from harness.server import Server, build_head
from harness.site import make_manifest, make_route

#: Length of an answer, and the speed at which a server sends it.
ANSWER_BYTES = 12_000_000
SERVER_BYTES_PER_S = 5_000_000
#: Speed at which the clients read in the disruption; else as fast as they can.
CLIENT_BYTES_PER_S = 2_000_000
CLIENTS = 6
PIECE_BYTES = 50_000
GRACE_S = 8


async def export(server, request, reader, writer):
    """Send a long answer at the speed of the server."""
    writer.write(build_head(server, request, f'Content-Length: {ANSWER_BYTES}'))
    for _ in range(ANSWER_BYTES // PIECE_BYTES):
        writer.write(b'z' * PIECE_BYTES)
        await writer.drain()
        await asyncio.sleep(PIECE_BYTES / SERVER_BYTES_PER_S)
    server.record.note('server', server.name, 'has sent all of', request.request_id)
    return True


async def play(site, record, trouble):
    """Stop an instance while its clients read answers."""
    lookup = make_route('stock-lookup', 'ledger', timeout_ms=15000, attempts=2)
    await site.start(make_manifest(7, [lookup]))
    servers = [
        Server(f'i-{number}', 'ledger', site.store, record, export, slots=6)
        for number in range(3)
    ]
    for server in servers:
        await server.start()
    name = 'edge-plovdiv-a-1'
    instance = site.add(name, grace_s=GRACE_S)
    site.launch(name)
    await site.wait_ready(name)
    await asyncio.sleep(3)
    loop = asyncio.get_running_loop()
    answers = []

    async def look_up(number):
        request_id, encoded = build_request('GET', '/stock-lookup/1', Anvilhall_Deadline_Ms='15000')
        client = socket.socket()
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
        client.setblocking(False)
        await loop.sock_connect(client, ('127.0.0.1', instance.front))
        reader, writer = await asyncio.open_connection(sock=client, limit=65536)
        writer.write(encoded)
        answer = Answer()
        answer.request_id = request_id
        began = loop.time()
        got = 0
        try:
            head = await reader.readuntil(b'\r\n\r\n')
            answer.status = int(head.split()[1])
            while got < ANSWER_BYTES:
                piece = await reader.read(PIECE_BYTES)
                if not piece:
                    break
                got += len(piece)
                if trouble:
                    await asyncio.sleep(max(0, began + got / CLIENT_BYTES_PER_S - loop.time()))
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        answer.whole = got >= ANSWER_BYTES
        writer.close()
        answers.append(answer)
        record.note(
            f'client {number}: {request_id} got {answer.status} and {got} of {ANSWER_BYTES} bytes'
            f' in {loop.time() - began:.2f} s'
        )

    tasks = [asyncio.create_task(look_up(number)) for number in range(CLIENTS)]
    await asyncio.sleep(0.5)
    record.note('platform: SIGTERM to', name)
    stopped_at = loop.time()
    instance.process.send_signal(signal.SIGTERM)
    await asyncio.gather(*tasks)
    await asyncio.to_thread(instance.process.wait, GRACE_S)
    record.note(f'platform: {name} ended after {loop.time() - stopped_at:.2f} s')
    runs = {request.request_id for server in servers for request in server.runs}
    if not runs:
        raise RuntimeError('no request was run')
    return [
        f'{answer.request_id} was passed on and has no complete answer'
        for answer in answers
        if answer.request_id in runs and not answer.whole
    ]
