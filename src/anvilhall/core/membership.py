"""Which instances of a region are alive, as one of them sees it.

Each instance watches a few others over links: those that follow it on a ring
of names at distances that are powers of two. So the cost for each instance
grows with the logarithm of the region's size, and news reaches all in as many
steps. The platform's lagging list only introduces instances.
"""

import enum

import msgspec

from anvilhall.core.messages import News

#: Seconds that an instance in the list but never heard of counts as alive.
_UNHEARD_S = 5.0


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


class Watch(msgspec.Struct, frozen=True):
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

    __slots__ = ('_leaving', '_peers', '_watch', 'incarnation', 'name')

    def __init__(self, name: str, incarnation: int, watch: Watch) -> None:
        """Start alone."""
        self.name = name
        self.incarnation = incarnation
        self._watch = watch
        self._peers: dict[str, _Peer] = {}
        self._leaving = False

    @property
    def live(self) -> list[str]:
        """Names of the live instances, this one included, sorted."""
        names = [
            name for name, peer in self._peers.items() if peer.status in _LIVE
        ]
        return sorted([self.name, *names])

    def list_watched(self) -> list[str]:
        """Return the instances that this one keeps links to."""
        ring = self.live
        place = ring.index(self.name)
        distance = 1
        watched: list[str] = []
        while distance < len(ring):
            watched.append(ring[(place + distance) % len(ring)])
            distance *= 2
        return watched

    def note_list(self, names: set[str], now: float) -> None:
        """Take in the platform's list of this region's instances."""
        for name in sorted(names - {self.name}):
            if name not in self._peers:
                self._peers[name] = _Peer(0, now)
            self._peers[name].listed = True
        for name, peer in list(self._peers.items()):
            peer.listed = name in names
            if not peer.listed and peer.status not in _LIVE:
                self._peers.pop(name)

    def note_life(self, name: str, incarnation: int, now: float) -> list[News]:
        """Take in a sign of life that came directly from an instance.

        :return: news to pass on.
        """
        peer = self._peers.get(name)
        if peer is None:
            self._peers[name] = _Peer(incarnation, now)
            return [_tell(name, self._peers[name])]
        peer.heard_at = now
        if incarnation > peer.incarnation:
            changed = peer.status not in _LIVE or not peer.incarnation
            peer.incarnation = incarnation
            peer.status = Status.ALIVE
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
        if status in _LIVE:
            peer.heard_at = now
        return [news]

    def check_watched(self, now: float) -> list[News]:
        """Judge the watched instances by their silence.

        :return: news to pass on.
        """
        news: list[News] = []
        for name in self.list_watched():
            peer = self._peers[name]
            silent_s = now - peer.heard_at
            limit_s = self._watch.remove_after_s
            if not peer.incarnation:
                limit_s = max(limit_s, _UNHEARD_S)
            if silent_s >= limit_s:
                peer.status = Status.DEAD
                news.append(_tell(name, peer))
            elif silent_s >= self._watch.suspect_after_s:
                peer.status = Status.SUSPECT
        return news

    def leave(self) -> News:
        """Return the news that this instance is shutting down."""
        self._leaving = True
        return News(
            instance=self.name,
            incarnation=self.incarnation,
            status=Status.LEFT.value,
        )

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
