"""Concurrent publications end the same on all instances; none is reverted."""

import itertools

from anvilhall.core.publication import Publication, SettingsState

Records = list[tuple[int, Publication]]


def _publish(name, based_on, deadline_s, team='shop'):
    node = {'class_defaults': {'deadline_s': deadline_s}}
    return Publication(id=name, team=team, based_on=based_on, node=node)


def test_all_instances_accept_the_same_concurrent_publication():
    records = list(enumerate((_publish('a', 0, 10), _publish('b', 0, 20))))
    for _ in range(3):
        state = SettingsState()
        verdicts = [state.fold(*record)[0] for record in records]
        assert [verdict.accepted for verdict in verdicts] == [True, False]
        assert verdicts[1].code == 'version_conflict'
        assert state.teams['shop'].node == records[0][1].node


def test_duplicate_record_is_ignored():
    state = SettingsState()
    record = _publish('a', 0, 10)
    state.fold(0, record)
    assert not state.fold(0, record)
    assert state.get_version('shop') == 1


def test_faulty_publication_is_refused_with_the_path_of_the_fault():
    state = SettingsState()
    node = {'classes': {'quick': {'pool': 'nowhere'}}}
    record = Publication(id='a', team='shop', based_on=0, node=node)
    verdict = state.fold(0, record)[0]
    assert verdict.code == 'settings_faulty'
    assert '/shop.classes.quick.pool' in verdict.reason
    assert state.version == -1


def test_late_reader_starts_from_a_snapshot():
    first = SettingsState()
    records = [_publish('a', 0, 10), _publish('b', 1, 20)]
    for offset, record in enumerate(records):
        first.fold(offset, record)
    snapshot = first.take_snapshot()
    later = _publish('c', 2, 30)
    # The snapshot covers records up to offset 1 but is at offset 3, after the
    # record at offset 2.
    stream = [(2, later), (3, snapshot), (4, _publish('d', 3, 40))]
    for offset, record in stream:
        first.fold(offset, record)
    late = SettingsState()
    late.skip_to(2)
    assert late.next_offset == 2
    for offset, record in stream:
        late.fold(offset, record)
    assert late.take_snapshot() == first.take_snapshot()
    assert late.get_version('shop') == 4


def test_older_snapshot_is_not_restored():
    state = SettingsState()
    state.fold(0, _publish('a', 0, 10))
    old = state.take_snapshot()
    state.fold(1, _publish('b', 1, 20))
    assert not state.restore(old)
    assert state.version == 1


def test_state_is_independent_of_the_order_of_arrival():
    records = [
        (0, _publish('a', 0, 10)),
        (1, _publish('b', 0, 20)),
        (2, _publish('c', 1, 30)),
    ]
    outcomes = set()
    for order in itertools.permutations(records):
        state = SettingsState()
        for offset, record in order:
            state.fold(offset, record)
        outcomes.add((state.version, state.get_version('shop')))
    assert outcomes == {(2, 2)}


def test_gap_before_records_from_a_peer_is_still_read():
    state = SettingsState()
    state.fold(0, _publish('a', 0, 10))
    # A peer sends a later record first.
    state.fold(3, _publish('d', 3, 40))
    assert state.next_offset == 1
    state.fold(1, _publish('b', 1, 20))
    assert state.next_offset == 2
    state.fold(2, _publish('c', 2, 30))
    assert state.next_offset == 4
    assert state.get_version('shop') == 4


def test_reading_continues_after_records_that_have_expired():
    state = SettingsState()
    state.skip_to(5)
    assert state.next_offset == 5
    state.fold(5, _publish('f', 5, 10))
    assert state.next_offset == 6
