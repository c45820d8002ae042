"""Ends of callers' connections, on which a request may arrive meanwhile.

A connection that is closed with unread bytes is reset: the caller may lose the
answer before them, and nobody learns of the request that they belong to.
Therefore the sending direction is closed first, and what arrives is read until
the caller closes too, for a limited time. Such a request has not been passed
on; it is logged.
"""

import asyncio
import contextlib
import re
import socket
from collections.abc import Callable
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.iostream import IOStream

from anvilhall.callers import REQUEST_ID_HEADER
from anvilhall.logs import log_event

#: Reason in the log for a request that arrived on a connection which this
#: instance was closing.
REQUEST_CROSSED = 'request_crossed'
#: Seconds for which a stopping instance still reads requests on idle
#: connections, to refuse them.
LAST_REQUESTS_S = 0.1
#: Seconds for which a connection is read after its sending direction is closed,
#: and after a whole head has arrived there.
_READ_S = 1.0
_HEAD_READ_S = 0.1
#: Seconds for which the end of the process waits for such connections.
_STOP_READ_S = 0.2
#: Connections that are read at the same time; further ones are closed at once.
_MOST = 512
#: Bytes that are read from one connection, those kept of them, and those of one
#: read.
_READ_LIMIT_BYTES = 4 * 1024 * 1024
_KEPT_BYTES = 16 * 1024
_PIECE_BYTES = 64 * 1024
_HEAD_END = re.compile(rb'\r?\n\r?\n')
#: Begin of what was read, if it is a head, and the first line of any head; it
#: may follow the rest of a body that was refused.
_BEGIN = re.compile(rb'\s*[A-Z]{1,16} (?P<path>[^\s?]{0,200})')
_FIRST_LINE = re.compile(
    rb'[A-Z]{1,16} (?P<path>[^\s?]{1,200})(?:\?\S*)? HTTP/1\.'
)
_REQUEST_ID = re.compile(
    rb'^%b:[ \t]*(?P<name>[\x21-\x7e]{1,200})' % REQUEST_ID_HEADER.encode(),
    re.IGNORECASE | re.MULTILINE,
)
#: Seconds between two looks at the connections that are still open.
_POLL_S = 0.02


