"""In-memory network, platform services and upstream client on virtual time.

Real instances run on them; only sockets and processes are replaced. Messages
are delayed; links and calls can be cut. The log can be unavailable, lose the
response to an append, or let an append take effect late.
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
from anvilhall.core.positions import Position
from anvilhall.exceptions import (
    AppendUncertain,
    LogUnavailable,
    PeerUnreachable,
    PlatformError,
    RecordsExpired,
    StoreRestored,
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
_RECONNECT_DELAY_S = 0.25
_CLIENT_TIMEOUT_S = 3600.0


class SimNetwork:
    """Network of the links between instances.

    :param rng: random number generator for the delays.
    """

    __slots__ = ('_cuts', '_paused', '_rng', 'bytes_sent', 'nodes')

    def __init__(self, rng: random.Random) -> None:
        """Create a network without nodes and cuts."""
        self._rng = rng
        self.nodes: dict[str, SimLinks] = {}
        self._cuts: set[frozenset[str]] = set()
        self._paused: set[str] = set()
        #: Bytes sent so far, by name of the sender.
        self.bytes_sent: dict[str, int] = {}

    def cut(self, one: str, other: str) -> None:
        """Drop all frames between two instances from now on."""
        self._cuts.add(frozenset((one, other)))

    def heal(self) -> None:
        """Remove all cuts."""
        self._cuts.clear()

    def is_cut(self, one: str, other: str) -> bool:
        """Return whether the link between two instances is cut."""
        return frozenset((one, other)) in self._cuts

    def draw_delay_s(self) -> float:
        """Draw the one-way delay of one message, in seconds."""
        return LINK_DELAY_S * self._rng.uniform(0.5, 2)

    def transmit(self, sender: str, receiver: str, frame: bytes) -> None:
        """Deliver a frame after a delay.

        The frame is dropped if the link is cut or the receiver has left when
        the delay ends.
        """
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
    """Links of one instance, in place of websockets."""

    __slots__ = (
        '_callbacks',
        '_config',
        '_dialling',
        '_get_incarnation',
        '_last_received_at',
        '_network',
        '_peers',
        '_up',
        'closed',
    )

    def __init__(
        self,
        network: SimNetwork,
        config: LocalConfig,
        get_incarnation: Callable[[], int],
        events: LinkCallbacks,
    ) -> None:
        """Create an instance's links and register them with the network."""
        self._network = network
        self._config = config
        self._get_incarnation = get_incarnation
        self._callbacks = events
        self._up: dict[str, bool] = {}
        self._last_received_at: dict[str, float] = {}
        self._peers: dict[str, str] = {}
        self._dialling: dict[str, asyncio.TimerHandle] = {}
        self.closed = False
        network.nodes[config.instance] = self

    @property
    def names(self) -> frozenset[str]:
        """Names of the instances with an open link."""
        return frozenset(self._up)

    async def listen(self) -> None:
        """Do nothing: the network delivers to registered links."""

    def set_peers(self, peers: dict[str, str]) -> None:
        """Replace the peers to which links are kept open."""
        self._peers = peers
        for name in peers:
            self._dial(name)

    def add_peer(self, name: str, address: str) -> None:
        """Add a peer to which a link is kept open."""
        self.set_peers({**self._peers, name: address})

    def send(self, name: str, message: Message) -> None:
        """Send a message to an instance.

        :raises PeerUnreachable: if there is no open link to it.
        """
        if name not in self._up:
            raise PeerUnreachable(f'no link to {name}')
        frame = encode_message(message)
        self._network.transmit(self._config.instance, name, frame)

    def send_heartbeat(
        self,
        heartbeat: Heartbeat,
        receivers: Container[str],
    ) -> None:
        """Send a heartbeat to all receivers with an open link."""
        for name in list(self._up):
            if name in receivers:
                self.send(name, heartbeat)

    def close_silent(self, monitored: Container[str]) -> None:
        """Close links on which nothing arrived within the suspicion timeout.

        :param monitored: peers that send heartbeats at the full rate; for all
            other peers the timeout is ``SLOW_HEARTBEAT_FACTOR`` times longer.
        """
        now = asyncio.get_running_loop().time()
        for name, received_at in list(self._last_received_at.items()):
            limit_s = self._config.timings.suspect_after_s
            if name not in monitored:
                limit_s *= SLOW_HEARTBEAT_FACTOR
            if name in self._up and now - received_at > limit_s:
                self._close_link(name)

    def close(self) -> None:
        """Close all links and leave the network."""
        self.closed = True
        self._peers = {}
        if self._network.nodes.get(self._config.instance) is self:
            self._network.nodes.pop(self._config.instance)
        for name in list(self._up):
            self._up.pop(name)
            node = self._network.nodes.get(name)
            if node:
                node.handle_remote_close(self._config.instance)

    def handle_remote_close(self, name: str) -> None:
        """Close the link to a peer that closed it, unless the link is cut."""
        if name in self._up and not self._network.is_cut(
            name,
            self._config.instance,
        ):
            self._close_link(name)

    def receive(self, sender: str, frame: bytes) -> None:
        """Decode a frame and pass its message on.

        Frames from senders without an open link are dropped, and so are
        messages of unknown types.
        """
        if self.closed or sender not in self._up:
            return
        self._last_received_at[sender] = asyncio.get_running_loop().time()
        message = decode_message(frame)
        if not isinstance(message, UnknownMessage):
            self._callbacks.on_message(sender, message)

    def establish_link(self, other: 'SimLinks') -> None:
        """Open this side of the link and pass on the other side's hello."""
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
        self._last_received_at[name] = asyncio.get_running_loop().time()
        self._callbacks.on_up(hello)

    def _close_link(self, name: str) -> None:
        self._up.pop(name, None)
        self._callbacks.on_down(name)
        node = self._network.nodes.get(name)
        if node and not self._network.is_cut(name, self._config.instance):
            node.handle_remote_close(self._config.instance)
        if name in self._peers:
            self._dial(name)

    def _dial(self, name: str) -> None:
        if name in self._up or name in self._dialling:
            return
        loop = asyncio.get_running_loop()
        delay_s = 4 * self._network.draw_delay_s()
        self._dialling[name] = loop.call_later(delay_s, self._connect, name)

    def _connect(self, name: str) -> None:
        self._dialling.pop(name, None)
        if self.closed or name not in self._peers or name in self._up:
            return
        node = self._network.nodes.get(name)
        if node is None or self._network.is_cut(self._config.instance, name):
            loop = asyncio.get_running_loop()
            self._dialling[name] = loop.call_later(
                _RECONNECT_DELAY_S,
                self._connect,
                name,
            )
            return
        node.establish_link(self)
        self.establish_link(node)


