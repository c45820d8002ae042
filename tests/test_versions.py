"""Software versions of runners in the directory, rosters and grants."""

import datetime as dt

import pytest

from anvilhall.core.directory import Directory
from anvilhall.core.members import Member, MemberList
from anvilhall.core.messages import Ask, Grant
from anvilhall.core.roster import RunnerEndpoint
from anvilhall.core.settings import decode_node
from anvilhall.core.shard import Shard
from anvilhall.core.tree import Tree

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
