"""Several real instances on the simulated network, platform and upstreams."""

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

_NOWHERE = '127.0.0.1:0'


class CallRecord:
    """One caller's request as its caller sees it."""

    __slots__ = (
        'arrived_s',
        'class_name',
        'ended_s',
        'error',
        'event_times',
        'instance',
        'job',
        'reply',
        'runs',
        'task',
        'whole',
    )

    def __init__(self, job: Job, instance: str, arrived_s: float) -> None:
        """Start without an answer."""
        self.job = job
        self.class_name = job.class_name
        self.instance = instance
        self.arrived_s = arrived_s
        self.ended_s = 0.0
        self.error: AnvilhallError | None = None
        self.reply: Reply | None = None
        self.runs: list[bytes] = []
        self.event_times: list[float] = []
        #: Whether the whole answer was delivered.
        self.whole = False
        self.task: asyncio.Task[None] | None = None

    def write_events(self, run: bytes) -> None:
        """Take a run of events."""
        self.runs.append(run)
        self.event_times.append(asyncio.get_running_loop().time())

    def write_reply(self, reply: Reply) -> None:
        """Take the whole response of a service."""
        self.reply = reply


class SimFleet:
    """Instances, platform and upstreams.

    :param loop: virtual loop that everything runs on.
    :param seed: of all chance.
    """

    __slots__ = (
        '_policy',
        '_sequence',
        '_timings',
        'chance',
        'clock',
        'instances',
        'log',
        'loop',
        'membership',
        'network',
        'outbound',
        'records',
        'runners',
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
        """Start empty."""
        self.loop = loop
        self.clock = LoopClock(loop, start)
        self.chance = random.Random(seed)
        self.network = SimNetwork(self.chance)
        self.log = SimLog(self.chance)
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
        """Add a model engine."""
        self.runners[name] = ModelRunner(model)
        self.outbound.upstreams[name] = self.runners[name]
        self.membership.put(Member(name, name, domain, pool))

    def add_service(
        self, name: str, pool: str, domain: str, slots: int
    ) -> None:
        """Add a plain service."""
        self.services[name] = ServiceRunner(slots)
        self.outbound.upstreams[name] = self.services[name]
        self.membership.put(Member(name, name, domain, pool))

    def add_instance(self, name: str, domain: str) -> None:
        """Start an instance; one of the same name must be gone."""
        config = LocalConfig(
            instance=name,
            failure_domain=domain,
            listen=Listen(
                callers=_NOWHERE,
                peers=_NOWHERE,
                operators=_NOWHERE,
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
            rng=self.chance,
        )
        self.membership.put(Member(name, name, domain))
        instance = Instance(config, dependencies)
        self.instances[name] = instance
        instance.start_tasks()

    def crash_instance(self, name: str) -> None:
        """End an instance at once; its callers' connections break."""
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
        """Publish one team's settings, as an operator does."""
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
        """Return a job of a class, as the settings in force say."""
        tree = self.instances[instance].gate.tree
        self._sequence += 1
        job = Job(request_id or f'request-{self._sequence}', account)
        job.class_name = class_name
        job.settings = tree.classes[class_name]
        job.pool = tree.pools[job.settings.pool]
        job.deadline_at = self.clock.monotonic() + job.settings.deadline_s
        return job

    def submit(self, instance: str, job: Job) -> CallRecord:
        """Let an instance run a job."""
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
            await self._answer(record, instance)
        except AnvilhallError as error:
            record.error = error
        else:
            record.whole = True
        finally:
            gate.release()
            record.ended_s = self.clock.monotonic()

    async def _answer(self, record: CallRecord, instance: Instance) -> None:
        kept = await instance.answer_cache.find(record.job)
        if kept is None:
            execution = Execution(record.job, record, instance.services)
            with instance.answer_cache.track_running(record.job):
                await execution.run()


def attach_chat(job: Job, body: bytes) -> Job:
    """Give a job a chat-completions body."""
    job.body = body
    job.chat = ChatBody.from_body(body)
    return job


def attach_call(job: Job, key: str, path: str) -> Job:
    """Give a job a call of a plain service."""
    job.key = key
    job.path = path
    job.body = b'{}'
    return job
