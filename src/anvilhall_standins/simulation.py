"""Network, platform and upstreams in memory, on virtual time.

The real instances run on them: only sockets and processes are replaced.
Messages take a delay; links and calls can be cut; the log can be out, lose
answers after an append, or let an append take effect late.
"""

import asyncio
import random
from collections.abc import Callable, Container
from http import HTTPStatus
from typing import Any, Protocol

import msgspec
from tornado.httputil import HTTPHeaders

from anvilhall.core.members import Member, MemberList
from anvilhall.core.messages import (
    Heartbeat,
    Hello,
    Message,
    UnknownMessage,
    decode_message,
    encode_message,
)
from anvilhall.exceptions import (
    AppendUncertain,
    LogUnavailable,
    PeerUnreachable,
    PlatformError,
    RecordsExpired,
    UpstreamCut,
    UpstreamRefused,
    UpstreamStalled,
)
from anvilhall.links import (
    PROTOCOL_VERSION,
    SLOW_HEARTBEAT_FACTOR,
    LinkCallbacks,
)
from anvilhall.local import LocalConfig
from anvilhall.logservice import Page, Record
from anvilhall.metrics import Metrics
from anvilhall.outbound import Call, Reply, Transfer

#: One-way delay between two instances, in seconds.
LINK_DELAY_S = 0.0005
#: One-way delay to upstreams and to the log, in seconds.
CALL_DELAY_S = 0.0005
_LOG_TIMEOUT_S = 2.0
_REDIAL_S = 0.25
_CLIENT_TIMEOUT_S = 3600.0


class SimNetwork:
    """All links between instances.

    :param rng: draws the delays.
    """

    __slots__ = ('_cuts', '_paused', '_rng', 'bytes_sent', 'nodes')

    def __init__(self, rng: random.Random) -> None:
        """Start without nodes or cuts."""
        self._rng = rng
        self.nodes: dict[str, SimLinks] = {}
        self._cuts: set[frozenset[str]] = set()
        self._paused: set[str] = set()
        #: Bytes sent so far, by sender.
        self.bytes_sent: dict[str, int] = {}

    def cut(self, one: str, other: str) -> None:
        """Let nothing pass between two instances."""
        self._cuts.add(frozenset((one, other)))

    def heal(self) -> None:
        """End all cuts."""
        self._cuts.clear()

    def is_cut(self, one: str, other: str) -> bool:
        """Return whether nothing passes between two instances."""
        return frozenset((one, other)) in self._cuts

    def draw_delay_s(self) -> float:
        """Return the delay of one message."""
        return LINK_DELAY_S * self._rng.uniform(0.5, 2)

    def carry(self, sender: str, receiver: str, frame: bytes) -> None:
        """Deliver a frame after a delay, if nothing is in its way."""
        self.bytes_sent[sender] = self.bytes_sent.get(sender, 0) + len(frame)
        loop = asyncio.get_running_loop()
        loop.call_later(
            self.draw_delay_s(),
            self._deliver,
            sender,
            receiver,
            frame,
        )

    def _deliver(self, sender: str, receiver: str, frame: bytes) -> None:
        node = self.nodes.get(receiver)
        if node and not self.is_cut(sender, receiver):
            node.receive(sender, frame)


