"""Runs libcurl transfers on the asyncio event loop.

One driver runs all transfers of a process over one connection pool. Cancelling
a transfer closes its connection at once, even if no data arrives.
"""

import asyncio
import collections
import fcntl
import functools
import socket
import struct
import termios
from collections.abc import Callable

import pycurl

from anvilhall.turns import TurnQueue

#: Connections that the pool keeps open, over all upstreams.
_POOL_SIZE = 512
#: Idle handles kept for reuse; each takes about 20 KB.
_MAX_IDLE_HANDLES = 128
#: Milliseconds for which sent data may stay unacknowledged before the kernel
#: closes the connection. Its default is many minutes, during which a request
#: to an unresponsive host would hang.
_USER_TIMEOUT_MS = 1500
#: Idle seconds before the first TCP keepalive probe, and between probes.
_KEEPALIVE_IDLE_S = 1
_KEEPALIVE_INTERVAL_S = 1
#: Unanswered probes after which TCP closes the connection.
_KEEPALIVE_PROBES = 2

_SOCKET_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS),
)
_MS_PER_S = 1000.0
#: Place of ``tcpi_bytes_received`` in ``TCP_INFO`` of Linux, in bytes.
_RECEIVED_OFFSET = 128
_RECEIVED = struct.Struct('=Q')
_UNREAD = struct.Struct('=i')
#: Events of a connection after which its bytes are counted.
_EVENTS_PER_COUNT = 4

#: Receives the error number of libcurl, 0 for success, its message, and the
#: error number of the system if it could not connect.
OnDone = Callable[[int, str, int], None]
#: Receives the bytes read from the connection since the request was sent, and
#: returns why the transfer must end; empty if it may go on.
FindExcess = Callable[[int], str]


class _Running:
    """A transfer that has not ended.

    :param on_done: called once when it ends, unless it is cancelled.
    :param find_excess: called after each event of its connection.
    """

    __slots__ = (
        'descriptor',
        'events',
        'find_excess',
        'handle',
        'on_done',
        'received_before',
    )

    def __init__(
        self,
        handle: pycurl.Curl,
        on_done: OnDone,
        find_excess: FindExcess,
    ) -> None:
        self.handle = handle
        self.on_done = on_done
        self.find_excess = find_excess
        #: Socket of the connection; -1: none yet.
        self.descriptor = -1
        #: Events of the connection so far.
        self.events = 0
        #: Bytes read from the connection before the request was sent.
        self.received_before = 0


