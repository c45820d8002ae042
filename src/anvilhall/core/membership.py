"""Which instances of a region are alive, as one of them sees it.

Each instance keeps links to those that follow it on a ring of names at
distances that are powers of two, so that news reaches all in a number of steps
that grows with the logarithm of the region's size. It watches the nearest of
them, whatever the size. The platform's lagging list only introduces instances.
"""

import enum

import msgspec

from anvilhall.core.messages import News

#: Seconds that an instance in the list but never heard of counts as alive.
_UNHEARD_S = 5.0
#: Instances that each one watches: at distances 1, 2 and 4, so that no two
#: neighbours have the same watchers and one survivor of three is enough.
_WATCHED = 3


class Status(enum.Enum):
    """What is believed of an instance."""

    ALIVE = 'alive'
    #: Silent towards one that watches it; still counts as live.
    SUSPECT = 'suspect'
    #: Silent for long.
    DEAD = 'dead'
    #: Said that it is shutting down.
    LEFT = 'left'


#: Of two statuses with one incarnation, the later in this order holds.
_STRENGTH = {
    Status.ALIVE: 0,
    Status.SUSPECT: 1,
    Status.DEAD: 2,
    Status.LEFT: 3,
}
_LIVE = frozenset((Status.ALIVE, Status.SUSPECT))


class DetectionTimeouts(msgspec.Struct, frozen=True):
    """Time limits of watching, in seconds without a sign of life."""

    suspect_after_s: float
    remove_after_s: float


class _Peer:
    """Belief about one instance."""

    __slots__ = ('heard_at', 'incarnation', 'listed', 'status')

    def __init__(self, incarnation: int, now: float) -> None:
        self.incarnation = incarnation
        self.status = Status.ALIVE
        self.heard_at = now
        #: Whether the platform's list names it.
        self.listed = False


