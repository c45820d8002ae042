"""Health of runners, judged by latencies and failures relative to the pool."""

import statistics
from collections.abc import Iterable

from anvilhall.core.limits import TokenBucket
from anvilhall.exceptions import (
    UpstreamFull,
    UpstreamRefused,
    UpstreamReplaced,
    UpstreamStalled,
)

#: Weight of the newest observation in the moving average of the slowdown.
_SLOWDOWN_WEIGHT = 0.3
#: Multiple of the pool's median slowdown from which a runner is a straggler.
STRAGGLER_SLOWDOWN = 3.0
#: Shortest and longest backoff between probes of a failed runner, in seconds.
_PROBE_MIN_S = 0.5
_PROBE_MAX_S = 15.0
#: Seconds between probes of a straggler.
_STRAGGLER_PROBE_S = 2.0
#: Seconds without requests for a runner that refused one because it was full.
_FULL_BACKOFF_S = 0.1
#: Weight of the newest answer in the moving average of the error rate.
_ERROR_WEIGHT = 0.34
#: Error rate above which a runner is suspect; two errors in a row exceed it.
_ERROR_RATE_LIMIT = 0.5
#: Late gaps per second and runner that prefill of lower tiers may cause in
#: streams of higher tiers; a gap counts once for each stream.
_LATE_GAPS_PER_S = 0.1
#: Failures after which a runner gets only probes, without regard to its error
#: rate.
_HARD_FAILURES = frozenset(
    (UpstreamRefused.code, UpstreamReplaced.code, UpstreamStalled.code),
)
#: Weights of observations below and above the estimated overhead. With these
#: it settles near the lowest sixth of the observations.
_OVERHEAD_DOWN_WEIGHT = 0.1
_OVERHEAD_UP_WEIGHT = 0.02


class Calibration:
    """Latency estimates and budgets shared by the runners of one pool."""

    __slots__ = ('late_gap_budget', 'median_slowdown', 'overhead_s')

    def __init__(self) -> None:
        """Start with the speeds that the settings state."""
        #: Time to the first token beyond its prediction, in seconds.
        self.overhead_s = 0.0
        #: Median slowdown of the pool's runners, at least 1.
        self.median_slowdown = 1.0
        #: Late gaps that prefill may still cause in streams of higher tiers.
        #: The runners share one budget, so that the late gaps fall on the
        #: runner with the fewest such streams. With a budget per runner they
        #: would fall on each in turn.
        self.late_gap_budget = TokenBucket(_LATE_GAPS_PER_S, 0)

    def set_runner_count(self, runners: int) -> None:
        """Scale the budget of late gaps to the number of runners."""
        self.late_gap_budget.rate = _LATE_GAPS_PER_S * max(1, runners)

    def note_first_token_excess(self, excess_s: float) -> None:
        """Update the overhead.

        :param excess_s: observed minus predicted time to the first token, in
            seconds.
        """
        difference_s = excess_s - self.overhead_s
        weight = (
            _OVERHEAD_UP_WEIGHT if difference_s > 0 else _OVERHEAD_DOWN_WEIGHT
        )
        self.overhead_s = max(0.0, self.overhead_s + weight * difference_s)

    def set_slowdowns(self, slowdowns: Iterable[float]) -> None:
        """Update the median from the current slowdowns of all runners."""
        self.median_slowdown = max(1.0, statistics.median(slowdowns))


class Health:
    """Health of one runner, estimated from the results of its requests."""

    __slots__ = (
        '_calibration',
        '_error_rate',
        '_hard_failure_count',
        '_full_until',
        '_probe_at',
        'probe_request_id',
        'slowdown',
    )

    def __init__(self, calibration: Calibration) -> None:
        """Start healthy."""
        self._calibration = calibration
        #: Moving average of observed to predicted latency, at least 1.
        self.slowdown = 1.0
        #: Hard failures since the last success.
        self._hard_failure_count = 0
        self._error_rate = 0.0
        self._full_until = 0.0
        self._probe_at = 0.0
        #: Identifier of the running probe request; empty if there is none.
        self.probe_request_id = ''

    @property
    def unavailable(self) -> bool:
        """Whether a hard failure has occurred since the last success."""
        return self._hard_failure_count > 0

    @property
    def suspect(self) -> bool:
        """Whether the runner gets only one request at a time, as a probe."""
        limit = STRAGGLER_SLOWDOWN * self._calibration.median_slowdown
        return (
            self.unavailable
            or self._error_rate > _ERROR_RATE_LIMIT
            or self.slowdown >= limit
        )

    def may_probe(self, now: float) -> bool:
        """Return whether a suspect runner may get a probe request."""
        return not self.probe_request_id and now >= self._probe_at

    def is_full(self, now: float) -> bool:
        """Return whether the backoff after a refusal for load still lasts."""
        return now < self._full_until

    def note_latency_ratio(self, ratio: float) -> None:
        """Update the slowdown.

        :param ratio: observed latency divided by the predicted one.
        """
        decayed = (1 - _SLOWDOWN_WEIGHT) * self.slowdown
        self.slowdown = max(1.0, decayed + _SLOWDOWN_WEIGHT * ratio)

    def delay_next_probe(self, now: float) -> None:
        """Set the earliest time of the next probe if the runner is suspect.

        A time that is still to come stays.
        """
        if self.suspect and self._probe_at < now:
            self._probe_at = now + _STRAGGLER_PROBE_S

    def note_failure(
        self,
        code: str,
        now: float,
        *,
        progressing: bool = False,
    ) -> None:
        """Update the health after a failed request.

        A runner that is then suspect gets its next probe after an exponential
        backoff that grows with its hard failures.

        :param code: error code of the failure.
        :param progressing: whether other requests have received tokens from the
            runner meanwhile. A stall is then no sign that the runner is gone;
            it may as well be due to a backlog of prefill.
        :param now: monotonic seconds.
        """
        if code == UpstreamFull.code:
            self._full_until = now + _FULL_BACKOFF_S
            return
        self._error_rate += _ERROR_WEIGHT * (1 - self._error_rate)
        if code in _HARD_FAILURES and not (
            progressing and code == UpstreamStalled.code
        ):
            self._hard_failure_count += 1
        if self.suspect:
            doublings = min(max(self._hard_failure_count - 1, 0), 10)
            pause_s = _PROBE_MIN_S * 2**doublings
            self._probe_at = now + min(pause_s, _PROBE_MAX_S)

    def note_success(self) -> None:
        """Update the health after a request that was served to its end."""
        self._hard_failure_count = 0
        self._error_rate *= 1 - _ERROR_WEIGHT
