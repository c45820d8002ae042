"""Scores of a replay: target attainment, goodput, waste and waiting times."""

import collections
import math
from collections.abc import Iterable, Sequence

import msgspec

from anvilhall.core.tree import Tree
from anvilhall.replay.traces import Trace, TraceRequest
from anvilhall_standins.modelrunner import ModelRunner
from anvilhall_standins.simfleet import CallRecord

#: Share of an answer's token gaps that must be within the target.
_GAP_SHARE = 0.95
#: Length of the window with the most arrivals, scored separately, in seconds.
BUSIEST_WINDOW_S = 10.0
_MS_PER_S = 1000.0
_DIGITS = 4


class ClassScore(msgspec.Struct, kw_only=True):
    """One class over the whole trace; times in milliseconds."""

    requests: int
    attained_share: float
    delivered: int
    #: Delivered in full, but not within the target.
    late: int
    refused: dict[str, int]
    first_token_p50_ms: float | None
    first_token_p95_ms: float | None
    first_token_p99_ms: float | None
    gap_p99_ms: float | None
    #: Attained share of the requests that arrived in the busiest window.
    busiest_attained_share: float | None
    #: Longest time without a first token while requests waited, in seconds.
    longest_stall_s: float
    attained_by_account: dict[str, float]


class ReplayScore(msgspec.Struct, kw_only=True):
    """Scores of one replay."""

    trace: str
    policy: str
    classes: dict[str, ClassScore]
    #: Output tokens per second of requests that attained their target.
    goodput_tokens_s: float
    #: Share of prefill and decode tokens that were discarded or computed again.
    wasted_share: float
    #: Longest wait for a first token in the lowest tier, in seconds.
    longest_lowest_wait_s: float
    retries: int
    busiest_from_s: float


class _RequestResult:
    """Result of one request."""

    __slots__ = ('attained', 'first_token_s', 'gaps', 'record', 'request')

    def __init__(
        self,
        request: TraceRequest,
        record: CallRecord,
        tree: Tree,
    ) -> None:
        self.request = request
        self.record = record
        self.gaps: list[float] = []
        self.first_token_s: float | None = None
        times = record.event_times
        if times:
            self.first_token_s = times[0] - record.arrived_s
            self.gaps = [
                later - earlier
                for earlier, later in zip(times, times[1:], strict=False)
            ]
        self.attained = self._meets_target(tree)

    def _meets_target(self, tree: Tree) -> bool:
        if not self.record.complete:
            return False
        target = tree.classes[self.request.class_name].target
        took_s = self.record.ended_s - self.record.arrived_s
        if target.done_ms and took_s * _MS_PER_S > target.done_ms:
            return False
        first_ms = (self.first_token_s or 0) * _MS_PER_S
        if target.first_token_ms and first_ms > target.first_token_ms:
            return False
        if not target.gap_ms or not self.gaps:
            return True
        allowed_s = target.gap_ms / _MS_PER_S
        within = sum(1 for gap in self.gaps if gap <= allowed_s)
        return within >= _GAP_SHARE * len(self.gaps)


def score_replay(
    trace: Trace,
    policy: str,
    records: Sequence[CallRecord],
    runners: Sequence[ModelRunner],
    tree: Tree,
) -> ReplayScore:
    """Score a replay from the records of its callers and runners."""
    by_id = {record.job.request_id: record for record in records}
    results = [
        _RequestResult(request, by_id[request.id], tree)
        for request in trace.requests
        if request.id in by_id
    ]
    busiest_from_s = _find_busiest_start(trace)
    by_class: dict[str, list[_RequestResult]] = collections.defaultdict(list)
    for result in results:
        by_class[result.request.class_name].append(result)
    return ReplayScore(
        trace=trace.header.name,
        policy=policy,
        classes={
            name: _score_class(group, busiest_from_s)
            for name, group in sorted(by_class.items())
        },
        goodput_tokens_s=_measure_goodput(results),
        wasted_share=_measure_waste(results, runners),
        longest_lowest_wait_s=_find_longest_wait(results, tree),
        retries=_count_retries(runners),
        busiest_from_s=busiest_from_s,
    )


def find_percentile(numbers: Iterable[float], share: float) -> float | None:
    """Return the nearest-rank percentile, or ``None`` for no numbers.

    It is the smallest number that ``share`` of all numbers do not exceed.
    """
    ordered = sorted(numbers)
    if not ordered:
        return None
    rank = max(0, math.ceil(share * len(ordered)) - 1)
    return ordered[rank]