class SimLog:
    """In-memory log service.

    :param rng: random number generator that selects the lost responses.
    """

    __slots__ = (
        '_appended',
        '_cut_instances',
        '_rng',
        'appends',
        'era',
        'late_append_s',
        'lost_response_share',
        'starts',
        'streams',
        'unavailable',
    )

    def __init__(self, rng: random.Random) -> None:
        """Create an available log without streams."""
        self._rng = rng
        self.streams: dict[str, list[Any]] = {}
        #: Offset of the oldest retained record, by stream.
        self.starts: dict[str, int] = {}
        self.unavailable = False
        #: Rises with each restore.
        self.era = 0
        #: Share of appends whose response is lost.
        self.lost_response_share = 0.0
        #: Delay in seconds until an append with a lost response takes effect.
        self.late_append_s = 0.0
        self.appends = 0
        self._appended = asyncio.Event()
        self._cut_instances: set[str] = set()

    def put(self, stream: str, body: Any) -> int:
        """Append without delay or fault, as operators do."""
        records = self.streams.setdefault(stream, [])
        records.append(msgspec.json.decode(msgspec.json.encode(body)))
        self.appends += 1
        self._appended.set()
        self._appended = asyncio.Event()
        return len(records) - 1

    def restore(self, lost: int) -> None:
        """Come back from a copy without the newest records of each stream."""
        self.era += 1
        self.streams = {
            name: records[: max(0, len(records) - lost)]
            for name, records in self.streams.items()
        }
        self._appended.set()
        self._appended = asyncio.Event()

    def connect(self, name: str) -> 'SimLogClient':
        """Create the client of one instance."""
        return SimLogClient(self, name)

    def set_cut(self, name: str, *, cut: bool) -> None:
        """Cut the connection of one instance, or restore it."""
        if cut:
            self._cut_instances.add(name)
        else:
            self._cut_instances.discard(name)

    def is_reachable(self, name: str) -> bool:
        """Return whether the log answers an instance."""
        return not self.unavailable and name not in self._cut_instances

    def draw_response_loss(self) -> bool:
        """Draw whether the response to the next append is lost."""
        return self._rng.random() < self.lost_response_share

    async def wait_for_append(self, wait_s: float) -> None:
        """Wait for the next append, for at most ``wait_s`` seconds."""
        try:
            await asyncio.wait_for(self._appended.wait(), wait_s)
        except TimeoutError:
            return


