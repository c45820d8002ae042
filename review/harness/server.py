"""Stand-in for a server of a plain service or a model engine."""

import asyncio
import json
import time


class Request:
    """A request as a server has read it."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body

    @property
    def request_id(self):
        return self.headers.get('anvilhall-request-id', '')


class Server:
    """One server; :meth:`handle` may be replaced.

    :param handle: coroutine that answers a request: gets server, request,
        reader and writer, and returns whether the connection is kept.
    """

    def __init__(self, name, service, store, record, handle, slots=64, version='v1'):
        self.name = name
        self.service = service
        self.record = record
        self.runs = []
        self.address = ''
        self._store = store
        self._handle = handle
        self._slots = slots
        self._sequence = 0
        self._server = None
        self._writers = set()
        #: Version of its software, and the Unix milliseconds of its start.
        self.version = version
        self.born = int(time.time() * 1000)

    async def start(self):
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f'{host}:{port}'
        self.register()

    def register(self, state='ready'):
        """Write the entry of this server, as at each change."""
        self._sequence += 1
        entry = {
            'service': self.service,
            'address': self.address,
            'zone': 'plovdiv-a',
            'version': self.version,
            'slots': self._slots,
            'state': state,
            'cold_left_ms': 0,
            'seq': self._sequence,
            'born': self.born,
        }
        self._store.put('keyed.servers', self.name, json.dumps(entry).encode())

    def close(self):
        if self._server:
            self._server.close()

    async def restart(self, version, away_s):
        """Crash, and start again under the same name and address."""
        self.close()
        for writer in list(self._writers):
            writer.transport.abort()
        await asyncio.sleep(away_s)
        self.version = version
        self.born = int(time.time() * 1000)
        host, port = self.address.split(':')
        self._server = await asyncio.start_server(self._serve, host, int(port))
        self.register()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while await self._read(reader, writer):
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _read(self, reader, writer):
        head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
        lines = head.split('\r\n')
        method, target, _ = lines[0].split(' ')
        headers = {}
        for line in lines[1:]:
            name, _, text = line.partition(':')
            headers[name.strip().lower()] = text.strip()
        body = await reader.readexactly(int(headers.get('content-length', '0')))
        request = Request(method, target, headers, body)
        expected = headers.get('anvilhall-expect-instance', self.name)
        if expected != self.name:
            writer.write(b'HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n')
            return True
        self.runs.append(request)
        self.record.note('server', self.name, 'runs', request.request_id)
        return await self._handle(self, request, reader, writer)


def build_head(server, request, *lines):
    """Return the head of a successful answer."""
    return '\r\n'.join(
        [
            'HTTP/1.1 200 OK',
            f'Anvilhall-Request-Id: {request.request_id}',
            f'Anvilhall-Server-Seal: {server.name}.{request.request_id}',
            *lines,
            '',
            '',
        ]
    ).encode()


async def answer_plain(server, request, reader, writer):
    """Answer with the identifier of the request."""
    body = request.request_id.encode()
    writer.write(build_head(server, request, f'Content-Length: {len(body)}') + body)
    return True
