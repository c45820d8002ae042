"""Replays a trace on virtual time with the components of the daemon."""

import asyncio
import zlib
from collections.abc import Callable
from typing import Any

import msgspec

from anvilhall.core.policies import DEFAULT_POLICY, POLICIES
from anvilhall.core.settings import JsonObject
from anvilhall.core.tree import Tree
from anvilhall.jobs import Job
from anvilhall.registry import Registry
from anvilhall.replay.baselines import BASELINES
from anvilhall.replay.scores import ReplayScore, score_replay
from anvilhall.replay.traces import Trace, TraceEvent, TraceRequest
from anvilhall_standins.modelrunner import RunnerModel
from anvilhall_standins.simfleet import (
    CallRecord,
    SimFleet,
    attach_call,
    attach_chat,
)
from anvilhall_standins.virtualloop import VirtualLoop, run_virtual

#: Virtual seconds before the trace in which the instances connect.
WARM_UP_S = 5.0
#: Virtual seconds after the last arrival for open requests to end.
DRAIN_S = 400.0
_BYTES_PER_TOKEN = 4
#: ``max_tokens`` of every chat request.
_MAX_TOKENS = 4096
#: Bytes of JSON around the text of one message.
_MESSAGE_BYTES = 30


#: Applies a trace event of one kind to the fleet.
ApplyEvent = Callable[[SimFleet, TraceEvent], None]
EVENTS: Registry[ApplyEvent] = Registry('trace event')


@EVENTS.register('slow')
def slow_runner(fleet: SimFleet, event: TraceEvent) -> None:
    """Slow a runner down by a factor for a time."""
    runner = _find_runner(fleet, event)
    runner.slowdown = event.factor
    fleet.loop.call_later(event.for_s, setattr, runner, 'slowdown', 1.0)


@EVENTS.register('crash')
def crash_runner(fleet: SimFleet, event: TraceEvent) -> None:
    """Crash a runner; it restarts empty after a time."""
    runner = fleet.runners[event.runner]
    runner.crash()
    fleet.loop.call_later(event.for_s, setattr, runner, 'up', True)


@EVENTS.register('leave')
def leave_runner(fleet: SimFleet, event: TraceEvent) -> None:
    """Make a runner refuse new work; the member list drops it with a lag."""
    fleet.runners[event.runner].leaving = True
    fleet.membership.remove_after_lag(event.runner)


@EVENTS.register('hang_up')
def hang_up_caller(fleet: SimFleet, event: TraceEvent) -> None:
    """Cancel a request, as if its caller closed the connection."""
    for record in fleet.records:
        if record.job.request_id == event.id and record.task:
            record.task.cancel()


@EVENTS.register('log_out')
def stop_log(fleet: SimFleet, event: TraceEvent) -> None:
    """Make the log unavailable for a time."""
    fleet.log.unavailable = True
    fleet.loop.call_later(event.for_s, setattr, fleet.log, 'unavailable', False)


@EVENTS.register('entry_crash')
def crash_entry(fleet: SimFleet, event: TraceEvent) -> None:
    """Crash an entry instance."""
    fleet.crash_instance(f'entry-{event.entry}')


