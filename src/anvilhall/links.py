"""Links between instances: websockets that carry CBOR messages.

Each instance dials the instances that it watches or asks for grants; answers
come back on the same link. Both sides prove knowledge of the shared key.
"""

import asyncio
import hashlib
import hmac
import secrets
import ssl
from collections.abc import Callable, Container
from typing import Any, Protocol

import msgspec
from websockets.asyncio.client import connect
from websockets.asyncio.connection import Connection
from websockets.asyncio.server import Server, serve
from websockets.exceptions import ConnectionClosed, WebSocketException

from anvilhall import defaults
from anvilhall.core.messages import (
    Challenge,
    Heartbeat,
    Hello,
    Message,
    UnknownMessage,
    decode_message,
    encode_message,
)
from anvilhall.exceptions import PeerProtocolBroken, PeerUnreachable
from anvilhall.local import LocalConfig, Tls, split_address
from anvilhall.logs import log_event
from anvilhall.metrics import Metrics

#: Version of the messages; instances of different versions work together.
PROTOCOL_VERSION = 1
#: Heartbeats of which one goes to instances that do not watch the sender: what
#: they need is that a dead connection is noticed in the end.
SLOW_BEATS = 4
#: Seconds for dialling and the exchange of hellos.
_HANDSHAKE_TIMEOUT_S = 1.0
#: Seconds between attempts to dial one instance.
_REDIAL_S = 0.25
#: Bytes of a nonce.
_NONCE_BYTES = 16
#: Messages a second that one link may bring, and the burst on top.
_MESSAGES_PER_S = 5000
_CODE_POLICY = 1008
_DIAL_FAILURES = (
    OSError,
    TimeoutError,
    WebSocketException,
    PeerProtocolBroken,
)


class Link:
    """One open link to an instance."""

    __slots__ = (
        '_connection',
        '_metrics',
        '_outbox',
        '_writer',
        'heard_at',
        'hello',
    )

    def __init__(
        self,
        connection: Connection,
        hello: Hello,
        metrics: Metrics,
    ) -> None:
        """Wrap a connection whose hellos have been exchanged."""
        self._connection = connection
        self._metrics = metrics
        self.hello = hello
        #: Time of the last message from the other side, in loop seconds.
        self.heard_at = asyncio.get_running_loop().time()
        self._outbox: asyncio.Queue[bytes] = asyncio.Queue()
        self._writer = asyncio.ensure_future(self._write_outbox())

    def send(self, message: Message) -> None:
        """Queue a message for the other side."""
        kind = type(message).__name__
        self._metrics.link_messages.labels('out', kind).inc()
        self._outbox.put_nowait(encode_message(message))

    async def read(self) -> Message | UnknownMessage:
        """Return the next message.

        :raises ConnectionClosed: when the link is down.
        :raises PeerProtocolBroken: if a frame is not a message.
        """
        frame = await self._connection.recv()
        self.heard_at = asyncio.get_running_loop().time()
        return _decode_frame(frame)

    def close(self) -> None:
        """Close the link without waiting for the other side."""
        self._writer.cancel()
        self._connection.transport.abort()

    async def _write_outbox(self) -> None:
        try:
            while True:
                await self._connection.send(await self._outbox.get())
        except ConnectionClosed:
            return


class LinkEvents:
    """Callbacks for what happens on links."""

    __slots__ = ('on_down', 'on_message', 'on_up')

    def __init__(
        self,
        on_up: Callable[[Hello], None],
        on_down: Callable[[str], None],
        on_message: Callable[[str, Message], None],
    ) -> None:
        """Keep the callbacks."""
        self.on_up = on_up
        self.on_down = on_down
        self.on_message = on_message


class LinkSet(Protocol):
    """What the fleet needs of the links of one instance."""

    @property
    def names(self) -> frozenset[str]:
        """Instances with a link in either direction."""

    async def listen(self) -> None:
        """Accept links."""

    def want(self, wanted: dict[str, str]) -> None:
        """Keep links to these instances, and drop the other dialled ones."""

    def add(self, name: str, address: str) -> None:
        """Keep a link to one more instance open."""

    def send(self, name: str, message: Message) -> None:
        """Send a message to an instance."""

    def beat(
        self,
        heartbeat: Heartbeat,
        receivers: Container[str],
    ) -> None:
        """Send a heartbeat to those of the receivers that have a link."""

    def close_silent(self, watched: Container[str]) -> None:
        """Close the links that have been silent for too long."""

    def close(self) -> None:
        """Close all links and stop accepting."""


