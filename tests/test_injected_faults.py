"""Faults in whatever a request calls or waits for on its way.

An exception, or a cancellation that is not the caller's, ends the request with
an answer, with an error that is true or, once the response has begun, with the
end of the connection; it leaves no state behind.
"""

import asyncio

import pytest

from anvilhall.attempts import RelayAttempt
from anvilhall.core.activity import RunnerActivity
from anvilhall.core.advertised import AdvertisedLimits
from anvilhall.core.broker import Broker
from anvilhall.core.retries import PoolRetryBudgets
from anvilhall.core.routes import RouteTable
from anvilhall.core.shutdown import Shutdown
from anvilhall.core.verification import Verification
from anvilhall.events import EventFramer
from anvilhall.grants import PendingGrant
from anvilhall.handover import Handover
from anvilhall.origins import Origins
from anvilhall.outbound import CurlOutbound
from anvilhall.platform.headers import PlatformHeaders
from anvilhall.relay import RelayContext, RelayRequest
from anvilhall.relaying import Relay
from anvilhall.relayjobs import RelayJob
from tests.rawcaller import RawCaller
from tests.site import HOST, KEY, run_site, wait_until

#: Seconds within which the request must end.
END_S = 1.0
EVENTS = 3
#: Kinds of request, by the path of their route; the last resumes a stream.
KINDS = {
    'lookup': (),
    'order': (),
    'brief': (),
    'chat': (),
    'resumed': ('Last-Event-Id: 1', 'Resumes: first'),
}
FAULTS = (RuntimeError, asyncio.CancelledError)
#: Functions that fail before they do their work.
BEFORE = (
    (Broker, 'ask'),
    (Broker, 'note_progress'),
    (CurlOutbound, 'stream'),
    (EventFramer, 'feed'),
    (Handover, 'start'),
    (Handover, 'note_progress'),
    (Origins, 'find'),
    (Origins, 'note_begun'),
    (PendingGrant, 'wait'),
    (PlatformHeaders, 'build_call'),
    (PlatformHeaders, 'read_request'),
    (PlatformHeaders, 'read_answer'),
    (PlatformHeaders, 'filter_response_headers'),
    (PoolRetryBudgets, 'note_first_attempt'),
    (Relay, 'run'),
    (Relay, 'build_ask'),
    (Relay, 'handle_chunk'),
    (RelayAttempt, '__init__'),
    (RelayAttempt, 'run'),
    (RelayAttempt, '_flush'),
    (Relay, '__init__'),
    (RelayContext, 'build_job'),
    (RelayJob, 'build_ask'),
    (RelayRequest, '_read_head'),
    (RelayRequest, '_start'),
    (RelayRequest, 'send_head'),
    (RelayRequest, 'write'),
    (RelayRequest, '_finish'),
    (RelayRequest, '_log_end'),
    (RouteTable, 'find'),
    (RunnerActivity, 'begin'),
    (RunnerActivity, 'end'),
    (RunnerActivity, 'note'),
    (RunnerActivity, 'note_begun'),
    (AdvertisedLimits, 'note'),
    (Shutdown, 'check'),
    (Shutdown, 'note_duration'),
    (Verification, 'refine'),
)
#: Functions that fail when their work is done.
AFTER = (
    (Broker, 'ask'),
    (Broker, 'release'),
    (CurlOutbound, 'stream'),
    (Handover, 'start'),
    (Handover, 'close'),
    (PendingGrant, 'wait'),
    (RelayAttempt, 'run'),
    (RelayContext, 'build_job'),
    (RelayRequest, '_start'),
    (RelayRequest, 'send_head'),
    (RelayRequest, 'write'),
    (RelayRequest, '_finish'),
)
#: Metrics that fail.
METRICS = (
    'bytes_relayed',
    'duration',
    'failures',
    'first_token',
    'grant_wait',
    'refusals',
    'requests',
)
POINTS = [
    *(('before', *point) for point in BEFORE),
    *(('after', *point) for point in AFTER),
]


