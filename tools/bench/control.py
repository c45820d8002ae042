"""Benchmarks of the control path.

They show how processor time, memory and link traffic grow with the numbers of
runners, waiting requests, accounts, claims and instances.
"""

import asyncio
import datetime as dt
import statistics
import time
import tracemalloc
from collections.abc import Callable

import msgspec

from anvilhall.core.ledger import Claim, Ledger, LedgerBatch
from anvilhall.core.messages import (
    Ask,
    Grant,
    Heartbeat,
    Message,
    Progress,
    Release,
    encode_message,
)
from anvilhall.core.publication import Publication, SettingsState
from anvilhall.core.roster import RunnerEndpoint
from anvilhall.core.settings import decode_node
from anvilhall.core.shard import Shard
from anvilhall.core.tree import Tree, hash_key
from anvilhall_standins.modelrunner import RunnerModel
from anvilhall_standins.simfleet import SimFleet, attach_chat
from anvilhall_standins.virtualloop import VirtualLoop, run_virtual

REPEATS = 5
DECISIONS = 200
US = 1e6
START = dt.datetime(2026, 3, 30, 6, 0, tzinfo=dt.UTC)
KIB = 1024


def measure_us(work: Callable[[], object], count: int) -> tuple[float, float]:
    """Measure the processor time of ``work``, which does ``count`` operations.

    :return: median and spread (maximum - minimum) over ``REPEATS`` runs, in
        microseconds per operation.
    """
    times: list[float] = []
    for _ in range(REPEATS):
        started = time.process_time()
        work()
        times.append((time.process_time() - started) / count * US)
    return statistics.median(times), max(times) - min(times)


def build_root(accounts: int) -> dict[str, object]:
    """Build the root node of the settings with a number of accounts."""
    return {
        'pools': {
            'chat': {
                'wire': 'chat-completions',
                'slots': 16,
                'queue_limit': 100_000,
            },
        },
        'classes': {
            'quick': {'pool': 'chat', 'tier': 0},
            'bulk': {'pool': 'chat', 'tier': 5},
        },
        'accounts': {
            f'account-{number}': {
                'key_sha256': [hash_key(f'key-{number}')],
                'classes': ['quick', 'bulk'],
            }
            for number in range(accounts)
        },
    }


def build_ask(number: int, class_name: str = 'quick') -> Ask:
    """Build a typical request for a runner."""
    return Ask(
        pool='chat',
        request_id=f'{number:032x}',
        class_name=class_name,
        account=f'account-{number % 10}',
        prompt_tokens=300,
        max_tokens=1024,
        parts=(('a1b2c3d4e5f60718', 120),),
        deadline_s=120.0,
    )


def measure_decisions() -> None:
    """Print the scheduling time per request by queue length and runners."""
    tree = Tree({'': decode_node(build_root(10), '')})
    for runners in (3, 15, 50, 150):
        for waiting in (10, 100, 1000):
            shard = Shard('chat', tree)
            shard.set_runners(
                [
                    RunnerEndpoint(f'r{place}', f'r{place}')
                    for place in range(runners)
                ],
            )
            fill_shard(shard, runners * 16 + waiting)

            def decide(shard: Shard = shard) -> None:
                for iteration in range(DECISIONS):
                    decide_once(shard, iteration)

            median, spread = measure_us(decide, DECISIONS)
            print(
                f'{runners:4} runners {waiting:5} waiting: '
                f'{median:7.0f} us (spread {spread:.0f}) a request',
            )


def fill_shard(shard: Shard, count: int) -> None:
    """Submit requests and dispatch as many as there are slots."""
    for number in range(count):
        shard.submit('entry', build_ask(number, 'bulk'), 0.0)
    shard.dispatch(0.0, START)


def decide_once(shard: Shard, iteration: int) -> None:
    """Submit one request, release a running one and dispatch the next."""
    shard.submit('entry', build_ask(10_000_000 + iteration), 1.0)
    runner = max(shard.runners.values(), key=lambda each: len(each.assignments))
    ended = next(iter(runner.assignments))
    release = Release(pool='chat', request_id=ended, served=True, tokens=90)
    shard.release(release, 1.0)
    shard.dispatch(1.0, START)


def measure_messages() -> None:
    """Print the size and the encoding time of the messages of one request."""
    request_id = f'{7:032x}'
    messages: list[Message] = [
        build_ask(7),
        Grant('chat', request_id, 'runner-12', '10.0.3.12:8000', 0),
        Progress('chat', request_id, 0.21, 1, 0.0),
        Release('chat', request_id, True, '', 0.21, 90),
        Heartbeat(1796363969114, 97_000),
    ]
    for message in messages:

        def encode(message: Message = message) -> None:
            for _ in range(DECISIONS):
                encode_message(message)

        median, _ = measure_us(encode, DECISIONS)
        size = len(encode_message(message))
        name = type(message).__name__
        print(f'{name:10} {size:4} bytes, {median:5.1f} us to encode')


