"""Memory for bodies of requests at the own interface."""

import asyncio
import gc

import pytest

from anvilhall.callers import CallerHandler
from tests.cluster import build_chat, inject_fault, open_cluster, wait_for
from tests.rawcaller import RawCaller

CHAT = '/v1/chat/completions'
DESK = '/services/desk/1'
BODY = b'{"text": "%b"}' % (b'x' * 50_000)
#: Memory for bodies in which one of them fits, but not two of one account.
ROOM = 80_000


class TrackedBody(bytes):
    """A body whose end is noted."""

    ended = 0

    def __del__(self):
        type(self).ended += 1


@pytest.fixture
def tracked(monkeypatch):
    """Note the end of each body, without the garbage collector."""
    monkeypatch.setattr(TrackedBody, 'ended', 0)
    build = CallerHandler.build_job

    def track(handler, path):
        job = build(handler, path)
        job.body = TrackedBody(job.body)
        return job

    monkeypatch.setattr(CallerHandler, 'build_job', track)
    gc.disable()
    yield
    gc.enable()


async def _begin(cluster, path, body, size, account='ann', **fields):
    lines = (
        f'POST {path} HTTP/1.1',
        'Host: a',
        f'Authorization: Bearer {account}',
        f'Anvilhall-Class: {fields.pop("class_name", "lookup")}',
    )
    caller = RawCaller(lines, body, **fields)
    await caller.connect(cluster.ports['entry-0'])
    caller.send_head(size)
    return caller


# Guards against bodies that stay in memory after the end of their request,
# until Python's cyclic garbage collector runs.
@pytest.mark.parametrize(
    ('path', 'class_name', 'body', 'fault', 'status'),
    [
        (DESK, 'lookup', BODY, '', 200),
        (DESK, 'order', BODY, '', 200),
        (DESK, 'order', BODY, 'lose_answer', 502),
        (DESK, 'lookup', BODY, 'refuse', 502),
        (CHAT, 'quick', build_chat(), '', 200),
        (CHAT, 'quick', build_chat(stream=False), '', 200),
        (CHAT, 'quick', build_chat(), 'half_event', 200),
        (CHAT, 'quick', b'no JSON', '', 400),
    ],
)
def test_body_is_freed_when_its_request_ends(
    root_json, tracked, path, class_name, body, fault, status
):
    async def scenario():
        async with open_cluster(root_json) as cluster:
            stand_ins = (*cluster.engines.values(), *cluster.books.values())
            for stand_in in stand_ins:
                if fault:
                    inject_fault(stand_in.faults, fault)
            caller = await _begin(
                cluster, path, body, len(body), class_name=class_name
            )
            assert (await caller.read_answer()).status == status
            await wait_for(lambda: TrackedBody.ended == 1)
            caller.close()

    asyncio.run(scenario())


# Guards against a process that is killed with all its requests, because the
# bodies of one client account have filled its memory.
@pytest.mark.parametrize('chunked', [False, True])
def test_body_beyond_the_memory_is_refused_as_not_run(root_json, chunked):
    async def scenario():
        async with open_cluster(root_json) as cluster:
            memory = cluster.instances['entry-0']._callers.memory
            memory.limit_bytes = ROOM
            first = await _begin(cluster, DESK, BODY, 40_000, chunked=chunked)
            await wait_for(lambda: memory.held_bytes >= 40_000)
            second = await _begin(
                cluster, DESK, BODY, len(BODY), chunked=chunked
            )
            second.send_rest()
            answer = await second.read_answer()
            assert answer.status == 503
            assert 'Anvilhall-Error: memory_full' in answer.head
            assert 'Anvilhall-Outcome: not_run' in answer.head
            (book,) = cluster.books.values()
            assert not book.runs
            other = await _begin(cluster, DESK, b'{}', 2, account='bob')
            assert (await other.read_answer()).status == 200
            first.send_rest()
            assert (await first.read_answer()).status == 200
            await wait_for(lambda: not memory.held_bytes)

    asyncio.run(scenario())


@pytest.mark.parametrize('size', [0, 100, len(BODY)])
def test_memory_is_released_when_a_caller_leaves(root_json, size):
    async def scenario():
        async with open_cluster(root_json) as cluster:
            memory = cluster.instances['entry-0']._callers.memory
            (book,) = cluster.books.values()
            inject_fault(book.faults, 'slow', 3.0)
            caller = await _begin(cluster, DESK, BODY, size)
            await wait_for(lambda: memory.held_bytes)
            caller.close()
            await wait_for(lambda: not memory.held_bytes)

    asyncio.run(scenario())
