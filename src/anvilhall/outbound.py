"""HTTP client for upstreams and services of the platform."""

import asyncio
import errno
import functools
from collections.abc import Callable, Iterable, Mapping
from http import HTTPStatus
from typing import Protocol

import msgspec
import pycurl
from tornado.httputil import HTTPHeaders

from anvilhall import defaults
from anvilhall.curl import CurlDriver, set_socket_options
from anvilhall.exceptions import (
    UpstreamCut,
    UpstreamRefused,
    UpstreamStalled,
)

#: Largest head of a response with all informational responses before it and
#: the trailers after it, in bytes and in lines.
_HEAD_LIMIT_BYTES = 64 * 1024
_HEAD_LIMIT_LINES = 512
#: Bytes that may be read and belong neither to a head nor to a body: those of
#: each response, and for each byte of its body. A byte of body takes up to six
#: in a chunk of its own.
_OVERHEAD_LIMIT_BYTES = 1024 * 1024
_OVERHEAD_PER_BYTE = 8
#: Chunks of a response that are passed on in one iteration of the event loop.
_TURN_CHUNKS = 32
_MS_PER_S = 1000.0
#: Statuses whose responses have no body.
_BODILESS = frozenset((HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED))
#: Headers that libcurl adds by default; ``Name:`` without a value removes them.
_SUPPRESSED = ('accept', 'content-type', 'expect', 'user-agent')


class Call(msgspec.Struct, frozen=True, kw_only=True):
    """An HTTP request."""

    url: str
    method: str = 'GET'
    #: May be ``HTTPHeaders``, which can hold a header several times.
    headers: Mapping[str, str] = {}
    body: bytes | None = None
    #: Request target, sent unchanged instead of the path of the URL.
    target: str = ''
    connect_timeout_s: float = 1.0
    #: Timeout of the whole exchange; 0: none.
    timeout_s: float = 0.0
    #: Whether to open a new connection instead of reusing one.
    fresh: bool = False
    #: Seconds for which an idle connection may be reused.
    idle_limit_s: int = 60
    #: Largest body that :meth:`Outbound.fetch` gathers, in bytes.
    gather_limit_bytes: int = defaults.GATHER_LIMIT_BYTES


class Reply(msgspec.Struct, frozen=True):
    """A complete HTTP response."""

    status: int
    headers: HTTPHeaders
    body: bytes
    #: Whether the end of the body is known by a length or by chunks, not only
    #: by the end of the connection.
    framed: bool = True


class Transfer:
    """Handle for aborting an exchange and checking whether it was sent.

    The request is sent over one connection at most. By default, libcurl sends
    it again if a reused connection is closed before a response arrives.
    """

    __slots__ = (
        '_abort_future',
        '_aborted',
        '_on_resume',
        'connected',
        'refused',
        'sent',
        'suspended',
    )

    def __init__(self) -> None:
        """Start with the request unsent."""
        #: Whether any byte of the request may have been sent.
        self.sent = False
        #: Whether a new connection was opened, on which there can be no
        #: response to an earlier request.
        self.connected = False
        #: Whether the address refused the connection, so that nothing listens
        #: there. A connect that timed out, found no route to the host or had no
        #: descriptor left tells nothing of the address.
        self.refused = False
        #: Whether the body of the response is not read for now.
        self.suspended = False
        self._aborted = False
        self._abort_future: asyncio.Future[None] | None = None
        self._on_resume: Callable[[], None] | None = None

    @property
    def aborted(self) -> bool:
        """Whether the exchange has been aborted."""
        return self._aborted

    def abort(self) -> None:
        """Abort the exchange; a request not yet sent is never sent."""
        self._aborted = True
        if self._abort_future and not self._abort_future.done():
            self._abort_future.set_result(None)

    async def wait_for_abort(self) -> None:
        """Wait until the exchange is aborted."""
        self._abort_future = asyncio.get_running_loop().create_future()
        if not self._aborted:
            await self._abort_future

    def try_mark_sent(self) -> bool:
        """Mark the request as sent; return whether it may be sent now."""
        if self.sent or self._aborted:
            return False
        self.sent = True
        return True

    def suspend(self) -> None:
        """Stop reading the body of the response until it is resumed."""
        self.suspended = True

    def resume(self) -> None:
        """Read the body of the response on."""
        if self.suspended and self._on_resume:
            self._on_resume()
        self.suspended = False

    def bind(
        self,
        done: 'asyncio.Future[None]',
        on_resume: Callable[[], None] | None = None,
    ) -> None:
        """Bind the exchange.

        :param done: resolved when the exchange is aborted.
        :param on_resume: called when the exchange is resumed.
        """
        self._on_resume = on_resume
        self._abort_future = done
        if self._aborted and not done.done():
            done.set_result(None)

    def unbind(self) -> None:
        """Forget the exchange, which has ended: its handle may be reused."""
        self._on_resume = None


