"""The operators' HTTP interface: health, readiness, metrics and status."""

from collections.abc import Callable
from typing import Any, Protocol

import msgspec
from prometheus_client import CONTENT_TYPE_LATEST
from tornado.web import Application, RequestHandler

from anvilhall.core.owner import OwnedSummary
from anvilhall.metrics import Metrics

_CONTENT_TYPE = 'Content-Type'
_UNAVAILABLE = 503


class Status(msgspec.Struct, frozen=True, kw_only=True):
    """State of one instance."""

    instance: str
    failure_domain: str
    ready: bool
    draining: bool
    #: Log offset of the settings in force; -1: none.
    settings_version: int
    #: Log offset up to which publications have been processed.
    settings_covers: int
    #: Number of accepted publications of each team.
    teams: dict[str, int]
    open_requests: int
    #: Live instances in this instance's region.
    live: list[str]
    #: Instances with an open link to this one.
    linked: list[str]
    #: One entry per shard that this instance owns.
    owned: list[OwnedSummary]
    #: Idempotency keys with a claim in the ledger.
    claims: int
    #: Prompt parts that are refused together, as they have crashed runners.
    quarantined: list[tuple[str, ...]] = []
    #: Instance that holds the duties, as far as this one has read, and the
    #: token of its term; empty and 0: unknown, as at all but the readers.
    duty_holder: str = ''
    duty_token: int = 0


class Readiness(Protocol):
    """State that the readiness check reads."""

    @property
    def ready(self) -> bool:
        """Whether a load balancer should send requests to this instance."""


class HealthHandler(RequestHandler):
    """Liveness check: answers as long as the event loop runs."""

    def get(self) -> None:
        """Answer 200."""
        self.finish('healthy\n')


class ReadinessHandler(RequestHandler):
    """Readiness check for load balancers."""

    def initialize(self, gate: Readiness) -> None:
        """Store the source of the readiness state."""
        self._gate = gate

    def get(self) -> None:
        """Answer 200 if the instance is ready, else 503."""
        if self._gate.ready:
            self.finish('ready\n')
        else:
            self.set_status(_UNAVAILABLE)
            self.finish('not ready\n')


class MetricsHandler(RequestHandler):
    """Serves the metrics to Prometheus."""

    def initialize(self, metrics: Metrics) -> None:
        """Store the metrics."""
        self._metrics = metrics

    def get(self) -> None:
        """Answer with all metrics in Prometheus' text format."""
        self.set_header(_CONTENT_TYPE, CONTENT_TYPE_LATEST)
        self.finish(self._metrics.render())


class StatusHandler(RequestHandler):
    """Serves the instance's status as JSON."""

    def initialize(self, get_status: Callable[[], Status]) -> None:
        """Store the function that returns the status."""
        self._get_status = get_status

    def get(self) -> None:
        """Answer with the current status."""
        self.set_header(_CONTENT_TYPE, 'application/json')
        self.finish(msgspec.json.encode(self._get_status()))


def build_operator_app(
    gate: Readiness,
    metrics: Metrics,
    get_status: Callable[[], Status],
) -> Application:
    """Return the tornado application of the operators' interface.

    :param get_status: returns the current status of the instance.
    """
    with_gate: dict[str, Any] = {'gate': gate}
    return Application(
        [
            ('/health', HealthHandler),
            ('/ready', ReadinessHandler, with_gate),
            ('/metrics', MetricsHandler, {'metrics': metrics}),
            ('/status', StatusHandler, {'get_status': get_status}),
        ],
        log_function=_skip_request_log,
    )


def _skip_request_log(handler: RequestHandler) -> None:
    """Replace tornado's access log, which writes a line per request."""
