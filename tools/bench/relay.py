"""Processor time per request and per relayed event, against a bare relay."""

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
#: Requests of one event each.
SHORT_REQUESTS = 1000
WORKERS = 8
#: Long streams side by side, and events of each.
STREAMS = 96
STREAM_EVENTS = 250
PAUSE_MS = 15.0
#: Seconds over which an idle daemon is watched.
IDLE_S = 5.0
#: Aims of the issue that asked for the benchmark.
REQUEST_AIM = 1.5
EVENT_AIM = 1.1


class Relay:
    """A relay under measurement."""

    __slots__ = ('event_us', 'port', 'process', 'request_us')

    def __init__(self, process: psutil.Process, port: int) -> None:
        """Start without figures."""
        self.process = process
        self.port = port
        self.request_us: list[float] = []
        self.event_us: list[float] = []


def start_relays(processes: Processes) -> dict[str, Relay]:
    """Start the source, the bare relay, the platform and one daemon."""
    source, bare, log, listing = (find_port() for _ in range(4))
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
        str(listing),
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
            'membership_url': f'http://127.0.0.1:{listing}',
        },
        'peer_key': 'bench',
    }
    daemon = processes.start(
        '-m',
        'anvilhall.daemon',
        processes.write('entry.json', config),
    )
    for port in (source, bare, log, listing, callers):
        wait_listening(port)
    asyncio.run(publish_settings(log, operators))
    return {
        'bare': Relay(bare_process, bare),
        'anvilhalld': Relay(daemon, callers),
    }


async def publish_settings(log_port: int, operators_port: int) -> None:
    """Publish one pool and class, and wait until they are in force."""
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
    """Send requests from workers; return the events that came back."""
    outbound = CurlOutbound()
    queue = list(range(count))
    seen = 0

    def take(chunk: bytes) -> None:
        nonlocal seen
        seen += chunk.count(b'\n\n')

    async def work() -> None:
        while queue:
            queue.pop()
            await outbound.stream(build_call(port, events), Transfer(), take)

    workers = STREAMS if events > 1 else WORKERS
    await asyncio.gather(*[work() for _ in range(min(workers, count))])
    outbound.close()
    return seen


def build_call(port: int, events: int) -> Call:
    """Return the call for an answer of some events."""
    message = {'role': 'user', 'content': f'|{events} {PAUSE_MS}|'}
    body = {'messages': [message], 'stream': True, 'max_tokens': events}
    return Call(
        url=f'http://127.0.0.1:{port}/v1/chat/completions',
        method='POST',
        headers={'Authorization': 'Bearer ann'},
        body=msgspec.json.encode(body),
    )


def measure_idle(relay: Relay) -> None:
    """Print the share of a core that an idle daemon uses."""
    before = read_cpu_s(relay.process)
    time.sleep(IDLE_S)
    used = read_cpu_s(relay.process) - before
    print(f'idle daemon: {used / IDLE_S:.1%} of a core')


def measure_round(relay: Relay) -> float:
    """Add one round's figures; return the events a second of its streams."""
    before = read_cpu_s(relay.process)
    asyncio.run(send_requests(relay.port, SHORT_REQUESTS, 1))
    used = read_cpu_s(relay.process) - before
    relay.request_us.append(used / SHORT_REQUESTS * 1e6)
    before = read_cpu_s(relay.process)
    began = time.monotonic()
    seen = asyncio.run(send_requests(relay.port, STREAMS, STREAM_EVENTS))
    took_s = time.monotonic() - began
    used = read_cpu_s(relay.process) - before
    relay.event_us.append(used / seen * 1e6)
    return seen / took_s


def run_benchmark() -> None:
    """Measure both relays by turns and print the ratios."""
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
    """Print medians, ratios and peak memory."""
    bare, ours = relays['bare'], relays['anvilhalld']
    request = statistics.median(ours.request_us) / statistics.median(
        bare.request_us,
    )
    event = statistics.median(ours.event_us) / statistics.median(bare.event_us)
    print(f'ratio per request {request:.2f} (aim {REQUEST_AIM})')
    print(f'ratio per event   {event:.2f} (aim {EVENT_AIM})')
    for name, relay in relays.items():
        print(f'peak memory of {name}: {read_peak_mib(relay.process):.0f} MiB')


if __name__ == '__main__':
    run_benchmark()