class Outbound(Protocol):
    """Sends HTTP requests."""

    async def fetch(
        self, call: Call, transfer: Transfer | None = None
    ) -> Reply:
        """Send a request and return the complete response of any status."""

    async def stream(
        self,
        call: Call,
        transfer: Transfer,
        sink: Callable[[bytes], None],
        head_sink: Callable[[int, HTTPHeaders], None] | None = None,
    ) -> Reply:
        """Send a request and pass its response on in chunks."""


class CurlOutbound:
    """Sends HTTP requests with libcurl over one connection pool."""

    __slots__ = ('_driver', '_fresh_until')

    def __init__(self) -> None:
        """Create the client; the first request creates its driver."""
        self._driver: CurlDriver | None = None
        #: Loop time until which requests to an address open new connections.
        #: libcurl keeps a connection that ended within the head of a response,
        #: and the next request on it would be lost.
        self._fresh_until: dict[str, float] = {}

    def close(self) -> None:
        """Abort all requests and close all connections."""
        if self._driver:
            self._driver.close()
            self._driver = None

    async def fetch(
        self, call: Call, transfer: Transfer | None = None
    ) -> Reply:
        """Send a request and return the complete response of any status.

        :raises UpstreamRefused: if the request was certainly not sent.
        :raises UpstreamStalled: if it timed out after it was sent.
        :raises UpstreamCut: if the exchange failed after it was sent, or the
            body is too large.
        """
        parts: list[bytes] = []
        exchange = _Exchange(
            call,
            transfer or Transfer(),
            parts.append,
            body_limit_bytes=call.gather_limit_bytes,
        )
        del call
        try:
            reply = await self._run(exchange)
        except BaseException:
            # The error of an attempt keeps this frame until the request ends,
            # and the attempts after it may gather as much again.
            parts.clear()
            raise
        return msgspec.structs.replace(reply, body=b''.join(parts))

    async def stream(
        self,
        call: Call,
        transfer: Transfer,
        sink: Callable[[bytes], None],
        head_sink: Callable[[int, HTTPHeaders], None] | None = None,
    ) -> Reply:
        """Send a request and pass its response on in chunks.

        :param sink: called with each chunk of the body as it arrives; an
            exception in it aborts the exchange.
        :param head_sink: called with the status and headers of the response
            before the first chunk.
        :return: the response without its body, after the last chunk.
        :raises UpstreamRefused: if the request was certainly not sent.
        :raises UpstreamStalled: if it timed out after it was sent.
        :raises UpstreamCut: if the exchange failed after it was sent.
        """
        exchange = _Exchange(call, transfer, sink, head_sink)
        del call
        return await self._run(exchange)

    async def _run(self, exchange: '_Exchange') -> Reply:
        if self._driver is None:
            self._driver = CurlDriver()
        call = exchange.call
        fresh = call.fresh or self._requires_fresh_connection(call)
        try:
            return await exchange.run(self._driver, fresh=fresh)
        finally:
            if exchange.ended_within_head:
                self._avoid_pooled_connections(call)
            # Tracebacks of errors must not keep the body.
            exchange.close()
            del call

    def _avoid_pooled_connections(self, call: Call) -> None:
        now = asyncio.get_running_loop().time()
        self._fresh_until = {
            address: until
            for address, until in self._fresh_until.items()
            if until > now
        }
        self._fresh_until[_get_address(call.url)] = now + call.idle_limit_s

    def _requires_fresh_connection(self, call: Call) -> bool:
        if not self._fresh_until:
            return False
        until = self._fresh_until.get(_get_address(call.url), 0.0)
        return asyncio.get_running_loop().time() < until


