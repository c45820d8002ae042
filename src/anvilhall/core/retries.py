"""When a failed attempt may be followed by another."""

import collections
import random

from anvilhall import defaults
from anvilhall.exceptions import (
    AnvilhallError,
    Outcome,
    RequestRefused,
    UpstreamFailed,
    UpstreamRefused,
)


class RetryBudget:
    """Bounds retries to a share of the first attempts in a sliding window.

    :param share: retries per first attempt.
    """

    __slots__ = ('_firsts', '_retries', 'share')

    def __init__(self, share: float) -> None:
        """Start with an empty window."""
        self.share = share
        self._firsts: collections.deque[float] = collections.deque()
        self._retries: collections.deque[float] = collections.deque()

    def note_first(self, now: float) -> None:
        """Count a first attempt; ``now`` in monotonic seconds."""
        self._firsts.append(now)

    def try_spend(self, now: float) -> bool:
        """Take one retry from the budget, if there is one."""
        oldest = now - defaults.RETRY_WINDOW_S
        _drop_older(self._firsts, oldest)
        _drop_older(self._retries, oldest)
        allowed = max(
            defaults.RETRY_BUDGET_MIN,
            int(len(self._firsts) * self.share),
        )
        if len(self._retries) >= allowed:
            return False
        self._retries.append(now)
        return True


def may_repeat(
    error: AnvilhallError,
    *,
    idempotent: bool,
    delivered: bool,
    resumable: bool,
) -> bool:
    """Return whether a failure allows another attempt of the request.

    :param idempotent: whether the request may run more than once.
    :param delivered: whether part of an answer has been received.
    :param resumable: whether that part can be continued elsewhere.
    """
    if isinstance(error, UpstreamRefused):
        return not delivered or resumable
    if isinstance(error, RequestRefused) or error.outcome is Outcome.NOT_RUN:
        return False
    if not isinstance(error, UpstreamFailed) or not idempotent:
        return False
    return not delivered or resumable


def draw_backoff_s(attempt: int, chance: random.Random) -> float:
    """Return a jittered pause before an attempt.

    :param attempt: number of the failed attempts so far, from 1.
    """
    longest = min(
        defaults.BACKOFF_MAX_S,
        defaults.BACKOFF_MIN_S * 2**attempt,
    )
    return chance.uniform(defaults.BACKOFF_MIN_S, longest)


def _drop_older(times: collections.deque[float], oldest: float) -> None:
    while times and times[0] < oldest:
        times.popleft()
