"""Relayed requests: passed on unchanged, run once, answered truly."""

import asyncio

import pytest

from anvilhall.exceptions import UpstreamCut
from anvilhall.grants import GrantTicket
from anvilhall.outbound import Transfer
from anvilhall_standins.serving import Fault
from tests.site import (
    HOST,
    KEY,
    ROUTES,
    make_manifest,
    make_route,
    run_site,
    wait_until,
)


def _count_runs(site):
    return sum(len(runner.runs) for runner in site.runners.values())


def test_method_target_headers_and_body_reach_the_runner_unchanged():
    async def scenario():
        async with run_site() as site:
            reply = await site.fetch(
                '/order/a/../b?x=%20y',
                method='POST',
                body=b'\x00body',
                headers={'X-Own': 'kept', 'Content-Type': 'text/odd'},
            )
            assert reply.status == 200
            (seen,) = site.runners['desk-0'].runs
            assert seen.method == 'POST'
            assert seen.target == '/order/a/../b?x=%20y'
            assert seen.body == b'\x00body'
            assert seen.headers['X-Own'] == 'kept'
            assert seen.headers['Content-Type'] == 'text/odd'
            assert seen.headers['Host'] == HOST
            assert seen.headers['Anvilhall-Tenant'] == 'ann'
            assert 'Anvilhall-Credential' not in seen.headers
            assert 'User-Agent' not in seen.headers
            assert int(seen.headers['Anvilhall-Deadline-Ms']) <= 4000
            assert reply.headers['Anvilhall-Server-Seal']

    asyncio.run(scenario())


def test_callers_cannot_set_what_is_the_systems_to_set():
    async def scenario():
        async with run_site() as site:
            await site.fetch(
                '/lookup/1',
                headers={
                    'Anvilhall-Tenant': 'bob',
                    'Anvilhall-Hold': '1',
                    'Kv-From': '10.0.0.1:1/x',
                    'Connection': 'X-Hop',
                    'X-Hop': 'dropped',
                },
            )
            (seen,) = site.runners['desk-0'].runs
            assert seen.headers['Anvilhall-Tenant'] == 'ann'
            for name in ('Anvilhall-Hold', 'Kv-From', 'X-Hop'):
                assert name not in seen.headers

    asyncio.run(scenario())


def test_head_request_has_the_length_of_the_answer_and_no_body():
    async def scenario():
        async with run_site() as site:
            reply = await site.fetch('/lookup/1', method='HEAD')
            assert reply.status == 200
            assert int(reply.headers['Content-Length']) > 0
            assert reply.body == b''

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ('path', 'key', 'status'),
    [
        ('/nowhere/1', KEY, 404),
        ('/lookup/1', 'wrong', 401),
        ('/lookup/1', '', 401),
        ('/open/1', '', 200),
    ],
)
def test_routes_and_keys_decide_who_is_served(path, key, status):
    async def scenario():
        async with run_site() as site:
            reply = await site.fetch(path, key=key)
            assert reply.status == status

    asyncio.run(scenario())


def test_instance_without_a_manifest_is_not_ready_and_promises_not_run():
    async def scenario():
        async with run_site() as site:
            site.store.topics.clear()
            gateway = await site.add_gateway('g2')
            reply = await site.fetch('/lookup/1', gateway='g2', key='wrong')
            assert reply.status == 503
            assert float(reply.headers['Retry-After']) > 0
            assert not gateway.ready

    asyncio.run(scenario())


@pytest.mark.parametrize('behaviour', ['reset', 'short', 'foreign', 'busy'])
def test_order_that_may_have_run_is_never_called_not_run(behaviour):
    async def scenario():
        async with run_site(desks=2) as site:
            for runner in site.runners.values():
                runner.behaviours.append(behaviour)
            reply = await site.fetch('/order/1', method='POST', body=b'x')
            assert reply.status in {502, 504}
            assert 'Anvilhall-Server-Seal' not in reply.headers
            assert b'foreign' not in reply.body
            assert _count_runs(site) == 1

    asyncio.run(scenario())


def test_order_on_a_dead_kept_connection_is_sent_once():
    async def scenario():
        async with run_site() as site:
            assert (await site.fetch('/order/1', method='POST', body=b'a')).body
            # The runner resets the kept connection when the next one comes.
            site.runners['desk-0'].behaviours.append('reset')
            reply = await site.fetch('/order/2', method='POST', body=b'b')
            assert reply.status == 502
            assert _count_runs(site) == 2

    asyncio.run(scenario())