class Links:
    """All links of one instance, as websockets.

    :param get_incarnation: returns this instance's present incarnation.
    """

    __slots__ = (
        '_accepted',
        '_config',
        '_dialled',
        '_dialling',
        '_events',
        '_get_incarnation',
        '_metrics',
        '_server',
        '_wanted',
    )

    def __init__(
        self,
        config: LocalConfig,
        get_incarnation: Callable[[], int],
        metrics: Metrics,
        events: LinkEvents,
    ) -> None:
        """Start with no link."""
        self._config = config
        self._get_incarnation = get_incarnation
        self._metrics = metrics
        self._events = events
        self._server: Server | None = None
        self._dialled: dict[str, Link] = {}
        self._accepted: dict[str, Link] = {}
        self._dialling: dict[str, asyncio.Future[None]] = {}
        self._wanted: dict[str, str] = {}

    @property
    def names(self) -> frozenset[str]:
        """Instances with a link in either direction."""
        return frozenset((*self._dialled, *self._accepted))

    async def listen(self) -> None:
        """Accept links."""
        host, port = split_address(self._config.listen.peers)
        tls = self._config.tls
        self._server = await serve(
            self._accept,
            host,
            port,
            max_size=defaults.PEER_MESSAGE_LIMIT_BYTES,
            compression=None,
            ping_interval=None,
            ssl=_build_tls(tls, ssl.Purpose.CLIENT_AUTH) if tls else None,
        )

    def want(self, wanted: dict[str, str]) -> None:
        """Keep links to these instances open, and drop the other dialled ones.

        :param wanted: link addresses by instance name.
        """
        self._wanted = wanted
        for name in sorted(set(self._dialling) - set(wanted)):
            self._dialling.pop(name).cancel()
        for name, address in wanted.items():
            if name not in self._dialling:
                self._dialling[name] = asyncio.ensure_future(
                    self._keep_dialled(name, address),
                )

    def add(self, name: str, address: str) -> None:
        """Keep a link to one more instance open."""
        if name not in self._wanted:
            self.want({**self._wanted, name: address})

    def send(self, name: str, message: Message) -> None:
        """Send a message to an instance.

        :raises PeerUnreachable: if there is no link to it.
        """
        link = self._dialled.get(name) or self._accepted.get(name)
        if link is None:
            raise PeerUnreachable(f'no link to {name}')
        link.send(message)

    def beat(
        self,
        heartbeat: Heartbeat,
        receivers: Container[str],
    ) -> None:
        """Send a heartbeat on all links with the receivers."""
        for link in (*self._dialled.values(), *self._accepted.values()):
            if link.hello.instance in receivers:
                link.send(heartbeat)

    def close_silent(self, watched: Container[str]) -> None:
        """Close the links that have been silent for too long.

        :param watched: instances that send each heartbeat on their links; the
            others send each :data:`SLOW_BEATS`-th.
        """
        now = asyncio.get_running_loop().time()
        for link in (*self._dialled.values(), *self._accepted.values()):
            limit_s = self._config.timings.suspect_after_s
            if link.hello.instance not in watched:
                limit_s *= SLOW_BEATS
            if now - link.heard_at > limit_s:
                link.close()

    def close(self) -> None:
        """Close all links and stop accepting."""
        self.want({})
        for link in (*self._dialled.values(), *self._accepted.values()):
            link.close()
        if self._server:
            self._server.close()

    async def _keep_dialled(self, name: str, address: str) -> None:
        while True:
            try:
                await self._dial(name, address)
            except _DIAL_FAILURES as error:
                self._metrics.link_messages.labels(
                    'out',
                    type(error).__name__,
                ).inc()
            await asyncio.sleep(_REDIAL_S)

    async def _dial(self, name: str, address: str) -> None:
        tls = self._config.tls
        scheme = 'wss' if tls else 'ws'
        connection = await asyncio.wait_for(
            connect(
                f'{scheme}://{address}/',
                max_size=defaults.PEER_MESSAGE_LIMIT_BYTES,
                compression=None,
                proxy=None,
                ping_interval=None,
                ssl=_build_tls(tls, ssl.Purpose.SERVER_AUTH) if tls else None,
            ),
            _HANDSHAKE_TIMEOUT_S,
        )
        try:
            hello = await asyncio.wait_for(
                self._greet_server(connection),
                _HANDSHAKE_TIMEOUT_S,
            )
            if hello.instance != name:
                raise PeerProtocolBroken(f'{address} is {hello.instance}')
            link = Link(connection, hello, self._metrics)
            await self._run(link, self._dialled, 'dialled')
        finally:
            connection.transport.abort()

    async def _accept(self, connection: Connection) -> None:
        try:
            hello = await asyncio.wait_for(
                self._greet_client(connection),
                _HANDSHAKE_TIMEOUT_S,
            )
        except (ConnectionClosed, TimeoutError):
            return
        except PeerProtocolBroken:
            self._metrics.link_messages.labels('in', 'refused').inc()
            await connection.close(_CODE_POLICY)
            return
        link = Link(connection, hello, self._metrics)
        await self._run(link, self._accepted, 'accepted')

    async def _run(
        self,
        link: Link,
        registry: dict[str, Link],
        direction: str,
    ) -> None:
        name = link.hello.instance
        replaced = registry.get(name)
        registry[name] = link
        if replaced:
            replaced.close()
        self._metrics.links_opened.labels(direction).inc()
        log_event('link_up', instance=name, direction=direction)
        self._events.on_up(link.hello)
        try:
            await self._read_messages(link)
        finally:
            link.close()
            if registry.get(name) is link:
                registry.pop(name)
                log_event('link_down', instance=name, direction=direction)
                self._events.on_down(name)

    async def _read_messages(self, link: Link) -> None:
        allowance = _Allowance()
        try:
            while True:
                message = await link.read()
                allowance.spend()
                self._pass_on(link.hello.instance, message)
        except ConnectionClosed:
            return
        except PeerProtocolBroken as error:
            log_event(
                'link_refused',
                instance=link.hello.instance,
                reason=error.reason,
            )
            link.close()

    def _pass_on(self, name: str, message: Message | UnknownMessage) -> None:
        if isinstance(message, UnknownMessage):
            self._metrics.unknown_messages.inc()
            return
        kind = type(message).__name__
        self._metrics.link_messages.labels('in', kind).inc()
        self._events.on_message(name, message)

    async def _greet_server(self, connection: Connection) -> Hello:
        challenge = _decode_frame(await connection.recv())
        if not isinstance(challenge, Challenge):
            raise PeerProtocolBroken('no challenge')
        mine = self._introduce(challenge.nonce)
        await connection.send(encode_message(mine))
        theirs = _decode_frame(await connection.recv())
        return self._check_hello(theirs, mine.nonce)

    async def _greet_client(self, connection: Connection) -> Hello:
        nonce = secrets.token_hex(_NONCE_BYTES)
        await connection.send(encode_message(Challenge(nonce)))
        theirs = _decode_frame(await connection.recv())
        hello = self._check_hello(theirs, nonce)
        mine = self._introduce(hello.nonce)
        await connection.send(encode_message(mine))
        return hello

    def _introduce(self, nonce: str) -> Hello:
        unsigned = Hello(
            instance=self._config.instance,
            region=self._config.region,
            failure_domain=self._config.failure_domain,
            incarnation=self._get_incarnation(),
            protocol=PROTOCOL_VERSION,
            proof='',
            nonce=secrets.token_hex(_NONCE_BYTES),
            address=self._config.listen.peers,
            capacity=self._config.capacity,
        )
        proof = _prove(self._config.peer_key, nonce, unsigned)
        return msgspec.structs.replace(unsigned, proof=proof)

    def _check_hello(self, hello: Any, nonce: str) -> Hello:
        if not isinstance(hello, Hello):
            raise PeerProtocolBroken('no hello')
        expected = _prove(self._config.peer_key, nonce, hello)
        if not hmac.compare_digest(expected, hello.proof):
            raise PeerProtocolBroken('the proof is wrong')
        return hello


class _Allowance:
    """Messages that one link may still bring in the present second."""

    __slots__ = ('_left', '_second')

    def __init__(self) -> None:
        self._left = _MESSAGES_PER_S
        self._second = 0

    def spend(self) -> None:
        second = int(asyncio.get_running_loop().time())
        if second != self._second:
            self._second = second
            self._left = _MESSAGES_PER_S
        self._left -= 1
        if self._left < 0:
            raise PeerProtocolBroken('too many messages')


def _decode_frame(frame: str | bytes) -> Message | UnknownMessage:
    if isinstance(frame, str):
        raise PeerProtocolBroken('a text frame')
    return decode_message(frame)


def _prove(key: str, nonce: str, hello: Hello) -> str:
    fields = msgspec.structs.replace(hello, proof='')
    covered = nonce.encode() + encode_message(fields)
    return hmac.new(key.encode(), covered, hashlib.sha256).hexdigest()


def _build_tls(tls: Tls, purpose: ssl.Purpose) -> ssl.SSLContext:
    context = ssl.create_default_context(purpose, cafile=tls.authority)
    context.load_cert_chain(tls.certificate, tls.private_key)
    context.check_hostname = False
    context.verify_mode = ssl.CERT_REQUIRED
    return context
