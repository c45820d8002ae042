"""Client of the platform's API, whose calls end with the holder's lease."""

import asyncio
from collections.abc import Callable

from anvilhall.clock import Clock
from anvilhall.core.leases import MARGIN_S, TermId
from anvilhall.duties.base import Answer
from anvilhall.exceptions import (
    DutyCallFailed,
    LeaseLost,
    UpstreamCut,
    UpstreamRefused,
    UpstreamStalled,
)
from anvilhall.logs import log_event
from anvilhall.metrics import Metrics
from anvilhall.outbound import Call, Outbound, Transfer
from anvilhall.platform.duties import DutyCall, build_headers, decode_answer

#: Timeout of connecting, in seconds; a round trip takes a few milliseconds.
_CONNECT_TIMEOUT_S = 0.3
#: Longest time that a call waits for its answer, in seconds. A slow API takes
#: 50 times its usual few milliseconds.
_CALL_TIMEOUT_S = 2.0
#: Factor by which calls are further apart than the rate asks for, as they don't
#: take equally long to arrive.
_INTERVAL_SLACK = 1.1
#: Seconds before the end of the lease at which a call is aborted.
_ABORT_MARGIN_S = 0.3


class LeasedTransfer(Transfer):
    """Exchange that is not sent unless enough of the lease is left.

    The check follows the connect, directly before the request is sent.

    :param measure_rest_s: returns the seconds left of the lease.
    """

    __slots__ = ('_measure_rest_s',)

    def __init__(self, measure_rest_s: Callable[[], float]) -> None:
        """Start with the request unsent."""
        super().__init__()
        self._measure_rest_s = measure_rest_s

    def try_mark_sent(self) -> bool:
        """Mark the request as sent; return whether it may be sent now."""
        if self._measure_rest_s() <= MARGIN_S:
            return False
        return super().try_mark_sent()


class DutyClient:
    """Sends the calls of the holder, one after another or side by side.

    :param api: host and port of the API.
    :param calls_per_s: calls that the API takes from all instances together.
    """

    __slots__ = (
        '_api',
        '_clock',
        '_interval_s',
        '_metrics',
        '_next_at',
        '_outbound',
        'open_calls',
    )

    def __init__(
        self,
        api: str,
        calls_per_s: float,
        outbound: Outbound,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        """Create a client of the API at ``HOST:PORT``."""
        self._api = api
        self._interval_s = _INTERVAL_SLACK / calls_per_s
        self._outbound = outbound
        self._clock = clock
        self._metrics = metrics
        #: Boot time of the next call that keeps to the rate.
        self._next_at = 0.0
        #: Calls that have begun and not ended.
        self.open_calls = 0

    async def send(
        self,
        term: TermId,
        call: DutyCall,
        measure_rest_s: Callable[[], float],
    ) -> Answer:
        """Send one call and return the answer.

        :param measure_rest_s: returns the seconds left of the term's lease.
        :raises LeaseLost: if the lease does not last long enough.
        :raises DutyCallFailed: if the call may have taken effect.
        """
        self.open_calls += 1
        try:
            answer = await self._send(term, call, measure_rest_s)
        except (DutyCallFailed, LeaseLost) as error:
            self._metrics.duty_calls.labels(call.path, error.code).inc()
            log_event(
                'duty_call_failed',
                path=call.path,
                token=term.token,
                result=error.code,
                reason=error.reason,
            )
            raise
        finally:
            self.open_calls -= 1
        self._metrics.duty_calls.labels(call.path, answer.value).inc()
        if answer is not Answer.ACCEPTED:
            log_event(
                'duty_call_refused',
                path=call.path,
                token=term.token,
                result=answer.value,
            )
        return answer

    async def _send(
        self,
        term: TermId,
        call: DutyCall,
        measure_rest_s: Callable[[], float],
    ) -> Answer:
        await self._wait_turn()
        rest_s = measure_rest_s()
        if rest_s <= MARGIN_S:
            raise LeaseLost()
        transfer = LeasedTransfer(measure_rest_s)
        request = Call(
            url=f'http://{self._api}{call.path}',
            method='POST',
            headers=build_headers(term.holder, term.token),
            body=call.body,
            connect_timeout_s=_CONNECT_TIMEOUT_S,
            timeout_s=min(_CALL_TIMEOUT_S, rest_s - _ABORT_MARGIN_S),
            # What is written to a connection whose link has failed would
            # arrive when the link is back, after the lease.
            fresh=True,
        )
        try:
            reply = await self._outbound.fetch(request, transfer)
        except (UpstreamRefused, UpstreamCut, UpstreamStalled) as error:
            if not transfer.sent and measure_rest_s() <= MARGIN_S:
                raise LeaseLost() from error
            raise DutyCallFailed(error.reason) from error
        return decode_answer(call, reply.status)

    async def _wait_turn(self) -> None:
        now = self._clock.boottime()
        turn_at = max(now, self._next_at)
        self._next_at = turn_at + self._interval_s
        if turn_at > now:
            await asyncio.sleep(turn_at - now)
