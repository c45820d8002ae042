"""How a request waits for its grant."""

import asyncio

from anvilhall.core.broker import Broker
from anvilhall.core.messages import Ask, Grant, Release
from anvilhall.exceptions import RequestRefused
from anvilhall.outbound import Transfer


class GrantTicket:
    """Turns the broker's answers into a future."""

    __slots__ = ('_paused_transfer', 'future', 'paused')

    def __init__(self) -> None:
        """Start without an answer."""
        loop = asyncio.get_running_loop()
        self.future: asyncio.Future[Grant] = loop.create_future()
        self._paused_transfer: Transfer | None = None
        #: Whether the owner has asked for the slot.
        self.paused = False

    def take_grant(self, grant: Grant) -> None:
        """Resolve the future."""
        self.future.set_result(grant)

    def take_refusal(self, error: RequestRefused) -> None:
        """Fail the future."""
        if not self.future.done():
            self.future.set_exception(error)

    def take_pause(self) -> None:
        """Abort the transfer of the granted attempt."""
        if self._paused_transfer:
            self.paused = True
            self._paused_transfer.abort()

    def abort_on_pause(self, transfer: Transfer) -> None:
        """Abort this transfer when the owner asks for the slot."""
        self._paused_transfer = transfer

    async def wait(self, broker: Broker, ask: Ask) -> Grant:
        """Ask for a grant and return it; it must be released in the end.

        :raises RequestRefused: if there will be none.
        """
        broker.ask(ask, self)
        try:
            return await self.future
        except asyncio.CancelledError:
            self._give_up(broker, ask)
            raise

    def _give_up(self, broker: Broker, ask: Ask) -> None:
        broker.withdraw(ask.request_id)
        if self.future.done() and not self.future.cancelled():
            broker.release(
                Release(
                    pool=ask.pool,
                    request_id=ask.request_id,
                    served=False,
                ),
            )
