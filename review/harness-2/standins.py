"""Stand-ins for the platform's store and for runners, on loopback addresses.

They speak what the users' pages describe and use the standard library only.
"""

import asyncio
import base64
import contextlib
import json
import os
import socket
import struct
import urllib.parse

HEAD_END = b'\r\n\r\n'
_LENGTH = struct.Struct('>I')
_OFFSETS = struct.Struct('>QQ')
#: Connections that fill the queue of a listening socket of length 0.
_FILLERS = 3
_REASONS = {200: 'OK', 404: 'Not Found', 410: 'Gone', 412: 'Precondition Failed', 503: 'Service Unavailable'}


class Request:
    """One HTTP request as it arrived."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body

    def get(self, name, default=''):
        """Return the last header of a name, whatever its case."""
        found = [text for key, text in self.headers if key.lower() == name.lower()]
        return found[-1] if found else default

    @property
    def request_id(self):
        """Identifier that the caller gave the request."""
        return self.get('Anvilhall-Request-Id')


async def read_request(reader):
    """Read one request; ``None`` if the connection has ended before it."""
    try:
        head = await reader.readuntil(HEAD_END)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode('latin-1').split('\r\n')
    method, target, _ = lines[0].split(' ', 2)
    headers = []
    for line in lines[1:]:
        name, colon, text = line.partition(':')
        if colon:
            headers.append((name.strip(), text.strip()))
    request = Request(method, target, headers, b'')
    try:
        request.body = await _read_body(reader, request)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return request


async def _read_body(reader, request):
    if 'chunked' in request.get('Transfer-Encoding').lower():
        pieces = []
        while True:
            size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
            piece = await reader.readexactly(size + 2)
            if not size:
                return b''.join(pieces)
            pieces.append(piece[:-2])
    length = int(request.get('Content-Length') or 0)
    return await reader.readexactly(length) if length else b''


class _Topic:
    def __init__(self):
        self.records = []
        self.newest = {}
        self.changed = asyncio.Condition()


class Store:
    """The platform's metadata store: topics of one partition each."""

    def __init__(self):
        self.topics = {}
        self.address = ''
        self._server = None

    async def start(self, host='127.0.0.1'):
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'{host}:{port}'

    async def put(self, topic, key, value):
        """Write a keyed record, as the operator and runners do; a value of ``None`` drops the key."""
        encoded = key.encode()
        content = b'' if value is None else json.dumps(value).encode()
        await self._append(topic, [bytes((len(encoded),)) + encoded + content])

    def _find(self, name):
        return self.topics.setdefault(name, _Topic())

    async def _append(self, name, records):
        topic = self._find(name)
        for record in records:
            offset = len(topic.records)
            topic.records.append(record)
            if name.startswith('keyed.'):
                end = 1 + record[0]
                key = record[1:end].decode()
                if len(record) > end:
                    topic.newest[key] = (record[end:], offset)
                else:
                    topic.newest.pop(key, None)
        async with topic.changed:
            topic.changed.notify_all()

    async def _serve(self, reader, writer):
        try:
            while request := await read_request(reader):
                status, body, kind = await self._answer(request)
                writer.write(
                    f'HTTP/1.1 {status} {_REASONS.get(status, "Status")}\r\n'
                    f'Content-Type: {kind}\r\nContent-Length: {len(body)}\r\n\r\n'.encode() + body
                )
                await writer.drain()
        except (ConnectionError, ValueError):
            pass
        finally:
            writer.close()

    async def _answer(self, request):
        path, _, query = request.target.partition('?')
        fields = dict(urllib.parse.parse_qsl(query))
        name = fields.get('topic', '')
        if path == '/log-newest':
            return self._list_newest(name, fields.get('after', ''))
        if path == '/log-read':
            return await self._read(name, fields)
        if path == '/log-append':
            return await self._take(name, fields, request.body)
        return 404, b'{}', 'application/json'

    def _list_newest(self, name, after):
        topic = self._find(name)
        keys = sorted(key for key in topic.newest if key > after)
        items = [
            {'key': key, 'value': base64.b64encode(topic.newest[key][0]).decode(), 'offset': topic.newest[key][1]}
            for key in keys[:500]
        ]
        body = {'items': items, 'truncated': len(keys) > 500, 'end': len(topic.records)}
        return 200, json.dumps(body).encode(), 'application/json'

    async def _read(self, name, fields):
        topic = self._find(name)
        start = int(fields['from'])
        wait_s = int(fields.get('wait_ms', 0)) / 1000
        if wait_s and start >= len(topic.records):
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s), topic.changed:
                    await topic.changed.wait_for(lambda: start < len(topic.records))
        parts = [_OFFSETS.pack(len(topic.records), 0)]
        parts.extend(_LENGTH.pack(len(each)) + each for each in topic.records[start:])
        return 200, b''.join(parts), 'application/octet-stream'

    async def _take(self, name, fields, body):
        topic = self._find(name)
        if 'at' in fields and int(fields['at']) != len(topic.records):
            return 412, json.dumps({'end': len(topic.records)}).encode(), 'application/json'
        records, index = [], 0
        while index < len(body):
            (size,) = _LENGTH.unpack_from(body, index)
            index += _LENGTH.size
            records.append(body[index:index + size])
            index += size
        offset = len(topic.records)
        await self._append(name, records)
        answer = {'offset': offset, 'end': offset + len(records)}
        return 200, json.dumps(answer).encode(), 'application/json'


