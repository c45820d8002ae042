"""What the owner of a shard knows and believes of its runners."""

import collections
import math

import msgspec

from anvilhall.core.health import Calibration, Health
from anvilhall.core.limits import DecayingSum
from anvilhall.core.messages import Ask
from anvilhall.core.policies import Policy
from anvilhall.core.settings import Pool

#: Shared prompt beginnings remembered for one runner.
_MAX_CACHED_PARTS = 4096
#: Shortest first-token time that predictions assume, in seconds.
_MIN_PREDICTION_S = 0.01
_MS_PER_S = 1000.0
#: Cost of a gap beyond its target, for each stream that has it, in seconds.
_CONTENTION_COST_S = 0.01
#: Share of a gap's target below which a predicted gap makes no stream late:
#: neighbours unseen by this system slow an engine some 2.5 times at times.
_SAFE_GAP_SHARE = 0.35
#: Share of a gap's target above which it makes every stream late.
_LATE_GAP_SHARE = 0.9
#: Largest share of an engine's time that predictions let prefill take.
_MAX_PREFILL_SHARE = 0.9
#: Time over which the flow of prompt tokens is averaged, in seconds.
_PREFILL_DECAY_S = 1.0


class LatencyTargets(msgspec.Struct, frozen=True):
    """What a class aims at, in seconds."""

    #: To the first token, or to the whole answer.
    first_s: float = math.inf
    #: Between two events of a stream.
    gap_s: float = math.inf


class Assignment:
    """One granted request, as its runner's account sees it."""

    __slots__ = (
        'account',
        'latency_targets',
        'class_name',
        'context_tokens',
        'first_token_seen',
        'long',
        'priority',
        'predicted_s',
        'prefill_tokens',
        'request_id',
        'tokens',
        'uncached_tokens',
    )

    def __init__(self, request_id: str, class_name: str, account: str) -> None:
        """Describe the request; the owner fills in the rest on grant."""
        self.request_id = request_id
        self.class_name = class_name
        self.account = account
        #: Tier, and the class's rank in it.
        self.priority = (0, 0)
        self.long = False
        self.prefill_tokens = 0
        #: Prompt tokens that the runner does not have cached.
        self.uncached_tokens = 0
        #: Tokens that the request may come to hold in the runner's memory.
        self.context_tokens = 0
        self.tokens = 0
        self.predicted_s = 0.0
        self.first_token_seen = False
        self.latency_targets = LatencyTargets()

    @property
    def tier(self) -> int:
        """Tier of the request; 0 is the highest."""
        return self.priority[0]


def _predict_late_share(gap_s: float, target_s: float) -> float:
    """Return the expected share of streams that a gap makes late."""
    span = _LATE_GAP_SHARE - _SAFE_GAP_SHARE
    beyond = gap_s / target_s - _SAFE_GAP_SHARE
    return min(1.0, max(0.0, beyond / span))


