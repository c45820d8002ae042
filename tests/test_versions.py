"""Software versions of runners in the directory, rosters and grants."""

import datetime as dt

import pytest

from anvilhall.core.directory import Directory
from anvilhall.core.members import Member, MemberList
from anvilhall.core.messages import Ask, Grant, Pause, Refusal, Release
from anvilhall.core.policies import POLICIES
from anvilhall.core.roster import RunnerEndpoint
from anvilhall.core.settings import decode_node
from anvilhall.core.shard import Shard
from anvilhall.core.tree import Tree
from anvilhall.core.versions import may_serve

WALL = dt.datetime(2026, 3, 30, 6, 0, tzinfo=dt.UTC)


@pytest.fixture
def shard(root_json):
    """Return a shard without runners, whose runners have one slot each."""
    root_json['pools']['chat']['slots'] = 1
    return Shard('chat', Tree({'': decode_node(root_json, '')}))


def _ask(name, **extra):
    return Ask('chat', name, 'quick', 'ann', 100, 100, 60, **extra)


def _dispatch(shard, now=0):
    return [action.message for action in shard.dispatch(now, WALL)]


def test_directory_knows_the_version_of_a_runner():
    directory = Directory('i1', 'r')
    runner = Member('r1', 'a:1', 'd1', 'chat', region='r', version='v1')
    directory.set_list(MemberList(members=(runner,)))
    assert directory.get_version('r1') == 'v1'
    assert not directory.get_version('r2')
    assert [each.version for each in directory.list_runners('chat')] == ['v1']


def test_grant_names_version_and_start_of_its_runner(shard):
    shard.set_runners([RunnerEndpoint('r1', 'a:1', born=7, version='v1')])
    shard.submit('i1', _ask('q1'), 0)
    grant = Grant('chat', 'q1', 'r1', 'a:1', 0, version='v1', born=7)
    assert _dispatch(shard) == [grant]


# Guards against a runner that keeps the requests of its former version.
def test_change_of_version_is_a_restart(shard):
    shard.set_runners([RunnerEndpoint('r1', 'a:1', born=7, version='v1')])
    shard.submit('i1', _ask('q1'), 0)
    shard.dispatch(0, WALL)
    shard.set_runners([RunnerEndpoint('r1', 'a:1', born=7, version='v2')])
    assert not shard.running_count
    shard.submit('i1', _ask('q2'), 0)
    assert [grant.version for grant in _dispatch(shard)] == ['v2']


def _set_runners(shard, **versions):
    """Set the runners of a shard: name and version of each."""
    shard.set_runners(
        RunnerEndpoint(name, f'{name}:1', version=version)
        for name, version in versions.items()
    )


def _get_grants(shard, now=0):
    """Return request and runner of each new grant."""
    return {
        message.request_id: message.runner
        for message in _dispatch(shard, now)
        if isinstance(message, Grant)
    }


def _release(shard, name, now=0):
    shard.release(Release('chat', name, served=True, tokens=1), now)


@pytest.mark.parametrize(
    ('required', 'version', 'stated', 'expected'),
    [
        (None, '', True, True),
        (None, 'v1', True, True),
        ('v1', 'v1', True, True),
        ('v1', 'v2', True, False),
        ('v1', '', True, False),
        ('', 'v1', True, False),
        ('', '', True, False),
        ('', '', False, True),
    ],
)
def test_stream_goes_on_at_the_version_that_began_it(
    required, version, stated, expected
):
    assert may_serve(required, version, stated=stated) is expected


def test_request_is_granted_a_runner_of_its_version(shard):
    _set_runners(shard, r0='v2', r1='v1', r2='v2')
    shard.submit('i1', _ask('q1', version='v1'), 0)
    assert _get_grants(shard) == {'q1': 'r1'}


# Guards against a fallback to runners of another version.
def test_avoided_runner_of_its_version_is_preferred_to_another_version(shard):
    _set_runners(shard, r0='v2', r1='v1')
    shard.submit('i1', _ask('q1', version='v1', avoid=('r1',)), 0)
    assert _get_grants(shard) == {'q1': 'r1'}


# Guards against a binding that blocks whom it does not concern.
def test_request_that_waits_for_its_version_does_not_block_others(shard):
    _set_runners(shard, r0='v1', r1='v2')
    for name in ('q1', 'q2'):
        shard.submit('i1', _ask(name, version='v1'), 0)
        shard.dispatch(0, WALL)
    shard.submit('i1', _ask('q3'), 0)
    assert _get_grants(shard) == {'q3': 'r1'}
    _release(shard, 'q1')
    assert _get_grants(shard) == {'q2': 'r0'}


def test_request_is_not_blocked_by_one_that_waits_for_another_version(shard):
    _set_runners(shard, r0='v1', r1='v2')
    for name, version in (('q1', 'v1'), ('q2', 'v1'), ('q3', 'v2')):
        shard.submit('i1', _ask(name, version=version), 0)
    assert _get_grants(shard) == {'q1': 'r0', 'q3': 'r1'}


