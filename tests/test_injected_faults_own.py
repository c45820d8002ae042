"""Faults in whatever a request of the own interface calls or waits for."""

import asyncio

import pytest

from anvilhall.answers import AnswerCache
from anvilhall.callers import BufferedSink, CallerHandler, ReplySink, StreamSink
from anvilhall.claims import ClaimManager
from anvilhall.core.activity import RunnerActivity
from anvilhall.core.advertised import AdvertisedLimits
from anvilhall.core.broker import Broker
from anvilhall.core.retries import RetryBudget
from anvilhall.core.shutdown import Shutdown
from anvilhall.core.tree import Tree
from anvilhall.core.verification import Verification
from anvilhall.events import DONE_EVENT, EventReader
from anvilhall.execution import Execution, _Attempt
from anvilhall.gate import Gate
from anvilhall.grants import PendingGrant
from anvilhall.handover import Handover
from anvilhall.jobs import Job
from tests.cluster import build_chat, open_cluster, wait_for
from tests.rawcaller import RawCaller
from tests.test_injected_faults import FAULTS, Injection, name_point

#: Seconds within which the request must end.
END_S = 1.5
CHAT = '/v1/chat/completions'
DESK = '/services/desk/1'
#: Kinds of request by name: path, class, whether it has a key, and body.
KINDS = {
    'lookup': (DESK, 'lookup', False, b'{}'),
    'order': (DESK, 'order', True, b'{}'),
    'brief': (CHAT, 'brief', False, build_chat()),
    'chat': (CHAT, 'quick', False, build_chat()),
    'buffered': (CHAT, 'quick', False, build_chat(stream=False)),
}
POINTS = (
    ('before', AdvertisedLimits, 'note'),
    ('before', AnswerCache, 'find'),
    ('before', AnswerCache, 'store'),
    ('before', Broker, 'ask'),
    ('before', BufferedSink, 'write_events'),
    ('before', BufferedSink, 'finish'),
    ('before', ClaimManager, 'claim'),
    ('before', ClaimManager, '_wait_confirmed'),
    ('before', EventReader, 'feed'),
    ('before', Execution, 'run'),
    ('before', Execution, 'build_ask'),
    ('before', Gate, 'count_request'),
    ('before', Handover, 'start'),
    ('before', Job, 'build_ask'),
    ('before', PendingGrant, 'wait'),
    ('before', ReplySink, 'write_reply'),
    ('before', ReplySink, 'finish'),
    ('before', RetryBudget, 'note_first_attempt'),
    ('before', RunnerActivity, 'begin'),
    ('before', RunnerActivity, 'end'),
    ('before', RunnerActivity, 'note'),
    ('before', Shutdown, 'check'),
    ('before', Shutdown, 'note_duration'),
    ('before', StreamSink, 'write_events'),
    ('before', StreamSink, 'finish'),
    ('before', Verification, 'refine'),
    ('before', _Attempt, '__init__'),
    ('before', _Attempt, 'stream'),
    ('before', _Attempt, 'exchange'),
    ('after', Broker, 'ask'),
    ('after', Broker, 'release'),
    ('after', ClaimManager, 'claim'),
    ('after', Handover, 'close'),
    ('after', PendingGrant, 'wait'),
    ('after', StreamSink, 'write_events'),
    ('after', _Attempt, 'stream'),
    ('after', _Attempt, 'exchange'),
)


async def _send(cluster, kind):
    """Send one request and return what its caller gets."""
    path, class_name, keyed, body = KINDS[kind]
    lines = [
        f'POST {path} HTTP/1.1',
        'Host: a',
        'Authorization: Bearer ann',
        f'Anvilhall-Class: {class_name}',
    ]
    if keyed:
        lines.append(f'Idempotency-Key: {kind}')
    caller = RawCaller(lines, body)
    await caller.connect(cluster.ports['entry-0'])
    caller.send_head(len(body))
    async with asyncio.timeout(END_S):
        answer = await caller.read_answer()
    caller.close()
    return answer


def _count_runs(cluster):
    started = sum(len(engine.started) for engine in cluster.engines.values())
    return started + sum(len(book.runs) for book in cluster.books.values())


def _list_left(instance):
    """Return what is left of the requests of an instance."""
    broker = instance.services.broker
    shards = [
        (pool, shard.running_count, shard.waiting_count)
        for owner in (broker.owner, broker.fallback.owner)
        for pool in ('chat', 'desk')
        if (shard := owner.get_shard(pool))
        and (shard.running_count or shard.waiting_count)
    ]
    left = [
        shards,
        broker.running_count,
        broker.busy,
        instance.gate.open_requests,
    ]
    return [each for each in left if each]


async def _check(cluster, kind):
    runs = _count_runs(cluster)
    answer = await _send(cluster, kind)
    if answer.whole and 'Anvilhall-Outcome: not_run' in answer.head:
        assert _count_runs(cluster) == runs, kind
    if kind in {'brief', 'chat'} and answer.whole and answer.status == 200:
        ended = answer.body.endswith(DONE_EVENT)
        assert ended or b'event: error' in answer.body, kind


# Guards against requests that get neither an answer nor a refusal, slots that
# stay taken, and orders that run twice, after a fault or a cancellation.
@pytest.mark.parametrize('fault', FAULTS)
@pytest.mark.parametrize('point', POINTS, ids=name_point)
def test_function_that_fails_leaves_no_request_unanswered(
    root_json, point, fault
):
    when, owner, name = point
    root_json['classes']['brief'] = {'pool': 'chat', 'resumable': False}
    injection = Injection(when, fault)

    async def scenario():
        async with open_cluster(root_json) as cluster:
            instance = cluster.instances['entry-0']
            for kind in KINDS:
                injection.left = 0
                with pytest.MonkeyPatch.context() as patch:
                    wrapped = injection.wrap(getattr(owner, name))
                    patch.setattr(owner, name, wrapped)
                    await _check(cluster, kind)
                await wait_for(lambda: not _list_left(instance))
            for kind in KINDS:
                answer = await _send(cluster, kind)
                assert answer.whole
                assert answer.status == 200 or kind == 'order', kind
            (book,) = cluster.books.values()
            assert book.runs.count('order') <= 1

    asyncio.run(scenario())
    assert injection.hits


# Guards against a request whose caller gets no answer, or whose fault is not
# counted, because of a fault before it is sent to a runner.
@pytest.mark.parametrize('fault', FAULTS)
@pytest.mark.parametrize('kind', ['order', 'chat'])
@pytest.mark.parametrize(
    ('owner', 'name'),
    [
        (CallerHandler, '_check_head'),
        (CallerHandler, 'check_body'),
        (CallerHandler, 'build_job'),
        (Gate, 'admit'),
        (Gate, 'count_request'),
        (Tree, 'find_account'),
    ],
)
def test_fault_before_the_job_is_answered_and_counted(
    root_json, monkeypatch, owner, name, kind, fault
):
    injection = Injection('before', fault)

    async def scenario():
        async with open_cluster(root_json) as cluster:
            instance = cluster.instances['entry-0']
            monkeypatch.setattr(
                owner, name, injection.wrap(getattr(owner, name))
            )
            answer = await _send(cluster, kind)
            assert answer.whole
            assert answer.status == 500
            faults = instance.metrics.internal_errors.labels(fault.__name__)
            assert injection.hits == faults._value.get() == 1
            await wait_for(lambda: not _list_left(instance))
            assert not _count_runs(cluster)

    asyncio.run(scenario())
