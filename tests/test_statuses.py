"""Statuses of runners' answers, and what callers are told by them."""

import asyncio

import pytest

from anvilhall.core.statuses import STATUSES, Meaning, find_meaning, find_row
from tests.site import run_site
from tests.test_faulty_upstreams import _send, frame_body, open_raw_cluster

#: Statuses that tell a caller that the request has not run and never will.
PROMISES = frozenset((408, 421, 425, 429, 503))
#: Statuses of the answers of tests: each edge of the table but interim ones.
ANSWERED = tuple(
    sorted({edge for row in STATUSES[2:] for edge in (row.first, row.last)})
)


def test_each_status_has_one_row():
    edges = [(row.first, row.last) for row in STATUSES]
    following = [first for first, _ in edges[1:]]
    assert edges[0][0] == 0
    assert edges[-1][1] == 999
    assert following == [last + 1 for _, last in edges[:-1]]
    assert find_row(-1).bare is find_row(1000).bare is Meaning.INVALID


def test_promise_is_never_passed_on():
    passed_on = {Meaning.ANSWER, Meaning.ERROR}
    for status in range(1000):
        row = find_row(status)
        assert row.stated in {Meaning.NOT_RUN, Meaning.INVALID}, status
        if status in PROMISES:
            assert row.bare not in passed_on, status
        sealed = find_meaning(status, stated=False, sealed=True)
        assert sealed is not Meaning.NOT_RUN, status
        assert (sealed in passed_on) == (row.bare in passed_on), status


async def _order(site, behaviour):
    """Return the status of an order, and whether it has run."""
    runner = site.runners['desk-0']
    before = len(runner.runs)
    runner.behaviours.append(behaviour)
    reply = await site.fetch('/order/1', method='POST', body=b'q')
    return reply.status, len(runner.runs) > before


# Guards against an order that has run and whose caller is told by a status that
# it has not.
@pytest.mark.parametrize('status', ANSWERED)
def test_order_that_has_run_is_not_denied(status):
    async def scenario():
        async with run_site(desks=1) as site:
            answered, ran = await _order(site, f'status-{status}')
            assert ran
            passed_on = status not in PROMISES and status < 600
            assert answered == (status if passed_on else 502)

    asyncio.run(scenario())


@pytest.mark.parametrize('status', ANSWERED)
def test_order_that_a_runner_states_not_to_have_run_is_refused(status):
    async def scenario():
        async with run_site(desks=1) as site:
            answered, ran = await _order(site, f'full-{status}')
            assert not ran
            assert answered == (503 if status < 600 else 502)

    asyncio.run(scenario())


def test_order_at_another_runner_is_refused():
    async def scenario():
        async with run_site(desks=1) as site:
            assert await _order(site, 'moved') == (503, False)

    asyncio.run(scenario())


# Guards against a repeatable request that fails for one runner's status.
@pytest.mark.parametrize('status', sorted(PROMISES))
@pytest.mark.parametrize('behaviour', ['status', 'full'])
def test_lookup_is_sent_to_another_runner(status, behaviour):
    async def scenario():
        async with run_site(desks=2) as site:
            for runner in site.runners.values():
                if runner.name.startswith('desk'):
                    runner.behaviours.append(f'{behaviour}-{status}')
                    break
            statuses = [
                (await site.fetch(f'/lookup/{turn}')).status
                for turn in range(2)
            ]
            assert statuses == [200, 200]

    asyncio.run(scenario())


# Guards against 'not run' for a request that an upstream of the own interface
# may have run.
@pytest.mark.parametrize('kind', ['chat', 'lookup', 'order'])
@pytest.mark.parametrize('status', [*sorted(PROMISES), 400, 500, 599, 600])
def test_upstream_is_believed_only_by_the_usual_statuses(root, kind, status):
    async def scenario():
        async with open_raw_cluster(root, kind) as (cluster, upstream):
            answer = frame_body(status, b'{"own": 1}')
            upstream.script = [('run', answer, False)] * 8
            got, body = await _send(cluster, kind, 0)
            refuses = status in {429, 503}
            denied = b'"outcome":"not_run"' in body
            assert denied == (refuses and kind != 'order')
            if kind == 'order' or (kind == 'lookup' and not refuses):
                assert (got, body) == (status, b'{"own": 1}')

    asyncio.run(scenario())