class _Exchange:
    """One HTTP exchange, run as a libcurl transfer."""

    __slots__ = (
        '_body_limit_bytes',
        '_body_size',
        '_done',
        '_driver',
        '_excess',
        '_fault',
        '_handle',
        '_head_complete',
        '_head_lines',
        '_head_sink',
        '_head_size',
        '_headers',
        '_result',
        '_sink',
        '_status',
        '_transfer',
        '_turn',
        '_turn_chunks',
        'call',
    )

    def __init__(
        self,
        call: Call,
        transfer: Transfer,
        sink: Callable[[bytes], None],
        head_sink: Callable[[int, HTTPHeaders], None] | None = None,
        body_limit_bytes: int = 0,
    ) -> None:
        #: The request, until the exchange has ended.
        self.call = call
        self._transfer = transfer
        self._sink = sink
        self._head_sink = head_sink
        #: 0: none.
        self._body_limit_bytes = body_limit_bytes
        self._driver: CurlDriver
        self._handle: pycurl.Curl
        self._body_size = 0
        #: Size of the head with informational responses and trailers.
        self._head_size = 0
        self._head_lines = 0
        #: Limit that the response has exceeded; empty: none.
        self._excess = ''
        #: Iteration of the event loop in which chunks were last passed on, and
        #: their number.
        self._turn = 0
        self._turn_chunks = 0
        self._status = 0
        self._headers = HTTPHeaders()
        #: Whether the headers of the final (not 1xx) response are complete.
        self._head_complete = False
        self._result: tuple[int, str] | None = None
        #: Exception in a sink, which libcurl would not pass on.
        self._fault: BaseException | None = None
        loop = asyncio.get_running_loop()
        self._done: asyncio.Future[None] = loop.create_future()

    @property
    def ended_within_head(self) -> bool:
        """Whether the connection ended before the head was complete."""
        return self._result is not None and not (
            self._result[0] or self._head_complete
        )

    def close(self) -> None:
        """Forget the request and the transfer, as the exchange has ended."""
        self._transfer.unbind()
        del self.call

    async def run(self, driver: CurlDriver, *, fresh: bool) -> Reply:
        if self._transfer.aborted:
            raise UpstreamRefused('aborted by this instance')
        handle = driver.acquire_handle()
        self._driver = driver
        self._handle = handle
        self._set_options(handle, fresh=fresh)
        self._transfer.bind(self._done, self._resume)
        driver.start(handle, self._handle_done, self._find_excess)
        try:
            await self._done
        except asyncio.CancelledError:
            self._transfer.abort()
            raise
        finally:
            if self._result is None:
                # A handle that has finished may already be reused.
                driver.cancel(handle)
        if self._fault:
            raise self._fault
        return self._build_reply()

    def _build_reply(self) -> Reply:
        if self._result is None:
            raise _build_failure(self._transfer, 'aborted by this instance')
        if self._excess:
            raise UpstreamCut(self._excess)
        number, message = self._result
        if number == pycurl.E_OPERATION_TIMEDOUT and self._transfer.sent:
            raise UpstreamStalled(message)
        if number or not self._head_complete:
            raise _build_failure(self._transfer, message)
        framed = self.call.method == 'HEAD' or _is_framed(
            self._status, self._headers
        )
        return Reply(self._status, self._headers, b'', framed)

    def _handle_done(
        self, number: int, message: str, system_number: int
    ) -> None:
        self._result = (number, message)
        self._transfer.refused = (
            number == pycurl.E_COULDNT_CONNECT
            and system_number == errno.ECONNREFUSED
        )
        if not self._done.done():
            self._done.set_result(None)

    def _set_options(self, handle: pycurl.Curl, *, fresh: bool) -> None:
        call = self.call
        handle.setopt(pycurl.URL, call.url)
        handle.setopt(pycurl.HTTP_VERSION, pycurl.CURL_HTTP_VERSION_1_1)
        handle.setopt(pycurl.PROXY, '')
        if call.target:
            handle.setopt(pycurl.REQUEST_TARGET, call.target.encode('latin-1'))
        handle.setopt(pycurl.HTTPHEADER, _list_header_lines(call))
        _set_body(handle, call)
        handle.setopt(
            pycurl.CONNECTTIMEOUT_MS,
            int(call.connect_timeout_s * _MS_PER_S),
        )
        if call.timeout_s:
            handle.setopt(
                pycurl.TIMEOUT_MS,
                max(1, int(call.timeout_s * _MS_PER_S)),
            )
        handle.setopt(pycurl.MAXAGE_CONN, call.idle_limit_s)
        if fresh:
            handle.setopt(pycurl.FRESH_CONNECT, 1)
        handle.setopt(pycurl.SOCKOPTFUNCTION, self._prepare_socket)
        handle.setopt(pycurl.PREREQFUNCTION, self._allow_send)
        handle.setopt(pycurl.HEADERFUNCTION, self._handle_header_line)
        handle.setopt(pycurl.WRITEFUNCTION, self._handle_chunk)

    def _prepare_socket(self, descriptor: int, purpose: int) -> int:
        self._transfer.connected = True
        return set_socket_options(descriptor, purpose)

    def _allow_send(self, *_: object) -> int:
        if self._transfer.try_mark_sent():
            self._driver.note_sent(self._handle)
            return int(pycurl.PREREQFUNC_OK)
        return int(pycurl.PREREQFUNC_ABORT)

    def _find_excess(self, received: int) -> str:
        """Return how bytes without meaning exceed their limit, if they do."""
        overhead = received - self._head_size - self._body_size
        limit = _OVERHEAD_LIMIT_BYTES + _OVERHEAD_PER_BYTE * self._body_size
        if overhead > limit:
            self._excess = (
                f'{overhead} bytes that are no part of the answer, '
                f'limit {limit}'
            )
        return self._excess

    def _handle_header_line(self, line: bytes) -> int | None:
        self._head_lines += 1
        self._head_size += len(line)
        if (
            self._head_lines > _HEAD_LIMIT_LINES
            or self._head_size > _HEAD_LIMIT_BYTES
        ):
            self._excess = (
                f'head of {self._head_lines} lines and {self._head_size} '
                f'bytes, limit {_HEAD_LIMIT_LINES} and {_HEAD_LIMIT_BYTES}'
            )
            return -1
        # Trailers are ignored. libcurl passes on the line within which a
        # connection has closed.
        if not self._head_complete and line.endswith(b'\n'):
            return self._read_header_line(line)
        return None

    def _read_header_line(self, line: bytes) -> int | None:
        text = line.decode('latin-1').rstrip('\r\n')
        if text.startswith('HTTP/'):
            self._status = int(text.split(maxsplit=2)[1])
            self._headers = HTTPHeaders()
        elif text:
            self._headers.parse_line(text)
        elif self._status >= HTTPStatus.OK:
            return self._complete_head()
        return None

    def _complete_head(self) -> int | None:
        """Pass the head on; return -1 to end the exchange as malformed."""
        if not _unify_lengths(self._headers):
            return -1
        self._head_complete = True
        if self._head_sink and not self._transfer.aborted:
            return self._guard(
                functools.partial(self._head_sink, self._status, self._headers)
            )
        return None

    def _handle_chunk(self, chunk: bytes) -> int | None:
        if self._transfer.aborted:
            return -1
        if self._transfer.suspended:
            return int(pycurl.WRITEFUNC_PAUSE)
        if self._is_turn_spent():
            self._driver.resume(self._handle)
            return int(pycurl.WRITEFUNC_PAUSE)
        self._body_size += len(chunk)
        limit = self._body_limit_bytes
        if limit and self._body_size > limit:
            self._excess = f'body of {self._body_size} bytes, limit {limit}'
            return -1
        return self._guard(functools.partial(self._sink, chunk))

    def _guard(self, call_sink: Callable[[], None]) -> int | None:
        """Call a sink; keep its exception for :meth:`run`."""
        try:
            call_sink()
        except BaseException as fault:  # noqa: BLE001
            self._fault = fault
            return -1
        return None

    def _resume(self) -> None:
        if self._result is None:
            self._driver.resume(self._handle)

    def _is_turn_spent(self) -> bool:
        """Count a chunk; return whether it must wait for the next iteration."""
        if self._turn != self._driver.turn:
            self._turn = self._driver.turn
            self._turn_chunks = 0
        self._turn_chunks += 1
        return self._turn_chunks > _TURN_CHUNKS