class SimLinks:
    """Links of one instance, in the place of websockets."""

    __slots__ = (
        '_config',
        '_dialling',
        '_events',
        '_get_incarnation',
        '_heard_at',
        '_network',
        '_up',
        '_wanted',
        'closed',
    )

    def __init__(
        self,
        network: SimNetwork,
        config: LocalConfig,
        get_incarnation: Callable[[], int],
        events: LinkCallbacks,
    ) -> None:
        """Join the network."""
        self._network = network
        self._config = config
        self._get_incarnation = get_incarnation
        self._events = events
        self._up: dict[str, bool] = {}
        self._heard_at: dict[str, float] = {}
        self._wanted: dict[str, str] = {}
        self._dialling: dict[str, asyncio.TimerHandle] = {}
        self.closed = False
        network.nodes[config.instance] = self

    @property
    def names(self) -> frozenset[str]:
        """Instances with a link."""
        return frozenset(self._up)

    async def listen(self) -> None:
        """Do nothing: joining the network is enough."""

    def set_peers(self, wanted: dict[str, str]) -> None:
        """Keep links to these instances open."""
        self._wanted = wanted
        for name in wanted:
            self._dial(name)

    def add_peer(self, name: str, address: str) -> None:
        """Keep a link to one more instance open."""
        self.set_peers({**self._wanted, name: address})

    def send(self, name: str, message: Message) -> None:
        """Send a message to an instance."""
        if name not in self._up:
            raise PeerUnreachable(f'no link to {name}')
        frame = encode_message(message)
        self._network.carry(self._config.instance, name, frame)

    def send_heartbeat(
        self,
        heartbeat: Heartbeat,
        receivers: Container[str],
    ) -> None:
        """Send a heartbeat to those of the receivers that have a link."""
        for name in list(self._up):
            if name in receivers:
                self.send(name, heartbeat)

    def close_silent(self, watched: Container[str]) -> None:
        """Close the links that have been silent for too long."""
        now = asyncio.get_running_loop().time()
        for name, heard_at in list(self._heard_at.items()):
            limit_s = self._config.timings.suspect_after_s
            if name not in watched:
                limit_s *= SLOW_HEARTBEAT_FACTOR
            if name in self._up and now - heard_at > limit_s:
                self._lose(name)

    def close(self) -> None:
        """Leave the network."""
        self.closed = True
        self._wanted = {}
        if self._network.nodes.get(self._config.instance) is self:
            self._network.nodes.pop(self._config.instance)
        for name in list(self._up):
            self._up.pop(name)
            node = self._network.nodes.get(name)
            if node:
                node.note_closed(self._config.instance)

    def note_closed(self, name: str) -> None:
        """Take in that the other side has closed its link."""
        if name in self._up and not self._network.is_cut(
            name,
            self._config.instance,
        ):
            self._lose(name)

    def receive(self, sender: str, frame: bytes) -> None:
        """Take in a frame."""
        if self.closed or sender not in self._up:
            return
        self._heard_at[sender] = asyncio.get_running_loop().time()
        message = decode_message(frame)
        if not isinstance(message, UnknownMessage):
            self._events.on_message(sender, message)

    def greet(self, other: 'SimLinks') -> None:
        """Open a link: both sides learn of each other."""
        hello = Hello(
            instance=other._config.instance,
            region=other._config.region,
            failure_domain=other._config.failure_domain,
            incarnation=other._get_incarnation(),
            protocol=PROTOCOL_VERSION,
            proof='',
            nonce='',
        )
        name = hello.instance
        self._up[name] = True
        self._heard_at[name] = asyncio.get_running_loop().time()
        self._events.on_up(hello)

    def _lose(self, name: str) -> None:
        self._up.pop(name, None)
        self._events.on_down(name)
        node = self._network.nodes.get(name)
        if node and not self._network.is_cut(name, self._config.instance):
            node.note_closed(self._config.instance)
        if name in self._wanted:
            self._dial(name)

    def _dial(self, name: str) -> None:
        if name in self._up or name in self._dialling:
            return
        loop = asyncio.get_running_loop()
        delay_s = 4 * self._network.draw_delay_s()
        self._dialling[name] = loop.call_later(delay_s, self._connect, name)

    def _connect(self, name: str) -> None:
        self._dialling.pop(name, None)
        if self.closed or name not in self._wanted or name in self._up:
            return
        node = self._network.nodes.get(name)
        if node is None or self._network.is_cut(self._config.instance, name):
            loop = asyncio.get_running_loop()
            self._dialling[name] = loop.call_later(
                _REDIAL_S,
                self._connect,
                name,
            )
            return
        node.greet(self)
        self.greet(node)


