"""A runner as its shard's owner models it: load, caches and latencies."""

import collections
import math

import msgspec

from anvilhall.core.advertised import AdvertisedRate
from anvilhall.core.health import Calibration, Health
from anvilhall.core.limits import DecayingSum
from anvilhall.core.messages import Ask
from anvilhall.core.policies import Policy
from anvilhall.core.settings import Pool

#: Largest number of shared prompt parts that one runner is assumed to cache.
_MAX_CACHED_PARTS = 4096
#: Lower bound of predicted first-token times, in seconds.
_MIN_PREDICTION_S = 0.01
_MS_PER_S = 1000.0
#: Placement cost of a gap beyond its target, for each stream on the runner, in
#: seconds of first-token time.
_CONTENTION_COST_S = 0.01
#: A predicted gap of up to this share of its target makes no stream late. The
#: margin allows for workloads outside this system that share the hardware and
#: at times slow an engine by a factor of about 2.5.
_SAFE_GAP_SHARE = 0.35
#: A predicted gap from this share of its target makes every stream late.
_LATE_GAP_SHARE = 0.9
#: Upper bound of the predicted share of an engine's time spent on prefill.
_MAX_PREFILL_SHARE = 0.9
#: Time constant of the average rate of granted prompt tokens, in seconds.
_PREFILL_DECAY_S = 1.0
#: Seconds after the last output of any request within which a runner counts as
#: progressing. Streams count as stalled after longer silence only.
_PROGRESS_WINDOW_S = 1.0


class LatencyTargets(msgspec.Struct, frozen=True):
    """Latency targets of a request class, in seconds; infinite: no target."""

    #: Time to the first token or, if the class has no such target, to the
    #: whole answer.
    first_s: float = math.inf
    #: Time between two events of a stream.
    gap_s: float = math.inf


class Assignment:
    """One request that is placed on a runner or considered for it."""

    __slots__ = (
        'account',
        'class_name',
        'context_tokens',
        'first_token_seen',
        'latency_targets',
        'long',
        'predicted_s',
        'prefill_tokens',
        'priority',
        'request_id',
        'tokens',
        'uncached_tokens',
    )

    def __init__(self, request_id: str, class_name: str, account: str) -> None:
        """Identify the request; the shard sets the other attributes."""
        self.request_id = request_id
        self.class_name = class_name
        self.account = account
        #: Tier and rank; lower values have priority.
        self.priority = (0, 0)
        #: Whether its prompt or its output so far counts as long.
        self.long = False
        #: Prompt tokens, whether cached or not.
        self.prefill_tokens = 0
        #: Prompt tokens that are not in the runner's prefix cache; all of them
        #: under policies without ``calibrate``.
        self.uncached_tokens = 0
        #: Upper bound of the tokens that the request holds in the runner's
        #: memory: prompt and longest answer.
        self.context_tokens = 0
        #: Output tokens so far.
        self.tokens = 0
        #: Predicted time to the first token at the pool's median speed,
        #: without the pool's overhead, in seconds.
        self.predicted_s = 0.0
        self.first_token_seen = False
        self.latency_targets = LatencyTargets()

    @property
    def tier(self) -> int:
        """Tier of the request; 0 is the highest."""
        return self.priority[0]


def name_start(runner: str, born: int) -> str:
    """Return the identifier of one start of a runner.

    :param born: its time in Unix milliseconds; 0: unknown.
    """
    return f'{runner}/{born}'


def _predict_late_share(gap_s: float, target_s: float) -> float:
    """Return the expected share of streams that a predicted gap makes late."""
    span = _LATE_GAP_SHARE - _SAFE_GAP_SHARE
    beyond = gap_s / target_s - _SAFE_GAP_SHARE
    return min(1.0, max(0.0, beyond / span))


