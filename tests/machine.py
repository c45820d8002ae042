"""A fleet under random faults, and an oracle that reads only what was seen.

The oracle looks at callers' answers, upstreams' runs, the log's records and the
versions in force. It knows nothing of the instances' own counters.
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
#: Virtual seconds after the last fault in which everything must end.
REST_S = 60

places = strategies.integers(0, DOMAINS * PER_DOMAIN - 1)
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
        self._do(start_instances, self.fleet, DOMAINS, PER_DOMAIN)
        self.pass_time(3)

    @rule(place=places, key=keys, work_ms=strategies.sampled_from([5, 300]))
    def order(self, place, key, work_ms):
        name = self._pick(place)
        if name:
            self._do(submit_order, self.fleet, name, key, work_ms)

    @rule(
        place=places,
        max_tokens=strategies.sampled_from([1, 5, 300]),
        class_name=strategies.sampled_from(['quick', 'bulk', 'once']),
    )
    def chat(self, place, max_tokens, class_name):
        name = self._pick(place)
        if name:
            text = f'question {len(self.fleet.records)}'
            self._do(
                submit_chat,
                self.fleet,
                name,
                text,
                max_tokens,
                class_name,
            )

    @rule(place=places)
    def hang_up(self, place):
        for record in self.fleet.records[place::7]:
            if record.task and not record.task.done():
                record.task.cancel()
                break

    @rule(seconds=pauses)
    def pass_time(self, seconds):
        self.loop.run_until_complete(asyncio.sleep(seconds))
        self._note_versions()

    @rule(place=places)
    def crash_instance(self, place):
        name = self.names[place]
        if name in self.fleet.instances:
            self._do(self.fleet.crash_instance, name)
            self.versions.pop(name, None)

    @rule(place=places)
    def restart_instance(self, place):
        name = self.names[place]
        if name not in self.fleet.instances:
            self._do(self.fleet.add_instance, name, f'd{name.split("-")[1]}')

    @rule(place=places, other=places)
    def cut(self, place, other):
        if place != other:
            self.fleet.network.cut(self.names[place], self.names[other])

    @rule()
    def heal(self):
        self.fleet.network.heal()

    @rule(out=strategies.booleans())
    def set_log(self, out):
        self.fleet.log.out = out

    @rule(share=strategies.sampled_from([0.0, 0.5, 1.0]), late=pauses)
    def lose_answers(self, share, late):
        self.fleet.log.lose_share = share
        self.fleet.log.late_s = late

    @rule(place=places, cut=strategies.booleans())
    def cut_from_log(self, place, cut):
        self.fleet.log.set_cut(self.names[place], cut=cut)

    @rule(number=strategies.integers(0, 3))
    def crash_runner(self, number):
        runners = list(self.fleet.runners.values())
        busy = [runner for runner in runners if runner.running] or runners
        runner = busy[number % len(busy)]
        runner.crash()
        self.loop.call_later(1.0, setattr, runner, 'up', True)

    @rule(
        place=places,
        number=strategies.integers(0, 3),
        class_name=strategies.sampled_from(['quick', 'once']),
    )
    def crash_under_answer(self, place, number, class_name):
        self.chat(place, 300, class_name)
        self.pass_time(0.1)
        self.crash_runner(number)

    @rule(place=places, other=places, key=keys, lost=strategies.booleans())
    def repeat_order(self, place, other, key, lost):
        for desk in self.fleet.services.values():
            desk.drop_answers = int(lost)
        self.order(place, key, 5)
        self.pass_time(0.7)
        self.order(other, key, 5)

    @rule(domain=strategies.integers(0, DOMAINS - 1))
    def lose_service_answers(self, domain):
        self.fleet.services[f'desk-{domain}'].drop_answers = 2

    @rule(based_on=strategies.integers(0, 4), limit=strategies.integers(50, 99))
    def publish(self, based_on, limit):
        node = {**ROOT, 'guards': {'open_requests': limit}}
        self._do(self.fleet.publish, '', based_on, node)

    def teardown(self):
        if self.loop is None:
            return
        try:
            self._rest()
            self.check()
        finally:
            close_virtual(self.loop)

    def check(self):
        check_answers(self.fleet)
        check_orders(self.fleet)
        check_refusals(self.fleet)
        check_versions(self.fleet)

    def _rest(self):
        self.fleet.network.heal()
        self.fleet.log.out = False
        self.fleet.log.lose_share = 0
        for name in self.names:
            self.fleet.log.set_cut(name, cut=False)
        self.pass_time(REST_S)

    def _note_versions(self):
        for name, instance in self.fleet.instances.items():
            version = instance.describe().settings_version
            assert version >= self.versions.get(name, -1), 'settings reverted'
            self.versions[name] = version

    def _pick(self, place):
        name = self.names[place]
        instance = self.fleet.instances.get(name)
        return name if instance and instance.gate.ready else None

    def _do(self, work, *arguments):
        async def step():
            work(*arguments)

        self.loop.run_until_complete(step())


def check_answers(fleet):
    """Every caller got the whole answer to its own request, or an error."""
    for record in fleet.records:
        ended = record.task is None or record.task.done()
        assert ended, f'{record.job.request_id} has no end'
        if record.whole and record.job.chat:
            assert has_expected_answer(record), (
                f'{record.job.request_id} is not whole'
            )
        gone = record.task is not None and record.task.cancelled()
        said = record.whole or record.error or gone
        assert said, f'{record.job.request_id} was lost silently'


def check_orders(fleet):
    """No key ran more than once."""
    runs = [run for desk in fleet.services.values() for run in desk.runs]
    for key in set(runs):
        assert runs.count(key) == 1, f'{key} ran {runs.count(key)} times'


def check_refusals(fleet):
    """A request that was refused as not run did not run."""
    started = [
        request_id
        for runner in fleet.runners.values()
        for request_id in runner.started
    ]
    for record in fleet.records:
        error = record.error
        if error and error.outcome is Outcome.NOT_RUN and record.job.chat:
            assert record.job.request_id not in started, (
                f'{record.job.request_id} ran but got {error.code}'
            )


def check_versions(fleet):
    """All ready instances have the same settings in force in the end."""
    versions = {
        instance.describe().settings_version
        for instance in fleet.instances.values()
    }
    assert len(versions) <= 1, f'versions in force: {versions}'
