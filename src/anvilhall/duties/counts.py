"""Exchange of the counts of requests between instances."""

import random
from collections.abc import Mapping

from anvilhall.core.messages import Message, UsageCounts, UsageReceived
from anvilhall.core.usage import (
    UNSENT,
    CountedSpan,
    CountedSpans,
    UsageLedger,
    UsageReceipts,
    WindowSchedule,
    split_rows,
)
from anvilhall.core.walltime import WallTime
from anvilhall.duties.base import DutyServices
from anvilhall.exceptions import PeerUnreachable
from anvilhall.logs import log_event

_MS_PER_S = 1000
#: Windows are kept for this many times the time until their report is due: the
#: decision may be late after an outage of the store.
_KEPT_DUES = 3
#: Windows ahead of the own clock that are merged.
_AHEAD = 2
_START_BITS = 48


class UsageExchange:
    """Counts requests, and passes counts on to the registry readers.

    :param services: dependencies of the duties.
    :param start: identifier of this process.
    """

    __slots__ = (
        '_began_s',
        '_instance',
        '_ledger',
        '_reader_since_s',
        '_receipts',
        '_spans',
        '_stated',
        '_services',
        '_start',
        '_wall',
        'decided',
        'schedule',
    )

    def __init__(self, services: DutyServices, start: int) -> None:
        """Start to count, and register the message handlers."""
        self._services = services
        self._instance = services.config.instance
        self._start = start
        self.schedule = WindowSchedule(
            services.duties.window_s, services.duties.report_due_s
        )
        self._ledger = UsageLedger(self._instance, start)
        self._receipts = UsageReceipts()
        self._spans = CountedSpans()
        #: Newest whole and newest decided window stated to each receiver.
        self._stated: dict[str, tuple[int, int]] = {}
        clock = services.clock
        self._wall = WallTime(clock.boottime(), clock.now().timestamp())
        self._began_s = self.read_time_s()
        #: When this instance became a registry reader; ``None``: it is none.
        self._reader_since_s: float | None = None
        #: Newest window known to be decided; -1: none. It is known here even if
        #: the store has lost the decision.
        self.decided = -1
        self._set_range()
        fleet = services.fleet
        fleet.add_handler(UsageCounts, self._handle_counts)
        fleet.add_handler(UsageReceived, self._handle_received)

    @classmethod
    def from_services(cls, services: DutyServices) -> 'UsageExchange':
        """Create the exchange of a process that has just started."""
        start = random.SystemRandom().getrandbits(_START_BITS)
        return cls(services, start)

    def read_time_s(self) -> float:
        """Return the Unix time, whose jumps on this instance are left out."""
        clock = self._services.clock
        return self._wall.read(clock.boottime(), clock.now().timestamp())

    def count_run(self, account: str) -> None:
        """Count a request of an account that begins to run now."""
        self._services.metrics.usage_requests.inc()
        window = self.schedule.find_window(self.read_time_s())
        self._ledger.count(window, account)

    def update(self) -> None:
        """Send what has changed to the registry readers."""
        self._check_time()
        self._set_range()
        fleet = self._services.fleet
        self._spans.keep(frozenset(fleet.live))
        receivers = self._list_receivers()
        reached = receivers & fleet.linked
        self._receipts.keep(reached)
        for name in set(self._stated) - reached:
            self._stated.pop(name)
        complete_s = self._find_own_complete_s()
        for receiver in sorted(receivers):
            self._send(receiver, complete_s)

    def is_complete(self, window: int) -> bool:
        """Return whether all live instances have sent a window's counts.

        Only a registry reader can tell.
        """
        if self._find_reader_since_s() is None:
            return False
        complete_s = self._find_own_complete_s()
        others = set(self._readers.values()) - {self._instance}
        if others:
            others_s = self._spans.find_complete_s(others)
            complete_s = min(complete_s, others_s)
        return window <= self.schedule.find_whole(complete_s)

    def is_ready(self, window: int) -> bool:
        """Return whether the counts of a window may be decided."""
        if self.is_complete(window):
            return True
        now_s = self.read_time_s()
        since_s = self._find_reader_since_s()
        if since_s is None:
            return False
        return self.schedule.is_last_moment(window, now_s, since_s)

    def knows(self, window: int) -> bool:
        """Return whether this instance can tell the counts of a window."""
        if window < self._ledger.oldest:
            return False
        if self._ledger.has_counts(window):
            return True
        begin_s = self.schedule.get_begin_s(window)
        end_s = self.schedule.get_begin_s(window + 1)
        ran = self._began_s <= begin_s and self.read_time_s() >= end_s
        return ran or self._spans.covers(begin_s, end_s)

    def sum_window(self, window: int) -> dict[str, int]:
        """Return the number of requests of each account in a window."""
        return self._ledger.sum_window(window)

    def find_first(self) -> int:
        """Return the oldest window of which anything is known."""
        began_s = min(self._began_s, self._spans.find_began_s())
        began = self.schedule.find_window(began_s)
        counted = self._ledger.find_first()
        first = began if counted is None else min(began, counted)
        return max(first, self._ledger.oldest)

    @property
    def _readers(self) -> Mapping[str, str]:
        return self._services.fleet.domains.readers

    def _check_time(self) -> None:
        """Compare the own time with that of the reader or, there, of all."""
        clock = self._services.clock
        reader = self._services.fleet.domains.reader
        shift_s = self._wall.check(
            clock.boottime(),
            clock.now().timestamp(),
            '' if reader == self._instance else reader,
        )
        if shift_s:
            log_event('time_corrected', shift_s=round(shift_s, 3))

    def _note_time(self, sender: str, sent_ms: int) -> None:
        elapsed_s = self._services.clock.boottime()
        self._wall.note_stated(sender, elapsed_s, sent_ms / _MS_PER_S)

    def _set_range(self) -> None:
        now_s = self.read_time_s()
        kept_s = self._services.duties.report_due_s * _KEPT_DUES
        self._ledger.set_range(
            self.schedule.find_window(now_s - kept_s),
            self.schedule.find_window(now_s) + _AHEAD,
        )

    def _find_reader_since_s(self) -> float | None:
        """Return since when this is a registry reader; ``None``: it is none."""
        if self._instance not in self._readers.values():
            self._reader_since_s = None
        elif self._reader_since_s is None:
            self._reader_since_s = self.read_time_s()
        return self._reader_since_s

    def _list_receivers(self) -> set[str]:
        if self._find_reader_since_s() is None:
            receivers = {self._services.fleet.domains.reader}
        else:
            receivers = set(self._readers.values())
        return receivers - {self._instance, ''}

    def _find_own_complete_s(self) -> float:
        """Return until when the counts that this instance sends are complete.

        :return: at a reader, the time that all of its domain have reached.
        """
        now_s = self.read_time_s()
        others = set(self._services.fleet.domains.instances) - {self._instance}
        if not others or self._find_reader_since_s() is None:
            return now_s
        return min(now_s, self._spans.find_complete_s(others))

    def _send(self, receiver: str, complete_s: float) -> None:
        """Send changed counts, or that a window is complete or decided."""
        revision = self._ledger.revision
        acknowledged = self._receipts.get_revision(receiver)
        rows = self._ledger.list_changes(acknowledged)
        stated = (self.schedule.find_whole(complete_s), self.decided)
        if not rows and self._stated.get(receiver) == stated:
            return
        parts = split_rows(rows)
        last = len(parts) - 1
        try:
            for number, part in enumerate(parts):
                self._services.fleet.send(
                    receiver,
                    UsageCounts(
                        start=self._start,
                        began_ms=int(self._began_s * _MS_PER_S),
                        complete_ms=int(complete_s * _MS_PER_S),
                        revision=revision if number == last else UNSENT,
                        rows=part,
                        decided=self.decided,
                        sent_ms=int(
                            self._services.clock.now().timestamp() * _MS_PER_S
                        ),
                    ),
                )
        except PeerUnreachable:
            # What has not been acknowledged is sent again at the next update.
            self._services.metrics.link_messages.labels(
                'out', 'unreachable'
            ).inc()
            return
        self._stated[receiver] = stated

    def _handle_counts(self, sender: str, message: Message) -> None:
        assert isinstance(message, UsageCounts)  # noqa: S101
        own_reader = self._services.fleet.domains.reader
        foreign = sender != own_reader and sender in self._readers.values()
        # The reader of another domain sends its counts to all readers itself.
        self._ledger.merge(message.rows, pass_on=not foreign)
        self.decided = max(self.decided, message.decided)
        if message.revision == UNSENT:
            return
        self._spans.note(
            sender,
            CountedSpan(
                message.began_ms / _MS_PER_S, message.complete_ms / _MS_PER_S
            ),
        )
        self._note_time(sender, message.sent_ms)
        receipt = UsageReceived(
            self._start,
            message.start,
            message.revision,
            int(self.read_time_s() * _MS_PER_S),
        )
        try:
            self._services.fleet.send(sender, receipt)
        except PeerUnreachable:
            # The sender repeats its counts, which changes nothing here.
            self._services.metrics.link_messages.labels(
                'out', 'unreachable'
            ).inc()

    def _handle_received(self, sender: str, message: Message) -> None:
        assert isinstance(message, UsageReceived)  # noqa: S101
        self._note_time(sender, message.sent_ms)
        if message.counted_by == self._start:
            self._receipts.note(sender, message.start, message.revision)
