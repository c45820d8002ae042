"""Choice of a shard's owner, and announced members."""

import pytest

from anvilhall.core.directory import Directory
from anvilhall.core.members import Member, MemberList


@pytest.fixture
def directory():
    """Return a directory with one pool and instances of two capacities."""
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


def test_owner_is_an_instance_of_the_largest_capacity(directory):
    assert directory.find_owner('llm').startswith('large')


def test_smaller_instance_is_owner_if_no_large_one_is_live(directory):
    directory.set_live(['small-0', 'small-1'])
    assert directory.find_owner('llm').startswith('small')


def test_pool_with_leaving_runners_only_has_no_owner(directory):
    leaving = Member('r1', 'a:1', 'd1', pool='llm', leaving=True, region='r')
    directory.set_list(MemberList(members=(leaving,)))
    assert directory.find_owner('llm') is None


def test_announced_instance_has_an_address_before_it_is_listed(
    directory,
):
    late = Member('late', 'x:9', 'd1', region='r', capacity=2.0)
    directory.update_member(late)
    assert directory.get_address('late') == 'x:9'
    assert 'late' in directory.list_region_instances()


def test_announcement_overrides_the_list_until_the_entry_changes(directory):
    moved = Member('small-1', 'new:1', 'd1', region='r', capacity=0.5)
    old = Member('small-1', 's:1', 'd1', region='r', capacity=0.5)
    directory.update_member(moved)
    assert directory.get_address('small-1') == 'new:1'
    directory.set_list(MemberList(members=(old,)))
    assert directory.get_address('small-1') == 'new:1'
    again = Member('small-1', 'newer:1', 'd1', region='r', capacity=0.5)
    directory.set_list(MemberList(members=(again,)))
    assert directory.get_address('small-1') == 'newer:1'
