"""Instances of the own interface whose log comes back from an older copy."""

import asyncio

import pytest

from anvilhall.core.publication import (
    SETTINGS_STREAM,
    Publication,
    Recovery,
    SettingsState,
    TeamState,
)
from anvilhall.exceptions import (
    AlreadyRun,
    AnvilhallError,
    StoreRestored,
)
from anvilhall.publishing import read_settings
from tests.simulated import open_fleet, start_instances, submit_order

#: Seconds within which a change must be in force.
IN_FORCE_S = 4.0
#: Longest time until all instances have read and completed a restored log.
RECOVERED_S = 12.0


@pytest.fixture
def run_fleet(root_json):
    """Return a function that runs a scenario on three instances."""

    def run(scenario, instances=3):
        loop, fleet = open_fleet(root_json)

        async def start():
            start_instances(fleet, per_domain=instances)
            await asyncio.sleep(2.0)
            await scenario(fleet, root_json)

        try:
            loop.run_until_complete(start())
        finally:
            loop.close()

    return run


def _with_deadline(root_json, deadline_s):
    return {**root_json, 'class_defaults': {'deadline_s': deadline_s}}


def _list_deadlines(fleet):
    return {
        instance.gate.tree.classes['quick'].deadline_s
        for instance in fleet.instances.values()
    }


async def _finish(*records):
    await asyncio.gather(*(record.task for record in records))


# Guards against publications that are ignored at offsets given out again.
@pytest.mark.parametrize('lost', [1, 2, 3])
def test_publication_after_a_restore_is_in_force_in_time(run_fleet, lost):
    async def scenario(fleet, root_json):
        for version in (1, 2, 3):
            fleet.publish('', version, _with_deadline(root_json, 10 + version))
        await asyncio.sleep(IN_FORCE_S)
        assert _list_deadlines(fleet) == {13}
        fleet.log.restore(lost)
        await asyncio.sleep(RECOVERED_S)
        # What had been confirmed is in the log again.
        history = await read_settings(fleet.log.connect('operator'))
        assert history.state.get_version('') == 4
        fleet.publish('', 4, _with_deadline(root_json, 20))
        await asyncio.sleep(IN_FORCE_S)
        assert _list_deadlines(fleet) == {20}

    run_fleet(scenario)


# Guards against settings that come back older, also beside a new instance.
def test_settings_lost_by_the_log_stay_in_force(run_fleet):
    async def scenario(fleet, root_json):
        fleet.publish('', 1, _with_deadline(root_json, 11))
        await asyncio.sleep(IN_FORCE_S)
        fleet.log.restore(1)
        for _ in range(40):
            await asyncio.sleep(RECOVERED_S / 40)
            assert _list_deadlines(fleet) == {11}
        fleet.add_instance('entry-late', 'd0')
        await asyncio.sleep(2.0)
        assert _list_deadlines(fleet) == {11}

    run_fleet(scenario)


# Guards against records of two eras that are folded as one stream.
def test_publications_of_both_eras_give_the_same_state_everywhere(run_fleet):
    async def scenario(fleet, root_json):
        fleet.publish('', 1, _with_deadline(root_json, 11))
        await asyncio.sleep(IN_FORCE_S)
        fleet.log.restore(1)
        # The operator sees the restored log and publishes at once.
        fleet.publish('', 1, _with_deadline(root_json, 30))
        fleet.publish('', 2, _with_deadline(root_json, 31))
        await asyncio.sleep(RECOVERED_S)
        fleet.add_instance('entry-late', 'd0')
        await asyncio.sleep(2.0)
        assert _list_deadlines(fleet) == {31}

    run_fleet(scenario)


# Guards against an order that runs twice because its claim was lost.
@pytest.mark.parametrize('restores', [1, 2])
def test_claimed_order_runs_once_across_a_restore(run_fleet, restores):
    async def scenario(fleet, _):
        first = submit_order(fleet, 'entry-0-0', 'k1')
        await _finish(first)
        assert first.complete
        await asyncio.sleep(1.0)
        for _ in range(restores):
            fleet.log.restore(2)
            await asyncio.sleep(RECOVERED_S)
        fleet.add_instance('entry-late', 'd0')
        await asyncio.sleep(5.0)
        for name in ('entry-0-1', 'entry-late'):
            again = submit_order(fleet, name, 'k1')
            await _finish(again)
            assert again.complete or isinstance(again.error, AlreadyRun)
        assert fleet.services['desk-0'].runs.count('k1') == 1

    run_fleet(scenario)


# Guards against claims that are never read back at offsets given out again.
def test_order_after_a_restore_is_served(run_fleet):
    async def scenario(fleet, _):
        keys = [f'key-{number}' for number in range(9)]
        await _finish(*(submit_order(fleet, 'entry-0-0', key) for key in keys))
        fleet.log.restore(5)
        await asyncio.sleep(RECOVERED_S)
        later = submit_order(fleet, 'entry-0-1', 'later')
        await _finish(later)
        assert later.complete

    run_fleet(scenario)


# Guards against a claim won by an instance that has not read what was lost.
def test_new_instance_wins_no_claim_just_after_a_restore(run_fleet):
    async def scenario(fleet, _):
        first = submit_order(fleet, 'entry-0-0', 'k1')
        await _finish(first)
        await asyncio.sleep(0.5)
        fleet.log.restore(2)
        fleet.add_instance('entry-late', 'd0')
        while not fleet.instances['entry-late'].gate.ready:
            await asyncio.sleep(0.05)
        again = submit_order(fleet, 'entry-late', 'k1')
        await _finish(again)
        assert isinstance(again.error, AnvilhallError) or again.complete
        assert fleet.services['desk-0'].runs.count('k1') == 1

    run_fleet(scenario)


# Guards against a record of an earlier era that is appended after the restore.
def test_append_for_another_era_is_refused(run_fleet):
    async def scenario(fleet, _):
        client = fleet.log.connect('operator')
        before = len(fleet.log.streams[SETTINGS_STREAM])
        fleet.log.restore(0)
        with pytest.raises(StoreRestored):
            await client.append(SETTINGS_STREAM, {}, era=0)
        assert len(fleet.log.streams[SETTINGS_STREAM]) >= before
        assert {} not in fleet.log.streams[SETTINGS_STREAM]

    run_fleet(scenario)


def test_recovery_keeps_the_higher_version_of_each_team():
    state = SettingsState(1)
    node = {'class_defaults': {'deadline_s': 10}}
    state.fold(0, Publication(id='a', team='shop', based_on=0, node=node))
    other = {'class_defaults': {'deadline_s': 1}}
    lost = {
        'shop': TeamState(version=1, node=other),
        'bus': TeamState(version=3, node=node),
    }
    state.fold(1, Recovery(teams=lost))
    assert state.teams['shop'].node == node
    assert state.get_version('bus') == 3


def test_recovery_that_is_invalid_with_the_log_is_refused():
    state = SettingsState(1)
    node = {'classes': {'quick': {'pool': 'nowhere'}}}
    state.fold(0, Recovery(teams={'shop': TeamState(version=2, node=node)}))
    assert state.get_version('shop') == 0
    assert 'nowhere' in state.recovery_fault
