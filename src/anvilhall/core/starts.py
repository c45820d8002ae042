"""Starts of runners, to notice one that comes back at another version."""

from collections.abc import Iterable, Iterator

from anvilhall.core.members import Member

#: Milliseconds before its entry changes within which a runner has restarted,
#: if the entry does not say when.
_NOTICE_MS = 5000.0
#: Runners that have gone are dropped once there are that many more of them
#: than of those that are listed.
_MAX_GONE = 1024


class RunnerStarts:
    """Version and start time of each runner, as last listed."""

    __slots__ = ('_starts',)

    def __init__(self) -> None:
        """Start without runners."""
        self._starts: dict[str, tuple[str, int]] = {}

    def update(
        self, runners: Iterable[Member], now_ms: float
    ) -> list[tuple[str, int]]:
        """Replace the listed runners.

        :param now_ms: time in Unix milliseconds.
        :return: the runners that have restarted at another version, and when.
        """
        listed = {
            runner.name: (runner.version, runner.born) for runner in runners
        }
        replaced = list(self._find_replaced(listed, now_ms))
        if len(self._starts) > len(listed) + _MAX_GONE:
            self._starts = {}
        self._starts.update(listed)
        return replaced

    def is_replaced(self, runner: str, version: str) -> bool:
        """Return whether a runner is known to have another version."""
        known, _ = self._starts.get(runner, (version, 0))
        return known != version

    def _find_replaced(
        self, listed: dict[str, tuple[str, int]], now_ms: float
    ) -> Iterator[tuple[str, int]]:
        for name, (version, born) in listed.items():
            known_version, known_born = self._starts.get(name, (version, born))
            if version != known_version:
                if born <= known_born:
                    born = int(now_ms - _NOTICE_MS)
                yield name, born
