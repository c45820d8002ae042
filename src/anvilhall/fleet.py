"""Connects an instance to its peers: membership, links, message dispatch."""

import functools
from collections.abc import Callable, Container, Iterable

import msgspec

from anvilhall import defaults
from anvilhall.clock import Clock
from anvilhall.core.broker import Broker
from anvilhall.core.directory import Directory
from anvilhall.core.domains import DomainView
from anvilhall.core.fallback import OwnerTimeouts
from anvilhall.core.members import Member, MemberList
from anvilhall.core.membership import DetectionTimeouts, Membership
from anvilhall.core.messages import (
    Ask,
    Grant,
    Heartbeat,
    HeldAsk,
    HeldList,
    Hello,
    Inventory,
    Message,
    News,
    Pause,
    Progress,
    QuarantineNews,
    Queued,
    Refusal,
    Release,
    RunnerLeaving,
)
from anvilhall.core.owner import RequesterMessage
from anvilhall.core.positions import UNREAD, Position
from anvilhall.core.retirement import Retirement
from anvilhall.core.tree import Tree
from anvilhall.exceptions import PeerUnreachable
from anvilhall.faults import report_internal_error, report_reclaimed
from anvilhall.links import SLOW_HEARTBEAT_FACTOR, LinkCallbacks, Links, LinkSet
from anvilhall.local import LocalConfig
from anvilhall.logs import log_event
from anvilhall.metrics import Metrics
from anvilhall.quarantining import QuarantineExchange
from anvilhall.readers import ReaderLinks

#: Handles messages of one kind, after the fleet's own handling of them.
Handler = Callable[[str, Message], None]
_MS_PER_S = 1000
#: Builds the link set from the configuration, a getter for the current
#: incarnation, the metrics and the link callbacks.
BuildLinks = Callable[
    [LocalConfig, Callable[[], int], Metrics, LinkCallbacks],
    LinkSet,
]


