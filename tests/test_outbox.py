"""Callbacks follow the step in which they arise."""

import pytest

from anvilhall.core.outbox import Outbox


def test_callback_runs_at_once_outside_of_a_step():
    called = []
    Outbox().post(lambda: called.append('now'))
    assert called == ['now']


# Guards against callbacks that change the state that a step iterates over.
def test_callbacks_follow_the_outermost_step_in_order():
    outbox = Outbox()
    called = []
    with outbox.run_step():
        outbox.post(lambda: called.append('first'))
        with outbox.run_step():
            outbox.post(lambda: outbox.post(lambda: called.append('third')))
        outbox.post(lambda: called.append('second'))
        assert called == []
    assert called == ['first', 'second', 'third']


def _fail():
    raise ValueError('broken callback')


# Guards against a change that is applied half, as one callback of it failed.
def test_failed_callback_is_reported_and_keeps_none_from_its_call():
    outbox = Outbox()
    called = []
    reported = []
    outbox.on_error = reported.append
    with outbox.run_step():
        outbox.post(_fail)
        outbox.post(lambda: called.append('later'))
    assert called == ['later']
    assert [str(error) for error in reported] == ['broken callback']


def test_failed_callback_is_raised_without_a_receiver_of_errors():
    outbox = Outbox()
    called = []
    with pytest.raises(ValueError, match='broken callback'), outbox.run_step():
        outbox.post(_fail)
        outbox.post(lambda: called.append('later'))
    assert called == ['later']


def test_callbacks_of_a_failed_step_are_called():
    outbox = Outbox()
    called = []
    with pytest.raises(KeyError), outbox.run_step():
        outbox.post(lambda: called.append('still'))
        raise KeyError('step')
    assert called == ['still']


# Guards against an outbox that calls nothing any more.
def test_failed_receiver_of_errors_does_not_stop_later_callbacks():
    outbox = Outbox()
    called = []

    def fail_too(error):
        raise OSError('log') from error

    outbox.on_error = fail_too
    with pytest.raises(OSError, match='log'):
        outbox.post(_fail)
    outbox.post(lambda: called.append('later'))
    assert called == ['later']