# Guards against low tiers that get no grant, as a request for which their
# runners are of no use has expired.
def test_expiry_of_a_bound_request_holds_no_lower_tier_back(root_json):
    root_json['pools']['chat']['slots'] = 1
    tree = Tree({'': decode_node(root_json, '')})
    shard = Shard('chat', tree, POLICIES.get('relay'))
    _set_runners(shard, r0='v1', r1='v2')
    for name in ('q1', 'q2'):
        ask = Ask('chat', name, 'quick', 'ann', 9, 9, 1.0, version='v1')
        shard.submit('i1', ask, 0)
        shard.dispatch(0, WALL)
    low = Ask('chat', 'low', 'bulk', 'ann', 9, 9, 60)
    shard.submit('i1', low, 1.0)
    messages = _dispatch(shard, 1.0)
    assert [message.request_id for message in messages] == ['q2', 'low']


@pytest.mark.parametrize(
    'others', [{}, {'r1': 'v2'}, {'r1': ''}, {'r1': 'v2', 'r2': ''}]
)
@pytest.mark.parametrize('version', ['v1', ''])
def test_request_whose_version_is_gone_is_refused_at_once(
    shard, others, version
):
    known = {'r3': 'v2', **others} if not version else others
    _set_runners(shard, **known)
    (action,) = shard.submit('i1', _ask('q1', version=version), 0)
    refusal = action.message
    assert isinstance(refusal, Refusal)
    assert refusal.code == 'version_gone'
    assert repr(version) in refusal.reason
    assert refusal.retry_after_s is None
    assert not shard.waiting_count


# Guards against a wait until the deadline for a version that has left.
@pytest.mark.parametrize('drains', [True, False])
def test_waiting_request_is_refused_when_its_version_leaves(shard, drains):
    _set_runners(shard, r0='v1', r1='v2')
    for name in ('q1', 'q2'):
        shard.submit('i1', _ask(name, version='v1'), 0)
    assert _get_grants(shard) == {'q1': 'r0'}
    left = RunnerEndpoint('r0', 'r0:1', leaving=True, version='v1')
    other = RunnerEndpoint('r1', 'r1:1', version='v2')
    shard.set_runners([left, other] if drains else [other])
    (refusal,) = _dispatch(shard, 1)
    assert (refusal.request_id, refusal.code) == ('q2', 'version_gone')
    assert shard.running_count == 1


def test_request_waits_for_a_full_runner_of_its_version(shard):
    _set_runners(shard, r0='v1', r1='v2')
    for name in ('q1', 'q2'):
        shard.submit('i1', _ask(name, version='v1'), 0)
    shard.dispatch(0, WALL)
    assert shard.waiting_count == 1
    _release(shard, 'q1')
    assert _get_grants(shard) == {'q2': 'r0'}


def test_runner_that_restarts_at_another_version_serves_no_bound_request(
    shard,
):
    shard.set_runners([RunnerEndpoint('r0', 'r0:1', born=1, version='v1')])
    for name in ('q1', 'q2'):
        shard.submit('i1', _ask(name, version='v1'), 0)
    shard.dispatch(0, WALL)
    shard.set_runners([RunnerEndpoint('r0', 'r0:1', born=2, version='v2')])
    (refusal,) = _dispatch(shard, 1)
    assert (refusal.request_id, refusal.code) == ('q2', 'version_gone')


# Guards against the grant of an attempt whose release was lost.
def test_ask_for_a_version_replaces_a_grant_of_another_version(shard):
    _set_runners(shard, r0='v1')
    shard.submit('i1', _ask('q1'), 0)
    shard.dispatch(0, WALL)
    _set_runners(shard, r0='v1', r1='v2')
    assert not shard.submit('i1', _ask('q1', version='v2'), 1)
    assert _get_grants(shard, 1) == {'q1': 'r1'}
    assert shard.running_count == 1


def test_ask_for_a_version_replaces_a_waiting_one_without(shard):
    _set_runners(shard, r0='v1', r1='v2')
    for name in ('q1', 'q2', 'q3'):
        shard.submit('i1', _ask(name), 0)
    waiting = {'q1', 'q2', 'q3'} - _get_grants(shard).keys()
    (name,) = waiting
    shard.submit('i1', _ask(name, version='v2'), 1)
    assert shard.waiting_count == 1
    for ended in {'q1', 'q2', 'q3'} - waiting:
        _release(shard, ended, 1)
    assert _get_grants(shard, 1) == {name: 'r1'}


# Guards against pauses that free no slot for the request that waits.
def test_only_requests_at_runners_of_its_version_are_paused(root_json):
    root_json['pools']['chat']['slots'] = 1
    root_json['classes']['quick']['target'] = {'first_token_ms': 100}
    tree = Tree({'': decode_node(root_json, '')})
    shard = Shard('chat', tree, POLICIES.get('with-pause'))
    _set_runners(shard, r0='v1', r1='v2')
    # What is prefilled again is limited to a share of all granted tokens.
    for number in range(400):
        shard.submit('i1', _ask(f'old-{number}'), 0)
        shard.dispatch(0, WALL)
        _release(shard, f'old-{number}')
    for name, tokens in (('low-1', 9), ('low-2', 10)):
        shard.submit('i1', Ask('chat', name, 'bulk', 'ann', tokens, 9, 60), 0)
    granted = _get_grants(shard)
    for version in ('v1', 'v2'):
        shard.submit('i1', _ask(version, version=version), 0)
        (paused,) = _dispatch(shard, 0.2)
        assert isinstance(paused, Pause)
        runner = shard.runners[granted[paused.request_id]]
        assert runner.version == version
        shard.withdraw(version)
        shard.paused.clear()
