"""Entry instance of the relay, which routes requests by host and path."""

import asyncio
import functools
import random

import msgspec
from tornado.httpserver import HTTPServer

from anvilhall.clock import Clock
from anvilhall.core.hedging import Hedging
from anvilhall.core.members import Member, MemberList
from anvilhall.core.memory import compute_body_limit
from anvilhall.core.messages import (
    Heartbeat,
    Message,
    RunnerNews,
    RunnersAsk,
    RunnersOffer,
    RunnersRead,
    SettingsAsk,
    SettingsOffer,
    StreamsBegun,
)
from anvilhall.core.owner import list_suspect_runners, summarise_shards
from anvilhall.core.positions import Position
from anvilhall.core.retries import PoolRetryBudgets
from anvilhall.core.routes import (
    RequestLimits,
    RoutingSettings,
    decompress_settings,
)
from anvilhall.core.streams import Begun
from anvilhall.duties.base import DutyServices
from anvilhall.duties.runtime import DutyRuntime
from anvilhall.exceptions import PeerProtocolBroken, PeerUnreachable
from anvilhall.faults import run_steps
from anvilhall.feeds.instances import InstancesFeed, StoredState
from anvilhall.feeds.runners import RunnersFeed
from anvilhall.feeds.settings import SettingsFeed
from anvilhall.feeds.streams import StreamJournal
from anvilhall.feeds.writer import RecordWriter
from anvilhall.fleet import BuildLinks, Fleet
from anvilhall.identities import RunnerProcesses
from anvilhall.links import Links
from anvilhall.local import LocalConfig, RelayConfig, split_address
from anvilhall.logs import log_event
from anvilhall.metrics import Metrics
from anvilhall.operators import Status, build_operator_app
from anvilhall.origins import Origins
from anvilhall.outbound import CurlOutbound, Outbound
from anvilhall.platform.headers import PlatformHeaders
from anvilhall.platform.registration import encode_quarantine, encode_versions
from anvilhall.platform.store import StoreClient
from anvilhall.relay import RelayContext, RelayServer
from anvilhall.relayjobs import RelayServices
from anvilhall.tasks import TaskSet, WakeableTimer

#: Seconds between ticks of the fleet. While requests wait, this is a fraction
#: of the time within which an owner must answer; an idle instance ticks only as
#: a safeguard against a missed wake-up.
_TICK_S = 0.025
_IDLE_TICK_S = 0.5
#: Seconds between questions to the runners of streams that begin in doubt. A
#: runner that ends before its question leaves them unknown.
_CONFIRM_INTERVAL_S = 0.05
#: Seconds between checks for open requests during a shutdown.
_DRAIN_POLL_S = 0.05
#: Seconds before the platform kills the process at which the last answers end.
_STOP_MARGIN_S = 0.6
#: Seconds for the errors of requests that are cut to reach their callers.
_FLUSH_S = 0.1
#: Seconds for the connections to close after that. The platform kills the
#: process after ``_STOP_MARGIN_S``.
_CLOSE_S = 0.3


