"""Asking an owner that answers late, not at all, or from old news."""

import pytest

from anvilhall.core.broker import Broker
from anvilhall.core.directory import Directory
from anvilhall.core.fallback import OwnerTimeouts
from anvilhall.core.members import Member, MemberList
from anvilhall.core.messages import (
    Ask,
    Grant,
    Inventory,
    Queued,
    Refusal,
    Release,
)
from anvilhall.core.owner import NOT_OWNER

TIMEOUTS = OwnerTimeouts(answer_timeout_s=0.06, settling_s=0.0)


class _Handler:
    """Remembers its answer."""

    def __init__(self):
        self.grant = None
        self.error = None

    def handle_grant(self, grant):
        self.grant = grant

    def handle_refusal(self, error):
        self.error = error

    def handle_pause(self):
        raise AssertionError('nothing is paused here')


class _Asking:
    """A broker whose pool is owned by another instance."""

    def __init__(self, clock, tree):
        self.clock = clock
        self.tree = tree
        self.sent = []
        names = ['e1', 'e2', 'e3']
        self.directory = Directory('e1', '')
        self.runners = [Member('r1', 'a:1', 'd', 'desk')]
        self.entries = [Member(name, f'{name}:1', 'd') for name in names]
        self.set_runners(self.runners)
        self.directory.set_live(names)
        self.owner = self.directory.find_owner('desk')
        if self.owner == 'e1':
            self.directory.set_live(['e2', 'e3'])
            self.owner = self.directory.find_owner('desk')
        self.broker = Broker(
            'e1',
            clock,
            self.directory,
            lambda instance, message: self.sent.append((instance, message)),
            lambda instance, message: None,
            timeouts=TIMEOUTS,
        )
        self.broker.set_tree(tree)
        self.sent.clear()

    def set_runners(self, runners):
        members = (*self.entries, *runners)
        self.directory.set_list(MemberList(members=tuple(members)))

    def ask(self, name='q1'):
        handler = _Handler()
        ask = Ask('desk', name, 'lookup', 'ann', 1, 1, 10.0)
        self.broker.ask(ask, handler)
        return handler

    def wait(self, seconds):
        self.clock.advance(seconds)
        self.broker.tick()

    def list_asks(self):
        return [
            message.request_id
            for _, message in self.sent
            if isinstance(message, Ask)
        ]


@pytest.fixture
def asking(clock, tree):
    """Return an instance that asks another one."""
    return _Asking(clock, tree)


def test_silent_owner_is_waited_for_no_longer_than_patience(asking):
    handler = asking.ask()
    asking.wait(0.05)
    assert handler.grant is None
    asking.wait(0.02)
    assert handler.grant.runner == 'r1'
    # The owner must free what it may have granted meanwhile.
    assert isinstance(asking.sent[-1][1], Release)


def test_silent_owner_costs_one_request_and_not_each(asking):
    asking.ask('q1')
    asking.wait(0.07)
    asking.broker.release(Release('desk', 'q1', served=True))
    handler = asking.ask('q2')
    assert handler.grant is not None
    assert asking.list_asks() == ['q1']


def test_owner_that_is_heard_again_is_asked_again(asking):
    asking.ask('q1')
    asking.wait(0.07)
    asking.broker.mark_responsive(asking.owner)
    asking.ask('q2')
    assert asking.list_asks() == ['q1', 'q2']


def test_who_does_not_own_the_shard_is_asked_once(asking):
    handler = asking.ask()
    refusal = Refusal('q1', NOT_OWNER, 'another one owns it')
    asking.broker.handle_answer(asking.owner, refusal)
    asking.wait(0.01)
    assert handler.grant is not None
    assert asking.list_asks() == ['q1']


def test_queued_request_is_left_with_its_owner(asking):
    handler = asking.ask()
    asking.broker.handle_answer(asking.owner, Queued('q1'))
    asking.wait(0.2)
    assert handler.grant is None


def test_late_grant_of_a_request_that_runs_is_given_back(asking):
    handler = asking.ask()
    asking.wait(0.07)
    first = handler.grant
    late = Grant('desk', 'q1', 'r1', 'a:1', 1)
    asking.sent.clear()
    asking.broker.handle_answer(asking.owner, late)
    assert handler.grant is first
    assert isinstance(asking.sent[-1][1], Release)


def test_grant_from_old_news_of_a_leaving_runner_is_given_back(asking):
    other = Member('r2', 'a:2', 'd', 'desk')
    leaving = Member('r1', 'a:1', 'd', 'desk', leaving=True)
    handler = asking.ask()
    asking.set_runners([leaving, other])
    asking.broker.handle_answer(
        asking.owner, Grant('desk', 'q1', 'r1', 'a:1', 1)
    )
    assert handler.grant is None
    asking.wait(0.01)
    again = [message for _, message in asking.sent if isinstance(message, Ask)]
    assert again[-1].avoid == ('r1',)


def test_own_share_of_the_slots_bounds_what_is_granted_alone(asking):
    handlers = [asking.ask(f'q{number}') for number in range(6)]
    asking.wait(0.07)
    granted = [handler for handler in handlers if handler.grant]
    slots = asking.tree.pools['desk'].slots
    assert 1 <= len(granted) <= slots // 2


def test_new_owner_is_told_what_runners_have_read(asking):
    """Pattern: the owner is restarted while sessions go on."""
    session = (('sheet', 2500), ('session', 3800))
    ask = Ask('desk', 'q1', 'lookup', 'ann', 9000, 1, 10.0, parts=session)
    asking.broker.ask(ask, _Handler())
    grant = Grant('desk', 'q1', 'r1', 'a:1', 0)
    asking.broker.handle_answer(asking.owner, grant)
    asking.broker.release(Release('desk', 'q1', served=True))
    asking.sent.clear()
    asking.directory.set_live(sorted({'e1', 'e2', 'e3'} - {asking.owner}))
    asking.broker.refresh(asking.tree)
    ((receiver, inventory),) = asking.sent
    assert receiver not in {'e1', asking.owner}
    assert isinstance(inventory, Inventory)
    (read,) = inventory.reads
    assert (read.runner, read.parts) == ('r1', session)


def test_link_that_comes_up_costs_no_message_to_other_owners(asking):
    asking.sent.clear()
    for name in {'e2', 'e3'} - {asking.owner}:
        asking.broker.handle_link_up(name)
    assert asking.sent == []
    asking.broker.handle_link_up(asking.owner)
    assert len(asking.sent) == 1
