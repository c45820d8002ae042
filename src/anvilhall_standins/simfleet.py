"""Fleet of real instances on a simulated network, platform and upstreams."""

import asyncio
import datetime as dt
import random
from typing import Any

import msgspec

from anvilhall.core.members import Member
from anvilhall.core.policies import DEFAULT_POLICY
from anvilhall.core.publication import SETTINGS_STREAM, Publication
from anvilhall.exceptions import AnvilhallError
from anvilhall.execution import Execution
from anvilhall.instance import Dependencies, Instance
from anvilhall.jobs import ChatBody, Job
from anvilhall.local import Listen, LocalConfig, Platform, Timings
from anvilhall.outbound import Reply
from anvilhall_standins.modelrunner import (
    ModelRunner,
    RunnerModel,
    ServiceRunner,
)
from anvilhall_standins.simulation import (
    SimLog,
    SimMembership,
    SimNetwork,
    SimOutbound,
    build_links,
)
from anvilhall_standins.virtualloop import LoopClock, VirtualLoop

_UNUSED_ADDRESS = '127.0.0.1:0'


class CallRecord:
    """One request and its response as the caller sees them."""

    __slots__ = (
        'arrived_s',
        'class_name',
        'complete',
        'ended_s',
        'error',
        'event_times',
        'instance',
        'job',
        'reply',
        'runs',
        'task',
    )

    def __init__(self, job: Job, instance: str, arrived_s: float) -> None:
        """Create the record of a request that has no response yet."""
        self.job = job
        self.class_name = job.class_name
        self.instance = instance
        self.arrived_s = arrived_s
        self.ended_s = 0.0
        self.error: AnvilhallError | None = None
        self.reply: Reply | None = None
        self.runs: list[bytes] = []
        self.event_times: list[float] = []
        #: Whether the complete response was delivered.
        self.complete = False
        self.task: asyncio.Task[None] | None = None

    def write_events(self, run: bytes) -> None:
        """Record a batch of events and the time of its arrival."""
        self.runs.append(run)
        self.event_times.append(asyncio.get_running_loop().time())

    def write_reply(self, reply: Reply) -> None:
        """Record the complete response of a service."""
        self.reply = reply


class SimFleet:
    """Instances, platform services and upstreams on one virtual event loop.

    :param loop: event loop of all instances and simulated services.
    :param seed: seed of all random numbers.
    :param start: wall-clock time at virtual second 0.
    :param list_lag_s: lag of the membership list in seconds.
    :param policy: name of the scheduling policy of all instances.
    """

    __slots__ = (
        '_policy',
        '_sequence',
        '_timings',
        'clock',
        'instances',
        'log',
        'loop',
        'membership',
        'network',
        'outbound',
        'records',
        'runners',
        'seeded_rng',
        'services',
    )

    def __init__(
        self,
        loop: VirtualLoop,
        seed: int,
        start: dt.datetime,
        timings: Timings | None = None,
        list_lag_s: float = 1.0,
        policy: str = DEFAULT_POLICY,
    ) -> None:
        """Create a fleet without instances and upstreams."""
        self.loop = loop
        self.clock = LoopClock(loop, start)
        self.seeded_rng = random.Random(seed)
        self.network = SimNetwork(self.seeded_rng)
        self.log = SimLog(self.seeded_rng)
        self.membership = SimMembership(list_lag_s)
        self.outbound = SimOutbound({})
        self.instances: dict[str, Instance] = {}
        self.runners: dict[str, ModelRunner] = {}
        self.services: dict[str, ServiceRunner] = {}
        self.records: list[CallRecord] = []
        self._timings = timings or Timings()
        self._policy = policy
        self._sequence = 0

    def add_runner(
        self,
        name: str,
        pool: str,
        domain: str,
        model: RunnerModel,
    ) -> None:
        """Add a model engine and register it."""
        self.runners[name] = ModelRunner(model)
        self.outbound.upstreams[name] = self.runners[name]
        self.membership.put(Member(name, name, domain, pool))

    def add_service(
        self, name: str, pool: str, domain: str, slots: int
    ) -> None:
        """Add a plain service and register it."""
        self.services[name] = ServiceRunner(slots)
        self.outbound.upstreams[name] = self.services[name]
        self.membership.put(Member(name, name, domain, pool))

    def add_instance(self, name: str, domain: str) -> None:
        """Start an instance; no running instance may have the same name."""
        config = LocalConfig(
            instance=name,
            failure_domain=domain,
            listen=Listen(
                callers=_UNUSED_ADDRESS,
                peers=_UNUSED_ADDRESS,
                operators=_UNUSED_ADDRESS,
            ),
            platform=Platform(log_url='', membership_url=''),
            peer_key='',
            timings=self._timings,
            policy=self._policy,
        )
        dependencies = Dependencies(
            clock=self.clock,
            outbound=self.outbound,
            log=self.log.connect(name),
            membership=self.membership,
            build_links=build_links(self.network),
            rng=self.seeded_rng,
        )
        self.membership.put(Member(name, name, domain))
        instance = Instance(config, dependencies)
        self.instances[name] = instance
        instance.start_tasks()

    def crash_instance(self, name: str) -> None:
        """Stop an instance without a drain; its callers' requests fail."""
        instance = self.instances.pop(name)
        for record in self.records:
            if record.instance == name and record.task:
                record.task.cancel()
        instance.close()

    def publish(
        self,
        team: str,
        based_on: int,
        node: dict[str, Any],
    ) -> Publication:
        """Append one team's settings to the log, as an operator does."""
        self._sequence += 1
        publication = Publication(
            id=f'publication-{self._sequence}',
            team=team,
            based_on=based_on,
            node=node,
        )
        self.log.put(SETTINGS_STREAM, msgspec.to_builtins(publication))
        return publication

    def build_job(
        self,
        instance: str,
        class_name: str,
        account: str = 'ann',
        request_id: str = '',
    ) -> Job:
        """Build a job of a class from the settings in force at an instance."""
        tree = self.instances[instance].gate.tree
        self._sequence += 1
        job = Job(request_id or f'request-{self._sequence}', account)
        job.class_name = class_name
        job.settings = tree.classes[class_name]
        job.pool = tree.pools[job.settings.pool]
        job.deadline_at = self.clock.monotonic() + job.settings.deadline_s
        return job

    def submit(self, instance: str, job: Job) -> CallRecord:
        """Start a job on an instance and return the record of its response."""
        record = CallRecord(job, instance, self.clock.monotonic())
        self.records.append(record)
        work = self._run(record, self.instances[instance])
        record.task = self.loop.create_task(work)
        return record

    async def _run(self, record: CallRecord, instance: Instance) -> None:
        gate = instance.gate
        try:
            gate.admit()
        except AnvilhallError as error:
            record.error = error
            return
        try:
            await self._execute(record, instance)
        except AnvilhallError as error:
            record.error = error
        else:
            record.complete = True
        finally:
            gate.release()
            record.ended_s = self.clock.monotonic()

    async def _execute(self, record: CallRecord, instance: Instance) -> None:
        kept = await instance.answer_cache.find(record.job)
        if kept is None:
            execution = Execution(record.job, record, instance.services)
            with instance.answer_cache.track_running(record.job):
                await execution.run()


def attach_chat(job: Job, body: bytes) -> Job:
    """Set the chat-completions body of a job and return the job."""
    job.body = body
    job.chat = ChatBody.from_body(body)
    return job


def attach_call(job: Job, key: str, path: str) -> Job:
    """Make a job a call of a plain service and return the job."""
    job.key = key
    job.path = path
    job.body = b'{}'
    return job
