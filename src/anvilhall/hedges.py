"""Sends late requests to a second runner beside the first.

The first attempt stays open. Whichever is answered first goes on, and the other
one is ended at once (see :mod:`anvilhall.handover`).
"""

import asyncio
import functools
import math
from collections.abc import Callable
from typing import Protocol

import msgspec

from anvilhall.core.hedging import Denial, Hedging
from anvilhall.core.messages import Ask, Grant, get_request_id, name_grant
from anvilhall.exceptions import RequestRefused
from anvilhall.faults import report_internal_error
from anvilhall.grants import PendingGrant
from anvilhall.logs import log_event
from anvilhall.relayjobs import RelayJob, RelayServices
from anvilhall.successors import Observer, Successor

#: Number of the ask for a copy; those of a handover begin at 1.
_ASK_NUMBER = 0
#: Seconds for which an owner's answer is awaited. A copy that waits for longer
#: is of little use, and the owner may be gone.
_ANSWER_LIMIT_S = 0.1
#: Seconds by which a timer may be late. A later one tells of this instance, or
#: its suspension, rather than of the runner, whose answer may be unread.
_TIMER_MARGIN_S = 0.05
#: Seconds before the end of the instance in which nothing is sent twice.
_STOP_MARGIN_S = 0.5
#: Seconds for which the streams of a runner must all have been silent for it to
#: be no better: half of the shortest stall timeout.
_SILENT_S = 0.6
#: Share of the retry budget that is left to retries of failed requests.
_KEPT_BUDGET = 0.5


class HedgedRequest(Protocol):
    """A request of which a copy may be sent."""

    def build_ask(self, avoid: tuple[str, ...] = ()) -> Ask:
        """Return the message that asks for a runner.

        :param avoid: runners to avoid besides those that failed.
        """

    def find_hedge_denial(self) -> Denial | None:
        """Return why the request itself may not be sent again, if so."""

    def start_copy(
        self, pending: PendingGrant, ask: Ask, grant: Grant
    ) -> Successor:
        """Send a copy of the request beside an attempt that is late.

        :param pending: holds the grant.
        """


class HedgedAttempt(Protocol):
    """The first attempt of a request."""

    grant: Grant

    @property
    def handover(self) -> Observer | None:
        """Moves the request to the copy."""


