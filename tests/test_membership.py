"""Failure detection: news, incarnations and monitors."""

import pytest

from anvilhall.core.membership import DetectionTimeouts, Membership, Status
from anvilhall.core.messages import News

TIMEOUTS = DetectionTimeouts(suspect_after_s=1.0, remove_after_s=2.0)


@pytest.fixture
def member():
    """Return the view of an instance that knows one other instance."""
    member = Membership('e1', 7, TIMEOUTS)
    member.note_alive('e2', 3, 0.0)
    return member


def test_live_instance_refutes_news_of_its_death(member):
    (reply,) = member.note_news(News('e1', 7, Status.DEAD.value), 1.0)
    assert reply.status == Status.ALIVE.value
    assert reply.incarnation == 8


def test_leaving_instance_does_not_refute_its_own_news(member):
    leave_news = member.leave()
    assert member.note_news(leave_news, 1.0) == []
    assert member.incarnation == 7


def test_heartbeat_after_leaving_does_not_make_an_instance_live(member):
    member.note_news(News('e2', 3, Status.LEFT.value), 1.0)
    member.note_alive('e2', 3, 1.1)
    assert member.live == ['e1']


def test_restarted_instance_is_live_again(member):
    member.note_news(News('e2', 3, Status.LEFT.value), 1.0)
    member.note_alive('e2', 4, 5.0)
    assert member.live == ['e1', 'e2']


def test_timeout_starts_when_an_instance_becomes_monitored(member):
    """An instance must not be declared dead as soon as it is monitored.

    A change of the ring adds instances that had no reason to send heartbeats
    here before. Their timeout must start with the change.
    """
    names = [f'e{number}' for number in range(2, 10)]
    for name in names:
        member.note_alive(name, 3, 0.0)
    for tick in range(1, 30):
        for name in member.list_monitored():
            member.note_alive(name, 3, float(tick))
        assert member.check_timeouts(float(tick)) == []
    member.note_news(News('e2', 3, Status.LEFT.value), 29.5)
    assert member.check_timeouts(30.0) == []


def test_number_of_monitored_instances_is_independent_of_the_region(member):
    for number in range(300):
        member.note_alive(f'e{number}', 3, 0.0)
    assert len(member.list_monitored()) == 3
    assert len(member.list_monitors()) == 3
    assert len(member.list_linked()) == 9


def test_dead_but_listed_instance_gets_a_suspicion_to_refute(member):
    member.set_listed({'e2'}, 0.0)
    member.note_news(News('e2', 3, Status.DEAD.value), 1.0)
    assert member.build_suspicions() == [News('e2', 3, Status.SUSPECT.value)]
    member.note_news(News('e2', 4, Status.ALIVE.value), 2.0)
    assert member.build_suspicions() == []
    assert member.is_live('e2')
