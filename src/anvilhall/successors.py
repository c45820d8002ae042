"""Attempts of streams that begin while a silent one is still open."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Protocol

from anvilhall.core.messages import Grant
from anvilhall.exceptions import AnvilhallError
from anvilhall.faults import report_internal_error
from anvilhall.metrics import Metrics
from anvilhall.outbound import Transfer


class Observer(Protocol):
    """Observes an attempt for stalls."""

    def start(self) -> None:
        """Begin to observe the attempt."""

    def adopt(self, successors: 'list[Successor]') -> None:
        """Observe attempts that another handover has begun."""


class SuccessorAttempt(Protocol):
    """An attempt at the runner to which a stalled stream may move."""

    grant: Grant
    transfer: Transfer
    #: Called when the runner has accepted the request; ``None`` if no other
    #: attempt is open meanwhile.
    begin_handler: Callable[[], None] | None

    @property
    def handover(self) -> Observer | None:
        """Moves the stream again, if it may be moved."""


class Successor:
    """Runs an attempt in a task until the stream moves to it or stays.

    :param attempt: not sent yet.
    :param exchange: sends it and forwards its response.
    :param end: closes the attempt and releases its grant.
    :param metrics: counts faults of this program.
    """

    __slots__ = (
        '_end',
        '_ended',
        '_failure_handler',
        '_metrics',
        '_task',
        'attempt',
        'begun',
    )

    def __init__(
        self,
        attempt: SuccessorAttempt,
        exchange: Coroutine[Any, Any, None],
        end: Callable[[], None],
        metrics: Metrics,
    ) -> None:
        """Create the task; it begins after the caller has returned."""
        self.attempt = attempt
        #: Whether the runner has begun to answer.
        self.begun = False
        self._end = end
        self._ended = False
        self._metrics = metrics
        self._failure_handler: Callable[[BaseException], None] | None = None
        self._task = asyncio.ensure_future(exchange)
        # A task that is cancelled before its first step runs no code.
        self._task.add_done_callback(self._handle_end)

    def observe(
        self,
        begin_handler: Callable[[], None],
        failure_handler: Callable[[BaseException], None],
    ) -> None:
        """Set what is called when the attempt begins or fails."""

        def begin() -> None:
            self.begun = True
            begin_handler()

        self.attempt.begin_handler = begin
        self._failure_handler = failure_handler

    def describe_failure(self, error: BaseException) -> str:
        """Return why the attempt failed; report a fault of this program."""
        if isinstance(error, AnvilhallError):
            return f'{error.code}: {error.reason}'
        if isinstance(error, Exception):
            report_internal_error(self._metrics, error)
        return type(error).__name__

    async def wait(self) -> None:
        """Wait for the end of the attempt.

        :raises AnvilhallError: if the runner does not serve the request.
        """
        await self._task

    def cancel(self) -> None:
        """End the attempt at once."""
        self._failure_handler = None
        self._task.cancel()
        self._end_once()

    def _handle_end(self, task: asyncio.Task[None]) -> None:
        error = None if task.cancelled() else task.exception()
        try:
            self._end_once()
        finally:
            if error and self._failure_handler:
                self._failure_handler(error)

    def _end_once(self) -> None:
        if not self._ended:
            self._ended = True
            self._end()