class Membership:
    """The view of one instance.

    :param name: this instance.
    :param incarnation: rises with each start; also raised to refute news.
    """

    __slots__ = (
        '_leaving',
        '_peers',
        '_ring',
        '_timeouts',
        '_watching',
        'incarnation',
        'name',
    )

    def __init__(
        self,
        name: str,
        incarnation: int,
        timeouts: DetectionTimeouts,
    ) -> None:
        """Start alone."""
        self.name = name
        self.incarnation = incarnation
        self._timeouts = timeouts
        self._peers: dict[str, _Peer] = {}
        self._leaving = False
        #: Live instances since the last change; ``None``: to be worked out.
        self._ring: tuple[str, ...] | None = None
        #: Instances that were watched when they were last judged.
        self._watching: frozenset[str] = frozenset()

    @property
    def live(self) -> list[str]:
        """Names of the live instances, this one included, sorted."""
        return list(self._list_ring())

    def is_live(self, name: str) -> bool:
        """Return whether an instance counts as live."""
        peer = self._peers.get(name)
        return name == self.name or bool(peer and peer.status in _LIVE)

    def list_linked(self) -> list[str]:
        """Return the instances that this one keeps links to."""
        ring = self._list_ring()
        place = ring.index(self.name)
        distance = 1
        linked: list[str] = []
        while distance < len(ring):
            linked.append(ring[(place + distance) % len(ring)])
            distance *= 2
        return linked

    def list_watched(self) -> list[str]:
        """Return the instances whose silence this one judges."""
        return self.list_linked()[:_WATCHED]

    def list_watchers(self) -> list[str]:
        """Return the instances that judge the silence of this one."""
        ring = self._list_ring()
        place = ring.index(self.name)
        distances = [2**power for power in range(_WATCHED)]
        return [
            ring[(place - distance) % len(ring)]
            for distance in distances
            if distance < len(ring)
        ]

    def list_dead(self) -> list[str]:
        """Return the listed instances that count as dead, sorted."""
        return sorted(
            name
            for name, peer in self._peers.items()
            if peer.listed and peer.status is Status.DEAD
        )

    def build_suspicions(self) -> list[News]:
        """Return news on which those that wrongly count as dead speak up."""
        return [
            News(name, self._peers[name].incarnation, Status.SUSPECT.value)
            for name in self.list_dead()
        ]

    def set_listed(self, names: set[str], now: float) -> None:
        """Take in the platform's list of this region's instances."""
        for name in sorted(names - {self.name}):
            if name not in self._peers:
                self._peers[name] = _Peer(0, now)
                self._ring = None
            self._peers[name].listed = True
        for name, peer in list(self._peers.items()):
            peer.listed = name in names
            if not peer.listed and peer.status not in _LIVE:
                self._peers.pop(name)

    def note_alive(self, name: str, incarnation: int, now: float) -> list[News]:
        """Take in a sign of life that came directly from an instance.

        :return: news to pass on.
        """
        peer = self._peers.get(name)
        if peer is None:
            self._peers[name] = _Peer(incarnation, now)
            self._ring = None
            return [_tell(name, self._peers[name])]
        peer.heard_at = now
        if incarnation > peer.incarnation:
            changed = peer.status not in _LIVE or not peer.incarnation
            peer.incarnation = incarnation
            peer.status = Status.ALIVE
            self._ring = None
            return [_tell(name, peer)] if changed else []
        if peer.status is Status.SUSPECT:
            peer.status = Status.ALIVE
        return []

    def note_news(self, news: News, now: float) -> list[News]:
        """Take in what another instance says of a third.

        :return: news to pass on; empty if it was known.
        """
        if news.instance == self.name:
            return self._refute(news)
        status = Status(news.status)
        peer = self._peers.get(news.instance)
        if peer is None:
            peer = _Peer(news.incarnation, now)
            self._peers[news.instance] = peer
        elif not _is_newer(news, status, peer):
            return []
        peer.incarnation = news.incarnation
        peer.status = status
        self._ring = None
        if status in _LIVE:
            peer.heard_at = now
        return [news]

    def check_timeouts(self, now: float) -> list[News]:
        """Judge the watched instances by their silence.

        :return: news to pass on.
        """
        news: list[News] = []
        watched = self.list_watched()
        for name in watched:
            peer = self._peers[name]
            if name not in self._watching:
                # Before, it had no reason to say anything to this instance.
                peer.heard_at = now
            silent_s = now - peer.heard_at
            limit_s = self._timeouts.remove_after_s
            if not peer.incarnation:
                limit_s = max(limit_s, _UNHEARD_S)
            if silent_s >= limit_s:
                peer.status = Status.DEAD
                self._ring = None
                news.append(_tell(name, peer))
            elif silent_s >= self._timeouts.suspect_after_s:
                peer.status = Status.SUSPECT
        self._watching = frozenset(watched)
        return news

    def leave(self) -> News:
        """Return the news that this instance is shutting down."""
        self._leaving = True
        return News(
            instance=self.name,
            incarnation=self.incarnation,
            status=Status.LEFT.value,
        )

    def _list_ring(self) -> tuple[str, ...]:
        if self._ring is None:
            names = [
                name
                for name, peer in self._peers.items()
                if peer.status in _LIVE
            ]
            self._ring = tuple(sorted([self.name, *names]))
        return self._ring

    def _refute(self, news: News) -> list[News]:
        if self._leaving or news.incarnation < self.incarnation:
            # What is said of a leaving instance is true, or soon will be.
            return []
        if news.status == Status.ALIVE.value:
            return []
        self.incarnation = news.incarnation + 1
        return [
            News(
                instance=self.name,
                incarnation=self.incarnation,
                status=Status.ALIVE.value,
            ),
        ]


def _is_newer(news: News, status: Status, peer: _Peer) -> bool:
    if news.incarnation != peer.incarnation:
        return news.incarnation > peer.incarnation
    return _STRENGTH[status] > _STRENGTH[peer.status]


def _tell(name: str, peer: _Peer) -> News:
    return News(
        instance=name,
        incarnation=peer.incarnation,
        status=peer.status.value,
    )
