"""This instance among the others: membership, links and message routing."""

from collections.abc import Callable, Container, Iterable

import msgspec

from anvilhall import defaults
from anvilhall.clock import Clock
from anvilhall.core.broker import Broker
from anvilhall.core.directory import Directory
from anvilhall.core.fallback import Patience
from anvilhall.core.members import Member, MemberList
from anvilhall.core.membership import Membership, Watch
from anvilhall.core.messages import (
    Ask,
    Grant,
    Heartbeat,
    Hello,
    Inventory,
    Message,
    News,
    Pause,
    Progress,
    Queued,
    Refusal,
    Release,
)
from anvilhall.core.tree import Tree
from anvilhall.exceptions import PeerUnreachable
from anvilhall.links import SLOW_BEATS, LinkEvents, Links, LinkSet
from anvilhall.local import LocalConfig
from anvilhall.logs import log_event
from anvilhall.metrics import Metrics

#: Handles a kind of message that the fleet itself has no use for.
Handler = Callable[[str, Message], None]
_MS_PER_S = 1000
#: Makes the links from the configuration, the source of the present
#: incarnation, the metrics and the callbacks.
BuildLinks = Callable[
    [LocalConfig, Callable[[], int], Metrics, LinkEvents],
    LinkSet,
]


class Fleet:
    """Joins the view of the other instances with the broker of grants.

    :param config: who this instance is.
    :param clock: source of time.
    """

    __slots__ = (
        '_clock',
        '_config',
        '_directory',
        '_foreigners',
        '_handlers',
        '_leaving',
        '_beats',
        '_links',
        '_listed',
        '_membership',
        '_metrics',
        '_probed',
        '_shares_registry',
        '_stale',
        '_tree',
        'broker',
        'get_covers',
        'on_work',
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
        """Start alone.

        :param shares_registry: whether one instance of each failure domain
            reads the registry of runners for the others.
        """
        self._config = config
        self._shares_registry = shares_registry
        self._beats = 0
        #: Lost instance that is dialled at present; empty if none is.
        self._probed = ''
        #: Called when :meth:`tick` has work to do.
        self.on_work: Callable[[], None] = _do_nothing
        self._clock = clock
        self._metrics = metrics
        self._tree = Tree({})
        #: Whether this instance is shutting down and owns nothing.
        self._leaving = False
        self._listed = MemberList(members=())
        #: Whether the view or the list has changed since the last tick.
        self._stale = False
        self._handlers: dict[type[Message], Handler] = {}
        self._foreigners = _Foreigners(config.region)
        #: Returns the offset up to which settings have been folded.
        self.get_covers: Callable[[], int] = _know_nothing
        self._directory = Directory(config.instance, config.region)
        self._membership = Membership(
            config.instance,
            int(clock.now().timestamp() * _MS_PER_S),
            Watch(
                suspect_after_s=config.timings.suspect_after_s,
                remove_after_s=config.timings.remove_after_s,
            ),
        )
        self._links = build_links(
            config,
            lambda: self._membership.incarnation,
            metrics,
            LinkEvents(self._note_up, self._note_down, self._take_message),
        )
        self.broker = Broker(
            config.instance,
            clock,
            self._directory,
            self._send_request,
            self._try_send,
            config.policy,
            Patience(
                answer_s=config.timings.owner_answer_s,
                settling_s=config.timings.settling_s,
            ),
        )

    @property
    def live(self) -> list[str]:
        """Live instances of the own region."""
        return self._directory.live

    @property
    def has_list(self) -> bool:
        """Whether the platform's list has been read."""
        return bool(self._listed.members)

    @property
    def linked(self) -> frozenset[str]:
        """Instances with an open link."""
        return self._links.names

    @property
    def busy(self) -> bool:
        """Whether :meth:`tick` has work to do, or time alone may bring some."""
        return self._stale or self.broker.busy

    @property
    def reads_registry(self) -> bool:
        """Whether this instance reads the registry for its failure domain."""
        readers = self._directory.list_readers()
        return self._config.instance in readers.values()

    def handle(self, kind: type[Message], handler: Handler) -> None:
        """Pass messages of a kind to a handler."""
        self._handlers[kind] = handler

    async def listen(self) -> None:
        """Accept links."""
        await self._links.listen()

    def send(self, instance: str, message: Message) -> None:
        """Send a message to an instance.

        :raises PeerUnreachable: if there is no link to it.
        """
        self._links.send(instance, message)

    def tell_linked(self, message: Message) -> None:
        """Send a message to every instance with a link."""
        for name in sorted(self._links.names):
            self._try_send(name, message)

    def set_tree(self, tree: Tree) -> None:
        """Take over changed settings."""
        self._tree = tree
        self.broker.set_tree(tree)
        self._choose_links()

    def set_list(self, listed: MemberList) -> None:
        """Take over the platform's list."""
        if listed == self._listed:
            return
        self._listed = listed
        self._directory.set_list(listed)
        self._membership.note_list(
            self._directory.list_region_instances(),
            self._clock.monotonic(),
        )
        self._mark_stale()

    def beat(self) -> None:
        """Send heartbeats and judge those of the others."""
        receivers: Container[str] = self._membership.list_watchers()
        self._beats += 1
        if self._beats % SLOW_BEATS == 0:
            receivers = self._links.names
            self._probe_lost()
        self._links.beat(self._build_heartbeat(), receivers)
        news = self._membership.check_watched(self._clock.monotonic())
        self._spread(news)
        self._links.close_silent(self._membership.list_watched())
        for silent in self._foreigners.pop_silent(self._clock.monotonic()):
            self.broker.owner.drop_sender(silent)
        if news:
            self._mark_stale()

    def announce(self) -> None:
        """Tell all linked instances at once what heartbeats tell in time."""
        self._links.beat(self._build_heartbeat(), self._links.names)

    def tick(self) -> None:
        """Do what is due: follow changes, once for all of them."""
        if self._stale:
            self._stale = False
            self._follow_view()
        self.broker.tick()

    def leave(self) -> None:
        """Hand ownership on: say goodbye and resign from all shards."""
        self._leaving = True
        self.tell_linked(self._membership.leave())
        self._follow_view()

    def close(self) -> None:
        """Close all links."""
        self._links.close()

    def _send_request(
        self,
        instance: str,
        message: Ask | Progress | Release | Inventory,
    ) -> None:
        if instance not in self._links.names:
            address = self._directory.get_address(instance)
            if address:
                self._links.add(instance, address)
        self._links.send(instance, message)

    def _try_send(self, instance: str, message: Message) -> None:
        try:
            self._links.send(instance, message)
        except PeerUnreachable:
            # Everything sent this way is sent again when a link comes up.
            self._metrics.link_messages.labels('out', 'unreachable').inc()

    def _note_up(self, hello: Hello) -> None:
        name = hello.instance
        self._foreigners.note_up(name, hello.region)
        if hello.address:
            self._directory.introduce(
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
            known = self._membership.note_life(name, hello.incarnation, now)
            self._spread(known)
            for doubt in self._membership.doubt_lost():
                self._try_send(name, doubt)
            self._mark_stale()
        if self._leaving:
            # Who was started just now has not heard of it.
            self._spread([self._membership.leave()])
        self.broker.note_link(name)

    def _note_down(self, name: str) -> None:
        if name in self._links.names:
            return
        self.broker.drop_link(name)
        self._foreigners.note_down(name, self._clock.monotonic())

    def _take_message(self, sender: str, message: Message) -> None:
        self.broker.note_heard(sender)
        if isinstance(message, Ask | Progress | Release | Inventory):
            self.broker.owner.handle(sender, message)
            if isinstance(message, Ask) and self.broker.owner.has_waiting:
                self.on_work()
        elif isinstance(message, Grant | Refusal | Queued | Pause):
            self.broker.take_answer(sender, message)
        elif isinstance(message, Heartbeat):
            self._take_heartbeat(sender, message)
        elif isinstance(message, News):
            self._take_news(message)
        handler = self._handlers.get(type(message))
        if handler:
            handler(sender, message)

    def _take_heartbeat(self, sender: str, heartbeat: Heartbeat) -> None:
        if not self._foreigners.is_home(sender):
            return
        now = self._clock.monotonic()
        was_live = self._membership.is_live(sender)
        news = self._membership.note_life(sender, heartbeat.incarnation, now)
        self._spread(news)
        if not was_live and self._membership.is_live(sender):
            self._mark_stale()

    def _take_news(self, news: News) -> None:
        if news.member and news.instance != self._config.instance:
            self._directory.introduce(news.member)
        fresh = self._membership.note_news(news, self._clock.monotonic())
        if fresh:
            self._spread(fresh)
            self._mark_stale()

    def _mark_stale(self) -> None:
        self._stale = True
        self.on_work()

    def _probe_lost(self) -> None:
        """Dial one of the lost instances, in turn: a cut may be over."""
        lost = self._membership.list_lost()
        if not lost and not self._probed:
            return
        place = self._beats // SLOW_BEATS
        self._probed = lost[place % len(lost)] if lost else ''
        self._choose_links()

    def _spread(self, news: Iterable[News]) -> None:
        for piece in news:
            member = piece.member or self._directory.find_member(piece.instance)
            self.tell_linked(msgspec.structs.replace(piece, member=member))

    def _follow_view(self) -> None:
        live = self._membership.live
        if self._leaving and len(live) > 1:
            live.remove(self._config.instance)
        gone = set(self._directory.live) - set(live)
        if live != self._directory.live:
            log_event('view_changed', live=live)
        self._directory.set_live(live)
        for name in sorted(gone):
            self.broker.owner.drop_sender(name)
        self._choose_links()
        self.broker.refresh(self._tree)

    def _choose_links(self) -> None:
        wanted = set(self._membership.list_linked())
        if self._probed:
            wanted.add(self._probed)
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
        self._links.want(addresses)

    def _build_heartbeat(self) -> Heartbeat:
        return Heartbeat(
            incarnation=self._membership.incarnation,
            settings_covers=self.get_covers(),
        )


class _Foreigners:
    """Regions of linked instances, and which of other regions are gone.

    :param region: the own region.
    """

    __slots__ = ('_gone_at', '_region', '_regions')

    def __init__(self, region: str) -> None:
        self._region = region
        #: Regions of instances that have had a link.
        self._regions: dict[str, str] = {}
        #: When the last link to a foreign instance went down.
        self._gone_at: dict[str, float] = {}

    def is_home(self, name: str) -> bool:
        """Return whether an instance is of the own region."""
        return self._regions.get(name) == self._region

    def note_up(self, name: str, region: str) -> None:
        self._regions[name] = region
        self._gone_at.pop(name, None)

    def note_down(self, name: str, now: float) -> None:
        if not self.is_home(name):
            self._gone_at[name] = now

    def pop_silent(self, now: float) -> list[str]:
        """Return the foreign instances whose grants are to be freed."""
        oldest = now - defaults.REMOTE_GRANT_TIMEOUT_S
        silent = [
            name for name, gone_at in self._gone_at.items() if gone_at < oldest
        ]
        for name in silent:
            self._gone_at.pop(name)
        return silent


def _do_nothing() -> None:
    """Do nothing."""


def _know_nothing() -> int:
    return -1
