"""Relaying of requests: forwarding, errors, retries and resumed streams."""

import asyncio

import pytest

from anvilhall.exceptions import UpstreamCut
from anvilhall.grants import PendingGrant
from anvilhall.outbound import Transfer
from anvilhall_standins.serving import Fault
from tests.site import (
    HOST,
    KEY,
    ROUTES,
    count_runs,
    make_manifest,
    make_route,
    run_site,
    wait_until,
)


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


def test_reserved_headers_of_callers_are_dropped():
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


def test_head_request_gets_the_content_length_and_no_body():
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
def test_route_and_account_key_determine_the_status(path, key, status):
    async def scenario():
        async with run_site() as site:
            reply = await site.fetch(path, key=key)
            assert reply.status == status

    asyncio.run(scenario())


def test_instance_without_a_manifest_is_not_ready_and_answers_503():
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
def test_order_that_may_have_run_gets_502_or_504(behaviour):
    async def scenario():
        async with run_site(desks=2) as site:
            for runner in site.runners.values():
                runner.behaviours.append(behaviour)
            reply = await site.fetch('/order/1', method='POST', body=b'x')
            assert reply.status in {502, 504}
            assert 'Anvilhall-Server-Seal' not in reply.headers
            assert b'foreign' not in reply.body
            assert count_runs(site) == 1

    asyncio.run(scenario())


def test_order_on_a_reset_pooled_connection_is_sent_once():
    async def scenario():
        async with run_site() as site:
            assert (await site.fetch('/order/1', method='POST', body=b'a')).body
            # The runner resets the pooled connection on the next request.
            site.runners['desk-0'].behaviours.append('reset')
            reply = await site.fetch('/order/2', method='POST', body=b'b')
            assert reply.status == 502
            assert count_runs(site) == 2

    asyncio.run(scenario())


@pytest.mark.parametrize(
    'behaviour',
    ['reset', 'short', 'foreign', 'error', 'full'],
)
def test_lookup_is_retried_on_another_runner_after_a_failure(behaviour):
    async def scenario():
        async with run_site(desks=2) as site:
            for runner in site.runners.values():
                runner.behaviours.append(behaviour)
            # Each runner fails once. If both attempts of the first lookup
            # fail, the second lookup succeeds.
            first = await site.fetch('/lookup/1')
            second = await site.fetch('/lookup/2')
            assert 200 in {first.status, second.status}
            assert b'foreign' not in first.body + second.body

    asyncio.run(scenario())


def test_surplus_response_on_a_connection_is_discarded():
    async def scenario():
        async with run_site() as site:
            site.runners['desk-0'].behaviours.append('twice')
            replies = [await site.fetch(f'/lookup/{n}') for n in range(5)]
            assert [reply.status for reply in replies] == [200] * 5
            assert not any(b'again' in reply.body for reply in replies)

    asyncio.run(scenario())


def test_connection_is_not_reused_after_an_early_response():
    async def scenario():
        async with run_site() as site:
            site.runners['desk-0'].behaviours.append('early')
            await site.fetch('/order/1', method='POST', body=b'y' * 90_000)
            reply = await site.fetch('/order/2', method='POST', body=b'z')
            assert reply.status == 200
            assert site.runners['desk-0'].runs[-1].body == b'z'

    asyncio.run(scenario())


def test_refusal_by_a_full_runner_gives_503():
    async def scenario():
        async with run_site() as site:
            site.runners['desk-0'].behaviours.append('full')
            reply = await site.fetch('/order/1', method='POST', body=b'x')
            assert reply.status == 503
            assert count_runs(site) == 0

    asyncio.run(scenario())


def test_error_of_a_runner_is_forwarded_with_its_signature():
    async def scenario():
        async with run_site() as site:
            site.runners['desk-0'].behaviours.append('error')
            reply = await site.fetch('/order/1', method='POST', body=b'x')
            assert reply.status == 500
            assert reply.headers['Anvilhall-Server-Seal']

    asyncio.run(scenario())


def test_response_without_length_ends_with_its_connection():
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
            assert count_runs(site) == 0

    asyncio.run(scenario())


def test_request_with_conflicting_lengths_is_not_relayed():
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
            assert count_runs(site) == 0
            writer.close()

    asyncio.run(scenario())


def test_stream_is_resumed_on_another_runner_after_a_whole_event():
    async def scenario():
        async with run_site(engines=2, events=8) as site:
            for runner in (site.runners['llm-0'], site.runners['llm-1']):
                runner.cut_after = 3
            reply = await site.fetch('/chat/1', method='POST', body=b'q')
            expected = b''.join(
                b'id: %d\ndata: event %d\n\n' % (number, number)
                for number in range(1, 9)
            )
            # Runners cut only streams that begin before event 3, so the
            # resumed stream is complete.
            assert reply.body == expected
            resumed = [
                seen.headers.get('Last-Event-Id')
                for runner in site.runners.values()
                for seen in runner.runs
            ]
            assert sorted(resumed, key=str) == ['3', None]

    asyncio.run(scenario())


