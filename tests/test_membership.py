"""What instances say of themselves and of each other."""

import pytest

from anvilhall.core.membership import Membership, Status, Watch
from anvilhall.core.messages import News

WATCH = Watch(suspect_after_s=1.0, remove_after_s=2.0)


@pytest.fixture
def member():
    """Return the view of an instance that knows another one."""
    member = Membership('e1', 7, WATCH)
    member.note_life('e2', 3, 0.0)
    return member


def test_living_instance_refutes_that_it_is_dead(member):
    (reply,) = member.note_news(News('e1', 7, Status.DEAD.value), 1.0)
    assert reply.status == Status.ALIVE.value
    assert reply.incarnation == 8


def test_leaving_instance_does_not_take_its_own_goodbye_back(member):
    goodbye = member.leave()
    assert member.note_news(goodbye, 1.0) == []
    assert member.incarnation == 7


def test_heartbeats_of_a_leaving_instance_do_not_bring_it_back(member):
    member.note_news(News('e2', 3, Status.LEFT.value), 1.0)
    member.note_life('e2', 3, 1.1)
    assert member.live == ['e1']


def test_instance_that_is_started_again_is_live(member):
    member.note_news(News('e2', 3, Status.LEFT.value), 1.0)
    member.note_life('e2', 4, 5.0)
    assert member.live == ['e1', 'e2']
