"""A small deployment: gateways as the deploy file starts them, beside stand-ins.

Gateways are separate processes on loopback addresses. Their settings are
rendered from ``deploy/instance.json`` as the users' pages say.
"""

import asyncio
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

sys.path.insert(0, str(pathlib.Path(__file__).parent))

from standins import HEAD_END, Runner, Store  # noqa: E402

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = 'desk.example'
KEY = 'xd9dnn2ctnfzs989anu6'
TENANT = 'huka270'
LIMITS = {'max_header_bytes': 16384, 'max_body_bytes': 4194304, 'header_timeout_ms': 3000, 'idle_timeout_ms': 15000}
#: The deploy file runs ``python3`` from the caller's path.
_COMMAND = ('python3', '-m', 'anvilhall.daemon')
#: Ports for the gateways.
_PORTS = (18000, 32000)
_PLACEHOLDER = re.compile(r'\{\{([\w.]+)(\|json)?\}\}')


def is_troubled():
    """Return whether the script is to play the disruption."""
    return os.environ.get('TROUBLE', '1') != '0'


class Record:
    """Writes what was sent, answered and run into ``record.txt``."""

    def __init__(self, folder):
        self._began = time.monotonic()
        self._file = (pathlib.Path(folder) / 'record.txt').open('w')

    def note(self, word, **fields):
        """Write one line."""
        shown = ' '.join(f'{name}={text}' for name, text in fields.items())
        self._file.write(f'{time.monotonic() - self._began:8.3f} {word} {shown}\n')
        self._file.flush()


def find_ports(count):
    """Return free ports, which are different ones.

    They lie below the range from which the kernel takes those of outgoing
    connections, so that none of these takes one before a process listens.
    """
    ports = []
    while len(ports) < count:
        port = random.randrange(*_PORTS)
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind(('127.0.0.1', port))
            except OSError:
                continue
        if port not in ports:
            ports.append(port)
    return ports


def render(template, fields):
    """Fill in the plain placeholders of a template."""

    def fill(found):
        value = fields
        for name in found[1].split('.'):
            value = value[int(name)] if isinstance(value, list) else value.get(name) if value else None
        if found[2]:
            return json.dumps(value)
        return '' if value is None else str(value)

    return _PLACEHOLDER.sub(fill, template)


class Gateway:
    """One machine of the system with its process."""

    def __init__(self, name, zone, store, folder, record, memory_mb=150):
        front, ready, control, links = find_ports(4)
        self.name = name
        self.front = front
        self.process = None
        self._ready = ready
        self._folder = folder
        self._record = record
        fields = {
            'node_name': name, 'zone': zone, 'region': 'tx-central', 'ip': '127.0.0.1',
            'port_range': [links, links + 15],
            'listen': {'front': f'127.0.0.1:{front}', 'ready': f'127.0.0.1:{ready}', 'control': f'127.0.0.1:{control}'},
            'limits': {'cpu_share': 0.537, 'cores': 2, 'memory_mb': memory_mb},
            'provider': {'address': store},
            'bounds': {'retry_budget_ratio': 0.2, 'retry_slack': 58, 'grace_s': 8},
        }
        self._settings = folder / f'{name}.json'
        template = (ROOT / 'deploy/instance.json').read_text()
        self._settings.write_text(render(template, fields))
        duties = {name: None for name in ('api', 'names', 'calls_per_s', 'window_s', 'report_due_s')}
        self._environment = {
            'PATH': os.environ['PATH'], 'HOME': os.environ.get('HOME', '/tmp'), 'LANG': os.environ.get('LANG', 'C.UTF-8'),
            'PYTHONPATH': str(ROOT / 'target/deps'), 'ANVILHALL_BOOT': str(self._settings),
            'MEMORY_LIMIT_MB': str(memory_mb), 'DUTIES': json.dumps(duties), 'PYTHONDONTWRITEBYTECODE': '1',
        }

    def start(self):
        """Start the process, also again."""
        with (self._folder / f'{self.name}.log').open('ab') as log:
            self.process = subprocess.Popen(
                [*_COMMAND, str(self._settings)], cwd=ROOT, env=self._environment, stdout=log, stderr=subprocess.STDOUT
            )
        self._record.note('started', gateway=self.name, pid=self.process.pid)

    def send_signal(self, number):
        """Send a signal to the process."""
        self._record.note('signal', gateway=self.name, number=signal.Signals(number).name)
        self.process.send_signal(number)

    async def is_ready(self):
        """Return whether the process answers its readiness check with 200."""
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection('127.0.0.1', self._ready)
                writer.write(b'GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n')
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return b' 200 ' in line

    async def wait_ready(self, timeout_s=20):
        """Wait until the process is ready."""
        async with asyncio.timeout(timeout_s):
            while not await self.is_ready():
                await asyncio.sleep(0.05)

    def stop(self):
        """End the process at once if it still runs."""
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait(10)


