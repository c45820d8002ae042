"""Closes connections of callers on which no request arrives in time."""

import asyncio
import weakref
from collections.abc import Callable
from typing import Protocol

#: Seconds until a connection is looked at again on which bytes have arrived
#: that are not read yet.
_RECHECK_S = 0.1


class IdleConnection(Protocol):
    """A connection that waits for the head of a request."""

    def has_unread_bytes(self) -> bool:
        """Return whether the caller has sent bytes that were not read yet."""

    def close(self) -> None:
        """Close the connection."""


class IdleTimer:
    """Closes one connection by the limit in force when its time is over.

    A caller that has learnt of a longer limit may still use a connection which
    waits since before. A shorter limit applies to later waits only, because
    callers may not know it yet.

    :param connection: only a weak reference to it is kept.
    :param get_limit_s: returns the seconds after which it is closed.
    """

    __slots__ = ('_began_at', '_connection', '_get_limit_s', '_timer')

    def __init__(
        self, connection: IdleConnection, get_limit_s: Callable[[], float]
    ) -> None:
        """Start the timer."""
        loop = asyncio.get_running_loop()
        self._connection = weakref.ref(connection)
        self._get_limit_s = get_limit_s
        self._began_at = loop.time()
        self._timer = loop.call_later(get_limit_s(), self._check)

    def cancel(self) -> None:
        """Keep the connection, as the head of a request has arrived."""
        self._timer.cancel()

    def _check(self) -> None:
        connection = self._connection()
        if connection is None:
            return
        loop = asyncio.get_running_loop()
        left_s = self._began_at + self._get_limit_s() - loop.time()
        if left_s <= 0:
            if not connection.has_unread_bytes():
                connection.close()
                return
            left_s = _RECHECK_S
        self._timer = loop.call_later(left_s, self._check)
