"""Choice of runners under different load patterns."""

import datetime as dt

import pytest

from anvilhall.core.messages import (
    Ask,
    Grant,
    Progress,
    Read,
    Refusal,
    Release,
)
from anvilhall.core.policies import POLICIES
from anvilhall.core.profiles import build_class_fields, build_engine_pool
from anvilhall.core.roster import RunnerEndpoint
from anvilhall.core.settings import TeamNode
from anvilhall.core.shard import Shard
from anvilhall.core.tree import Tree

WALL = dt.datetime(2026, 12, 4, 8, 0, tzinfo=dt.UTC)
SHORT = 700
LONG = 9000


@pytest.fixture
def engines():
    """Return settings with short questions in a higher tier than documents."""
    fields = {
        'question': build_class_fields(
            'llm',
            tier=0,
            streaming=True,
            objective_ms=300,
            gap_ms=150,
            highest_tier=True,
        ),
        'document': build_class_fields(
            'llm',
            tier=1,
            streaming=True,
            objective_ms=600,
            gap_ms=250,
            highest_tier=False,
        ),
    }
    pools = {'llm': build_engine_pool(8, 100_000, 4)}
    return Tree({'': TeamNode(classes=fields, pools=pools)})


@pytest.fixture
def shard(engines):
    """Return a shard with four engines under the policy ``relay``."""
    shard = Shard('llm', engines, POLICIES.get('relay'))
    shard.set_runners(
        [RunnerEndpoint(f'r{index}', f'a{index}') for index in range(4)]
    )
    return shard


class _Load:
    """Sends requests to a shard and records its grants and refusals."""

    def __init__(self, shard):
        self.shard = shard
        self.granted = {}
        self.refused = []
        self._count = 0

    def ask(self, class_name, now, parts=(), tier=1):
        self._count += 1
        name = f'{class_name}-{self._count}'
        tokens = SHORT if class_name == 'question' else LONG
        ask = Ask(
            pool='llm',
            request_id=name,
            class_name=class_name,
            account='ann',
            prompt_tokens=tokens,
            max_tokens=300,
            deadline_s=10.0,
            parts=parts,
            tier=tier,
        )
        self._record(self.shard.submit('e', ask, now))
        self.dispatch(now)
        return name

    def dispatch(self, now):
        self._record(self.shard.dispatch(now, WALL))

    def _record(self, actions):
        for action in actions:
            message = action.message
            if isinstance(message, Grant):
                self.granted[message.request_id] = message.runner
            elif isinstance(message, Refusal):
                self.refused.append(message.request_id)

    def report_first_token(self, name, now):
        progress = Progress('llm', name, 0.1, 1, 0.0)
        self.shard.note_progress(progress, now)

    def finish(self, name, now):
        self.shard.release(Release('llm', name, served=True), now)


@pytest.fixture
def load(shard):
    """Return a load generator for the shard."""
    return _Load(shard)


def test_long_prompts_avoid_runners_with_short_streams(shard):
    shard.set_runners(
        [RunnerEndpoint(f'r{index}', f'a{index}') for index in range(6)]
    )
    load = _Load(shard)
    questions = [load.ask('question', 0.01 * n) for n in range(6)]
    for question in questions:
        load.report_first_token(question, 0.2)
    documents = [load.ask('document', 0.3 + 0.2 * n) for n in range(4)]
    short = {load.granted[name] for name in questions}
    long = {load.granted[name] for name in documents}
    assert not short & long


def test_session_stays_on_the_runner_that_caches_its_prefix(load):
    parts = (('head', 2500), ('session', 4000))
    first = load.ask('document', 0.0, parts)
    load.report_first_token(first, 0.2)
    load.finish(first, 0.5)
    again = [load.ask('document', 5.0 + n, parts) for n in range(3)]
    assert {load.granted[name] for name in again} == {load.granted[first]}


