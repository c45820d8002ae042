"""Changes of the settings while requests are under way.

A request that has arrived goes on to its end by the settings with which it was
accepted, or gets an error with a status: its connection is not just closed.
"""

import asyncio
import itertools
import socket

import msgspec
import pytest

from tests.rawcaller import RawCaller, run_some_at_once
from tests.site import (
    HOST,
    KEY,
    Site,
    make_manifest,
    make_route,
    run_site,
    wait_until,
)

EVENTS = 6
#: Connections that fill the queue of a socket that does not accept any.
FILLERS = 3
BODY = b'b' * 3000
#: Kinds of request by name, with the fields of their routes.
KINDS = {
    'lookup': {'kind': 'idempotent', 'attempts': 3},
    'order': {'kind': 'non_idempotent', 'attempts': 1},
    'brief': {'kind': 'streaming', 'attempts': 1},
    'chat': {'kind': 'streaming', 'resumable': True, 'attempts': 3},
}
STREAMING = ('brief', 'chat')
STAGES = {
    'body': KINDS,
    'queued': KINDS,
    'connecting': KINDS,
    'sent': KINDS,
    'streaming': STREAMING,
    'cut': ('chat',),
    'moved': ('lookup', 'chat'),
}
#: Seconds that runners work and pause between events: briskly, or silent for a
#: while that is not yet taken for a fault.
PACES = {'brisk': (0.4, 0.1), 'silent': (0.7, 0.3)}
#: Stages at which runners send the first event at once.
EARLY = ('streaming', 'cut', 'moved')
#: Seconds for which a busy runner is kept busy.
BUSY_S = 1.5
CELLS = [
    (stage, kind, pace)
    for stage, kinds in STAGES.items()
    for kind, pace in itertools.product(kinds, PACES)
]


def name_cell(cell):
    return '-'.join(cell)


def build_manifest():
    """Return settings with a route and a service for each cell."""
    routes = [
        make_route(
            name_cell(cell),
            service=name_cell(cell),
            timeout_ms=6000,
            slo_ms=4000,
            **KINDS[cell[1]],
        )
        for cell in CELLS
    ]
    engine = {'slots': 8, 'kv_tokens': 100_000, 'stride': 1}
    services = [
        {'name': name_cell(cell)}
        | ({'engine': engine} if cell[1] in STREAMING else {})
        for cell in CELLS
    ]
    return {
        'version': 1,
        'routes': routes,
        'services': [*services, {'name': 'other'}],
        'limits': {'max_body_bytes': 100_000, 'idle_timeout_ms': 15_000},
        'tenants': [{'name': 'ann', 'api_keys': [KEY]}],
    }


def change_nothing(manifest):
    """Publish a version that differs in its number only."""


def remove_routes(manifest):
    manifest['routes'] = []


def move_routes(manifest):
    for route in manifest['routes']:
        route['service'] = 'other'


def lower_timeouts(manifest):
    for route in manifest['routes']:
        route['timeout_ms'] = 50


def lower_attempts(manifest):
    for route in manifest['routes']:
        route['attempts'] = 1


def change_kinds(manifest):
    """Make streams plain, and what may be repeated or resumed not so."""
    for route in manifest['routes']:
        route['kind'] = 'non_idempotent'
        route['resumable'] = False


def make_streaming(manifest):
    for route in manifest['routes']:
        route['kind'] = 'streaming'


def remove_services(manifest):
    move_routes(manifest)
    manifest['services'] = [{'name': 'other'}]


def remove_tenants(manifest):
    manifest['tenants'] = []


def remove_keys(manifest):
    manifest['tenants'][0]['api_keys'] = ['another']


def lower_body_limit(manifest):
    manifest['limits']['max_body_bytes'] = 10


def lower_idle_timeout(manifest):
    manifest['limits']['idle_timeout_ms'] = 50


def change_all(manifest):
    remove_keys(manifest)
    lower_body_limit(manifest)
    lower_idle_timeout(manifest)
    lower_timeouts(manifest)
    change_kinds(manifest)
    remove_services(manifest)


def remove_all(manifest):
    """Leave neither routes nor services nor tenants."""
    remove_routes(manifest)
    remove_tenants(manifest)
    lower_idle_timeout(manifest)
    manifest['services'] = []


CHANGES = (
    change_nothing,
    remove_routes,
    move_routes,
    lower_timeouts,
    lower_attempts,
    change_kinds,
    make_streaming,
    remove_services,
    remove_tenants,
    remove_keys,
    lower_body_limit,
    lower_idle_timeout,
    change_all,
    remove_all,
)