def name_point(point):
    if isinstance(point, tuple):
        return f'{point[0]}-{point[1].__name__}.{point[2]}'
    return point


class Injection:
    """Fails one function in one call of each request.

    :param skipped: calls of a request that are let through.
    """

    def __init__(self, when, fault, skipped=0):
        self.when = when
        self.fault = fault
        self.left = skipped
        self.hits = 0

    def strike(self, when):
        if when != self.when:
            return
        self.left -= 1
        if self.left < 0:
            self.hits += 1
            raise self.fault('injected')

    def wrap(self, function):
        if asyncio.iscoroutinefunction(function):

            async def call(*arguments, **fields):
                self.strike('before')
                result = await function(*arguments, **fields)
                self.strike('after')
                return result
        else:

            def call(*arguments, **fields):
                self.strike('before')
                result = function(*arguments, **fields)
                self.strike('after')
                return result

        return call


class FaultyMetric:
    """A metric that fails whenever it is used."""

    def __init__(self, injection):
        self._injection = injection

    def _fail(self, *_):
        self._injection.strike('before')

    labels = inc = observe = set = _fail


@pytest.fixture
def handovers(monkeypatch):
    """Return the handovers that have been created."""
    created = []
    begin = Handover.__init__

    def note(self, *arguments):
        begin(self, *arguments)
        created.append(self)

    monkeypatch.setattr(Handover, '__init__', note)
    return created


async def _send(site, kind):
    """Send one request; return its identifier and what its caller gets."""
    site.sent = getattr(site, 'sent', 0) + 1
    request_id = f'{kind}-{site.sent}'
    path = 'chat' if kind == 'resumed' else kind
    caller = RawCaller(
        (
            f'POST /{path}/1 HTTP/1.1',
            f'Host: {HOST}',
            f'Anvilhall-Request-Id: {request_id}',
            f'Anvilhall-Credential: {KEY}',
            *KINDS[kind],
        ),
        b'body',
    )
    await caller.connect(site.ports['g1'])
    caller.send_head(4)
    async with asyncio.timeout(END_S):
        answer = await caller.read_answer()
    caller.close()
    return request_id, answer


def _has_run(site, request_id):
    return any(
        run.request_id == request_id
        for runner in site.runners.values()
        for run in runner.runs
    )


def _list_left(gateway):
    """Return what is left of the requests of a gateway."""
    broker = gateway.context.services.broker
    shards = [
        (pool, shard.running_count, shard.waiting_count)
        for owner in (broker.owner, broker.fallback.owner)
        for pool in ('desk', 'llm')
        if (shard := owner.get_shard(pool))
        and (shard.running_count or shard.waiting_count)
    ]
    left = [shards, broker.running_count, broker.busy, gateway.context.open]
    return [each for each in left if each]


def _list_observed(handovers):
    return [
        handover
        for handover in handovers
        if handover._pending
        or (handover._timer and not handover._timer.cancelled())
    ]


async def _check_all(injection, handovers, arm, kinds=KINDS):
    """Send a request of each kind while a function fails."""
    async with run_site(engines=2, events=EVENTS) as site:
        gateway = site.gateways['g1']
        for kind in kinds:
            with pytest.MonkeyPatch.context() as patch:
                arm(patch, gateway)
                request_id, answer = await _send(site, kind)
                if answer.whole and answer.status == 503:
                    assert not _has_run(site, request_id), kind
                if answer.status == 200 and answer.whole and kind == 'chat':
                    assert answer.body.count(b'data:') == EVENTS
                # The line on a request's end is written after its answer.
                await wait_until(lambda: not gateway.context.open)
            await wait_until(lambda: not _list_left(gateway))
        assert not _list_observed(handovers)
        # Nothing is left that keeps later requests from being served.
        for kind in KINDS:
            _, answer = await _send(site, kind)
            assert answer.status == 200, kind
            assert answer.whole, kind