@pytest.mark.parametrize(
    'behaviour',
    ['reset', 'short', 'foreign', 'error', 'full'],
)
def test_lookup_is_served_by_another_runner_after_a_failure(behaviour):
    async def scenario():
        async with run_site(desks=2) as site:
            for runner in site.runners.values():
                runner.behaviours.append(behaviour)
            # Both runners fail once: whichever is second serves the third.
            first = await site.fetch('/lookup/1')
            second = await site.fetch('/lookup/2')
            assert 200 in {first.status, second.status}
            assert b'foreign' not in first.body + second.body

    asyncio.run(scenario())


def test_second_answer_on_a_connection_belongs_to_nobody():
    async def scenario():
        async with run_site() as site:
            site.runners['desk-0'].behaviours.append('twice')
            replies = [await site.fetch(f'/lookup/{n}') for n in range(5)]
            assert [reply.status for reply in replies] == [200] * 5
            assert not any(b'again' in reply.body for reply in replies)

    asyncio.run(scenario())


def test_answer_before_the_body_is_read_ends_that_connection():
    async def scenario():
        async with run_site() as site:
            site.runners['desk-0'].behaviours.append('early')
            await site.fetch('/order/1', method='POST', body=b'y' * 90_000)
            reply = await site.fetch('/order/2', method='POST', body=b'z')
            assert reply.status == 200
            assert site.runners['desk-0'].runs[-1].body == b'z'

    asyncio.run(scenario())


def test_refusal_by_a_full_runner_is_passed_on_as_not_run():
    async def scenario():
        async with run_site() as site:
            site.runners['desk-0'].behaviours.append('full')
            reply = await site.fetch('/order/1', method='POST', body=b'x')
            assert reply.status == 503
            assert _count_runs(site) == 0

    asyncio.run(scenario())


def test_error_of_a_runner_reaches_the_caller_with_its_seal():
    async def scenario():
        async with run_site() as site:
            site.runners['desk-0'].behaviours.append('error')
            reply = await site.fetch('/order/1', method='POST', body=b'x')
            assert reply.status == 500
            assert reply.headers['Anvilhall-Server-Seal']

    asyncio.run(scenario())


def test_answer_without_length_is_whole_when_its_connection_ends():
    async def scenario():
        async with run_site() as site:
            site.runners['desk-0'].behaviours.append('unframed')
            reply = await site.fetch('/lookup/1')
            assert reply.body == b'unframed'

    asyncio.run(scenario())


def test_too_large_a_body_is_refused():
    async def scenario():
        async with run_site() as site:
            reply = await site.fetch(
                '/order/1',
                method='POST',
                body=b'x' * 200_000,
            )
            assert reply.status == 413
            assert _count_runs(site) == 0

    asyncio.run(scenario())


def test_conflicting_lengths_reach_no_runner():
    async def scenario():
        async with run_site() as site:
            reader, writer = await asyncio.open_connection(
                '127.0.0.1',
                site.ports['g1'],
            )
            writer.write(
                b'POST /order/1 HTTP/1.1\r\nHost: desk.example\r\n'
                b'Anvilhall-Request-Id: smuggler\r\n'
                b'Anvilhall-Credential: key-of-ann\r\n'
                b'Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n'
                b'0\r\n\r\nGET /lookup/1 HTTP/1.1\r\nHost: desk.example\r\n'
                b'Anvilhall-Request-Id: smuggled\r\n'
                b'Anvilhall-Credential: key-of-ann\r\n\r\n',
            )
            answer = await reader.read()
            assert answer.startswith(b'HTTP/1.1 400')
            assert _count_runs(site) == 0
            writer.close()

    asyncio.run(scenario())


def test_stream_goes_on_at_another_runner_at_an_event_border():
    async def scenario():
        async with run_site(engines=2, events=8) as site:
            for runner in (site.runners['llm-0'], site.runners['llm-1']):
                runner.cut_after = 3
            reply = await site.fetch('/chat/1', method='POST', body=b'q')
            expected = b''.join(
                b'id: %d\ndata: event %d\n\n' % (number, number)
                for number in range(1, 9)
            )
            # The second runner is cut as well only if it starts below three.
            assert reply.body == expected
            resumed = [
                seen.headers.get('Last-Event-Id')
                for runner in site.runners.values()
                for seen in runner.runs
            ]
            assert sorted(resumed, key=str) == ['3', None]

    asyncio.run(scenario())


