"""Decides which requests an instance that stops may still begin.

A request that is cut when the instance ends may have run, and must then not be
repeated. One that has not begun is refused, so that its caller can send it to
another instance.
"""

import collections
import math

from anvilhall.exceptions import (
    AnswerCut,
    AnvilhallError,
    ShuttingDown,
    UpstreamFailed,
)

#: Durations kept for each class, and the least number that an estimate needs.
_KEPT = 64
_LEAST = 8
#: Share of the kept durations that an estimate covers.
_QUANTILE = 0.95
#: ``Retry-After`` of refused requests, in seconds.
_RETRY_AFTER_S = 0.5


class Shutdown:
    """When this instance stops, and how long its requests take."""

    __slots__ = ('_durations', 'closed', 'stop_at')

    def __init__(self) -> None:
        """Start without a planned stop."""
        #: Monotonic time at which all answers must have ended, in seconds.
        self.stop_at = math.inf
        #: Whether only requests may begin that are certain to end in time.
        self.closed = False
        self._durations: dict[str, collections.deque[float]] = {}

    def note_duration(self, class_name: str, duration_s: float) -> None:
        """Note how long a request took from its grant to its end."""
        durations = self._durations.setdefault(
            class_name, collections.deque(maxlen=_KEPT)
        )
        durations.append(duration_s)

    def check(
        self,
        class_name: str,
        deadline_at: float,
        now: float,
        *,
        bears_cut: bool,
    ) -> None:
        """Refuse a request that may not end before this instance does.

        :param deadline_at: monotonic time at which the request times out.
        :param bears_cut: whether an estimate of its duration is good enough,
            because a cut does not leave the caller in doubt.
        :raises ShuttingDown: if the request must not begin.
        """
        if deadline_at <= self.stop_at:
            return
        expected_s = math.inf
        if bears_cut and not self.closed:
            expected_s = self._estimate_duration_s(class_name)
        if now + expected_s <= self.stop_at:
            return
        raise ShuttingDown(
            f'{self.stop_at - now:.2f} s left, the request may take '
            f'{min(expected_s, deadline_at - now):.2f} s',
            _RETRY_AFTER_S,
        )

    def _estimate_duration_s(self, class_name: str) -> float:
        durations = sorted(self._durations.get(class_name, ()))
        if len(durations) < _LEAST:
            return math.inf
        return durations[int(_QUANTILE * (len(durations) - 1))]


def build_stop_error(*, begun: bool, may_have_run: bool) -> AnvilhallError:
    """Return the error of a request that the end of this instance cuts.

    :param begun: whether the caller has got a part of the response.
    :param may_have_run: whether the request was sent to a runner.
    """
    reason = 'this instance stops'
    if begun:
        return AnswerCut(reason)
    if may_have_run:
        return UpstreamFailed(f'{reason}; the request may have run')
    return ShuttingDown(reason, _RETRY_AFTER_S)
