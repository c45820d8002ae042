"""Background tasks."""

import asyncio

import pytest

from anvilhall.metrics import Metrics
from anvilhall.tasks import TaskSet
from tests.site import wait_until

FAULTS = (RuntimeError, asyncio.CancelledError)


# Guards against a task that ends for good, without a line in the log, because
# something that it awaits is cancelled.
@pytest.mark.parametrize('fault', FAULTS)
def test_task_is_started_again_after_a_fault(fault):
    async def scenario():
        metrics = Metrics()
        tasks = TaskSet(metrics)
        runs = []

        async def work():
            runs.append(1)
            if len(runs) == 1:
                awaited = asyncio.get_running_loop().create_future()
                if fault is asyncio.CancelledError:
                    awaited.cancel()
                else:
                    awaited.set_exception(fault('injected'))
                await awaited
            await asyncio.sleep(10)

        tasks.spawn(work)
        await wait_until(lambda: len(runs) == 2)
        counter = metrics.internal_errors.labels(fault.__name__)
        assert counter._value.get() == 1
        tasks.cancel()
        (task,) = tasks._tasks
        await asyncio.wait([task], timeout=1)
        assert task.cancelled()
        assert len(runs) == 2

    asyncio.run(scenario())