def test_stream_that_cannot_go_on_never_looks_whole():
    async def scenario():
        async with run_site(engines=2, events=8) as site:
            for runner in (site.runners['llm-0'], site.runners['llm-1']):
                runner.cut_after = 3
            parts = []
            call = site.build_call('/brief/1', method='POST', body=b'q')
            with pytest.raises(UpstreamCut):
                await site.client.stream(call, Transfer(), parts.append)
            assert b'event 3' in b''.join(parts)
            assert _count_runs(site) == 1

    asyncio.run(scenario())


def test_runner_is_left_at_once_when_the_caller_leaves():
    async def scenario():
        async with run_site() as site:
            runner = site.runners['desk-0']
            runner.work_s = 30.0
            transfer = Transfer()
            call = site.build_call('/lookup/1')
            leaving = asyncio.ensure_future(site.client.fetch(call, transfer))
            await wait_until(lambda: runner.runs)
            transfer.abort()
            with pytest.raises(UpstreamCut):
                await leaving
            await wait_until(lambda: runner.left)

    asyncio.run(scenario())


def test_request_at_its_route_time_limit_gets_a_final_answer():
    async def scenario():
        async with run_site() as site:
            short = make_route(
                'order',
                kind='non_idempotent',
                attempts=1,
                timeout_ms=200,
            )
            await site.publish(make_manifest(2, (short,)))
            gateway = site.gateways['g1']
            await wait_until(lambda: gateway.describe().settings_version == 2)
            site.runners['desk-0'].work_s = 30.0
            reply = await site.fetch('/order/1', method='POST', body=b'x')
            assert reply.status == 504

    asyncio.run(scenario())


def test_older_manifest_is_never_put_in_force_again():
    async def scenario():
        async with run_site() as site:
            gateway = site.gateways['g1']
            await site.publish(make_manifest(5, ROUTES[:1]))
            await wait_until(lambda: gateway.describe().settings_version == 5)
            await site.publish(make_manifest(4))
            site.store.topics['keyed.op'].forget()
            await site.publish(make_manifest(6, ROUTES[:2]))
            await wait_until(lambda: gateway.describe().settings_version == 6)
            assert (await site.fetch('/open/1')).status == 404

    asyncio.run(scenario())


def test_dropped_key_is_refused():
    async def scenario():
        async with run_site() as site:
            await site.publish(make_manifest(2, keys=('another',)))
            gateway = site.gateways['g1']
            await wait_until(lambda: gateway.describe().settings_version == 2)
            assert (await site.fetch('/lookup/1')).status == 401
            assert (await site.fetch('/lookup/1', key='another')).status == 200

    asyncio.run(scenario())


def test_draining_runner_gets_no_more_requests():
    async def scenario():
        async with run_site(desks=2) as site:
            await site.register('desk-0', state='draining')
            feed = site.gateways['g1']
            await wait_until(
                lambda: any(member.leaving for member in feed.runners),
            )
            before = len(site.runners['desk-0'].runs)
            for number in range(6):
                reply = await site.fetch(f'/lookup/{number}')
                assert reply.status == 200
            assert len(site.runners['desk-0'].runs) == before

    asyncio.run(scenario())


def test_unreadable_entries_name_no_runner_and_harm_no_other():
    async def scenario():
        async with run_site() as site:
            put = site.store.put
            await put('keyed.servers', 'odd-1', b'\xff\xfe')
            await put('keyed.servers', 'odd-2', b'{"service": 7}')
            await site.register('desk-0', seq=2)
            await site.add_runner('desk-1')
            gateway = site.gateways['g1']
            await wait_until(lambda: len(gateway.runners) == 2)
            names = {member.name for member in gateway.runners}
            assert names == {'desk-0', 'desk-1'}

    asyncio.run(scenario())