class CurlDriver:
    """Runs transfers of libcurl's multi interface on the event loop."""

    __slots__ = (
        '_idle_handles',
        '_loop',
        '_multi',
        '_receivers',
        '_running',
        '_sent',
        '_timer',
        '_turns',
        '_watched_events',
    )

    def __init__(self) -> None:
        """Create an empty connection pool; requires a running event loop."""
        self._loop = asyncio.get_running_loop()
        self._multi = pycurl.CurlMulti()
        self._multi.setopt(pycurl.M_SOCKETFUNCTION, self._watch_socket)
        self._multi.setopt(pycurl.M_TIMERFUNCTION, self._set_timer)
        self._multi.setopt(pycurl.M_MAXCONNECTS, _POOL_SIZE)
        self._timer: asyncio.TimerHandle | None = None
        #: Events watched on each socket, as ``POLL_*`` flags.
        self._watched_events: dict[int, int] = {}
        self._running: dict[pycurl.Curl, _Running] = {}
        #: Transfers by the sockets of their connections.
        self._receivers: dict[int, _Running] = {}
        #: Transfers whose requests are being sent.
        self._sent: list[pycurl.Curl] = []
        self._turns = TurnQueue(self._loop)
        self._idle_handles: collections.deque[pycurl.Curl] = collections.deque()

    def acquire_handle(self) -> pycurl.Curl:
        """Return a handle with the options common to all transfers set."""
        handle = (
            self._idle_handles.pop() if self._idle_handles else pycurl.Curl()
        )
        handle.setopt(pycurl.NOSIGNAL, 1)
        handle.setopt(pycurl.SOCKOPTFUNCTION, set_socket_options)
        return handle

    @property
    def turn(self) -> int:
        """Number of the current iteration of the event loop."""
        return self._turns.number

    def start(
        self,
        handle: pycurl.Curl,
        on_done: OnDone,
        find_excess: FindExcess,
    ) -> None:
        """Start a transfer.

        :param on_done: called once when it ends, unless it is cancelled.
        :param find_excess: called with the bytes that were read from its
            connection; libcurl reports neither extensions of chunks nor
            other bytes that it skips.
        """
        self._running[handle] = _Running(handle, on_done, find_excess)
        self._multi.add_handle(handle)

    def note_sent(self, handle: pycurl.Curl) -> None:
        """Note that the connection of a transfer is established.

        To be called by libcurl's ``PREREQFUNCTION``.
        """
        self._sent.append(handle)

    def resume(self, handle: pycurl.Curl) -> None:
        """Pass on the bytes of a transfer whose callback has paused it."""
        self._turns.run_later(handle, functools.partial(self._resume, handle))

    def cancel(self, handle: pycurl.Curl) -> None:
        """Abort a transfer and close its connection.

        Must not be called from a libcurl callback.
        """
        if self._forget(handle):
            self._multi.remove_handle(handle)
            self._recycle_handle(handle)

    def close(self) -> None:
        """Abort all transfers and close all connections."""
        for handle in list(self._running):
            self.cancel(handle)
        self._turns.close()
        if self._timer:
            self._timer.cancel()
            self._timer = None
        for descriptor in list(self._watched_events):
            self._unwatch(descriptor)
        self._multi.close()

    def _recycle_handle(self, handle: pycurl.Curl) -> None:
        handle.reset()
        if len(self._idle_handles) < _MAX_IDLE_HANDLES:
            self._idle_handles.append(handle)
        else:
            handle.close()

    def _watch_socket(
        self,
        event: int,
        descriptor: int,
        multi: pycurl.CurlMulti,
        extra: object,
    ) -> None:
        self._unwatch(descriptor)
        if event == pycurl.POLL_REMOVE:
            return
        self._watched_events[descriptor] = event
        if event & pycurl.POLL_IN:
            self._loop.add_reader(
                descriptor,
                self._handle_event,
                descriptor,
                pycurl.CSELECT_IN,
            )
        if event & pycurl.POLL_OUT:
            self._loop.add_writer(
                descriptor,
                self._handle_event,
                descriptor,
                pycurl.CSELECT_OUT,
            )

    def _unwatch(self, descriptor: int) -> None:
        event = self._watched_events.pop(descriptor, 0)
        if event & pycurl.POLL_IN:
            self._loop.remove_reader(descriptor)
        if event & pycurl.POLL_OUT:
            self._loop.remove_writer(descriptor)

    def _set_timer(self, timeout_ms: int) -> None:
        if self._timer:
            self._timer.cancel()
            self._timer = None
        if timeout_ms >= 0:
            self._timer = self._loop.call_later(
                timeout_ms / _MS_PER_S,
                self._handle_timeout,
            )

    def _handle_timeout(self) -> None:
        self._timer = None
        self._handle_event(pycurl.SOCKET_TIMEOUT, 0)

    def _handle_event(self, descriptor: int, event: int) -> None:
        # One call of libcurl goes on with each transfer that has data left, so
        # that many events in one iteration would take quadratic time.
        self._turns.run(
            (descriptor, event),
            functools.partial(self._process_event, descriptor, event),
        )

    def _process_event(self, descriptor: int, event: int) -> None:
        self._multi.socket_action(descriptor, event)
        remaining = 1
        while remaining:
            remaining, finished, failed = self._multi.info_read()
            for handle in finished:
                self._finish(handle, 0, '')
            for failed_handle, number, message in failed:
                self._finish(failed_handle, number, message)
        self._note_receivers()
        receiver = self._receivers.get(descriptor)
        if receiver:
            receiver.events += 1
            if receiver.events % _EVENTS_PER_COUNT == 0:
                self._check_received(receiver)

    def _note_receivers(self) -> None:
        for handle in self._sent:
            running = self._running.get(handle)
            if running is None:
                continue
            running.descriptor = int(handle.getinfo(pycurl.ACTIVESOCKET))
            if running.descriptor >= 0:
                running.received_before = _count_read_bytes(running.descriptor)
                self._receivers[running.descriptor] = running
        self._sent.clear()

    def _check_received(self, running: _Running) -> None:
        read = _count_read_bytes(running.descriptor)
        excess = running.find_excess(read - running.received_before)
        if excess:
            self._finish(running.handle, pycurl.E_RECV_ERROR, excess)

    def _resume(self, handle: pycurl.Curl) -> None:
        if handle not in self._running:
            return
        try:
            handle.pause(pycurl.PAUSE_CONT)
        except pycurl.error as error:
            number, message = error.args
            self._finish(handle, number, message)

    def _finish(self, handle: pycurl.Curl, number: int, message: str) -> None:
        running = self._forget(handle)
        if running is None:
            return
        self._multi.remove_handle(handle)
        system_number = handle.getinfo(pycurl.OS_ERRNO)
        self._recycle_handle(handle)
        running.on_done(number, message, system_number)

    def _forget(self, handle: pycurl.Curl) -> _Running | None:
        running = self._running.pop(handle, None)
        if running:
            self._receivers.pop(running.descriptor, None)
        return running


def set_socket_options(descriptor: int, purpose: int) -> int:
    """Set TCP options that detect an unresponsive peer.

    A callback for libcurl's ``SOCKOPTFUNCTION``.
    """
    connection = socket.socket(fileno=descriptor)
    try:
        for level, option, setting in _SOCKET_OPTIONS:
            connection.setsockopt(level, option, setting)
    finally:
        connection.detach()
    return int(pycurl.SOCKOPT_OK)


def _count_read_bytes(descriptor: int) -> int:
    """Return the bytes that were read from a TCP connection."""
    connection = socket.socket(
        socket.AF_INET,
        socket.SOCK_STREAM,
        fileno=descriptor,
    )
    try:
        status = connection.getsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_INFO,
            _RECEIVED_OFFSET + _RECEIVED.size,
        )
    finally:
        connection.detach()
    unread = fcntl.ioctl(descriptor, termios.FIONREAD, bytes(_UNREAD.size))
    received: int = _RECEIVED.unpack_from(status, _RECEIVED_OFFSET)[0]
    unread_size: int = _UNREAD.unpack(unread)[0]
    return received - unread_size
