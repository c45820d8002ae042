"""A state machine of a fleet under random faults, with an external oracle.

The oracle reads the answers of callers, the runs of upstreams and the settings
versions in force, not the metrics and counters of the instances.
"""

import asyncio

from hypothesis import strategies
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from anvilhall.exceptions import Outcome
from anvilhall_standins.virtualloop import close_virtual
from tests.simulated import (
    has_expected_answer,
    open_fleet,
    start_instances,
    submit_chat,
    submit_order,
)

DOMAINS = 2
PER_DOMAIN = 2
#: Virtual seconds after the last fault within which every request must end.
SETTLE_S = 60

instance_indexes = strategies.integers(0, DOMAINS * PER_DOMAIN - 1)
keys = strategies.sampled_from(['seat-1', 'seat-2', 'invoice-3'])
pauses = strategies.sampled_from([0.0, 0.001, 0.01, 0.1, 0.7, 3.0])
ROOT = {
    'pools': {
        'chat': {
            'wire': 'chat-completions',
            'slots': 2,
            'queue_limit': 6,
            'gap_timeout_s': 2,
            'first_byte_timeout_s': 5,
        },
        'desk': {'wire': 'plain-http', 'slots': 2, 'first_byte_timeout_s': 2},
    },
    'classes': {
        'quick': {'pool': 'chat', 'tier': 0, 'deadline_s': 40},
        'bulk': {
            'pool': 'chat',
            'tier': 2,
            'preemptible': True,
            'deadline_s': 40,
        },
        'once': {
            'pool': 'chat',
            'tier': 1,
            'idempotent': False,
            'resumable': False,
            'deadline_s': 40,
        },
        'order': {'pool': 'desk', 'idempotent': False, 'deadline_s': 20},
    },
}