def measure_settings() -> None:
    """Print the time and memory of settings changes by number of accounts."""
    for accounts in (100, 1000, 5000, 23_000):
        root = build_root(accounts)
        state = SettingsState()
        tracemalloc.start()
        state.fold(0, Publication(id='0', team='', based_on=0, node=root))
        memory = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()

        def publish(state: SettingsState = state) -> None:
            publish_change(state)

        median, spread = measure_us(publish, 1)
        snapshot = len(msgspec.json.encode(state.take_snapshot()))
        print(
            f'{accounts:6} accounts: {median / 1000:7.1f} ms '
            f'(spread {spread / 1000:.1f}) a change, '
            f'{memory / KIB:7.0f} KiB, snapshot {snapshot / KIB:.0f} KiB',
        )


def publish_change(state: SettingsState) -> None:
    """Apply a small change of one team's settings."""
    change = Publication(
        id='1',
        team='shop',
        based_on=state.get_version('shop'),
        node={'class_defaults': {'deadline_s': 100}},
    )
    state.fold(state.covers + 1, change)


def measure_claims() -> None:
    """Print the time and memory per claim in the ledger."""
    count = 20_000
    batches = [
        LedgerBatch(
            claims=tuple(
                Claim(
                    id=f'{place + number:032x}',
                    account=f'account-{number}',
                    key=f'key-{place + number}',
                    digest='0011223344556677',
                    instance='entry-1',
                )
                for number in range(50)
            ),
        )
        for place in range(0, count, 50)
    ]
    ledger = Ledger(86400)
    tracemalloc.start()
    started = time.process_time()
    for offset, batch in enumerate(batches):
        ledger.fold(offset, batch, 0.0)
    elapsed = time.process_time() - started
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    size = len(msgspec.json.encode(batches[0])) / 50
    print(
        f'one claim: {elapsed / count * US:.1f} us, {memory / count:.0f} bytes '
        f'kept beside the record, {size:.0f} bytes in the log',
    )


def measure_fleet() -> None:
    """Print the link traffic per instance, idle and at 16 requests/s."""
    for instances in (3, 9, 30, 100, 300):
        started = time.process_time()
        loop = VirtualLoop()
        fleet = SimFleet(loop, 1, START)
        idle, busy = run_virtual(loop, load_fleet(fleet, instances))
        print(
            f'{instances:4} instances: idle {idle:6.0f} bytes/s an instance, '
            f'under load {busy:6.0f} bytes/s more at 16 requests/s each, '
            f'{(time.process_time() - started) / instances:.2f} s of processor '
            'time an instance for 25 s with the start of all',
        )


async def load_fleet(fleet: SimFleet, instances: int) -> tuple[float, float]:
    """Return the bytes per second and instance: idle, and added by the load.

    At most 6 instances receive load; the second figure is scaled to all.
    """
    fleet.publish('', 0, build_root(10))
    for runner in range(8):
        model = RunnerModel(slots=64, step_base_ms=5, step_per_stream_ms=0)
        fleet.add_runner(f'chat-{runner}', 'chat', 'd1', model)
    for number in range(instances):
        fleet.add_instance(f'entry-{number}', 'd1')
    await asyncio.sleep(10)
    idle = await count_bytes(fleet, 10)
    receivers = min(instances, 6)
    seconds = 5
    load = asyncio.ensure_future(send_load(fleet, receivers, seconds))
    total = await count_bytes(fleet, seconds)
    await load
    added = (total - idle) * instances / receivers
    return idle, added


async def count_bytes(fleet: SimFleet, seconds: float) -> float:
    """Return the mean bytes per second that an instance sends."""
    before = sum(fleet.network.bytes_sent.values())
    await asyncio.sleep(seconds)
    after = sum(fleet.network.bytes_sent.values())
    return (after - before) / seconds / len(fleet.instances)


async def send_load(fleet: SimFleet, receivers: int, seconds: float) -> None:
    """Send 16 requests per second to each of the first instances.

    :param receivers: number of instances that receive requests.
    :param seconds: duration of the load.
    """
    message = {'role': 'user', 'content': 'x' * 400}
    body = msgspec.json.encode(
        {'messages': [message], 'max_tokens': 20, 'stream': True},
    )
    for _ in range(int(seconds * 16)):
        for number in range(receivers):
            name = f'entry-{number}'
            job = fleet.build_job(name, 'quick', 'account-1')
            fleet.submit(name, attach_chat(job, body))
        await asyncio.sleep(1 / 16)


def run_benchmark() -> None:
    """Run all benchmarks of the control path."""
    print('decisions')
    measure_decisions()
    print('messages')
    measure_messages()
    print('settings')
    measure_settings()
    print('claims')
    measure_claims()
    print('fleet')
    measure_fleet()


if __name__ == '__main__':
    run_benchmark()
