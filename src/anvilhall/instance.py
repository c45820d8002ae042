"""One entry instance: everything joined, and its periodic work."""

import asyncio
import random

from tornado.httpserver import HTTPServer
from tornado.web import Application

from anvilhall import defaults
from anvilhall.answers import AnswerCache
from anvilhall.callers import CallerContext, build_caller_app
from anvilhall.claims import ClaimKeeper
from anvilhall.clock import Clock
from anvilhall.core.ledger import Ledger
from anvilhall.core.members import MemberList
from anvilhall.core.owner import summarise
from anvilhall.core.settings import Fault, SettingsFaulty
from anvilhall.core.tree import Tree
from anvilhall.exceptions import PlatformError
from anvilhall.execution import Services
from anvilhall.fleet import BuildLinks, Fleet
from anvilhall.follower import SettingsFollower
from anvilhall.gate import Gate
from anvilhall.links import Links
from anvilhall.local import LocalConfig, split_address
from anvilhall.logs import note_change
from anvilhall.logservice import LOG_CLIENTS, LogClient
from anvilhall.memberlist import (
    MEMBERSHIP_CLIENTS,
    MembershipClient,
)
from anvilhall.metrics import Metrics
from anvilhall.operators import Status, build_operator_app
from anvilhall.outbound import CurlOutbound, Outbound
from anvilhall.tasks import TaskSet

#: Seconds between rounds of work that is due by time.
_TICK_S = 0.05
#: Seconds between looks at whether a shutdown is complete.
_DRAIN_POLL_S = 0.05
#: Seconds for which the balancer may still send requests after readiness fell.
_LINGER_S = 0.2


class Surroundings:
    """What an instance reaches the outside through."""

    __slots__ = (
        'build_links',
        'chance',
        'clock',
        'log',
        'membership',
        'outbound',
    )

    def __init__(
        self,
        clock: Clock,
        outbound: Outbound,
        log: LogClient,
        membership: MembershipClient,
        build_links: BuildLinks = Links,
        chance: random.Random | None = None,
    ) -> None:
        """Bundle them."""
        self.clock = clock
        self.outbound = outbound
        self.log = log
        self.membership = membership
        self.build_links = build_links
        self.chance = chance or random.SystemRandom()

    @classmethod
    def from_config(cls, config: LocalConfig, clock: Clock) -> 'Surroundings':
        """Build what the settings of the process name."""
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
    :param surroundings: clock, client and platform.
    """

    __slots__ = (
        '_claims',
        '_config',
        '_fleet',
        '_follower',
        '_membership',
        '_servers',
        '_tasks',
        'gate',
        'metrics',
        'services',
        'shelf',
    )

    def __init__(self, config: LocalConfig, surroundings: Surroundings) -> None:
        """Build all parts; nothing runs yet."""
        self._config = config
        clock = surroundings.clock
        self.metrics = Metrics()
        self._fleet = Fleet(
            config,
            clock,
            self.metrics,
            surroundings.build_links,
        )
        self._membership = surroundings.membership
        self._follower = SettingsFollower(
            surroundings.log,
            self._fleet,
            clock,
            config.timings,
            self.metrics,
        )
        self._follower.set_listener(self._apply_settings)
        self._claims = ClaimKeeper(
            config.instance,
            surroundings.log,
            Ledger(defaults.CLAIM_WINDOW_S),
            clock,
            config.timings,
            self.metrics,
            surroundings.chance,
        )
        self.shelf = AnswerCache(self._claims, self._fleet)
        self.gate = Gate(self._get_tree, self.metrics)
        self.services = Services(
            self._fleet.broker,
            self._claims,
            surroundings.outbound,
            clock,
            self.metrics,
            surroundings.chance,
        )
        self._servers: list[HTTPServer] = []
        self._tasks = TaskSet(self.metrics)

    @classmethod
    def from_config(cls, config: LocalConfig, clock: Clock) -> 'Instance':
        """Build an instance from the settings of its process."""
        return cls(config, Surroundings.from_config(config, clock))

    async def start(self) -> None:
        """Listen and begin the periodic work."""
        await self._fleet.listen()
        context = CallerContext(self.gate, self.services, self.shelf)
        listen = self._config.listen
        self._serve(build_caller_app(context), listen.callers)
        self._serve(
            build_operator_app(self.gate, self.metrics, self.describe),
            listen.operators,
        )
        self.start_work()
        note_change('started', instance=self._config.instance)

    def start_work(self) -> None:
        """Begin the periodic work."""
        timings = self._config.timings
        tasks = self._tasks
        tasks.spawn(self._follower.run)
        tasks.spawn(self._claims.run)
        tasks.repeat(self._read_list, timings.membership_interval_s)
        tasks.repeat(self._beat, timings.heartbeat_interval_s)
        tasks.repeat(self._tick, _TICK_S)

    async def stop(self) -> None:
        """Refuse new requests, end those in flight, hand ownership on."""
        self.gate.draining = True
        note_change('draining', instance=self._config.instance)
        await asyncio.sleep(_LINGER_S)
        self._fleet.leave()
        try:
            async with asyncio.timeout(self._config.timings.drain_timeout_s):
                await self._wait_drained()
        except TimeoutError:
            note_change('drain_timeout', open=self.gate.open_requests)
        self.close()
        note_change('stopped', instance=self._config.instance)

    def note_reload(self) -> None:
        """Note that the file of this process's settings has changed."""
        note_change('reload', instance=self._config.instance)

    def close(self) -> None:
        """Stop everything at once."""
        self._tasks.cancel()
        for server in self._servers:
            server.stop()
        self._fleet.close()

    def describe(self) -> Status:
        """Return what operators see of this instance."""
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
            owned=summarise(self._fleet.broker.owner),
            claims=len(self._claims.ledger),
        )

    def _get_tree(self) -> Tree | None:
        if not self._follower.ready or not self._fleet.has_list:
            return None
        return self._follower.state.tree

    def _apply_settings(self) -> None:
        tree = self._follower.state.tree
        self._claims.ledger.window_s = tree.guards.claim_window_s
        self.services.budget.share = tree.guards.retry_budget_share
        self._fleet.set_tree(tree)
        self._fleet.announce()

    async def _read_list(self) -> None:
        try:
            listed: MemberList = await self._membership.read()
        except PlatformError as error:
            self.metrics.platform_failures.labels(
                'membership',
                error.code,
            ).inc()
            return
        self._fleet.set_list(listed)

    async def _beat(self) -> None:
        self._fleet.beat()

    async def _tick(self) -> None:
        self._fleet.tick()

    async def _wait_drained(self) -> None:
        while self.gate.open_requests or not self._claims.settled:
            await asyncio.sleep(_DRAIN_POLL_S)

    def _serve(self, application: Application, address: str) -> None:
        host, port = split_address(address)
        server = HTTPServer(
            application,
            max_header_size=defaults.HEADER_LIMIT_BYTES,
            max_body_size=_BODY_CEILING_BYTES,
        )
        server.listen(port, host)
        self._servers.append(server)


#: Body size beyond which the server itself closes the connection; below it
#: the handler answers with a typed error.
_BODY_CEILING_BYTES = 1 << 30
