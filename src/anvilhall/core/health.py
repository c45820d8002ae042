"""What observed times and failures say of a runner, against its pool."""

import statistics
from collections.abc import Iterable

from anvilhall.core.limits import TokenBucket
from anvilhall.exceptions import (
    UpstreamFull,
    UpstreamRefused,
    UpstreamReplaced,
    UpstreamStalled,
)

#: Weight of the newest observation in the slowdown average.
_SLOWDOWN_WEIGHT = 0.3
#: Slowdown against the pool's typical one from which a runner counts as a
#: straggler.
STRAGGLER_SLOWDOWN = 3.0
#: Shortest and longest pause between probes of a failed runner, in seconds.
_PROBE_MIN_S = 0.5
_PROBE_MAX_S = 15.0
#: Seconds between probes of a straggler.
_STRAGGLER_PROBE_S = 2.0
#: Seconds for which a runner that was full gets nothing.
_FULL_BACKOFF_S = 0.1
#: Weight of the newest answer in the share of answers that are errors.
_ERROR_WEIGHT = 0.34
#: Share of errors from which a runner counts as unavailable: two in a row.
_ERROR_LIMIT = 0.5
#: Gaps beyond their target that streams of higher tiers bear for prefill of
#: lower ones, a second and runner; a gap of each stream counts.
_LATE_GAPS_PER_S = 0.1
#: Failures after which a runner gets single probes at once.
_HARD_FAILURES = frozenset(
    (UpstreamRefused.code, UpstreamReplaced.code, UpstreamStalled.code),
)
#: Weights by which the base time follows observations below and above it, so
#: that it settles near their lowest sixth.
_OVERHEAD_DOWN_WEIGHT = 0.1
_OVERHEAD_UP_WEIGHT = 0.02


class Calibration:
    """What the runners of one pool have in common."""

    __slots__ = ('overhead_s', 'late_gap_budget', 'median_slowdown')

    def __init__(self) -> None:
        """Start from the settings' figures."""
        #: Time to the first token beyond what is predicted, in seconds.
        self.overhead_s = 0.0
        #: Median slowdown of the pool's runners.
        self.median_slowdown = 1.0
        #: Late gaps that streams of higher tiers are made to bear. One
        #: allowance for all runners, so that the runner with the fewest
        #: such streams bears them, and not each runner in turn.
        self.late_gap_budget = TokenBucket(_LATE_GAPS_PER_S, 0)

    def set_runner_count(self, runners: int) -> None:
        """Take over the number of the pool's runners."""
        self.late_gap_budget.rate = _LATE_GAPS_PER_S * max(1, runners)

    def note_first_token_excess(self, excess_s: float) -> None:
        """Learn from a time to the first token, less its prediction."""
        difference_s = excess_s - self.overhead_s
        weight = (
            _OVERHEAD_UP_WEIGHT if difference_s > 0 else _OVERHEAD_DOWN_WEIGHT
        )
        self.overhead_s = max(0.0, self.overhead_s + weight * difference_s)

    def set_slowdowns(self, slowdowns: Iterable[float]) -> None:
        """Take over the present slowdowns of all runners."""
        self.median_slowdown = max(1.0, statistics.median(slowdowns))


class Health:
    """Health of one runner as its requests see it."""

    __slots__ = (
        '_calibration',
        '_error_share',
        '_failures',
        '_full_until',
        '_probe_at',
        'probe_request_id',
        'slowdown',
    )

    def __init__(self, calibration: Calibration) -> None:
        """Start healthy."""
        self._calibration = calibration
        self.slowdown = 1.0
        self._failures = 0
        self._error_share = 0.0
        self._full_until = 0.0
        self._probe_at = 0.0
        #: Request that probes the runner; empty if none does.
        self.probe_request_id = ''

    @property
    def unavailable(self) -> bool:
        """Whether the runner did not even take its last request."""
        return self._failures > 0

    @property
    def suspect(self) -> bool:
        """Whether the runner gets single probes only."""
        limit = STRAGGLER_SLOWDOWN * self._calibration.median_slowdown
        return (
            self.unavailable
            or self._error_share > _ERROR_LIMIT
            or self.slowdown >= limit
        )

    def may_probe(self, now: float) -> bool:
        """Return whether a suspect runner may get a request."""
        return not self.probe_request_id and now >= self._probe_at

    def is_full(self, now: float) -> bool:
        """Return whether the runner has just refused a request for load."""
        return now < self._full_until

    def note_latency_ratio(self, ratio: float) -> None:
        """Learn from an observed time against its prediction."""
        kept = (1 - _SLOWDOWN_WEIGHT) * self.slowdown
        self.slowdown = max(1.0, kept + _SLOWDOWN_WEIGHT * ratio)

    def delay_next_probe(self, now: float) -> None:
        """Put the next probe of a straggler off."""
        if self.suspect and self._probe_at < now:
            self._probe_at = now + _STRAGGLER_PROBE_S

    def note_failure(self, code: str, now: float) -> None:
        """Learn from a request that the runner did not serve."""
        if code == UpstreamFull.code:
            self._full_until = now + _FULL_BACKOFF_S
            return
        self._error_share += _ERROR_WEIGHT * (1 - self._error_share)
        if code in _HARD_FAILURES:
            self._failures += 1
        if self.suspect:
            doublings = min(max(self._failures - 1, 0), 10)
            pause = _PROBE_MIN_S * 2**doublings
            self._probe_at = now + min(pause, _PROBE_MAX_S)

    def note_success(self) -> None:
        """Trust the runner again."""
        self._failures = 0
        self._error_share *= 1 - _ERROR_WEIGHT