class Fleet:
    """Connects the membership view and the links to the grant broker.

    :param config: name, region and timings of this instance.
    :param clock: source of time.
    """

    __slots__ = (
        '_clock',
        '_config',
        '_directory',
        '_handlers',
        '_heartbeat_rounds',
        '_leaving',
        '_links',
        '_member_list',
        '_membership',
        '_metrics',
        '_peer_regions',
        '_redialled',
        '_retirement',
        '_shares_registry',
        '_stale',
        '_tree',
        '_unapplied',
        'broker',
        'domains',
        'get_settings_position',
        'list_registry_readers',
        'on_work',
        'quarantine',
        'readers',
    )

    def __init__(
        self,
        config: LocalConfig,
        clock: Clock,
        metrics: Metrics,
        build_links: BuildLinks = Links,
        *,
        shares_registry: bool = False,
    ) -> None:
        """Start without peers.

        :param shares_registry: whether one instance of each failure domain
            reads the runner registry on behalf of the others.
        """
        self._config = config
        self._shares_registry = shares_registry
        self._heartbeat_rounds = 0
        #: Lost instance that is being redialled; empty if there is none.
        self._redialled = ''
        #: Called when :meth:`tick` should run without waiting for its interval.
        self.on_work: Callable[[], None] = _do_nothing
        self._clock = clock
        self._metrics = metrics
        self._tree = Tree({})
        #: Settings that have not been applied whole yet.
        self._unapplied: Tree | None = None
        self._retirement = Retirement()
        #: Whether this instance is shutting down and gives up ownership.
        self._leaving = False
        self._member_list = MemberList(members=())
        #: Whether the live view or the member list changed since the last tick.
        self._stale = False
        self._handlers: dict[type[Message], Handler] = {}
        self._peer_regions = _PeerRegions(config.region)
        #: Returns the position of the last settings record applied.
        self.get_settings_position: Callable[[], Position] = _get_no_position
        self._directory = Directory(config.instance, config.region)
        #: Returns the instances that read the registry, by failure domain.
        self.list_registry_readers: Callable[[], dict[str, str]] = (
            self._directory.list_registry_readers
        )
        self.domains = DomainView(self._directory, config.failure_domain)
        self._membership = Membership(
            config.instance,
            int(clock.now().timestamp() * _MS_PER_S),
            DetectionTimeouts(
                suspect_after_s=config.timings.suspect_after_s,
                remove_after_s=config.timings.remove_after_s,
            ),
        )
        self._links = build_links(
            config,
            lambda: self._membership.incarnation,
            metrics,
            LinkCallbacks(
                self._handle_link_up,
                self._handle_link_down,
                self._handle_message,
                lambda name: self._membership.note_unlinked(
                    name, clock.monotonic()
                ),
            ),
        )
        self.broker = Broker(
            config.instance,
            clock,
            self._directory,
            self._send_request,
            self._try_send,
            config.policy,
            OwnerTimeouts(
                answer_timeout_s=config.timings.owner_answer_s,
                settling_s=config.timings.settling_s,
            ),
        )
        self.broker.outbox.on_error = functools.partial(
            report_internal_error, metrics
        )
        for owner in (self.broker.owner, self.broker.fallback.owner):
            owner.on_reclaim = functools.partial(report_reclaimed, metrics)
        self.quarantine = QuarantineExchange(
            config.instance,
            self.broker.quarantine,
            clock,
            metrics,
            self.broadcast,
            self._try_send,
        )
        self.readers = ReaderLinks(
            config.instance,
            self._directory,
            self._try_send,
            self._handle_message,
        )
        self.add_handler(QuarantineNews, self.quarantine.handle_news)
        notices = self.broker.notices
        notices.broadcast = self.broadcast
        notices.on_change = self._mark_stale
        self.add_handler(RunnerLeaving, notices.handle_leaving)

    @property
    def live(self) -> list[str]:
        """Live instances of the own region."""
        return self._directory.live

    @property
    def has_member_list(self) -> bool:
        """Whether the platform's member list has been read."""
        return bool(self._member_list.members)

    @property
    def linked(self) -> frozenset[str]:
        """Instances with an open link."""
        return self._links.names

    @property
    def busy(self) -> bool:
        """Whether :meth:`tick` has work now or may have some as time passes."""
        return self._stale or self.broker.busy

    @property
    def registry_reader(self) -> str:
        """Instance that reads the registry for this domain; empty: unknown."""
        return self.domains.reader

    def add_handler(self, kind: type[Message], handler: Handler) -> None:
        """Register the handler for a kind of message."""
        self._handlers[kind] = handler

    async def listen(self) -> None:
        """Start accepting links."""
        await self._links.listen()

    def send(self, instance: str, message: Message) -> None:
        """Send a message to an instance.

        :raises PeerUnreachable: if there is no link to it.
        """
        self._links.send(instance, message)

    def broadcast(self, message: Message) -> None:
        """Send a message to every linked instance."""
        for name in sorted(self._links.names):
            self._try_send(name, message)

    def set_tree(self, tree: Tree) -> None:
        """Apply changed settings.

        After a fault, :meth:`tick` applies them again.
        """
        self._unapplied = tree
        try:
            self._tree = self._retirement.extend(tree, self._clock.monotonic())
            self.broker.set_tree(self._tree)
            self._update_links()
        except BaseException:
            self._mark_stale()
            raise
        self._unapplied = None

    def set_member_list(self, member_list: MemberList) -> None:
        """Apply the platform's member list."""
        if member_list == self._member_list:
            return
        self._member_list = member_list
        self._directory.set_list(member_list)
        self.broker.limits.set_listed(member_list.members)
        self._membership.set_listed(
            self._directory.list_region_instances(),
            self._clock.monotonic(),
        )
        self._mark_stale()

    def run_heartbeat(self) -> None:
        """Send heartbeats and check the monitored instances for silence.

        Every :data:`SLOW_HEARTBEAT_FACTOR`-th round sends the heartbeat to all
        linked instances and redials a lost one.
        """
        receivers: Container[str] = self._membership.list_monitors()
        self._heartbeat_rounds += 1
        if self._heartbeat_rounds % SLOW_HEARTBEAT_FACTOR == 0:
            receivers = self._links.names
            self._redial_lost()
        self._links.send_heartbeat(self._build_heartbeat(), receivers)
        live = self._membership.live
        news = self._membership.check_timeouts(self._clock.monotonic())
        self._broadcast_news(news)
        self._links.close_silent(self._membership.list_monitored())
        for silent in self._peer_regions.pop_disconnected(
            self._clock.monotonic()
        ):
            self.broker.owner.drop_sender(silent)
        if live != self._membership.live:
            self._mark_stale()
        abandoned = self.broker.reclaim_abandoned()
        if abandoned:
            report_reclaimed(
                self._metrics, '', self._config.instance, abandoned
            )

    def announce_settings(self) -> None:
        """Send every linked instance the settings offset in a heartbeat now."""
        self._links.send_heartbeat(self._build_heartbeat(), self._links.names)

    def tick(self) -> None:
        """Apply the changes since the last tick once, then run the broker."""
        try:
            if self._stale:
                self._stale = False
                if self._unapplied:
                    self.set_tree(self._unapplied)
                self._apply_view()
        except BaseException:
            # The next tick applies the rest of the change.
            self._stale = True
            raise
        finally:
            # Requests must not outlast their limits because of the change.
            self.broker.tick()

    def leave(self) -> None:
        """Announce the shutdown and hand all shards over to live instances."""
        self._leaving = True
        # The next tick applies what fails here.
        self._mark_stale()
        try:
            self.broadcast(self._membership.leave())
        finally:
            self._apply_view()

    def close(self) -> None:
        """Close all links."""
        self._links.close()

    def _send_request(
        self,
        instance: str,
        message: RequesterMessage,
    ) -> None:
        if instance not in self._links.names:
            address = self._directory.get_address(instance)
            if address:
                self._links.add_peer(instance, address)
        self._links.send(instance, message)

    def _try_send(self, instance: str, message: Message) -> None:
        try:
            self._links.send(instance, message)
        except PeerUnreachable:
            # Not retried here: whatever is sent this way is sent again once a
            # link comes up.
            self._metrics.link_messages.labels('out', 'unreachable').inc()

    def _handle_link_up(self, hello: Hello) -> None:
        name = hello.instance
        self._peer_regions.note_up(name, hello.region)
        if hello.address:
            self._directory.update_member(
                Member(
                    name=name,
                    address=hello.address,
                    failure_domain=hello.failure_domain,
                    region=hello.region,
                    capacity=hello.capacity,
                ),
            )
        if hello.region == self._config.region:
            now = self._clock.monotonic()
            news = self._membership.note_alive(name, hello.incarnation, now)
            self._broadcast_news(news)
            for suspicion in self._membership.build_suspicions():
                self._try_send(name, suspicion)
            self._mark_stale()
        if self._leaving:
            # A peer that has just started missed the earlier announcement.
            self._broadcast_news([self._membership.leave()])
        self.quarantine.send_entries(name)
        self.broker.handle_link_up(name)

    def _handle_link_down(self, name: str) -> None:
        if name in self._links.names:
            return
        if self._membership.has_left(name):
            self.broker.owner.drop_sender(name)
        self.broker.handle_link_down(name)
        self._peer_regions.note_down(name, self._clock.monotonic())

    def _handle_message(self, sender: str, message: Message) -> None:
        self.broker.fallback.mark_responsive(sender)
        if isinstance(message, Ask | Progress | Release | Inventory | HeldList):
            self.broker.owner.handle(sender, message)
            if isinstance(message, Ask) and self.broker.owner.has_waiting:
                self.on_work()
        elif isinstance(message, Grant | Refusal | Queued | Pause | HeldAsk):
            self.broker.handle_answer(sender, message)
        elif isinstance(message, Heartbeat):
            self._handle_heartbeat(sender, message)
        elif isinstance(message, News):
            self._handle_news(message)
        handler = self._handlers.get(type(message))
        if handler:
            handler(sender, message)

    def _handle_heartbeat(self, sender: str, heartbeat: Heartbeat) -> None:
        if not self._peer_regions.is_local(sender):
            return
        now = self._clock.monotonic()
        was_live = self._membership.is_live(sender)
        news = self._membership.note_alive(sender, heartbeat.incarnation, now)
        self._broadcast_news(news)
        if not was_live and self._membership.is_live(sender):
            self._mark_stale()

    def _handle_news(self, news: News) -> None:
        if news.member and news.instance != self._config.instance:
            self._directory.update_member(news.member)
        fresh = self._membership.note_news(news, self._clock.monotonic())
        if fresh:
            self._broadcast_news(fresh)
            self._mark_stale()

    def _mark_stale(self) -> None:
        self._stale = True
        self.on_work()

    def _redial_lost(self) -> None:
        """Redial one lost instance per call, in rotation.

        Nothing else dials instances that count as dead, so this is how two
        sides of a network partition find each other again.
        """
        lost = self._membership.list_dead()
        if not lost and not self._redialled:
            return
        turn = self._heartbeat_rounds // SLOW_HEARTBEAT_FACTOR
        self._redialled = lost[turn % len(lost)] if lost else ''
        self._update_links()

    def _broadcast_news(self, news: Iterable[News]) -> None:
        for item in news:
            member = item.member or self._directory.find_member(item.instance)
            self.broadcast(msgspec.structs.replace(item, member=member))

    def _apply_view(self) -> None:
        live = self._membership.live
        if self._leaving and len(live) > 1:
            live.remove(self._config.instance)
        gone = set(self._directory.live) - set(live)
        if live != self._directory.live:
            log_event('view_changed', live=live)
        self._directory.set_live(live)
        for name in sorted(gone):
            # One that has left still drains its requests while it is linked.
            drains = self._membership.has_left(name) and name in self.linked
            if not drains:
                self.broker.owner.drop_sender(name)
        self._update_links()
        self.broker.refresh(self._tree)

    def _update_links(self) -> None:
        wanted = set(self._membership.list_linked())
        if self._redialled:
            wanted.add(self._redialled)
        if self._shares_registry:
            domain = self._config.failure_domain
            wanted.update(self._directory.list_reader_links(domain))
        for pool in self._tree.pools:
            wanted.update(self._directory.list_foreign_owners(pool)[:2])
            owner = self._directory.find_owner(pool)
            if owner and owner != self._config.instance:
                wanted.add(owner)
        addresses: dict[str, str] = {}
        for name in sorted(wanted):
            address = self._directory.get_address(name)
            if address:
                addresses[name] = address
        self._links.set_peers(addresses)

    def _build_heartbeat(self) -> Heartbeat:
        position = self.get_settings_position()
        return Heartbeat(
            incarnation=self._membership.incarnation,
            settings_covers=position.offset,
            settings_era=position.era,
        )


