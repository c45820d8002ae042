"""Instances of the project as processes, started as the deploy file says."""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import re
import shlex
import signal
import socket
import subprocess
import tempfile
import time
import tomllib

from harness.store import Store

ROOT = pathlib.Path(__file__).resolve().parents[2]
_PLACEHOLDER = re.compile(r'\{\{([\w.]+)(\|json)?\}\}')
_SETTINGS_PATH = '/etc/anvilhall/node.toml'
HOST = 'ficu95.example'
KEY = 'xd9dnn2ctnfzs989anu6'
START_S = 20


#: Ports below those that the system gives to outgoing connections: one that is
#: free when it is chosen is still free when an instance starts.
_PORTS = (12_000, 32_000)
_rng = random.SystemRandom()
_given = set()


def find_port():
    """Return a port of the loopback interface that is free, each once."""
    while True:
        port = _rng.randrange(*_PORTS)
        if port in _given:
            continue
        _given.add(port)
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind(('127.0.0.1', port))
            return port


def render(template, fields):
    """Fill in the placeholders of a template with the fields of a process."""

    def replace(match):
        value = fields
        for part in match[1].split('.'):
            value = value[int(part)] if isinstance(value, list) else value[part]
        return json.dumps(value) if match[2] else str(value)

    return _PLACEHOLDER.sub(replace, template)


def make_route(name, service, **fields):
    """Return a route of a manifest; its path prefix is its name."""
    return {
        'name': name,
        'host': HOST,
        'path_prefix': f'/{name}/',
        'kind': 'idempotent',
        'timeout_ms': 3000,
        'slo_ms': 300,
        'priority': 2,
        'service': service,
        'attempts': 1,
        'public': False,
        'sticky': False,
        'resumable': False,
        **fields,
    }


def make_manifest(version, routes, **fields):
    """Return a manifest for two services."""
    engine = {
        'slots': 64,
        'kv_tokens': 383611,
        'stride': 4,
        'models': [{'name': 'm'}],
    }
    plain = {'health_path': '/healthz', 'max_conns': 360, 'protocol': 'h1'}
    return {
        'version': version,
        'routes': routes,
        'services': [
            {'name': 'assist', **plain, 'engine': engine},
            {'name': 'ledger', **plain},
        ],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 4194304,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
        'tenants': [{'name': 'huka270', 'api_keys': [KEY]}],
        **fields,
    }


class Record:
    """Writes what happened to ``record.txt`` in the folder of a case."""

    def __init__(self, folder):
        self._file = open(folder / 'record.txt', 'w')
        self._start = time.monotonic()

    def note(self, *words):
        elapsed_s = time.monotonic() - self._start
        line = f'{elapsed_s:8.3f} ' + ' '.join(map(str, words))
        print(line, file=self._file, flush=True)


class Site:
    """The store and the instances of one deployment on loopback."""

    def __init__(self, record):
        self.record = record
        self.store = Store()
        self.instances = {}
        self._folder = tempfile.TemporaryDirectory(prefix='review-')
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        role = deploy['roles']['entry']
        self._command = shlex.split(role['run'])
        self._template = (ROOT / role['template']).read_text()

    async def start(self, manifest):
        await self.store.start()
        self.publish(manifest)

    def publish(self, manifest):
        self.store.put('keyed.op', 'config', json.dumps(manifest).encode())
        self.record.note('operator: manifest', manifest['version'], 'acknowledged')

    def add(self, name, zone='plovdiv-a', **bounds):
        """Configure an instance; :meth:`launch` starts it."""
        path = pathlib.Path(self._folder.name) / f'{name}.json'
        self.instances[name] = Instance(name, zone, bounds, path)
        self._configure(self.instances[name])
        return self.instances[name]

    def _configure(self, instance):
        """Choose the ports of an instance and write its settings."""
        instance.front, instance.ready, peers = (find_port() for _ in range(3))
        fields = {
            'node_name': instance.name,
            'zone': instance.zone,
            'region': 'plovdiv',
            'ip': '127.0.0.1',
            'port_range': [peers, peers + 15],
            'listen': {
                'front': f'127.0.0.1:{instance.front}',
                'ready': f'127.0.0.1:{instance.ready}',
            },
            'limits': {'cpu_share': 0.537, 'cores': 2},
            'provider': {'address': f'127.0.0.1:{self.store.port}'},
            'bounds': {
                'retry_budget_ratio': 0.2,
                'retry_slack': 54,
                'grace_s': 8,
                **instance.bounds,
            },
        }
        instance.settings.write_text(render(self._template, fields))

    def launch(self, name):
        """Start the process of an instance with the command of the deploy file."""
        instance = self.instances[name]
        command = [
            str(instance.settings) if word == _SETTINGS_PATH else word
            for word in self._command
        ]
        environment = {
            key: os.environ[key] for key in ('PATH', 'HOME') if key in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target/deps')
        environment['ANVILHALL_BOOT'] = str(instance.settings)
        log = open(instance.settings.with_suffix('.log'), 'ab')
        instance.process = subprocess.Popen(
            command, cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        self.record.note('platform: started', name)

    async def wait_ready(self, name):
        instance = self.instances[name]
        async with asyncio.timeout(START_S):
            while not await instance.is_ready():
                if instance.process.poll() is not None:
                    # Another program has taken one of its ports.
                    self.record.note('platform:', name, 'did not start; it gets other ports')
                    self._configure(instance)
                    self.launch(name)
                await asyncio.sleep(0.1)
        self.record.note('platform:', name, 'is ready')

    def read_log(self, name):
        return self.instances[name].settings.with_suffix('.log').read_text()

    def close(self):
        for instance in self.instances.values():
            process = instance.process
            if process and process.poll() is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                process.kill()
            if process:
                process.wait(10)
        self.store.close()
        self._folder.cleanup()


class Instance:
    """One instance: its ports, settings file and process."""

    def __init__(self, name, zone, bounds, settings):
        self.name = name
        self.zone = zone
        self.bounds = bounds
        self.settings = settings
        self.front = 0
        self.ready = 0
        self.process = None

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection('127.0.0.1', self.ready)
        except OSError:
            return False
        try:
            writer.write(b'GET /ready HTTP/1.1\r\nHost: x\r\n\r\n')
            line = await asyncio.wait_for(reader.readline(), 1)
        except (OSError, TimeoutError):
            return False
        finally:
            writer.close()
        return b' 200 ' in line
