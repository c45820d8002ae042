"""Reports of faults of this program that do not end it."""

from collections.abc import Callable

from anvilhall.logs import log_event
from anvilhall.metrics import Metrics

#: Requests that one log line names.
_SHOWN_REQUESTS = 8


def report_internal_error(metrics: Metrics, error: Exception) -> None:
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
        request_ids=request_ids[:_SHOWN_REQUESTS],
        count=len(request_ids),
    )
