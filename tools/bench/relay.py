"""Benchmarks the daemon against a bare relay.

It measures processor time per request and per relayed event.
"""

import asyncio
import statistics
import time

import msgspec
import psutil

from anvilhall.core.tree import hash_key
from anvilhall.outbound import Call, CurlOutbound, Transfer
from tools.bench.processes import (
    Processes,
    find_port,
    open_processes,
    read_cpu_s,
    read_peak_mib,
    wait_listening,
)

ROUNDS = 3
#: Requests with responses of one event, per round.
SHORT_REQUESTS = 1000
WORKERS = 8
#: Concurrent long streams, and events per stream.
STREAMS = 96
STREAM_EVENTS = 250
PAUSE_MS = 15.0
#: Seconds for which the processor time of an idle daemon is measured.
IDLE_S = 5.0
#: Target ratios of the daemon's processor time to that of the bare relay, from
#: the issue that asked for the benchmark.
TARGET_REQUEST_RATIO = 1.5
TARGET_EVENT_RATIO = 1.1


class Relay:
    """A relay process and its measurements."""

    __slots__ = ('event_us', 'port', 'process', 'request_us')

    def __init__(self, process: psutil.Process, port: int) -> None:
        """Create a relay without measurements."""
        self.process = process
        self.port = port
        self.request_us: list[float] = []
        self.event_us: list[float] = []


def start_relays(processes: Processes) -> dict[str, Relay]:
    """Start the event source, both relays and the platform stand-ins."""
    source, bare, log, membership = (find_port() for _ in range(4))
    processes.start('-m', 'tools.bench.source', 'source', str(source))
    bare_process = processes.start(
        '-m',
        'tools.bench.source',
        'relay',
        str(bare),
        str(source),
    )
    callers, peers, operators = (find_port() for _ in range(3))
    members = [
        {
            'name': 'engine',
            'address': f'127.0.0.1:{source}',
            'failure_domain': 'd1',
            'pool': 'chat',
        },
        {
            'name': 'entry',
            'address': f'127.0.0.1:{peers}',
            'failure_domain': 'd1',
        },
    ]
    processes.start('-m', 'anvilhall_standins.logserver', '--port', str(log))
    processes.start(
        '-m',
        'anvilhall_standins.listserver',
        '--port',
        str(membership),
        '--members',
        processes.write('members.json', members),
    )
    config = {
        'instance': 'entry',
        'failure_domain': 'd1',
        'listen': {
            'callers': f'127.0.0.1:{callers}',
            'peers': f'127.0.0.1:{peers}',
            'operators': f'127.0.0.1:{operators}',
        },
        'platform': {
            'log_url': f'http://127.0.0.1:{log}',
            'membership_url': f'http://127.0.0.1:{membership}',
        },
        'peer_key': 'bench',
    }
    daemon = processes.start(
        '-m',
        'anvilhall.daemon',
        processes.write('entry.json', config),
    )
    for port in (source, bare, log, membership, callers):
        wait_listening(port)
    asyncio.run(publish_settings(log, operators))
    return {
        'bare': Relay(bare_process, bare),
        'anvilhalld': Relay(daemon, callers),
    }


async def publish_settings(log_port: int, operators_port: int) -> None:
    """Publish one pool and one class and wait until the daemon is ready."""
    root = {
        'pools': {'chat': {'wire': 'chat-completions', 'slots': 400}},
        'classes': {'quick': {'pool': 'chat'}},
        'accounts': {
            'ann': {'key_sha256': [hash_key('ann')], 'default_class': 'quick'},
        },
    }
    record = {
        'type': 'publish',
        'id': 'bench',
        'team': '',
        'based_on': 0,
        'node': root,
    }
    outbound = CurlOutbound()
    url = f'http://127.0.0.1:{log_port}/streams/settings'
    body = msgspec.json.encode(record)
    await outbound.fetch(Call(url=url, method='POST', body=body))
    ready = Call(url=f'http://127.0.0.1:{operators_port}/ready')
    while (await outbound.fetch(ready)).status != 200:
        await asyncio.sleep(0.05)
    await asyncio.sleep(1)


async def send_requests(port: int, count: int, events: int) -> int:
    """Send requests concurrently and return the number of events received.

    :param events: events per response.
    """
    outbound = CurlOutbound()
    queue = list(range(count))
    received = 0

    def count_events(chunk: bytes) -> None:
        nonlocal received
        received += chunk.count(b'\n\n')

    async def send_queued() -> None:
        while queue:
            queue.pop()
            await outbound.stream(
                build_call(port, events), Transfer(), count_events
            )

    workers = STREAMS if events > 1 else WORKERS
    await asyncio.gather(*[send_queued() for _ in range(min(workers, count))])
    outbound.close()
    return received


def build_call(port: int, events: int) -> Call:
    """Build the call for a response with a number of events."""
    message = {'role': 'user', 'content': f'|{events} {PAUSE_MS}|'}
    body = {'messages': [message], 'stream': True, 'max_tokens': events}
    return Call(
        url=f'http://127.0.0.1:{port}/v1/chat/completions',
        method='POST',
        headers={'Authorization': 'Bearer ann'},
        body=msgspec.json.encode(body),
    )


def measure_idle(relay: Relay) -> None:
    """Print the processor time of an idle daemon as a share of one core."""
    before = read_cpu_s(relay.process)
    time.sleep(IDLE_S)
    used = read_cpu_s(relay.process) - before
    print(f'idle daemon: {used / IDLE_S:.1%} of a core')


def measure_round(relay: Relay) -> float:
    """Run one round, record its figures and return its events per second."""
    before = read_cpu_s(relay.process)
    asyncio.run(send_requests(relay.port, SHORT_REQUESTS, 1))
    used = read_cpu_s(relay.process) - before
    relay.request_us.append(used / SHORT_REQUESTS * 1e6)
    before = read_cpu_s(relay.process)
    started = time.monotonic()
    received = asyncio.run(send_requests(relay.port, STREAMS, STREAM_EVENTS))
    elapsed_s = time.monotonic() - started
    used = read_cpu_s(relay.process) - before
    relay.event_us.append(used / received * 1e6)
    return received / elapsed_s


def run_benchmark() -> None:
    """Measure both relays alternately and print the ratios."""
    with open_processes() as processes:
        relays = start_relays(processes)
        measure_idle(relays['anvilhalld'])
        for _ in range(ROUNDS):
            for name, relay in relays.items():
                rate = measure_round(relay)
                print(
                    f'{name:11} {relay.request_us[-1]:7.0f} us/request '
                    f'{relay.event_us[-1]:6.1f} us/event, {rate:.0f} events/s',
                )
        print_summary(relays)


def print_summary(relays: dict[str, Relay]) -> None:
    """Print the ratios of the medians, and the peak memory."""
    bare, daemon = relays['bare'], relays['anvilhalld']
    request = statistics.median(daemon.request_us) / statistics.median(
        bare.request_us,
    )
    event = statistics.median(daemon.event_us) / statistics.median(
        bare.event_us
    )
    print(f'ratio per request {request:.2f} (aim {TARGET_REQUEST_RATIO})')
    print(f'ratio per event   {event:.2f} (aim {TARGET_EVENT_RATIO})')
    for name, relay in relays.items():
        print(f'peak memory of {name}: {read_peak_mib(relay.process):.0f} MiB')


if __name__ == '__main__':
    run_benchmark()
