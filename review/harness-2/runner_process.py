"""A stand-in for a runner as a process of its own, which can be killed.

Arguments: name, service, zone, address of the store, number of events, seconds
between them, whether answers have no length (1) or not (0), and a port. A number
of events of 0 makes it a plain service, whose answers come in ten pieces. With a
port other than 0 it is a successor that waits for a line on its standard input
before it takes the port.

It writes its entry in the store, again each 1.2 s. At SIGTERM it reports that
it drains, goes on serving for ``drain_ms``, ends its open answers and exits.
"""

import asyncio
import json
import pathlib
import signal
import struct
import sys
import time

sys.dont_write_bytecode = True
sys.path.insert(0, str(pathlib.Path(__file__).parent))

from standins import Runner  # noqa: E402

_DRAIN_S = 2.0
#: Seconds between attempts to take a port from the process before.
_PORT_RETRY_S = 0.001
_PIECES = 10


def _say(word, **fields):
    """Write a line on the standard output, for the record of the script."""
    shown = ' '.join(f'{name}={text}' for name, text in fields.items())
    sys.stdout.write(f'{word} {shown}\n')
    sys.stdout.flush()


class ProcessRunner(Runner):
    """A runner that registers itself in a store of another process."""

    def __init__(self, name, service, zone, store, events, event_s, unframed):
        super().__init__(name, service, zone, _say, events=events, event_s=event_s)
        self._store = store
        self._unframed = unframed
        self._open = 0
        self.state = 'ready'
        self.born = int(time.time() * 1000)

    async def write_entry(self, store):
        """Append the entry of this runner to its topic."""
        entry = {
            'service': self.service, 'address': self.address, 'zone': self.zone, 'version': 'v1', 'slots': self.slots,
            'state': self.state, 'cold_left_ms': 0, 'seq': self._sequence, 'born': self.born,
        }
        key = self.name.encode()
        record = bytes((len(key),)) + key + json.dumps(entry).encode()
        body = struct.pack('>I', len(record)) + record
        host, port = self._store.split(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(
            f'POST /log-append?topic=keyed.servers&part=0 HTTP/1.1\r\nHost: store\r\nContent-Length: {len(body)}\r\n\r\n'.encode()
            + body
        )
        await reader.readline()
        writer.close()

    async def drain(self):
        """Report that the runner drains, and wait until it may exit."""
        self.state = 'draining'
        self._sequence += 1
        await self.write_entry(None)
        await asyncio.sleep(_DRAIN_S)
        while self._open:
            await asyncio.sleep(0.05)

    async def _answer(self, request, writer):
        if request.target == '/report':
            body = json.dumps({'stage': 'mixed', 'busy': False, 'seq': 1, 'born': self.born}).encode()
            writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % len(body) + body)
            return
        await super()._answer(request, writer)

    async def run(self, request, writer):
        """Run a request; an answer without a length ends with its channel."""
        self._open += 1
        self._note('run', id=request.request_id, method=request.method, target=request.target)
        try:
            await asyncio.sleep(self.work_s)
            if self.events:
                await self._send_events(request, writer)
            else:
                await self._send_pieces(request, writer)
        finally:
            self._open -= 1
        if self._unframed:
            await writer.drain()
            raise ConnectionError

    async def _send_events(self, request, writer):
        framing = () if self._unframed else ('Transfer-Encoding: chunked',)
        writer.write(self.build_head(request, 'Content-Type: text/event-stream', *framing))
        first = int(request.get('Last-Event-Id') or 0) + 1
        for number in range(first, self.events + 1):
            event = f'id: {number}\ndata: event {number}\n\n'.encode()
            writer.write(event if self._unframed else b'%x\r\n%s\r\n' % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.event_s)
        if not self._unframed:
            writer.write(b'0\r\n\r\n')

    async def _send_pieces(self, request, writer):
        piece = f'{request.request_id} piece. '.encode()
        framing = () if self._unframed else (f'Content-Length: {len(piece) * _PIECES}',)
        writer.write(self.build_head(request, *framing))
        for _ in range(_PIECES):
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(self.event_s)


async def _take_port(runner, port):
    """Listen at a port as soon as the process before has ended."""
    await asyncio.to_thread(sys.stdin.readline)
    runner.born = int(time.time() * 1000)
    while True:
        try:
            await runner.start(None, port=port)
        except OSError:
            await asyncio.sleep(_PORT_RETRY_S)
        else:
            return


async def _serve(name, service, zone, store, events, event_s, unframed, port):
    runner = ProcessRunner(name, service, zone, store, int(events), float(event_s), unframed == '1')
    leaving = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, leaving.set)
    if port == '0':
        await runner.start(None)
    else:
        _say('waiting')
        await _take_port(runner, int(port))
    _say('listens', address=runner.address)
    await leaving.wait()
    await runner.drain()


if __name__ == '__main__':
    asyncio.run(_serve(*sys.argv[1:]))
