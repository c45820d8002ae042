"""One entry instance: builds its components and runs its periodic tasks."""

import asyncio
import functools
import random

from tornado.httpserver import HTTPServer

from anvilhall import defaults
from anvilhall.answers import AnswerCache
from anvilhall.callers import CallerContext, build_caller_app
from anvilhall.claims import ClaimManager
from anvilhall.clock import Clock
from anvilhall.closing import CallerServer
from anvilhall.core.ledger import Ledger
from anvilhall.core.members import MemberList
from anvilhall.core.memory import compute_body_limit
from anvilhall.core.owner import summarise_shards
from anvilhall.core.settings import Fault, SettingsFaulty
from anvilhall.core.tree import Tree
from anvilhall.exceptions import PlatformError
from anvilhall.execution import Services
from anvilhall.faults import run_steps
from anvilhall.fleet import BuildLinks, Fleet
from anvilhall.follower import SettingsFollower
from anvilhall.gate import Gate
from anvilhall.links import Links
from anvilhall.local import LocalConfig, split_address
from anvilhall.logs import log_event
from anvilhall.logservice import LOG_CLIENTS, LogClient
from anvilhall.memberlist import (
    MEMBERSHIP_CLIENTS,
    MembershipClient,
)
from anvilhall.metrics import Metrics
from anvilhall.operators import Status, build_operator_app
from anvilhall.outbound import CurlOutbound, Outbound
from anvilhall.parsing import log_refusals
from anvilhall.tasks import TaskSet

#: Seconds between two ticks of the fleet.
_TICK_S = 0.05
#: Seconds between two checks whether a shutdown is complete.
_DRAIN_POLL_S = 0.05
#: Seconds for which the load balancer may still send requests after the
#: instance has stopped being ready.
_LINGER_S = 0.2
#: Seconds for the errors of requests that are cut to reach their callers.
_FLUSH_S = 0.1
#: Seconds for the connections of callers to close after that.
_CLOSE_S = 0.3
#: Body size above which the HTTP server closes the connection. Up to it, the
#: handler answers a body over the configured limit with a typed error.
_BODY_CEILING_BYTES = 1 << 30


class Dependencies:
    """The clock, clients and random source that an instance uses."""

    __slots__ = (
        'build_links',
        'clock',
        'log',
        'membership',
        'outbound',
        'rng',
    )

    def __init__(
        self,
        clock: Clock,
        outbound: Outbound,
        log: LogClient,
        membership: MembershipClient,
        build_links: BuildLinks = Links,
        rng: random.Random | None = None,
    ) -> None:
        """Store the dependencies.

        :param rng: source of random numbers; by default that of the system.
        """
        self.clock = clock
        self.outbound = outbound
        self.log = log
        self.membership = membership
        self.build_links = build_links
        self.rng = rng or random.SystemRandom()

    @classmethod
    def from_config(cls, config: LocalConfig, clock: Clock) -> 'Dependencies':
        """Build the dependencies that the process settings select."""
        outbound = CurlOutbound()
        platform = config.platform
        if platform is None:
            fault = Fault(path='platform', reason='missing')
            raise SettingsFaulty([fault])
        log = LOG_CLIENTS.get(platform.log_client)(platform.log_url, outbound)
        membership = MEMBERSHIP_CLIENTS.get(platform.membership_client)(
            platform.membership_url,
            outbound,
        )
        return cls(clock, outbound, log, membership)


