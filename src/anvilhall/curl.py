"""Transfers of libcurl on the event loop.

One driver runs all transfers of a process over one pool of connections. A
transfer that is cancelled closes its connection at once, whether or not bytes
flow.
"""

import asyncio
import collections
import socket
from collections.abc import Callable

import pycurl

#: Connections kept open between requests, over all upstreams.
_KEPT_CONNECTIONS = 512
#: Idle handles kept for reuse; each holds some 20 KB.
_KEPT_HANDLES = 128
#: Milliseconds that sent bytes may stay unacknowledged; the kernel's own limit
#: is many minutes, for which a silent connection would hold a request.
_UNACKNOWLEDGED_MS = 1500
#: Seconds of silence before TCP probes the peer, and between probes.
_KEEPALIVE_IDLE_S = 1
_KEEPALIVE_INTERVAL_S = 1
#: Unanswered probes after which a connection counts as dead.
_KEEPALIVE_PROBES = 2

_SOCKET_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _UNACKNOWLEDGED_MS),
)
_MS_PER_S = 1000.0

#: Takes libcurl's error number, 0 for success, and its message.
OnDone = Callable[[int, str], None]


class CurlDriver:
    """Runs libcurl handles on the running event loop."""

    __slots__ = ('_done', '_idle', '_loop', '_multi', '_timer', '_watched')

    def __init__(self) -> None:
        """Create an empty connection pool; the loop must be running."""
        self._loop = asyncio.get_running_loop()
        self._multi = pycurl.CurlMulti()
        self._multi.setopt(pycurl.M_SOCKETFUNCTION, self._watch_socket)
        self._multi.setopt(pycurl.M_TIMERFUNCTION, self._set_timer)
        self._multi.setopt(pycurl.M_MAXCONNECTS, _KEPT_CONNECTIONS)
        self._timer: asyncio.TimerHandle | None = None
        #: What each socket is watched for, as libcurl's flags.
        self._watched: dict[int, int] = {}
        self._done: dict[pycurl.Curl, OnDone] = {}
        self._idle: collections.deque[pycurl.Curl] = collections.deque()

    def take_handle(self) -> pycurl.Curl:
        """Return a handle with the options that all transfers share."""
        handle = self._idle.pop() if self._idle else pycurl.Curl()
        handle.setopt(pycurl.NOSIGNAL, 1)
        handle.setopt(pycurl.SOCKOPTFUNCTION, set_socket_options)
        return handle

    def start(self, handle: pycurl.Curl, on_done: OnDone) -> None:
        """Begin a transfer; ``on_done`` is called once unless cancelled."""
        self._done[handle] = on_done
        self._multi.add_handle(handle)

    def cancel(self, handle: pycurl.Curl) -> None:
        """End a transfer at once and close its connection.

        Must not be called from within a callback of libcurl.
        """
        if self._done.pop(handle, None):
            self._multi.remove_handle(handle)
            self._keep_handle(handle)

    def close(self) -> None:
        """End all transfers and close all connections."""
        for handle in list(self._done):
            self.cancel(handle)
        if self._timer:
            self._timer.cancel()
            self._timer = None
        for descriptor in list(self._watched):
            self._unwatch(descriptor)
        self._multi.close()

    def _keep_handle(self, handle: pycurl.Curl) -> None:
        handle.reset()
        if len(self._idle) < _KEPT_HANDLES:
            self._idle.append(handle)
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
        self._watched[descriptor] = event
        if event & pycurl.POLL_IN:
            self._loop.add_reader(
                descriptor,
                self._act,
                descriptor,
                pycurl.CSELECT_IN,
            )
        if event & pycurl.POLL_OUT:
            self._loop.add_writer(
                descriptor,
                self._act,
                descriptor,
                pycurl.CSELECT_OUT,
            )

    def _unwatch(self, descriptor: int) -> None:
        event = self._watched.pop(descriptor, 0)
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
                self._act_on_timer,
            )

    def _act_on_timer(self) -> None:
        self._timer = None
        self._act(pycurl.SOCKET_TIMEOUT, 0)

    def _act(self, descriptor: int, event: int) -> None:
        self._multi.socket_action(descriptor, event)
        remaining = 1
        while remaining:
            remaining, finished, failed = self._multi.info_read()
            for handle in finished:
                self._finish(handle, 0, '')
            for broken, number, message in failed:
                self._finish(broken, number, message)

    def _finish(self, handle: pycurl.Curl, number: int, message: str) -> None:
        on_done = self._done.pop(handle, None)
        if on_done is None:
            return
        self._multi.remove_handle(handle)
        self._keep_handle(handle)
        on_done(number, message)


def set_socket_options(descriptor: int, purpose: int) -> int:
    """Make a connection notice a peer that has fallen silent."""
    connection = socket.socket(fileno=descriptor)
    try:
        for level, option, setting in _SOCKET_OPTIONS:
            connection.setsockopt(level, option, setting)
    finally:
        connection.detach()
    return int(pycurl.SOCKOPT_OK)
