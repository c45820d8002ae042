"""Moves streams from runners that have fallen silent to other runners.

A stalled attempt stays open while other runners are asked for and tried,
because its runner may go on, and another one may refuse the request, however
late. It is aborted when another runner has begun to answer, and so are the
attempts at all further runners.
"""

import asyncio
import functools
import math
import random
from collections.abc import Callable
from typing import Protocol

import msgspec

from anvilhall.clock import Clock
from anvilhall.core.activity import RunnerActivity
from anvilhall.core.broker import Broker
from anvilhall.core.messages import Ask, Grant, get_request_id, name_grant
from anvilhall.exceptions import RequestRefused
from anvilhall.faults import report_internal_error
from anvilhall.grants import PendingGrant
from anvilhall.logs import log_event
from anvilhall.metrics import Metrics
from anvilhall.successors import Successor

#: Seconds until a runner is asked for again, if none was granted or the granted
#: one is no better: at first and at most. They double with each ask.
#: A slot that becomes free is to be used within half a second.
_REPEAT_S = 0.2
_REPEAT_MAX_S = 0.4
#: Share by which these seconds are shortened at random, so that the asks of
#: streams which stall together spread.
_JITTER = 0.2
#: Share of the stall timeout for which a runner's streams must all have been
#: silent for it to be no better: runners may fall silent one after another.
_SILENT_SHARE = 0.5
#: Seconds until a runner is asked for again, if the retry budget was spent
#: between the ask and its grant.
_BUDGET_REPEAT_S = 1.0
#: Stall timeouts beyond the first one after which a runner that has the request
#: may get it once more, if all others have it as well. A sound runner may fall
#: silent for a time and go on.
_LOST_STALLS = 2
#: Reason for which a stalled stream is not moved for now.
BUDGET_SPENT = 'the retry budget is spent'


class StreamAttempt(Protocol):
    """An attempt of a stream that may be moved."""

    grant: Grant

    @property
    def stall_timeout_s(self) -> float:
        """Seconds without progress after which the attempt is stalled."""

    def compute_time_left_s(self) -> float:
        """Return the seconds left until the attempt counts as stalled."""

    def report_stall(self) -> None:
        """Tell the owner of the runner that the attempt has stalled."""

    def abort_stalled(self) -> None:
        """End the attempt with an error, as another runner has begun."""


class StreamRequest(Protocol):
    """The request of an attempt."""

    def build_ask(self, avoid: tuple[str, ...] = ()) -> Ask:
        """Return the message that asks for a runner.

        :param avoid: runners to avoid besides those that failed.
        """

    def find_obstacle(self) -> str:
        """Return why the stream may not be moved; empty if it may."""

    def try_spend_retry(self) -> bool:
        """Take a retry from the budget; return whether one was left."""

    def start_successor(
        self, pending: PendingGrant, ask: Ask, grant: Grant
    ) -> Successor:
        """Send the request to another runner beside the stalled attempt.

        :param pending: holds the grant.
        """


class LateRequest(Protocol):
    """Copy of a request whose first answer is late."""

    def is_copy(self, successor: Successor) -> bool:
        """Return whether an attempt is the copy."""

    def note_winner(self, successor: Successor) -> None:
        """Note which attempt goes on instead of the first."""

    def note_failure(self, successor: Successor) -> None:
        """Note that an attempt has failed, while the first one is open."""

    def close(self) -> None:
        """Give the copy up, as the first attempt goes on or has ended."""