class ClosingConnections:
    """Connections whose sending direction is closed and that are still read."""

    __slots__ = ('_open',)

    def __init__(self) -> None:
        """Start without connections."""
        self._open: set[_ClosingConnection] = set()

    def close(self, caller: socket.socket, unread: bytes) -> None:
        """Close a connection.

        :param unread: bytes that were read from it, but not handled.
        """
        connection = _ClosingConnection(caller, self._open.discard)
        self._open.add(connection)
        connection.begin(unread, wait=len(self._open) <= _MOST)

    async def wait(self, timeout_s: float) -> None:
        """Wait until no connection is read any more.

        :param timeout_s: seconds after which the reading ends.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                while self._open:
                    await asyncio.sleep(_POLL_S)
        for connection in list(self._open):
            connection.end()


class _ClosingConnection:
    """A connection whose sending direction is closed.

    :param on_end: called with the connection when it is closed.
    """

    __slots__ = ('_caller', '_kept', '_logged', '_on_end', '_size', '_timer')

    def __init__(
        self,
        caller: socket.socket,
        on_end: 'Callable[[_ClosingConnection], None]',
    ) -> None:
        self._caller = caller
        self._on_end = on_end
        #: First bytes that were read.
        self._kept = bytearray()
        self._size = 0
        self._logged = False
        self._timer: asyncio.TimerHandle | None = None

    def begin(self, unread: bytes, *, wait: bool) -> None:
        """Read what has arrived; go on unless the caller has closed too.

        :param wait: whether bytes that arrive later are read.
        """
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(_READ_S, self.end)
        self._add(unread)
        if not wait or not self._read_piece():
            self.end()
            return
        try:
            self._caller.shutdown(socket.SHUT_WR)
        except OSError:
            # The connection is broken.
            self.end()
            return
        loop.add_reader(self._caller, self._read)

    def end(self) -> None:
        """Close the connection and log a head that has not ended."""
        if self._timer is None:
            return
        self._timer.cancel()
        self._timer = None
        asyncio.get_running_loop().remove_reader(self._caller)
        self._caller.close()
        self._log()
        self._on_end(self)

    def _read(self) -> None:
        if not self._read_piece():
            self.end()

    def _read_piece(self) -> bool:
        """Read once; return whether more may follow."""
        try:
            piece = self._caller.recv(_PIECE_BYTES)
        except BlockingIOError:
            return True
        except OSError:
            # The caller has reset the connection.
            return False
        self._add(piece)
        return bool(piece) and self._size < _READ_LIMIT_BYTES

    def _add(self, piece: bytes) -> None:
        self._size += len(piece)
        self._kept += piece[: _KEPT_BYTES - len(self._kept)]
        if not self._logged and _HEAD_END.search(self._kept):
            self._log()
            self._hurry()

    def _hurry(self) -> None:
        """Close soon, as the request will get no answer."""
        if self._timer:
            self._timer.cancel()
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(_HEAD_READ_S, self.end)

    def _log(self) -> None:
        kept = self._kept
        request = _BEGIN.match(kept) or _FIRST_LINE.search(kept)
        if self._logged or request is None:
            return
        self._logged = True
        named = _REQUEST_ID.search(kept, request.start())
        log_event(
            'connection_closed',
            reason=REQUEST_CROSSED,
            request_id=named['name'].decode() if named else '',
            path=request['path'].decode('latin-1'),
            received_bytes=self._size,
            relayed=False,
            head_written=False,
            written_bytes=0,
        )


class CallerStream(IOStream):
    """A caller's connection, which is read for a while when it is closed."""

    def __init__(
        self,
        caller: socket.socket,
        closing: ClosingConnections,
        **limits: Any,
    ) -> None:
        """Take over a connection.

        :param limits: sizes of the buffers, as of :class:`IOStream`.
        """
        super().__init__(caller, **limits)
        self._closing = closing

    def close_fd(self) -> None:
        """Close the connection, of which this stream reads no more.

        A request that was read, but not handled, must not be handled any more:
        its caller would get no answer.
        """
        caller = self.socket
        self.socket = None  # type: ignore[assignment]
        unread = bytes(self._read_buffer)
        self._read_buffer.clear()
        self._read_buffer_size = 0
        self._closing.close(caller, unread)

    def close_unless_read(self) -> None:
        """Close the connection unless a request is arriving or under way."""
        if not self.has_unread_bytes():
            self.close()

    def has_unread_bytes(self) -> bool:
        """Return whether the caller has sent bytes that were not read yet.

        A head that has arrived counts as not read until it is handled.
        """
        if self.closed():
            return False
        if not self.reading():
            return True
        try:
            return bool(
                self.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
            )
        except OSError:
            # Nothing has arrived, or the connection is broken.
            return False


class CallerServer(HTTPServer):
    """HTTP server whose connections are closed as this module describes."""

    def __init__(self, *arguments: Any, **options: Any) -> None:
        """Create the server without listening, like :class:`HTTPServer`."""
        super().__init__(*arguments, **options)
        self.closing = ClosingConnections()

    def handle_stream(self, stream: IOStream, address: Any) -> None:
        """Serve a connection that was accepted."""
        super().handle_stream(
            CallerStream(
                stream.socket,
                self.closing,
                max_buffer_size=stream.max_buffer_size,
                read_chunk_size=stream.read_chunk_size,
            ),
            address,
        )

    def stop(self) -> None:
        """Stop listening; serve the connections that wait to be accepted."""
        for listener in self._sockets.values():
            self._accept_waiting(listener)
        super().stop()

    def close_after_answers(self) -> None:
        """Disable keep-alive: close each connection after its next answer."""
        self.conn_params.no_keep_alive = True

    async def refuse_last(self) -> None:
        """Wait while requests on open connections are read, to be refused.

        Then close the connections on which nothing has arrived.
        """
        if self._connections:
            await asyncio.sleep(LAST_REQUESTS_S)
        for connection in list(self._connections):
            stream = connection.stream
            if isinstance(stream, CallerStream):
                stream.close_unless_read()
        # What has arrived is answered.
        await asyncio.sleep(0)

    async def close_connections(self, timeout_s: float) -> bool:
        """Close all connections, also those with requests under way.

        :param timeout_s: seconds after which those still open are left.
        :return: whether all have been closed in time.
        """
        try:
            async with asyncio.timeout(timeout_s):
                await self.close_all_connections()
        except TimeoutError:
            return False
        finally:
            await self.closing.wait(_STOP_READ_S)
        return True

    def _accept_waiting(self, listener: socket.socket) -> None:
        for _ in range(_MOST):
            try:
                caller, address = listener.accept()
            except OSError:
                # None waits, or no file descriptor is left.
                return
            self._handle_connection(caller, address)
