"""Fuzz test of a fleet under random faults, and mutants that it must detect."""

import ast
import asyncio
import gc
import os

import msgspec
import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from anvilhall import execution as execution_module
from anvilhall import upstreams as upstreams_module
from anvilhall.claims import ClaimManager
from anvilhall.core import retries as retries_module
from anvilhall.core.ledger import Entry, KeyState, Ledger
from anvilhall.core.publication import SettingsState
from anvilhall.execution import Execution
from tests.machine import FleetMachine

EXAMPLES = int(os.environ.get('FUZZ_EXAMPLES', '25'))
STEPS = int(os.environ.get('FUZZ_STEPS', '30'))
MUTANT_EXAMPLES = 100


def _run_machine(examples, *, shrink=True):
    phases = [Phase.generate]
    if shrink:
        phases.append(Phase.shrink)
    # Hypothesis parses the source of the machine. If the garbage collector
    # reports the exception of a leftover task at that time, CPython 3.11 calls
    # ``ast.parse`` for the traceback within that parse, which then fails.
    gc.collect()
    run_state_machine_as_test(
        FleetMachine,
        settings=settings(
            max_examples=examples,
            stateful_step_count=STEPS,
            derandomize='FUZZ_EXAMPLES' not in os.environ,
            database=None,
            deadline=None,
            phases=phases,
            suppress_health_check=list(HealthCheck),
        ),
    )


def test_random_faults_violate_no_guarantee():
    _run_machine(EXAMPLES)


@pytest.fixture
def collect_while_parsing(monkeypatch):
    """Let the garbage collector run automatically only within ``ast.parse``."""
    original = ast.parse

    def parse(*arguments, **options):
        gc.enable()
        try:
            return original(*arguments, **options)
        finally:
            gc.disable()

    thresholds = gc.get_threshold()
    monkeypatch.setattr(ast, 'parse', parse)
    gc.disable()
    gc.set_threshold(100, 1, 1)
    yield
    gc.set_threshold(*thresholds)
    gc.enable()


def _leave_failed_task():
    async def fail():
        raise ValueError('left behind')

    async def start_task():
        task = asyncio.get_running_loop().create_task(fail())
        await asyncio.sleep(0)
        # The cycle keeps the task until the next collection.
        cycle = [task]
        cycle.append(cycle)

    asyncio.run(start_task())


def test_leftover_failed_task_does_not_disturb_a_run(collect_while_parsing):
    """Its report during a parse raised ``SystemError`` in a later test."""
    _leave_failed_task()
    _run_machine(1, shrink=False)


def _skip_claim_before_call(monkeypatch):
    async def skip(self):
        return None

    monkeypatch.setattr(Execution, '_claim_key', skip)


def _claim_without_reading_back(monkeypatch):
    async def skip(self, claim):
        return None

    monkeypatch.setattr(ClaimManager, '_wait_confirmed', skip)
    monkeypatch.setattr(
        ClaimManager, '_check_won', lambda self, job, claim: claim
    )


def _last_claim_wins(monkeypatch):
    def fold(self, claim, now):
        entry_key = (claim.account, claim.key)
        self._entries[entry_key] = Entry(claim, KeyState.CLAIMED, now)

    monkeypatch.setattr(Ledger, '_fold_claim', fold)


def _retry_what_may_have_run(monkeypatch):
    def always(error, *, idempotent, delivered, resumable):
        return retries_module.may_retry(
            error,
            idempotent=True,
            delivered=delivered,
            resumable=resumable,
        )

    monkeypatch.setattr(execution_module, 'may_retry', always)


def _settle_uncertain_as_not_run(monkeypatch):
    def abandon(self, claim):
        self.settle(claim, ran=False)

    monkeypatch.setattr(ClaimManager, 'abandon', abandon)


def _resume_without_delivered_text(monkeypatch):
    monkeypatch.setattr(execution_module, 'decode_answer', lambda runs: None)


def _report_every_failure_as_not_run(monkeypatch):
    def describe(self, error):
        return execution_module.DeadlinePassed()

    monkeypatch.setattr(Execution, '_describe_partial', describe)


def _resume_with_full_max_tokens(monkeypatch):
    original = upstreams_module._continue_answer

    def continue_answer(job, answer):
        fields = original(job, answer)
        fields.pop('max_tokens')
        return fields

    monkeypatch.setattr(upstreams_module, '_continue_answer', continue_answer)


def _resolve_conflicts_per_instance(monkeypatch):
    original = SettingsState._update_team
    states = []

    def apply(self, offset, publication):
        if self not in states:
            states.append(self)
        if states.index(self) % 2:
            based_on = self.get_version(publication.team)
            publication = msgspec.structs.replace(
                publication,
                based_on=based_on,
            )
        original(self, offset, publication)

    monkeypatch.setattr(SettingsState, '_update_team', apply)


def _expire_claims_early(monkeypatch):
    original = Ledger.evict_expired

    def forget(self, now):
        self.window_s = 0.5
        original(self, now)

    monkeypatch.setattr(Ledger, 'evict_expired', forget)


MUTANTS = [
    _skip_claim_before_call,
    _claim_without_reading_back,
    _last_claim_wins,
    _retry_what_may_have_run,
    _settle_uncertain_as_not_run,
    _resume_without_delivered_text,
    _report_every_failure_as_not_run,
    _resume_with_full_max_tokens,
    _resolve_conflicts_per_instance,
    _expire_claims_early,
]


@pytest.mark.parametrize('mutate', MUTANTS, ids=lambda mutate: mutate.__name__)
def test_oracle_detects_a_mutant(monkeypatch, mutate):
    mutate(monkeypatch)
    with pytest.raises(AssertionError):
        _run_machine(MUTANT_EXAMPLES, shrink=False)
