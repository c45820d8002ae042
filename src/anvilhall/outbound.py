"""HTTP calls to upstreams and the platform."""

import asyncio
from collections.abc import Callable, Iterable, Mapping
from http import HTTPStatus
from typing import Protocol

import msgspec
import pycurl
from tornado.httputil import HTTPHeaders

from anvilhall.curl import CurlDriver
from anvilhall.exceptions import (
    UpstreamCut,
    UpstreamRefused,
    UpstreamStalled,
)

#: Largest whole body that is read into memory, in bytes.
_BODY_LIMIT_BYTES = 16 * 1024 * 1024
_MS_PER_S = 1000.0
#: Headers that libcurl would add by itself; an empty value suppresses them.
_SUPPRESSED = ('accept', 'content-type', 'expect', 'user-agent')


class Call(msgspec.Struct, frozen=True, kw_only=True):
    """One HTTP request to send."""

    url: str
    method: str = 'GET'
    #: Repeated headers are sent if this is of tornado's own type.
    headers: Mapping[str, str] = {}
    body: bytes | None = None
    #: Request target to send as it is, in place of the URL's path.
    target: str = ''
    connect_timeout_s: float = 1.0
    #: Time for the whole exchange in seconds; 0: no limit.
    timeout_s: float = 0.0
    #: Whether a pooled connection must not be used.
    fresh: bool = False
    #: Seconds for which an idle connection may be used again.
    idle_limit_s: int = 60


class Reply(msgspec.Struct, frozen=True):
    """A whole HTTP response."""

    status: int
    headers: HTTPHeaders
    body: bytes


class Transfer:
    """Control and observation of one exchange while it runs.

    The request is sent over at most one connection: libcurl would otherwise
    send it again when a pooled connection closes without an answer.
    """

    __slots__ = ('_aborted', '_stop', 'sent')

    def __init__(self) -> None:
        """Start unsent."""
        #: Whether any byte of the request may have left this process.
        self.sent = False
        self._aborted = False
        self._stop: asyncio.Future[None] | None = None

    @property
    def aborted(self) -> bool:
        """Whether the exchange has been aborted."""
        return self._aborted

    def abort(self) -> None:
        """End the exchange; a request that was not sent never will be."""
        self._aborted = True
        if self._stop and not self._stop.done():
            self._stop.set_result(None)

    async def wait_for_abort(self) -> None:
        """Return when the exchange has been aborted."""
        self._stop = asyncio.get_running_loop().create_future()
        if not self._aborted:
            await self._stop

    def try_mark_sent(self) -> bool:
        """Note that the request is about to leave; return whether it may."""
        if self.sent or self._aborted:
            return False
        self.sent = True
        return True

    def bind(self, done: 'asyncio.Future[None]') -> None:
        """Resolve this future when the exchange is aborted."""
        self._stop = done
        if self._aborted and not done.done():
            done.set_result(None)


class Outbound(Protocol):
    """Sends HTTP calls."""

    async def fetch(
        self, call: Call, transfer: Transfer | None = None
    ) -> Reply:
        """Exchange one request for a whole response of any status."""

    async def stream(
        self,
        call: Call,
        transfer: Transfer,
        sink: Callable[[bytes], None],
        head_sink: Callable[[int, HTTPHeaders], None] | None = None,
    ) -> Reply:
        """Exchange one request for a response that arrives in parts."""


class CurlOutbound:
    """Sends HTTP calls with libcurl over one pool of connections."""

    __slots__ = ('_driver',)

    def __init__(self) -> None:
        """Start without a connection."""
        self._driver: CurlDriver | None = None

    def close(self) -> None:
        """Drop all connections."""
        if self._driver:
            self._driver.close()
            self._driver = None

    async def fetch(
        self, call: Call, transfer: Transfer | None = None
    ) -> Reply:
        """Exchange one request for a whole response of any status.

        :raises UpstreamRefused: if the request was certainly not sent.
        :raises UpstreamStalled: if the time ran out after it was sent.
        :raises UpstreamCut: if the exchange broke after it was sent.
        """
        parts: list[bytes] = []
        body_size = 0

        def gather(chunk: bytes) -> None:  # noqa: WPS430
            nonlocal body_size  # noqa: WPS420
            body_size += len(chunk)
            if body_size <= _BODY_LIMIT_BYTES:
                parts.append(chunk)

        transfer = transfer or Transfer()
        reply = await self.stream(call, transfer, gather)
        if body_size > _BODY_LIMIT_BYTES:
            raise UpstreamCut('the body is larger than this process reads')
        return Reply(reply.status, reply.headers, b''.join(parts))

    async def stream(
        self,
        call: Call,
        transfer: Transfer,
        sink: Callable[[bytes], None],
        head_sink: Callable[[int, HTTPHeaders], None] | None = None,
    ) -> Reply:
        """Exchange one request for a response that arrives in parts.

        :param sink: called with each part of the body as it arrives; an
            exception in it ends the exchange.
        :param head_sink: called with the status and headers of the response
            before its body.
        :return: the response without its body, when it has ended.
        :raises UpstreamRefused: if the request was certainly not sent.
        :raises UpstreamStalled: if the time ran out after it was sent.
        :raises UpstreamCut: if the exchange broke after it was sent.
        """
        if self._driver is None:
            self._driver = CurlDriver()
        exchange = _Exchange(call, transfer, sink, head_sink)
        return await exchange.run(self._driver)


