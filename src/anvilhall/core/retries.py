"""Retry rules, retry budgets and backoff."""

import collections
import random

from anvilhall import defaults
from anvilhall.exceptions import (
    AnvilhallError,
    Outcome,
    RequestRefused,
    UpstreamFailed,
    UpstreamFull,
    UpstreamRefused,
    UpstreamReplaced,
)


class RetryBudget:
    """Limits retries to a share of the first attempts in a sliding window.

    :param share: retries allowed per first attempt.
    """

    __slots__ = ('_first_attempts', '_retries', 'minimum', 'share')

    def __init__(self, share: float) -> None:
        """Create a budget with an empty window."""
        self.share = share
        #: Retries allowed regardless of the share.
        self.minimum = defaults.RETRY_BUDGET_MIN
        self._first_attempts: collections.deque[float] = collections.deque()
        self._retries: collections.deque[float] = collections.deque()

    def note_first_attempt(self, now: float) -> None:
        """Count a first attempt; ``now`` in monotonic seconds."""
        _drop_older(self._first_attempts, now - defaults.RETRY_WINDOW_S)
        self._first_attempts.append(now)

    def has_left(self, now: float, kept: float = 0.0) -> bool:
        """Return whether the budget has a retry left.

        :param kept: share of the allowed retries that must stay unspent.
        """
        oldest = now - defaults.RETRY_WINDOW_S
        _drop_older(self._first_attempts, oldest)
        _drop_older(self._retries, oldest)
        allowed = max(
            self.minimum,
            int(len(self._first_attempts) * self.share),
        )
        return len(self._retries) + 1 <= allowed * (1 - kept)

    def try_spend(self, now: float) -> bool:
        """Take one retry from the budget; return whether one was left."""
        if not self.has_left(now):
            return False
        self._retries.append(now)
        return True


def may_retry(
    error: AnvilhallError,
    *,
    idempotent: bool,
    delivered: bool,
    resumable: bool,
) -> bool:
    """Return whether a request may be retried after a failed attempt.

    :param error: failure of the attempt.
    :param idempotent: whether the request may run more than once.
    :param delivered: whether part of the response has been received.
    :param resumable: whether another runner can continue the response.
    """
    if isinstance(error, UpstreamRefused):
        return not delivered or resumable
    if isinstance(error, RequestRefused) or error.outcome is Outcome.NOT_RUN:
        return False
    if not isinstance(error, UpstreamFailed) or not idempotent:
        return False
    return not delivered or resumable


def draw_backoff_s(attempt: int, rng: random.Random) -> float:
    """Return the exponential backoff before a retry, with jitter, in seconds.

    :param attempt: number of failed attempts so far, at least 1.
    :param rng: source of the jitter.
    """
    longest_s = min(
        defaults.BACKOFF_MAX_S,
        defaults.BACKOFF_MIN_S * 2**attempt,
    )
    return rng.uniform(defaults.BACKOFF_MIN_S, longest_s)


def _drop_older(times: collections.deque[float], oldest: float) -> None:
    while times and times[0] < oldest:
        times.popleft()


class PoolRetryBudgets:
    """One instance's retry budget for each pool.

    The retries of all instances together are limited to a share of the first
    attempts plus a fixed number, of which each instance gets an equal part.

    :param share: retries allowed per first attempt.
    :param slack: retries of all instances together beyond the share.
    """

    __slots__ = ('_by_pool', '_share', '_slack', 'instances')

    def __init__(self, share: float, slack: float) -> None:
        """Create budgets with empty windows."""
        self._share = share
        self._slack = slack
        self._by_pool: dict[str, RetryBudget] = {}
        #: Number of instances among which the slack is divided.
        self.instances = 1

    def note_first_attempt(self, pool: str, now: float) -> None:
        """Count a first attempt; ``now`` in monotonic seconds."""
        self._get_budget(pool).note_first_attempt(now)

    def has_left(self, pool: str, now: float, kept: float = 0.0) -> bool:
        """Return whether a pool's budget has a retry left.

        :param kept: share of the allowed retries that must stay unspent.
        """
        return self._get_budget(pool).has_left(now, kept)

    def try_spend(self, pool: str, now: float) -> bool:
        """Take one retry from a pool's budget; return whether one was left."""
        return self._get_budget(pool).try_spend(now)

    def _get_budget(self, pool: str) -> RetryBudget:
        budget = self._by_pool.get(pool)
        if budget is None:
            budget = RetryBudget(self._share)
            self._by_pool[pool] = budget
        budget.minimum = int(self._slack / max(1, self.instances))
        return budget


def may_retry_relayed(
    error: AnvilhallError,
    *,
    retryable: bool,
    resumable: bool,
    begun: bool,
) -> bool:
    """Return whether a relayed request may be sent to another runner.

    :param error: failure of the attempt.
    :param retryable: whether the request may run more than once.
    :param resumable: whether another runner can continue the stream.
    :param begun: whether the caller has received part of the response.
    """
    if isinstance(error, UpstreamRefused | UpstreamFull | UpstreamReplaced):
        return not begun or resumable
    if not isinstance(error, UpstreamFailed):
        return False
    if resumable:
        return True
    return retryable and not begun
