"""What the owner of a shard knows and believes of its runners."""

import collections
import math

from anvilhall.core.limits import TokenBucket
from anvilhall.core.messages import Ask
from anvilhall.core.policies import Policy
from anvilhall.core.settings import Pool

#: Shared prompt beginnings remembered for one runner.
_PREFIXES_KEPT = 4096
#: Weight of the newest observation in the slowdown average.
_SLOWDOWN_WEIGHT = 0.3
#: Slowdown from which a runner counts as a straggler.
STRAGGLER_SLOWDOWN = 3.0
#: Shortest first-token time that predictions assume, in seconds.
_MIN_PREDICTION_S = 0.01
#: Shortest and longest pause between probes of a failed runner, in seconds.
_PROBE_MIN_S = 0.5
_PROBE_MAX_S = 15.0
#: Seconds between probes of a straggler.
_STRAGGLER_PROBE_S = 2.0
_MS_PER_S = 1000.0
#: First-token time that is given up to keep tiers apart, in seconds.
_PACKING_S = 0.1
#: Cost of a gap beyond its target, for each stream that has it, in seconds.
_COLLISION_S = 0.01
#: Prompt tokens that engines take between two decode steps.
_PREFILL_CHUNK_TOKENS = 512
#: Gaps beyond their target that a runner's higher tiers are made to bear.
_LONG_GAPS_PER_S = 0.1


class Work:
    """One granted request, as its runner's account sees it."""

    __slots__ = (
        'account',
        'class_name',
        'first_token_seen',
        'gap_target_s',
        'granted_at',
        'long',
        'predicted_s',
        'prefill_tokens',
        'request_id',
        'runner',
        'tier',
        'tokens',
    )

    def __init__(self, request_id: str, class_name: str, account: str) -> None:
        """Describe the request; the owner fills in the rest on grant."""
        self.request_id = request_id
        self.class_name = class_name
        self.account = account
        self.runner = ''
        self.tier = 0
        self.long = False
        self.prefill_tokens = 0
        self.tokens = 0
        self.granted_at = 0.0
        self.predicted_s = 0.0
        self.first_token_seen = False
        #: Longest gap between tokens that the class allows, in seconds.
        self.gap_target_s = math.inf


