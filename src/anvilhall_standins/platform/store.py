"""A stand-in of the platform's store: keyed topics of one partition.

Faults: ``down`` answers 503; ``silent`` answers nothing; ``lost`` carries a
write out and closes the connection without an answer.
"""

import asyncio
import base64
import struct
from typing import Any

import click
import msgspec
from tornado.web import Application, RequestHandler

from anvilhall_standins.serving import (
    FaultHandler,
    Faults,
    serve_until_signal,
    suppress_access_log,
    write_json,
)

_LENGTH = struct.Struct('>I')
_OFFSETS = struct.Struct('>QQ')
_GONE = 410
_UNAVAILABLE = 503
#: Records of one answer to ``log-newest``.
_PAGE_ITEMS = 500
_MS_PER_S = 1000


class Topic:
    """Records in order, and the newest one of each key."""

    __slots__ = ('_first', '_records', 'grown', 'newest')

    def __init__(self) -> None:
        """Start empty."""
        self._records: list[bytes] = []
        self._first = 0
        #: Newest content and its offset by key.
        self.newest: dict[str, tuple[bytes, int]] = {}
        self.grown = asyncio.Condition()

    @property
    def first(self) -> int:
        """Offset of the first record that is kept."""
        return self._first

    @property
    def end(self) -> int:
        """Offset of the next record."""
        return self._first + len(self._records)

    async def append(self, frame: bytes) -> int:
        """Add a record and return its offset."""
        key_end = 1 + frame[0]
        key = frame[1:key_end].decode()
        offset = self.end
        self._records.append(frame)
        if len(frame) > key_end:
            self.newest[key] = (frame[key_end:], offset)
        else:
            self.newest.pop(key, None)
        async with self.grown:
            self.grown.notify_all()
        return offset

    def list_from(self, offset: int) -> list[bytes]:
        """Return the records from an offset on."""
        return self._records[offset - self._first :]

    def truncate(self) -> None:
        """Drop all records; the newest ones of each key stay."""
        self._first = self.end
        self._records.clear()


class Store:
    """All topics of the stand-in."""

    __slots__ = ('faults', 'topics', 'writes')

    def __init__(self) -> None:
        """Start empty and without faults."""
        self.topics: dict[str, Topic] = {}
        self.faults = Faults()
        #: Write calls carried out.
        self.writes = 0

    def get_topic(self, name: str) -> Topic:
        """Return a topic; the first use creates it."""
        return self.topics.setdefault(name, Topic())

    async def put(self, topic: str, key: str, content: bytes) -> int:
        """Write a record as an operator or a runner does."""
        encoded = key.encode()
        frame = bytes((len(encoded),)) + encoded + content
        return await self.get_topic(topic).append(frame)


class _StoreHandler(RequestHandler):
    """Common part of all calls."""

    def initialize(self, store: Store) -> None:
        """Take the store from the application."""
        self._store = store

    async def prepare(self) -> None:
        """Show the faults that concern every call."""
        if self._store.faults.get('silent'):
            await asyncio.sleep(_SILENT_S)
        if self._store.faults.get('down'):
            self.set_status(_UNAVAILABLE)
            self.finish()

    def _get_topic(self) -> Topic:
        return self._store.get_topic(self.get_query_argument('topic'))


class AppendHandler(_StoreHandler):
    """Adds records."""

    async def post(self) -> None:
        """Add the records of the body."""
        topic = self._get_topic()
        body = self.request.body
        place = 0
        offset = topic.end
        while place < len(body):
            start = place + _LENGTH.size
            size = int.from_bytes(body[place:start])
            place = start + size
            await topic.append(body[start:place])
        self._store.writes += 1
        if self._store.faults.consume('lost'):
            self.request.connection.stream.close()  # type: ignore[union-attr]
            return
        write_json(self, {'offset': offset, 'end': topic.end})


class ReadHandler(_StoreHandler):
    """Returns records, and waits for one if asked to."""

    async def get(self) -> None:
        """Answer with the records from an offset on."""
        topic = self._get_topic()
        offset = int(self.get_query_argument('from'))
        wait_s = int(self.get_query_argument('wait_ms', '0')) / _MS_PER_S
        if offset < topic.first:
            self.set_status(_GONE)
            write_json(self, {'first': topic.first})
            return
        if wait_s and offset >= topic.end:
            await self._wait(topic, wait_s)
        frames = topic.list_from(offset)
        parts = [_OFFSETS.pack(topic.end, topic.first)]
        parts.extend(_LENGTH.pack(len(frame)) + frame for frame in frames)
        self.finish(b''.join(parts))

    async def _wait(self, topic: Topic, wait_s: float) -> None:
        try:
            async with asyncio.timeout(wait_s), topic.grown:
                await topic.grown.wait()
        except TimeoutError:
            return


class NewestHandler(_StoreHandler):
    """Returns the newest record of each key."""

    def get(self) -> None:
        """Answer with a page of records."""
        topic = self._get_topic()
        after = self.get_query_argument('after', '')
        keys = sorted(key for key in topic.newest if key > after)
        items = [_describe(topic, key) for key in keys[:_PAGE_ITEMS]]
        write_json(
            self,
            {
                'items': items,
                'truncated': len(keys) > _PAGE_ITEMS,
                'end': topic.end,
            },
        )


#: Seconds for which a silent store holds a call: longer than any test.
_SILENT_S = 60.0


def build_store_app(store: Store) -> Application:
    """Return the application of the stand-in."""
    arguments: dict[str, Any] = {'store': store}
    return Application(
        [
            ('/log-append', AppendHandler, arguments),
            ('/log-read', ReadHandler, arguments),
            ('/log-newest', NewestHandler, arguments),
            ('/faults', FaultHandler, {'faults': store.faults}),
        ],
        log_function=suppress_access_log,
    )


def _describe(topic: Topic, key: str) -> dict[str, object]:
    content, offset = topic.newest[key]
    return {
        'key': key,
        'value': base64.b64encode(content).decode(),
        'offset': offset,
    }


@click.command()
@click.option('--port', type=int, required=True)
@click.option(
    '--manifest',
    type=click.File('rb'),
    help='Manifest that the store holds from the start.',
)
def run_store(port: int, manifest: Any) -> None:
    """Run the stand-in on loopback until SIGTERM."""
    asyncio.run(_run(port, manifest.read() if manifest else b''))


async def _run(port: int, manifest: bytes) -> None:
    store = Store()
    if manifest:
        msgspec.json.decode(manifest)
        await store.put('keyed.op', 'config', manifest)
    await serve_until_signal(build_store_app(store), port)


if __name__ == '__main__':
    run_store()
