"""Starts of runners, to notice one that comes back at another version.

The process before has ended by the time at which an entry of the next one is
read. What arrives afterwards on a connection to the address of that entry comes
from the process that the entry names; what was received before it was read may
come from either.
"""

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

    __slots__ = ('_starts', '_unreceived', 'updates')

    def __init__(self) -> None:
        """Start without runners."""
        self._starts: dict[str, Member] = {}
        #: Runners that have restarted at another version, while what their
        #: former process sent may wait to be received, and the update at which
        #: that was noticed.
        self._unreceived: dict[str, int] = {}
        #: Number of updates.
        self.updates = 0

    def update(
        self, runners: Iterable[Member], now_ms: float
    ) -> list[tuple[str, int]]:
        """Replace the listed runners.

        :param now_ms: time in Unix milliseconds.
        :return: the runners that have restarted at another version, and when.
        """
        listed = {runner.name: runner for runner in runners}
        replaced = list(self._find_replaced(listed, now_ms))
        self.updates += 1
        for name, _ in replaced:
            self._unreceived[name] = self.updates
        if len(self._starts) > len(listed) + _MAX_GONE:
            self._starts = {}
        self._starts.update(listed)
        return replaced

    def list_restarted(self, runners: Iterable[Member]) -> list[Member]:
        """Return the runners that are listed with a later start than before.

        Call this before :meth:`update`.
        """
        return [
            runner
            for runner in runners
            if self._starts.get(runner.name, runner).born < runner.born
        ]

    def is_replaced(self, runner: str, version: str, born: int = 0) -> bool:
        """Return whether a runner is known to have another version.

        :param born: its start with that version, in Unix milliseconds; a later
            one than is known counts.
        """
        known = self._starts.get(runner)
        if known is None or known.born < born:
            return False
        return known.version != version

    def find(self, runner: str) -> Member | None:
        """Return a runner as it was last listed."""
        return self._starts.get(runner)

    def note_received(self, updates: int) -> None:
        """Note that what was sent before an update has been received.

        :param updates: number of that update.
        """
        for name, noticed in list(self._unreceived.items()):
            if noticed <= updates:
                self._unreceived.pop(name)

    def find_sender(self, runner: str, address: str) -> Member | None:
        """Return the start that sends what arrives now from an address.

        :return: ``None`` if it can't be told.
        """
        known = self._starts.get(runner)
        if known is None or known.address != address:
            return None
        return None if runner in self._unreceived else known

    def _find_replaced(
        self, listed: dict[str, Member], now_ms: float
    ) -> Iterator[tuple[str, int]]:
        for name, runner in listed.items():
            known = self._starts.get(name, runner)
            born = runner.born
            if runner.version != known.version:
                if born <= known.born:
                    born = int(now_ms - _NOTICE_MS)
                yield name, born