class _PeerRegions:
    """Regions of peers, and when links to other regions went down.

    :param region: region of this instance.
    """

    __slots__ = ('_down_at', '_region', '_regions')

    def __init__(self, region: str) -> None:
        self._region = region
        #: Regions of all instances that have had a link, by name.
        self._regions: dict[str, str] = {}
        #: When the last link to an instance of another region went down.
        self._down_at: dict[str, float] = {}

    def is_local(self, name: str) -> bool:
        """Return whether an instance belongs to the own region."""
        return self._regions.get(name) == self._region

    def note_up(self, name: str, region: str) -> None:
        self._regions[name] = region
        self._down_at.pop(name, None)

    def note_down(self, name: str, now: float) -> None:
        if not self.is_local(name):
            self._down_at[name] = now

    def pop_disconnected(self, now: float) -> list[str]:
        """Return instances of other regions whose grants are to be released.

        They have had no link for :data:`defaults.REMOTE_GRANT_TIMEOUT_S`; the
        membership view covers the own region only.
        """
        cutoff = now - defaults.REMOTE_GRANT_TIMEOUT_S
        names = [
            name for name, down_at in self._down_at.items() if down_at < cutoff
        ]
        for name in names:
            self._down_at.pop(name)
        return names


def _do_nothing() -> None:
    """Do nothing."""


def _get_no_position() -> Position:
    return UNREAD
