"""Runners that repeat refusals, fail after a stream began or break off."""

import asyncio

import pytest

from anvilhall.exceptions import UpstreamCut
from anvilhall.outbound import Transfer
from tests.site import count_runs, run_site

EVENTS = b''.join(b'id: %d\ndata: event %d\n\n' % (n, n) for n in (1, 2, 3))
#: Statuses of each class: those that mean something to the relay, and others.
STATUSES = (
    201,
    202,
    204,
    206,
    226,
    300,
    302,
    304,
    307,
    400,
    401,
    403,
    404,
    405,
    408,
    409,
    413,
    416,
    418,
    421,
    425,
    429,
    431,
    451,
    499,
    500,
    501,
    502,
    503,
    504,
    505,
    511,
    599,
)
#: Statuses by which the relay tells a caller that a request has not run.
NOT_RUN = {408, 421, 429, 503}


async def fetch_or_cut(site, path):
    """Return the response, or ``None`` if it was cut."""
    try:
        return await site.fetch(path, method='POST', body=b'q')
    except UpstreamCut:
        return None


async def warm_up(site, path):
    """Have the relay keep a connection to the runner open."""
    reply = await site.fetch(path, method='POST', body=b'q')
    assert reply.status == 200


# Guards against 'not run' for a request that a runner has run, and against its
# second run, if the runner repeats an earlier refusal.
@pytest.mark.parametrize('kind', ['order', 'lookup', 'brief', 'chat'])
@pytest.mark.parametrize('status', [400, 421, 429, 503])
@pytest.mark.parametrize('refusal', ['full', 'anonymous'])
def test_repeated_refusal_does_not_deny_a_run(kind, status, refusal):
    async def scenario():
        async with run_site(desks=1, engines=1, events=3) as site:
            pool = 'desk' if kind in {'order', 'lookup'} else 'llm'
            runner = site.runners[f'{pool}-0']
            await warm_up(site, f'/{kind}/0')
            for turn in range(3):
                before = len(runner.runs)
                runner.behaviours.extend([f'{refusal}-{status}', 'stale'])
                first = await fetch_or_cut(site, f'/{kind}/{turn}')
                ran = len(runner.runs) - before
                if first is not None and first.status in NOT_RUN:
                    assert not ran
                if kind in {'order', 'brief'}:
                    assert ran <= 1
                while runner.behaviours:
                    # The next request on the connection gets the repetition.
                    before = len(runner.runs)
                    later = await fetch_or_cut(site, f'/{kind}/later-{turn}')
                    ran = len(runner.runs) - before
                    if later is not None and later.status in NOT_RUN:
                        assert not ran
                    if kind in {'order', 'brief'}:
                        assert ran <= 1

    asyncio.run(scenario())


# Guards against a page with status 200 in the middle of a stream.
def test_page_of_the_next_runner_is_no_part_of_a_begun_stream():
    async def scenario():
        async with run_site(engines=1, events=3) as site:
            runner = site.runners['llm-0']
            runner.cut_after = 1
            runner.behaviours.extend(['', 'page'])
            reply = await fetch_or_cut(site, '/chat/1')
            assert reply is None or reply.body == EVENTS
            assert not runner.behaviours

    asyncio.run(scenario())


# Guards against the text of an error within a stream, and against a stream that
# ends as if it were complete.
@pytest.mark.parametrize('status', STATUSES)
def test_answer_of_the_next_runner_is_no_part_of_a_begun_stream(status):
    async def scenario():
        async with run_site(engines=2, events=3) as site:
            for runner in (site.runners['llm-0'], site.runners['llm-1']):
                runner.cut_after = 1
                runner.behaviours.extend(['', f'status-{status}'])
            replies = await asyncio.gather(
                *(fetch_or_cut(site, f'/chat/{turn}') for turn in range(2)),
            )
            for reply in replies:
                if reply is not None and reply.status == 200:
                    assert reply.body == EVENTS

    asyncio.run(scenario())


@pytest.mark.parametrize('status', STATUSES)
def test_begun_stream_is_cut_if_no_runner_goes_on(status):
    async def scenario():
        async with run_site(engines=1, events=3) as site:
            runner = site.runners['llm-0']
            runner.cut_after = 1
            runner.behaviours.extend(['', *[f'status-{status}'] * 5])
            received = []
            with pytest.raises(UpstreamCut):
                await site.client.stream(
                    site.build_call('/chat/1', method='POST', body=b'q'),
                    Transfer(),
                    received.append,
                )
            assert EVENTS.startswith(b''.join(received))

    asyncio.run(scenario())


# Guards against a response framed as whole although its runner broke off.
@pytest.mark.parametrize('kind', ['order', 'lookup'])
@pytest.mark.parametrize('framing', ['close', 'chunked', 'bare'])
def test_answer_cut_at_any_byte_is_not_taken_for_whole(kind, framing):
    async def scenario():
        async with run_site(desks=1) as site:
            runner = site.runners['desk-0']
            await warm_up(site, f'/{kind}/0')
            whole = runner.build_answer(runner.runs[0], framing)
            size = len(whole)
            if framing == 'bare':
                # Without a length, nothing tells where the body ends.
                size = whole.index(b'\r\n\r\n') + 4
            for cut in range(size):
                runner.behaviours.append(f'{framing}-{cut}')
                call = site.build_call(
                    f'/{kind}/{cut}', method='POST', body=b'x'
                )
                reply = await site.client.fetch(call)
                own_id = call.headers['Anvilhall-Request-Id']
                if reply.status == 200:
                    assert kind == 'lookup'
                    assert reply.body == f'desk-0 ran {own_id}'.encode()
                else:
                    assert reply.status in {502, 504}
                runner.behaviours.clear()

    asyncio.run(scenario())


@pytest.mark.parametrize('kind', ['chat', 'brief'])
def test_stream_cut_at_any_byte_is_not_taken_for_whole(kind):
    async def scenario():
        async with run_site(engines=1, events=3) as site:
            runner = site.runners['llm-0']
            runner.event_s = 0.0
            await warm_up(site, f'/{kind}/0')
            size = len(runner.build_answer(runner.runs[0]))
            for cut in range(size):
                runner.behaviours.append(f'close-{cut}')
                reply = await fetch_or_cut(site, f'/{kind}/{cut}')
                if reply is not None and reply.status == 200:
                    assert reply.body == EVENTS
                    assert kind == 'chat' or cut >= size - 1
                runner.behaviours.clear()
            assert count_runs(site) > size

    asyncio.run(scenario())


# Guards against a connection that is closed without an answer, as the runner
# has stated the length of its answer twice.
@pytest.mark.parametrize('kind', ['order', 'lookup'])
def test_answer_that_states_its_length_twice_is_passed_on(kind):
    async def scenario():
        async with run_site() as site:
            site.runners['desk-0'].behaviours.append('equal')
            reply = await site.fetch(f'/{kind}/0', method='POST', body=b'q')
            assert reply.status == 200
            assert reply.headers['Content-Length'] == str(len(reply.body))

    asyncio.run(scenario())


def test_answer_with_two_lengths_is_no_answer():
    async def scenario():
        async with run_site() as site:
            site.runners['desk-0'].behaviours.append('unequal')
            reply = await site.fetch('/order/0', method='POST', body=b'q')
            assert reply.status == 502

    asyncio.run(scenario())