def _unify_lengths(headers: HTTPHeaders) -> bool:
    """Replace equal lengths of a body by one.

    :return: whether the lengths are equal.
    """
    lengths = {
        length.strip()
        for line in headers.get_list('Content-Length')
        for length in line.split(',')
    }
    if lengths:
        headers['Content-Length'] = lengths.pop()
    return not lengths


def _is_framed(status: int, headers: HTTPHeaders) -> bool:
    """Return whether the head of a response tells where its body ends."""
    if status in _BODILESS:
        return True
    codings = headers.get('Transfer-Encoding', '').lower()
    return 'chunked' in codings or 'Content-Length' in headers


def _get_address(url: str) -> str:
    """Return host and port of an absolute URL."""
    return url.split('/', 3)[2]


def _list_header_lines(call: Call) -> list[bytes]:
    pairs: Iterable[tuple[str, str]] = (
        call.headers.get_all()
        if isinstance(call.headers, HTTPHeaders)
        else call.headers.items()
    )
    lines = [_format_header(name, text) for name, text in pairs]
    given = {line.partition(':')[0].lower() for line in lines}
    lines.extend(f'{name}:' for name in _SUPPRESSED if name not in given)
    return [line.encode('latin-1') for line in lines]


def _format_header(name: str, text: str) -> str:
    # libcurl removes the header for "Name:" and sends it empty for "Name;".
    return f'{name}: {text}' if text else f'{name};'


def _set_body(handle: pycurl.Curl, call: Call) -> None:
    if call.body is not None:
        handle.setopt(pycurl.POST, 1)
        handle.setopt(pycurl.POSTFIELDSIZE_LARGE, len(call.body))
        handle.setopt(pycurl.POSTFIELDS, call.body)
    elif call.method == 'HEAD':
        handle.setopt(pycurl.NOBODY, 1)
    if call.method != 'HEAD':
        handle.setopt(pycurl.CUSTOMREQUEST, call.method)


def _build_failure(
    transfer: Transfer,
    reason: str,
) -> UpstreamRefused | UpstreamCut:
    if transfer.sent:
        return UpstreamCut(reason)
    return UpstreamRefused(reason)
