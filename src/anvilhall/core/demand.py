"""Measures the demand for a pool's runners, and what it needs of them."""

import math
from collections.abc import Iterable

import msgspec

from anvilhall.core.messages import PoolDemand
from anvilhall.core.queues import PoolQueue
from anvilhall.core.roster import Roster
from anvilhall.core.settings import ClassSettings, Pool
from anvilhall.core.tree import Tree

_MS_PER_S = 1000.0
#: Seconds between two samples of the requests at runners and in the queue.
#: A burst fills a queue within a few tenths of a second.
_SAMPLE_S = 0.1
#: Shortest and longest time that a request is assumed to hold a slot.
_MIN_HOLD_S = 0.2
_MAX_HOLD_S = 5.0
#: Share of a gap target that the predicted gap may reach: that from which the
#: placement of requests expects late streams, with some allowance for runners
#: that are filled unevenly.
_GAP_SHARE = 0.5
#: Gap allowed relative to that of a runner with one stream, where even that
#: exceeds the share of the target.
_IDLE_GAP_FACTOR = 1.5


class Level(msgspec.Struct, frozen=True):
    """How much of a runner's capacity may be taken."""

    slot_share: float
    prefill_share: float
    #: Whether the gaps between events must keep their targets.
    keeps_gaps: bool


#: Promised latencies hold. With half of the time taken by prefill, a prompt
#: waits on average half of its own prefill time for others; and two fifths of
#: the slots stay free for a burst until further runners serve.
PROMISED = Level(slot_share=0.6, prefill_share=0.5, keeps_gaps=True)
#: All requests are served, some of them late.
SERVED = Level(slot_share=0.9, prefill_share=0.85, keeps_gaps=False)


class Load(msgspec.Struct, frozen=True):
    """Offered load of a pool."""

    #: Requests that would run at once if all were admitted.
    requests: float
    #: Prompt tokens to prefill per second.
    tokens_per_s: float
    #: Requests that one runner serves at once.
    slots: float

    def scale(self, share: float) -> 'Load':
        """Return a share of the load."""
        return msgspec.structs.replace(
            self,
            requests=self.requests * share,
            tokens_per_s=self.tokens_per_s * share,
        )

    @classmethod
    def from_demand(cls, demand: PoolDemand) -> 'Load':
        """Estimate the offered load.

        Refused requests count as if they had run for as long as the others.
        """
        running = demand.running
        hold_s = running * demand.period_s / max(1, demand.granted)
        hold_s = min(max(hold_s, _MIN_HOLD_S), _MAX_HOLD_S)
        refused_per_s = demand.refused / demand.period_s
        requests = running + demand.waiting + refused_per_s * hold_s
        asked = demand.granted + demand.waiting + demand.refused
        tokens_per_s = demand.prompt_tokens / demand.period_s
        return cls(
            requests,
            tokens_per_s * asked / max(1, demand.granted),
            demand.slots / max(1, demand.runners),
        )


class RunnerModel:
    """Predicts how many of a pool's runners serve a load.

    The speeds are those of the pool's settings. Where runners are slower,
    refused and late requests show it; see :class:`~.capacity.DemandHistory`.

    :param pool: settings of the pool.
    :param classes: the classes that the pool serves.
    """

    __slots__ = ('_gap_s', '_pool')

    def __init__(self, pool: Pool, classes: Iterable[ClassSettings]) -> None:
        """Keep the speeds and the shortest gap target."""
        self._pool = pool
        gaps = [each.target.gap_ms for each in classes if each.target.gap_ms]
        self._gap_s = min(gaps, default=math.inf) / _MS_PER_S

    def count_runners(self, load: Load, level: Level) -> int:
        """Return the least number of runners that serve a load at a level."""
        if not load.requests and not load.tokens_per_s:
            return 0
        low = 0
        high = 1
        while not self._serves(high, load, level):
            low = high
            high *= 2
        while high - low > 1:
            middle = (low + high) // 2
            if self._serves(middle, load, level):
                high = middle
            else:
                low = middle
        return high

    def _serves(self, runners: int, load: Load, level: Level) -> bool:
        slots = load.slots or self._pool.slots
        requests = load.requests / runners
        if requests > max(1.0, slots * level.slot_share):
            return False
        rate = self._pool.prefill_tokens_per_s
        prefill_share = load.tokens_per_s / runners / rate
        if prefill_share > level.prefill_share:
            return False
        if not level.keeps_gaps or math.isinf(self._gap_s):
            return True
        idle_s = self._predict_gap_s(1, 0)
        limit_s = max(self._gap_s * _GAP_SHARE, idle_s * _IDLE_GAP_FACTOR)
        return self._predict_gap_s(requests, prefill_share) <= limit_s

    def _predict_gap_s(self, requests: float, prefill_share: float) -> float:
        """Predict the gap between two events beside a prefill."""
        pool = self._pool
        step_s = (
            pool.step_base_ms + pool.step_per_stream_ms * requests
        ) / _MS_PER_S
        chunk_s = pool.prefill_chunk_tokens / pool.prefill_tokens_per_s
        return pool.event_tokens * step_s / (1 - prefill_share) + chunk_s