class SimLog:
    """Log service in memory.

    :param rng: decides which answers are lost.
    """

    __slots__ = (
        '_arrived',
        '_cut_off',
        '_rng',
        'appends',
        'late_append_s',
        'lost_response_share',
        'starts',
        'streams',
        'unavailable',
    )

    def __init__(self, rng: random.Random) -> None:
        """Start empty and working."""
        self._rng = rng
        self.streams: dict[str, list[Any]] = {}
        #: Oldest offset kept, by stream.
        self.starts: dict[str, int] = {}
        self.unavailable = False
        #: Share of appends whose answer is lost.
        self.lost_response_share = 0.0
        #: Seconds by which appends without an answer take effect late.
        self.late_append_s = 0.0
        self.appends = 0
        self._arrived = asyncio.Event()
        self._cut_off: set[str] = set()

    def put(self, stream: str, body: Any) -> int:
        """Append at once, as operators do."""
        records = self.streams.setdefault(stream, [])
        records.append(msgspec.json.decode(msgspec.json.encode(body)))
        self.appends += 1
        self._arrived.set()
        self._arrived = asyncio.Event()
        return len(records) - 1

    def connect(self, name: str) -> 'SimLogClient':
        """Return the client of one instance."""
        return SimLogClient(self, name)

    def set_cut(self, name: str, *, cut: bool) -> None:
        """Cut one instance off, or join it again."""
        if cut:
            self._cut_off.add(name)
        else:
            self._cut_off.discard(name)

    def is_reachable(self, name: str) -> bool:
        """Return whether an instance gets answers."""
        return not self.unavailable and name not in self._cut_off

    def draw_loss(self) -> bool:
        """Return whether the next append's answer is lost."""
        return self._rng.random() < self.lost_response_share

    async def wait_arrival(self, wait_s: float) -> None:
        """Wait for the next append."""
        try:
            await asyncio.wait_for(self._arrived.wait(), wait_s)
        except TimeoutError:
            return


class SimLogClient:
    """One instance's client of the log."""

    __slots__ = ('_log', '_name')

    def __init__(self, log: SimLog, name: str) -> None:
        """Use a log on behalf of an instance."""
        self._log = log
        self._name = name

    async def append(self, stream: str, body: Any) -> int:
        """Append a record and return its offset."""
        await asyncio.sleep(CALL_DELAY_S)
        self._check()
        if self._log.draw_loss():
            loop = asyncio.get_running_loop()
            loop.call_later(
                self._log.late_append_s, self._log.put, stream, body
            )
            await asyncio.sleep(_LOG_TIMEOUT_S)
            raise AppendUncertain('the answer was lost')
        offset = self._log.put(stream, body)
        await asyncio.sleep(CALL_DELAY_S)
        return offset

    async def read(self, stream: str, offset: int, wait_s: float) -> Page:
        """Read records from an offset on."""
        await asyncio.sleep(CALL_DELAY_S)
        self._check()
        if len(self._log.streams.get(stream, ())) <= offset:
            await self._log.wait_arrival(wait_s)
        await asyncio.sleep(CALL_DELAY_S)
        self._check()
        if offset < self._log.starts.get(stream, 0):
            raise RecordsExpired
        bodies = self._log.streams.get(stream, [])
        records = [
            Record(offset=offset + place, body=body)
            for place, body in enumerate(bodies[offset:])
        ]
        return Page(records=tuple(records), end=len(bodies))

    async def find_oldest_offset(self, stream: str) -> int:
        """Return the oldest offset that is kept."""
        await asyncio.sleep(CALL_DELAY_S)
        self._check()
        return self._log.starts.get(stream, 0)

    def _check(self) -> None:
        if not self._log.is_reachable(self._name):
            raise LogUnavailable('the log is out of reach')