class Runner:
    """Occupied slots, assumed prefix cache and health of one runner."""

    __slots__ = (
        '_backlog_tokens',
        '_cached_parts',
        '_cached_tokens',
        '_calibration',
        '_policy',
        '_pool',
        '_progress_at',
        '_recent_prefill_tokens',
        '_reserved_tokens',
        'address',
        'advertised_rate',
        'advertised_slots',
        'assignments',
        'born',
        'health',
        'leaving',
        'name',
        'stream_counts',
        'version',
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
        #: Start time of the runner in Unix milliseconds; 0: unknown.
        self.born = 0
        #: Software version of the runner; empty: unknown.
        self.version = ''
        self._pool = pool
        self.assignments: dict[str, Assignment] = {}
        #: Whether the runner drains: it takes no new requests.
        self.leaving = False
        #: Requests that the runner serves at once, as the registry states; 0:
        #: the pool's setting applies.
        self.advertised_slots = 0
        #: Limit on its requests, as its answers state.
        self.advertised_rate = AdvertisedRate()
        #: Tokens of each prompt part assumed to be cached, least recently used
        #: part first.
        self._cached_parts: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._cached_tokens = 0
        #: Uncached prompt tokens of requests without a first token.
        self._backlog_tokens = 0
        #: Sum of ``context_tokens`` of the assignments.
        self._reserved_tokens = 0
        #: Number of assignments by priority and gap target.
        self.stream_counts: collections.Counter[
            tuple[tuple[int, int], float]
        ] = collections.Counter()
        self._recent_prefill_tokens = DecayingSum(_PREFILL_DECAY_S)
        #: Monotonic time of the last report of output of a request.
        self._progress_at = -math.inf

    @property
    def start_name(self) -> str:
        """Identifier of this start of the runner."""
        return name_start(self.name, self.born)

    @property
    def suspect(self) -> bool:
        """Whether the runner gets only one request at a time, as a probe."""
        return self._policy.avoid_suspects and self.health.suspect

    @property
    def slots(self) -> int:
        """Number of requests that the runner serves at once."""
        return self.advertised_slots or self._pool.slots

    def set_pool(self, pool: Pool) -> None:
        """Apply changed settings of the pool."""
        self._pool = pool

    def can_take(
        self,
        assignment: Assignment,
        reserved_slots: int,
        now: float,
        *,
        allow_degraded: bool = False,
    ) -> bool:
        """Return whether the runner has capacity for a request.

        :param reserved_slots: slots to leave free for higher tiers and for
            other instances.
        :param now: monotonic seconds.
        :param allow_degraded: whether to ignore errors and slowness, because
            most runners of the pool are suspect. An unavailable runner still
            gets only probes.
        """
        health = self.health
        is_full = health.is_full(now) or not self.advertised_rate.may_take(now)
        if self.leaving or is_full:
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
        """Return how many prompt tokens are assumed to be cached.

        Only a prefix can be cached, so the count ends at the first part that is
        not.
        """
        cached = 0
        for part, tokens in ask.parts:
            if part not in self._cached_parts:
                break
            cached += tokens
        return min(cached, ask.prompt_tokens)

    def count_uncached_shared_tokens(self, ask: Ask) -> int:
        """Return how many tokens of the shared parts need prefill."""
        shared = sum(tokens for _, tokens in ask.parts)
        return max(0, shared - self.count_cached_tokens(ask))

    def predict_first_token_s(self, ask: Ask) -> float:
        """Predict a new request's time to its first token, in seconds."""
        prefill_s = self._predict_backlog_s() + self.predict_prefill_s(ask)
        nominal_s = max(prefill_s + self._predict_step_s(), _MIN_PREDICTION_S)
        return nominal_s * self._relative_slowdown

    def add_assignment(
        self, assignment: Assignment, ask: Ask, now: float
    ) -> None:
        """Occupy a slot with a newly granted request."""
        assignment.predicted_s = (
            self.predict_first_token_s(ask) / self._relative_slowdown
        )
        if self._policy.calibrate:
            cached = self.count_cached_tokens(ask)
            assignment.uncached_tokens = ask.prompt_tokens - cached
        self.advertised_rate.take(now)
        self._recent_prefill_tokens.add(assignment.uncached_tokens, now)
        self._charge_late_gaps(assignment, now)
        self.adopt_assignment(assignment)
        if self.suspect:
            self.health.probe_request_id = assignment.request_id
        if self._policy.use_prefixes:
            self.mark_parts_cached(ask.parts)

    def remove_assignment(self, request_id: str) -> Assignment | None:
        """Free the slot of a request; return ``None`` if it has none."""
        if self.health.probe_request_id == request_id:
            self.health.probe_request_id = ''
        assignment = self.assignments.pop(request_id, None)
        if assignment:
            self._end_prefill(assignment)
            self._reserved_tokens -= assignment.context_tokens
            self.stream_counts[
                assignment.priority, assignment.latency_targets.gap_s
            ] -= 1
        return assignment

    def adopt_assignment(self, assignment: Assignment) -> None:
        """Occupy a slot with a request that may be running already."""
        self.assignments[assignment.request_id] = assignment
        if not assignment.first_token_seen:
            self._backlog_tokens += assignment.uncached_tokens
        self._reserved_tokens += assignment.context_tokens
        self.stream_counts[
            assignment.priority, assignment.latency_targets.gap_s
        ] += 1

    def note_progress(self, now: float) -> None:
        """Note that a request has received output from the runner."""
        self._progress_at = now

    def note_failure(self, code: str, now: float) -> None:
        """Update the health after a request has failed on the runner."""
        progressing = now - self._progress_at < _PROGRESS_WINDOW_S
        self.health.note_failure(code, now, progressing=progressing)

    def note_first_token(
        self, assignment: Assignment, first_token_s: float
    ) -> None:
        """Update latency estimates from the first token of a request.

        :param first_token_s: seconds from the grant to the first token.
        """
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
        """Update the runner's slowdown from the longest gap of a stream.

        :param gap_s: longest gap since the last report, in seconds.
        :param now: monotonic seconds.
        """
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
        """Predict the prefill time of a prompt's uncached part, in seconds."""
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
        extra_tokens: int,
        extra_streams: int,
        now: float,
    ) -> float:
        """Predict the gap between two events of a stream, in seconds.

        One event carries ``event_tokens`` tokens, each from one decode step.
        While there is a backlog, the engine prefills one chunk of it between
        two steps. The recent rate of prompt tokens stretches each step by the
        share of time that prefill takes.

        :param extra_tokens: prompt tokens to add to the backlog.
        :param extra_streams: streams to add to the running ones.
        """
        pool = self._pool
        backlog_tokens = self._backlog_tokens + extra_tokens
        recent_tokens = self._recent_prefill_tokens.measure(now) + extra_tokens
        chunk = min(backlog_tokens, pool.prefill_chunk_tokens)
        prefill_s = chunk / pool.prefill_tokens_per_s
        prefill_steps = min(
            math.ceil(backlog_tokens / pool.prefill_chunk_tokens),
            pool.event_tokens,
        )
        prefill_share = min(
            recent_tokens / pool.prefill_tokens_per_s, _MAX_PREFILL_SHARE
        )
        streams = len(self.assignments) + extra_streams
        step_s = self._predict_step_s(streams) / (1 - prefill_share)
        gap_s = pool.event_tokens * step_s + prefill_steps * prefill_s
        return gap_s * self._relative_slowdown

    def predict_late_streams(
        self,
        ask: Ask,
        assignment: Assignment,
        now: float,
    ) -> tuple[float, float, float]:
        """Predict how many streams would exceed their gap target.

        :return: additional late streams of higher priority, additional late
            streams of the same or a lower priority, and the probability that
            the request's own stream is late.
        """
        uncached = ask.prompt_tokens - self.count_cached_tokens(ask)
        before_s = self._predict_gap_s(0, 0, now)
        after_s = self._predict_gap_s(uncached, 1, now)
        higher = 0.0
        others = 0.0
        for (priority, target_s), count in self.stream_counts.items():
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
        reserved = self._reserved_tokens
        # An idle runner takes a request of any size.
        return not reserved or reserved + assignment.context_tokens <= limit

    def predict_contention_cost_s(self, ask: Ask) -> float:
        """Return the cost of the gap that a prefill causes, in seconds.

        It is zero while the backlog and the new prompt together fit into the
        shortest gap target of the running streams.
        """
        targets = [
            assignment.latency_targets.gap_s
            for assignment in self.assignments.values()
        ]
        busy_s = self._predict_backlog_s() + self.predict_prefill_s(ask)
        if busy_s + self._predict_step_s() <= min(targets, default=math.inf):
            return 0.0
        return _CONTENTION_COST_S * len(targets)

    def _count_late_gaps(self, assignment: Assignment) -> int:
        """Return how many late gaps a prefill would cause.

        A gap counts once for each running stream of a higher tier.
        """
        targets = [
            other.latency_targets.gap_s
            for other in self.assignments.values()
            if other.tier < assignment.tier
        ]
        chunk = self._pool.prefill_chunk_tokens
        chunk_s = chunk / self._pool.prefill_tokens_per_s
        prefill_s = assignment.prefill_tokens / self._pool.prefill_tokens_per_s
        busy_s = min(chunk_s, prefill_s + self._predict_backlog_s())
        if not targets or busy_s + self._predict_step_s() <= min(targets):
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
            # Refills the bucket; the returned time is not needed.
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
        """Assume that a prompt's parts are cached.

        The least recently used parts are evicted beyond the cache's size.
        """
        for part, tokens in parts:
            self._cached_tokens += tokens - self._cached_parts.pop(part, 0)
            self._cached_parts[part] = tokens
        while self._cached_parts and (
            len(self._cached_parts) > _MAX_CACHED_PARTS
            or self._cached_tokens > self._pool.cache_tokens
        ):
            self._cached_tokens -= self._cached_parts.popitem(last=False)[1]
