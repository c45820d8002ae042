"""Memory for bodies of requests: shares, limits, and its release."""

import asyncio
import gc
import weakref

import msgspec
import pytest

from anvilhall.core.memory import MemoryBudget, compute_body_limit
from anvilhall.exceptions import MemoryFull
from anvilhall.relay import RelayRequest
from anvilhall.relaying import Relay
from tests.rawcaller import RawCaller
from tests.site import (
    HOST,
    KEY,
    ROUTES,
    count_runs,
    make_manifest,
    run_site,
    wait_until,
)

LIMIT = 10_000_000
BODY = bytes(60_000)
#: Memory for bodies in which one of them fits, but not two of one account.
ROOM = 100_000
OTHER_KEY = 'key-of-bob'


def _build_budget(unsent=0):
    return MemoryBudget(LIMIT, lambda: unsent)


def _fill(budget, account, tier=1, size=100_000):
    """Reserve as much as an account may hold; return it."""
    held = 0
    while held < 2 * LIMIT:
        try:
            budget.reserve(account, tier, size)
        except MemoryFull:
            return held
        held += size
    raise AssertionError('no limit')


def test_account_that_holds_much_leaves_memory_for_others():
    budget = _build_budget()
    held = _fill(budget, 'ann')
    assert LIMIT / 2 <= held <= LIMIT * 0.9
    assert _fill(budget, 'bob') >= LIMIT * 0.05
    assert budget.held_bytes <= LIMIT


def test_lower_tier_leaves_memory_for_a_higher_one():
    budget = _build_budget()
    budget.reserve('ann', 0, 10)
    assert _fill(budget, 'bob', tier=3) <= LIMIT * 0.75
    assert _fill(budget, 'ann', tier=0) >= LIMIT * 0.2


def test_short_body_is_kept_from_memory_by_the_limit_only():
    budget = _build_budget()
    held = _fill(budget, 'ann')
    assert _fill(budget, 'ann', size=1000) >= (LIMIT - held) * 0.99
    assert budget.held_bytes <= LIMIT


def test_long_body_in_short_parts_has_no_more_than_its_share():
    budget = _build_budget()
    held = 0
    with pytest.raises(MemoryFull):
        while True:
            budget.reserve('ann', 1, 1000, held)
            held += 1000
    assert held <= LIMIT * 0.9


def test_memory_is_free_after_its_release():
    budget = _build_budget()
    first = _fill(budget, 'ann')
    budget.release('ann', 1, first)
    assert budget.held_bytes == 0
    assert _fill(budget, 'bob') == first