def _score_class(
    results: list[_RequestResult],
    busiest_from_s: float,
) -> ClassScore:
    first = [
        result.first_token_s
        for result in results
        if result.first_token_s is not None
    ]
    gaps = [gap for result in results for gap in result.gaps]
    refused = collections.Counter(
        result.record.error.code
        for result in results
        if result.record.error is not None
    )
    busiest = [
        result
        for result in results
        if 0 <= result.request.at_s - busiest_from_s < BUSIEST_WINDOW_S
    ]
    delivered = sum(result.record.complete for result in results)
    attained = sum(result.attained for result in results)
    return ClassScore(
        requests=len(results),
        attained_share=_round(attained / len(results)),
        delivered=delivered,
        late=delivered - attained,
        refused=dict(sorted(refused.items())),
        first_token_p50_ms=_to_ms(find_percentile(first, 0.5)),
        first_token_p95_ms=_to_ms(find_percentile(first, 0.95)),
        first_token_p99_ms=_to_ms(find_percentile(first, 0.99)),
        gap_p99_ms=_to_ms(find_percentile(gaps, 0.99)),
        busiest_attained_share=_compute_attained_share(busiest),
        longest_stall_s=_find_longest_stall(results),
        attained_by_account=_compute_attained_by_account(results),
    )


def _find_longest_stall(results: list[_RequestResult]) -> float:
    """Return the longest time in which requests waited and none began.

    A span counts only if it ends with a first token: the wait after the last
    first token of the class is left out.
    """
    waits = [_get_wait(result) for result in results]
    begins = sorted(
        result.record.event_times[0]
        for result in results
        if result.record.event_times
    )
    longest = 0.0
    last = 0.0
    for begin in begins:
        waiting = [since for since, until in waits if since < begin <= until]
        stalled_from = max(last, min(waiting, default=begin))
        longest = max(longest, begin - stalled_from)
        last = begin
    return _round(longest)


def _get_wait(result: _RequestResult) -> tuple[float, float]:
    record = result.record
    until = record.event_times[0] if record.event_times else record.ended_s
    return record.arrived_s, until


def _compute_attained_by_account(
    results: list[_RequestResult],
) -> dict[str, float]:
    by_account: dict[str, list[_RequestResult]] = collections.defaultdict(list)
    for result in results:
        by_account[result.request.account].append(result)
    return {
        account: _compute_attained_share(group) or 0.0
        for account, group in sorted(by_account.items())
    }


def _compute_attained_share(results: list[_RequestResult]) -> float | None:
    if not results:
        return None
    return _round(sum(result.attained for result in results) / len(results))


def _find_busiest_start(trace: Trace) -> float:
    arrivals = sorted(request.at_s for request in trace.requests)
    best_from = 0.0
    best = 0
    last = 0
    for first, start in enumerate(arrivals):
        while (
            last < len(arrivals) and arrivals[last] < start + BUSIEST_WINDOW_S
        ):
            last += 1
        if last - first > best:
            best = last - first
            best_from = start
    return best_from


def _measure_goodput(results: list[_RequestResult]) -> float:
    if not results:
        return 0.0
    began = min(result.record.arrived_s for result in results)
    ended = max(result.record.ended_s for result in results)
    tokens = sum(
        len(result.record.event_times) for result in results if result.attained
    )
    return _round(tokens / max(ended - began, 1.0))


def _measure_waste(
    results: list[_RequestResult],
    runners: Sequence[ModelRunner],
) -> float:
    spent = sum(
        runner.prefilled_tokens + runner.decoded_tokens for runner in runners
    )
    if not spent:
        return 0.0
    useful = sum(
        len(result.record.event_times)
        for result in results
        if result.record.complete
    )
    useful_prefill = 0.0
    started = collections.Counter(
        request_id for runner in runners for request_id in runner.started
    )
    for result in results:
        count = started[result.request.id]
        if result.record.complete and count:
            cost = sum(
                runner.prefilled_tokens_by_request.get(result.request.id, 0.0)
                for runner in runners
            )
            useful_prefill += cost / count
    return _round(max(0.0, 1 - (useful + useful_prefill) / spent))


def _find_longest_wait(results: list[_RequestResult], tree: Tree) -> float:
    tiers = {
        result.request.class_name: tree.classes[result.request.class_name].tier
        for result in results
    }
    lowest = max(tiers.values(), default=0)
    waits = [
        result.first_token_s
        for result in results
        if result.first_token_s is not None
        and tiers[result.request.class_name] == lowest
    ]
    return _round(max(waits, default=0.0))


def _count_retries(runners: Sequence[ModelRunner]) -> int:
    started = sum(len(runner.started) for runner in runners)
    ids = {request_id for runner in runners for request_id in runner.started}
    return started - len(ids)


def _to_ms(seconds: float | None) -> float | None:
    if seconds is None:
        return None
    return round(seconds * _MS_PER_S, 1)


def _round(number: float) -> float:
    return round(number, _DIGITS)