def test_forgotten_history_is_read_anew():
    async def scenario():
        async with run_site() as site:
            site.store.topics['keyed.servers'].forget()
            site.store.topics['keyed.op'].forget()
            await site.add_runner('desk-1')
            await site.publish(make_manifest(2))
            gateway = site.gateways['g1']
            await wait_until(lambda: len(gateway.runners) == 2)
            await wait_until(lambda: gateway.describe().settings_version == 2)

    asyncio.run(scenario())


def test_entry_of_an_instance_survives_a_lost_answer():
    async def scenario():
        async with run_site() as site:
            site.store.faults.start(Fault('lost', amount=1))
            await site.add_gateway('g2')
            topic = site.store.topics['keyed.instances']
            await wait_until(lambda: set(topic.newest) == {'g1', 'g2'})

    asyncio.run(scenario())


def test_shutdown_ends_answers_in_flight_whole():
    async def scenario():
        async with run_site() as site:
            runner = site.runners['desk-0']
            runner.work_s = 0.5
            running = asyncio.ensure_future(site.fetch('/lookup/1'))
            await wait_until(lambda: site.gateways['g1'].context.open_requests)
            gateway = site.gateways['g1']
            ending = asyncio.ensure_future(gateway.stop())
            await asyncio.sleep(0)
            assert not gateway.ready
            assert (await running).status == 200
            await ending

    asyncio.run(scenario())


def test_two_instances_share_the_owner_of_a_pool():
    async def scenario():
        async with run_site(desks=2) as site:
            gateway = await site.add_gateway('g2')
            await wait_until(lambda: len(gateway.describe().live) == 2)
            await wait_until(
                lambda: len(site.gateways['g1'].describe().live) == 2,
            )
            for each in site.gateways.values():
                await wait_until(lambda each=each: each.describe().linked)
            owned = [
                {entry.pool for entry in each.describe().owned}
                for each in site.gateways.values()
            ]
            assert not owned[0] & owned[1]
            for name in ('g1', 'g2'):
                reply = await site.fetch('/lookup/1', gateway=name)
                assert reply.status == 200

    asyncio.run(scenario())


def test_fault_of_the_program_leaves_no_caller_waiting(monkeypatch):
    async def fail(*_):
        raise RuntimeError('a fault')

    async def scenario():
        async with run_site() as site:
            monkeypatch.setattr(GrantTicket, 'wait', fail)
            reply = await site.fetch('/lookup/1')
            assert reply.status == 500

    asyncio.run(scenario())


def test_settings_that_contradict_themselves_leave_the_former_in_force():
    async def scenario():
        async with run_site() as site:
            odd = make_route('odd', service='nobody')
            gateway = site.gateways['g1']
            refused = b'publications_total{code="settings_error"} 1.0'
            await site.publish(make_manifest(2, (odd,)))
            await wait_until(lambda: refused in gateway.metrics.render())
            assert (await site.fetch('/lookup/1')).status == 200
            await site.publish(make_manifest(3, ROUTES[:1]))
            await wait_until(lambda: gateway.describe().settings_version == 3)

    asyncio.run(scenario())


def test_caller_that_does_not_read_is_given_up():
    async def scenario():
        async with run_site() as site:
            runner = site.runners['desk-0']
            runner.body_bytes = 64 * 1024 * 1024
            reader, writer = await asyncio.open_connection(
                '127.0.0.1',
                site.ports['g1'],
                limit=1024,
            )
            writer.write(
                b'GET /lookup/1 HTTP/1.1\r\nHost: desk.example\r\n'
                b'Anvilhall-Request-Id: slow\r\n'
                b'Anvilhall-Credential: key-of-ann\r\n\r\n',
            )
            context = site.gateways['g1'].context
            await wait_until(lambda: runner.runs)
            await wait_until(lambda: not context.open_requests)
            assert reader is not None
            writer.close()

    asyncio.run(scenario())


def test_instance_that_is_started_again_is_linked_again():
    async def scenario():
        async with run_site() as site:
            first = site.gateways['g1']
            second = await site.add_gateway('g2')
            await wait_until(lambda: first.describe().linked)
            await second.stop()
            await wait_until(lambda: not first.describe().linked)
            again = await site.restart_gateway('g2')
            await wait_until(lambda: first.describe().linked)
            await wait_until(lambda: again.describe().linked)
            await wait_until(lambda: len(first.describe().live) == 2)
            grants = first.metrics.render()
            assert b'anvilhall_links_opened_total{direction="' in grants

    asyncio.run(scenario())
