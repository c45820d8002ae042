"""HTTP calls to upstreams and the platform, on tornado's curl client."""

import asyncio
from collections.abc import Callable, Mapping
from typing import Any, Protocol

import msgspec
import pycurl
from tornado.curl_httpclient import CurlAsyncHTTPClient, CurlError
from tornado.httpclient import HTTPError, HTTPRequest
from tornado.httputil import HTTPHeaders

from anvilhall.exceptions import (
    UpstreamCut,
    UpstreamRefused,
    UpstreamStalled,
)

#: Largest whole body that is read into memory, in bytes.
_BODY_LIMIT_BYTES = 16 * 1024 * 1024
#: Largest stream, in bytes; curl counts streams against its body limit.
_STREAM_LIMIT_BYTES = 1 << 40
#: Non-zero return value that makes curl abort a transfer.
_ABORT_TRANSFER = 1
#: Seconds of silence before TCP probes the peer, and between probes.
_KEEPALIVE_IDLE_S = 15
_KEEPALIVE_INTERVAL_S = 5


class Call(msgspec.Struct, frozen=True, kw_only=True):
    """One HTTP request to send."""

    url: str
    method: str = 'GET'
    headers: Mapping[str, str] = {}
    body: bytes | None = None
    connect_timeout_s: float = 1.0
    #: Time for the whole exchange in seconds; 0: no limit.
    timeout_s: float = 0.0
    #: Whether a pooled connection must not be used.
    fresh: bool = False


class Reply(msgspec.Struct, frozen=True):
    """A whole HTTP response."""

    status: int
    headers: HTTPHeaders
    body: bytes


class Transfer:
    """Control and observation of one exchange while it runs.

    The request is sent over at most one connection: libcurl would otherwise
    send a POST again when a pooled connection closes without an answer.
    """

    __slots__ = ('_aborted', '_stop', 'sent')

    def __init__(self) -> None:
        """Start unsent."""
        #: Whether any byte of the request may have left this process.
        self.sent = False
        self._aborted = False
        self._stop = asyncio.Event()

    @property
    def aborted(self) -> bool:
        """Whether the exchange has been aborted."""
        return self._aborted

    def abort(self) -> None:
        """End the exchange; a request that was not sent never will be."""
        self._aborted = True
        self._stop.set()

    async def wait_for_abort(self) -> None:
        """Return when the exchange has been aborted."""
        await self._stop.wait()

    def note_sent(self) -> bool:
        """Note that the request is about to leave; return whether it may."""
        if self.sent or self._aborted:
            return False
        self.sent = True
        return True

    def prepare_curl(self, curl: pycurl.Curl, fresh: bool) -> None:
        """Install the callbacks on curl's handle."""
        curl.setopt(pycurl.NOPROGRESS, 0)
        curl.setopt(pycurl.XFERINFOFUNCTION, self._check_abort)
        curl.setopt(pycurl.PREREQFUNCTION, self._note_send)
        curl.setopt(pycurl.TCP_KEEPALIVE, 1)
        curl.setopt(pycurl.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S)
        curl.setopt(pycurl.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S)
        if fresh:
            curl.setopt(pycurl.FRESH_CONNECT, 1)

    def _check_abort(self, *_: Any) -> int:
        return _ABORT_TRANSFER if self._aborted else 0

    def _note_send(self, *_: Any) -> int:
        if self.note_sent():
            return int(pycurl.PREREQFUNC_OK)
        return int(pycurl.PREREQFUNC_ABORT)


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
        head_sink: Callable[[str], None] | None = None,
    ) -> Reply:
        """Exchange one request for a response that arrives in parts."""


class CurlOutbound:
    """Sends HTTP calls with tornado's curl client.

    :param max_calls: calls in flight at once; further ones would queue
        silently in the client, so this is set above all other limits.
    """

    __slots__ = ('_client',)

    def __init__(self, max_calls: int) -> None:
        """Create a client of its own."""
        self._client = CurlAsyncHTTPClient(
            force_instance=True,
            max_clients=max_calls,
            max_body_size=_STREAM_LIMIT_BYTES,
        )

    def close(self) -> None:
        """Drop all connections."""
        self._client.close()

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
        head_sink: Callable[[str], None] | None = None,
    ) -> Reply:
        """Exchange one request for a response that arrives in parts.

        :param sink: called with each part of the body as it arrives.
        :param head_sink: called with each line of the response's head.
        :return: the response without its body, when it has ended.
        :raises UpstreamRefused: if the request was certainly not sent.
        :raises UpstreamStalled: if the time ran out after it was sent.
        :raises UpstreamCut: if the exchange broke after it was sent.
        """
        request = self._build_request(call, transfer, sink, head_sink)
        fetch = asyncio.ensure_future(
            self._client.fetch(request, raise_error=False),
        )
        stop = asyncio.ensure_future(transfer.wait_for_abort())
        try:
            await asyncio.wait(
                (fetch, stop),
                return_when=asyncio.FIRST_COMPLETED,
            )
        except asyncio.CancelledError:
            transfer.abort()
            raise
        finally:
            stop.cancel()
            fetch.add_done_callback(_consume_exception)
        if not fetch.done():
            raise _describe_failure(transfer, 'aborted by this instance')
        return _read_response(fetch, transfer)

    def _build_request(
        self,
        call: Call,
        transfer: Transfer,
        sink: Callable[[bytes], None],
        head_sink: Callable[[str], None] | None,
    ) -> HTTPRequest:
        return HTTPRequest(
            call.url,
            method=call.method,
            headers=HTTPHeaders(dict(call.headers)),
            body=call.body,
            connect_timeout=call.connect_timeout_s,
            request_timeout=call.timeout_s,
            follow_redirects=False,
            decompress_response=False,
            allow_nonstandard_methods=True,
            streaming_callback=sink,
            header_callback=head_sink,
            prepare_curl_callback=lambda curl: transfer.prepare_curl(
                curl,
                call.fresh,
            ),
        )


def _read_response(fetch: asyncio.Future[Any], transfer: Transfer) -> Reply:
    try:
        response = fetch.result()
    except CurlError as error:
        if error.errno == pycurl.E_OPERATION_TIMEDOUT and transfer.sent:
            raise UpstreamStalled(str(error.message)) from error
        raise _describe_failure(transfer, str(error.message)) from error
    except (HTTPError, ValueError, OSError) as error:
        raise _describe_failure(transfer, str(error)) from error
    return Reply(response.code, response.headers, b'')


def _describe_failure(
    transfer: Transfer,
    reason: str,
) -> UpstreamRefused | UpstreamCut:
    if transfer.sent:
        return UpstreamCut(reason)
    return UpstreamRefused(reason)


def _consume_exception(fetch: asyncio.Future[Any]) -> None:
    if not fetch.cancelled():
        fetch.exception()
