"""Cached responses that are fetched from the instance that sent them."""

import asyncio

import pytest

from anvilhall.answers import AnswerCache
from anvilhall.clock import SystemClock
from anvilhall.core.messages import AnswerOffer
from anvilhall.exceptions import StillRunning

KEY = ('ann', 'order-1')


class _Fleet:
    """Records the messages sent and the handlers registered."""

    def __init__(self):
        self.handlers = {}
        self.sent = []

    def add_handler(self, kind, handler):
        self.handlers[kind] = handler

    def send(self, name, message):
        self.sent.append((name, message))


def test_lookup_that_times_out_does_not_end_another_of_the_same_key():
    async def scenario():
        fleet = _Fleet()
        cache = AnswerCache(None, fleet, SystemClock())
        first = asyncio.ensure_future(cache._request_answer('e2', KEY))
        await asyncio.sleep(0)
        second = asyncio.ensure_future(cache._request_answer('e2', KEY))
        await asyncio.sleep(0)
        first.cancel()
        await asyncio.gather(first, return_exceptions=True)
        offer = AnswerOffer(*KEY, state='kept', status=200, body=b'done')
        fleet.handlers[AnswerOffer]('e2', offer)
        async with asyncio.timeout(1.0):
            assert await second is offer

    asyncio.run(scenario())


class _Claims:
    """Claims, all of which are of requests that run."""

    def __init__(self):
        self.ledger = self

    def get(self, account, key):
        """Return no entry."""

    def check(self, job):
        raise StillRunning


class _Job:
    """A keyed request that may not be repeated."""

    account, key = KEY
    idempotent = False

    def __init__(self, deadline_at):
        self.settings = self
        self.deadline_at = deadline_at


# Guards against a repeat that waits beyond its deadline for the request that it
# repeats.
@pytest.mark.parametrize('left_s', [0.05, -1.0])
def test_repeat_of_a_running_request_waits_until_its_deadline(left_s):
    async def scenario():
        clock = SystemClock()
        cache = AnswerCache(_Claims(), _Fleet(), clock)
        with cache.track_running(_Job(0.0)):
            async with asyncio.timeout(1.0):
                with pytest.raises(StillRunning):
                    await cache.find(_Job(clock.monotonic() + left_s))

    asyncio.run(scenario())
