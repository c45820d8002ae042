"""Instances share the runner registry that one of them reads."""

import asyncio
import datetime as dt
import random

import msgspec
import pytest

from anvilhall.core.coverage import MAX_LAG_S
from anvilhall.core.members import Member
from anvilhall.core.messages import RunnerNews, RunnersRead
from anvilhall.core.positions import Position
from anvilhall.exceptions import LogUnavailable, StoreRestored
from anvilhall.feeds.runners import RunnersFeed
from anvilhall.metrics import Metrics
from anvilhall.platform.store import KeyedPage, KeyedRecord
from anvilhall_standins.virtualloop import LoopClock, VirtualLoop

START = dt.datetime(2026, 3, 30, 6, 0, tzinfo=dt.UTC)
#: Seconds after which a draining runner must get no more requests.
DRAIN_S = 2.0


class _Registry:
    """Registry in memory, which counts the calls of each instance."""

    def __init__(self):
        self.records = []
        self.era = 1
        self.calls = {}
        self.unreachable_from = set()

    @property
    def end(self):
        return Position(self.era, len(self.records))

    def restore(self, copied):
        """Come back from a copy that has the first records only."""
        self.era += 1
        self.records = [
            KeyedRecord(each.key, each.content, Position(self.era, index))
            for index, each in enumerate(self.records[:copied])
        ]

    def write(self, name, state='ready'):
        entry = {
            'service': 'desk',
            'address': '10.0.0.1:80',
            'zone': 'd1',
            'state': state,
        }
        encoded = msgspec.json.encode(entry) if state else None
        position = Position(self.era, len(self.records))
        self.records.append(KeyedRecord(name, encoded, position))

    def connect(self, reader):
        return _Client(self, reader)

    def list_newest(self):
        newest = {record.key: record for record in self.records}
        kept = tuple(each for each in newest.values() if each.content)
        return KeyedPage(kept, self.end)


class _Client:
    """Store client of one instance."""

    def __init__(self, registry, reader):
        self._registry = registry
        self._reader = reader

    async def list_newest(self, topic):
        self._count()
        return self._registry.list_newest()

    async def read(self, topic, start, wait_s):
        self._count()
        if start.era != self._registry.era:
            raise StoreRestored('another era')
        records = tuple(self._registry.records[start.offset :])
        return KeyedPage(records, self._registry.end)

    def _count(self):
        calls = self._registry.calls
        calls[self._reader] = calls.get(self._reader, 0) + 1
        if self._reader in self._registry.unreachable_from:
            raise LogUnavailable('unreachable')


class _Fleet:
    """Feeds of several instances that are linked with each other."""

    def __init__(self, loop, names):
        self.registry = _Registry()
        self.reader = names[0]
        self.partitioned = set()
        self.feeds = {}
        self.members = {}
        clock = LoopClock(loop, START)
        for name in names:
            self.feeds[name] = RunnersFeed(
                'r',
                self.registry.connect(name),
                clock,
                Metrics(),
                random.Random(1),
                lambda members, name=name: self.members.update({name: members}),
                lambda message, name=name: self._notify(name, message),
                lambda name=name: name == self.reader,
            )

    def states(self, name):
        return {
            member.name: member.leaving for member in self.members.get(name, ())
        }

    def _notify(self, sender, message):
        for name, feed in self.feeds.items():
            if name == sender or self.partitioned & {name, sender}:
                continue
            if isinstance(message, RunnerNews):
                feed.apply_news(message)
            elif not feed.compare_read(message):
                feed.apply_offer(self.feeds[sender].build_offer())


@pytest.fixture
def run_scenario():
    """Return a function that runs a scenario on three instances."""

    def run(scenario):
        loop = VirtualLoop()
        fleet = _Fleet(loop, ['reader', 'second', 'third'])
        fleet.registry.write('r1')

        async def start():
            tasks = [
                asyncio.ensure_future(feed.run())
                for feed in fleet.feeds.values()
            ]
            await asyncio.sleep(3.0)
            await scenario(fleet)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

        try:
            loop.run_until_complete(start())
        finally:
            loop.close()

    return run


def test_only_the_reader_polls_the_registry(run_scenario):
    async def scenario(fleet):
        await asyncio.sleep(20.0)
        assert fleet.registry.calls['reader'] > 20
        assert fleet.registry.calls.get('second', 0) <= 1
        assert fleet.states('second') == {'r1': False}

    run_scenario(scenario)


def test_draining_runner_is_known_to_all_in_time(run_scenario):
    async def scenario(fleet):
        fleet.registry.write('r1', 'draining')
        await asyncio.sleep(DRAIN_S)
        assert all(fleet.states(name)['r1'] for name in fleet.feeds)

    run_scenario(scenario)


def test_instances_cut_off_from_the_reader_read_by_themselves(run_scenario):
    async def scenario(fleet):
        fleet.partitioned = {'reader'}
        fleet.registry.write('r1', 'draining')
        await asyncio.sleep(DRAIN_S)
        assert fleet.states('second')['r1']
        assert fleet.states('third')['r1']

    run_scenario(scenario)