class SimLogClient:
    """Log client of one instance."""

    __slots__ = ('_log', '_name')

    def __init__(self, log: SimLog, name: str) -> None:
        """Create the client of the instance with this name."""
        self._log = log
        self._name = name

    async def append(
        self, stream: str, body: Any, era: int | None = None
    ) -> int:
        """Append a record and return its offset.

        :raises StoreRestored: if the log is in another era than ``era``.
        :raises AppendUncertain: if the response is lost; the record is appended
            ``SimLog.late_append_s`` later.
        :raises LogUnavailable: if the log does not answer the instance.
        """
        await asyncio.sleep(CALL_DELAY_S)
        self._check_reachable()
        if era not in {None, self._log.era}:
            raise StoreRestored(f'the log is not in era {era}')
        if self._log.draw_response_loss():
            loop = asyncio.get_running_loop()
            loop.call_later(
                self._log.late_append_s, self._put_late, stream, body, era
            )
            await asyncio.sleep(_LOG_TIMEOUT_S)
            raise AppendUncertain(
                f'no response to an append within {_LOG_TIMEOUT_S} s',
            )
        offset = self._log.put(stream, body)
        await asyncio.sleep(CALL_DELAY_S)
        return offset

    async def read(self, stream: str, offset: int, wait_s: float) -> Page:
        """Read records from an offset on.

        At the end of the stream, wait up to ``wait_s`` seconds for a record.

        :raises RecordsExpired: if the offset is no longer retained.
        :raises LogUnavailable: if the log does not answer the instance.
        """
        await asyncio.sleep(CALL_DELAY_S)
        self._check_reachable()
        if len(self._log.streams.get(stream, ())) == offset:
            await self._log.wait_for_append(wait_s)
        await asyncio.sleep(CALL_DELAY_S)
        self._check_reachable()
        bodies = self._log.streams.get(stream, [])
        if not self._log.starts.get(stream, 0) <= offset <= len(bodies):
            raise RecordsExpired
        records = [
            Record(offset=offset + index, body=body)
            for index, body in enumerate(bodies[offset:])
        ]
        return Page(records=tuple(records), end=len(bodies), era=self._log.era)

    async def find_start(self, stream: str) -> Position:
        """Return the position of the oldest retained record."""
        await asyncio.sleep(CALL_DELAY_S)
        self._check_reachable()
        return Position(self._log.era, self._log.starts.get(stream, 0))

    def _put_late(self, stream: str, body: Any, era: int | None) -> None:
        if era in {None, self._log.era}:
            self._log.put(stream, body)

    def _check_reachable(self) -> None:
        if not self._log.is_reachable(self._name):
            raise LogUnavailable(f'the log is unreachable for {self._name}')


