"""What instances say of themselves and of each other."""

import pytest

from anvilhall.core.membership import DetectionTimeouts, Membership, Status
from anvilhall.core.messages import News

TIMEOUTS = DetectionTimeouts(suspect_after_s=1.0, remove_after_s=2.0)


@pytest.fixture
def member():
    """Return the view of an instance that knows another one."""
    member = Membership('e1', 7, TIMEOUTS)
    member.note_alive('e2', 3, 0.0)
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
    member.note_alive('e2', 3, 1.1)
    assert member.live == ['e1']


def test_instance_that_is_started_again_is_live(member):
    member.note_news(News('e2', 3, Status.LEFT.value), 1.0)
    member.note_alive('e2', 4, 5.0)
    assert member.live == ['e1', 'e2']


def test_instance_watched_anew_is_not_judged_by_earlier_silence(member):
    """Found by reading: who moved up on the ring was declared dead at once."""
    names = [f'e{number}' for number in range(2, 10)]
    for name in names:
        member.note_alive(name, 3, 0.0)
    for tick in range(1, 30):
        for name in member.list_monitored():
            member.note_alive(name, 3, float(tick))
        assert member.check_timeouts(float(tick)) == []
    member.note_news(News('e2', 3, Status.LEFT.value), 29.5)
    assert member.check_timeouts(30.0) == []


def test_number_of_watched_does_not_grow_with_the_region(member):
    for number in range(300):
        member.note_alive(f'e{number}', 3, 0.0)
    assert len(member.list_monitored()) == 3
    assert len(member.list_monitors()) == 3
    assert len(member.list_linked()) == 9


def test_who_wrongly_counts_as_dead_is_doubted_not_declared_dead(member):
    member.set_listed({'e2'}, 0.0)
    member.note_news(News('e2', 3, Status.DEAD.value), 1.0)
    assert member.build_suspicions() == [News('e2', 3, Status.SUSPECT.value)]
    member.note_news(News('e2', 4, Status.ALIVE.value), 2.0)
    assert member.build_suspicions() == []
    assert member.is_live('e2')
