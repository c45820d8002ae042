"""Waits for the grant of one attempt."""

import asyncio
import contextlib
from collections.abc import Iterator
from http import HTTPStatus

from anvilhall.core.broker import Broker
from anvilhall.core.messages import Ask, Grant, Release, get_request_id
from anvilhall.dialect import AnswerHead
from anvilhall.exceptions import RequestRefused
from anvilhall.logs import log_event
from anvilhall.metrics import Metrics
from anvilhall.outbound import Transfer


def note_limit(
    broker: Broker, metrics: Metrics, grant: Grant, requests_per_s: float
) -> None:
    """Note the limit that the answer of a grant's runner names.

    A later process of the runner, if one is listed, has not named it.

    :param requests_per_s: infinite if it names none.
    """
    if broker.verification.is_replaced(grant):
        return
    if broker.limits.note(grant.runner, requests_per_s):
        metrics.limit_changes.labels(grant.pool).inc()
        log_event(
            'runner_limited',
            pool=grant.pool,
            runner=grant.runner,
            requests_per_s=requests_per_s,
            request_id=get_request_id(grant.request_id),
        )


def note_state(
    broker: Broker, grant: Grant, status: int, answer: AnswerHead
) -> None:
    """Note whether a grant's runner leaves, or wants nothing for a while."""
    if answer.leaving and broker.notices.note_leaving(grant):
        log_event(
            'runner_leaving',
            pool=grant.pool,
            runner=grant.runner,
            born=grant.born,
            request_id=get_request_id(grant.request_id),
        )
    refuses = status == HTTPStatus.SERVICE_UNAVAILABLE and answer.pause_s
    if refuses and broker.notices.note_pause(grant, answer.pause_s):
        log_event(
            'runner_paused',
            pool=grant.pool,
            runner=grant.runner,
            pause_s=answer.pause_s,
            request_id=get_request_id(grant.request_id),
        )


class PendingGrant:
    """Receives the broker's answers to one ask as a future."""

    __slots__ = ('_grant', '_task', '_transfer', 'future', 'paused')

    def __init__(self) -> None:
        """Create an unresolved future on the running loop."""
        loop = asyncio.get_running_loop()
        self.future: asyncio.Future[Grant] = loop.create_future()
        #: Grant that has arrived, also if its caller has left before.
        self._grant: Grant | None = None
        #: Task of the request, once it waits.
        self._task: asyncio.Task[None] | None = None
        self._transfer: Transfer | None = None
        #: Whether the owner has preempted the granted attempt.
        self.paused = False

    @property
    def granted(self) -> bool:
        """Whether a grant has arrived and not been released."""
        return self._grant is not None

    def handle_grant(self, grant: Grant) -> None:
        """Resolve the future with a grant, unless the wait is cancelled.

        The task of a cancelled wait releases the grant when it runs.
        """
        self._grant = grant
        if not self.future.done():
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

    def is_abandoned(self) -> bool:
        """Return whether the task of the request has ended."""
        return self._task is not None and self._task.done()

    def abort_on_pause(self, transfer: Transfer) -> None:
        """Set the transfer to abort when the owner preempts the attempt."""
        self._transfer = transfer

    async def wait(self, broker: Broker, ask: Ask) -> Grant:
        """Request a grant and return it; the caller must release it.

        A grant that has arrived already is returned without a request. If the
        wait ends in any other way, the request is withdrawn, and a grant that
        has arrived is released.

        :raises RequestRefused: if the grant is refused.
        """
        self._task = asyncio.current_task()
        returned = False
        try:
            if not self.future.done():
                broker.ask(ask, self)
            grant = await self.future
            returned = True
        finally:
            if not returned:
                self.withdraw(broker, ask)
        return grant

    @contextlib.contextmanager
    def hold(self, broker: Broker, ask: Ask) -> Iterator[None]:
        """Release the grant if its attempt can't be created."""
        created = False
        try:
            yield
            created = True
        finally:
            if not created:
                self.withdraw(broker, ask)

    def withdraw(self, broker: Broker, ask: Ask) -> None:
        """Withdraw the request, and release a grant that has arrived."""
        try:
            broker.withdraw(ask.request_id)
        finally:
            self.release(broker)

    def release(self, broker: Broker) -> None:
        """Release a grant that has arrived and that no attempt uses."""
        grant = self._grant
        if grant:
            self._grant = None
            broker.release(
                Release(
                    pool=grant.pool,
                    request_id=grant.request_id,
                    served=False,
                ),
            )
