"""Cost functions for placing a request on a runner; the lowest cost wins.

Costs are in seconds of first-token time. Two kinds of requests that slow each
other down fill the ordered runners from opposite ends, so that they share
runners only under load.
"""

from typing import Protocol

from anvilhall.core.messages import Ask
from anvilhall.core.runners import Assignment, Runner
from anvilhall.registry import Registry

#: Cost difference between the first and the last runner in the order of
#: filling, in seconds: the first-token time that is traded for keeping the two
#: kinds of requests apart.
_PACKING_COST_S = 0.1
#: Cost of each stream that is predicted to exceed its gap target, in seconds of
#: first-token time.
_LATE_STREAM_COST_S = 0.03
#: The same for a stream of higher priority and for the request's own.
_LATE_HIGHER_STREAM_COST_S = 0.08
#: Cost of a first token that misses its target, in the same unit.
_LATE_FIRST_TOKEN_COST_S = 0.5
#: A predicted first-token time of up to this share of its target is no risk.
_SAFE_TARGET_SHARE = 0.5
#: Cost of each uncached token of a shared part, in the same unit. The predicted
#: first-token time covers the delay of this request only; prefilling the part
#: on another runner also takes capacity from the requests behind it.
_REREAD_COST_S_PER_TOKEN = 30e-6


class Placement(Protocol):
    """Computes the cost of placing a request on a runner."""

    def __call__(
        self,
        runner: Runner,
        ask: Ask,
        assignment: Assignment,
        rank: float,
        now: float,
    ) -> float:
        """Return the cost in seconds.

        :param rank: position of the runner in the order of filling, from 0 to
            1.
        :param now: monotonic seconds.
        """


PLACEMENTS: Registry[Placement] = Registry('placement')


@PLACEMENTS.register('by-first-token')
def estimate_first_token_cost(
    runner: Runner,
    ask: Ask,
    assignment: Assignment,
    rank: float,
    now: float,
) -> float:
    """Return the predicted time to the first token."""
    return runner.predict_first_token_s(ask)


@PLACEMENTS.register('by-tier')
def estimate_tier_cost(
    runner: Runner,
    ask: Ask,
    assignment: Assignment,
    rank: float,
    now: float,
) -> float:
    """Keep the prefill of lower tiers away from streams of tier 0.

    Tier 0 fills the runners from the front, all other tiers from the back. The
    cost of tier 0 is the predicted time to the first token and the cost of
    late gaps. For other tiers it is that time and the prefill time for each
    stream of a higher tier that the prefill delays.
    """
    predicted_s = runner.predict_first_token_s(ask)
    if assignment.tier == 0:
        interference_s = runner.predict_contention_cost_s(ask)
        return predicted_s + interference_s + _PACKING_COST_S * rank
    delayed_streams = sum(
        other.tier < assignment.tier for other in runner.assignments.values()
    )
    interference_s = runner.predict_prefill_s(ask) * delayed_streams
    return predicted_s + interference_s + _PACKING_COST_S * (1 - rank)


@PLACEMENTS.register('by-length')
def estimate_length_cost(
    runner: Runner,
    ask: Ask,
    assignment: Assignment,
    rank: float,
    now: float,
) -> float:
    """Keep long requests away from short ones, whatever their tiers.

    Short requests fill the runners from the front, long ones from the back.
    The cost is the predicted time to the first token, plus the costs of the
    risk that it misses its target, of each stream that is predicted to exceed
    its gap target, the request's own included, and of each uncached token of a
    shared part.
    """
    predicted_s = runner.predict_first_token_s(ask)
    higher, others, own_risk = runner.predict_late_streams(ask, assignment, now)
    interference_s = (
        _LATE_HIGHER_STREAM_COST_S * (higher + own_risk)
        + _LATE_STREAM_COST_S * others
    )
    lateness = (
        predicted_s / assignment.latency_targets.first_s - _SAFE_TARGET_SHARE
    )
    risk = min(1.0, max(0.0, lateness / (1 - _SAFE_TARGET_SHARE)))
    packing_rank = 1 - rank if assignment.long else rank
    reread_s = _REREAD_COST_S_PER_TOKEN * runner.count_uncached_shared_tokens(
        ask
    )
    late_s = _LATE_FIRST_TOKEN_COST_S * risk
    return (
        predicted_s
        + interference_s
        + late_s
        + reread_s
        + _PACKING_COST_S * packing_rank
    )