class Runner:
    """Slot account, prefix beliefs and health of one runner."""

    __slots__ = (
        '_cached_tokens',
        '_failures',
        '_long_gaps',
        '_policy',
        '_pool',
        '_prefixes',
        '_probe_at',
        '_probing',
        'address',
        'leaving',
        'name',
        'own_slots',
        'slowdown',
        'works',
    )

    def __init__(
        self,
        name: str,
        address: str,
        pool: Pool,
        policy: Policy,
    ) -> None:
        """Start healthy and idle."""
        self._policy = policy
        self.name = name
        self.address = address
        self._pool = pool
        self.works: dict[str, Work] = {}
        self.leaving = False
        #: Requests that it runs at once; 0: as the pool's settings say.
        self.own_slots = 0
        self.slowdown = 1.0
        self._prefixes: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._cached_tokens = 0
        self._failures = 0
        self._long_gaps = TokenBucket(_LONG_GAPS_PER_S, 0)
        self._probe_at = 0.0
        self._probing = ''

    @property
    def suspect(self) -> bool:
        """Whether the runner gets single probes only."""
        if not self._policy.avoid_suspects:
            return False
        return self._failures > 0 or self.slowdown >= STRAGGLER_SLOWDOWN

    @property
    def slots(self) -> int:
        """Requests that the runner runs at once."""
        return self.own_slots or self._pool.slots

    def set_pool(self, pool: Pool) -> None:
        """Take over changed settings of the pool."""
        self._pool = pool

    def can_take(self, work: Work, spare_slots: int, now: float) -> bool:
        """Return whether the runner has room for a request.

        :param spare_slots: slots to leave free for higher tiers.
        :param now: monotonic seconds.
        """
        if self.leaving:
            return False
        if self.suspect and (self._probing or now < self._probe_at):
            return False
        if len(self.works) + spare_slots >= self.slots:
            return False
        if not self._policy.protect_short:
            return True
        if work.long and not self._has_room_for_long(work):
            return False
        return self._has_gaps_to_spare(work, now)

    def weigh_placement_s(self, ask: Ask, tier: int, rank: float) -> float:
        """Return the cost of placing a request here, in seconds.

        It is the predicted time to the first token, and the time by which the
        request's prefill holds up the streams of higher tiers. The highest
        tier fills the runners from the first on and the others from the last,
        so that the prefill of the others stays away from it.

        :param rank: place of the runner among all, from 0 to 1.
        """
        predicted_s = self.predict_first_token_s(ask)
        if not self._policy.protect_short:
            return predicted_s
        if tier == 0:
            harm_s = self._predict_collision_s(ask)
            return predicted_s + harm_s + _PACKING_S * rank
        held_up = sum(work.tier < tier for work in self.works.values())
        harm_s = self._predict_prefill_s(ask) * held_up
        return predicted_s + harm_s + _PACKING_S * (1 - rank)

    def count_cached_tokens(self, ask: Ask) -> int:
        """Return how much of the prompt is taken to be cached."""
        cached = 0
        for part, tokens in ask.parts:
            if part not in self._prefixes:
                break
            cached += tokens
        return min(cached, ask.prompt_tokens)

    def predict_first_token_s(self, ask: Ask) -> float:
        """Predict the time to the first token of a further request."""
        prefill_s = self._predict_backlog_s() + self._predict_prefill_s(ask)
        nominal_s = max(prefill_s + self._predict_step_s(), _MIN_PREDICTION_S)
        return nominal_s * self.slowdown

    def add_work(self, work: Work, ask: Ask, now: float) -> None:
        """Give a slot to a request."""
        work.runner = self.name
        work.granted_at = now
        work.predicted_s = self.predict_first_token_s(ask) / self.slowdown
        self._spend_gaps(work, now)
        self.works[work.request_id] = work
        if self.suspect:
            self._probing = work.request_id
        if self._policy.use_prefixes:
            self._remember_parts(ask)

    def remove_work(self, request_id: str) -> Work | None:
        """Free the slot of a request."""
        if self._probing == request_id:
            self._probing = ''
        return self.works.pop(request_id, None)

    def note_first_token(self, work: Work, first_token_s: float) -> None:
        """Compare the first token's time with its prediction."""
        if work.first_token_seen:
            return
        work.first_token_seen = True
        self._note_ratio(first_token_s / work.predicted_s)

    def note_gap(self, gap_s: float, now: float) -> None:
        """Compare the longest gap of a stream with the expected step time."""
        expected = self._predict_step_s() + self._predict_backlog_s()
        if gap_s > 0 and expected > 0:
            self._note_ratio(gap_s / expected)
        if self.suspect and self._probe_at < now:
            self._probe_at = now + _STRAGGLER_PROBE_S

    def note_failure(self, now: float) -> None:
        """Stop granting until a probe succeeds."""
        self._failures += 1
        pause = _PROBE_MIN_S * 2 ** min(self._failures - 1, 10)
        self._probe_at = now + min(pause, _PROBE_MAX_S)

    def note_success(self) -> None:
        """Trust the runner again."""
        self._failures = 0

    def _predict_step_s(self) -> float:
        step_ms = self._pool.step_base_ms + (
            self._pool.step_per_stream_ms * len(self.works)
        )
        return step_ms / _MS_PER_S

    def _predict_prefill_s(self, ask: Ask) -> float:
        uncached = ask.prompt_tokens - self.count_cached_tokens(ask)
        return uncached / self._pool.prefill_tokens_per_s

    def _predict_backlog_s(self) -> float:
        backlog = sum(
            work.prefill_tokens
            for work in self.works.values()
            if not work.first_token_seen
        )
        return backlog / self._pool.prefill_tokens_per_s

    def _predict_collision_s(self, ask: Ask) -> float:
        """Return the harm of prefill that meets other prefill, in seconds."""
        targets = [work.gap_target_s for work in self.works.values()]
        turn_s = self._predict_backlog_s() + self._predict_prefill_s(ask)
        if turn_s + self._predict_step_s() <= min(targets, default=math.inf):
            return 0.0
        return _COLLISION_S * len(targets)

    def _count_long_gaps(self, work: Work) -> int:
        """Return how many gaps beyond their target a prefill would cause."""
        targets = [
            other.gap_target_s
            for other in self.works.values()
            if other.tier < work.tier
        ]
        longest_s = _PREFILL_CHUNK_TOKENS / self._pool.prefill_tokens_per_s
        prefill_s = work.prefill_tokens / self._pool.prefill_tokens_per_s
        turn_s = min(longest_s, prefill_s + self._predict_backlog_s())
        if not targets or turn_s + self._predict_step_s() <= min(targets):
            return 0
        return math.ceil(work.prefill_tokens / _PREFILL_CHUNK_TOKENS)

    def _has_gaps_to_spare(self, work: Work, now: float) -> bool:
        gaps = self._count_long_gaps(work)
        return not gaps or self._long_gaps.wait_s(gaps, now) <= 0

    def _spend_gaps(self, work: Work, now: float) -> None:
        gaps = self._count_long_gaps(work)
        if gaps:
            self._long_gaps.wait_s(gaps, now)
            self._long_gaps.take(gaps)

    def _has_room_for_long(self, work: Work) -> bool:
        long_slots = self._pool.long_slots
        if long_slots is None:
            long_slots = max(1, self._pool.slots * 3 // 4)
        others = [other for other in self.works.values() if other.long]
        prefill = sum(
            other.prefill_tokens
            for other in others
            if not other.first_token_seen
        )
        if prefill and (
            prefill + work.prefill_tokens > self._pool.long_prefill_tokens
        ):
            return False
        return len(others) < long_slots

    def _note_ratio(self, ratio: float) -> None:
        kept = (1 - _SLOWDOWN_WEIGHT) * self.slowdown
        self.slowdown = max(1.0, kept + _SLOWDOWN_WEIGHT * ratio)

    def _remember_parts(self, ask: Ask) -> None:
        """Take the prompt's parts for cached; the oldest ones yield."""
        for part, tokens in ask.parts:
            self._cached_tokens += tokens - self._prefixes.pop(part, 0)
            self._prefixes[part] = tokens
        while self._prefixes and (
            len(self._prefixes) > _PREFIXES_KEPT
            or self._cached_tokens > self._pool.cache_tokens
        ):
            self._cached_tokens -= self._prefixes.popitem(last=False)[1]
