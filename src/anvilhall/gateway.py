"""One entry instance on the users' platform: relays requests by route."""

import asyncio
import random

from tornado.httpserver import HTTPServer

from anvilhall.clock import Clock
from anvilhall.core.members import Member, MemberList
from anvilhall.core.messages import (
    Heartbeat,
    Message,
    RunnerNews,
    RunnersAsk,
    RunnersOffer,
    RunnersRead,
    SettingsAsk,
    SettingsOffer,
)
from anvilhall.core.owner import list_suspects, summarise
from anvilhall.core.retries import RetryBudgets
from anvilhall.core.routes import RequestLimits, RoutingSettings
from anvilhall.exceptions import PeerUnreachable
from anvilhall.feeds import InstancesFeed, RunnersFeed, SettingsFeed
from anvilhall.fleet import BuildLinks, Fleet
from anvilhall.links import Links
from anvilhall.local import LocalConfig, RelayConfig, split_address
from anvilhall.logs import note_change
from anvilhall.metrics import Metrics
from anvilhall.operators import Status, build_operator_app
from anvilhall.outbound import CurlOutbound, Outbound
from anvilhall.platform.headers import PlatformHeaders
from anvilhall.platform.store import StoreClient
from anvilhall.relay import RelayContext, RelayServer
from anvilhall.relayjobs import RelayServices
from anvilhall.tasks import Pace, TaskSet

#: Seconds between rounds of work that is due by time: while requests wait, a
#: fraction of the time within which owners must answer; else only to be sure.
_TICK_S = 0.025
_IDLE_TICK_S = 0.5
#: Seconds between looks at whether a shutdown is complete.
_DRAIN_POLL_S = 0.05


