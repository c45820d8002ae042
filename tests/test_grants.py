"""Waiting for the grant of one attempt."""

import asyncio

import pytest

from anvilhall.core.messages import Ask, Grant
from anvilhall.exceptions import Overloaded
from anvilhall.grants import PendingGrant

ASK = Ask('desk', 'q1', 'lookup', 'ann', 1, 1, 9.0)
GRANT = Grant('desk', 'q1', 'r1', 'a:1', 0)


class _Broker:
    """Broker whose answers the test gives itself."""

    def __init__(self, error=None):
        self.error = error
        self.withdrawn = []
        self.released = []

    def ask(self, ask, handler):
        if self.error:
            raise self.error

    def withdraw(self, request_id):
        self.withdrawn.append(request_id)

    def release(self, release):
        self.released.append(release.request_id)


# Guards against a slot that stays taken for good because its grant arrives
# after the wait was cancelled and before its task runs.
def test_grant_of_a_cancelled_wait_is_released():
    async def run():
        broker = _Broker()
        pending = PendingGrant()
        task = asyncio.ensure_future(pending.wait(broker, ASK))
        await asyncio.sleep(0)
        task.cancel()
        pending.handle_grant(GRANT)
        with pytest.raises(asyncio.CancelledError):
            await task
        assert broker.released == ['q1']

    asyncio.run(run())


# Guards against an ask that stays queued because the broker failed in it.
def test_ask_that_fails_is_withdrawn():
    async def run():
        broker = _Broker(RuntimeError('broken'))
        with pytest.raises(RuntimeError, match='broken'):
            await PendingGrant().wait(broker, ASK)
        assert broker.withdrawn == ['q1']
        assert broker.released == []

    asyncio.run(run())


def test_refusal_releases_nothing():
    async def run():
        broker = _Broker()
        pending = PendingGrant()
        task = asyncio.ensure_future(pending.wait(broker, ASK))
        await asyncio.sleep(0)
        pending.handle_refusal(Overloaded('full'))
        with pytest.raises(Overloaded):
            await task
        assert broker.released == []

    asyncio.run(run())


def test_request_whose_task_has_ended_is_abandoned():
    async def run():
        pending = PendingGrant()
        assert not pending.is_abandoned()
        task = asyncio.ensure_future(pending.wait(_Broker(), ASK))
        await asyncio.sleep(0)
        assert not pending.is_abandoned()
        pending.handle_grant(GRANT)
        await task
        assert pending.is_abandoned()

    asyncio.run(run())