class SimMembership:
    """Membership list in memory, with a lag."""

    __slots__ = ('_members', 'lag_s', 'unavailable')

    def __init__(self, lag_s: float) -> None:
        """Start empty."""
        self.lag_s = lag_s
        self.unavailable = False
        self._members: dict[str, Member] = {}

    def put(self, member: Member) -> None:
        """Tell of a member at once."""
        self._members[member.name] = member

    def get(self, name: str) -> Member:
        """Return a member."""
        return self._members[name]

    def put_after_lag(self, member: Member) -> None:
        """Tell of a member after the lag."""
        loop = asyncio.get_running_loop()
        loop.call_later(self.lag_s, self.put, member)

    def remove_after_lag(self, name: str) -> None:
        """Stop telling of a member after the lag."""
        loop = asyncio.get_running_loop()
        loop.call_later(self.lag_s, self._members.pop, name, None)

    async def read(self) -> MemberList:
        """Return the list."""
        await asyncio.sleep(CALL_DELAY_S)
        if self.unavailable:
            raise PlatformError('the list is out of reach')
        return MemberList(members=tuple(self._members.values()))


class Upstream(Protocol):
    """A simulated engine or service."""

    def is_open(self) -> bool:
        """Return whether it accepts connections."""

    async def handle(self, call: Call, sink: Callable[[bytes], None]) -> int:
        """Answer a call in parts and return the status.

        :raises ConnectionError: if the connection breaks.
        """


class SimOutbound:
    """HTTP client that reaches simulated upstreams by host and port."""

    __slots__ = ('_blocked', 'upstreams')

    def __init__(self, upstreams: dict[str, Upstream]) -> None:
        """Reach these upstreams, by their addresses."""
        self.upstreams = upstreams
        self._blocked: set[str] = set()

    def set_cut(self, address: str, *, cut: bool) -> None:
        """Cut an upstream off, or join it again."""
        if cut:
            self._blocked.add(address)
        else:
            self._blocked.discard(address)

    async def fetch(
        self,
        call: Call,
        transfer: Transfer | None = None,
    ) -> Reply:
        """Exchange one request for a whole response."""
        parts: list[bytes] = []
        reply = await self.stream(call, transfer or Transfer(), parts.append)
        return Reply(reply.status, reply.headers, b''.join(parts))

    async def stream(
        self,
        call: Call,
        transfer: Transfer,
        sink: Callable[[bytes], None],
        head_sink: Callable[[int, HTTPHeaders], None] | None = None,
    ) -> Reply:
        """Exchange one request for a response that arrives in parts."""
        address = call.url.split('/')[2]
        upstream = self.upstreams.get(address)
        await asyncio.sleep(CALL_DELAY_S)
        closed = upstream is None or not upstream.is_open()
        if closed or address in self._blocked or not transfer.try_mark_sent():
            raise UpstreamRefused('connection refused')
        assert upstream is not None  # noqa: S101
        work = asyncio.ensure_future(upstream.handle(call, sink))
        return await _finish_exchange(work, transfer, call, head_sink)


async def _finish_exchange(
    work: 'asyncio.Future[int]',
    transfer: Transfer,
    call: Call,
    head_sink: Callable[[int, HTTPHeaders], None] | None,
) -> Reply:
    if head_sink:
        head_sink(HTTPStatus.OK, HTTPHeaders())
    stop = asyncio.ensure_future(transfer.wait_for_abort())
    try:
        await asyncio.wait(
            (work, stop),
            timeout=call.timeout_s or _CLIENT_TIMEOUT_S,
            return_when=asyncio.FIRST_COMPLETED,
        )
    finally:
        stop.cancel()
        if not work.done():
            work.cancel()
    if transfer.aborted:
        raise UpstreamCut('aborted by this instance')
    if not work.done() or work.cancelled():
        raise UpstreamStalled('no answer in time')
    try:
        status = work.result()
    except ConnectionError as error:
        raise UpstreamCut(str(error)) from error
    return Reply(status, HTTPHeaders(), b'')


def build_links(network: SimNetwork) -> Callable[..., SimLinks]:
    """Return what makes an instance's links on a network."""

    def build(
        config: LocalConfig,
        get_incarnation: Callable[[], int],
        _: Metrics,
        events: LinkCallbacks,
    ) -> SimLinks:
        return SimLinks(network, config, get_incarnation, events)

    return build