class Gateway:
    """One entry instance on the users' platform.

    :param config: settings of the process, with those of the relay.
    :param clock: source of time.
    :param outbound: sends all HTTP calls.
    """

    __slots__ = (
        '_config',
        '_fleet',
        '_instances',
        '_leaving',
        '_settings_feed',
        '_operators',
        '_pace',
        '_relay_config',
        '_runners',
        '_runners_feed',
        '_server',
        '_suspects',
        '_tasks',
        'context',
        'metrics',
    )

    def __init__(
        self,
        config: LocalConfig,
        relay_config: RelayConfig,
        clock: Clock,
        outbound: Outbound,
        build_links: BuildLinks = Links,
        chance: random.Random | None = None,
    ) -> None:
        """Build all parts; nothing runs yet."""
        self._config = config
        self._relay_config = relay_config
        #: Whether this instance is shutting down.
        self._leaving = False
        chance = chance or random.SystemRandom()
        self.metrics = Metrics()
        self._fleet = Fleet(
            config,
            clock,
            self.metrics,
            build_links,
            shares_registry=True,
        )
        self._pace = Pace()
        self._fleet.on_work = self._pace.wake
        self._fleet.broker.on_wait = self._pace.wake
        store = StoreClient(relay_config.store, outbound)
        self._settings_feed = SettingsFeed(
            store,
            clock,
            self.metrics,
            chance,
            self._apply_settings,
            self._reads_for_others,
        )
        self._runners: tuple[Member, ...] = ()
        self._runners_feed = RunnersFeed(
            config.region,
            store,
            clock,
            self.metrics,
            chance,
            self._apply_runners,
            self._fleet.tell_linked,
            self._reads_for_others,
        )
        self._instances = InstancesFeed(
            Member(
                name=config.instance,
                address=config.listen.peers,
                failure_domain=config.failure_domain,
                region=config.region,
                capacity=config.capacity,
            ),
            store,
            clock,
            self.metrics,
            chance,
            self._apply_instances,
            self._reads_for_others,
        )
        services = RelayServices(
            self._fleet.broker,
            outbound,
            PlatformHeaders(),
            clock,
            self.metrics,
            RetryBudgets(
                relay_config.retry_share,
                relay_config.retry_slack,
            ),
            chance,
        )
        self.context = RelayContext(
            services,
            self._get_settings,
            self._runners_feed.measure_age_s,
        )
        self._suspects: frozenset[tuple[str, str]] = frozenset()
        self._server = RelayServer(self.context, RequestLimits())
        self._operators: HTTPServer | None = None
        self._tasks = TaskSet(self.metrics)
        self._fleet.get_covers = self._get_version
        self._fleet.handle(Heartbeat, self._take_heartbeat)
        self._fleet.handle(SettingsAsk, self._take_ask)
        self._fleet.handle(SettingsOffer, self._take_offer)
        self._fleet.handle(RunnerNews, self._take_runner_news)
        self._fleet.handle(RunnersRead, self._take_runners_read)
        self._fleet.handle(RunnersAsk, self._take_runners_ask)
        self._fleet.handle(RunnersOffer, self._take_runners_offer)

    @classmethod
    def from_config(
        cls,
        config: LocalConfig,
        relay_config: RelayConfig,
        clock: Clock,
    ) -> 'Gateway':
        """Build an instance from the settings of its process."""
        return cls(config, relay_config, clock, CurlOutbound())

    @property
    def ready(self) -> bool:
        """Whether the balancer should send callers here."""
        return (
            not self._leaving
            and self._settings_feed.settings is not None
            and bool(self._runners)
        )

    @property
    def runners(self) -> tuple[Member, ...]:
        """Runners of all pools, as the store names them."""
        return self._runners

    async def start(self) -> None:
        """Listen and begin the periodic work."""
        await self._fleet.listen()
        listen = self._config.listen
        self._server.listen(listen.callers)
        host, port = split_address(listen.operators)
        self._operators = HTTPServer(
            build_operator_app(self, self.metrics, self.describe),
        )
        self._operators.listen(port, host)
        self._apply_instances(self._instances.members)
        self._tasks.spawn(self._settings_feed.run)
        self._tasks.spawn(self._runners_feed.run)
        self._tasks.spawn(self._instances.run)
        self._tasks.repeat(
            self._beat,
            self._config.timings.heartbeat_interval_s,
        )
        self._tasks.spawn(self._keep_ticking)
        note_change('started', instance=self._config.instance)

    async def stop(self) -> None:
        """End as the platform asks: nothing in flight is cut off.

        The balancer notices within seconds that this instance is not ready;
        until then it sends callers here, and they are served.
        """
        self._leaving = True
        note_change('draining', instance=self._config.instance)
        self._server.close_after_answers()
        self._fleet.leave()
        relay = self._relay_config
        await asyncio.sleep(relay.linger_s)
        self._server.stop()
        try:
            async with asyncio.timeout(relay.drain_s):
                await self._wait_drained()
        except TimeoutError:
            note_change('drain_timeout', open=self.context.open_requests)
        await self._server.close()
        self.close()
        note_change('stopped', instance=self._config.instance)

    def note_reload(self) -> None:
        """Note that the file of this process's settings has changed.

        What it holds is taken over at the next start: addresses and limits of
        a process do not change while it runs.
        """
        note_change('reload', instance=self._config.instance)

    def close(self) -> None:
        """Stop everything at once."""
        self._tasks.cancel()
        self._server.stop()
        if self._operators:
            self._operators.stop()
        self._fleet.close()

    def describe(self) -> Status:
        """Return what operators see of this instance."""
        return Status(
            instance=self._config.instance,
            failure_domain=self._config.failure_domain,
            ready=self.ready,
            draining=self._leaving,
            settings_version=self._settings_feed.version,
            settings_covers=self._settings_feed.version,
            teams={},
            open_requests=self.context.open_requests,
            live=self._fleet.live,
            linked=sorted(self._fleet.linked),
            owned=summarise(self._fleet.broker.owner),
            claims=0,
        )

    def _get_settings(self) -> RoutingSettings | None:
        return self._settings_feed.settings

    def _get_version(self) -> int:
        return self._settings_feed.version

    def _reads_for_others(self) -> bool:
        return self._fleet.reads_registry

    def _apply_settings(self, settings: RoutingSettings) -> None:
        self._server.set_limits(settings.limits)
        self._fleet.set_tree(settings.tree)
        self._fleet.announce()

    def _apply_runners(self, runners: tuple[Member, ...]) -> None:
        self._runners = runners
        self._set_list()

    def _apply_instances(self, instances: tuple[Member, ...]) -> None:
        self.context.services.budgets.instances = len(instances)
        self._set_list()

    def _set_list(self) -> None:
        members = (*self._instances.members, *self._runners)
        self._fleet.set_list(MemberList(members=members))

    async def _beat(self) -> None:
        self._fleet.beat()
        suspects = list_suspects(self._fleet.broker.owner)
        for pool, runner in sorted(suspects - self._suspects):
            note_change('runner_suspected', pool=pool, runner=runner)
        for trusted_pool, trusted in sorted(self._suspects - suspects):
            note_change('runner_trusted', pool=trusted_pool, runner=trusted)
        self._suspects = suspects

    async def _keep_ticking(self) -> None:
        while True:
            self._fleet.tick()
            if self._fleet.busy:
                await asyncio.sleep(_TICK_S)
            else:
                await self._pace.wait(_IDLE_TICK_S)

    async def _wait_drained(self) -> None:
        while self.context.open_requests:
            await asyncio.sleep(_DRAIN_POLL_S)

    def _take_heartbeat(self, sender: str, message: Message) -> None:
        assert isinstance(message, Heartbeat)  # noqa: S101
        if message.settings_covers > self._settings_feed.version:
            self._try_send(sender, SettingsAsk(self._settings_feed.version))

    def _take_ask(self, sender: str, message: Message) -> None:
        assert isinstance(message, SettingsAsk)  # noqa: S101
        settings = self._settings_feed.settings
        if settings and settings.version > message.covers:
            self._try_send(sender, SettingsOffer(settings.encoded))

    def _take_offer(self, sender: str, message: Message) -> None:
        assert isinstance(message, SettingsOffer)  # noqa: S101
        self._settings_feed.take(message.snapshot, sender)

    def _take_runner_news(self, sender: str, message: Message) -> None:
        assert isinstance(message, RunnerNews)  # noqa: S101
        self._runners_feed.take_news(message)

    def _take_runners_read(self, sender: str, message: Message) -> None:
        assert isinstance(message, RunnersRead)  # noqa: S101
        if not self._runners_feed.take_read(message):
            self._try_send(sender, RunnersAsk())

    def _take_runners_ask(self, sender: str, message: Message) -> None:
        assert isinstance(message, RunnersAsk)  # noqa: S101
        self._try_send(sender, self._runners_feed.build_offer())

    def _take_runners_offer(self, sender: str, message: Message) -> None:
        assert isinstance(message, RunnersOffer)  # noqa: S101
        self._runners_feed.take_offer(message)

    def _try_send(self, instance: str, message: Message) -> None:
        try:
            self._fleet.send(instance, message)
        except PeerUnreachable:
            # The next heartbeat brings the same exchange about again.
            self.metrics.link_messages.labels('out', 'unreachable').inc()
