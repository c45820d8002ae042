"""Links between instances: websockets that carry CBOR messages.

Each instance dials the peers that it monitors or asks for grants. A link
carries messages both ways. Each side authenticates with an HMAC, keyed with the
shared peer key, over the other side's nonce and its own hello.
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
from anvilhall.faults import report_internal_error
from anvilhall.local import LocalConfig, Tls, split_address
from anvilhall.logs import log_event
from anvilhall.metrics import Metrics
from anvilhall.tasks import is_cancelled

#: Version of the message protocol; instances with different versions
#: interoperate.
PROTOCOL_VERSION = 1
#: One heartbeat in this many also goes to peers that do not monitor the sender:
#: they need it only to detect a dead connection eventually.
SLOW_HEARTBEAT_FACTOR = 4
#: Timeout of the dial and of the exchange of hellos, each in seconds.
_HANDSHAKE_TIMEOUT_S = 1.0
#: Seconds between two attempts to dial one instance.
_REDIAL_S = 0.25
_NONCE_BYTES = 16
#: Messages accepted from one link in one second; beyond it the link is closed.
_MESSAGES_PER_S = 5000
_CLOSE_POLICY_VIOLATION = 1008
_DIAL_FAILURES = (
    OSError,
    TimeoutError,
    WebSocketException,
    PeerProtocolBroken,
)


class Link:
    """One open link to a peer."""

    __slots__ = (
        '_connection',
        '_metrics',
        '_outbox',
        '_writer',
        'hello',
        'received_at',
    )

    def __init__(
        self,
        connection: Connection,
        hello: Hello,
        metrics: Metrics,
    ) -> None:
        """Wrap a connection that has completed the handshake."""
        self._connection = connection
        self._metrics = metrics
        self.hello = hello
        #: Loop time of the last frame received, in seconds.
        self.received_at = asyncio.get_running_loop().time()
        self._outbox: asyncio.Queue[bytes] = asyncio.Queue()
        self._writer = asyncio.ensure_future(self._write_outbox())

    def send(self, message: Message) -> None:
        """Queue a message for sending."""
        kind = type(message).__name__
        self._metrics.link_messages.labels('out', kind).inc()
        self._outbox.put_nowait(encode_message(message))

    async def read(self) -> Message | UnknownMessage:
        """Return the next message.

        :raises ConnectionClosed: when the connection is closed.
        :raises PeerProtocolBroken: if a frame is not a message.
        """
        frame = await self._connection.recv()
        self.received_at = asyncio.get_running_loop().time()
        return _decode_frame(frame)

    def close(self) -> None:
        """Close the link at once, without a closing handshake."""
        self._writer.cancel()
        self._connection.transport.abort()

    async def _write_outbox(self) -> None:
        try:
            while True:
                await self._connection.send(await self._outbox.get())
        except ConnectionClosed:
            return
        except Exception as fault:  # noqa: BLE001
            # Messages would wait for ever on a link that seems to be open.
            report_internal_error(self._metrics, fault)
            self._connection.transport.abort()


class LinkCallbacks:
    """Callbacks for links that come up, go down or fail and for messages."""

    __slots__ = ('on_down', 'on_failed', 'on_message', 'on_up')

    def __init__(
        self,
        on_up: Callable[[Hello], None],
        on_down: Callable[[str], None],
        on_message: Callable[[str, Message], None],
        on_failed: Callable[[str], None],
    ) -> None:
        """Store the callbacks."""
        self.on_failed = on_failed
        self.on_up = on_up
        self.on_down = on_down
        self.on_message = on_message


class LinkSet(Protocol):
    """The links of one instance, as the fleet uses them."""

    @property
    def names(self) -> frozenset[str]:
        """Instances with a link in either direction."""

    async def listen(self) -> None:
        """Start accepting links."""

    def set_peers(self, wanted: dict[str, str]) -> None:
        """Dial these instances, and no longer dial any others."""

    def add_peer(self, name: str, address: str) -> None:
        """Dial one more instance."""

    def send(self, name: str, message: Message) -> None:
        """Send a message to an instance."""

    def send_heartbeat(
        self,
        heartbeat: Heartbeat,
        receivers: Container[str],
    ) -> None:
        """Send a heartbeat to the receivers that have a link."""

    def close_silent(self, monitored: Container[str]) -> None:
        """Close the links that have received nothing within their limit."""

    def close(self) -> None:
        """Close all links and stop accepting."""


class Links:
    """All links of one instance, as websockets.

    :param get_incarnation: returns this instance's current incarnation.
    """

    __slots__ = (
        '_accepted',
        '_config',
        '_dialled',
        '_dialling',
        '_callbacks',
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
        callbacks: LinkCallbacks,
    ) -> None:
        """Start without links."""
        self._config = config
        self._get_incarnation = get_incarnation
        self._metrics = metrics
        self._callbacks = callbacks
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
        """Start accepting links."""
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

    def set_peers(self, wanted: dict[str, str]) -> None:
        """Dial these instances, and close the other dialled links.

        A dialled link that goes down is dialled again.

        :param wanted: link addresses by instance name.
        """
        self._wanted = wanted
        for name in sorted(set(self._dialling) - set(wanted)):
            self._dialling.pop(name).cancel()
        for name, address in wanted.items():
            if name not in self._dialling:
                self._dialling[name] = asyncio.ensure_future(
                    self._keep_connected(name, address),
                )

    def add_peer(self, name: str, address: str) -> None:
        """Dial one more instance."""
        if name not in self._wanted:
            self.set_peers({**self._wanted, name: address})

    def send(self, name: str, message: Message) -> None:
        """Send a message to an instance.

        :raises PeerUnreachable: if there is no link to it.
        """
        link = self._dialled.get(name) or self._accepted.get(name)
        if link is None:
            raise PeerUnreachable(f'no link to {name}')
        link.send(message)

    def send_heartbeat(
        self,
        heartbeat: Heartbeat,
        receivers: Container[str],
    ) -> None:
        """Send a heartbeat on every link to one of the receivers."""
        for link in (*self._dialled.values(), *self._accepted.values()):
            if link.hello.instance in receivers:
                link.send(heartbeat)

    def close_silent(self, monitored: Container[str]) -> None:
        """Close the links that have received nothing within their limit.

        :param monitored: instances that this one monitors; they send it every
            heartbeat. The others send one in :data:`SLOW_HEARTBEAT_FACTOR`,
            so their time limit is longer by that factor.
        """
        now = asyncio.get_running_loop().time()
        for link in (*self._dialled.values(), *self._accepted.values()):
            limit_s = self._config.timings.suspect_after_s
            if link.hello.instance not in monitored:
                limit_s *= SLOW_HEARTBEAT_FACTOR
            if now - link.received_at > limit_s:
                link.close()

    def close(self) -> None:
        """Close all links and stop accepting."""
        self.set_peers({})
        for link in (*self._dialled.values(), *self._accepted.values()):
            link.close()
        if self._server:
            self._server.close()

    async def _keep_connected(self, name: str, address: str) -> None:
        last_failure = ''
        while True:
            try:
                await self._dial(name, address)
            except _DIAL_FAILURES as error:
                failure = type(error).__name__
                self._metrics.link_messages.labels('out', failure).inc()
                self._callbacks.on_failed(name)
                if failure != last_failure:
                    # Each cause is logged once, not at each redial.
                    last_failure = failure
                    log_event(
                        'link_failed',
                        instance=name,
                        address=address,
                        reason=f'{failure}: {error}',
                    )
            except (Exception, asyncio.CancelledError) as fault:
                if is_cancelled():
                    raise
                # Nothing else would dial this instance again.
                report_internal_error(self._metrics, fault)
            else:
                last_failure = ''
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
                self._handshake_as_dialler(connection),
                _HANDSHAKE_TIMEOUT_S,
            )
            if hello.instance != name:
                raise PeerProtocolBroken(
                    f'dialled {name} at {address}, got {hello.instance}',
                )
            link = Link(connection, hello, self._metrics)
            await self._run_link(link, self._dialled, 'dialled')
        finally:
            connection.transport.abort()

    async def _accept(self, connection: Connection) -> None:
        try:
            hello = await asyncio.wait_for(
                self._handshake_as_acceptor(connection),
                _HANDSHAKE_TIMEOUT_S,
            )
        except (ConnectionClosed, TimeoutError):
            return
        except PeerProtocolBroken as error:
            self._metrics.link_messages.labels('in', 'refused').inc()
            log_event('link_refused', instance='', reason=error.reason)
            await connection.close(_CLOSE_POLICY_VIOLATION)
            return
        link = Link(connection, hello, self._metrics)
        try:
            await self._run_link(link, self._accepted, 'accepted')
        except Exception as fault:  # noqa: BLE001
            # The connection is closed, and the peer dials again.
            report_internal_error(self._metrics, fault)

    async def _run_link(
        self,
        link: Link,
        links: dict[str, Link],
        direction: str,
    ) -> None:
        name = link.hello.instance
        replaced = links.get(name)
        links[name] = link
        if replaced:
            replaced.close()
        try:
            self._metrics.links_opened.labels(direction).inc()
            log_event('link_up', instance=name, direction=direction)
            self._callbacks.on_up(link.hello)
            await self._read_messages(link)
        finally:
            link.close()
            if links.get(name) is link:
                links.pop(name)
                log_event('link_down', instance=name, direction=direction)
                self._callbacks.on_down(name)

    async def _read_messages(self, link: Link) -> None:
        rate_limit = _RateLimit()
        try:
            while True:
                message = await link.read()
                rate_limit.count_message()
                self._dispatch(link.hello.instance, message)
        except ConnectionClosed:
            return
        except PeerProtocolBroken as error:
            log_event(
                'link_refused',
                instance=link.hello.instance,
                reason=error.reason,
            )
            link.close()

    def _dispatch(self, name: str, message: Message | UnknownMessage) -> None:
        if isinstance(message, UnknownMessage):
            self._metrics.unknown_messages.inc()
            return
        kind = type(message).__name__
        self._metrics.link_messages.labels('in', kind).inc()
        try:
            self._callbacks.on_message(name, message)
        except Exception as error:  # noqa: BLE001
            # A bug in a handler must not end the link or its redialling.
            failure = type(error).__name__
            self._metrics.internal_errors.labels(failure).inc()
            log_event(
                'message_failed',
                instance=name,
                message=kind,
                reason=f'{failure}: {error}',
            )

    async def _handshake_as_dialler(self, connection: Connection) -> Hello:
        challenge = _decode_frame(await connection.recv())
        if not isinstance(challenge, Challenge):
            raise PeerProtocolBroken(
                f'expected a Challenge, got {type(challenge).__name__}',
            )
        mine = self._build_hello(challenge.nonce)
        await connection.send(encode_message(mine))
        theirs = _decode_frame(await connection.recv())
        return self._check_hello(theirs, mine.nonce)

    async def _handshake_as_acceptor(self, connection: Connection) -> Hello:
        nonce = secrets.token_hex(_NONCE_BYTES)
        await connection.send(encode_message(Challenge(nonce)))
        theirs = _decode_frame(await connection.recv())
        hello = self._check_hello(theirs, nonce)
        mine = self._build_hello(hello.nonce)
        await connection.send(encode_message(mine))
        return hello

    def _build_hello(self, nonce: str) -> Hello:
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
        proof = _compute_proof(self._config.peer_key, nonce, unsigned)
        return msgspec.structs.replace(unsigned, proof=proof)

    def _check_hello(self, hello: Any, nonce: str) -> Hello:
        if not isinstance(hello, Hello):
            raise PeerProtocolBroken(
                f'expected a Hello, got {type(hello).__name__}',
            )
        expected = _compute_proof(self._config.peer_key, nonce, hello)
        if not hmac.compare_digest(expected, hello.proof):
            raise PeerProtocolBroken(
                f'proof from {hello.instance} does not match the peer key',
            )
        return hello


class _RateLimit:
    """Limits the messages received on one link in each second."""

    __slots__ = ('_left', '_second')

    def __init__(self) -> None:
        self._left = _MESSAGES_PER_S
        self._second = 0

    def count_message(self) -> None:
        second = int(asyncio.get_running_loop().time())
        if second != self._second:
            self._second = second
            self._left = _MESSAGES_PER_S
        self._left -= 1
        if self._left < 0:
            raise PeerProtocolBroken(
                f'more than {_MESSAGES_PER_S} messages in one second',
            )


def _decode_frame(frame: str | bytes) -> Message | UnknownMessage:
    if isinstance(frame, str):
        raise PeerProtocolBroken('got a text frame, expected binary CBOR')
    return decode_message(frame)


def _compute_proof(key: str, nonce: str, hello: Hello) -> str:
    fields = msgspec.structs.replace(hello, proof='')
    covered = nonce.encode() + encode_message(fields)
    return hmac.new(key.encode(), covered, hashlib.sha256).hexdigest()


def _build_tls(tls: Tls, purpose: ssl.Purpose) -> ssl.SSLContext:
    context = ssl.create_default_context(purpose, cafile=tls.authority)
    context.load_cert_chain(tls.certificate, tls.private_key)
    context.check_hostname = False
    context.verify_mode = ssl.CERT_REQUIRED
    return context
