"""Runners that advertise how many requests a second they take."""

import asyncio
import math
import time

from anvilhall.core.shard import Shard
from tests.cluster import open_cluster
from tests.site import run_site, wait_until

#: Span of time in which requests are counted, in seconds.
SPAN_S = 4.0
#: Multiple of the limit, and requests beyond it, that are allowed in it.
FACTOR = 1.5
SLACK = 5
#: Requests a second that callers send, and for how long, in seconds.
SENT_PER_S = 40
LENGTH_S = 5.0


def count_most(times, span_s=SPAN_S):
    """Return the most requests within any span of time."""
    return max(
        (
            sum(1 for other in times if 0 <= other - first < span_s)
            for first in times
        ),
        default=0,
    )


# Guards against a limit that each instance reads and none keeps, or that each
# keeps for its own requests while the sum exceeds it.
def test_all_instances_together_keep_to_an_advertised_limit():
    async def scenario():
        async with run_site(desks=3) as site:
            for name in ('g2', 'g3'):
                await site.add_gateway(name)
            await wait_until(
                lambda: all(
                    gateway.ready and len(gateway.describe().live) == 3
                    for gateway in site.gateways.values()
                )
            )
            limited = site.runners['desk-0']
            limited.traits.requests_per_s = '2.0'
            # Each instance gets an answer that names the limit.
            for turn in range(60):
                name = f'g{turn % 3 + 1}'
                await site.fetch(f'/lookup/{turn}', gateway=name)
            before = len(limited.runs)
            times = []
            replies = []
            started = time.monotonic()
            while time.monotonic() - started < LENGTH_S:
                name = f'g{len(replies) % 3 + 1}'
                call = site.fetch(f'/lookup/{len(replies)}', gateway=name)
                replies.append(asyncio.ensure_future(call))
                await asyncio.sleep(1 / SENT_PER_S)
                new = len(limited.runs) - before - len(times)
                times.extend([time.monotonic()] * new)
            statuses = [
                reply.status for reply in await asyncio.gather(*replies)
            ]
            assert count_most(times) <= FACTOR * SPAN_S * 2.0 + SLACK
            # The others have room for all requests.
            assert set(statuses) == {200}

    asyncio.run(scenario())


def test_runner_that_names_no_limit_any_more_is_used_as_before():
    async def scenario():
        async with run_site(desks=2) as site:
            limited = site.runners['desk-0']
            limited.traits.requests_per_s = '2.0'
            for turn in range(20):
                await site.fetch(f'/lookup/{turn}')
            limited.traits.requests_per_s = ''
            await asyncio.sleep(1.5)
            before = len(limited.runs)
            other = site.runners['desk-1']
            other.work_s = 0.05
            for _ in range(10):
                await asyncio.gather(
                    *(site.fetch(f'/lookup/{turn}') for turn in range(4))
                )
            assert len(limited.runs) - before > 10

    asyncio.run(scenario())


def test_service_of_the_own_interface_gets_no_more_than_its_policy(root):
    async def scenario():
        async with open_cluster(root, instances=2, services=2) as cluster:
            limited = cluster.books['desk-0']
            limited.policy = '"default";q=2;w=1'
            headers = {'Anvilhall-Class': 'lookup'}
            for turn in range(20):
                entry = f'entry-{turn % 2}'
                await cluster.call(entry, 'x', headers)
            before = len(limited.runs)
            started = time.monotonic()
            sent = 0
            while time.monotonic() - started < 3.0:
                entry = f'entry-{sent % 2}'
                reply = await cluster.call(entry, 'x', headers)
                assert reply.status == 200
                sent += 1
                await asyncio.sleep(0.01)
            assert sent > 60
            allowed = FACTOR * 3.0 * 2.0 + SLACK
            assert len(limited.runs) - before <= allowed

    asyncio.run(scenario())


# Guards against a stream that began before the limit and ends after it: its
# release must not say that the runner names none.
def test_release_of_a_stream_does_not_repeat_what_its_head_said(monkeypatch):
    reports = []
    for name in ('note_progress', 'release'):
        original = getattr(Shard, name)

        def record(shard, message, now, original=original):
            reports.append((type(message).__name__, message.requests_per_s))
            original(shard, message, now)

        monkeypatch.setattr(Shard, name, record)

    async def scenario():
        async with run_site(engines=1, events=3) as site:
            site.runners['llm-0'].traits.requests_per_s = '9.5'
            await site.fetch('/brief/1', method='POST', body=b'q')
            await site.fetch('/lookup/1')
        assert reports == [
            ('Progress', 9.5),
            ('Release', None),
            ('Release', math.inf),
        ]

    asyncio.run(scenario())
