"""Who owns a shard."""

import pytest

from anvilhall.core.directory import Directory
from anvilhall.core.members import Member, MemberList


@pytest.fixture
def directory():
    """Return a directory with a pool and instances of two sizes."""
    members = [Member('r1', 'a:1', 'd1', pool='llm', region='r')]
    members += [
        Member(f'small-{n}', f's:{n}', 'd1', region='r', capacity=0.5)
        for n in range(6)
    ]
    members += [
        Member(f'large-{n}', f'l:{n}', 'd1', region='r', capacity=2.0)
        for n in range(2)
    ]
    directory = Directory('small-0', 'r')
    directory.set_list(MemberList(members=tuple(members)))
    directory.set_live([member.name for member in members[1:]])
    return directory


def test_owner_stands_on_one_of_the_largest_machines(directory):
    assert directory.find_owner('llm').startswith('large')


def test_smaller_machines_own_when_the_large_ones_are_gone(directory):
    directory.set_live(['small-0', 'small-1'])
    assert directory.find_owner('llm').startswith('small')


def test_pool_without_a_staying_runner_has_no_owner(directory):
    leaving = Member('r1', 'a:1', 'd1', pool='llm', leaving=True, region='r')
    directory.set_list(MemberList(members=(leaving,)))
    assert directory.find_owner('llm') is None


def test_instance_that_introduces_itself_can_be_reached_before_it_is_listed(
    directory,
):
    late = Member('late', 'x:9', 'd1', region='r', capacity=2.0)
    directory.update_member(late)
    assert directory.get_address('late') == 'x:9'
    assert 'late' in directory.list_region_instances()


def test_introduction_goes_before_an_older_list(directory):
    moved = Member('small-1', 'new:1', 'd1', region='r', capacity=0.5)
    old = Member('small-1', 's:1', 'd1', region='r', capacity=0.5)
    directory.update_member(moved)
    assert directory.get_address('small-1') == 'new:1'
    directory.set_list(MemberList(members=(old,)))
    assert directory.get_address('small-1') == 'new:1'
    again = Member('small-1', 'newer:1', 'd1', region='r', capacity=0.5)
    directory.set_list(MemberList(members=(again,)))
    assert directory.get_address('small-1') == 'newer:1'
