"""Runs libcurl transfers on the asyncio event loop.

One driver runs all transfers of a process over one connection pool. Cancelling
a transfer closes its connection at once, even if no data arrives.
"""

import asyncio
import collections
import socket
from collections.abc import Callable

import pycurl

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

#: Receives the error number of libcurl, 0 for success, and its message.
OnDone = Callable[[int, str], None]


class CurlDriver:
    """Runs transfers of libcurl's multi interface on the event loop."""

    __slots__ = (
        '_callbacks',
        '_idle_handles',
        '_loop',
        '_multi',
        '_timer',
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
        self._callbacks: dict[pycurl.Curl, OnDone] = {}
        self._idle_handles: collections.deque[pycurl.Curl] = collections.deque()

    def acquire_handle(self) -> pycurl.Curl:
        """Return a handle with the options common to all transfers set."""
        handle = (
            self._idle_handles.pop() if self._idle_handles else pycurl.Curl()
        )
        handle.setopt(pycurl.NOSIGNAL, 1)
        handle.setopt(pycurl.SOCKOPTFUNCTION, set_socket_options)
        return handle

    def start(self, handle: pycurl.Curl, on_done: OnDone) -> None:
        """Start a transfer.

        :param on_done: called once when it ends, unless it is cancelled.
        """
        self._callbacks[handle] = on_done
        self._multi.add_handle(handle)

    def cancel(self, handle: pycurl.Curl) -> None:
        """Abort a transfer and close its connection.

        Must not be called from a libcurl callback.
        """
        if self._callbacks.pop(handle, None):
            self._multi.remove_handle(handle)
            self._recycle_handle(handle)

    def close(self) -> None:
        """Abort all transfers and close all connections."""
        for handle in list(self._callbacks):
            self.cancel(handle)
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
                self._process_event,
                descriptor,
                pycurl.CSELECT_IN,
            )
        if event & pycurl.POLL_OUT:
            self._loop.add_writer(
                descriptor,
                self._process_event,
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
        self._process_event(pycurl.SOCKET_TIMEOUT, 0)

    def _process_event(self, descriptor: int, event: int) -> None:
        self._multi.socket_action(descriptor, event)
        remaining = 1
        while remaining:
            remaining, finished, failed = self._multi.info_read()
            for handle in finished:
                self._finish(handle, 0, '')
            for failed_handle, number, message in failed:
                self._finish(failed_handle, number, message)

    def _finish(self, handle: pycurl.Curl, number: int, message: str) -> None:
        on_done = self._callbacks.pop(handle, None)
        if on_done is None:
            return
        self._multi.remove_handle(handle)
        self._recycle_handle(handle)
        on_done(number, message)


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
