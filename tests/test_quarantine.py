"""Entries of the quarantine: matching, probes, and agreement of instances."""

import pytest

from anvilhall.core.quarantine import Quarantine, QuarantineEntry
from anvilhall.exceptions import Quarantined

PARTS = ('first', 'doc', 'bad', 'own')


@pytest.fixture
def quarantine():
    """Return a quarantine with one entry, added at 0 s."""
    made = Quarantine()
    made.add(('doc', 'bad'), 0.0)
    return made


def is_refused(quarantine, parts, now, request_id='r', *, may_probe=True):
    try:
        quarantine.check(request_id, parts, now, may_probe=may_probe)
    except Quarantined:
        return True
    return False


def test_prompt_with_all_parts_of_an_entry_is_refused(quarantine):
    with pytest.raises(Quarantined) as caught:
        quarantine.check('r', PARTS, 1.0, may_probe=True)
    assert caught.value.retry_after_s == 9.0
    assert 'doc, bad' in caught.value.reason


@pytest.mark.parametrize(
    'parts', [('first', 'doc', 'own'), ('first', 'bad'), ('first',), ()]
)
def test_prompt_that_lacks_a_part_of_the_entry_passes(quarantine, parts):
    assert not is_refused(quarantine, parts, 1.0)


def test_one_probe_is_let_through_when_it_is_due(quarantine):
    assert not is_refused(quarantine, PARTS, 10.0, 'probe')
    assert is_refused(quarantine, PARTS, 10.0, 'other')
    # The same request may be asked for again.
    assert not is_refused(quarantine, PARTS, 10.1, 'probe')


def test_only_owners_probe(quarantine):
    assert is_refused(quarantine, PARTS, 10.0, may_probe=False)


def test_served_probe_withdraws_the_entry(quarantine):
    assert not is_refused(quarantine, PARTS, 10.0, 'probe')
    quarantine.note_served(PARTS, 11.0)
    assert not is_refused(quarantine, PARTS, 11.0, 'other')


def test_probes_that_crash_runners_become_rarer(quarantine):
    times = []
    for second in range(1000):
        now = float(second)
        if not is_refused(quarantine, PARTS, now, f'r{second}'):
            times.append(second)
            quarantine.note_loss(PARTS, now)
            quarantine.end_probe(f'r{second}')
    assert times == [10, 50, 210, 850]


def test_probe_that_ends_without_a_result_makes_room_for_another(quarantine):
    assert not is_refused(quarantine, PARTS, 10.0, 'probe')
    quarantine.end_probe('probe')
    assert not is_refused(quarantine, PARTS, 10.5, 'other')


def test_crashes_at_about_the_same_time_count_as_one_failed_probe(quarantine):
    for _ in range(5):
        assert quarantine.note_loss(PARTS, 6.0)
    assert [entry.strikes for entry in quarantine.entries] == [1]


def test_part_that_is_served_alone_leaves_the_entry(quarantine):
    quarantine.note_served(('first', 'doc', 'own-2'), 1.0)
    assert not is_refused(quarantine, ('first', 'doc'), 2.0)
    assert is_refused(quarantine, ('other', 'bad'), 2.0)


def test_decisions_are_announced_and_applied_elsewhere(quarantine):
    other = Quarantine()
    quarantine.on_decision = lambda entry: other.apply(entry, 0.0)
    for entry in quarantine.entries:
        assert other.apply(entry, 0.0)
        assert not other.apply(entry, 0.0)
    assert is_refused(other, PARTS, 1.0)
    quarantine.note_served(PARTS, 11.0)
    assert not is_refused(other, PARTS, 11.0)


def test_instances_agree_on_versions_that_arrive_in_any_order():
    versions = [
        QuarantineEntry('k', ('a', 'b'), 1),
        QuarantineEntry('k', ('a',), 2),
        QuarantineEntry('k', ('b',), 2),
    ]
    results = set()
    for order in (versions, versions[::-1], [*versions[1:], versions[0]]):
        quarantine = Quarantine()
        for entry in order:
            quarantine.apply(entry, 0.0)
        results.add(quarantine.entries)
    assert len(results) == 1


def test_number_of_entries_is_bounded():
    quarantine = Quarantine()
    for number in range(1000):
        quarantine.add((f'part-{number}',), 0.0)
    assert len(quarantine.entries) == 256
    assert is_refused(quarantine, ('part-999',), 1.0)
    assert not is_refused(quarantine, ('part-0',), 1.0)


# Guards against a part that is learned anew beside each part that it follows.
def test_causes_that_share_a_part_are_narrowed_to_it(quarantine):
    quarantine.add(('doc-2', 'bad'), 1.0)
    assert [entry.parts for entry in quarantine.entries] == [('bad',)]
    assert is_refused(quarantine, ('doc-3', 'bad'), 2.0)
    quarantine.add(('worse',), 3.0)
    assert len(quarantine.entries) == 2


@pytest.mark.parametrize('strikes', [10**9, -5])
def test_entry_with_an_absurd_number_of_strikes_is_in_force(strikes):
    quarantine = Quarantine()
    entry = QuarantineEntry('k', ('bad',), 1, strikes)
    assert quarantine.apply(entry, 0.0)
    assert is_refused(quarantine, ('bad',), 9.0)
    assert not is_refused(quarantine, ('bad',), 3601.0)