def test_stream_that_cannot_be_resumed_ends_as_incomplete():
    async def scenario():
        async with run_site(engines=2, events=8) as site:
            for runner in (site.runners['llm-0'], site.runners['llm-1']):
                runner.cut_after = 3
            parts = []
            call = site.build_call('/brief/1', method='POST', body=b'q')
            with pytest.raises(UpstreamCut):
                await site.client.stream(call, Transfer(), parts.append)
            assert b'event 3' in b''.join(parts)
            assert count_runs(site) == 1

    asyncio.run(scenario())


def test_disconnect_of_the_caller_aborts_the_runners_request():
    async def scenario():
        async with run_site() as site:
            runner = site.runners['desk-0']
            runner.work_s = 30.0
            transfer = Transfer()
            call = site.build_call('/lookup/1')
            pending = asyncio.ensure_future(site.client.fetch(call, transfer))
            await wait_until(lambda: runner.runs)
            transfer.abort()
            with pytest.raises(UpstreamCut):
                await pending
            await wait_until(lambda: runner.disconnected_ids)

    asyncio.run(scenario())


def test_request_gets_504_at_the_timeout_of_its_route():
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


def test_older_manifest_is_not_applied():
    async def scenario():
        async with run_site() as site:
            gateway = site.gateways['g1']
            await site.publish(make_manifest(5, ROUTES[:1]))
            await wait_until(lambda: gateway.describe().settings_version == 5)
            await site.publish(make_manifest(4))
            site.store.topics['keyed.op'].truncate()
            await site.publish(make_manifest(6, ROUTES[:2]))
            await wait_until(lambda: gateway.describe().settings_version == 6)
            assert (await site.fetch('/open/1')).status == 404

    asyncio.run(scenario())


def test_key_removed_from_the_manifest_is_refused():
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
            gateway = site.gateways['g1']
            await wait_until(
                lambda: any(member.leaving for member in gateway.runners),
            )
            before = len(site.runners['desk-0'].runs)
            for number in range(6):
                reply = await site.fetch(f'/lookup/{number}')
                assert reply.status == 200
            assert len(site.runners['desk-0'].runs) == before

    asyncio.run(scenario())


def test_malformed_registry_entries_are_skipped():
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


def test_feeds_recover_from_expired_offsets():
    async def scenario():
        async with run_site() as site:
            site.store.topics['keyed.servers'].truncate()
            site.store.topics['keyed.op'].truncate()
            await site.add_runner('desk-1')
            await site.publish(make_manifest(2))
            gateway = site.gateways['g1']
            await wait_until(lambda: len(gateway.runners) == 2)
            await wait_until(lambda: gateway.describe().settings_version == 2)

    asyncio.run(scenario())


def test_instance_is_registered_despite_a_lost_response():
    async def scenario():
        async with run_site() as site:
            site.store.faults.start(Fault('lost', amount=1))
            await site.add_gateway('g2')
            topic = site.store.topics['keyed.instances']
            await wait_until(lambda: set(topic.newest) == {'g1', 'g2'})

    asyncio.run(scenario())


def test_shutdown_completes_requests_in_flight():
    async def scenario():
        async with run_site() as site:
            runner = site.runners['desk-0']
            runner.work_s = 0.5
            running = asyncio.ensure_future(site.fetch('/lookup/1'))
            await wait_until(lambda: site.gateways['g1'].context.open_requests)
            gateway = site.gateways['g1']
            stopping = asyncio.ensure_future(gateway.stop())
            await asyncio.sleep(0)
            assert not gateway.ready
            assert (await running).status == 200
            await stopping

    asyncio.run(scenario())


def test_two_instances_own_disjoint_pools():
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


def test_unexpected_exception_gives_500(monkeypatch):
    async def fail(*_):
        raise RuntimeError('a fault')

    async def scenario():
        async with run_site() as site:
            monkeypatch.setattr(PendingGrant, 'wait', fail)
            reply = await site.fetch('/lookup/1')
            assert reply.status == 500

    asyncio.run(scenario())


def test_inconsistent_manifest_leaves_the_previous_one_in_force():
    async def scenario():
        async with run_site() as site:
            inconsistent = make_route('odd', service='nobody')
            gateway = site.gateways['g1']
            refused = b'publications_total{code="settings_error"} 1.0'
            await site.publish(make_manifest(2, (inconsistent,)))
            await wait_until(lambda: refused in gateway.metrics.render())
            assert (await site.fetch('/lookup/1')).status == 200
            await site.publish(make_manifest(3, ROUTES[:1]))
            await wait_until(lambda: gateway.describe().settings_version == 3)

    asyncio.run(scenario())


def test_request_of_a_caller_that_does_not_read_is_aborted():
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


def test_restarted_instance_is_linked_again():
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
            rendered = first.metrics.render()
            assert b'anvilhall_links_opened_total{direction="' in rendered

    asyncio.run(scenario())
