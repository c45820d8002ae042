"""Journal of streams: batches, repeats after failures, shared reads."""

import asyncio
import random

import pytest

from anvilhall.clock import ManualClock
from anvilhall.core.messages import StreamsBegun
from anvilhall.core.positions import UNREAD, Position
from anvilhall.core.streams import (
    Origin,
    StreamRecord,
    decode_record,
    encode_record,
    iterate_streams,
)
from anvilhall.exceptions import (
    AppendUncertain,
    LogUnavailable,
    RecordsExpired,
    StoreRestored,
)
from anvilhall.feeds.streams import StreamJournal
from anvilhall.metrics import Metrics
from anvilhall.platform.store import RawPage
from anvilhall_standins.virtualloop import VirtualLoop, run_virtual
from tests.conftest import START

V1 = Origin('llm', 'v1')
KEYS = [b'%08d' % number for number in range(20)]
NOW_MS = START.timestamp() * 1000


class FakeStore:
    """Store in memory that fails as told."""

    def __init__(self):
        """Start empty."""
        self.records = []
        self.first = 0
        self.era = 1
        self.reads = 0
        #: Errors of the next calls.
        self.errors = []

    async def append(self, topic, frame):
        """Append a record unless an error is due."""
        if self.errors:
            raise self.errors.pop(0)
        self.records.append(frame)
        return self.era

    async def read_raw(self, topic, start):
        """Return two records from a position on."""
        self.reads += 1
        await asyncio.sleep(0.01)
        if self.errors:
            raise self.errors.pop(0)
        if start not in {UNREAD} and start.era != self.era:
            raise StoreRestored('another era')
        offset = max(0, start.offset)
        if offset < self.first:
            raise RecordsExpired('expired')
        page = self.records[offset : offset + 2]
        reached = offset + len(page)
        return RawPage(
            tuple(page),
            Position(self.era, reached),
            complete=reached >= len(self.records),
        )

    async def find_first(self, topic):
        """Return the position of the oldest record."""
        return Position(self.era, self.first)

    def list_keys(self):
        """Return the keys of all records, in order."""
        return [
            key
            for record in self.records
            for key, _ in iterate_streams(decode_record(record).begun)
        ]


class Bench:
    """A journal, its store and what it has forwarded."""

    def __init__(self):
        """Start without a peer that appends for this instance."""
        self.store = FakeStore()
        self.forwarded = []
        self.reader = ''
        self.clock = ManualClock(START)
        self.journal = StreamJournal(
            self.store,
            self.clock,
            Metrics(),
            random.Random(1),
            self._forward,
        )
        self.journal.retention_s = 30

    def _forward(self, begun):
        if self.reader:
            self.forwarded.append(begun)
        return self.reader

    def record(self, *keys, written_ms=NOW_MS, version='v1'):
        """Append a record of another instance."""
        begun = {'llm': {version: b''.join(keys)}}
        self.store.records.append(
            encode_record(StreamRecord(written_ms, begun))
        )


@pytest.fixture
def run_bench():
    """Return a function that runs a scenario with a journal."""

    def run(scenario):
        async def run_with_feed():
            bench = Bench()
            feed = asyncio.ensure_future(bench.journal.run())
            try:
                await scenario(bench)
            finally:
                feed.cancel()

        run_virtual(VirtualLoop(), run_with_feed())

    return run


def test_streams_are_collected_into_one_record(run_bench):
    async def scenario(bench):
        for key in KEYS:
            bench.journal.add(key, V1)
        await asyncio.sleep(1)
        assert len(bench.store.records) == 1
        assert bench.store.list_keys() == KEYS
        await asyncio.sleep(60)
        assert len(bench.store.records) == 1
        assert not bench.store.reads

    run_bench(scenario)


# Guards against streams that are lost with one failed append.
@pytest.mark.parametrize('error', [LogUnavailable, AppendUncertain])
def test_failed_append_is_repeated(run_bench, error):
    async def scenario(bench):
        bench.store.errors = [error('down'), error('down')]
        bench.journal.add(KEYS[0], V1)
        await asyncio.sleep(5)
        assert bench.store.list_keys() == KEYS[:1]

    run_bench(scenario)


def test_streams_are_sent_to_the_instance_that_appends(run_bench):
    async def scenario(bench):
        bench.reader = 'i2'
        bench.journal.add(KEYS[0], V1)
        await asyncio.sleep(1)
        assert bench.forwarded == [{'llm': {'v1': KEYS[0]}}]
        assert not bench.store.records

    run_bench(scenario)


