"""Stand-in for the platform's store: a log of topics with one partition each.

It keeps all records. Topics whose names begin with ``keyed.`` also keep the
newest record of each key.
"""

import asyncio
import base64
import json
import struct
from urllib.parse import parse_qs, urlsplit

_OFFSETS = struct.Struct('>QQ')
_LENGTH = struct.Struct('>I')
_PAGE_ITEMS = 500


class Topic:
    """Records of one topic in order of offset."""

    def __init__(self):
        self.records = []
        self.newest = {}
        self.changed = asyncio.Event()

    def append(self, frame, *, keyed):
        offset = len(self.records)
        self.records.append(frame)
        if keyed:
            end = 1 + frame[0]
            key = frame[1:end].decode()
            if len(frame) > end:
                self.newest[key] = (frame[end:], offset)
            else:
                self.newest.pop(key, None)
        self.changed.set()
        self.changed = asyncio.Event()
        return offset


class Store:
    """The store and its HTTP server."""

    def __init__(self):
        self.topics = {}
        self.port = 0
        self._server = None

    async def start(self, host='127.0.0.1'):
        self._server = await asyncio.start_server(self._serve, host, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self):
        if self._server:
            self._server.close()

    def put(self, topic, key, content):
        """Write a record as the operator or a server does."""
        name = key.encode()
        frame = bytes([len(name)]) + name + content
        return self._topic(topic).append(frame, keyed=True)

    def _topic(self, name):
        return self.topics.setdefault(name, Topic())

    async def _serve(self, reader, writer):
        try:
            while await self._handle(reader, writer):
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _handle(self, reader, writer):
        head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
        lines = head.split('\r\n')
        method, target, _ = lines[0].split(' ')
        size = 0
        for line in lines[1:]:
            name, _, text = line.partition(':')
            if name.lower() == 'content-length':
                size = int(text)
        body = await reader.readexactly(size)
        parts = urlsplit(target)
        query = {key: each[0] for key, each in parse_qs(parts.query).items()}
        status, content = await self._answer(method, parts.path, query, body)
        writer.write(
            f'HTTP/1.1 {status} Status\r\n'
            f'Content-Length: {len(content)}\r\n\r\n'.encode() + content
        )
        return True

    async def _answer(self, method, path, query, body):
        name = query.get('topic', '')
        topic = self._topic(name)
        if (method, path) == ('POST', '/log-append'):
            return 200, self._append(topic, body, name.startswith('keyed.'))
        if (method, path) == ('GET', '/log-read'):
            return await self._read(topic, query)
        if (method, path) == ('GET', '/log-newest'):
            return 200, self._list(topic, query)
        return 404, b''

    def _append(self, topic, body, keyed):
        offset = len(topic.records)
        index = 0
        while index < len(body):
            start = index + _LENGTH.size
            index = start + int.from_bytes(body[index:start], 'big')
            topic.append(body[start:index], keyed=keyed)
        answer = {'offset': offset, 'end': len(topic.records)}
        return json.dumps(answer).encode()

    async def _read(self, topic, query):
        offset = int(query['from'])
        wait_s = int(query.get('wait_ms', '0')) / 1000
        if offset >= len(topic.records) and wait_s:
            try:
                await asyncio.wait_for(topic.changed.wait(), wait_s)
            except TimeoutError:
                pass
        frames = topic.records[offset:]
        head = _OFFSETS.pack(len(topic.records), 0)
        return 200, head + b''.join(
            _LENGTH.pack(len(frame)) + frame for frame in frames
        )

    def _list(self, topic, query):
        after = query.get('after', '')
        keys = sorted(key for key in topic.newest if key > after)
        items = [
            {
                'key': key,
                'value': base64.b64encode(topic.newest[key][0]).decode(),
                'offset': topic.newest[key][1],
            }
            for key in keys[:_PAGE_ITEMS]
        ]
        page = {
            'items': items,
            'truncated': len(keys) > _PAGE_ITEMS,
            'end': len(topic.records),
        }
        return json.dumps(page).encode()
