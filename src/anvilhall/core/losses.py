"""Requests of this instance that crashes cut, for a new owner of a shard.

The owner of a shard finds the prompts that crash runners. What it knows is lost
when it leaves; a new owner starts from the losses that the instances report.
"""

import collections
from collections.abc import Iterable

import msgspec

from anvilhall.core.evidence import Loss
from anvilhall.core.messages import Ask, Release, get_request_id
from anvilhall.exceptions import UpstreamCut

#: Losses that are kept for each pool, and for how long, in seconds.
_MAX_LOSSES = 64
_MAX_AGE_S = 30.0


class RecentLosses:
    """The most recent losses by pool."""

    __slots__ = ('_by_pool',)

    def __init__(self) -> None:
        """Start without losses."""
        #: Losses with the monotonic times at which they were reported.
        self._by_pool: dict[str, collections.deque[tuple[float, Loss]]] = {}

    def note_release(
        self, ask: Ask, release: Release, runner: str, now: float
    ) -> None:
        """Add a request that was cut; clear the parts of a served one.

        :param runner: identifies the start of the runner.
        :param now: monotonic seconds.
        """
        if release.served:
            self._clear_parts(release.pool, ask.part_names)
        elif release.failure == UpstreamCut.code and ask.part_names:
            losses = self._by_pool.setdefault(
                release.pool, collections.deque(maxlen=_MAX_LOSSES)
            )
            loss = Loss(
                get_request_id(release.request_id), runner, ask.part_names
            )
            losses.append((now, loss))

    def list_losses(self, pool: str, now: float) -> tuple[Loss, ...]:
        """Return the recent losses of a pool that still have parts."""
        oldest = now - _MAX_AGE_S
        return tuple(
            loss
            for lost_at, loss in self._by_pool.get(pool, ())
            if loss.parts and lost_at >= oldest
        )

    def _clear_parts(self, pool: str, parts: Iterable[str]) -> None:
        served = set(parts)
        losses = self._by_pool.get(pool, ())
        for index, (lost_at, loss) in enumerate(losses):
            left = tuple(part for part in loss.parts if part not in served)
            if left != loss.parts:
                cleared = msgspec.structs.replace(loss, parts=left)
                self._by_pool[pool][index] = (lost_at, cleared)
