"""Instances share the settings that the reader of their domain polls."""

import asyncio
import datetime as dt
import random

import msgspec
import pytest

from anvilhall.core.positions import Position
from anvilhall.exceptions import LogUnavailable
from anvilhall.feeds.settings import SettingsFeed
from anvilhall.metrics import Metrics
from anvilhall.platform.store import CONFIG_KEY, KeyedPage, KeyedRecord
from anvilhall_standins.virtualloop import LoopClock, VirtualLoop

START = dt.datetime(2026, 3, 30, 6, 0, tzinfo=dt.UTC)
#: Seconds within which a version must be in force everywhere.
IN_FORCE_S = 2.0
CALL_TIMEOUT_S = 0.7
#: Seconds between two reports of the reader to its peers.
REPORT_S = 0.8
FOLLOWERS = ('second', 'third', 'fourth')


class _Store:
    """Store in memory that answers long polls and counts calls."""

    def __init__(self):
        self.records = []
        self.calls = {}
        self.unreachable_from = set()
        #: Instances whose open long polls are never answered.
        self.silent_polls_of = set()
        self._changed = asyncio.Event()

    def publish(self, version):
        self.write(msgspec.json.encode({'version': version, 'routes': []}))

    def publish_invalid(self, version):
        self.write(msgspec.json.encode({'version': version, 'routes': 7}))

    def write(self, encoded):
        position = Position(1, len(self.records))
        record = KeyedRecord(CONFIG_KEY, encoded, position)
        self.records.append(record)
        self._changed.set()
        self._changed = asyncio.Event()

    def connect(self, instance):
        return _Client(self, instance)

    def count_calls(self):
        return sum(self.calls.get(name, 0) for name in FOLLOWERS)

    async def wait_for_change(self, wait_s):
        try:
            await asyncio.wait_for(self._changed.wait(), wait_s)
        except TimeoutError:
            return


class _Client:
    """Store client of one instance."""

    def __init__(self, store, instance):
        self._store = store
        self._instance = instance

    async def list_newest(self, topic):
        self._count()
        return self._read(max(0, len(self._store.records) - 1))

    async def find_first(self, topic):
        return Position(1, 0)

    async def read(self, topic, start, wait_s, timeout_s=CALL_TIMEOUT_S):
        try:
            async with asyncio.timeout(wait_s + timeout_s):
                return await self._wait_and_read(start.offset, wait_s)
        except TimeoutError as error:
            raise LogUnavailable('timed out') from error

    async def _wait_and_read(self, offset, wait_s):
        self._count()
        if offset >= len(self._store.records):
            await self._store.wait_for_change(wait_s)
            self._check()
        if self._instance in self._store.silent_polls_of:
            await asyncio.Event().wait()
        return self._read(offset)

    def _read(self, offset):
        records = self._store.records
        return KeyedPage(tuple(records[offset:]), Position(1, len(records)))

    def _count(self):
        calls = self._store.calls
        calls[self._instance] = calls.get(self._instance, 0) + 1
        self._check()

    def _check(self):
        if self._instance in self._store.unreachable_from:
            raise LogUnavailable('unreachable')


class _Fleet:
    """Settings feeds of one reader and its followers."""

    def __init__(self, loop):
        self.store = _Store()
        self.reader = 'reader'
        self.partitioned = set()
        #: Instances whose asks for a version are never answered.
        self.silent_asks_of = set()
        self.applied = {}
        self.feeds = {}
        for name in ('reader', *FOLLOWERS):
            self.applied[name] = []
            self.feeds[name] = SettingsFeed(
                self.store.connect(name),
                LoopClock(loop, START),
                Metrics(),
                random.Random(1),
                lambda settings, name=name: self._announce(name, settings),
                lambda name=name: name == self.reader,
            )

    def versions(self):
        return {feed.version for feed in self.feeds.values()}

    async def report(self):
        """Send the reader's reports, as after each read of the registry."""
        while True:
            await asyncio.sleep(REPORT_S)
            version = self.feeds[self.reader].polled_version
            for name in self._list_peers(self.reader):
                self.feeds[name].note_peer_version(version)
                self._offer(self.reader, name, version)

    def _announce(self, sender, settings):
        self.applied[sender].append(settings.version)
        for name in self._list_peers(sender):
            self._offer(sender, name, settings.version)

    def _offer(self, sender, receiver, version):
        if (
            self.feeds[receiver].should_ask(version)
            and receiver not in self.silent_asks_of
        ):
            encoded = self.feeds[sender].settings.encoded
            self.feeds[receiver].apply(encoded, sender)

    def _list_peers(self, sender):
        return [
            name
            for name in self.feeds
            if name != sender and not self.partitioned & {name, sender}
        ]