class Handover:
    """Finds another runner for one attempt of a stream if it stalls.

    :param attempt: attempt to observe.
    :param request: request of the attempt.
    :param activity: runners that have been silent.
    :param metrics: counts the faults of timers and callbacks.
    """

    __slots__ = (
        '_activity',
        '_ask',
        '_ask_count',
        '_begun',
        '_attempt',
        '_broker',
        '_clock',
        '_last_resort',
        '_metrics',
        '_moved',
        '_pending',
        '_reason',
        '_repeat_s',
        '_request',
        '_stalled',
        '_successors',
        '_timer',
        'hedge',
    )

    def __init__(
        self,
        attempt: StreamAttempt,
        request: StreamRequest,
        broker: Broker,
        clock: Clock,
        activity: RunnerActivity,
        metrics: Metrics,
    ) -> None:
        """Create the handover; :meth:`start` begins to observe the attempt."""
        self._attempt = attempt
        self._request = request
        self._broker = broker
        self._clock = clock
        self._activity = activity
        self._metrics = metrics
        self._timer: asyncio.TimerHandle | None = None
        #: Unanswered ask.
        self._pending: PendingGrant | None = None
        #: Attempts at other runners, oldest first, until one is taken.
        self._successors: list[Successor] = []
        self._ask: Ask
        self._ask_count = 0
        #: Whether the ask is for a runner that has the request already.
        self._last_resort = False
        #: Whether the attempt has sent an event.
        self._begun = False
        self._stalled = False
        self._repeat_s = _REPEAT_S
        self._moved = False
        #: Why the stalled stream has not been moved yet.
        self._reason = ''
        #: Copy of a late request that may be sent before the attempt stalls.
        self.hedge: LateRequest | None = None

    @property
    def stalled(self) -> bool:
        """Whether the attempt has stalled and not gone on."""
        return self._stalled

    def start(self) -> None:
        """Begin to observe the attempt."""
        self._schedule_check(self._attempt.compute_time_left_s())

    def note_progress(self) -> None:
        """Give up other runners, as the runner has gone on."""
        if self._moved:
            return
        self._close_hedge()
        if self._stalled or self._successors:
            self._withdraw()
        elif self._begun:
            return
        if self._stalled:
            self._end_stall()
        # The limit between events may be shorter than that of the first one.
        self._begun = True
        self._schedule_check(self._attempt.compute_time_left_s())

    def take(self) -> Successor | None:
        """Return the attempt that the stream goes on with, if any.

        If the observed attempt has failed, this is also one that has not begun
        yet. The caller must wait for it.
        """
        if not self._successors:
            return None
        # The latest one has been silent for the shortest time.
        successor = self._successors[-1]
        self._move(successor)
        self._successors.remove(successor)
        return successor

    def adopt(self, successors: list[Successor]) -> None:
        """Observe attempts that another handover has begun.

        The observed attempt may stall as well.
        """
        self._successors.extend(successors)
        for successor in successors:
            self._observe(successor)

    def close(self) -> None:
        """Stop observing; withdraw the ask, or end an attempt not taken."""
        self._close_hedge()
        if self._timer:
            self._timer.cancel()
        try:
            self._withdraw()
        finally:
            if self._stalled:
                self._end_stall()

    def _close_hedge(self) -> None:
        hedge = self.hedge
        self.hedge = None
        if hedge:
            self._run_step(hedge.close)

    def _run_step(self, step: Callable[[], None]) -> None:
        """Run a step of a timer or a callback.

        No caller would handle its fault, and the stream would stay on its
        silent runner.
        """
        try:
            step()
        except (Exception, asyncio.CancelledError) as fault:  # noqa: BLE001
            # No task is cancelled here: a cancellation is one of something
            # that was read.
            self._handle_fault(fault)

    def _handle_fault(self, fault: BaseException) -> None:
        """Report a fault and begin again, unless the stream has moved."""
        report_internal_error(self._metrics, fault)
        if self._moved:
            return
        self._reason = type(fault).__name__
        self._schedule_repeat()
        try:
            self._withdraw()
        except Exception as error:  # noqa: BLE001
            report_internal_error(self._metrics, error)

    def _schedule_check(self, delay_s: float) -> None:
        self._schedule(delay_s, self._check)

    def _schedule(self, delay_s: float, work: Callable[[], None]) -> None:
        if self._timer:
            self._timer.cancel()
        if delay_s == math.inf:
            # Only a copy can replace an attempt that never stalls.
            return
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(delay_s, self._run_step, work)

    def _check(self) -> None:
        left_s = self._attempt.compute_time_left_s()
        if left_s > 0:
            self._schedule_check(left_s)
            return
        if not self._stalled:
            self._repeat_s = _REPEAT_S
            self._activity.begin_stall(self._attempt.grant.runner)
            self._stalled = True
            self._attempt.report_stall()
        self._reason = self._request.find_obstacle()
        if self._reason:
            self._schedule_repeat()
        else:
            self._send_ask()

    def _schedule_repeat(self) -> None:
        jitter = random.uniform(1 - _JITTER, 1)  # noqa: S311
        self._schedule_check(self._repeat_s * jitter)
        self._repeat_s = min(2 * self._repeat_s, _REPEAT_MAX_S)

    def _send_ask(self) -> None:
        # Owners know one grant for each identifier, and this request holds one.
        held = self._attempt.grant
        tried = self._list_tried()
        silent = self._list_silent().difference(tried)
        no_better = (*tried, *sorted(silent))
        self._ask = msgspec.structs.replace(
            self._request.build_ask(no_better),
            request_id=name_grant(held.request_id, self._ask_count + 1),
            moves=True,
        )
        may_be_granted = self._broker.verification.may_be_granted
        if not may_be_granted(self._ask):
            # A runner that failed the request before is better than a dead one.
            self._ask = msgspec.structs.replace(self._ask, avoid=no_better)
        self._last_resort = not may_be_granted(self._ask)
        lost_s = _LOST_STALLS * self._attempt.stall_timeout_s
        may_be_lost = self._attempt.compute_time_left_s() <= -lost_s
        if self._last_resort and self._successors and may_be_lost:
            # All runners have the request and are silent. The earlier ones may
            # have lost it.
            self._ask = msgspec.structs.replace(self._ask, avoid=tried[-1:])
        if not may_be_granted(self._ask):
            self._reason = 'no other runner is known that is not silent'
            self._schedule_repeat()
            return
        self._ask_count += 1
        self._reason = 'no runner was granted'
        self._pending = PendingGrant()
        # The broker may answer before it returns.
        self._pending.future.add_done_callback(self._handle_answer)
        self._broker.ask(self._ask, self._pending)

    def _handle_answer(self, answer: 'asyncio.Future[Grant]') -> None:
        pending = self._pending
        if pending is None or pending.future is not answer:
            # It was withdrawn.
            return
        self._run_step(functools.partial(self._use_answer, pending))

    def _use_answer(self, pending: PendingGrant) -> None:
        answer = pending.future
        error = answer.exception()
        if error is None:
            self._reason = self._find_obstacle(answer.result())
        elif isinstance(error, RequestRefused):
            self._reason = f'{error.code}: {error.reason}'
        else:
            raise error
        if self._reason:
            self._withdraw_ask()
            if self._reason == BUDGET_SPENT:
                self._schedule_check(_BUDGET_REPEAT_S)
            else:
                self._schedule_repeat()
            return
        self._try_runner(pending, answer.result())

    def _try_runner(self, pending: PendingGrant, grant: Grant) -> None:
        successor = self._request.start_successor(pending, self._ask, grant)
        self._pending = None
        self._successors.append(successor)
        self._observe(successor)
        # A runner that has not begun by then is no better than this one.
        self._schedule_check(self._attempt.stall_timeout_s)

    def _observe(self, successor: Successor) -> None:
        successor.observe(
            functools.partial(self._handle_begin, successor),
            functools.partial(self._handle_failure, successor),
        )

    def _handle_begin(self, successor: Successor) -> None:
        try:
            self._move(successor)
        except BaseException as fault:
            self._handle_fault(fault)
            # The new attempt must not forward its response.
            raise

    def _handle_failure(
        self, successor: Successor, error: BaseException
    ) -> None:
        """Stay with the other attempts, as a new one has failed."""
        if self._moved or successor not in self._successors:
            return
        self._successors.remove(successor)
        self._reason = successor.describe_failure(error)
        if self.hedge:
            self.hedge.note_failure(successor)
        if self._stalled and self._pending is None:
            self._schedule_repeat()

    def _move(self, successor: Successor) -> None:
        """Give up the stalled attempt, as the new one is accepted."""
        if self._moved or successor not in self._successors:
            return
        if self._timer:
            self._timer.cancel()
        hedged = self.hedge is not None and self.hedge.is_copy(successor)
        self._attempt.abort_stalled()
        self._moved = True
        self._run_step(functools.partial(self._hand_on, successor))
        if self.hedge:
            self._run_step(functools.partial(self.hedge.note_winner, successor))
        if hedged:
            return
        self._run_step(
            functools.partial(
                self._log, 'stream_moved', to=successor.attempt.grant.runner
            ),
        )

    def _hand_on(self, successor: Successor) -> None:
        """End the other new attempts, or leave them to a successor.

        A successor that has not begun may be silent, or refuse the request.
        """
        others = [each for each in self._successors if each is not successor]
        self._successors = [successor]
        handover = successor.attempt.handover
        if handover is None or successor.begun:
            for other in others:
                other.cancel()
        else:
            handover.adopt(others)
        if handover:
            handover.start()

    def _find_obstacle(self, grant: Grant) -> str:
        """Return why the stream is not moved to a granted runner, if so.

        Without an obstacle, the retry budget is charged.
        """
        tried = self._list_tried()
        if self._last_resort:
            tried = tried[-1:]
        if grant.runner in tried:
            return 'no other runner has a free slot'
        if not self._last_resort and grant.runner in self._list_silent():
            return f'runner {grant.runner} is silent as well'
        obstacle = self._request.find_obstacle()
        if obstacle or self._request.try_spend_retry():
            return obstacle
        return BUDGET_SPENT

    def _list_tried(self) -> tuple[str, ...]:
        """Return the runners that have the request now."""
        others = (each.attempt.grant.runner for each in self._successors)
        return (self._attempt.grant.runner, *others)

    def _list_silent(self) -> frozenset[str]:
        silent_s = self._attempt.stall_timeout_s * _SILENT_SHARE
        return self._activity.list_silent(self._clock.monotonic() - silent_s)

    def _withdraw(self) -> None:
        successors = self._successors
        self._successors = []
        try:
            self._withdraw_ask()
        finally:
            for successor in successors:
                successor.cancel()

    def _withdraw_ask(self) -> None:
        pending = self._pending
        self._pending = None
        if pending:
            pending.withdraw(self._broker, self._ask)

    def _end_stall(self) -> None:
        self._stalled = False
        self._activity.end_stall(self._attempt.grant.runner)
        if not self._moved:
            self._log('stream_not_moved', reason=self._reason)

    def _log(self, kind: str, **fields: object) -> None:
        attempt = self._attempt
        log_event(
            kind,
            request_id=get_request_id(attempt.grant.request_id),
            pool=attempt.grant.pool,
            runner=attempt.grant.runner,
            asks=self._ask_count,
            **fields,
        )
