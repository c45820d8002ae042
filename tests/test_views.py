"""View of the runners: stale records, removals and registry outages."""

import msgspec
import pytest

from anvilhall.core.members import Member
from anvilhall.core.positions import Position
from anvilhall.core.views import OUTAGE_AFTER_S, RECOVERY_GRACE_S, RunnerView

RUNNER = Member('r1', '10.0.0.1:80', 'd1', pool='desk')


@pytest.fixture
def view():
    """Return a view with one runner; the registry answered at second 0."""
    view = RunnerView()
    view.note_contact(0)
    view.put(RUNNER, Position(1, 5), 0)
    return view


def test_runner_is_removed_at_once_without_an_outage(view):
    view.remove('r1', Position(1, 6), 1.0)
    assert view.members == ()


def test_runner_missing_after_an_outage_is_kept_for_the_grace_period(view):
    recovered_at = OUTAGE_AFTER_S + 3.0
    view.note_contact(recovered_at)
    view.remove('r1', Position(1, 6), recovered_at)
    view.expire(recovered_at + RECOVERY_GRACE_S / 2)
    assert view.members == (RUNNER,)
    view.put(RUNNER, Position(1, 7), recovered_at)
    view.expire(recovered_at + RECOVERY_GRACE_S)
    assert view.members == (RUNNER,)


def test_runner_still_missing_after_the_grace_period_is_removed(view):
    recovered_at = OUTAGE_AFTER_S + 3.0
    view.note_contact(recovered_at)
    view.remove('r1', Position(1, 6), recovered_at)
    view.expire(recovered_at + RECOVERY_GRACE_S)
    assert view.members == ()


def test_runner_is_removed_at_once_after_the_grace_period(view):
    recovered_at = OUTAGE_AFTER_S + 3.0
    view.note_contact(recovered_at)
    later = recovered_at + RECOVERY_GRACE_S
    view.remove('r1', Position(1, 6), later)
    assert view.members == ()


def test_stale_records_are_ignored(view):
    view.remove('r1', Position(1, 4), 1.0)
    assert view.members == (RUNNER,)
    view.remove('r1', Position(1, 6), 1.0)
    view.put(RUNNER, Position(1, 5), 1.0)
    assert view.members == ()


def test_complete_list_removes_runners_that_it_does_not_name(view):
    view.keep_only(set(), Position(1, 9), 1.0)
    assert view.members == ()
    assert view.get_version('r1') == Position(1, 9)


# Guards against versions that are lost to a peer whose build knows none.
def test_record_passed_on_without_version_keeps_the_known_one(view):
    stated = msgspec.structs.replace(RUNNER, version='v1')
    view.put(stated, Position(1, 6), 0)
    view.put(RUNNER, Position(1, 6), 0)
    assert view.members == (stated,)
    view.put(RUNNER, Position(1, 7), 0)
    assert view.members == (RUNNER,)
