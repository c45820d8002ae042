"""Changes of the settings while requests are under way at the own interface."""

import asyncio
import itertools

import msgspec
import pytest

from anvilhall.core.tree import hash_key
from anvilhall.events import DONE_EVENT, decode_answer
from anvilhall_standins.engine import EngineModel
from tests.cluster import (
    build_chat,
    inject_fault,
    open_cluster,
    wait_for,
)
from tests.rawcaller import RawCaller, run_some_at_once

WORDS = 6
#: Kinds of request by name, with the fields of their classes.
KINDS = {
    'lookup': {'idempotent': True},
    'order': {'idempotent': False},
    'brief': {'resumable': False},
    'chat': {'resumable': True},
}
STREAMING = ('brief', 'chat')
STAGES = {
    'body': KINDS,
    'queued': KINDS,
    'sent': KINDS,
    'streaming': STREAMING,
    'cut': ('chat',),
    'moved': ('chat',),
}
#: Seconds that services work, and milliseconds that engines take for a word:
#: briskly, or silent for a while that is not yet taken for a fault.
PACES = {'brisk': (0.4, 100), 'silent': (0.7, 300)}
#: Words of the answer that keeps an engine busy, and seconds that a service is
#: kept busy.
BUSY_WORDS = 10
BUSY_S = 1.2
CELLS = [
    (stage, kind, pace)
    for stage, kinds in STAGES.items()
    for kind, pace in itertools.product(kinds, PACES)
]


def name_cell(cell):
    return '-'.join(cell)


def build_node():
    """Return settings with a class and a pool for each cell."""
    wires = dict.fromkeys(KINDS, 'plain-http')
    wires.update(dict.fromkeys(STREAMING, 'chat-completions'))
    pools = {
        name_cell(cell): {'wire': wires[cell[1]], 'slots': 1} for cell in CELLS
    }
    pools['other'] = {'wire': 'plain-http'}
    classes = {
        name_cell(cell): {
            'pool': name_cell(cell),
            'deadline_s': 9,
            **KINDS[cell[1]],
        }
        for cell in CELLS
    }
    accounts = {'ann': {'key_sha256': [hash_key('ann')]}}
    return {'pools': pools, 'classes': classes, 'accounts': accounts}


def change_nothing(node):
    """Publish a version with the same settings."""


def remove_classes(node):
    node['classes'] = {}


def move_classes(node):
    for settings in node['classes'].values():
        settings['pool'] = 'other'


def lower_deadlines(node):
    for settings in node['classes'].values():
        settings['deadline_s'] = 0.05


def change_kinds(node):
    """Make what may be repeated or resumed not so."""
    for settings in node['classes'].values():
        settings['idempotent'] = False
        settings['resumable'] = False


def remove_pools(node):
    move_classes(node)
    node['pools'] = {'other': {'wire': 'plain-http'}}


def remove_accounts(node):
    node['accounts'] = {}


def remove_keys(node):
    node['accounts']['ann']['key_sha256'] = [hash_key('another')]


def lower_limits(node):
    node['guards'] = {'body_bytes': 10, 'open_requests': 1}


def change_all(node):
    remove_keys(node)
    lower_limits(node)
    lower_deadlines(node)
    change_kinds(node)
    remove_pools(node)


def remove_all(node):
    node.clear()


CHANGES = (
    change_nothing,
    remove_classes,
    move_classes,
    lower_deadlines,
    change_kinds,
    remove_pools,
    remove_accounts,
    remove_keys,
    lower_limits,
    change_all,
    remove_all,
)
#: Statuses of errors of the interface other than internal ones.
REFUSALS = (400, 401, 403, 404, 503, 504)
#: Changes after which a request whose body has just ended is refused: its class
#: is looked up then.
REFUSING = (
    remove_classes,
    move_classes,
    lower_deadlines,
    remove_pools,
    change_all,
    remove_all,
)


