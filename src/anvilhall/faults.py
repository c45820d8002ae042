"""Reports of faults of this program that do not end it."""

from collections.abc import Callable

from anvilhall.core.messages import get_request_id
from anvilhall.exceptions import AnswerCut, AnvilhallError, InternalRefusal
from anvilhall.logs import log_event
from anvilhall.metrics import Metrics

#: Requests that one log line names.
_SHOWN_REQUESTS = 8
#: ``Retry-After`` of requests that were cancelled before they were sent, in
#: seconds.
_RETRY_AFTER_S = 0.5


def build_fault_error(
    fault: BaseException, *, begun: bool, may_have_run: bool
) -> AnvilhallError:
    """Return the error of a request that a fault of this program ends.

    :param begun: whether the caller has got a part of the response.
    :param may_have_run: whether the request was sent to a runner.
    """
    reason = f'{type(fault).__name__}: {fault}'
    if begun:
        return AnswerCut(f'{AnvilhallError.code}: {reason}')
    if may_have_run or isinstance(fault, Exception):
        # After an exception, what is noted of the request may be wrong.
        return AnvilhallError(reason)
    return InternalRefusal(reason, _RETRY_AFTER_S)


def drop_tracebacks(error: BaseException | None) -> None:
    """Forget where an error and its causes were raised.

    An error that is kept by a function which it has passed through would keep
    all that these functions refer to until the garbage collector runs.
    """
    while error is not None:
        cause = error.__cause__ or error.__context__
        error.__traceback__ = None
        error.__cause__ = None
        error.__context__ = None
        error = cause


def report_internal_error(metrics: Metrics, error: BaseException) -> None:
    """Log and count an exception that is a fault of this program."""
    kind = type(error).__name__
    metrics.internal_errors.labels(kind).inc()
    log_event('internal_error', error=kind, reason=str(error))


def run_steps(metrics: Metrics, *steps: Callable[[], None]) -> None:
    """Run all steps of a change; report those that fail.

    The later steps of a change are needed whether or not an earlier one has
    failed: without them it would be applied by half.
    """
    for step in steps:
        try:
            step()
        except Exception as error:  # noqa: BLE001
            report_internal_error(metrics, error)


def report_reclaimed(
    metrics: Metrics, pool: str, instance: str, request_ids: list[str]
) -> None:
    """Log and count slots that were taken although no request held them.

    :param pool: empty: those of all pools.
    :param instance: instance that did not hold them.
    """
    metrics.reclaimed_grants.inc(len(request_ids))
    log_event(
        'grants_reclaimed',
        pool=pool,
        instance=instance,
        request_ids=list(map(get_request_id, request_ids[:_SHOWN_REQUESTS])),
        count=len(request_ids),
    )
