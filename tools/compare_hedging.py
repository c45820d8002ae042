"""Compares rules for second sends on the first answers of a replayed trace.

Usage: python -m tools.compare_hedging [CLASS]

The trace with stragglers is replayed with two seeds, without second sends. A
request is first answered as in one replay and its copy as in the other, in
which the same request arrives at the same time and may be placed otherwise. The
load of the copies themselves is left out.
"""

import heapq
import itertools
import math
import pathlib
import sys
from collections.abc import Callable
from typing import Any

import msgspec

from anvilhall.core.hedging import Hedging
from anvilhall.core.policies import DEFAULT_POLICY
from anvilhall.replay.player import Replay
from anvilhall.replay.traces import Trace

SITE = pathlib.Path('examples', 'association')
TRACE = 'stragglers'
CLASS_NAME = 'bulk-summary'
#: Seeds of the first answers and of their copies.
SEEDS = ((1, 2), (3, 4), (5, 6))
SHARES = (0.05, 0.1, 0.2)
DELAYS_S = (0.25, 0.75, 2.0)
QUANTILES = (0.5, 0.95, 0.99, 1.0)


class Case(msgspec.Struct, frozen=True, order=True):
    """One request: its arrival, and the seconds to its first answers."""

    arrived_s: float
    instance: str
    first_s: float
    copy_s: float = math.inf


class Wait(msgspec.Struct, frozen=True):
    """Seconds that a caller waits, and whether its request was sent twice."""

    seconds: float
    extra: bool


#: Returns the waits of requests, which are in order of arrival.
Rule = Callable[[list[Case]], list[Wait]]


def measure_answers(seed: int, class_name: str) -> dict[str, Case]:
    """Return the first answers of a replay by request."""
    settings: Any = msgspec.json.decode((SITE / 'settings.json').read_bytes())
    trace = Trace.from_file(SITE / 'traces' / f'{TRACE}.jsonl')
    replay = Replay(trace, settings, DEFAULT_POLICY, seed)
    replay.run()
    return {
        request_id: Case(
            record.arrived_s,
            record.instance,
            record.event_times[0] - record.arrived_s,
        )
        for request_id, record in replay.records.items()
        if record.class_name == class_name and record.event_times
    }


def build_cases(seeds: tuple[int, int], class_name: str) -> list[Case]:
    """Return the requests of two replays in order of arrival."""
    firsts, copies = (measure_answers(seed, class_name) for seed in seeds)
    return sorted(
        msgspec.structs.replace(case, copy_s=copies[request_id].first_s)
        for request_id, case in firsts.items()
        if request_id in copies
    )


def send_once(cases: list[Case]) -> list[Wait]:
    """Send no request twice."""
    return [Wait(case.first_s, extra=False) for case in cases]


def send_tied(cases: list[Case]) -> list[Wait]:
    """Send every request to two runners at once."""
    return [Wait(min(case.first_s, case.copy_s), extra=True) for case in cases]


def send_after(delay_s: float) -> Rule:
    """Return the rule that sends a copy after a fixed delay."""

    def send(cases: list[Case]) -> list[Wait]:
        return [_send_copy(case, delay_s) for case in cases]

    return send


def send_late(share: float) -> Rule:
    """Return the rule of the product at one instance."""
    return lambda cases: _Instance(share).run(cases)


def send_late_alone(share: float) -> Rule:
    """Return the same rule at instances that each see their requests only."""

    def send(cases: list[Case]) -> list[Wait]:
        return [
            wait
            for name in sorted({case.instance for case in cases})
            for wait in _Instance(share).run(
                [case for case in cases if case.instance == name]
            )
        ]

    return send


def _send_copy(case: Case, delay_s: float) -> Wait:
    return Wait(
        min(case.first_s, delay_s + case.copy_s),
        extra=case.first_s > delay_s,
    )


class _Instance:
    """Sends late requests twice, in the order of all that happens."""

    def __init__(self, share: float) -> None:
        self._hedging = Hedging(share)
        self._numbers = itertools.count()
        #: Times of steps, with their numbers.
        self._queue: list[tuple[float, int, Callable[[float], None]]] = []
        self._waits: list[Wait] = []

    def run(self, cases: list[Case]) -> list[Wait]:
        for case in cases:
            self._schedule(case.arrived_s, self._build_arrival(case))
        while self._queue:
            now, _, step = heapq.heappop(self._queue)
            step(now)
        return self._waits

    def _schedule(self, at_s: float, step: Callable[[float], None]) -> None:
        heapq.heappush(self._queue, (at_s, next(self._numbers), step))

    def _build_arrival(self, case: Case) -> Callable[[float], None]:
        def arrive(now: float) -> None:
            self._hedging.note_send('')
            delay_s = self._hedging.compute_delay_s('', now)
            if delay_s < case.first_s:
                self._schedule(now + delay_s, check)
            else:
                self._answer(case, Wait(case.first_s, extra=False))

        def check(now: float) -> None:
            wait = Wait(case.first_s, extra=False)
            if not self._hedging.find_denial('', '', math.inf, now):
                self._hedging.spend('')
                wait = _send_copy(case, now - case.arrived_s)
            self._answer(case, wait)

        return arrive

    def _answer(self, case: Case, wait: Wait) -> None:
        self._waits.append(wait)

        def note(now: float) -> None:
            self._hedging.note_answer('', wait.seconds, now)

        self._schedule(case.arrived_s + wait.seconds, note)


def print_rule(name: str, rule: Rule, groups: list[list[Case]]) -> None:
    """Print the waits under a rule, and the share of extra sends."""
    waits = [wait for cases in groups for wait in rule(cases)]
    seconds = sorted(wait.seconds for wait in waits)
    extra = sum(wait.extra for wait in waits) / len(waits)
    shown = ' '.join(
        f'{seconds[int(share * (len(seconds) - 1))]:6.3f}'
        for share in QUANTILES
    )
    print(f'{name:32} {shown}   {extra:.3f}')


def compare(class_name: str) -> None:
    """Print the figures of all rules for one class."""
    groups = [build_cases(seeds, class_name) for seeds in SEEDS]
    print(f'{class_name}: {[len(cases) for cases in groups]} requests')
    print(f'{"rule":32}    p50    p95    p99    max   extra sends')
    print_rule('one send', send_once, groups)
    for delay_s in DELAYS_S:
        print_rule(f'fixed {delay_s} s', send_after(delay_s), groups)
    print_rule('tied', send_tied, groups)
    for share in SHARES:
        print_rule(f'quantile {share}', send_late(share), groups)
        alone = send_late_alone(share)
        print_rule(f'quantile {share}, instances alone', alone, groups)


if __name__ == '__main__':
    compare(sys.argv[1] if len(sys.argv) > 1 else CLASS_NAME)
