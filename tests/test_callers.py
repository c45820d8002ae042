"""Callers get whole answers, and errors with the right code and outcome."""

import asyncio
import contextlib
import time

import msgspec
import pytest

from anvilhall.exceptions import UpstreamGarbled
from tests.cluster import (
    build_chat,
    catch_error,
    expect_text,
    inject_fault,
    open_cluster,
    read_error,
    read_text,
    wait_for,
)
from tests.rawcaller import RawCaller


def test_streamed_answer_is_complete(root_json):
    async def scenario():
        async with open_cluster(root_json) as cluster:
            body = build_chat(max_tokens=20)
            status, headers, answer = await cluster.chat('entry-0', body)
            assert status == 200
            assert headers['Content-Type'] == 'text/event-stream'
            assert read_text(answer) == expect_text(body)

    asyncio.run(scenario())


def test_answer_sent_together_with_its_headers_is_complete(root_json):
    """Guards against losing body chunks that arrive with the headers.

    They were lost if the client reported the headers after those chunks.
    """

    async def scenario():
        async with open_cluster(root_json, engines=0) as cluster:
            cluster.add_single_write_engine('chat-0')
            body = build_chat(max_tokens=3)
            await wait_for(lambda: _count_runners(cluster, 'chat'))
            status, _, answer = await cluster.chat('entry-0', body)
            assert status == 200
            assert read_text(answer) == 'word '

    asyncio.run(scenario())


def test_non_streaming_answer_is_json(root_json):
    async def scenario():
        async with open_cluster(root_json) as cluster:
            body = build_chat(stream=False)
            _, _, answer = await cluster.chat('entry-0', body)
            choice = msgspec.json.decode(answer)['choices'][0]
            assert choice['message']['content'] == expect_text(body)

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ('body', 'headers', 'status', 'code'),
    [
        (b'{"messages": [', {}, 400, 'malformed_request'),
        (b'[]', {}, 400, 'malformed_request'),
        (b'{"messages": "x"}', {}, 400, 'malformed_request'),
        (b'{"messages": []}', {}, 400, 'malformed_request'),
        (b'{}', {'Anvilhall-Class': 'nothing'}, 400, 'unknown_class'),
        (b'{}', {'Authorization': 'Bearer nobody'}, 401, 'unknown_account'),
        (b'{}', {'Authorization': 'x'}, 401, 'unknown_account'),
        (b'x' * 5_000_000, {}, 413, 'body_too_large'),
        (
            b'{}',
            {'Anvilhall-Deadline-Seconds': 'soon'},
            400,
            'malformed_request',
        ),
        (b'{}', {'Anvilhall-Class': 'order'}, 404, 'unknown_path'),
    ],
)
def test_bad_input_is_refused_as_not_run(
    root_json,
    body,
    headers,
    status,
    code,
):
    async def scenario():
        async with open_cluster(root_json) as cluster:
            body_sent = build_chat() if code == 'unknown_path' else body
            got = await cluster.chat('entry-0', body_sent, headers)
            error = read_error(got[2])
            assert (got[0], error['code']) == (status, code)
            assert error['outcome'] == 'not_run'
            assert got[1]['Anvilhall-Outcome'] == 'not_run'
            assert cluster.engines['chat-0'].started == []

    asyncio.run(scenario())


def test_oversized_header_closes_the_connection(root_json):
    async def scenario():
        async with open_cluster(root_json) as cluster:
            port = cluster.ports['entry-0']
            reader, writer = await asyncio.open_connection('127.0.0.1', port)
            writer.write(b'GET / HTTP/1.1\r\nX-Long: ')
            writer.write(b'x' * 100_000)
            await writer.drain()
            response = b''
            with contextlib.suppress(ConnectionResetError):
                response = await asyncio.wait_for(reader.read(), 5)
            assert b'200' not in response
            body = build_chat()
            assert (await cluster.chat('entry-0', body))[0] == 200

    asyncio.run(scenario())


def test_caller_disconnect_cancels_upstream_within_a_second(root_json):
    async def scenario():
        async with open_cluster(root_json) as cluster:
            received = []
            body = build_chat(max_tokens=2000)
            call = asyncio.ensure_future(
                cluster.chat('entry-0', body, chunks=received),
            )
            await wait_for(lambda: len(received) > 3)
            engine = cluster.engines['chat-0']
            call.cancel()
            cancelled_at = time.monotonic()
            await wait_for(lambda: engine.cancelled and not engine.running)
            assert time.monotonic() - cancelled_at < 1.0
            await wait_for(lambda: not cluster.describe()[0].open_requests)

    asyncio.run(scenario())


