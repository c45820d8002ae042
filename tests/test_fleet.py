"""Several instances on virtual time: ownership, failover, settings, claims."""

import asyncio

import msgspec
import pytest

from anvilhall.exceptions import Outcome
from anvilhall_standins.virtualloop import run_virtual
from tests.simulated import (
    has_expected_answer,
    open_fleet,
    start_instances,
    submit_chat,
    submit_order,
)


def _find_owners(fleet, pool='chat'):
    return [
        name
        for name, instance in fleet.instances.items()
        if any(shard.pool == pool for shard in instance.describe().owned)
    ]


def test_one_owner_serves_all_instances(root_json):
    loop, fleet = open_fleet(root_json)

    async def scenario():
        start_instances(fleet)
        await asyncio.sleep(3)
        assert len(_find_owners(fleet)) == 1
        records = [
            submit_chat(fleet, name, f'question {turn}')
            for turn in range(4)
            for name in fleet.instances
        ]
        await asyncio.sleep(5)
        assert all(
            record.complete and has_expected_answer(record)
            for record in records
        )

    run_virtual(loop, scenario())


def test_owner_crash_loses_no_request_of_other_instances(root_json):
    loop, fleet = open_fleet(root_json)

    async def scenario():
        start_instances(fleet)
        await asyncio.sleep(3)
        owner = _find_owners(fleet)[0]
        others = [name for name in fleet.instances if name != owner]
        records = [
            submit_chat(fleet, name, f'question {turn}', max_tokens=200)
            for turn in range(6)
            for name in others
        ]
        await asyncio.sleep(0.3)
        fleet.crash_instance(owner)
        await asyncio.sleep(20)
        assert all(
            record.complete and has_expected_answer(record)
            for record in records
        )
        assert len(_find_owners(fleet)) == 1

    run_virtual(loop, scenario())


def test_graceful_stop_hands_over_shards_and_completes_requests(root_json):
    loop, fleet = open_fleet(root_json)

    async def scenario():
        start_instances(fleet)
        await asyncio.sleep(3)
        owner = _find_owners(fleet)[0]
        records = [
            submit_chat(fleet, name, f'question {turn}', max_tokens=400)
            for turn in range(4)
            for name in fleet.instances
        ]
        await asyncio.sleep(0.2)
        began = loop.time()
        leaving = fleet.instances.pop(owner)
        stop = asyncio.ensure_future(leaving.stop())
        await asyncio.sleep(1)
        assert leaving.describe().open_requests
        assert not leaving.describe().owned
        await stop
        await asyncio.sleep(20)
        assert all(
            record.complete and has_expected_answer(record)
            for record in records
        )
        assert len(_find_owners(fleet)) == 1
        assert loop.time() - began < 60

    run_virtual(loop, scenario())


def test_settings_reach_instances_cut_off_from_the_log(root_json):
    loop, fleet = open_fleet(root_json)

    async def scenario():
        start_instances(fleet)
        await asyncio.sleep(3)
        for name in list(fleet.instances)[1:]:
            fleet.log.set_cut(name, cut=True)
        changed = {**root_json, 'guards': {'open_requests': 77}}
        fleet.publish('', 1, changed)
        await asyncio.sleep(4)
        for instance in fleet.instances.values():
            assert instance.gate.tree.guards.open_requests == 77

    run_virtual(loop, scenario())


def test_new_instance_gets_settings_from_peers_without_the_log(root_json):
    loop, fleet = open_fleet(root_json)

    async def scenario():
        start_instances(fleet)
        await asyncio.sleep(3)
        fleet.log.unavailable = True
        fleet.add_instance('late', 'd0')
        await asyncio.sleep(4)
        assert fleet.instances['late'].gate.ready

    run_virtual(loop, scenario())


def test_instance_without_settings_is_not_ready(root_json):
    loop, fleet = open_fleet(root_json)

    async def scenario():
        fleet.log.unavailable = True
        start_instances(fleet, per_domain=1)
        await asyncio.sleep(5)
        assert not fleet.instances['entry-0-0'].gate.ready

    run_virtual(loop, scenario())


def test_instance_without_a_membership_list_is_not_ready(root_json):
    """An instance was ready before it had read the member list.

    It refused requests with "no runner". Found by a test that kills processes.
    """
    loop, fleet = open_fleet(root_json)

    async def scenario():
        fleet.membership.unavailable = True
        start_instances(fleet, per_domain=1)
        await asyncio.sleep(2)
        assert not fleet.instances['entry-0-0'].gate.ready
        fleet.membership.unavailable = False
        await asyncio.sleep(2)
        assert fleet.instances['entry-0-0'].gate.ready

    run_virtual(loop, scenario())