class DemandMeter:
    """Measures the demand for the runners of a shard.

    :param pool: name of the shard's pool.
    """

    __slots__ = (
        '_began_at',
        '_enabled',
        '_pool',
        '_sampled_at',
        '_tier',
        'granted',
        'late',
        'prompt_tokens',
        'refused',
        'running',
        'urgent',
        'waiting',
    )

    def __init__(self, pool: str) -> None:
        """Start with nothing measured."""
        self._pool = pool
        self._enabled = False
        #: Highest tier of the pool's classes.
        self._tier = 0
        #: Time of the last report, or of the first call for one.
        self._began_at: float | None = None
        self._sampled_at = -math.inf
        #: Highest numbers of requests since then.
        self.running = 0
        self.waiting = 0
        self.urgent = 0
        #: Events since then.
        self.granted = 0
        self.prompt_tokens = 0
        self.refused = 0
        self.late = 0

    def set_tree(self, tree: Tree) -> None:
        """Apply changed settings; pools of a fixed size are not measured."""
        self._enabled = tree.pools[self._pool].scaling is not None
        tiers = (
            settings.tier
            for settings in tree.classes.values()
            if settings.pool == self._pool
        )
        self._tier = min(tiers, default=0)

    def sample(self, roster: Roster, queue: PoolQueue, now: float) -> None:
        """Note the requests at runners and in the queue, if that is due."""
        if not self._enabled or now - self._sampled_at < _SAMPLE_S:
            return
        self._sampled_at = now
        running = roster.running_count
        waiting = len(queue)
        if running + waiting >= self.running + self.waiting:
            self.running = running
            self.waiting = waiting
        urgent = roster.count_tier(self._tier)
        urgent += sum(
            queued.class_settings.tier <= self._tier for queued in queue
        )
        self.urgent = max(self.urgent, urgent)

    def note_grant(self, prompt_tokens: int) -> None:
        """Count a grant.

        :param prompt_tokens: tokens that the runner has to prefill.
        """
        self.granted += 1
        self.prompt_tokens += prompt_tokens

    def take_report(self, roster: Roster, now: float) -> PoolDemand | None:
        """Return the demand since the last call.

        :return: ``None`` if it is the first call, or the pool is not measured.
        """
        began_at = self._began_at
        self._began_at = now
        report = None
        if self._enabled and began_at is not None and now > began_at:
            active = [
                runner
                for runner in roster.runners.values()
                if not runner.leaving
            ]
            report = PoolDemand(
                self._pool,
                now - began_at,
                self.running,
                self.waiting,
                self.urgent,
                self.granted,
                self.prompt_tokens,
                self.refused,
                self.late,
                len(active),
                sum(runner.slots for runner in active),
            )
        self._clear()
        return report

    def _clear(self) -> None:
        self.running = 0
        self.waiting = 0
        self.urgent = 0
        self.granted = 0
        self.prompt_tokens = 0
        self.refused = 0
        self.late = 0