class Runner:
    """Slot account, prefix beliefs and health of one runner."""

    __slots__ = (
        '_backlog_tokens',
        '_cached_tokens',
        '_calibration',
        '_reserved_tokens',
        '_policy',
        '_pool',
        '_recent_prefill_tokens',
        '_cached_parts',
        '_stream_counts',
        'address',
        'born',
        'health',
        'leaving',
        'name',
        'advertised_slots',
        'assignments',
    )

    def __init__(
        self,
        name: str,
        address: str,
        pool: Pool,
        policy: Policy,
        calibration: Calibration,
    ) -> None:
        """Start healthy and idle."""
        self._calibration = calibration
        self.health = Health(calibration)
        self._policy = policy
        self.name = name
        self.address = address
        #: Unix milliseconds of its start; 0: unknown.
        self.born = 0
        self._pool = pool
        self.assignments: dict[str, Assignment] = {}
        self.leaving = False
        #: Requests that it runs at once; 0: as the pool's settings say.
        self.advertised_slots = 0
        self._cached_parts: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._cached_tokens = 0
        #: Granted prompt tokens that are still to be read.
        self._backlog_tokens = 0
        #: Tokens that the granted requests may come to hold.
        self._reserved_tokens = 0
        #: Granted requests by their order and gap target.
        self._stream_counts: collections.Counter[
            tuple[tuple[int, int], float]
        ] = collections.Counter()
        self._recent_prefill_tokens = DecayingSum(_PREFILL_DECAY_S)

    @property
    def suspect(self) -> bool:
        """Whether the runner gets single probes only."""
        return self._policy.avoid_suspects and self.health.suspect

    @property
    def slots(self) -> int:
        """Requests that the runner runs at once."""
        return self.advertised_slots or self._pool.slots

    def set_pool(self, pool: Pool) -> None:
        """Take over changed settings of the pool."""
        self._pool = pool

    def can_take(
        self,
        assignment: Assignment,
        reserved_slots: int,
        now: float,
        *,
        allow_degraded: bool = False,
    ) -> bool:
        """Return whether the runner has room for a request.

        :param reserved_slots: slots to leave free for higher tiers.
        :param now: monotonic seconds.
        :param allow_degraded: whether errors and slowness count for nothing,
            because most runners of the pool are suspect.
        """
        health = self.health
        if self.leaving or health.is_full(now):
            return False
        suspect = self.suspect and (health.unavailable or not allow_degraded)
        if suspect and not health.may_probe(now):
            return False
        if len(self.assignments) + reserved_slots >= self.slots:
            return False
        if not self._has_memory(assignment):
            return False
        if not self._policy.protect_short:
            return True
        if assignment.long and not self._has_long_capacity(assignment):
            return False
        return not self._policy.guard_gaps or self._has_late_gap_budget(
            assignment, now
        )

    def count_cached_tokens(self, ask: Ask) -> int:
        """Return how much of the prompt is taken to be cached."""
        cached = 0
        for part, tokens in ask.parts:
            if part not in self._cached_parts:
                break
            cached += tokens
        return min(cached, ask.prompt_tokens)

    def count_uncached_shared_tokens(self, ask: Ask) -> int:
        """Return how much of the prompt's shared parts is to be read."""
        shared = sum(tokens for _, tokens in ask.parts)
        return max(0, shared - self.count_cached_tokens(ask))

    def predict_first_token_s(self, ask: Ask) -> float:
        """Predict the time to the first token of a further request."""
        prefill_s = self._predict_backlog_s() + self.predict_prefill_s(ask)
        nominal_s = max(prefill_s + self._predict_step_s(), _MIN_PREDICTION_S)
        return nominal_s * self._relative_slowdown

    def add_assignment(
        self, assignment: Assignment, ask: Ask, now: float
    ) -> None:
        """Give a slot to a request."""
        assignment.predicted_s = (
            self.predict_first_token_s(ask) / self._relative_slowdown
        )
        if self._policy.calibrate:
            cached = self.count_cached_tokens(ask)
            assignment.uncached_tokens = ask.prompt_tokens - cached
        self._recent_prefill_tokens.add(assignment.uncached_tokens, now)
        self._charge_late_gaps(assignment, now)
        self.adopt_assignment(assignment)
        if self.suspect:
            self.health.probe_request_id = assignment.request_id
        if self._policy.use_prefixes:
            self.mark_parts_cached(ask.parts)

    def remove_assignment(self, request_id: str) -> Assignment | None:
        """Free the slot of a request."""
        if self.health.probe_request_id == request_id:
            self.health.probe_request_id = ''
        assignment = self.assignments.pop(request_id, None)
        if assignment:
            self._end_prefill(assignment)
            self._reserved_tokens -= assignment.context_tokens
            self._stream_counts[
                assignment.priority, assignment.latency_targets.gap_s
            ] -= 1
        return assignment

    def adopt_assignment(self, assignment: Assignment) -> None:
        """Count a request that runs here."""
        self.assignments[assignment.request_id] = assignment
        if not assignment.first_token_seen:
            self._backlog_tokens += assignment.uncached_tokens
        self._reserved_tokens += assignment.context_tokens
        self._stream_counts[
            assignment.priority, assignment.latency_targets.gap_s
        ] += 1

    def note_first_token(
        self, assignment: Assignment, first_token_s: float
    ) -> None:
        """Compare the first token's time with its prediction."""
        if assignment.first_token_seen:
            return
        self._end_prefill(assignment)
        if self._policy.calibrate:
            self._calibration.note_first_token_excess(
                first_token_s - assignment.predicted_s
            )
        expected_s = assignment.predicted_s + self._calibration.overhead_s
        self.health.note_latency_ratio(first_token_s / expected_s)

    def note_gap(self, gap_s: float, now: float) -> None:
        """Compare the longest gap of a stream with the expected step time."""
        expected = self._predict_step_s() + self._predict_backlog_s()
        if gap_s > 0 and expected > 0:
            self.health.note_latency_ratio(gap_s / expected)
        self.health.delay_next_probe(now)

    @property
    def _relative_slowdown(self) -> float:
        return max(
            1.0, self.health.slowdown / self._calibration.median_slowdown
        )

    def _predict_step_s(self, streams: int | None = None) -> float:
        if streams is None:
            streams = len(self.assignments)
        step_ms = self._pool.step_base_ms + (
            self._pool.step_per_stream_ms * streams
        )
        return step_ms / _MS_PER_S

    def predict_prefill_s(self, ask: Ask) -> float:
        """Return the time that reading the prompt takes, in seconds."""
        uncached = ask.prompt_tokens - self.count_cached_tokens(ask)
        return uncached / self._pool.prefill_tokens_per_s

    def _end_prefill(self, assignment: Assignment) -> None:
        if not assignment.first_token_seen:
            assignment.first_token_seen = True
            self._backlog_tokens -= assignment.uncached_tokens

    def _predict_backlog_s(self) -> float:
        return self._backlog_tokens / self._pool.prefill_tokens_per_s

    def _predict_gap_s(
        self,
        more_tokens: int,
        more_streams: int,
        now: float,
    ) -> float:
        """Return the gap between events to expect.

        An event holds several tokens. A chunk of the backlog is read between
        each token and the next, and what comes in steadily adds its share.

        :param more_tokens: prompt tokens to read besides the backlog.
        :param more_streams: streams besides those that run.
        """
        pool = self._pool
        backlog_tokens = self._backlog_tokens + more_tokens
        flow_tokens = self._recent_prefill_tokens.measure(now) + more_tokens
        chunk = min(backlog_tokens, pool.prefill_chunk_tokens)
        prefill_s = chunk / pool.prefill_tokens_per_s
        slow_steps = min(
            math.ceil(backlog_tokens / pool.prefill_chunk_tokens),
            pool.event_tokens,
        )
        duty = min(flow_tokens / pool.prefill_tokens_per_s, _MAX_PREFILL_SHARE)
        streams = len(self.assignments) + more_streams
        step_s = self._predict_step_s(streams) / (1 - duty)
        gap_s = pool.event_tokens * step_s + slow_steps * prefill_s
        return gap_s * self._relative_slowdown

    def predict_late_streams(
        self,
        ask: Ask,
        assignment: Assignment,
        now: float,
    ) -> tuple[float, float, float]:
        """Return how many streams a request is expected to make late.

        :return: streams of higher order, other ones, and its own, which what
            runs beside it makes late.
        """
        uncached = ask.prompt_tokens - self.count_cached_tokens(ask)
        before_s = self._predict_gap_s(0, 0, now)
        after_s = self._predict_gap_s(uncached, 1, now)
        higher = 0.0
        others = 0.0
        for (priority, target_s), count in self._stream_counts.items():
            before = _predict_late_share(before_s, target_s)
            added = count * (_predict_late_share(after_s, target_s) - before)
            if priority < assignment.priority:
                higher += added
            else:
                others += added
        return (
            higher,
            others,
            _predict_late_share(after_s, assignment.latency_targets.gap_s),
        )

    def _has_memory(self, assignment: Assignment) -> bool:
        limit = self._pool.memory_tokens
        if not limit:
            return True
        held = self._reserved_tokens
        return not held or held + assignment.context_tokens <= limit

    def predict_contention_cost_s(self, ask: Ask) -> float:
        """Return the harm of prefill that meets other prefill, in seconds."""
        targets = [
            assignment.latency_targets.gap_s
            for assignment in self.assignments.values()
        ]
        turn_s = self._predict_backlog_s() + self.predict_prefill_s(ask)
        if turn_s + self._predict_step_s() <= min(targets, default=math.inf):
            return 0.0
        return _CONTENTION_COST_S * len(targets)

    def _count_late_gaps(self, assignment: Assignment) -> int:
        """Return how many late gaps a prefill would cause.

        Each gap counts once for each stream of a higher tier that has it.
        """
        targets = [
            other.latency_targets.gap_s
            for other in self.assignments.values()
            if other.tier < assignment.tier
        ]
        chunk = self._pool.prefill_chunk_tokens
        longest_s = chunk / self._pool.prefill_tokens_per_s
        prefill_s = assignment.prefill_tokens / self._pool.prefill_tokens_per_s
        turn_s = min(longest_s, prefill_s + self._predict_backlog_s())
        if not targets or turn_s + self._predict_step_s() <= min(targets):
            return 0
        gaps = math.ceil(assignment.prefill_tokens / chunk)
        return gaps * len(targets)

    def _has_late_gap_budget(self, assignment: Assignment, now: float) -> bool:
        gaps = self._count_late_gaps(assignment)
        return (
            not gaps or self._calibration.late_gap_budget.wait_s(gaps, now) <= 0
        )

    def _charge_late_gaps(self, assignment: Assignment, now: float) -> None:
        gaps = self._count_late_gaps(assignment)
        if gaps:
            self._calibration.late_gap_budget.wait_s(gaps, now)
            self._calibration.late_gap_budget.take(gaps)

    def _has_long_capacity(self, assignment: Assignment) -> bool:
        long_slots = self._pool.long_slots
        if long_slots is None:
            long_slots = max(1, self._pool.slots * 3 // 4)
        others = [other for other in self.assignments.values() if other.long]
        prefill = sum(
            other.prefill_tokens
            for other in others
            if not other.first_token_seen
        )
        if prefill and (
            prefill + assignment.prefill_tokens > self._pool.long_prefill_tokens
        ):
            return False
        return len(others) < long_slots

    def mark_parts_cached(self, parts: tuple[tuple[str, int], ...]) -> None:
        """Take a prompt's parts for cached; the oldest ones yield."""
        for part, tokens in parts:
            self._cached_tokens += tokens - self._cached_parts.pop(part, 0)
            self._cached_parts[part] = tokens
        while self._cached_parts and (
            len(self._cached_parts) > _MAX_CACHED_PARTS
            or self._cached_tokens > self._pool.cache_tokens
        ):
            self._cached_tokens -= self._cached_parts.popitem(last=False)[1]
