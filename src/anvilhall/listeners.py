"""Finds out whether a process listens at an address, without a request."""

import asyncio

from anvilhall.core.messages import Grant
from anvilhall.core.verification import Verification
from anvilhall.exceptions import UpstreamCut
from anvilhall.local import split_address
from anvilhall.logs import log_event
from anvilhall.sharing import SharedCalls

#: Seconds by which a check after the end of a response is delayed, so that the
#: responses which end together share it.
END_GATHER_S = 0.02
#: Timeout of connecting, in seconds; a round trip takes a few milliseconds.
_CONNECT_TIMEOUT_S = 0.3


async def find_listener(address: str) -> bool | None:
    """Open a connection to an address and close it.

    :return: ``False`` if the connection was refused; ``None`` if it can't be
        told whether a process listens.
    """
    host, port = split_address(address)
    try:
        async with asyncio.timeout(_CONNECT_TIMEOUT_S):
            _, writer = await asyncio.open_connection(host, port)
    except ConnectionRefusedError:
        return False
    except OSError as error:
        # A timeout is one, too.
        log_event(
            'listener_not_found', address=address, reason=type(error).__name__
        )
        return None
    writer.close()
    return True


class Listeners:
    """Tells whether the processes of services listen.

    :param verification: knows the upstreams of the platform's list.
    """

    __slots__ = ('_connects', '_verification')

    def __init__(self, verification: Verification) -> None:
        """Start without open connections."""
        self._connects = SharedCalls(find_listener, END_GATHER_S)
        self._verification = verification

    async def confirm_end(self, grant: Grant) -> None:
        """Check that a process has outlived the end of its response.

        The kernel closes the connections of a killed process in order, so that
        a response which has neither a length nor chunks looks complete. A
        process that leaves as planned closes its listening socket after its
        last response, so that nothing can be told of it.

        :raises UpstreamCut: if the process has ended.
        """
        if self._verification.is_replaced(grant):
            raise UpstreamCut(
                f'the list names another process of {grant.runner} by now'
            )
        if not self._verification.is_listed(grant):
            return
        if await self._connects.ask(grant.address) is False:
            raise UpstreamCut(
                f'the process of {grant.runner} has ended with its response'
            )