def test_leaving_upstream_gets_no_new_request_after_three_seconds(root_json):
    loop, fleet = open_fleet(root_json)

    async def scenario():
        start_instances(fleet)
        await asyncio.sleep(3)
        runner = fleet.runners['chat-0-0']
        leaving = _find_member(fleet, 'chat-0-0', leaving=True)
        fleet.membership.put_after_lag(leaving)
        left_at = loop.time()
        while loop.time() - left_at < 3:
            submit_chat(fleet, 'entry-0-0', f'at {loop.time()}', max_tokens=2)
            await asyncio.sleep(0.1)
        before = len(runner.started)
        for turn in range(40):
            submit_chat(fleet, 'entry-0-1', f'later {turn}', max_tokens=2)
            await asyncio.sleep(0.05)
        assert len(runner.started) == before
        assert all(record.complete for record in fleet.records)

    run_virtual(loop, scenario())


def test_key_repeated_on_other_instances_runs_once(root_json):
    loop, fleet = open_fleet(root_json, domains=2)

    async def scenario():
        start_instances(fleet, domains=2)
        await asyncio.sleep(3)
        for name in fleet.instances:
            submit_order(fleet, name, 'seat-12', work_ms=50)
        await asyncio.sleep(5)
        runs = [run for desk in fleet.services.values() for run in desk.runs]
        assert runs == ['seat-12']
        for record in fleet.records:
            assert record.complete or record.error.code in {
                'still_running',
                'claimed_before',
                'already_run',
            }

    run_virtual(loop, scenario())


@pytest.mark.parametrize('victim', ['owner', 'other'])
def test_disconnected_instance_is_removed_and_its_slots_released(
    root_json, victim
):
    loop, fleet = open_fleet(root_json, runners=1)

    async def scenario():
        start_instances(fleet)
        await asyncio.sleep(3)
        owner = _find_owners(fleet)[0]
        others = [name for name in fleet.instances if name != owner]
        cut_off = owner if victim == 'owner' else others[0]
        rest = [name for name in fleet.instances if name != cut_off]
        for turn in range(8):
            submit_chat(fleet, cut_off, f'held {turn}', max_tokens=4000)
        await asyncio.sleep(0.2)
        for name in rest:
            fleet.network.cut(cut_off, name)
        fleet.instances[cut_off].close()
        await asyncio.sleep(8)
        record = submit_chat(fleet, rest[0], 'after', max_tokens=3)
        await asyncio.sleep(120)
        assert record.complete

    run_virtual(loop, scenario())


def test_claimed_key_does_not_count_as_runner_failure(root_json):
    loop, fleet = open_fleet(root_json)

    async def scenario():
        start_instances(fleet)
        await asyncio.sleep(3)
        for name in fleet.instances:
            submit_order(fleet, name, 'seat-12', work_ms=300)
        await asyncio.sleep(0.1)
        began = loop.time()
        lookup = submit_order(fleet, 'entry-0-0', '', class_name='lookup')
        await lookup.task
        assert lookup.complete
        assert loop.time() - began < 0.3

    run_virtual(loop, scenario())


def test_partition_between_domains_fails_no_request(root_json):
    loop, fleet = open_fleet(root_json, domains=2)

    async def scenario():
        start_instances(fleet, domains=2)
        await asyncio.sleep(3)
        names = list(fleet.instances)
        for one in names:
            for other in names:
                if one.split('-')[1] != other.split('-')[1]:
                    fleet.network.cut(one, other)
        records = [submit_chat(fleet, name, 'question') for name in names]
        await asyncio.sleep(5)
        assert all(record.complete for record in records)

    run_virtual(loop, scenario())


def test_instances_rejoin_after_a_partition(root_json):
    """An instance removed during a partition was never dialled again."""
    loop, fleet = open_fleet(root_json)

    async def scenario():
        start_instances(fleet, per_domain=7)
        await asyncio.sleep(3)
        names = sorted(fleet.instances)
        for one in names[:3]:
            for other in names[3:]:
                fleet.network.cut(one, other)
        await asyncio.sleep(6)
        assert fleet.instances[names[0]].describe().live == names[:3]
        fleet.network.heal()
        await asyncio.sleep(6)
        for instance in fleet.instances.values():
            assert instance.describe().live == names

    run_virtual(loop, scenario())


def test_refusal_after_an_attempt_that_ran_is_not_reported_not_run(root_json):
    """The second attempt's refusal hid that the first attempt had run.

    The fuzz test found this: the runner crashed after the first attempt began.
    """
    loop, fleet = open_fleet(root_json, runners=1)

    async def scenario():
        start_instances(fleet, per_domain=1)
        await asyncio.sleep(3)
        record = submit_chat(fleet, 'entry-0-0', 'question', max_tokens=1)
        await asyncio.sleep(0.004)
        fleet.runners['chat-0-0'].crash()
        await asyncio.sleep(100)
        assert fleet.runners['chat-0-0'].started == [record.job.request_id]
        assert record.error.outcome is Outcome.MAY_HAVE_RUN

    run_virtual(loop, scenario())


def _find_member(fleet, name, *, leaving):
    member = fleet.membership.get(name)
    return msgspec.structs.replace(member, leaving=leaving)
