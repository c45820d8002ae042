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
    """What one instance has in force and sees."""

    instance: str
    failure_domain: str
    ready: bool
    draining: bool
    #: Offset of the publication in force; -1: none.
    settings_version: int
    #: Offset up to which publications have been folded.
    settings_covers: int
    #: Number of accepted publications by team.
    teams: dict[str, int]
    open_requests: int
    #: Live instances of the own region.
    live: list[str]
    #: Instances with an open link.
    linked: list[str]
    owned: list[OwnedSummary]
    #: Idempotency keys with a standing claim.
    claims: int


class Readiness(Protocol):
    """Tells whether an instance takes requests."""

    @property
    def ready(self) -> bool:
        """Whether the balancer should send requests here."""


class HealthHandler(RequestHandler):
    """Answers whether the process works at all."""

    def get(self) -> None:
        """Answer 200."""
        self.finish('healthy\n')


class ReadinessHandler(RequestHandler):
    """Answers whether the balancer should send requests here."""

    def initialize(self, gate: Readiness) -> None:
        """Take the gate from the application."""
        self._gate = gate

    def get(self) -> None:
        """Answer 200 or 503."""
        if self._gate.ready:
            self.finish('ready\n')
        else:
            self.set_status(_UNAVAILABLE)
            self.finish('not ready\n')


class MetricsHandler(RequestHandler):
    """Serves all metrics."""

    def initialize(self, metrics: Metrics) -> None:
        """Take the metrics from the application."""
        self._metrics = metrics

    def get(self) -> None:
        """Answer in Prometheus' text format."""
        self.set_header(_CONTENT_TYPE, CONTENT_TYPE_LATEST)
        self.finish(self._metrics.render())


class StatusHandler(RequestHandler):
    """Serves the status as JSON."""

    def initialize(self, describe: Callable[[], Status]) -> None:
        """Take the source from the application."""
        self._describe = describe

    def get(self) -> None:
        """Answer with the status."""
        self.set_header(_CONTENT_TYPE, 'application/json')
        self.finish(msgspec.json.encode(self._describe()))


def build_operator_app(
    gate: Readiness,
    metrics: Metrics,
    describe: Callable[[], Status],
) -> Application:
    """Return the application of the operators' interface."""
    with_gate: dict[str, Any] = {'gate': gate}
    return Application(
        [
            ('/health', HealthHandler),
            ('/ready', ReadinessHandler, with_gate),
            ('/metrics', MetricsHandler, {'metrics': metrics}),
            ('/status', StatusHandler, {'describe': describe}),
        ],
        log_function=_log_nothing,
    )


def _log_nothing(handler: RequestHandler) -> None:
    """Keep tornado from writing a line for each request."""
