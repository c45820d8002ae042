"""What a lagging registry says of runners, and peers' news of it."""

import pytest

from anvilhall.core.members import Member
from anvilhall.core.views import OUTAGE_AFTER_S, RECOVERY_GRACE_S, RunnerView

RUNNER = Member('r1', '10.0.0.1:80', 'd1', pool='desk')


@pytest.fixture
def view():
    """Return a view with one runner, read at second 0."""
    view = RunnerView()
    view.note_contact(0)
    view.put(RUNNER, 5)
    return view


def test_removed_runner_is_gone_at_once(view):
    view.remove('r1', 6, 1.0)
    assert view.members == ()


def test_runner_missing_after_an_outage_has_time_to_come_back(view):
    back = OUTAGE_AFTER_S + 3.0
    view.note_contact(back)
    view.remove('r1', 6, back)
    view.expire(back + RECOVERY_GRACE_S / 2)
    assert view.members == (RUNNER,)
    view.put(RUNNER, 7)
    view.expire(back + RECOVERY_GRACE_S)
    assert view.members == (RUNNER,)


def test_runner_still_missing_after_that_is_gone(view):
    back = OUTAGE_AFTER_S + 3.0
    view.note_contact(back)
    view.remove('r1', 6, back)
    view.expire(back + RECOVERY_GRACE_S)
    assert view.members == ()


def test_outage_is_forgotten_after_the_return(view):
    back = OUTAGE_AFTER_S + 3.0
    view.note_contact(back)
    later = back + RECOVERY_GRACE_S
    view.remove('r1', 6, later)
    assert view.members == ()


def test_older_news_changes_nothing(view):
    view.remove('r1', 4, 1.0)
    assert view.members == (RUNNER,)
    view.remove('r1', 6, 1.0)
    view.put(RUNNER, 5)
    assert view.members == ()


def test_complete_list_removes_what_it_does_not_name(view):
    view.keep_only(set(), 9, 1.0)
    assert view.members == ()
    assert view.get_version('r1') == 9