@pytest.fixture
def run_scenario():
    """Return a function that runs a scenario on one reader and followers."""

    def run(scenario):
        loop = VirtualLoop()

        async def start():
            fleet = _Fleet(loop)
            fleet.store.publish(1)
            tasks = [
                asyncio.ensure_future(feed.run())
                for feed in fleet.feeds.values()
            ]
            tasks.append(asyncio.ensure_future(fleet.report()))
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


def test_only_the_reader_polls_for_settings(run_scenario):
    async def scenario(fleet):
        before = fleet.store.count_calls()
        for version in range(2, 22):
            fleet.store.publish(version)
            await asyncio.sleep(3.0)
            assert fleet.versions() == {version}
        assert fleet.store.count_calls() == before

    run_scenario(scenario)


def test_version_is_in_force_in_time_without_the_reader(run_scenario):
    async def scenario(fleet):
        fleet.partitioned = {'reader'}
        fleet.store.publish(2)
        await asyncio.sleep(IN_FORCE_S)
        assert fleet.versions() == {2}

    run_scenario(scenario)


def test_version_is_in_force_in_time_if_the_store_refuses_the_reader(
    run_scenario,
):
    async def scenario(fleet):
        fleet.store.unreachable_from = {'reader'}
        await asyncio.sleep(IN_FORCE_S)
        fleet.store.publish(2)
        await asyncio.sleep(IN_FORCE_S)
        assert fleet.versions() == {2}

    run_scenario(scenario)


def test_instance_refused_by_the_store_gets_versions_from_the_reader(
    run_scenario,
):
    async def scenario(fleet):
        fleet.store.unreachable_from = set(FOLLOWERS)
        fleet.store.publish(2)
        await asyncio.sleep(0.5)
        assert fleet.versions() == {2}

    run_scenario(scenario)


def test_burst_of_versions_is_applied_a_few_times_only(run_scenario):
    async def scenario(fleet):
        for version in range(2, 27):
            fleet.store.publish(version)
            await asyncio.sleep(0.08)
        await asyncio.sleep(0.5)
        assert fleet.versions() == {26}
        for applied in fleet.applied.values():
            assert applied == sorted(applied)
            assert len(applied) <= 12

    run_scenario(scenario)


def test_followers_call_less_often_the_longer_the_store_is_away(run_scenario):
    async def scenario(fleet):
        fleet.store.unreachable_from = {'reader', *FOLLOWERS}
        fleet.store.publish(2)
        before = fleet.store.count_calls()
        await asyncio.sleep(20.0)
        assert fleet.store.count_calls() - before <= 20 * len(FOLLOWERS)
        fleet.store.unreachable_from = set()
        await asyncio.sleep(IN_FORCE_S)
        assert fleet.versions() == {2}

    run_scenario(scenario)


# Guards against a version that is late because a poll that is never answered
# counts as one that keeps the settings current.
@pytest.mark.parametrize('silent_s', [0.1, 0.9, 2.3, 9.0])
def test_version_is_in_force_in_time_if_a_poll_is_not_answered(
    run_scenario, silent_s
):
    async def scenario(fleet):
        fleet.store.silent_polls_of = {'reader'}
        await asyncio.sleep(silent_s)
        fleet.store.publish(2)
        await asyncio.sleep(IN_FORCE_S)
        assert fleet.versions() == {2}

    run_scenario(scenario)