@pytest.mark.parametrize('fault', ['garbage', 'half_event', 'no_end'])
def test_broken_answer_is_completed_by_another_engine(root_json, fault):
    async def scenario():
        async with open_cluster(root_json, engines=2) as cluster:
            for engine in cluster.engines.values():
                inject_fault(engine.faults, fault)
            body = build_chat(max_tokens=10)
            status, _, answer = await cluster.chat('entry-0', body)
            assert status == 200
            assert read_text(answer) == expect_text(body)

    asyncio.run(scenario())


def test_first_byte_timeout_moves_request_to_another_engine(root_json):
    root_json['pools']['chat']['first_byte_timeout_s'] = 0.3

    async def scenario():
        async with open_cluster(root_json, engines=2) as cluster:
            for engine in cluster.engines.values():
                inject_fault(engine.faults, 'nothing')
            body = build_chat()
            status, _, answer = await cluster.chat('entry-0', body)
            assert status == 200
            assert read_text(answer) == expect_text(body)

    asyncio.run(scenario())


def test_gap_timeout_moves_request_to_another_engine(root_json):
    root_json['pools']['chat']['gap_timeout_s'] = 0.3

    async def scenario():
        async with open_cluster(root_json, engines=2) as cluster:
            body = build_chat(max_tokens=30)
            received = []
            call = asyncio.ensure_future(
                cluster.chat('entry-0', body, chunks=received),
            )
            await wait_for(lambda: len(received) > 3)
            for engine in cluster.engines.values():
                if engine.running:
                    inject_fault(engine.faults, 'silent')
            status, _, answer = await call
            assert status == 200
            assert read_text(answer) == expect_text(body)

    asyncio.run(scenario())


def test_cut_answer_of_class_without_resume_is_partly_delivered(root_json):
    root_json['classes']['quick']['resumable'] = False

    async def scenario():
        async with open_cluster(root_json) as cluster:
            body = build_chat(max_tokens=30)
            received = []
            call = asyncio.ensure_future(
                cluster.chat('entry-0', body, chunks=received),
            )
            await wait_for(lambda: len(received) > 3)
            await cluster.stop_server('chat-0')
            _, _, answer = await call
            assert b'[DONE]' not in answer
            last = answer.rstrip().rpartition(b'event: error\ndata: ')[2]
            assert read_error(last)['outcome'] == 'partly_delivered'

    asyncio.run(scenario())


def test_deadline_passed_in_the_queue_is_not_run(root_json):
    async def scenario():
        async with open_cluster(root_json) as cluster:
            long_body = build_chat(max_tokens=300)
            fillers = [
                asyncio.ensure_future(cluster.chat('entry-0', long_body))
                for _ in range(2)
            ]
            engine = cluster.engines['chat-0']
            await wait_for(lambda: len(engine.running) == 2)
            headers = {'Anvilhall-Deadline-Seconds': '0.2'}
            status, _, answer = await cluster.chat(
                'entry-0',
                build_chat(),
                headers,
            )
            assert status == 504
            assert read_error(answer)['code'] == 'deadline_passed'
            assert len(engine.started) == 2
            for filler in fillers:
                filler.cancel()

    asyncio.run(scenario())


def test_same_key_of_another_account_is_another_request(root_json):
    async def scenario():
        async with open_cluster(root_json) as cluster:
            headers = {'Anvilhall-Class': 'order', 'Idempotency-Key': 'k1'}
            first = await cluster.call('entry-0', 'orders', headers)
            second = await cluster.call(
                'entry-0',
                'orders',
                {**headers, 'Authorization': 'Bearer bob'},
            )
            assert msgspec.json.decode(first.body)['number'] == 1
            assert msgspec.json.decode(second.body)['number'] == 2

    asyncio.run(scenario())


def test_non_idempotent_request_with_lost_answer_never_reruns(root_json):
    async def scenario():
        async with open_cluster(root_json) as cluster:
            service = cluster.books['desk-0']
            inject_fault(service.faults, 'lose_answer')
            headers = {'Anvilhall-Class': 'order', 'Idempotency-Key': 'k1'}
            first = await cluster.call('entry-0', 'orders', headers)
            second = await cluster.call('entry-0', 'orders', headers)
            assert service.runs == ['k1']
            for reply in (first, second):
                assert read_error(reply.body)['outcome'] == 'may_have_run'

    asyncio.run(scenario())


