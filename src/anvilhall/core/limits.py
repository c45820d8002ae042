"""Rate and concurrency limits of client accounts and classes."""

import math

from anvilhall.core.settings import Limits

#: Size of a token bucket in seconds of its rate: the longest burst.
BURST_S = 2.0


class TokenBucket:
    """Token bucket: limits a rate but admits bursts.

    :param rate: units per second.
    :param now: monotonic seconds.
    """

    __slots__ = ('_level', '_refilled_at', 'rate')

    def __init__(self, rate: float, now: float) -> None:
        """Start full."""
        self.rate = rate
        self._level = max(1.0, rate * BURST_S)
        self._refilled_at = now

    def wait_s(self, amount: float, now: float) -> float:
        """Refill the bucket; return the seconds until ``amount`` may be taken.

        An amount larger than the bucket may be taken when the bucket is full.
        """
        self._refill(now)
        missing = min(amount, self._capacity) - self._level
        return max(0.0, missing / self.rate)

    def take(self, amount: float) -> None:
        """Take units; the level may become negative."""
        self._level -= amount

    @property
    def _capacity(self) -> float:
        return max(1.0, self.rate * BURST_S)

    def _refill(self, now: float) -> None:
        refill = (now - self._refilled_at) * self.rate
        self._level = min(self._capacity, self._level + refill)
        self._refilled_at = now


class DecayingSum:
    """Sum of recent amounts with exponential decay.

    :param time_s: time constant, in seconds; an amount decays to 1/e, about a
        third, within it.
    """

    __slots__ = ('_level', '_time_s', '_updated_at')

    def __init__(self, time_s: float) -> None:
        """Start at zero."""
        self._time_s = time_s
        self._level = 0.0
        self._updated_at = 0.0

    def add(self, amount: float, now: float) -> None:
        """Add an amount.

        :param now: monotonic seconds.
        """
        self._level = self.measure(now) + amount
        self._updated_at = now

    def measure(self, now: float) -> float:
        """Return the decayed sum at a time in monotonic seconds."""
        age_s = max(0.0, now - self._updated_at)
        return self._level * math.exp(-age_s / self._time_s)


class Meter:
    """Usage of one account or class against its limits."""

    __slots__ = ('_requests', '_tokens', 'running')

    def __init__(self) -> None:
        """Start without usage."""
        self.running = 0
        self._requests: TokenBucket | None = None
        self._tokens: TokenBucket | None = None

    def wait_s(
        self,
        limits: Limits,
        tokens: int,
        now: float,
    ) -> float:
        """Return the seconds until a request is within the limits; 0: now.

        The result is at least 1 while the concurrency limit is reached.

        :param tokens: estimated tokens of the prompt and the answer.
        :param now: monotonic seconds.
        """
        self._requests = _get_bucket(
            self._requests,
            limits.requests_per_s,
            now,
        )
        self._tokens = _get_bucket(self._tokens, limits.tokens_per_s, now)
        waits = [0.0]
        if limits.concurrent is not None and self.running >= limits.concurrent:
            waits.append(1.0)
        if self._requests:
            waits.append(self._requests.wait_s(1, now))
        if self._tokens:
            waits.append(self._tokens.wait_s(tokens, now))
        return max(waits)

    def admit(self, tokens: int) -> None:
        """Charge a request that :meth:`wait_s` found to be within the limits.

        :param tokens: estimated tokens of the prompt and the answer.
        """
        self.running += 1
        if self._requests:
            self._requests.take(1)
        if self._tokens:
            self._tokens.take(tokens)

    def release(self) -> None:
        """Stop counting a request as running."""
        self.running = max(0, self.running - 1)


def _get_bucket(
    bucket: TokenBucket | None,
    rate: float | None,
    now: float,
) -> TokenBucket | None:
    if rate is None:
        return None
    if bucket is None or bucket.rate != rate:
        return TokenBucket(rate, now)
    return bucket
