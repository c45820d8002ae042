"""Real processes that are killed, stopped and resumed by signals."""

import asyncio
import contextlib
import signal

import pytest

from tests.cluster import build_chat, expect_text, read_text, wait_for
from tests.processes import ProcessFleet

#: Timeout of a scenario, in seconds.
SCENARIO_TIMEOUT_S = 60


@contextlib.asynccontextmanager
async def _open_processes(folder, node):
    fleet = ProcessFleet(folder)
    try:
        fleet.start(node)
        await fleet.publish()
        await fleet.wait_ready()
        async with asyncio.timeout(SCENARIO_TIMEOUT_S):
            yield fleet
    finally:
        fleet.stop()


@pytest.mark.parametrize('number', [signal.SIGKILL, signal.SIGSTOP])
def test_killed_or_stopped_owner_costs_other_instances_no_answer(
    tmp_path,
    root_json,
    number,
):
    async def scenario():
        async with _open_processes(tmp_path, root_json) as fleet:
            owner = (await fleet.find_owners())[0]
            others = [name for name in fleet.callers if name != owner]
            bodies = [build_chat(f'q{n}', max_tokens=60) for n in range(4)]
            chunks = [[] for _ in bodies]
            calls = [
                asyncio.ensure_future(
                    fleet.chat(others[index % 2], body, chunks[index]),
                )
                for index, body in enumerate(bodies)
            ]
            await wait_for(lambda: sum(map(len, chunks)) > 10)
            fleet.send_signal(owner, number)
            late = [build_chat(f'late{n}', max_tokens=5) for n in range(4)]
            more = [
                fleet.chat(others[n % 2], body) for n, body in enumerate(late)
            ]
            answers = await asyncio.gather(*calls, *more)
            for body, answer in zip([*bodies, *late], answers, strict=True):
                assert read_text(answer) == expect_text(body)

    asyncio.run(scenario())


def test_stopped_and_resumed_instance_runs_no_order_twice(tmp_path, root_json):
    async def scenario():
        async with _open_processes(tmp_path, root_json) as fleet:
            names = list(fleet.callers)
            first = asyncio.ensure_future(fleet.order(names[0], 'seat-1'))
            await asyncio.sleep(0.002)
            fleet.send_signal(names[0], signal.SIGSTOP)
            await asyncio.sleep(1)
            await fleet.order(names[1], 'seat-1')
            fleet.send_signal(names[0], signal.SIGCONT)
            await first
            await fleet.order(names[2], 'seat-1')
            assert (await fleet.list_runs()).count('seat-1') == 1

    asyncio.run(scenario())


# Guards against a reload signal that stays held back, or ends the process.
def test_reload_signal_is_handled_while_an_instance_serves(tmp_path, root_json):
    async def scenario():
        async with _open_processes(tmp_path, root_json) as fleet:
            name = next(iter(fleet.callers))
            fleet.send_signal(name, signal.SIGHUP)
            body = build_chat('after the reload', max_tokens=5)
            assert read_text(await fleet.chat(name, body)) == expect_text(body)
            log = tmp_path / f'{name}.log'
            await wait_for(lambda: ':reload"' in log.read_text())

    asyncio.run(scenario())
