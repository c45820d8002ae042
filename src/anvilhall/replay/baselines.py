"""Baseline policies for comparison: each instance chooses runners by itself.

They have no owner, no tiers and no admission control: a request is sent to a
runner at once and waits in that runner's FIFO queue.
"""

from typing import TYPE_CHECKING

from anvilhall.core.advertised import AdvertisedLimits
from anvilhall.core.directory import Directory
from anvilhall.core.messages import Ask, Grant, Progress, Release
from anvilhall.core.notices import RunnerNotices
from anvilhall.core.verification import Verification
from anvilhall.registry import Registry
from anvilhall.replay.traces import TraceHeader

if TYPE_CHECKING:
    from anvilhall.core.broker import GrantHandler
    from anvilhall_standins.simfleet import SimFleet


BASELINES: Registry[type['RoundRobin']] = Registry('baseline')


@BASELINES.register('round-robin')
class RoundRobin:
    """Chooses the runners of a pool in rotation."""

    __slots__ = (
        '_fleet',
        '_lag_s',
        '_turn',
        'limits',
        'notices',
        'verification',
    )

    def __init__(self, fleet: 'SimFleet', header: TraceHeader) -> None:
        """Create the broker of one instance of a fleet."""
        self._fleet = fleet
        self._lag_s = header.report_lag_s
        self._turn = 0
        #: Noted as by any broker; baselines do not keep to them.
        self.limits = AdvertisedLimits()
        #: Without runners, because those of traces have no versions.
        directory = Directory('', '')
        self.notices = RunnerNotices(directory, fleet.clock)
        self.verification = Verification(directory, self.notices)

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
        """Do nothing: every request is granted at once."""

    def note_progress(self, progress: Progress) -> None:
        """Do nothing."""

    def release(self, release: Release) -> None:
        """Do nothing."""

    def _choose(self, names: list[str]) -> str:
        self._turn += 1
        return names[self._turn % len(names)]


@BASELINES.register('least-reported')
class LeastReported(RoundRobin):
    """Chooses the runner with the least load in the last report.

    Reports are read every ``report_lag_s`` of the trace, so they are stale.
    """

    __slots__ = ('_read_at', '_reports')

    def __init__(self, fleet: 'SimFleet', header: TraceHeader) -> None:
        """Create the broker of one instance of a fleet."""
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