def test_idempotent_request_with_lost_answer_is_retried(root_json):
    async def scenario():
        async with open_cluster(root_json) as cluster:
            inject_fault(cluster.books['desk-0'].faults, 'lose_answer')
            headers = {'Anvilhall-Class': 'lookup'}
            reply = await cluster.call('entry-0', 'stock', headers)
            assert reply.status == 200

    asyncio.run(scenario())


def test_claim_during_a_log_outage_is_refused_as_not_run(root_json):
    async def scenario():
        async with open_cluster(root_json) as cluster:
            inject_fault(cluster.store.faults, 'outage')
            headers = {'Anvilhall-Class': 'order', 'Idempotency-Key': 'k1'}
            reply = await cluster.call('entry-0', 'orders', headers)
            error = read_error(reply.body)
            assert error['code'] == 'claim_unavailable'
            assert error['outcome'] == 'not_run'
            assert cluster.books['desk-0'].runs == []
            inject_fault(cluster.store.faults, 'outage', for_s=0)
            again = await catch_error(_try_until_ok(cluster, headers))
            assert again.status == 200
            assert cluster.books['desk-0'].runs == ['k1']

    asyncio.run(scenario())


def test_claim_with_lost_append_answer_is_read_back(root_json):
    async def scenario():
        async with open_cluster(root_json) as cluster:
            inject_fault(cluster.store.faults, 'lose_answer')
            headers = {'Anvilhall-Class': 'order', 'Idempotency-Key': 'k1'}
            reply = await cluster.call('entry-0', 'orders', headers)
            assert reply.status == 200
            assert cluster.books['desk-0'].runs == ['k1']

    asyncio.run(scenario())


def _count_runners(cluster, pool):
    owned = cluster.describe()[0].owned
    return sum(shard.runners for shard in owned if shard.pool == pool)


def test_claim_appended_after_its_timeout_does_not_run(root_json):
    async def scenario():
        async with open_cluster(root_json) as cluster:
            inject_fault(cluster.store.faults, 'slow', amount=3, for_s=2)
            headers = {'Anvilhall-Class': 'order', 'Idempotency-Key': 'k1'}
            reply = await cluster.call('entry-0', 'orders', headers)
            assert read_error(reply.body)['outcome'] == 'not_run'
            assert cluster.books['desk-0'].runs == []
            await asyncio.sleep(4)
            again = await cluster.call('entry-0', 'orders', headers)
            ran = cluster.books['desk-0'].runs
            assert ran == (['k1'] if again.status == 200 else [])

    asyncio.run(scenario())


async def _try_until_ok(cluster, headers):
    for _ in range(20):
        reply = await cluster.call('entry-0', 'orders', headers)
        if reply.status == 200:
            break
        await asyncio.sleep(0.2)
    return reply


def test_broken_event_of_a_buffered_answer_is_the_engines_failure(
    root_json, monkeypatch
):
    def fail(_):
        raise UpstreamGarbled('an event has invalid data')

    async def scenario():
        async with open_cluster(root_json) as cluster:
            monkeypatch.setattr('anvilhall.callers.decode_answer', fail)
            body = build_chat(stream=False)
            status, _, answer = await cluster.chat('entry-0', body)
            assert status == 502
            assert read_error(answer)['code'] == UpstreamGarbled.code

    asyncio.run(scenario())


# Guards against requests that count as open for ever, so that others are
# refused and a planned stop waits for them.
@pytest.mark.parametrize('path', ['services/desk/1', 'v1/chat/completions'])
def test_caller_that_leaves_within_its_body_is_released(root_json, path):
    async def scenario():
        async with open_cluster(root_json) as cluster:
            gate = cluster.instances['entry-0'].gate
            lines = (
                f'POST /{path} HTTP/1.1',
                'Host: a',
                'Authorization: Bearer ann',
            )
            caller = RawCaller(lines, b'{"n": 1}')
            await caller.connect(cluster.ports['entry-0'])
            caller.send_head(3)
            await wait_for(lambda: gate.open_requests)
            caller.close()
            await wait_for(lambda: not gate.open_requests)

    asyncio.run(scenario())
