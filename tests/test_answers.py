"""Cached responses that are fetched from the instance that sent them."""

import asyncio

from anvilhall.answers import AnswerCache
from anvilhall.core.messages import AnswerOffer

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
        cache = AnswerCache(None, fleet)
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
