"""Service levels that users require, checked on replayed traces."""

import concurrent.futures
import pathlib

import msgspec
import pytest
from pytest_bdd import given, parsers, scenarios, then

from anvilhall.replay.player import run_replay
from anvilhall.replay.traces import Trace

scenarios('outcomes.feature')

EXAMPLES = pathlib.Path(__file__).parent.parent / 'examples'
SITE = EXAMPLES / 'tsvetkov'
WORKERS = 4
REPLAYS = (
    ('ordinary', 'anvilhall'),
    ('long', 'anvilhall'),
    ('crest', 'anvilhall'),
    ('stragglers', 'anvilhall'),
    ('crash', 'anvilhall'),
    ('flood', 'anvilhall'),
    ('crest', 'anvilhall', 2),
    ('crest', 'anvilhall', 3),
    ('crest', 'anvilhall', 4),
    ('association/crest', 'anvilhall'),
    ('bayou-runner/weekend', 'relay'),
    ('bayou-runner/weekend-crash', 'relay'),
    ('long', 'round-robin'),
    ('stragglers', 'least-reported'),
)


def _replay(case):
    trace, policy, *rest = case
    seed = rest[0] if rest else 1
    site, _, kind = trace.rpartition('/')
    folder = EXAMPLES / (site or 'tsvetkov')
    settings = msgspec.json.decode((folder / 'settings.json').read_bytes())
    path = folder / 'traces' / f'{kind}.jsonl'
    return run_replay(Trace.from_file(path), settings, policy, seed)


@pytest.fixture(scope='module')
def scores():
    """Return the scores by trace, policy and, if it is not 1, seed."""
    with concurrent.futures.ProcessPoolExecutor(WORKERS) as pool:
        return dict(zip(REPLAYS, pool.map(_replay, REPLAYS), strict=True))


@given(
    parsers.parse('the replay of "{trace}" under "{policy}"'),
    target_fixture='score',
)
def _select_score(scores, trace, policy):
    return scores[trace, policy]


@given(
    parsers.parse('the replay of "{trace}" with seed {seed:d}'),
    target_fixture='score',
)
def _select_seed(scores, trace, seed):
    if seed == 1:
        return scores[trace, 'anvilhall']
    return scores[trace, 'anvilhall', seed]


@then(
    parsers.parse(
        'the first token of "{name}" at p99 is at most {factor:g} times '
        'that of "{trace}" under "{policy}"',
    ),
)
def _compare_first_token(scores, score, name, factor, trace, policy):
    ours = score.classes[name].first_token_p99_ms
    other = scores[trace, policy].classes[name].first_token_p99_ms
    assert ours <= factor * other, f'{ours} ms against {other} ms'


@then(
    parsers.parse(
        '"{name}" attains at least {share:g} in the busiest ten seconds'
    )
)
def _check_busiest(score, name, share):
    assert score.classes[name].busiest_attained_share >= share


@then(parsers.parse('every class attains at least {share:g}'))
def _check_every_class(score, share):
    attained = {
        name: entry.attained_share for name, entry in score.classes.items()
    }
    assert min(attained.values()) >= share, attained


@then(parsers.parse('at most {share:g} of the work is wasted'))
def _check_waste(score, share):
    assert score.wasted_share <= share


@then(
    parsers.parse(
        'no class goes {limit:g} s without a first token '
        'while its requests wait',
    ),
)
def _check_stalls(score, limit):
    stalls = {
        name: entry.longest_stall_s for name, entry in score.classes.items()
    }
    assert max(stalls.values()) <= limit, stalls


@then(
    parsers.parse(
        '"{name}" of accounts other than "{flooder}" attains at most {share:g} '
        'less than in "{trace}"',
    ),
)
def _check_flood(scores, score, name, flooder, share, trace):
    before = scores[trace, 'anvilhall'].classes[name].attained_by_account
    after = score.classes[name].attained_by_account
    for account, attained in before.items():
        if account != flooder:
            assert after[account] >= attained - share, (account, after, before)


def test_replay_is_the_same_for_a_seed():
    path = SITE / 'traces' / 'crash.jsonl'
    settings = msgspec.json.decode((SITE / 'settings.json').read_bytes())
    trace = Trace.from_file(path)
    trace.requests = trace.requests[:60]
    scores = [run_replay(trace, settings, seed=7) for _ in range(2)]
    assert msgspec.json.encode(scores[0]) == msgspec.json.encode(scores[1])
