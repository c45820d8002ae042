"""Stand-in for the platform's store: topics with one partition each.

Topics whose names start with ``keyed.`` keep the newest record of each key.

Faults: ``down`` answers all requests with 503; ``silent`` delays all requests
beyond the duration of any test; ``lost`` closes the connection without a
response after the write took effect, for as many writes as its amount. A POST
to ``/restore`` has it come back from an older copy.
"""

import asyncio
import base64
import collections
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
_PRECONDITION_FAILED = 412
_UNAVAILABLE = 503
#: Most records in one response to ``log-newest``.
_PAGE_ITEMS = 500
_MS_PER_S = 1000
_KEYED_PREFIX = 'keyed.'


class Topic:
    """Records in order of offset, and the newest record of each key."""

    __slots__ = ('_first', '_keyed', '_records', 'appended', 'newest')

    def __init__(self, *, keyed: bool = True) -> None:
        """Create an empty topic.

        :param keyed: whether its records have keys.
        """
        self._keyed = keyed
        self._records: list[bytes] = []
        self._first = 0
        #: Newest content and its offset, by key.
        self.newest: dict[str, tuple[bytes, int]] = {}
        self.appended = asyncio.Condition()

    @property
    def first(self) -> int:
        """Offset of the oldest retained record."""
        return self._first

    @property
    def end(self) -> int:
        """Offset of the next record."""
        return self._first + len(self._records)

    async def append(self, frame: bytes) -> int:
        """Append a record and return its offset.

        :param frame: any bytes; in a keyed topic the length of the key in one
            byte, the key, the content. A record without content deletes its
            key.
        """
        offset = self._store(frame)
        async with self.appended:
            self.appended.notify_all()
        return offset

    def _store(self, frame: bytes) -> int:
        offset = self.end
        self._records.append(frame)
        if not self._keyed:
            return offset
        key_end = 1 + frame[0]
        key = frame[1:key_end].decode()
        if len(frame) > key_end:
            self.newest[key] = (frame[key_end:], offset)
        else:
            self.newest.pop(key, None)
        return offset

    def list_from(self, offset: int) -> list[bytes]:
        """Return all records from an offset on."""
        return self._records[offset - self._first :]

    def truncate(self) -> None:
        """Drop all records but keep the newest content of each key."""
        self._first = self.end
        self._records.clear()

    def restore(self, lost: int) -> None:
        """Drop the newest records; their offsets are given out again.

        :param lost: number of records to drop; truncated ones are kept.
        """
        kept = self._records[: max(0, len(self._records) - lost)]
        self._records = []
        self.newest = {
            key: entry
            for key, entry in self.newest.items()
            if entry[1] < self._first
        }
        for frame in kept:
            self._store(frame)


class Store:
    """All topics and the faults of the stand-in."""

    __slots__ = ('calls', 'era', 'faults', 'topics', 'writes')

    def __init__(self) -> None:
        """Create a store without topics and faults."""
        self.topics: dict[str, Topic] = {}
        #: Number of calls by path and topic, failed ones included.
        self.calls: collections.Counter[tuple[str, str]] = collections.Counter()
        self.faults = Faults()
        #: Number of append requests that took effect.
        self.writes = 0
        #: Stated in all answers; rises with each restore.
        self.era = 1

    def get_topic(self, name: str) -> Topic:
        """Return a topic; the first call creates it."""
        if name not in self.topics:
            self.topics[name] = Topic(keyed=name.startswith(_KEYED_PREFIX))
        return self.topics[name]

    def restore(self, lost: int) -> None:
        """Come back from a copy without the newest records of each topic."""
        self.era += 1
        for topic in self.topics.values():
            topic.restore(lost)

    async def put(self, topic: str, key: str, content: bytes) -> int:
        """Append a record in-process, in place of an operator or a runner."""
        encoded = key.encode()
        frame = bytes((len(encoded),)) + encoded + content
        return await self.get_topic(topic).append(frame)