# Guards against streams that are unknown after a loss of all instances because
# they were collected twice, here and at the instance that appends them.
def test_streams_are_sent_on_soon(run_bench):
    async def scenario(bench):
        bench.reader = 'i2'
        bench.journal.add(KEYS[0], V1)
        await asyncio.sleep(1)
        bench.forwarded.clear()
        for key in KEYS[1:]:
            bench.journal.add(key, V1)
        await asyncio.sleep(0.05)
        assert bench.forwarded == [{'llm': {'v1': b''.join(KEYS[1:])}}]

    run_bench(scenario)


# Guards against streams that are lost with the instance that appends them.
def test_streams_sent_to_a_lost_instance_are_recorded_again(run_bench):
    async def scenario(bench):
        bench.reader = 'i2'
        bench.journal.add(KEYS[0], V1)
        await asyncio.sleep(1)
        bench.clock.advance(60)
        bench.journal.add(KEYS[1], V1)
        await asyncio.sleep(1)
        bench.reader = ''
        bench.journal.add(KEYS[2], V1)
        await asyncio.sleep(1)
        assert sorted(bench.store.list_keys()) == KEYS[1:3]

    run_bench(scenario)


def test_streams_of_peers_are_appended_and_known(run_bench):
    async def scenario(bench):
        bench.journal.add(KEYS[0], V1)
        message = StreamsBegun({'llm': {'v1': KEYS[1] + b'odd'}})
        bench.journal.handle_begun('i2', message)
        assert await bench.journal.find(KEYS[1]) == V1
        await asyncio.sleep(1)
        assert bench.store.list_keys() == KEYS[:2]
        assert len(bench.store.records) == 1
        assert not bench.store.reads

    run_bench(scenario)


def test_record_is_found_in_all_pages(run_bench):
    async def scenario(bench):
        for key in KEYS:
            bench.record(key)
        assert await bench.journal.find(KEYS[-1]) == V1
        assert bench.store.reads == 10
        assert await bench.journal.find(KEYS[0]) == V1
        assert bench.store.reads == 10

    run_bench(scenario)


# Guards against a record that is overlooked because a read had begun before it.
def test_look_up_reads_what_was_stored_when_it_was_made(run_bench):
    async def scenario(bench):
        early = asyncio.ensure_future(bench.journal.find(KEYS[0]))
        await asyncio.sleep(0.005)
        bench.record(KEYS[1])
        late = [
            asyncio.ensure_future(bench.journal.find(KEYS[1]))
            for _ in range(10)
        ]
        assert await early is None
        assert await asyncio.gather(*late) == [V1] * 10
        assert bench.store.reads == 2

    run_bench(scenario)


# Guards against a failed read that others take for a complete one.
def test_look_up_beside_a_failed_read_reads_itself(run_bench):
    async def scenario(bench):
        bench.record(KEYS[0])
        bench.store.errors = [LogUnavailable('down')]
        found = await asyncio.gather(
            bench.journal.find(KEYS[0]),
            bench.journal.find(KEYS[0]),
            return_exceptions=True,
        )
        assert isinstance(found[0], LogUnavailable)
        assert found[1] == V1

    run_bench(scenario)


def test_old_records_are_ignored(run_bench):
    async def scenario(bench):
        bench.record(KEYS[0], written_ms=NOW_MS - 31_000)
        bench.record(KEYS[1], written_ms=NOW_MS - 29_000)
        assert await bench.journal.find(KEYS[0]) is None
        assert await bench.journal.find(KEYS[1]) == V1

    run_bench(scenario)


def test_reading_goes_on_behind_expired_records(run_bench):
    async def scenario(bench):
        for key in KEYS:
            bench.record(key)
        bench.store.first = 7
        assert await bench.journal.find(KEYS[7]) == V1
        assert await bench.journal.find(KEYS[0]) is None

    run_bench(scenario)


def test_journal_of_a_new_era_is_read_from_its_start(run_bench):
    async def scenario(bench):
        for key in KEYS[:5]:
            bench.record(key)
        assert await bench.journal.find(KEYS[4]) == V1
        bench.store.era = 2
        bench.store.records = []
        bench.record(KEYS[6])
        assert await bench.journal.find(KEYS[6]) == V1

    run_bench(scenario)
