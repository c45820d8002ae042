"""This instance among the others: membership, links and message routing."""

from collections.abc import Callable, Iterable

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
from anvilhall.core.owner import OwnerMessage
from anvilhall.core.tree import Tree
from anvilhall.exceptions import PeerUnreachable
from anvilhall.links import LinkEvents, Links, LinkSet
from anvilhall.local import LocalConfig
from anvilhall.logs import note_change
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
        '_gone_at',
        '_handlers',
        '_leaving',
        '_links',
        '_listed',
        '_membership',
        '_metrics',
        '_regions',
        '_stale',
        '_tree',
        'broker',
        'get_covers',
    )

    def __init__(
        self,
        config: LocalConfig,
        clock: Clock,
        metrics: Metrics,
        build_links: BuildLinks = Links,
    ) -> None:
        """Start alone."""
        self._config = config
        self._clock = clock
        self._metrics = metrics
        self._tree = Tree({})
        #: Whether this instance is shutting down and owns nothing.
        self._leaving = False
        self._listed = MemberList(members=())
        #: Whether the view or the list has changed since the last tick.
        self._stale = False
        self._handlers: dict[type[Message], Handler] = {}
        #: Regions of instances that have had a link.
        self._regions: dict[str, str] = {}
        #: When the last link to a foreign instance went down.
        self._gone_at: dict[str, float] = {}
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
            self._forward_answer,
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
        self._stale = True

    def beat(self) -> None:
        """Send heartbeats and judge those of the others."""
        self._links.beat(self._build_heartbeat())
        news = self._membership.check_watched(self._clock.monotonic())
        self._spread(news)
        self._drop_silent_foreigners()
        if news:
            self._stale = True

    def tick(self) -> None:
        """Follow what has changed since the last tick, once for all changes."""
        if self._stale:
            self._stale = False
            self._follow_view()

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

    def _forward_answer(self, instance: str, message: OwnerMessage) -> None:
        self._try_send(instance, message)

    def _try_send(self, instance: str, message: Message) -> None:
        try:
            self._links.send(instance, message)
        except PeerUnreachable:
            # Everything sent this way is sent again when a link comes up.
            self._metrics.link_messages.labels('out', 'unreachable').inc()

    def _note_up(self, hello: Hello) -> None:
        name = hello.instance
        self._regions[name] = hello.region
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
        self._gone_at.pop(name, None)
        if hello.region == self._config.region:
            now = self._clock.monotonic()
            known = self._membership.note_life(name, hello.incarnation, now)
            self._spread(known)
            self._stale = True
        if self._leaving:
            # Who was started just now has not heard of it.
            self._spread([self._membership.leave()])
        for pool in self._tree.pools:
            self.broker.report_inventory(pool)

    def _note_down(self, name: str) -> None:
        if name in self._links.names:
            return
        self.broker.drop_link(name)
        if self._regions.get(name) != self._config.region:
            self._gone_at[name] = self._clock.monotonic()

    def _take_message(self, sender: str, message: Message) -> None:
        self.broker.note_heard(sender)
        if isinstance(message, Ask | Progress | Release | Inventory):
            self.broker.owner.handle(sender, message)
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
        if self._regions.get(sender) != self._config.region:
            return
        now = self._clock.monotonic()
        was_live = sender in self._membership.live
        news = self._membership.note_life(sender, heartbeat.incarnation, now)
        self._spread(news)
        if not was_live and sender in self._membership.live:
            self._stale = True

    def _take_news(self, news: News) -> None:
        if news.member and news.instance != self._config.instance:
            self._directory.introduce(news.member)
        fresh = self._membership.note_news(news, self._clock.monotonic())
        if fresh:
            self._spread(fresh)
            self._stale = True

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
            note_change('view_changed', live=live)
        self._directory.set_live(live)
        for name in sorted(gone):
            self.broker.owner.drop_sender(name)
        self._choose_links()
        self.broker.refresh(self._tree)

    def _choose_links(self) -> None:
        wanted = set(self._membership.list_watched())
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

    def _drop_silent_foreigners(self) -> None:
        oldest = self._clock.monotonic() - defaults.FOREIGN_SILENCE_S
        for name, gone_at in list(self._gone_at.items()):
            if gone_at < oldest:
                self._gone_at.pop(name)
                self.broker.owner.drop_sender(name)

    def _build_heartbeat(self) -> Heartbeat:
        return Heartbeat(
            incarnation=self._membership.incarnation,
            settings_covers=self.get_covers(),
        )


def _know_nothing() -> int:
    return -1
