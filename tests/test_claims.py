"""Claims of idempotency keys."""

import asyncio

import pytest

from anvilhall.claims import ClaimManager
from anvilhall.core.ledger import Ledger
from anvilhall.metrics import Metrics
from anvilhall.tasks import TaskSet
from tests.site import wait_until

WINDOW_S = 60.0


def _build_manager():
    return ClaimManager(
        'e1', None, Ledger(WINDOW_S), None, None, Metrics(), None
    )


# Guards against two writers that append the same claims, after a fault of the
# reader.
@pytest.mark.parametrize('name', ['_follow', '_write'])
@pytest.mark.parametrize('fault', [RuntimeError, asyncio.CancelledError])
def test_fault_of_one_task_leaves_no_other_running(monkeypatch, name, fault):
    running = {'_follow': 0, '_write': 0}
    failed = []

    def build_task(task):
        async def run(_):
            running[task] += 1
            try:
                await asyncio.sleep(0.02)
                if task == name and not failed:
                    failed.append(task)
                    raise fault('injected')
                await asyncio.sleep(60)
            finally:
                running[task] -= 1

        return run

    for task in running:
        monkeypatch.setattr(ClaimManager, task, build_task(task))

    async def scenario():
        manager = _build_manager()
        tasks = TaskSet(Metrics())
        tasks.spawn(manager.run)
        await wait_until(lambda: failed)
        await wait_until(lambda: all(running.values()))
        assert running == {'_follow': 1, '_write': 1}
        tasks.cancel()
        await asyncio.gather(*tasks._tasks, return_exceptions=True)
        assert not any(running.values())

    asyncio.run(scenario())


# Guards against a claim that is not written because an append has failed.
def test_claim_left_by_a_failed_append_is_written(monkeypatch):
    appends = []

    async def append(_):
        appends.append(1)
        if len(appends) == 1:
            raise RuntimeError('injected')
        return True

    async def follow(_):
        await asyncio.sleep(60)

    monkeypatch.setattr(ClaimManager, '_append', append)
    monkeypatch.setattr(ClaimManager, '_follow', follow)
    monkeypatch.setattr(ClaimManager, 'all_written', False)

    async def scenario():
        manager = _build_manager()
        tasks = TaskSet(Metrics())
        tasks.spawn(manager.run)
        manager._write_wanted.set()
        await wait_until(lambda: len(appends) == 2)
        tasks.cancel()
        await asyncio.gather(*tasks._tasks, return_exceptions=True)

    asyncio.run(scenario())