def test_busy_session_spreads_when_its_runner_has_a_backlog(load):
    parts = (('head', 2500), ('session', 4000))
    names = [load.ask('document', 0.0, parts) for _ in range(12)]
    assert len({load.granted[name] for name in names}) > 1


def test_documents_are_refused_before_any_question(load):
    now = 0.0
    for _ in range(60):
        now += 0.05
        load.ask('question', now)
        load.ask('document', now)
    for _ in range(10):
        now += 0.05
        load.dispatch(now)
    first_question = next(
        (n for n, name in enumerate(load.refused) if 'question' in name),
        len(load.refused),
    )
    assert load.refused
    assert all('document' in name for name in load.refused[:first_question])


def test_lower_class_is_held_back_after_a_higher_one_expired(load):
    running = [load.ask('question', 0.0) for _ in range(32)]
    waiting = load.ask('question', 0.0)
    load.dispatch(2.0)
    assert waiting in load.refused
    document = load.ask('document', 2.1)
    load.finish(running[0], 2.2)
    load.dispatch(2.2)
    assert document not in load.granted
    question = load.ask('question', 2.3)
    assert question in load.granted


def test_tier_of_the_account_replaces_that_of_the_class(load):
    running = [load.ask('question', 0.0) for _ in range(32)]
    usual = load.ask('question', 0.1, tier=1)
    ahead = load.ask('document', 0.2, tier=0)
    load.finish(running[0], 0.3)
    load.dispatch(0.3)
    assert ahead in load.granted
    assert usual not in load.granted


def test_memory_limits_the_requests_that_a_runner_holds(engines):
    shard = Shard('llm', engines, POLICIES.get('relay'))
    shard.set_runners([RunnerEndpoint('r0', 'a0')])
    load = _Load(shard)
    names = [load.ask('document', 0.0) for _ in range(20)]
    granted = [name for name in names if name in load.granted]
    assert len(granted) < 8 or len(granted) * (LONG + 300) <= 100_000


def test_restarted_runner_has_no_cache(shard):
    load = _Load(shard)
    parts = (('session', 6000),)
    first = load.ask('document', 0.0, parts)
    runner = load.shard.runners[load.granted[first]]
    load.finish(first, 0.5)
    endpoints = [
        RunnerEndpoint(f'r{index}', f'a{index}', born=1) for index in range(4)
    ]
    shard.set_runners(endpoints)
    renewed = load.shard.runners[runner.name]
    assert renewed is not runner


def test_instances_cut_off_from_the_owner_fill_different_runners_first(engines):
    """Instances that can't reach the owner grant slots without coordination.

    Without a seed per instance, all would fill the same runner first.
    """
    endpoints = [
        RunnerEndpoint(f'r{index}', f'a{index}') for index in range(20)
    ]
    first = set()
    for number in range(10):
        shard = Shard('llm', engines, POLICIES.get('relay'), f'e{number}')
        shard.set_share(0.1)
        shard.set_runners(endpoints)
        load = _Load(shard)
        first.add(load.granted[load.ask('question', 0.0)])
    assert len(first) >= 5


def test_each_of_many_sessions_returns_to_its_runner(shard):
    """Each of many sessions sends its next prompt within seconds."""
    load = _Load(shard)
    homes = {}
    for number in range(8):
        parts = (('dossiers', 2500), (f'session-{number}', 3800))
        name = load.ask('document', float(number), parts)
        homes[parts] = load.granted[name]
        load.finish(name, number + 0.9)
    for place, (parts, home) in enumerate(homes.items()):
        name = load.ask('document', 10.0 + place, parts)
        assert load.granted[name] == home
        load.finish(name, 10.9 + place)


def test_new_owner_knows_reported_prefix_caches(shard):
    """Owners are restarted one after another while sessions continue.

    Each new owner learns of cached prompts from the instances' reports.
    """
    parts = (('dossiers', 2500), ('session', 3800))
    shard.adopt_read(Read('r2', parts))
    load = _Load(shard)
    assert load.granted[load.ask('document', 0.0, parts)] == 'r2'
