"""Health of runners relative to their pool."""

import pytest

from anvilhall.core.health import Calibration, Health
from anvilhall.exceptions import UpstreamErred, UpstreamFull, UpstreamRefused


@pytest.fixture
def health():
    """Return the health of a runner whose pool has its nominal speed."""
    return Health(Calibration())


def test_two_errors_in_a_row_make_a_runner_suspect(health):
    health.note_failure(UpstreamErred.code, 0)
    assert not health.suspect
    health.note_failure(UpstreamErred.code, 0)
    assert health.suspect
    assert not health.unavailable


def test_refused_connection_makes_a_runner_suspect_until_it_serves(health):
    health.note_failure(UpstreamRefused.code, 0)
    assert health.unavailable
    assert not health.may_probe(0.1)
    assert health.may_probe(1.0)
    health.note_success()
    assert not health.suspect


def test_probes_of_an_unavailable_runner_back_off(health):
    pauses = []
    now = 0.0
    for _ in range(4):
        health.note_failure(UpstreamRefused.code, now)
        start = now
        while not health.may_probe(now):
            now += 0.05
        pauses.append(now - start)
    assert pauses == sorted(pauses)
    assert pauses[-1] > 2 * pauses[0]


def test_full_runner_gets_a_short_backoff_and_is_not_suspect(health):
    health.note_failure(UpstreamFull.code, 0)
    assert health.is_full(0.05)
    assert not health.is_full(0.2)
    assert not health.suspect


def test_straggler_is_slow_relative_to_its_pool():
    calibration = Calibration()
    runners = [Health(calibration) for _ in range(4)]
    for runner in runners:
        for _ in range(20):
            runner.note_latency_ratio(5.0)
    calibration.set_slowdowns(runner.slowdown for runner in runners)
    assert not any(runner.suspect for runner in runners)
    for _ in range(20):
        runners[0].note_latency_ratio(50.0)
    calibration.set_slowdowns(runner.slowdown for runner in runners)
    assert [runner.suspect for runner in runners] == [True] + [False] * 3


def test_overhead_settles_near_the_low_end_of_observations():
    calibration = Calibration()
    for place in range(3000):
        calibration.note_first_token_excess(0.1 + 0.2 * (place * 7 % 10) / 10)
    assert 0.1 <= calibration.overhead_s <= 0.2