class Cell:
    """One request at one stage, with the runners that serve it alone."""

    def __init__(self, cluster, cell):
        self._cluster = cluster
        self._name = name_cell(cell)
        self._stage, self._kind, self._pace = cell
        self._runners = []
        self._callers = []
        #: Runner of the request that came first; ``None``: there is none.
        self._busy = None

    def prepare(self):
        """Start and register the runners."""
        for number in range(2 if self._stage in {'cut', 'moved'} else 1):
            self._add_runner(f'{self._name}-{number}')

    async def occupy(self):
        """Leave no runner for the request, or but one."""
        if self._stage in {'queued', 'moved'}:
            blocker = await self._connect('blocker', BUSY_WORDS)
            blocker.send_head()
            blocker.send_rest()
            await wait_for(lambda: self._count_runs() >= 1)
            self._busy = next(filter(_count_started, self._runners))

    async def open(self):
        """Bring the request to its stage."""
        request = await self._connect('request', WORDS)
        request.send_head(5)
        if self._stage == 'body':
            return
        request.send_rest()
        count = 2 if self._stage == 'moved' else 1
        await wait_for(lambda: self._count_runs() >= count)
        if self._stage in {'streaming', 'cut', 'moved'}:
            await asyncio.sleep(PACES[self._pace][1] / 1000 + 0.05)
        if self._stage == 'moved':
            self._cut()

    async def end(self):
        """Send what is left, and read the answers.

        :return: the answer to the request.
        """
        request = self._callers[-1]
        if self._stage == 'body':
            await request.send_slowly(4, 0.1)
        elif self._stage == 'cut':
            self._cut()
        answers = [await caller.read_answer() for caller in self._callers]
        for caller in self._callers:
            caller.close()
        return answers[-1]

    def find_fault(self, answer, *, may_refuse):
        """Return what is wrong with the answer; empty if nothing is.

        :param may_refuse: whether a body that has just ended may be refused.
        """
        refused = answer.whole and answer.status in REFUSALS
        if refused and may_refuse and self._stage == 'body':
            return ''
        served = answer.whole and answer.status == 200
        if served and self._kind in STREAMING:
            ended = answer.body.endswith(DONE_EVENT)
            text = decode_answer([answer.body]).text if ended else ''
            served = len(text.split()) == WORDS
        return '' if served else f'{self._name}: {answer}'

    def _add_runner(self, name):
        work_s, step_ms = PACES[self._pace]
        if self._kind in STREAMING:
            model = EngineModel(
                slots=2,
                prefill_tokens_per_s=1e6,
                step_base_ms=step_ms,
                step_per_stream_ms=0,
            )
            self._cluster.add_engine(name, model=model, pool=self._name)
            self._runners.append(self._cluster.engines[name])
        else:
            if self._stage == 'queued':
                work_s = BUSY_S
            self._cluster.add_service(name, work_s=work_s, pool=self._name)
            self._runners.append(self._cluster.books[name])

    def _cut(self):
        """Have the engine of the request break its answer off."""
        for engine in self._runners:
            if engine.started and engine is not self._busy:
                inject_fault(engine.faults, 'half_event')

    async def _connect(self, text, words):
        """Open the connection of a chat or of a call to a plain service."""
        path, body = f'/services/{self._name}/1', b'{"amount": 100}'
        if self._kind in STREAMING:
            path, body = '/v1/chat/completions', build_chat(text, words)
        lines = (
            f'POST {path} HTTP/1.1',
            'Host: a',
            'Authorization: Bearer ann',
            f'Anvilhall-Class: {self._name}',
        )
        caller = RawCaller(lines, body)
        await caller.connect(self._cluster.ports['entry-0'])
        self._callers.append(caller)
        return caller

    def _count_runs(self):
        return sum(map(_count_started, self._runners))


def _count_started(runner):
    """Return how many requests an engine or a service has begun."""
    started = runner.started if hasattr(runner, 'started') else runner.runs
    return len(started)


async def run_change(change):
    """Return what is wrong with the answers of all cells around a change."""
    node = build_node()
    async with open_cluster(node, 0, 0, 0) as cluster:
        cells = [Cell(cluster, cell) for cell in CELLS]
        for cell in cells:
            cell.prepare()
        instance = await cluster.add_instance('entry-0')
        await cluster.wait_ready()
        await wait_for(
            lambda: (
                sum(owned.runners for owned in instance.describe().owned)
                == len(cluster.engines) + len(cluster.books)
            )
        )
        await asyncio.gather(*(cell.occupy() for cell in cells))
        await asyncio.gather(*(cell.open() for cell in cells))
        changed = msgspec.json.decode(msgspec.json.encode(node))
        change(changed)
        before = instance.describe().settings_version
        cluster.publish(changed, based_on=1)
        await wait_for(lambda: instance.describe().settings_version > before)
        answers = await asyncio.gather(*(cell.end() for cell in cells))
        faults = [
            cell.find_fault(answer, may_refuse=change in REFUSING)
            for cell, answer in zip(cells, answers, strict=True)
        ]
        return [fault for fault in faults if fault]


@pytest.fixture(scope='module')
def faults():
    """Return what is wrong with the answers around each change."""
    return asyncio.run(run_some_at_once(run_change, CHANGES))


# Guards against a change of the settings that ends the answer to a request
# under way, refuses it or holds it until its deadline.
@pytest.mark.parametrize('change', CHANGES)
def test_request_under_way_is_served_despite_a_change(faults, change):
    assert faults[change] == []
