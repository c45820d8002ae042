"""Failure detection: one instance's view of the live instances of its region.

Instances form a ring ordered by name. Each has links to the instances at
distances 1, 2, 4, ... after it, so that news reaches all of them in a number of
hops that grows with the logarithm of the region's size. It monitors only the
nearest of them, so that the cost does not grow with the region. The platform's
list lags; it is only used to discover instances.
"""

import enum

import msgspec

from anvilhall.core.messages import News

#: Seconds for which a listed instance counts as alive before its first message.
_FIRST_MESSAGE_TIMEOUT_S = 5.0
#: Number of instances that each one monitors: those at distances 1, 2 and 4, so
#: that no two neighbours have the same monitors. One monitor of three suffices
#: to detect a failure.
_MONITORED_COUNT = 3


class Status(enum.Enum):
    """State of an instance in the view."""

    ALIVE = 'alive'
    #: Overdue at an instance that monitors it; still counts as live.
    SUSPECT = 'suspect'
    #: Timed out.
    DEAD = 'dead'
    #: Announced that it is shutting down.
    LEFT = 'left'


#: Of two statuses with the same incarnation, the one that ranks higher wins.
_PRECEDENCE = {
    Status.ALIVE: 0,
    Status.SUSPECT: 1,
    Status.DEAD: 2,
    Status.LEFT: 3,
}
_LIVE = frozenset((Status.ALIVE, Status.SUSPECT))


class DetectionTimeouts(msgspec.Struct, frozen=True):
    """Timeouts of failure detection, in seconds since the last message."""

    suspect_after_s: float
    remove_after_s: float


class _Peer:
    """State of one other instance."""

    __slots__ = ('heard_at', 'incarnation', 'listed', 'status', 'unlinked_at')

    def __init__(self, incarnation: int, now: float) -> None:
        #: 0: listed, but no message or news has come yet.
        self.incarnation = incarnation
        self.status = Status.ALIVE
        #: Monotonic time of the last message, in seconds.
        self.heard_at = now
        #: Whether the platform's list names it.
        self.listed = False
        #: Monotonic time at which the first link to it failed; ``None``: none
        #: has, or a message has come since.
        self.unlinked_at: float | None = None

    def is_unheard_since(self, until: float) -> bool:
        """Return whether it has not been heard of, and links to it fail.

        :param until: monotonic time of the first failure, at the latest.
        """
        return (
            not self.incarnation
            and self.status in _LIVE
            and self.unlinked_at is not None
            and self.unlinked_at <= until
        )


