"""Admission checks and counters for requests of callers."""

from collections.abc import Callable

from anvilhall.core.tree import Tree
from anvilhall.exceptions import (
    AnvilhallError,
    CallerGone,
    NotReady,
    Outcome,
    ShuttingDown,
    TooManyConnections,
)
from anvilhall.metrics import Metrics


class Gate:
    """Admits requests while the instance is ready and below its limit.

    :param get_tree: returns the current settings, or ``None``.
    :param metrics: counts requests, errors and bytes.
    """

    __slots__ = ('_get_tree', '_metrics', 'draining', 'open_requests')

    def __init__(
        self,
        get_tree: Callable[[], Tree | None],
        metrics: Metrics,
    ) -> None:
        """Admit requests as soon as there are settings."""
        self._get_tree = get_tree
        self._metrics = metrics
        #: Whether the instance is shutting down and refuses new requests.
        self.draining = False
        self.open_requests = 0

    @property
    def ready(self) -> bool:
        """Whether new requests are admitted."""
        return not self.draining and self._get_tree() is not None

    @property
    def tree(self) -> Tree:
        """The current settings.

        :raises NotReady: if no settings have been received yet.
        """
        tree = self._get_tree()
        if tree is None:
            raise NotReady(retry_after_s=1.0)
        return tree

    def admit(self) -> None:
        """Admit a request and count it as open.

        :raises ShuttingDown: if the instance is shutting down.
        :raises NotReady: if no settings have been received yet.
        :raises TooManyConnections: if the limit of open requests is reached.
        """
        if self.draining:
            raise ShuttingDown(retry_after_s=1.0)
        if self.open_requests >= self.tree.guards.open_requests:
            raise TooManyConnections(retry_after_s=1.0)
        self.open_requests += 1
        self._metrics.open_requests.set(self.open_requests)

    def release(self) -> None:
        """Count an admitted request as ended."""
        self.open_requests -= 1
        self._metrics.open_requests.set(self.open_requests)

    def count_request(self, class_name: str) -> None:
        """Count a request by its class."""
        self._metrics.requests.labels(class_name).inc()

    def count_error(self, error: AnvilhallError, class_name: str) -> None:
        """Count the error with which a request ended."""
        refused = error.outcome is Outcome.NOT_RUN
        counter = self._metrics.refusals if refused else self._metrics.failures
        counter.labels(error.code, class_name).inc()

    def count_disconnect(self, class_name: str) -> None:
        """Count a request whose caller disconnected."""
        self._metrics.failures.labels(CallerGone.code, class_name).inc()

    def count_relayed_bytes(self, size: int) -> None:
        """Count bytes of responses that were sent to callers."""
        self._metrics.bytes_relayed.inc(size)
