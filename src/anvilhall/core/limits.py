"""Rate and concurrency limits of client accounts and classes."""

import math

from anvilhall.core.settings import Limits

#: Seconds of unused rate that a limit lets accumulate.
BURST_S = 2.0


class TokenBucket:
    """Admits up to a rate, with bursts.

    :param rate: units a second.
    :param now: monotonic seconds.
    """

    __slots__ = ('_filled_at', '_level', 'rate')

    def __init__(self, rate: float, now: float) -> None:
        """Start full."""
        self.rate = rate
        self._level = max(1.0, rate * BURST_S)
        self._filled_at = now

    def wait_s(self, amount: float, now: float) -> float:
        """Return the seconds until ``amount`` may be taken; 0: at once.

        An amount beyond the bucket's size is admitted when it is full.
        """
        self._fill(now)
        missing = min(amount, self._size) - self._level
        return max(0.0, missing / self.rate)

    def take(self, amount: float) -> None:
        """Take units, below zero if need be."""
        self._level -= amount

    @property
    def _size(self) -> float:
        return max(1.0, self.rate * BURST_S)

    def _fill(self, now: float) -> None:
        gained = (now - self._filled_at) * self.rate
        self._level = min(self._size, self._level + gained)
        self._filled_at = now


class DecayingSum:
    """Amount taken in lately, which fades.

    :param time_s: time in which an amount fades to a third.
    """

    __slots__ = ('_level', '_noted_at', '_time_s')

    def __init__(self, time_s: float) -> None:
        """Start without any."""
        self._time_s = time_s
        self._level = 0.0
        self._noted_at = 0.0

    def add(self, amount: float, now: float) -> None:
        """Take in an amount; ``now`` in monotonic seconds."""
        self._level = self.measure(now) + amount
        self._noted_at = now

    def measure(self, now: float) -> float:
        """Return the present amount."""
        age_s = max(0.0, now - self._noted_at)
        return self._level * math.exp(-age_s / self._time_s)


class Meter:
    """Usage of one account or class against its limits."""

    __slots__ = ('_requests', '_tokens', 'running')

    def __init__(self) -> None:
        """Start unused."""
        self.running = 0
        self._requests: TokenBucket | None = None
        self._tokens: TokenBucket | None = None

    def wait_s(
        self,
        limits: Limits,
        tokens: int,
        now: float,
    ) -> float:
        """Return the seconds until a request fits; 0: now.

        :param tokens: size of the request's prompt and longest answer.
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
        """Charge a request that was found to fit."""
        self.running += 1
        if self._requests:
            self._requests.take(1)
        if self._tokens:
            self._tokens.take(tokens)

    def release(self) -> None:
        """Count a request as ended."""
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