class RunnerProcess:
    """A stand-in for a runner that runs as a process of its own."""

    def __init__(self, name, process, record):
        self.name = name
        self.address = ''
        self._process = process
        self._record = record
        self._said = asyncio.Queue()
        self._reader = asyncio.ensure_future(self._read())
        record.note('started', runner=name, pid=process.pid)

    async def _read(self):
        while line := (await self._process.stdout.readline()).decode().strip():
            word, _, shown = line.partition(' ')
            self._record.note(word, runner=self.name, what=shown)
            if word == 'listens':
                self.address = shown.partition('=')[2]
            await self._said.put(word)

    async def wait_for(self, word, timeout_s=10):
        """Wait until the process has said a word: ``waiting`` or ``listens``."""
        async with asyncio.timeout(timeout_s):
            while await self._said.get() != word:
                """It says other things, such as what it runs."""

    async def begin(self):
        """Have a successor take the port of the process before."""
        self._process.stdin.write(b'begin\n')
        await self._process.stdin.drain()
        await self.wait_for('listens')

    def send_signal(self, number):
        """Send a signal to the process."""
        self._record.note('signal', runner=self.name, number=signal.Signals(number).name)
        self._process.send_signal(number)

    async def stop(self):
        """End the process at once if it still runs."""
        if self._process.returncode is None:
            self._process.kill()
        await self._process.wait()
        self._reader.cancel()


class Deployment:
    """Store, runners and gateways of one script."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='anvilhall-case-'))
        self.store = Store()
        self.gateways = []
        self.runners = []
        self.processes = []

    async def __aenter__(self):
        await self.store.start()
        return self

    async def __aexit__(self, *_):
        for each in self.gateways:
            each.stop()
        for runner in self.processes:
            await runner.stop()
        if os.environ.get('KEEP_LOGS'):
            print('logs in', self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    async def publish(self, manifest):
        """Write a manifest as the operator does."""
        self.record.note('manifest', version=manifest['version'])
        await self.store.put('keyed.op', 'config', manifest)

    async def add_runner(self, name, service, zone='tx-central-a', kind=Runner, **options):
        """Start a runner."""
        runner = kind(name, service, zone, self.record.note, **options)
        await runner.start(self.store)
        self.runners.append(runner)
        return runner

    async def add_runner_process(self, name, service, zone='tx-central-a', *, events=0, event_s=0.1, unframed=True, port=0):
        """Start a runner as a process of its own and wait until it listens, or waits for the port."""
        process = await asyncio.create_subprocess_exec(
            sys.executable, str(pathlib.Path(__file__).parent / 'runner_process.py'), name, service, zone,
            self.store.address, str(events), str(event_s), str(int(unframed)), str(port),
            stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE,
        )
        runner = RunnerProcess(name, process, self.record)
        self.processes.append(runner)
        await runner.wait_for('waiting' if port else 'listens')
        return runner

    def add_gateway(self, name, zone='tx-central-a', **options):
        """Start a gateway."""
        gateway = Gateway(name, zone, self.store.address, self.folder, self.record, **options)
        self.gateways.append(gateway)
        gateway.start()
        return gateway

    async def wait_ready(self):
        """Wait until all gateways are ready and have found each other."""
        for each in self.gateways:
            await each.wait_ready()
        await asyncio.sleep(3)


def build_route(name, prefix, kind, service, **options):
    """Return one route of a manifest."""
    fields = {
        'name': name, 'host': HOST, 'path_prefix': prefix, 'kind': kind, 'timeout_ms': 1500, 'slo_ms': 400,
        'priority': 2, 'service': service, 'attempts': 1, 'public': False, 'sticky': False, 'resumable': False,
        'gap_aim_ms': 0,
    }
    return {**fields, **options}


def build_manifest(routes, version=7, services=(('desk', None),), limits=LIMITS):
    """Return a manifest."""
    listed = []
    for name, engine in services:
        service = {'name': name, 'health_path': '/healthz', 'max_conns': 310, 'protocol': 'h1', 'tls': False}
        if engine:
            service['engine'] = engine
        listed.append(service)
    return {
        'version': version, 'routes': list(routes), 'services': listed, 'limits': dict(limits),
        'tenants': [{'name': TENANT, 'api_keys': [KEY], 'priority': 1}],
    }


class Answer:
    """What a client has got on its channel."""

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b''
        #: Whether the answer has ended as its framing says.
        self.whole = False


async def read_answer(reader, method='GET'):
    """Read one answer; ``whole`` says whether it was complete."""
    answer = Answer()
    try:
        head = (await reader.readuntil(HEAD_END)).decode('latin-1').split('\r\n')
        answer.status = int(head[0].split()[1])
        for line in head[1:]:
            name, colon, text = line.partition(':')
            if colon:
                answer.headers[name.lower()] = text.strip()
        if method == 'HEAD' or answer.status in {204, 304}:
            pass
        elif 'chunked' in answer.headers.get('transfer-encoding', ''):
            while size := int(await reader.readuntil(b'\r\n'), 16):
                answer.body += (await reader.readexactly(size + 2))[:-2]
            await reader.readexactly(2)
        else:
            answer.body = await reader.readexactly(int(answer.headers.get('content-length', 0)))
        answer.whole = True
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        pass
    return answer


def build_request(request_id, path, method='GET', body=None, deadline_ms=1500, extra=()):
    """Return the bytes of a client's request."""
    lines = [
        f'{method} {path} HTTP/1.1', f'Host: {HOST}', f'Anvilhall-Request-Id: {request_id}',
        f'Anvilhall-Deadline-Ms: {deadline_ms}', f'Anvilhall-Credential: {KEY}', *extra,
    ]
    if body is not None:
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join((*lines, '', '')).encode() + (body or b'')


def finish(record, verdict, reason):
    """Write the verdict and end the script: 1 broken, 0 held, 2 could not run."""
    record.note('verdict', code=verdict, reason=repr(reason))
    print(f'verdict {verdict}: {reason}')
    sys.exit(verdict)