# Guards against requests that get neither an answer nor a refusal, and slots
# that stay taken, after a fault or a cancellation on their way.
@pytest.mark.parametrize('fault', FAULTS)
@pytest.mark.parametrize('point', POINTS, ids=name_point)
def test_function_that_fails_leaves_no_request_unanswered(
    point, fault, handovers
):
    when, owner, name = point
    injection = Injection(when, fault)

    def arm(patch, _):
        injection.left = 0
        patch.setattr(owner, name, injection.wrap(getattr(owner, name)))

    asyncio.run(_check_all(injection, handovers, arm))
    assert injection.hits


# Guards against streams that lack events, or have no end, after a fault in the
# middle of them.
@pytest.mark.parametrize('fault', FAULTS)
@pytest.mark.parametrize(
    'point',
    [
        ('before', EventFramer, 'feed'),
        ('before', Origins, 'note_begun'),
        ('before', Relay, 'handle_chunk'),
        ('before', RelayRequest, 'write'),
        ('after', RelayRequest, 'write'),
        ('before', RunnerActivity, 'note'),
        ('before', Verification, 'refine'),
    ],
    ids=name_point,
)
def test_stream_that_fails_within_has_all_events_or_no_end(
    point, fault, handovers
):
    when, owner, name = point
    injection = Injection(when, fault)

    def arm(patch, _):
        injection.left = 1
        patch.setattr(owner, name, injection.wrap(getattr(owner, name)))

    kinds = ('brief', 'chat', 'resumed')
    asyncio.run(_check_all(injection, handovers, arm, kinds))


@pytest.mark.parametrize('metric', METRICS)
def test_metric_that_fails_leaves_no_request_unanswered(metric, handovers):
    injection = Injection('before', RuntimeError)

    def arm(patch, gateway):
        injection.left = 0
        patch.setattr(gateway.metrics, metric, FaultyMetric(injection))

    asyncio.run(_check_all(injection, handovers, arm))


# Guards against a cancelled request without a beginning, which never ends.
@pytest.mark.parametrize('stopping', [False, True])
def test_request_that_is_cut_before_its_task_begins_has_an_end(
    monkeypatch, stopping
):
    finish = RelayRequest.finish

    def cut_at_once(request):
        finish(request)
        if stopping:
            request.shut_down()
        else:
            request.on_connection_close()

    async def scenario():
        async with run_site() as site:
            gateway = site.gateways['g1']
            monkeypatch.setattr(RelayRequest, 'finish', cut_at_once)
            _, answer = await _send(site, 'order')
            assert answer.status == (503 if stopping else 0)
            assert not site.runners['desk-0'].runs
            await wait_until(lambda: not gateway.context.open)

    asyncio.run(scenario())


# Guards against a request whose caller gets no answer because of a fault
# before it is relayed.
@pytest.mark.parametrize('fault', FAULTS)
@pytest.mark.parametrize(
    ('owner', 'name'),
    [
        (PlatformHeaders, 'read_request'),
        (Relay, '__init__'),
        (RelayContext, 'build_job'),
        (RouteTable, 'find'),
    ],
)
def test_fault_before_the_relay_is_answered_and_counted(
    monkeypatch, owner, name, fault
):
    async def scenario():
        async with run_site() as site:
            gateway = site.gateways['g1']
            faults = gateway.metrics.internal_errors.labels(fault.__name__)
            injection = Injection('before', fault)
            monkeypatch.setattr(
                owner, name, injection.wrap(getattr(owner, name))
            )
            _, answer = await _send(site, 'order')
            assert answer.whole
            assert answer.status == (500 if fault is RuntimeError else 503)
            assert injection.hits == faults._value.get() == 1
            assert not gateway.context.open
            assert not site.runners['desk-0'].runs

    asyncio.run(scenario())
