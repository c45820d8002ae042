"""Output lengths, learned for each class and client account."""

import collections

#: Recent answers that an estimate is made from.
_SAMPLE_LIMIT = 64
#: Answers below which the estimate is the caller's own limit.
_MIN_SAMPLES = 5
#: Share of answers that are no longer than the estimate.
_QUANTILE = 0.75


class OutputLengths:
    """Recent output lengths by class and account."""

    __slots__ = ('_recent',)

    def __init__(self) -> None:
        """Start knowing nothing."""
        self._recent: dict[tuple[str, str], collections.deque[int]] = {}

    def note(self, class_name: str, account: str, tokens: int) -> None:
        """Learn from a whole answer."""
        for place in ((class_name, account), (class_name, '')):
            kept = self._recent.get(place)
            if kept is None:
                kept = collections.deque(maxlen=_SAMPLE_LIMIT)
                self._recent[place] = kept
            kept.append(tokens)

    def estimate(self, class_name: str, account: str, limit: int) -> int:
        """Return a length that most answers do not exceed.

        :param limit: longest answer that the caller accepts, in tokens.
        """
        for place in ((class_name, account), (class_name, '')):
            kept = self._recent.get(place, ())
            if len(kept) >= _MIN_SAMPLES:
                ordered = sorted(kept)
                return min(limit, ordered[int(_QUANTILE * (len(ordered) - 1))])
        return limit
