"""Simple policies to compare with: each instance chooses on its own.

They have no owner, no tiers and no admission: a request goes to a runner at
once and waits in that runner's own line, first in, first out.
"""

from typing import TYPE_CHECKING

from anvilhall.core.messages import Ask, Grant, Progress, Release
from anvilhall.registry import Registry
from anvilhall.replay.traces import TraceHeader

if TYPE_CHECKING:
    from anvilhall.core.broker import GrantHandler
    from anvilhall_standins.simfleet import SimFleet


BASELINES: Registry[type['RoundRobin']] = Registry('baseline')


@BASELINES.register('round-robin')
class RoundRobin:
    """Takes the runners by turns."""

    __slots__ = ('_fleet', '_lag_s', '_turn')

    def __init__(self, fleet: 'SimFleet', header: TraceHeader) -> None:
        """Serve one instance of a fleet."""
        self._fleet = fleet
        self._lag_s = header.report_lag_s
        self._turn = 0

    def ask(self, ask: Ask, handler: 'GrantHandler') -> None:
        """Grant the next runner of the pool."""
        names = [
            name
            for name in (*self._fleet.runners, *self._fleet.services)
            if name.rpartition('-')[0] == ask.pool
        ]
        runner = self._choose(names)
        handler.handle_grant(
            Grant(
                pool=ask.pool,
                request_id=ask.request_id,
                runner=runner,
                address=runner,
                tier=0,
            ),
        )

    def withdraw(self, request_id: str) -> None:
        """Do nothing: every ask has been granted."""

    def note_progress(self, progress: Progress) -> None:
        """Do nothing."""

    def release(self, release: Release) -> None:
        """Do nothing."""

    def _choose(self, names: list[str]) -> str:
        self._turn += 1
        return names[self._turn % len(names)]


@BASELINES.register('least-reported')
class LeastReported(RoundRobin):
    """Takes the runner with the least load in reports that lag."""

    __slots__ = ('_read_at', '_reports')

    def __init__(self, fleet: 'SimFleet', header: TraceHeader) -> None:
        """Serve one instance of a fleet."""
        super().__init__(fleet, header)
        self._read_at = -self._lag_s
        self._reports: dict[str, int] = {}

    def _choose(self, names: list[str]) -> str:
        now = self._fleet.loop.time()
        if now - self._read_at >= self._lag_s:
            self._read_at = now
            self._reports = {
                name: runner.running + runner.waiting
                for name, runner in self._fleet.runners.items()
            }
        start = super()._choose(names)
        ordered = sorted(names, key=lambda name: name != start)
        return min(ordered, key=lambda name: self._reports.get(name, 0))