def test_reader_cut_off_from_the_registry_is_notified_by_others(run_scenario):
    async def scenario(fleet):
        fleet.registry.unreachable_from = {'reader'}
        fleet.registry.write('r1', 'draining')
        await asyncio.sleep(DRAIN_S)
        assert all(fleet.states(name)['r1'] for name in fleet.feeds)

    run_scenario(scenario)


def test_instance_that_missed_a_change_catches_up(run_scenario):
    async def scenario(fleet):
        fleet.partitioned = {'second'}
        fleet.registry.write('r2')
        fleet.registry.write('r1', '')
        await asyncio.sleep(0.9)
        fleet.partitioned = set()
        await asyncio.sleep(1.0)
        assert fleet.states('second') == {'r2': False}
        assert fleet.registry.calls.get('second', 0) <= 1

    run_scenario(scenario)


def test_peer_that_was_suspended_does_not_bring_a_departed_runner_back(
    run_scenario,
):
    async def scenario(fleet):
        stale = fleet.feeds['second'].build_offer()
        fleet.registry.write('r1', '')
        fleet.registry.write('r2')
        await asyncio.sleep(DRAIN_S)
        # What the peer believed before arrives after it wakes up.
        third = fleet.feeds['third']
        third.apply_offer(stale)
        for entry in stale.entries:
            third.apply_news(entry)
        assert fleet.states('third') == {'r2': False}

    run_scenario(scenario)


# Guards against a restart at another version that the log does not show.
def test_change_of_version_is_logged(run_scenario, monkeypatch):
    lines = []
    monkeypatch.setattr(
        'anvilhall.feeds.runners.log_event',
        lambda kind, **fields: lines.append(fields),
    )

    async def scenario(fleet):
        lines.clear()
        fleet.partitioned = {'third'}
        for offset, version in ((10, 'v1'), (11, 'v2')):
            runner = Member('r2', '10.0.0.2:80', 'd1', 'desk', version=version)
            fleet.feeds['third'].apply_news(RunnerNews(offset, runner, era=1))

    run_scenario(scenario)
    assert [line['came'] for line in lines] == [['r2'], ['r2']]
    assert [line['versions'] for line in lines] == [{'r2': 'v1'}, {'r2': 'v2'}]


# Guards against reads that instances in step don't need.
def test_views_of_instances_in_step_are_current_all_along(run_scenario):
    async def scenario(fleet):
        for count in range(200):
            if count % 50 == 0:
                fleet.registry.write(f'r{count}')
            await asyncio.sleep(0.1)
            assert all(feed.is_current() for feed in fleet.feeds.values())
        assert not any(feed.lapses for feed in fleet.feeds.values())

    run_scenario(scenario)


# Guards against a view that counts as current because it is all that an
# instance knows.
def test_view_of_an_instance_that_is_cut_off_is_not_current(run_scenario):
    async def scenario(fleet):
        fleet.partitioned = {'third'}
        fleet.registry.unreachable_from = {'third'}
        await asyncio.sleep(MAX_LAG_S + 0.1)
        third = fleet.feeds['third']
        assert not third.is_current()
        with pytest.raises(LogUnavailable):
            await third.read_now()
        fleet.registry.write('r2')
        await asyncio.sleep(5.0)
        fleet.partitioned = set()
        fleet.registry.unreachable_from = set()
        assert not third.is_current()
        await third.read_now()
        assert third.is_current()
        assert third.lapses == 1
        assert fleet.states('third') == {'r1': False, 'r2': False}
        assert fleet.feeds['second'].is_current()

    run_scenario(scenario)


# Guards against messages that have waited while an instance was suspended,
# and state what it believes anyway.
def test_waiting_reports_do_not_make_an_old_view_current(run_scenario):
    async def scenario(fleet):
        third = fleet.feeds['third']
        fleet.partitioned = {'third'}
        fleet.registry.unreachable_from = {'third'}
        offset = third.build_offer().position.offset
        report = RunnersRead(offset, third._view.digest, era=1)
        fleet.registry.write('r2')
        await asyncio.sleep(5.0)
        assert all(third.compare_read(report) for _ in range(4))
        assert third.measure_age_s() == 0.0
        assert not third.is_current()

    run_scenario(scenario)


# Guards against a report that was sent before this instance's last read.
def test_report_from_before_the_last_read_proves_nothing(run_scenario):
    async def scenario(fleet):
        third = fleet.feeds['third']
        digest = third._view.digest
        offset = third.build_offer().position.offset
        # The runner renews its entry, which leaves the view as it is.
        fleet.registry.write('r1')
        await asyncio.sleep(DRAIN_S)
        fleet.partitioned = {'third'}
        await asyncio.sleep(0.5)
        lag_s = third.measure_lag_s()
        assert third.compare_read(RunnersRead(offset, digest, era=1))
        assert third.measure_lag_s() == lag_s
        later = RunnersRead(offset + 1, digest, era=1)
        assert third.compare_read(later)
        assert third.measure_lag_s() == 0.0

    run_scenario(scenario)