class Hedge:
    """Sends one copy of a request if its first answer is late.

    :param hedging: distribution and limits of the class.
    :param attempt: first attempt; its handover takes the copy and tells how it
        ends.
    """

    __slots__ = (
        '_ask',
        '_attempt',
        '_copy',
        '_delay_s',
        '_due_at',
        '_hedging',
        '_held',
        '_job',
        '_late',
        '_pending',
        '_request',
        '_services',
        '_timer',
    )

    def __init__(
        self,
        hedging: Hedging,
        request: HedgedRequest,
        job: RelayJob,
        services: RelayServices,
        attempt: HedgedAttempt,
    ) -> None:
        """Create the hedge; :meth:`start` begins to observe the time."""
        self._hedging = hedging
        self._request = request
        self._job = job
        self._services = services
        self._attempt = attempt
        self._held = attempt.grant
        self._timer: asyncio.TimerHandle | None = None
        self._delay_s = math.inf
        self._due_at = math.inf
        #: Whether the runner has been noted as late.
        self._late = False
        self._ask: Ask
        #: Unanswered ask.
        self._pending: PendingGrant | None = None
        #: Second attempt, while neither has been answered.
        self._copy: Successor | None = None

    def start(self, delay_s: float) -> None:
        """Send a copy after a delay, unless the hedge is closed before."""
        self._delay_s = delay_s
        self._due_at = self._services.clock.monotonic() + delay_s
        self._schedule(delay_s, self._check)

    def is_copy(self, successor: Successor) -> bool:
        """Return whether an attempt is the copy."""
        return successor is self._copy

    def note_winner(self, successor: Successor) -> None:
        """Note which attempt goes on instead of the first."""
        won = self.is_copy(successor)
        self._end_copy('won' if won else 'lost')
        self.close()

    def note_failure(self, successor: Successor) -> None:
        """Note that an attempt has failed, while the first one is open."""
        if self.is_copy(successor):
            self._end_copy('failed')

    def close(self) -> None:
        """Give the copy up, as the first attempt goes on or has ended."""
        if self._timer:
            self._timer.cancel()
            self._timer = None
        if self._late:
            self._late = False
            self._hedging.end_late(self._held.runner)
        self._end_copy('lost')
        self._withdraw_ask()

    def _schedule(self, delay_s: float, step: Callable[[], None]) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(delay_s, self._run_step, step)

    def _run_step(self, step: Callable[[], None]) -> None:
        """Run a step of a timer or a callback; a fault ends the hedge only."""
        try:
            step()
        except Exception as fault:  # noqa: BLE001
            report_internal_error(self._services.metrics, fault)
            self.close()

    def _check(self) -> None:
        now = self._services.clock.monotonic()
        if now - self._due_at > _TIMER_MARGIN_S:
            self._due_at = now + _TIMER_MARGIN_S
            self._schedule(_TIMER_MARGIN_S, self._check)
            return
        self._late = True
        self._hedging.begin_late(self._held.runner)
        denial = self._find_denial()
        if denial:
            self._deny(denial)
        else:
            self._send_ask()

    def _find_denial(self) -> Denial | None:
        services = self._services
        now = services.clock.monotonic()
        if services.shutdown.stop_at - now <= _STOP_MARGIN_S:
            return Denial.STOP
        pool = self._held.pool
        if services.broker.has_waiting(pool):
            return Denial.WAITING
        denial = self._request.find_hedge_denial() or self._hedging.find_denial(
            self._job.route.name, pool, self._job.deadline_at, now
        )
        if denial:
            return denial
        if services.budgets.has_left(pool, now, kept=_KEPT_BUDGET):
            return None
        return Denial.BUDGET

    def _send_ask(self) -> None:
        avoid = self._list_avoided()
        # It moves, so that it displaces nobody, and is answered at once.
        self._ask = msgspec.structs.replace(
            self._request.build_ask(tuple(sorted(avoid))),
            request_id=name_grant(self._held.request_id, _ASK_NUMBER),
            moves=True,
            at_once=True,
        )
        broker = self._services.broker
        if not broker.verification.may_be_granted(self._ask):
            self._deny(Denial.NO_RUNNER)
            return
        self._schedule(_ANSWER_LIMIT_S, self._give_up)
        self._pending = PendingGrant()
        # The broker may answer before it returns.
        self._pending.future.add_done_callback(self._handle_answer)
        broker.ask(self._ask, self._pending)

    def _list_avoided(self) -> frozenset[str]:
        """Return the runners that are no better than the first one."""
        now = self._services.clock.monotonic()
        silent = self._services.activity.list_silent(now - _SILENT_S)
        return silent.union(self._hedging.list_late(), (self._held.runner,))

    def _handle_answer(self, answer: 'asyncio.Future[Grant]') -> None:
        pending = self._pending
        if pending is None or pending.future is not answer:
            # It was withdrawn.
            return
        self._run_step(functools.partial(self._use_answer, pending))

    def _use_answer(self, pending: PendingGrant) -> None:
        if self._timer:
            self._timer.cancel()
        error = pending.future.exception()
        if isinstance(error, RequestRefused):
            self._deny(Denial.NO_ROOM)
            return
        if error:
            raise error
        grant = pending.future.result()
        denial = self._find_denial()
        if grant.runner in self._list_avoided():
            denial = Denial.NO_RUNNER
        if denial:
            self._deny(denial)
        else:
            self._send_copy(pending, grant)

    def _send_copy(self, pending: PendingGrant, grant: Grant) -> None:
        now = self._services.clock.monotonic()
        self._services.budgets.try_spend(self._held.pool, now)
        self._hedging.spend(self._job.route.name)
        self._count('sent')
        copy = self._request.start_copy(pending, self._ask, grant)
        self._pending = None
        self._copy = copy
        if self._attempt.handover:
            self._attempt.handover.adopt([copy])

    def _give_up(self) -> None:
        self._deny(Denial.NO_ROOM)

    def _deny(self, denial: Denial) -> None:
        self._services.metrics.hedges_denied.labels(
            denial.value, self._job.route.name
        ).inc()
        self._withdraw_ask()

    def _withdraw_ask(self) -> None:
        pending = self._pending
        self._pending = None
        if pending:
            pending.withdraw(self._services.broker, self._ask)

    def _end_copy(self, result: str) -> None:
        copy = self._copy
        self._copy = None
        if copy is None:
            return
        self._count(result)
        log_event(
            'request_hedged',
            request_id=get_request_id(self._held.request_id),
            route=self._job.route.name,
            pool=self._held.pool,
            runner=self._held.runner,
            to=copy.attempt.grant.runner,
            result=result,
            delay_s=round(self._delay_s, 3),
        )

    def _count(self, result: str) -> None:
        name = self._job.route.name
        self._services.metrics.hedges.labels(result, name).inc()