class SimMembership:
    """In-memory membership list with a lag."""

    __slots__ = ('_members', 'lag_s', 'unavailable')

    def __init__(self, lag_s: float) -> None:
        """Create an empty list.

        :param lag_s: lag in seconds of changes made with a lag.
        """
        self.lag_s = lag_s
        self.unavailable = False
        self._members: dict[str, Member] = {}

    def put(self, member: Member) -> None:
        """Add or replace a member without lag."""
        self._members[member.name] = member

    def get(self, name: str) -> Member:
        """Return a member by name."""
        return self._members[name]

    def put_after_lag(self, member: Member) -> None:
        """Add or replace a member after the lag."""
        loop = asyncio.get_running_loop()
        loop.call_later(self.lag_s, self.put, member)

    def remove_after_lag(self, name: str) -> None:
        """Remove a member after the lag."""
        loop = asyncio.get_running_loop()
        loop.call_later(self.lag_s, self._members.pop, name, None)

    async def read(self) -> MemberList:
        """Return all members.

        :raises PlatformError: if the list is unavailable.
        """
        await asyncio.sleep(CALL_DELAY_S)
        if self.unavailable:
            raise PlatformError('the membership list is unavailable')
        return MemberList(members=tuple(self._members.values()))


class Upstream(Protocol):
    """A simulated engine or service."""

    def is_open(self) -> bool:
        """Return whether the upstream accepts connections."""

    async def handle(self, call: Call, sink: Callable[[bytes], None]) -> int:
        """Pass the response body to ``sink`` in parts and return the status.

        :raises ConnectionError: if the connection breaks.
        """


class SimOutbound:
    """HTTP client that routes calls to simulated upstreams by address."""

    __slots__ = ('_cut_addresses', 'upstreams')

    def __init__(self, upstreams: dict[str, Upstream]) -> None:
        """Create a client.

        :param upstreams: upstreams by address.
        """
        self.upstreams = upstreams
        self._cut_addresses: set[str] = set()

    def set_cut(self, address: str, *, cut: bool) -> None:
        """Cut the connection to an upstream, or restore it."""
        if cut:
            self._cut_addresses.add(address)
        else:
            self._cut_addresses.discard(address)

    async def fetch(
        self,
        call: Call,
        transfer: Transfer | None = None,
    ) -> Reply:
        """Send a request and return its complete response."""
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
        """Send a request and pass the parts of the response body to ``sink``.

        :raises UpstreamRefused: if the upstream does not accept the connection
            or the transfer was aborted before the request was sent.
        """
        address = call.url.split('/')[2]
        upstream = self.upstreams.get(address)
        await asyncio.sleep(CALL_DELAY_S)
        closed = upstream is None or not upstream.is_open()
        if (
            closed
            or address in self._cut_addresses
            or not transfer.try_mark_sent()
        ):
            raise UpstreamRefused(f'connection to {address} refused')
        transfer.connected = True
        assert upstream is not None  # noqa: S101
        response = asyncio.ensure_future(upstream.handle(call, sink))
        return await _finish_exchange(response, transfer, call, head_sink)


async def _finish_exchange(
    response: 'asyncio.Future[int]',
    transfer: Transfer,
    call: Call,
    head_sink: Callable[[int, HTTPHeaders], None] | None,
) -> Reply:
    if head_sink:
        head_sink(HTTPStatus.OK, HTTPHeaders())
    abort = asyncio.ensure_future(transfer.wait_for_abort())
    try:
        await asyncio.wait(
            (response, abort),
            timeout=call.timeout_s or _CLIENT_TIMEOUT_S,
            return_when=asyncio.FIRST_COMPLETED,
        )
    finally:
        abort.cancel()
        if not response.done():
            response.cancel()
    if transfer.aborted:
        raise UpstreamCut('aborted by this instance')
    if not response.done() or response.cancelled():
        raise UpstreamStalled('no complete response before the timeout')
    try:
        status = response.result()
    except ConnectionError as error:
        raise UpstreamCut(str(error)) from error
    return Reply(status, HTTPHeaders(), b'')


def build_links(network: SimNetwork) -> Callable[..., SimLinks]:
    """Return a factory for the links of instances on a network."""

    def build(
        config: LocalConfig,
        get_incarnation: Callable[[], int],
        _: Metrics,
        events: LinkCallbacks,
    ) -> SimLinks:
        return SimLinks(network, config, get_incarnation, events)

    return build
