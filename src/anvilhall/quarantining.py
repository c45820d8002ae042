"""Exchange of quarantined prompts between instances."""

from collections.abc import Callable, Iterable

from anvilhall.clock import Clock
from anvilhall.core.messages import Message, QuarantineNews
from anvilhall.core.quarantine import Quarantine, QuarantineEntry
from anvilhall.logs import log_event
from anvilhall.metrics import Metrics

#: Source of entries that were read from the platform's store.
_STORE = 'store'


class QuarantineExchange:
    """Keeps the quarantine of an instance and of its peers the same.

    :param instance: name of this instance.
    :param broadcast: sends a message to all linked instances.
    :param send: sends a message to one of them.
    """

    __slots__ = (
        '_broadcast',
        '_clock',
        '_instance',
        '_metrics',
        '_quarantine',
        '_send',
        'on_decision',
    )

    def __init__(
        self,
        instance: str,
        quarantine: Quarantine,
        clock: Clock,
        metrics: Metrics,
        broadcast: Callable[[Message], None],
        send: Callable[[str, Message], None],
    ) -> None:
        """Announce the decisions of this instance from now on."""
        self._instance = instance
        self._quarantine = quarantine
        self._clock = clock
        self._metrics = metrics
        self._broadcast = broadcast
        self._send = send
        #: Called with each entry that this instance adds or changes.
        self.on_decision: Callable[[QuarantineEntry], None] = _do_nothing
        quarantine.on_decision = self._announce

    def handle_news(self, sender: str, message: Message) -> None:
        """Apply an entry of a peer."""
        assert isinstance(message, QuarantineNews)  # noqa: S101
        self.apply(message.entry, sender)

    def apply(self, entry: QuarantineEntry, source: str) -> None:
        """Apply an entry, and pass it on if it is new."""
        if self._quarantine.apply(entry, self._clock.monotonic()):
            self._log_change(entry, source)
            self._broadcast(QuarantineNews(entry))

    def apply_stored(self, entries: Iterable[QuarantineEntry]) -> None:
        """Apply the entries of the platform's store."""
        for entry in entries:
            self.apply(entry, _STORE)

    def list_unstored(
        self, stored: Iterable[QuarantineEntry]
    ) -> list[QuarantineEntry]:
        """Return the entries of which the store lacks the newest version.

        :param stored: the entries of the platform's store, which lists no
            withdrawn ones.
        """
        orders = {entry.key: entry.order for entry in stored}
        return [
            entry
            for entry in self._quarantine.entries
            if (entry.parts or entry.key in orders)
            and orders.get(entry.key) != entry.order
        ]

    def send_entries(self, instance: str) -> None:
        """Send all entries to an instance whose link has come up."""
        for entry in self._quarantine.entries:
            self._send(instance, QuarantineNews(entry))

    def _announce(self, entry: QuarantineEntry) -> None:
        self._log_change(entry, self._instance)
        self._broadcast(QuarantineNews(entry))
        self.on_decision(entry)

    def _log_change(self, entry: QuarantineEntry, source: str) -> None:
        event = 'in_force' if entry.parts else 'withdrawn'
        self._metrics.quarantine_changes.labels(event).inc()
        log_event(
            'quarantine_changed',
            key=entry.key,
            parts=entry.parts,
            version=entry.version,
            strikes=entry.strikes,
            source=source,
        )


def _do_nothing(_: QuarantineEntry) -> None:
    """Do nothing."""