class Membership:
    """One instance's view of the live instances of its region.

    :param name: name of this instance.
    :param incarnation: number that rises with each start of this instance. It
        is also raised to refute news that this instance is not alive.
    :param timeouts: timeouts of failure detection.
    """

    __slots__ = (
        '_last_monitored',
        '_leaving',
        '_peers',
        '_ring',
        '_timeouts',
        'incarnation',
        'name',
    )

    def __init__(
        self,
        name: str,
        incarnation: int,
        timeouts: DetectionTimeouts,
    ) -> None:
        """Create a view with this instance only."""
        self.name = name
        self.incarnation = incarnation
        self._timeouts = timeouts
        self._peers: dict[str, _Peer] = {}
        self._leaving = False
        #: Live instances, sorted, cached until the next change; ``None``: not
        #: computed.
        self._ring: tuple[str, ...] | None = None
        #: Instances that were monitored at the last check of timeouts.
        self._last_monitored: frozenset[str] = frozenset()

    @property
    def live(self) -> list[str]:
        """Names of the live instances, this one included, sorted."""
        return list(self._list_ring())

    def is_live(self, name: str) -> bool:
        """Return whether an instance counts as live."""
        peer = self._peers.get(name)
        return name == self.name or bool(peer and peer.status in _LIVE)

    def has_left(self, name: str) -> bool:
        """Return whether an instance has announced that it shuts down."""
        peer = self._peers.get(name)
        return bool(peer and peer.status is Status.LEFT)

    def list_linked(self) -> list[str]:
        """Return the instances that this one keeps a link to."""
        ring = self._list_ring()
        position = ring.index(self.name)
        distance = 1
        linked: list[str] = []
        while distance < len(ring):
            linked.append(ring[(position + distance) % len(ring)])
            distance *= 2
        return linked

    def list_monitored(self) -> list[str]:
        """Return the instances that this one monitors."""
        return self.list_linked()[:_MONITORED_COUNT]

    def list_monitors(self) -> list[str]:
        """Return the instances that monitor this one."""
        ring = self._list_ring()
        position = ring.index(self.name)
        distances = [2**power for power in range(_MONITORED_COUNT)]
        return [
            ring[(position - distance) % len(ring)]
            for distance in distances
            if distance < len(ring)
        ]

    def list_dead(self) -> list[str]:
        """Return the dead instances that the platform still lists, sorted."""
        return sorted(
            name
            for name, peer in self._peers.items()
            if peer.listed and peer.status is Status.DEAD
        )

    def build_suspicions(self) -> list[News]:
        """Return news about the listed instances that are dead or have left.

        An instance that has just started takes them for live otherwise. Death
        is only suspected: an instance that is alive after all, as after a
        network partition, refutes it with a higher incarnation; others that
        consider it dead ignore it.
        """
        told = {Status.DEAD: Status.SUSPECT, Status.LEFT: Status.LEFT}
        return [
            News(name, peer.incarnation, told[peer.status].value)
            for name, peer in sorted(self._peers.items())
            if peer.listed and peer.status in told
        ]

    def set_listed(self, names: set[str], now: float) -> None:
        """Apply the platform's list of this region's instances.

        Instances that are neither listed nor live are removed.
        """
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
        """Handle a message received directly from an instance.

        :return: news to pass on.
        """
        peer = self._peers.get(name)
        if peer is None:
            self._peers[name] = _Peer(incarnation, now)
            self._ring = None
            return [_build_news(name, self._peers[name])]
        peer.heard_at = now
        peer.unlinked_at = None
        if incarnation > peer.incarnation:
            changed = peer.status not in _LIVE or not peer.incarnation
            peer.incarnation = incarnation
            peer.status = Status.ALIVE
            self._ring = None
            return [_build_news(name, peer)] if changed else []
        if peer.status is Status.SUSPECT:
            peer.status = Status.ALIVE
        return []

    def note_unlinked(self, name: str, now: float) -> None:
        """Note that no link to an instance could be established."""
        peer = self._peers.get(name)
        if peer and peer.unlinked_at is None:
            peer.unlinked_at = now

    def note_news(self, news: News, now: float) -> list[News]:
        """Handle news about an instance that was received from another one.

        :return: news to pass on; empty if nothing changed.
        """
        if news.instance == self.name:
            return self._refute(news)
        status = Status(news.status)
        peer = self._peers.get(news.instance)
        if peer is None:
            peer = _Peer(0, now)
            self._peers[news.instance] = peer
        elif not _is_newer(news, status, peer):
            return []
        if status is Status.SUSPECT and not peer.incarnation:
            # This instance has no sign of life that speaks against it.
            status = Status.DEAD
        peer.incarnation = news.incarnation
        peer.status = status
        self._ring = None
        if status in _LIVE:
            peer.heard_at = now
        return [news]

    def check_timeouts(self, now: float) -> list[News]:
        """Apply the timeouts to the monitored instances.

        Those that were never heard of and can't be linked to are removed from
        this view only: they may just not have started yet.

        :return: news to pass on.
        """
        news: list[News] = []
        self._remove_unheard(now - self._timeouts.remove_after_s)
        monitored = self.list_monitored()
        for name in monitored:
            peer = self._peers[name]
            if name not in self._last_monitored:
                # It was not required to send heartbeats to this instance
                # before.
                peer.heard_at = now
            elapsed_s = now - peer.heard_at
            timeout_s = self._timeouts.remove_after_s
            if not peer.incarnation:
                timeout_s = max(timeout_s, _FIRST_MESSAGE_TIMEOUT_S)
            if elapsed_s >= timeout_s:
                peer.status = Status.DEAD
                self._ring = None
                news.append(_build_news(name, peer))
            elif elapsed_s >= self._timeouts.suspect_after_s:
                peer.status = Status.SUSPECT
        self._last_monitored = frozenset(monitored)
        return news

    def _remove_unheard(self, until: float) -> None:
        for peer in self._peers.values():
            if peer.is_unheard_since(until):
                peer.status = Status.DEAD
                self._ring = None

    def leave(self) -> News:
        """Mark this instance as shutting down; return the news about it."""
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
            # A leaving instance does not refute that it left or is dead: this
            # is or soon will be true. News of earlier incarnations is stale.
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
    return _PRECEDENCE[status] > _PRECEDENCE[peer.status]


def _build_news(name: str, peer: _Peer) -> News:
    return News(
        instance=name,
        incarnation=peer.incarnation,
        status=peer.status.value,
    )