def test_unsent_answers_take_memory_from_bodies():
    assert _fill(_build_budget(unsent=LIMIT * 9 // 10), 'ann') < 0.1 * LIMIT
    assert _fill(_build_budget(unsent=2 * LIMIT), 'ann') == 0


def test_body_without_bytes_needs_no_memory():
    _build_budget(unsent=2 * LIMIT).reserve('ann', 1, 0)


@pytest.mark.parametrize(
    ('memory_mb', 'least_mb', 'most_mb'),
    [(150, 40, 70), (300, 100, 200), (20, 8, 8)],
)
def test_limit_of_bodies_leaves_room_for_the_process(
    memory_mb, least_mb, most_mb
):
    assert least_mb <= compute_body_limit(memory_mb) / 1e6 <= most_mb


def _build_caller(path, key=KEY, body=BODY, **fields):
    lines = (
        f'POST {path} HTTP/1.1',
        f'Host: {HOST}',
        'Anvilhall-Request-Id: memory',
        f'Anvilhall-Credential: {key}',
    )
    return RawCaller(lines, body, **fields)


async def _begin(site, size=0, **fields):
    """Send the head of a request and a part of its body."""
    caller = _build_caller('/lookup/1', **fields)
    await caller.connect(site.ports['g1'])
    caller.send_head(size)
    return caller


# Guards against a process that is killed with all its requests, because the
# bodies of one client account have filled its memory.
@pytest.mark.parametrize('chunked', [False, True])
def test_body_beyond_the_memory_is_refused_as_not_run(chunked):
    async def scenario():
        async with run_site() as site:
            context = site.gateways['g1'].context
            tenants = make_manifest(2, ROUTES)
            tenants['tenants'].append({'name': 'bob', 'api_keys': [OTHER_KEY]})
            await site.publish(tenants)
            await wait_until(lambda: context.version == 2)
            context.memory.limit_bytes = ROOM
            first = await _begin(site, 50_000, chunked=chunked)
            await wait_until(lambda: context.memory.held_bytes >= 50_000)
            second = await _begin(site, len(BODY) - 1, chunked=chunked)
            second.send_rest()
            answer = await second.read_answer()
            assert answer.status == 503
            assert 'Retry-After' in answer.head
            assert msgspec.json.decode(answer.body)['error']['code'] == (
                'memory_full'
            )
            assert not count_runs(site)
            other = await _begin(
                site, 20_000, key=OTHER_KEY, body=BODY[:20_000]
            )
            assert (await other.read_answer()).status == 200
            first.send_rest()
            assert (await first.read_answer()).status == 200
            await wait_until(lambda: not context.memory.held_bytes)

    asyncio.run(scenario())


@pytest.mark.parametrize('size', [0, 100, len(BODY)])
def test_memory_is_released_when_a_caller_leaves(size):
    async def scenario():
        async with run_site() as site:
            context = site.gateways['g1'].context
            site.runners['desk-0'].work_s = 3.0
            caller = await _begin(site, size)
            await wait_until(lambda: context.memory.held_bytes)
            caller.close()
            await wait_until(lambda: not context.memory.held_bytes)
            assert not context.open

    asyncio.run(scenario())


class TrackedBody(bytes):
    """A body whose end is noted."""

    ended = 0

    def __del__(self):
        type(self).ended += 1


@pytest.fixture
def parts(monkeypatch):
    """Return weak references to what each relayed request consists of."""
    made = []
    monkeypatch.setattr(TrackedBody, 'ended', 0)
    run = RelayRequest._run
    begin = Relay.__init__

    async def track(request, relay, job):
        job.request.body = TrackedBody(job.request.body)
        made.append(weakref.ref(request))
        await run(request, relay, job)

    class TrackedRelay(Relay):
        __slots__ = ('__weakref__',)

        def __init__(self, *arguments):
            begin(self, *arguments)
            made.append(weakref.ref(self))

    monkeypatch.setattr(RelayRequest, '_run', track)
    monkeypatch.setattr('anvilhall.relay.Relay', TrackedRelay)
    gc.disable()
    yield made
    gc.enable()


# Guards against bodies that stay in memory after the end of their request,
# until Python's cyclic garbage collector runs.
@pytest.mark.parametrize(
    ('path', 'behaviour', 'statuses'),
    [
        ('/lookup/1', '', {200}),
        ('/order/1', '', {200}),
        ('/chat/1', '', {200}),
        ('/lookup/1', 'reset', {200, 502}),
        ('/order/1', 'reset', {502}),
        ('/order/1', 'close-10', {502}),
        ('/order/1', 'full', {503}),
        ('/brief/1', 'unframed-stream-cut-3', {200, 502}),
    ],
)
def test_body_is_freed_when_its_request_ends(parts, path, behaviour, statuses):
    async def scenario():
        async with run_site(engines=1) as site:
            context = site.gateways['g1'].context
            for runner in site.runners.values():
                if behaviour:
                    runner.behaviours.append(behaviour)
            caller = _build_caller(path)
            await caller.connect(site.ports['g1'])
            caller.send_head(len(BODY))
            assert (await caller.read_answer()).status in statuses
            await wait_until(lambda: not context.open)
            _, relay = parts
            await wait_until(lambda: TrackedBody.ended == 1)
            await wait_until(lambda: relay() is None)
            caller.close()

    asyncio.run(scenario())
