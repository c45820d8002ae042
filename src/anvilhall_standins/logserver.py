"""Stand-in for the platform's log service.

Faults: ``outage`` answers all requests with 503; ``slow`` delays all requests
by its amount in seconds; ``lose_answer`` closes the connection after the append
took effect, for as many appends as its amount. A POST to ``/restore`` has the
log come back from an older copy.
"""

import asyncio
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

_UNAVAILABLE = 503
_CONFLICT = 409
_GONE = 410
#: Most records returned by one read.
_PAGE_SIZE = 500


class Stream:
    """Records in memory; the oldest are dropped beyond the retention limit."""

    __slots__ = ('arrived', 'records', 'start')

    def __init__(self) -> None:
        """Create an empty stream."""
        self.records: list[Any] = []
        #: Offset of the oldest retained record.
        self.start = 0
        self.arrived = asyncio.Event()

    @property
    def end(self) -> int:
        """Offset of the next record."""
        return self.start + len(self.records)

    def append(self, record: Any, keep: int) -> int:
        """Append a record and return its offset.

        :param keep: number of records to retain; older ones are dropped.
        """
        self.records.append(record)
        surplus = len(self.records) - keep
        if surplus > 0:
            self.records = self.records[surplus:]
            self.start += surplus
        self.arrived.set()
        self.arrived = asyncio.Event()
        return self.end - 1

    def restore(self, lost: int) -> None:
        """Drop the newest records; their offsets are given out again."""
        self.records = self.records[: max(0, len(self.records) - lost)]
        self.arrived.set()
        self.arrived = asyncio.Event()

    def read(self, offset: int) -> list[dict[str, Any]]:
        """Return one page of records, starting at an offset."""
        first = offset - self.start
        page = self.records[first : first + _PAGE_SIZE]
        return [
            {'offset': offset + index, 'body': record}
            for index, record in enumerate(page)
        ]


class Store:
    """All streams, their retention limit and the number of appends."""

    __slots__ = ('appends', 'era', 'faults', 'keep', 'streams')

    def __init__(self, keep: int) -> None:
        """Create a store without streams.

        :param keep: number of records that each stream retains.
        """
        self.keep = keep
        self.appends = 0
        #: Stated in answers; rises with each restore.
        self.era = 0
        self.faults = Faults()
        self.streams: dict[str, Stream] = {}

    def get_stream(self, name: str) -> Stream:
        """Return a stream; the first call creates it."""
        return self.streams.setdefault(name, Stream())

    def restore(self, lost: int) -> None:
        """Come back from a copy without the newest records of each stream."""
        self.era += 1
        for stream in self.streams.values():
            stream.restore(lost)


class _StoreHandler(RequestHandler):
    def initialize(self, store: Store) -> None:
        self._store = store

    async def prepare(self) -> None:
        if self._store.faults.get('outage'):
            self.set_status(_UNAVAILABLE)
            self.finish()
            return
        await asyncio.sleep(self._store.faults.get('slow'))


class StreamHandler(_StoreHandler):
    """Appends to and reads from one stream."""

    async def get(self, name: str) -> None:
        """Return records from the offset ``from`` (long poll).

        At the end of the stream the request waits up to ``wait_s`` seconds for
        the next record.
        """
        offset = int(self.get_argument('from'))
        stream = self._store.get_stream(name)
        if offset == stream.end:
            await self._wait_for_record(stream)
        if not stream.start <= offset <= stream.end:
            self.set_status(_GONE)
            self.finish()
            return
        page = {
            'records': stream.read(offset),
            'end': stream.end,
            'era': self._store.era,
        }
        write_json(self, page)

    def post(self, name: str) -> None:
        """Append the record in the request body.

        With another era in the argument ``era``, nothing is appended.
        """
        if int(self.get_argument('era', str(self._store.era))) != (
            self._store.era
        ):
            self.set_status(_CONFLICT)
            self.finish()
            return
        record = msgspec.json.decode(self.request.body)
        stream = self._store.get_stream(name)
        offset = stream.append(record, self._store.keep)
        self._store.appends += 1
        if self._store.faults.consume('lose_answer'):
            self.request.connection.detach().close()  # type: ignore[union-attr]
            return
        write_json(self, {'offset': offset})

    async def _wait_for_record(self, stream: Stream) -> None:
        wait_s = float(self.get_argument('wait_s', '0'))
        try:
            await asyncio.wait_for(stream.arrived.wait(), wait_s)
        except TimeoutError:
            return


class StartHandler(_StoreHandler):
    """Reports the offset of the oldest retained record of a stream."""

    def get(self, name: str) -> None:
        """Return the offset."""
        start = self._store.get_stream(name).start
        write_json(self, {'offset': start, 'era': self._store.era})


class RestoreHandler(_StoreHandler):
    """Restores the log from an older copy."""

    def post(self) -> None:
        """Drop the newest ``lost`` records of each stream."""
        self._store.restore(int(self.get_argument('lost')))
        write_json(self, {'era': self._store.era})


class AppendCountHandler(_StoreHandler):
    """Reports how many appends took effect."""

    def get(self) -> None:
        """Return the number of appends."""
        write_json(self, {'appends': self._store.appends})


def build_log_app(store: Store) -> Application:
    """Build the web application of the log service."""
    arguments = {'store': store}
    return Application(
        [
            ('/streams/([^/]+)', StreamHandler, arguments),
            ('/streams/([^/]+)/start', StartHandler, arguments),
            ('/appends', AppendCountHandler, arguments),
            ('/restore', RestoreHandler, arguments),
            ('/fault', FaultHandler, {'faults': store.faults}),
        ],
        log_function=suppress_access_log,
    )


@click.command()
@click.option('--port', type=int, required=True)
@click.option('--keep', type=int, default=100_000, show_default=True)
def run_log(port: int, keep: int) -> None:
    """Run the log service on the loopback interface."""
    asyncio.run(serve_until_signal(build_log_app(Store(keep)), port))


if __name__ == '__main__':
    run_log()