class FleetMachine(RuleBasedStateMachine):
    """Random requests and faults."""

    def __init__(self):
        super().__init__()
        self.loop = None

    @initialize(seed=strategies.integers(0, 1000))
    def open(self, seed):
        loop, fleet = open_fleet(ROOT, seed=seed, domains=DOMAINS)
        self.loop = loop
        self.fleet = fleet
        self.names = [
            f'entry-{domain}-{number}'
            for domain in range(DOMAINS)
            for number in range(PER_DOMAIN)
        ]
        self.versions = {}
        self.published = 1
        asyncio.set_event_loop(loop)
        self._run_on_loop(start_instances, self.fleet, DOMAINS, PER_DOMAIN)
        self.pass_time(3)

    @rule(
        index=instance_indexes,
        key=keys,
        work_ms=strategies.sampled_from([5, 300]),
    )
    def order(self, index, key, work_ms):
        name = self._get_ready_name(index)
        if name:
            self._run_on_loop(submit_order, self.fleet, name, key, work_ms)

    @rule(
        index=instance_indexes,
        max_tokens=strategies.sampled_from([1, 5, 300]),
        class_name=strategies.sampled_from(['quick', 'bulk', 'once']),
    )
    def chat(self, index, max_tokens, class_name):
        name = self._get_ready_name(index)
        if name:
            text = f'question {len(self.fleet.records)}'
            self._run_on_loop(
                submit_chat,
                self.fleet,
                name,
                text,
                max_tokens,
                class_name,
            )

    @rule(index=instance_indexes)
    def hang_up(self, index):
        for record in self.fleet.records[index::7]:
            if record.task and not record.task.done():
                record.task.cancel()
                break

    @rule(seconds=pauses)
    def pass_time(self, seconds):
        self.loop.run_until_complete(asyncio.sleep(seconds))
        self._check_version_order()

    @rule(index=instance_indexes)
    def crash_instance(self, index):
        name = self.names[index]
        if name in self.fleet.instances:
            self._run_on_loop(self.fleet.crash_instance, name)
            self.versions.pop(name, None)

    @rule(index=instance_indexes)
    def restart_instance(self, index):
        name = self.names[index]
        if name not in self.fleet.instances:
            self._run_on_loop(
                self.fleet.add_instance, name, f'd{name.split("-")[1]}'
            )

    @rule(index=instance_indexes, other=instance_indexes)
    def cut(self, index, other):
        if index != other:
            self.fleet.network.cut(self.names[index], self.names[other])

    @rule()
    def heal(self):
        self.fleet.network.heal()

    @rule(out=strategies.booleans())
    def set_log(self, out):
        self.fleet.log.unavailable = out

    @rule(share=strategies.sampled_from([0.0, 0.5, 1.0]), late=pauses)
    def lose_answers(self, share, late):
        self.fleet.log.lost_response_share = share
        self.fleet.log.late_append_s = late

    @rule(index=instance_indexes, cut=strategies.booleans())
    def cut_from_log(self, index, cut):
        self.fleet.log.set_cut(self.names[index], cut=cut)

    @rule(number=strategies.integers(0, 3))
    def crash_runner(self, number):
        runners = list(self.fleet.runners.values())
        busy = [runner for runner in runners if runner.running] or runners
        runner = busy[number % len(busy)]
        runner.crash()
        self.loop.call_later(1.0, setattr, runner, 'up', True)

    @rule(
        index=instance_indexes,
        number=strategies.integers(0, 3),
        class_name=strategies.sampled_from(['quick', 'once']),
    )
    def crash_under_answer(self, index, number, class_name):
        self.chat(index, 300, class_name)
        self.pass_time(0.1)
        self.crash_runner(number)

    @rule(
        index=instance_indexes,
        other=instance_indexes,
        key=keys,
        lost=strategies.booleans(),
    )
    def repeat_order(self, index, other, key, lost):
        for desk in self.fleet.services.values():
            desk.responses_to_drop = int(lost)
        self.order(index, key, 5)
        self.pass_time(0.7)
        self.order(other, key, 5)

    @rule(domain=strategies.integers(0, DOMAINS - 1))
    def lose_service_answers(self, domain):
        self.fleet.services[f'desk-{domain}'].responses_to_drop = 2

    @rule(based_on=strategies.integers(0, 4), limit=strategies.integers(50, 99))
    def publish(self, based_on, limit):
        node = {**ROOT, 'guards': {'open_requests': limit}}
        self._run_on_loop(self.fleet.publish, '', based_on, node)

    def teardown(self):
        if self.loop is None:
            return
        try:
            self._heal_and_settle()
            self.check()
        finally:
            close_virtual(self.loop)

    def check(self):
        check_answers(self.fleet)
        check_orders(self.fleet)
        check_refusals(self.fleet)
        check_versions(self.fleet)

    def _heal_and_settle(self):
        self.fleet.network.heal()
        self.fleet.log.unavailable = False
        self.fleet.log.lost_response_share = 0
        for name in self.names:
            self.fleet.log.set_cut(name, cut=False)
        self.pass_time(SETTLE_S)

    def _check_version_order(self):
        for name, instance in self.fleet.instances.items():
            version = instance.describe().settings_version
            assert version >= self.versions.get(name, -1), 'settings reverted'
            self.versions[name] = version

    def _get_ready_name(self, index):
        name = self.names[index]
        instance = self.fleet.instances.get(name)
        return name if instance and instance.gate.ready else None

    def _run_on_loop(self, work, *arguments):
        async def step():
            work(*arguments)

        self.loop.run_until_complete(step())


def check_answers(fleet):
    """Check that each caller got its complete answer or an error."""
    for record in fleet.records:
        ended = record.task is None or record.task.done()
        assert ended, f'{record.job.request_id} has not ended'
        if record.complete and record.job.chat:
            assert has_expected_answer(record), (
                f'{record.job.request_id} has a wrong or incomplete answer'
            )
        gone = record.task is not None and record.task.cancelled()
        said = record.complete or record.error or gone
        assert said, f'{record.job.request_id} ended without answer or error'


def check_orders(fleet):
    """Check that no idempotency key ran more than once."""
    runs = [run for desk in fleet.services.values() for run in desk.runs]
    for key in set(runs):
        assert runs.count(key) == 1, f'{key} ran {runs.count(key)} times'


def check_refusals(fleet):
    """Check that no chat request ran whose error states that it did not."""
    started = [
        request_id
        for runner in fleet.runners.values()
        for request_id in runner.started
    ]
    for record in fleet.records:
        error = record.error
        if error and error.outcome is Outcome.NOT_RUN and record.job.chat:
            assert record.job.request_id not in started, (
                f'{record.job.request_id} ran, but {error.code} says it did not'
            )


def check_versions(fleet):
    """Check that all instances end with the same settings version."""
    versions = {
        instance.describe().settings_version
        for instance in fleet.instances.values()
    }
    assert len(versions) <= 1, f'versions in force: {versions}'