class Replay:
    """One run of a trace under one policy.

    :param settings: each team's part of the settings tree, by path.
    :param policy: name of a policy or of a baseline.
    :param seed: seed of all random numbers.
    """

    __slots__ = (
        '_fleet',
        '_loop',
        '_policy',
        '_records',
        '_settings',
        '_fillers',
        '_trace',
    )

    def __init__(
        self,
        trace: Trace,
        settings: JsonObject,
        policy: str,
        seed: int,
    ) -> None:
        """Build the fleet."""
        self._trace = trace
        self._settings = settings
        self._policy = policy
        self._loop = VirtualLoop()
        shard_policy = DEFAULT_POLICY if policy in BASELINES else policy
        POLICIES.get(shard_policy)
        self._fleet = SimFleet(
            self._loop,
            seed,
            trace.header.start,
            policy=shard_policy,
        )
        self._records: dict[str, CallRecord] = {}
        self._fillers: dict[int, str] = {}

    @property
    def records(self) -> dict[str, CallRecord]:
        """Requests with their responses, by identifier."""
        return self._records

    def run(self) -> ReplayScore:
        """Run the trace and score it."""
        run_virtual(self._loop, self._run_trace())
        return score_replay(
            self._trace,
            self._policy,
            list(self._records.values()),
            list(self._fleet.runners.values()),
            self._get_tree(),
        )

    async def _run_trace(self) -> None:
        self._add_runners()
        for team, node in sorted(self._settings.items()):
            self._fleet.publish(team, 0, node)
        domains = self._trace.header.failure_domains
        for index in range(self._trace.header.entry_instances):
            self._fleet.add_instance(
                f'entry-{index}',
                domains[index % len(domains)],
            )
        await asyncio.sleep(WARM_UP_S)
        self._install_baseline()
        started_at = self._loop.time()
        for event in self._trace.events:
            self._loop.call_at(
                started_at + event.at_s, self._apply_event, event
            )
        for request in sorted(self._trace.requests, key=_get_time):
            await asyncio.sleep(
                max(0, started_at + request.at_s - self._loop.time())
            )
            self._submit(request)
        await self._wait_until_done()

    def _add_runners(self) -> None:
        domains = self._trace.header.failure_domains
        for pool in self._trace.header.pools:
            for index in range(pool.runners):
                name = f'{pool.name}-{index}'
                domain = domains[index % len(domains)]
                if pool.kind == 'service':
                    self._fleet.add_service(name, pool.name, domain, pool.slots)
                    continue
                model = RunnerModel(
                    slots=pool.slots,
                    prefill_tokens_s=pool.prefill_tokens_s,
                    step_base_ms=pool.step_base_ms,
                    step_per_stream_ms=pool.step_per_stream_ms,
                    cache_tokens=pool.cache_tokens,
                )
                self._fleet.add_runner(name, pool.name, domain, model)

    def _install_baseline(self) -> None:
        if self._policy not in BASELINES:
            return
        build = BASELINES.get(self._policy)
        for instance in self._fleet.instances.values():
            baseline: Any = build(self._fleet, self._trace.header)
            instance.services.broker = baseline

    def _submit(self, request: TraceRequest) -> None:
        index = zlib.crc32(request.id.encode()) % (
            self._trace.header.entry_instances
        )
        name = f'entry-{index}'
        if name not in self._fleet.instances:
            names = sorted(self._fleet.instances)
            name = names[index % len(names)]
        job = self._fleet.build_job(
            name,
            request.class_name,
            request.account,
            request.id,
        )
        if request.deadline_s is not None:
            job.deadline_at = self._loop.time() + request.deadline_s
        self._attach_body(job, request)
        self._records[request.id] = self._fleet.submit(name, job)

    def _attach_body(self, job: Job, request: TraceRequest) -> None:
        if request.work_ms:
            attach_call(job, request.key, f'work/{request.work_ms}')
            return
        for runner in self._fleet.runners.values():
            runner.lengths[request.id] = request.output_tokens
        attach_chat(job, self._build_body(request))

    def _build_body(self, request: TraceRequest) -> bytes:
        messages = []
        own_tokens = request.prompt_tokens - request.prefix_tokens
        if request.prefix_tokens:
            shared = self._make_text(request.prefix, request.prefix_tokens)
            messages.append({'role': 'system', 'content': shared})
        text = self._make_text(request.id, own_tokens)
        messages.append({'role': 'user', 'content': text})
        return msgspec.json.encode(
            {
                'messages': messages,
                'max_tokens': _MAX_TOKENS,
                'stream': True,
            },
        )

    def _make_text(self, start: str, tokens: int) -> str:
        size = max(0, tokens * _BYTES_PER_TOKEN - _MESSAGE_BYTES - len(start))
        filler = self._fillers.setdefault(size, 'x' * size)
        return f'{start} {filler}'

    def _apply_event(self, event: TraceEvent) -> None:
        EVENTS.get(event.event)(self._fleet, event)

    async def _wait_until_done(self) -> None:
        tasks = [
            record.task for record in self._records.values() if record.task
        ]
        if tasks:
            await asyncio.wait(tasks, timeout=DRAIN_S)

    def _get_tree(self) -> Tree:
        return next(iter(self._fleet.instances.values())).gate.tree


def run_replay(
    trace: Trace,
    settings: JsonObject,
    policy: str = DEFAULT_POLICY,
    seed: int = 1,
) -> ReplayScore:
    """Replay a trace under a policy and return its score."""
    return Replay(trace, settings, policy, seed).run()


def _find_runner(fleet: SimFleet, event: TraceEvent) -> Any:
    return fleet.runners.get(event.runner) or fleet.services[event.runner]


def _get_time(request: TraceRequest) -> float:
    return request.at_s
