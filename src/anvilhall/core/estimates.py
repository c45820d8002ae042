"""Estimates of output lengths by class and client account."""

import collections

#: Number of recent answers that are kept for an estimate.
_SAMPLE_LIMIT = 64
#: Fewest answers for an estimate; with fewer, the caller's limit is used.
_MIN_SAMPLES = 5
#: Quantile of the recent lengths that serves as the estimate.
_QUANTILE = 0.75


class OutputLengths:
    """Recent output lengths by class and account."""

    __slots__ = ('_recent',)

    def __init__(self) -> None:
        """Start without samples."""
        self._recent: dict[tuple[str, str], collections.deque[int]] = {}

    def note(self, class_name: str, account: str, tokens: int) -> None:
        """Add the length of a complete answer, in tokens."""
        for key in ((class_name, account), (class_name, '')):
            samples = self._recent.get(key)
            if samples is None:
                samples = collections.deque(maxlen=_SAMPLE_LIMIT)
                self._recent[key] = samples
            samples.append(tokens)

    def estimate(self, class_name: str, account: str, limit: int) -> int:
        """Return a length that most answers do not exceed, in tokens.

        The account's own answers of the class are used if there are enough, or
        else those of all accounts of the class.

        :param limit: longest answer that the caller accepts, in tokens.
        """
        for key in ((class_name, account), (class_name, '')):
            samples = self._recent.get(key, ())
            if len(samples) >= _MIN_SAMPLES:
                ordered = sorted(samples)
                return min(limit, ordered[int(_QUANTILE * (len(ordered) - 1))])
        return limit