class Gateway:
    """Entry instance of the relay on the users' platform.

    :param config: settings of the process.
    :param relay_config: settings of the relay.
    :param clock: source of time.
    :param outbound: HTTP client for runners and the store.
    :param build_links: creates the links to other instances.
    :param rng: source of jitter; the operating system's if ``None``.
    """

    __slots__ = (
        '_clock',
        '_config',
        '_draining',
        '_duties',
        '_fleet',
        '_instances_feed',
        '_journal',
        '_operators',
        '_origins',
        '_relay_config',
        '_runners',
        '_runners_feed',
        '_server',
        '_settings_feed',
        '_suspects',
        '_tasks',
        '_tick_timer',
        '_writer',
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
        rng: random.Random | None = None,
    ) -> None:
        """Create all components without starting them."""
        self._clock = clock
        self._config = config
        self._relay_config = relay_config
        self._draining = False
        rng = rng or random.SystemRandom()
        self.metrics = Metrics()
        self._fleet = Fleet(
            config,
            clock,
            self.metrics,
            build_links,
            shares_registry=True,
        )
        self._tick_timer = WakeableTimer()
        self._fleet.on_work = self._tick_timer.wake
        self._fleet.broker.on_wait = self._tick_timer.wake
        store = StoreClient(relay_config.store, outbound)
        self._settings_feed = SettingsFeed(
            store,
            clock,
            self.metrics,
            rng,
            self._apply_settings,
            self._reads_registry,
        )
        self._runners: tuple[Member, ...] = ()
        self._runners_feed = RunnersFeed(
            config.region,
            store,
            clock,
            self.metrics,
            rng,
            self._apply_runners,
            self._notify_peers,
            self._reads_registry,
        )
        self._instances_feed = InstancesFeed(
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
            rng,
            self._apply_instances,
            self._apply_stored,
            self._reads_registry,
        )
        self._writer = RecordWriter(store, clock, self.metrics, rng)
        self._fleet.quarantine.on_decision = lambda entry: self._writer.put(
            encode_quarantine(entry)
        )
        self._journal = StreamJournal(
            store, clock, self.metrics, rng, self._forward_streams
        )
        dialect = PlatformHeaders()
        self._origins = Origins(
            clock,
            self.metrics,
            self._journal,
            self._runners_feed,
            self._instances_feed.discover,
            lambda pool, versions: self._writer.put(
                encode_versions(pool, versions)
            ),
            lambda pool: pool in self._fleet.broker.owner.pools,
            RunnerProcesses(
                outbound,
                dialect,
                self.metrics,
                self._runners_feed,
                self._settings_feed.states_start,
                clock,
            ),
        )
        services = RelayServices(
            self._fleet.broker,
            outbound,
            dialect,
            clock,
            self.metrics,
            PoolRetryBudgets(
                relay_config.retry_share,
                relay_config.retry_slack,
            ),
            rng,
            self._origins,
        )
        services.hedging = Hedging.from_settings(
            relay_config.hedge_share, relay_config.hedge_shares
        )
        self.context = RelayContext(
            services,
            lambda: self._settings_feed.settings,
            self._runners_feed.measure_age_s,
            compute_body_limit(config.memory_mb),
        )
        self._duties = DutyRuntime()
        if config.duties:
            duty_services = DutyServices(
                config,
                config.duties,
                self._fleet,
                clock,
                self.metrics,
                lambda: self._runners,
                lambda: self._settings_feed.settings,
            )
            self._duties = DutyRuntime.from_services(
                duty_services, store, outbound, rng
            )
            services.count_run = self._duties.count_run
        self._suspects: frozenset[tuple[str, str]] = frozenset()
        self._server = RelayServer(self.context, RequestLimits())
        self._operators: HTTPServer | None = None
        self._tasks = TaskSet(self.metrics)
        self._fleet.get_settings_position = self._get_settings_position
        self._fleet.add_handler(Heartbeat, self._handle_heartbeat)
        self._fleet.add_handler(SettingsAsk, self._handle_settings_ask)
        self._fleet.add_handler(SettingsOffer, self._handle_settings_offer)
        self._fleet.add_handler(RunnerNews, self._handle_runner_news)
        self._fleet.add_handler(RunnersRead, self._handle_runners_read)
        self._fleet.add_handler(RunnersAsk, self._handle_runners_ask)
        self._fleet.add_handler(RunnersOffer, self._handle_runners_offer)
        self._fleet.add_handler(StreamsBegun, self._journal.handle_begun)

    @classmethod
    def from_config(
        cls,
        config: LocalConfig,
        relay_config: RelayConfig,
        clock: Clock,
    ) -> 'Gateway':
        """Create a gateway that sends HTTP requests with libcurl."""
        return cls(config, relay_config, clock, CurlOutbound())

    @property
    def ready(self) -> bool:
        """Whether the load balancer should route callers to this instance."""
        return (
            not self._draining
            and self._settings_feed.settings is not None
            and bool(self._runners)
        )

    @property
    def runners(self) -> tuple[Member, ...]:
        """Runners of all pools that the store lists."""
        return self._runners

    async def start(self) -> None:
        """Open the listening sockets and start the background tasks."""
        await self._fleet.listen()
        listen = self._config.listen
        self._server.listen(listen.callers)
        host, port = split_address(listen.operators)
        self._operators = HTTPServer(
            build_operator_app(self, self.metrics, self.describe),
        )
        self._operators.listen(port, host)
        self._apply_instances(self._instances_feed.members)
        for feed in (
            self._settings_feed,
            self._runners_feed,
            self._instances_feed,
            self._writer,
            self._journal,
        ):
            self._tasks.spawn(feed.run)
        self._tasks.repeat(
            self._send_heartbeats,
            self._config.timings.heartbeat_interval_s,
        )
        self._duties.start(self._tasks)
        self._tasks.repeat(self._origins.confirm_doubted, _CONFIRM_INTERVAL_S)
        self._tasks.spawn(self._run_ticks)
        log_event('started', instance=self._config.instance)

    async def stop(self) -> None:
        """Shut down gracefully: requests in flight may complete.

        The load balancer takes seconds to notice that this instance is not
        ready. New requests are accepted for ``linger_s``. From the beginning,
        none is sent to a runner that could not end before the platform kills
        the process; what is open then gets an error.
        """
        self._draining = True
        log_event('draining', instance=self._config.instance)
        relay = self._relay_config
        stop_s = relay.grace_s - _STOP_MARGIN_S
        linger_s = min(relay.linger_s, stop_s / 2)
        now = self._clock.monotonic()
        self.context.services.shutdown.stop_at = now + stop_s
        self._server.close_after_answers()
        run_steps(self.metrics, self._duties.stop, self._fleet.leave)
        await asyncio.sleep(linger_s)
        # Connections that the kernel has accepted already are taken over first.
        await asyncio.sleep(0)
        self._server.stop()
        try:
            async with asyncio.timeout(stop_s - linger_s):
                await self._wait_drained()
        except TimeoutError:
            log_event('drain_timeout', open=self.context.open_requests)
            self._server.shut_down()
            await asyncio.sleep(_FLUSH_S)
        await self._server.close(_CLOSE_S)
        # What ran since the last update is counted by the others.
        run_steps(self.metrics, self._duties.update, self.close)
        log_event('stopped', instance=self._config.instance)

    def note_reload(self) -> None:
        """Log a reload request.

        The settings file is read at start only, because the addresses and
        limits of a process do not change while it runs.
        """
        log_event('reload', instance=self._config.instance)

    def close(self) -> None:
        """Stop at once, without waiting for open requests."""
        self._tasks.cancel()
        self._server.stop()
        self._server.close_idle()
        if self._operators:
            self._operators.stop()
        self._fleet.close()

    def describe(self) -> Status:
        """Return the status that the operators' interface serves."""
        term = self._duties.term
        return Status(
            instance=self._config.instance,
            failure_domain=self._config.failure_domain,
            ready=self.ready,
            draining=self._draining,
            settings_version=self._settings_feed.version,
            settings_covers=self._settings_feed.version,
            teams={},
            open_requests=self.context.open_requests,
            live=self._fleet.live,
            linked=sorted(self._fleet.linked),
            owned=summarise_shards(self._fleet.broker.owner),
            claims=0,
            quarantined=self._fleet.broker.quarantine.list_parts(),
            duty_holder=term.holder if term else '',
            duty_token=term.token if term else 0,
        )

    def _get_settings_position(self) -> Position:
        # The operator's versions order the settings in all eras of the store.
        return Position(0, self._settings_feed.version)

    def _reads_registry(self) -> bool:
        return self._fleet.registry_reader == self._config.instance

    def _apply_settings(self, settings: RoutingSettings) -> None:
        run_steps(
            self.metrics,
            functools.partial(self._server.set_limits, settings.limits),
            functools.partial(self._fleet.set_tree, settings.tree),
            functools.partial(self._origins.set_settings, settings),
            self._fleet.announce_settings,
        )

    def _apply_runners(self, runners: tuple[Member, ...]) -> None:
        self._runners = runners
        run_steps(
            self.metrics,
            functools.partial(_set_starts, self._origins, runners),
            self._update_members,
        )

    def _apply_instances(self, instances: tuple[Member, ...]) -> None:
        self.context.services.budgets.instances = len(instances)
        self._update_members()

    def _apply_stored(self, stored: StoredState) -> None:
        quarantine = self._fleet.quarantine
        quarantine.apply_stored(stored.quarantined)
        if stored.restored and self._reads_registry():
            for entry in quarantine.list_unstored(stored.quarantined):
                self._writer.put(encode_quarantine(entry))
        self._origins.apply_stored(stored.versions, restored=stored.restored)

    def _update_members(self) -> None:
        members = (*self._instances_feed.members, *self._runners)
        self._fleet.set_member_list(MemberList(members=members))

    async def _send_heartbeats(self) -> None:
        self._fleet.run_heartbeat()
        self._origins.update()
        self._origins.processes.note_beat()
        suspects = list_suspect_runners(self._fleet.broker.owner)
        for pool, runner in sorted(suspects - self._suspects):
            log_event('runner_suspected', pool=pool, runner=runner)
        for trusted_pool, trusted in sorted(self._suspects - suspects):
            log_event('runner_trusted', pool=trusted_pool, runner=trusted)
        self._suspects = suspects

    async def _run_ticks(self) -> None:
        while True:
            self._fleet.tick()
            if self._fleet.busy:
                await asyncio.sleep(_TICK_S)
            else:
                await self._tick_timer.wait(_IDLE_TICK_S)

    async def _wait_drained(self) -> None:
        while self.context.open_requests:
            await asyncio.sleep(_DRAIN_POLL_S)

    def _notify_peers(self, message: RunnerNews | RunnersRead) -> None:
        if isinstance(message, RunnersRead):
            self._instances_feed.note_era(message.era)
            message = msgspec.structs.replace(
                message,
                settings_version=self._settings_feed.polled_version,
            )
        self._fleet.broadcast(message)

    def _forward_streams(self, begun: Begun) -> str:
        """Send streams to the reader of this domain, if it is another one.

        :return: the reader; empty if it has no link.
        """
        reader = self._fleet.registry_reader
        if reader not in self._fleet.linked:
            return ''
        return reader if self._try_send(reader, StreamsBegun(begun)) else ''

    def _handle_heartbeat(self, sender: str, message: Message) -> None:
        assert isinstance(message, Heartbeat)  # noqa: S101
        self._ask_settings(sender, message.settings_covers)

    def _ask_settings(self, sender: str, version: int) -> None:
        if self._settings_feed.should_ask(version):
            self._try_send(sender, SettingsAsk(self._settings_feed.version))

    def _handle_settings_ask(self, sender: str, message: Message) -> None:
        assert isinstance(message, SettingsAsk)  # noqa: S101
        settings = self._settings_feed.settings
        if settings and settings.version > message.covers:
            self._try_send(sender, SettingsOffer(settings.compressed))

    def _handle_settings_offer(self, sender: str, message: Message) -> None:
        assert isinstance(message, SettingsOffer)  # noqa: S101
        try:
            encoded = decompress_settings(message.snapshot)
        except PeerProtocolBroken as error:
            log_event('settings_refused', source=sender, reason=error.reason)
            self.metrics.publications.labels(error.code).inc()
            return
        self._settings_feed.apply(encoded, sender)

    def _handle_runner_news(self, sender: str, message: Message) -> None:
        assert isinstance(message, RunnerNews)  # noqa: S101
        self._runners_feed.apply_news(message)

    def _handle_runners_read(self, sender: str, message: Message) -> None:
        assert isinstance(message, RunnersRead)  # noqa: S101
        self._instances_feed.note_era(message.era)
        if not self._runners_feed.compare_read(message):
            self._try_send(sender, RunnersAsk())
        self._settings_feed.note_peer_version(message.settings_version)
        self._ask_settings(sender, message.settings_version)

    def _handle_runners_ask(self, sender: str, message: Message) -> None:
        assert isinstance(message, RunnersAsk)  # noqa: S101
        self._try_send(sender, self._runners_feed.build_offer())

    def _handle_runners_offer(self, sender: str, message: Message) -> None:
        assert isinstance(message, RunnersOffer)  # noqa: S101
        self._runners_feed.apply_offer(message)

    def _try_send(self, instance: str, message: Message) -> bool:
        """Send a message and return whether the instance has a link."""
        try:
            self._fleet.send(instance, message)
        except PeerUnreachable:
            # The next heartbeat or notification starts the exchange again.
            self.metrics.link_messages.labels('out', 'unreachable').inc()
            return False
        return True


def _set_starts(origins: Origins, runners: tuple[Member, ...]) -> None:
    updates = origins.set_runners(runners)
    # What runners sent before is received in this iteration of the event loop
    # or the next one.
    loop = asyncio.get_running_loop()
    loop.call_soon(loop.call_soon, origins.note_received, updates)