class Cell:
    """One request at one stage, with the runners that serve it alone."""

    def __init__(self, site, cell):
        self._site = site
        self._name = name_cell(cell)
        self._stage, self._kind, self._pace = cell
        self._runners = []
        self._callers = []
        self._sockets = []

    async def prepare(self):
        """Start and register the runners."""
        for number in range(2 if self._stage in {'cut', 'moved'} else 1):
            await self._add_runner(number)

    async def occupy(self):
        """Leave no runner for the request, or one that it does not reach."""
        if self._stage in {'queued', 'connecting', 'moved'}:
            await self._keep_busy()
        if self._stage == 'connecting':
            await self._add_unreachable()

    async def open(self):
        """Bring the request to its stage."""
        for runner in self._runners:
            if not runner.runs:
                self._set_up(runner)
        request = await self._connect('request')
        request.send_head(100)
        if self._stage == 'body':
            return
        request.send_rest()
        if self._stage in {'sent', 'streaming', 'cut'}:
            await wait_until(lambda: self._count_runs() >= 1)
        if self._stage in {'streaming', 'cut'}:
            # The runner does not work before the first event.
            await asyncio.sleep(0.05)
        elif self._stage == 'moved':
            await wait_until(lambda: self._count_runs() >= 2)

    async def end(self):
        """Send what is left, read the answers and describe what is wrong.

        :return: empty if the answer is complete.
        """
        request = self._callers[-1]
        if self._stage == 'body':
            await request.send_slowly(4, 0.1)
        answers = [await caller.read_answer() for caller in self._callers]
        for opened in (*self._callers, *self._sockets):
            opened.close()
        events = answers[-1].body.count(b'data: event')
        served = answers[-1].whole and answers[-1].status == 200
        if served and events == self._count_events():
            return ''
        return f'{self._name}: {answers[-1]}'

    async def _add_runner(self, number):
        name = f'{self._name}-{number}'
        runner = await self._site.add_runner(
            name, self._name, self._count_events()
        )
        await self._site.register(name, self._name, slots=1)
        self._runners.append(runner)

    async def _add_unreachable(self):
        """Register a runner that accepts no connection."""
        name = f'{self._name}-unreachable'
        listener = socket.create_server(('127.0.0.1', 0), backlog=0)
        self._sockets.append(listener)
        address = listener.getsockname()
        for _ in range(FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(address)
            self._sockets.append(filler)
        entry = {'address': '{}:{}'.format(*address), 'slots': 1}
        self._site.runners[name] = self._runners[0]
        await self._site.register(name, self._name, **entry)
        gateway = self._site.gateways['g1']
        await wait_until(
            lambda: any(each.name == name for each in gateway.runners)
        )

    def _set_up(self, runner):
        work_s, runner.event_s = PACES[self._pace]
        runner.work_s = 0.0 if self._stage in EARLY else work_s
        if self._stage == 'cut':
            runner.cut_after = 2
        elif self._stage == 'moved' and runner.events:
            runner.cut_after = 1
        elif self._stage == 'moved':
            runner.behaviours.append('reset')

    async def _keep_busy(self):
        """Have a runner serve another request for a while."""
        for runner in self._runners:
            runner.work_s = BUSY_S
            runner.event_s = 0.01
        blocker = await self._connect('blocker')
        blocker.send_head()
        blocker.send_rest()
        await wait_until(lambda: self._count_runs() >= 1)

    async def _connect(self, role):
        lines = (
            f'POST /{self._name}/1 HTTP/1.1',
            f'Host: {HOST}',
            f'Anvilhall-Request-Id: {role}-{self._name}',
            'Anvilhall-Deadline-Ms: 6000',
            f'Anvilhall-Credential: {KEY}',
        )
        caller = RawCaller(lines, BODY)
        await caller.connect(self._site.ports['g1'])
        self._callers.append(caller)
        return caller

    def _count_runs(self):
        return sum(len(runner.runs) for runner in self._runners)

    def _count_events(self):
        return EVENTS if self._kind in STREAMING else 0


async def run_change(change):
    """Return what is wrong with the answers of all cells around a change."""
    site = Site()
    try:
        manifest = build_manifest()
        await site.publish(manifest)
        cells = [Cell(site, cell) for cell in CELLS]
        for cell in cells:
            await cell.prepare()
        gateway = await site.add_gateway('g1')
        await wait_until(lambda: len(gateway.runners) == len(site.runners))
        await asyncio.gather(*(cell.occupy() for cell in cells))
        await asyncio.gather(*(cell.open() for cell in cells))
        changed = msgspec.json.decode(msgspec.json.encode(manifest))
        change(changed)
        changed['version'] = 2
        await site.publish(changed)
        await wait_until(lambda: gateway.context.version == 2)
        faults = await asyncio.gather(*(cell.end() for cell in cells))
        return [fault for fault in faults if fault]
    finally:
        for runner in site.runners.values():
            runner.crash()
        await site.close()


@pytest.fixture(scope='module')
def faults():
    """Return what is wrong with the answers around each change."""
    return asyncio.run(run_some_at_once(run_change, CHANGES))


# Guards against a change of the settings that closes the connection of a
# request under way, refuses it or holds it until its deadline.
@pytest.mark.parametrize('change', CHANGES)
def test_request_under_way_is_served_despite_a_change(faults, change):
    assert faults[change] == []


def _build_order(number, body, *, chunked=False):
    lines = (
        'POST /order/1 HTTP/1.1',
        f'Host: {HOST}',
        f'Anvilhall-Request-Id: order-{number}',
        f'Anvilhall-Credential: {KEY}',
    )
    return RawCaller(lines, body, chunked=chunked)


# Guards against a connection that keeps the limit on bodies that was in force
# when its last request ended.
@pytest.mark.parametrize('chunked', [False, True])
def test_raised_body_limit_holds_on_an_open_connection(chunked):
    async def scenario():
        async with run_site() as site:
            caller = _build_order(1, b'small', chunked=chunked)
            await caller.connect(site.ports['g1'])
            caller.send_head()
            caller.send_rest()
            assert (await caller.read_answer()).status == 200
            manifest = make_manifest(2)
            manifest['limits']['max_body_bytes'] = 300_000
            await site.publish(manifest)
            gateway = site.gateways['g1']
            await wait_until(lambda: gateway.context.version == 2)
            larger = _build_order(2, bytes(200_000), chunked=chunked)
            larger.continue_on(caller)
            larger.send_head()
            larger.send_rest()
            assert (await larger.read_answer()).status == 200

    asyncio.run(scenario())