class Runner:
    """One runner of a plain service, or of a service of streams.

    :param note: called with a word and fields for each event that counts.
    """

    def __init__(self, name, service, zone, note, *, slots=48, work_s=0.05, body_bytes=800, events=0, event_s=0.05):
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.work_s = work_s
        self.body_bytes = body_bytes
        self.events = events
        self.event_s = event_s
        self.address = ''
        self.runs = []
        self.unframed = False
        self._note = note
        self._writers = set()
        self._beats = None
        self._sequence = 1
        self._server = None

    async def start(self, store, host='127.0.0.1', port=0):
        """Listen, on a free port by default, and write the entry in the store, again each 1.2 s."""
        self._server = await asyncio.start_server(self.serve, host, port, limit=1 << 20)
        self.address = f'{host}:{self._server.sockets[0].getsockname()[1]}'
        await self.write_entry(store)
        self._beats = asyncio.ensure_future(self._beat(store))

    async def write_entry(self, store):
        """Write the entry of this runner."""
        entry = {
            'service': self.service, 'address': self.address, 'zone': self.zone, 'version': 'v1',
            'slots': self.slots, 'state': 'ready', 'cold_left_ms': 0, 'seq': self._sequence,
        }
        await store.put('keyed.servers', self.name, entry)

    async def _beat(self, store):
        while True:
            await asyncio.sleep(1.2)
            self._sequence += 1
            await self.write_entry(store)

    def fall_silent(self):
        """End all connections and answer nothing from now on, as a machine that is shut down.

        The kernel still completes connections up to the length of the queue, so
        that it is filled here; further attempts get no answer.
        """
        self._note('silent', runner=self.name)
        if self._beats:
            self._beats.cancel()
        listener = self._server.sockets[0]
        asyncio.get_running_loop().remove_reader(listener.fileno())
        listening = socket.socket(fileno=os.dup(listener.fileno()))
        listening.listen(0)
        host, port = self.address.split(':')
        self._fillers = [listening]
        for _ in range(_FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((host, int(port)))
            self._fillers.append(filler)
        for writer in self._writers:
            writer.close()

    async def serve(self, reader, writer):
        """Answer the requests of one connection, one after another."""
        self._writers.add(writer)
        try:
            while request := await read_request(reader):
                await self._answer(request, writer)
        except ConnectionError:
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, request, writer):
        if request.target == '/healthz':
            writer.write(
                f'HTTP/1.1 200 OK\r\nAnvilhall-Instance-Id: {self.name}\r\nContent-Length: 0\r\n\r\n'.encode()
            )
            return
        if request.target == '/report':
            body = b'{"stage":"mixed","busy":false,"seq":1,"waiting":0,"running":0}'
            writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % len(body) + body)
            return
        if request.get('Anvilhall-Expect-Instance', self.name) != self.name:
            writer.write(b'HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n')
            return
        if not request.request_id:
            writer.write(b'HTTP/1.1 400 Bad Request\r\nAnvilhall-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n')
            return
        await self.run(request, writer)

    async def run(self, request, writer):
        """Run a request and send its answer."""
        self.runs.append(request)
        self._note('run', runner=self.name, id=request.request_id, method=request.method, target=request.target)
        await asyncio.sleep(self.work_s)
        if self.events:
            await self._stream(request, writer)
            return
        body = f'{self.name} ran {request.request_id} '.encode().ljust(self.body_bytes, b'.')
        writer.write(self.build_head(request, f'Content-Length: {len(body)}'))
        if request.method != 'HEAD':
            writer.write(body)
        await writer.drain()

    async def _stream(self, request, writer):
        writer.write(self.build_head(request, 'Content-Type: text/event-stream', 'Transfer-Encoding: chunked'))
        first = int(request.get('Last-Event-Id') or 0) + 1
        for number in range(first, self.events + 1):
            event = f'id: {number}\ndata: event {number}\n\n'.encode()
            writer.write(b'%x\r\n%s\r\n' % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.event_s)
        writer.write(b'0\r\n\r\n')
        await writer.drain()

    def build_head(self, request, *lines):
        """Return the head of a success."""
        return '\r\n'.join((
            'HTTP/1.1 200 OK',
            f'Anvilhall-Request-Id: {request.request_id}',
            f'Anvilhall-Server-Seal: {self.name}.{request.request_id}',
            *lines,
            '', '',
        )).encode()