class _Exchange:
    """One transfer from its first option to its last byte."""

    __slots__ = (
        '_call',
        '_done',
        '_failure',
        '_head',
        '_head_sink',
        '_headers',
        '_sink',
        '_status',
        '_transfer',
    )

    def __init__(
        self,
        call: Call,
        transfer: Transfer,
        sink: Callable[[bytes], None],
        head_sink: Callable[[int, HTTPHeaders], None] | None,
    ) -> None:
        self._call = call
        self._transfer = transfer
        self._sink = sink
        self._head_sink = head_sink
        self._status = 0
        self._headers = HTTPHeaders()
        #: Whether the head of the final response is complete.
        self._head = False
        self._failure: tuple[int, str] | None = None
        loop = asyncio.get_running_loop()
        self._done: asyncio.Future[None] = loop.create_future()

    async def run(self, driver: CurlDriver) -> Reply:
        if self._transfer.aborted:
            raise UpstreamRefused('aborted by this instance')
        handle = driver.take_handle()
        self._set_options(handle)
        self._transfer.bind(self._done)
        driver.start(handle, self._finish)
        try:
            await self._done
        except asyncio.CancelledError:
            self._transfer.abort()
            raise
        finally:
            if self._failure is None:
                # A finished handle may run another exchange by now.
                driver.cancel(handle)
        return self._judge()

    def _judge(self) -> Reply:
        if self._failure is None:
            raise _describe_failure(self._transfer, 'aborted by this instance')
        number, message = self._failure
        if number == pycurl.E_OPERATION_TIMEDOUT and self._transfer.sent:
            raise UpstreamStalled(message)
        if number or not self._head:
            raise _describe_failure(self._transfer, message)
        return Reply(self._status, self._headers, b'')

    def _finish(self, number: int, message: str) -> None:
        self._failure = (number, message)
        if not self._done.done():
            self._done.set_result(None)

    def _set_options(self, handle: pycurl.Curl) -> None:
        call = self._call
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
        if call.fresh:
            handle.setopt(pycurl.FRESH_CONNECT, 1)
        handle.setopt(pycurl.PREREQFUNCTION, self._note_send)
        handle.setopt(pycurl.HEADERFUNCTION, self._take_header_line)
        handle.setopt(pycurl.WRITEFUNCTION, self._take_chunk)

    def _note_send(self, *_: object) -> int:
        if self._transfer.try_mark_sent():
            return int(pycurl.PREREQFUNC_OK)
        return int(pycurl.PREREQFUNC_ABORT)

    def _take_header_line(self, line: bytes) -> int | None:
        if self._head:
            # A trailer after the body.
            return None
        text = line.decode('latin-1').rstrip('\r\n')
        if text.startswith('HTTP/'):
            self._status = int(text.split(maxsplit=2)[1])
            self._headers = HTTPHeaders()
        elif text:
            self._headers.parse_line(text)
        elif self._status >= HTTPStatus.OK:
            self._head = True
            if self._head_sink and not self._transfer.aborted:
                self._head_sink(self._status, self._headers)
        return None

    def _take_chunk(self, chunk: bytes) -> int | None:
        if self._transfer.aborted:
            return -1
        self._sink(chunk)
        return None


def _list_header_lines(call: Call) -> list[bytes]:
    pairs: Iterable[tuple[str, str]] = (
        call.headers.get_all()
        if isinstance(call.headers, HTTPHeaders)
        else call.headers.items()
    )
    lines = [_format_header(name, text) for name, text in pairs]
    named = {line.partition(':')[0].lower() for line in lines}
    lines.extend(f'{name}:' for name in _SUPPRESSED if name not in named)
    return [line.encode('latin-1') for line in lines]


def _format_header(name: str, text: str) -> str:
    # libcurl takes "Name:" for a wish to leave the header out.
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


def _describe_failure(
    transfer: Transfer,
    reason: str,
) -> UpstreamRefused | UpstreamCut:
    if transfer.sent:
        return UpstreamCut(reason)
    return UpstreamRefused(reason)
