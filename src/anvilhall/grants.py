"""Waits for the grant of one attempt."""

import asyncio

from anvilhall.core.broker import Broker
from anvilhall.core.messages import Ask, Grant, Release, get_request_id
from anvilhall.exceptions import RequestRefused
from anvilhall.logs import log_event
from anvilhall.metrics import Metrics
from anvilhall.outbound import Transfer


def note_limit(
    broker: Broker, metrics: Metrics, grant: Grant, requests_per_s: float
) -> None:
    """Note the limit that the answer of a grant's runner names.

    :param requests_per_s: infinite if it names none.
    """
    if broker.limits.note(grant.runner, requests_per_s):
        metrics.limit_changes.labels(grant.pool).inc()
        log_event(
            'runner_limited',
            pool=grant.pool,
            runner=grant.runner,
            requests_per_s=requests_per_s,
            request_id=get_request_id(grant.request_id),
        )


class PendingGrant:
    """Receives the broker's answers to one ask as a future."""

    __slots__ = ('_transfer', 'future', 'paused')

    def __init__(self) -> None:
        """Create an unresolved future on the running loop."""
        loop = asyncio.get_running_loop()
        self.future: asyncio.Future[Grant] = loop.create_future()
        self._transfer: Transfer | None = None
        #: Whether the owner has preempted the granted attempt.
        self.paused = False

    def handle_grant(self, grant: Grant) -> None:
        """Resolve the future with a grant."""
        self.future.set_result(grant)

    def handle_refusal(self, error: RequestRefused) -> None:
        """Resolve the future with an error."""
        if not self.future.done():
            self.future.set_exception(error)

    def handle_pause(self) -> None:
        """Abort the attempt's transfer, if it has one yet."""
        if self._transfer:
            self.paused = True
            self._transfer.abort()

    def abort_on_pause(self, transfer: Transfer) -> None:
        """Set the transfer to abort when the owner preempts the attempt."""
        self._transfer = transfer

    async def wait(self, broker: Broker, ask: Ask) -> Grant:
        """Request a grant and return it; the caller must release it.

        A grant that has arrived already is returned without a request. If the
        wait is cancelled, the request is withdrawn, and a grant that
        has arrived is released.

        :raises RequestRefused: if the grant is refused.
        """
        if not self.future.done():
            broker.ask(ask, self)
        try:
            return await self.future
        except asyncio.CancelledError:
            self.withdraw(broker, ask)
            raise

    def withdraw(self, broker: Broker, ask: Ask) -> None:
        """Withdraw the request, and release a grant that has arrived."""
        broker.withdraw(ask.request_id)
        if self.future.done() and not self.future.cancelled():
            broker.release(
                Release(
                    pool=ask.pool,
                    request_id=ask.request_id,
                    served=False,
                ),
            )