# Guards against a version that is late because all open polls fell silent.
def test_version_is_in_force_in_time_if_all_open_polls_fall_silent(
    run_scenario,
):
    async def scenario(fleet):
        fleet.store.silent_polls_of = {'reader', *FOLLOWERS}
        fleet.store.publish(2)
        await asyncio.sleep(0.05)
        fleet.store.silent_polls_of = set()
        await asyncio.sleep(IN_FORCE_S - 0.05)
        assert fleet.versions() == {2}

    run_scenario(scenario)


# Guards against a version that is late because the peer that reports it does
# not get the ask for it, as on a link that is silent in one direction.
def test_version_is_in_force_in_time_if_peers_do_not_answer(run_scenario):
    async def scenario(fleet):
        fleet.silent_asks_of = set(FOLLOWERS)
        await asyncio.sleep(1.0)
        before = fleet.store.count_calls()
        for version in range(2, 6):
            fleet.store.publish(version)
            await asyncio.sleep(IN_FORCE_S / 2)
            assert fleet.versions() == {version}
            await asyncio.sleep(IN_FORCE_S)
        calls = fleet.store.count_calls() - before
        assert calls <= 3 * 4 * len(FOLLOWERS)

    run_scenario(scenario)


# Guards against a peer that keeps an instance from polling although its own
# version is older.
def test_report_of_an_older_version_does_not_replace_polling(run_scenario):
    async def scenario(fleet):
        fleet.partitioned = {'reader', 'second'}
        feed = fleet.feeds['second']
        fleet.store.publish(2)
        await asyncio.sleep(IN_FORCE_S)
        assert feed.version == 2
        for _ in range(40):
            feed.note_peer_version(1)
            await asyncio.sleep(IN_FORCE_S / 20)
        fleet.store.publish(3)
        for _ in range(20):
            feed.note_peer_version(1)
            await asyncio.sleep(IN_FORCE_S / 20)
        assert feed.version == 3

    run_scenario(scenario)


# Guards against a valid version that is lost because the page in which it
# arrives also has an invalid one of a higher number.
def test_version_before_an_invalid_one_in_a_page_is_in_force(run_scenario):
    async def scenario(fleet):
        fleet.store.publish(2)
        fleet.store.publish_invalid(3)
        await asyncio.sleep(IN_FORCE_S)
        assert fleet.versions() == {2}
        fleet.store.publish(4)
        await asyncio.sleep(IN_FORCE_S)
        assert fleet.versions() == {4}

    run_scenario(scenario)


# Guards against a valid version that is displaced by an invalid one while it
# waits for its turn.
@pytest.mark.parametrize('invalid', [1, 3, 40])
def test_version_that_waits_before_invalid_ones_is_in_force(
    run_scenario, invalid
):
    async def scenario(fleet):
        fleet.store.publish(2)
        await asyncio.sleep(0.05)
        fleet.store.publish(3)
        for number in range(invalid):
            fleet.store.publish_invalid(4 + number)
            await asyncio.sleep(0.005)
        await asyncio.sleep(0.3)
        assert fleet.versions() == {3}

    run_scenario(scenario)


# Guards against an older valid version that comes after an invalid one.
def test_version_after_an_invalid_one_of_a_higher_number_is_in_force(
    run_scenario,
):
    async def scenario(fleet):
        feed = fleet.feeds['reader']
        fleet.store.publish(2)
        await asyncio.sleep(0.05)
        feed.apply(b'{"version":9,"routes":7}', 'second')
        feed.apply(b'{"version":8,"routes":[]}', 'third')
        feed.apply(b'{"version":8,"routes":7}', 'fourth')
        await asyncio.sleep(0.3)
        assert feed.version == 8

    run_scenario(scenario)


# Guards against versions of one page that come into force one by one.
def test_newest_version_of_a_page_is_in_force_at_once(run_scenario):
    async def scenario(fleet):
        fleet.store.publish(2)
        fleet.store.publish(3)
        await asyncio.sleep(0.05)
        assert fleet.versions() == {3}

    run_scenario(scenario)


def test_peer_is_asked_once_for_a_version_that_several_announce(run_scenario):
    async def scenario(fleet):
        feed = fleet.feeds['second']
        assert feed.should_ask(5)
        assert not feed.should_ask(5)
        assert feed.should_ask(6)
        await asyncio.sleep(0.6)
        assert feed.should_ask(6)

    run_scenario(scenario)
