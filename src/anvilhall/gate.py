"""What an instance checks and counts for every request of a caller."""

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
    """Admits requests while the instance is ready and not full.

    :param get_tree: returns the settings in force, or ``None``.
    """

    __slots__ = ('_get_tree', '_metrics', 'draining', 'open_requests')

    def __init__(
        self,
        get_tree: Callable[[], Tree | None],
        metrics: Metrics,
    ) -> None:
        """Start open."""
        self._get_tree = get_tree
        self._metrics = metrics
        #: Whether new requests are refused because of a shutdown.
        self.draining = False
        self.open_requests = 0

    @property
    def ready(self) -> bool:
        """Whether new requests are admitted."""
        return not self.draining and self._get_tree() is not None

    @property
    def tree(self) -> Tree:
        """The settings in force.

        :raises NotReady: if there are none yet.
        """
        tree = self._get_tree()
        if tree is None:
            raise NotReady(retry_after_s=1.0)
        return tree

    def admit(self) -> None:
        """Count a request in.

        :raises ShuttingDown: if the instance is shutting down.
        :raises NotReady: if there are no settings yet.
        :raises TooManyConnections: if too many requests are open.
        """
        if self.draining:
            raise ShuttingDown(retry_after_s=1.0)
        if self.open_requests >= self.tree.guards.open_requests:
            raise TooManyConnections(retry_after_s=1.0)
        self.open_requests += 1
        self._metrics.open_requests.set(self.open_requests)

    def release(self) -> None:
        """Count a request out."""
        self.open_requests -= 1
        self._metrics.open_requests.set(self.open_requests)

    def count_request(self, class_name: str) -> None:
        """Count a request whose class is known."""
        self._metrics.requests.labels(class_name).inc()

    def count_error(self, error: AnvilhallError, class_name: str) -> None:
        """Count the error that a request ended with."""
        refused = error.outcome is Outcome.NOT_RUN
        counter = self._metrics.refusals if refused else self._metrics.uncertain
        counter.labels(error.code, class_name).inc()

    def count_disconnect(self, class_name: str) -> None:
        """Count a request whose caller has gone."""
        self._metrics.uncertain.labels(CallerGone.code, class_name).inc()

    def count_relayed_bytes(self, size: int) -> None:
        """Count the bytes of an answer passed on."""
        self._metrics.bytes_relayed.inc(size)