class _StoreHandler(RequestHandler):
    """Base class of all handlers; applies the faults of the store."""

    def initialize(self, store: Store) -> None:
        """Keep a reference to the store."""
        self._store = store

    def finish(
        self, chunk: str | bytes | dict[str, Any] | None = None
    ) -> 'asyncio.Future[None]':
        """State the era and send the answer."""
        self.set_header('Store-Era', self._store.era)
        return super().finish(chunk)

    async def prepare(self) -> None:
        """Count the call and apply the faults ``silent`` and ``down``."""
        topic = self.get_query_argument('topic', '')
        self._store.calls[self.request.path.strip('/'), topic] += 1
        if self._store.faults.get('silent'):
            await asyncio.sleep(_SILENT_S)
        if self._store.faults.get('down'):
            self.set_status(_UNAVAILABLE)
            self.finish()

    def _get_topic(self) -> Topic:
        return self._store.get_topic(self.get_query_argument('topic'))


class AppendHandler(_StoreHandler):
    """Appends records."""

    async def post(self) -> None:
        """Append the length-prefixed records in the request body.

        If the query has ``at``, the topic must end there.
        """
        topic = self._get_topic()
        expected = self.get_query_argument('at', '')
        if expected and int(expected) != topic.end:
            self.set_status(_PRECONDITION_FAILED)
            write_json(self, {'end': topic.end})
            return
        body = self.request.body
        position = 0
        offset = topic.end
        while position < len(body):
            start = position + _LENGTH.size
            size = int.from_bytes(body[position:start])
            position = start + size
            await topic.append(body[start:position])
        self._store.writes += 1
        if self._store.faults.consume('lost'):
            self.request.connection.stream.close()  # type: ignore[union-attr]
            return
        write_json(self, {'offset': offset, 'end': topic.end})


class ReadHandler(_StoreHandler):
    """Returns records, with an optional long poll."""

    async def get(self) -> None:
        """Return the records from the offset ``from`` on.

        At the end of the topic the request waits up to ``wait_ms``. An offset
        that the topic does not have is answered with 410.
        """
        topic = self._get_topic()
        offset = int(self.get_query_argument('from'))
        wait_s = int(self.get_query_argument('wait_ms', '0')) / _MS_PER_S
        if wait_s and offset == topic.end:
            await self._wait_for_append(topic, wait_s)
        if not topic.first <= offset <= topic.end:
            self.set_status(_GONE)
            write_json(self, {'first': topic.first})
            return
        frames = topic.list_from(offset)
        parts = [_OFFSETS.pack(topic.end, topic.first)]
        parts.extend(_LENGTH.pack(len(frame)) + frame for frame in frames)
        self.finish(b''.join(parts))

    async def _wait_for_append(self, topic: Topic, wait_s: float) -> None:
        try:
            async with asyncio.timeout(wait_s), topic.appended:
                await topic.appended.wait()
        except TimeoutError:
            return


class RestoreHandler(_StoreHandler):
    """Restores the store from an older copy."""

    def post(self) -> None:
        """Drop the newest ``lost`` records of each topic."""
        self._store.restore(int(self.get_query_argument('lost')))
        write_json(self, {'era': self._store.era})


class NewestRecordsHandler(_StoreHandler):
    """Returns the newest record of each key."""

    def get(self) -> None:
        """Return one page of records in key order, after the key ``after``."""
        topic = self._get_topic()
        after = self.get_query_argument('after', '')
        keys = sorted(key for key in topic.newest if key > after)
        items = [_build_item(topic, key) for key in keys[:_PAGE_ITEMS]]
        write_json(
            self,
            {
                'items': items,
                'truncated': len(keys) > _PAGE_ITEMS,
                'end': topic.end,
            },
        )


#: Delay in seconds of a request to a silent store: longer than any test.
_SILENT_S = 60.0


def build_store_app(store: Store) -> Application:
    """Build the web application of the store."""
    arguments: dict[str, Any] = {'store': store}
    return Application(
        [
            ('/log-append', AppendHandler, arguments),
            ('/log-read', ReadHandler, arguments),
            ('/log-newest', NewestRecordsHandler, arguments),
            ('/restore', RestoreHandler, arguments),
            ('/faults', FaultHandler, {'faults': store.faults}),
        ],
        log_function=suppress_access_log,
    )


def _build_item(topic: Topic, key: str) -> dict[str, object]:
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
    """Run the store on the loopback interface until SIGTERM arrives."""
    asyncio.run(_run(port, manifest.read() if manifest else b''))


async def _run(port: int, manifest: bytes) -> None:
    store = Store()
    if manifest:
        msgspec.json.decode(manifest)
        await store.put('keyed.op', 'config', manifest)
    await serve_until_signal(build_store_app(store), port)


if __name__ == '__main__':
    run_store()
