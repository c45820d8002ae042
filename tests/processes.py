"""Daemons and stand-ins as real processes on loopback."""

import asyncio
import contextlib
import signal
import subprocess
import sys

import msgspec

from anvilhall.outbound import Call, CurlOutbound, Transfer
from tests.cluster import find_port

#: Timeout for the processes to start and to agree on one owner, in seconds.
START_TIMEOUT_S = 20


class ProcessFleet:
    """Three daemons, two engines, one service, the log and the member list."""

    def __init__(self, folder):
        self.folder = folder
        self.processes = {}
        self.callers = {}
        self.operators = {}
        self.upstream_ports = {}
        self.client = CurlOutbound()
        self.members = []
        self.log_port = find_port()
        self.list_port = find_port()

    def start(self, node):
        self._spawn('log', 'logserver', '--port', self.log_port)
        for number in range(2):
            self._start_upstream(f'chat-{number}', 'engine', 'chat')
        self._start_upstream('desk-0', 'service', 'desk')
        configs = [self._configure(f'entry-{number}') for number in range(3)]
        path = self.folder / 'members.json'
        path.write_bytes(msgspec.json.encode(self.members))
        arguments = ('--port', self.list_port, '--members', path)
        self._spawn('list', 'listserver', *arguments)
        for name, config in configs:
            self._spawn_module(name, 'anvilhall.daemon', config)
        record = {
            'type': 'publish',
            'id': 'first',
            'team': '',
            'based_on': 0,
            'node': node,
        }
        self.record = msgspec.json.encode(record)

    async def publish(self):
        url = f'http://127.0.0.1:{self.log_port}/streams/settings'
        call = Call(url=url, method='POST', body=self.record)
        await self._retry(call)

    async def wait_ready(self):
        async with asyncio.timeout(START_TIMEOUT_S):
            while not await self._is_converged():
                await asyncio.sleep(0.05)

    async def _is_converged(self):
        statuses = [await self.read_status(name) for name in self.operators]
        seen = all(
            status and status['ready'] and len(status['live']) == 3
            for status in statuses
        )
        return seen and len(await self.find_owners()) == 1

    async def find_owners(self):
        owners = []
        for name in self.operators:
            status = await self.read_status(name)
            if status and any(
                shard['pool'] == 'chat' for shard in status['owned']
            ):
                owners.append(name)
        return owners

    async def read_status(self, name):
        url = f'http://127.0.0.1:{self.operators[name]}/status'
        with contextlib.suppress(Exception):
            reply = await self.client.fetch(Call(url=url, timeout_s=0.5))
            return msgspec.json.decode(reply.body)
        return None

    async def chat(self, name, body, chunks=None):
        parts = [] if chunks is None else chunks
        call = Call(
            url=f'http://127.0.0.1:{self.callers[name]}/v1/chat/completions',
            method='POST',
            headers={'Authorization': 'Bearer ann'},
            body=body,
        )
        await self.client.stream(call, Transfer(), parts.append)
        return b''.join(parts)

    async def order(self, name, key):
        call = Call(
            url=f'http://127.0.0.1:{self.callers[name]}/services/desk/orders',
            method='POST',
            headers={
                'Authorization': 'Bearer ann',
                'Anvilhall-Class': 'order',
                'Idempotency-Key': key,
            },
            body=b'{}',
        )
        return await self.client.fetch(call)

    async def list_runs(self):
        port = self.upstream_ports['desk-0']
        url = f'http://127.0.0.1:{port}/load'
        reply = await self.client.fetch(Call(url=url))
        return msgspec.json.decode(reply.body)['runs']

    def send_signal(self, name, number):
        self.processes[name].send_signal(number)

    def stop(self):
        for process in self.processes.values():
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
            process.kill()
        for process in self.processes.values():
            process.wait(10)

    def _start_upstream(self, name, module, pool):
        port = find_port()
        self.upstream_ports[name] = port
        self._spawn(name, module, '--port', port)
        self._add_member(name, port, pool)

    def _configure(self, name):
        callers, peers, operators = (find_port() for _ in range(3))
        self.callers[name] = callers
        self.operators[name] = operators
        self._add_member(name, peers, '')
        config = {
            'instance': name,
            'failure_domain': 'd1',
            'listen': {
                'callers': f'127.0.0.1:{callers}',
                'peers': f'127.0.0.1:{peers}',
                'operators': f'127.0.0.1:{operators}',
            },
            'platform': {
                'log_url': f'http://127.0.0.1:{self.log_port}',
                'membership_url': f'http://127.0.0.1:{self.list_port}',
            },
            'peer_key': 'test',
        }
        path = self.folder / f'{name}.json'
        path.write_bytes(msgspec.json.encode(config))
        return name, path

    def _add_member(self, name, port, pool):
        self.members.append(
            {
                'name': name,
                'address': f'127.0.0.1:{port}',
                'failure_domain': 'd1',
                'pool': pool,
            },
        )

    def _spawn(self, name, module, *arguments):
        self._spawn_module(name, f'anvilhall_standins.{module}', *arguments)

    def _spawn_module(self, name, module, *arguments):
        command = [sys.executable, '-m', module, *map(str, arguments)]
        with (self.folder / f'{name}.log').open('wb') as log:
            self.processes[name] = subprocess.Popen(
                command,
                stderr=subprocess.DEVNULL,
                stdout=log,
            )

    async def _retry(self, call):
        async with asyncio.timeout(START_TIMEOUT_S):
            while True:
                with contextlib.suppress(Exception):
                    return await self.client.fetch(call)
                await asyncio.sleep(0.05)
