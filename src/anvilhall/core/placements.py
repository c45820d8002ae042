"""What it costs to place a request on a runner: the lowest cost wins.

Costs are seconds of first-token time. Two kinds of requests that disturb each
other fill the runners from opposite ends, so that they meet only under load.
"""

from typing import Protocol

from anvilhall.core.messages import Ask
from anvilhall.core.runners import Assignment, Runner
from anvilhall.registry import Registry

#: First-token time that is given up to keep kinds of requests apart, in
#: seconds, from one end of the runners to the other.
_PACKING_COST_S = 0.1
#: Cost of a stream with a gap beyond its target, in seconds of first-token
#: time.
_LATE_STREAM_COST_S = 0.03
#: The same for a stream of higher order, and for the request's own.
_LATE_HIGHER_STREAM_COST_S = 0.08
#: Cost of a first token after its objective, in the same unit.
_LATE_FIRST_TOKEN_COST_S = 0.5
#: Share of the objective up to which a predicted first token is in time.
_SAFE_OBJECTIVE_SHARE = 0.5
#: Cost of reading a token of a shared part again, in the same unit: it takes
#: capacity from the requests behind it, besides the time of this request.
_REREAD_COST_S = 30e-6


class Placement(Protocol):
    """Weighs a runner for a request."""

    def __call__(
        self,
        runner: Runner,
        ask: Ask,
        assignment: Assignment,
        rank: float,
        now: float,
    ) -> float:
        """Return the cost in seconds.

        :param rank: place of the runner among all, from 0 to 1.
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
    """Return the predicted time to the first token alone."""
    return runner.predict_first_token_s(ask)


@PLACEMENTS.register('by-tier')
def estimate_tier_cost(
    runner: Runner,
    ask: Ask,
    assignment: Assignment,
    rank: float,
    now: float,
) -> float:
    """Keep the prefill of lower tiers away from the highest one.

    The cost is the predicted time to the first token, and the time by which
    the prefill holds up the streams of higher tiers.
    """
    predicted_s = runner.predict_first_token_s(ask)
    if assignment.tier == 0:
        interference_s = runner.predict_contention_cost_s(ask)
        return predicted_s + interference_s + _PACKING_COST_S * rank
    held_up = sum(
        other.tier < assignment.tier for other in runner.assignments.values()
    )
    interference_s = runner.predict_prefill_s(ask) * held_up
    return predicted_s + interference_s + _PACKING_COST_S * (1 - rank)


@PLACEMENTS.register('by-length')
def estimate_length_cost(
    runner: Runner,
    ask: Ask,
    assignment: Assignment,
    rank: float,
    now: float,
) -> float:
    """Keep long prompts away from short ones, whatever their tiers.

    The cost is the predicted time to the first token, with a price for a late
    one, a price for each stream that the request is expected to make late by
    the gaps between its events, its own included, and one for each token of a
    shared part that the runner does not have cached.
    """
    predicted_s = runner.predict_first_token_s(ask)
    higher, others, own = runner.predict_late_streams(ask, assignment, now)
    interference_s = (
        _LATE_HIGHER_STREAM_COST_S * (higher + own)
        + _LATE_STREAM_COST_S * others
    )
    lateness = (
        predicted_s / assignment.latency_targets.first_s - _SAFE_OBJECTIVE_SHARE
    )
    risk = min(1.0, max(0.0, lateness / (1 - _SAFE_OBJECTIVE_SHARE)))
    end = 1 - rank if assignment.long else rank
    reread_s = _REREAD_COST_S * runner.count_uncached_shared_tokens(ask)
    late_s = _LATE_FIRST_TOKEN_COST_S * risk
    return (
        predicted_s + interference_s + late_s + reread_s + _PACKING_COST_S * end
    )