class Instance:
    """One entry instance.

    :param config: settings of the process.
    :param dependencies: clock, clients and random source.
    """

    __slots__ = (
        '_callers',
        '_claims',
        '_config',
        '_fleet',
        '_follower',
        '_membership',
        '_operators',
        '_server',
        '_tasks',
        'answer_cache',
        'gate',
        'metrics',
        'services',
    )

    def __init__(self, config: LocalConfig, dependencies: Dependencies) -> None:
        """Build all components without starting them."""
        self._config = config
        clock = dependencies.clock
        self.metrics = Metrics()
        self._fleet = Fleet(
            config,
            clock,
            self.metrics,
            dependencies.build_links,
        )
        self._membership = dependencies.membership
        self._follower = SettingsFollower(
            dependencies.log,
            self._fleet,
            clock,
            config.timings,
            self.metrics,
            dependencies.rng,
        )
        self._follower.set_listener(self._apply_settings)
        self._claims = ClaimManager(
            config.instance,
            dependencies.log,
            Ledger(defaults.CLAIM_WINDOW_S),
            clock,
            config.timings,
            self.metrics,
            dependencies.rng,
        )
        self.answer_cache = AnswerCache(self._claims, self._fleet, clock)
        self.gate = Gate(self._get_tree, self.metrics)
        self.services = Services(
            self._fleet.broker,
            self._claims,
            dependencies.outbound,
            clock,
            self.metrics,
            dependencies.rng,
        )
        self._callers = CallerContext(
            self.gate,
            self.services,
            self.answer_cache,
            compute_body_limit(config.memory_mb),
        )
        log_refusals()
        self._server = CallerServer(
            build_caller_app(self._callers),
            max_header_size=defaults.HEADER_LIMIT_BYTES,
            max_body_size=_BODY_CEILING_BYTES,
        )
        self._operators = HTTPServer(
            build_operator_app(self.gate, self.metrics, self.describe),
            max_header_size=defaults.HEADER_LIMIT_BYTES,
            max_body_size=_BODY_CEILING_BYTES,
        )
        self._tasks = TaskSet(self.metrics)

    @classmethod
    def from_config(cls, config: LocalConfig, clock: Clock) -> 'Instance':
        """Build an instance from the process settings."""
        return cls(config, Dependencies.from_config(config, clock))

    async def start(self) -> None:
        """Listen and start the periodic tasks."""
        await self._fleet.listen()
        listen = self._config.listen
        _listen(self._server, listen.callers)
        _listen(self._operators, listen.operators)
        self.start_tasks()
        log_event('started', instance=self._config.instance)

    def start_tasks(self) -> None:
        """Start the periodic tasks."""
        timings = self._config.timings
        tasks = self._tasks
        tasks.spawn(self._follower.run)
        tasks.spawn(self._claims.run)
        tasks.repeat(self._read_members, timings.membership_interval_s)
        tasks.repeat(self._run_heartbeat, timings.heartbeat_interval_s)
        tasks.repeat(self._tick, _TICK_S)

    async def stop(self) -> None:
        """Refuse new requests, hand shards over, drain those in flight.

        No request is sent to a runner that could not end in time; what is open
        at the end gets an error.
        """
        self.gate.draining = True
        self._server.close_after_answers()
        log_event('draining', instance=self._config.instance)
        drain_s = self._config.timings.drain_timeout_s
        clock = self.services.clock
        self.services.shutdown.stop_at = clock.monotonic() + _LINGER_S + drain_s
        await asyncio.sleep(_LINGER_S)
        run_steps(self.metrics, self._fleet.leave)
        try:
            async with asyncio.timeout(drain_s):
                await self._wait_drained()
        except TimeoutError:
            log_event('drain_timeout', open=self.gate.open_requests)
            self._callers.shut_down()
            await asyncio.sleep(_FLUSH_S)
        await self._close_connections()
        self.close()
        log_event('stopped', instance=self._config.instance)

    def note_reload(self) -> None:
        """Log a reload signal; the process settings are read only at start."""
        log_event('reload', instance=self._config.instance)

    def close(self) -> None:
        """Stop all tasks, servers and links immediately."""
        self._tasks.cancel()
        self._server.stop()
        self._operators.stop()
        self._fleet.close()

    def describe(self) -> Status:
        """Return the status that operators see."""
        state = self._follower.state
        return Status(
            instance=self._config.instance,
            failure_domain=self._config.failure_domain,
            ready=self.gate.ready,
            draining=self.gate.draining,
            settings_version=state.version,
            settings_covers=state.covers,
            teams={team: part.version for team, part in state.teams.items()},
            open_requests=self.gate.open_requests,
            live=self._fleet.live,
            linked=sorted(self._fleet.linked),
            owned=summarise_shards(self._fleet.broker.owner),
            claims=len(self._claims.ledger),
            quarantined=self._fleet.broker.quarantine.list_parts(),
        )

    def _get_tree(self) -> Tree | None:
        if not self._follower.ready or not self._fleet.has_member_list:
            return None
        return self._follower.state.tree

    def _apply_settings(self) -> None:
        tree = self._follower.state.tree
        self._claims.ledger.window_s = tree.guards.claim_window_s
        self.services.retry_budget.share = tree.guards.retry_budget_share
        run_steps(
            self.metrics,
            functools.partial(self._fleet.set_tree, tree),
            self._fleet.announce_settings,
        )

    async def _read_members(self) -> None:
        try:
            members: MemberList = await self._membership.read()
        except PlatformError as error:
            self.metrics.platform_failures.labels(
                'membership',
                error.code,
            ).inc()
            return
        self._fleet.set_member_list(members)

    async def _run_heartbeat(self) -> None:
        self._fleet.run_heartbeat()

    async def _tick(self) -> None:
        self._fleet.tick()

    async def _close_connections(self) -> None:
        """Refuse the last requests of callers and close their connections."""
        # Connections that the kernel has accepted already are taken over first.
        await asyncio.sleep(0)
        self._server.stop()
        await self._server.refuse_last()
        if not await self._server.close_connections(_CLOSE_S):
            log_event('close_timeout', open=self.gate.open_requests)

    async def _wait_drained(self) -> None:
        while (
            self.gate.open_requests
            or self._callers.has_unsent
            or not self._claims.all_written
        ):
            await asyncio.sleep(_DRAIN_POLL_S)


def _listen(server: HTTPServer, address: str) -> None:
    host, port = split_address(address)
    server.listen(port, host)
