"""Usage accounting: requests that began to run, by window and account.

Each instance counts its own requests. Counts only grow, so that copies of them
are merged by their maximum, in any order and any number of times.
"""

import itertools
import math
from collections.abc import Container, Iterable, Iterator, Mapping

import msgspec

#: Seconds that the clocks of two instances may differ.
CLOCK_TOLERANCE_S = 1.0
#: Seconds before a report is due at which its counts are decided, whoever has
#: not sent its own by then. The API may be down for 3 to 4 s.
_DECISION_MARGIN_S = 4.0
#: Seconds within which the instances have sent a new reader their last windows.
_SETTLING_S = 2.5
#: Counts in one message, so that it stays far below the limit of the links.
_MAX_COUNTS = 4000
#: Revision that each receiver has before its first acknowledgement.
UNSENT = -1

#: Name and start identifier of the instance that counted.
_Origin = tuple[str, int]


class UsageRow(msgspec.Struct, frozen=True, array_like=True):
    """Cumulative counts of one window by one process."""

    instance: str
    #: Random identifier of the process.
    start: int
    window: int
    #: Requests by account.
    counts: dict[str, int]


class UsageDecision(msgspec.Struct, frozen=True):
    """What is reported of a window."""

    #: Requests by account.
    counts: dict[str, int]
    #: Newest window that the API had accepted with all before it; -1: none.
    accepted: int = -1

    def encode(self) -> bytes:
        """Return JSON that is the same for the same decision."""
        return msgspec.json.encode(self, order='deterministic')


class WindowSchedule:
    """When windows begin, end and are decided.

    :param window_s: length of a window; the first began with 1970.
    :param due_s: seconds from the end of a window until its report is due.
    """

    __slots__ = ('_decide_after_s', '_window_s')

    def __init__(self, window_s: float, due_s: float) -> None:
        """Keep the lengths."""
        self._window_s = window_s
        self._decide_after_s = max(due_s - _DECISION_MARGIN_S, 0.0)

    def find_window(self, time_s: float) -> int:
        """Return the number of the window at a Unix time."""
        return int(time_s // self._window_s)

    def get_begin_s(self, window: int) -> float:
        """Return the Unix time at which a window begins."""
        return window * self._window_s

    def find_whole(self, time_s: float) -> int:
        """Return the newest window that surely ended before a Unix time.

        :param time_s: stated by the clock of some instance.
        """
        return self.find_window(time_s - CLOCK_TOLERANCE_S) - 1

    def is_last_moment(
        self, window: int, now_s: float, reader_since_s: float
    ) -> bool:
        """Return whether a window must be decided with what is known.

        :param reader_since_s: Unix time at which this instance became a
            registry reader.
        """
        limit_s = self.get_begin_s(window + 1) + self._decide_after_s
        return now_s >= max(limit_s, reader_since_s + _SETTLING_S)


class _Counts:
    """Counts of one window by one process, with their changes."""

    __slots__ = ('by_account', 'changed', 'revision')

    def __init__(self) -> None:
        self.by_account: dict[str, int] = {}
        #: Revision of the last change of each account that is passed on.
        self.changed: dict[str, int] = {}
        #: Highest of them.
        self.revision = 0

    def note_change(self, account: str, revision: int) -> None:
        self.changed[account] = revision
        self.revision = revision

    def list_changes(self, after: int) -> dict[str, int]:
        """Return the counts that changed after a revision."""
        if after == UNSENT:
            return dict(self.by_account)
        if self.revision <= after:
            return {}
        return {
            account: self.by_account[account]
            for account, revision in self.changed.items()
            if revision > after
        }


class UsageLedger:
    """Counts of this instance and those that it has received.

    :param instance: name of this instance.
    :param start: identifier of this process.
    """

    __slots__ = ('_newest', '_oldest', '_origin', '_windows', 'revision')

    def __init__(self, instance: str, start: int) -> None:
        """Start without counts; none is merged before :meth:`set_range`."""
        self._origin: _Origin = (instance, start)
        self._windows: dict[int, dict[_Origin, _Counts]] = {}
        self._oldest = 0
        self._newest = -1
        #: Number of the last change that is passed on.
        self.revision = 0

    @property
    def oldest(self) -> int:
        """Oldest window of which all received counts are still kept."""
        return self._oldest

    def set_range(self, oldest: int, newest: int) -> None:
        """Limit the windows that are kept, and drop the others.

        :param oldest: has no effect if it was higher at an earlier call.
        :param newest: newer ones are not merged; a peer's clock is wrong.
        """
        self._oldest = max(self._oldest, oldest)
        self._newest = newest
        for window in list(self._windows):
            if window < self._oldest:
                self._windows.pop(window)

    def count(self, window: int, account: str) -> None:
        """Count a request of this instance."""
        if window < self._oldest:
            return
        counts = self._get_counts(window, self._origin)
        counts.by_account[account] = counts.by_account.get(account, 0) + 1
        self.revision += 1
        counts.note_change(account, self.revision)

    def merge(self, rows: Iterable[UsageRow], *, pass_on: bool) -> None:
        """Merge received counts.

        :param pass_on: whether receivers that know the counts sent before get
            these as well, instead of new receivers only.
        """
        if pass_on:
            self.revision += 1
        for row in rows:
            origin = (row.instance, row.start)
            if self._oldest <= row.window <= self._newest:
                self._merge_row(
                    row, self._get_counts(row.window, origin), pass_on
                )

    def has_counts(self, window: int) -> bool:
        """Return whether any request of a window is known."""
        return window in self._windows

    def find_first(self) -> int | None:
        """Return the oldest window of which a request is known."""
        return min(self._windows, default=None)

    def sum_window(self, window: int) -> dict[str, int]:
        """Return the number of requests of each account in a window."""
        total: dict[str, int] = {}
        for counts in self._windows.get(window, {}).values():
            for account, number in counts.by_account.items():
                total[account] = total.get(account, 0) + number
        return total

    def list_changes(self, after: int) -> list[UsageRow]:
        """Return the counts that changed after a revision.

        :param after: :data:`UNSENT` for all counts, including those that are
            not passed on otherwise.
        """
        rows: list[UsageRow] = []
        for window, origins in sorted(self._windows.items()):
            for (instance, start), counts in origins.items():
                changes = counts.list_changes(after)
                if changes:
                    rows.append(UsageRow(instance, start, window, changes))
        return rows

    def _merge_row(self, row: UsageRow, counts: _Counts, pass_on: bool) -> None:
        for account, number in row.counts.items():
            if number > counts.by_account.get(account, 0):
                counts.by_account[account] = number
                if pass_on:
                    counts.note_change(account, self.revision)

    def _get_counts(self, window: int, origin: _Origin) -> _Counts:
        origins = self._windows.setdefault(window, {})
        return origins.setdefault(origin, _Counts())


def split_rows(rows: Iterable[UsageRow]) -> list[tuple[UsageRow, ...]]:
    """Divide rows among messages; there is at least one."""
    messages: list[list[UsageRow]] = [[]]
    room = _MAX_COUNTS
    for part in itertools.chain.from_iterable(map(_split_row, rows)):
        if len(part.counts) > room and messages[-1]:
            messages.append([])
            room = _MAX_COUNTS
        messages[-1].append(part)
        room -= len(part.counts)
    return [tuple(message) for message in messages]


def _split_row(row: UsageRow) -> Iterator[UsageRow]:
    counts = iter(row.counts.items())
    while part := dict(itertools.islice(counts, _MAX_COUNTS)):
        yield msgspec.structs.replace(row, counts=part)


class UsageReceipts:
    """Revisions of the ledger that other instances have received."""

    __slots__ = ('_received',)

    def __init__(self) -> None:
        """Start with none."""
        #: Start identifier and revision by instance.
        self._received: dict[str, tuple[int, int]] = {}

    def get_revision(self, instance: str) -> int:
        """Return the revision that an instance has, or :data:`UNSENT`."""
        return self._received.get(instance, (0, UNSENT))[1]

    def note(self, instance: str, start: int, revision: int) -> None:
        """Note an acknowledgement.

        :param start: identifier of the process that acknowledges. One that has
            followed another lacks what that one had acknowledged.
        """
        known, acknowledged = self._received.get(instance, (start, UNSENT))
        if known != start:
            self._received[instance] = (start, UNSENT)
        elif revision > acknowledged:
            self._received[instance] = (start, revision)

    def keep(self, instances: Container[str]) -> None:
        """Forget all other instances, so that they get everything again."""
        for name in list(self._received):
            if name not in instances:
                self._received.pop(name)


class CountedSpan(msgspec.Struct, frozen=True):
    """Time that the counts of an instance cover, in Unix seconds."""

    #: When its process started.
    began_s: float
    #: Time until which its counts are complete: at a reader, those of its
    #: domain.
    complete_s: float


class CountedSpans:
    """What the counts of each instance cover, as it has stated last."""

    __slots__ = ('_spans',)

    def __init__(self) -> None:
        """Start with none."""
        self._spans: dict[str, CountedSpan] = {}

    def note(self, instance: str, span: CountedSpan) -> None:
        """Replace what an instance has stated."""
        self._spans[instance] = span

    def keep(self, instances: Container[str]) -> None:
        """Forget all other instances."""
        for name in list(self._spans):
            if name not in instances:
                self._spans.pop(name)

    def find_complete_s(self, instances: Iterable[str]) -> float:
        """Return until when the counts of all these instances are complete.

        :return: 0 if one has stated nothing.
        """
        return min(
            (
                self._spans[name].complete_s if name in self._spans else 0.0
                for name in instances
            ),
            default=0.0,
        )

    def find_began_s(self) -> float:
        """Return when the first of the processes started; infinite: none."""
        return min(
            (span.began_s for span in self._spans.values()),
            default=math.inf,
        )

    def covers(self, begin_s: float, end_s: float) -> bool:
        """Return whether one of the processes ran for a whole time."""
        return any(
            span.began_s <= begin_s and span.complete_s >= end_s
            for span in self._spans.values()
        )


class UsageBacklog:
    """Windows that the holder has to decide and to report, in order.

    :param next_window: first window that is not decided yet.
    :param decided: counts of windows that are decided and may not have been
        accepted, in order.
    :param accepted: newest window that the API has accepted; -1: none.
    """

    __slots__ = ('accepted', 'decided', 'next_window')

    def __init__(
        self,
        next_window: int,
        decided: dict[int, dict[str, int]],
        accepted: int,
    ) -> None:
        """Start with what is left to do."""
        self.next_window = next_window
        self.decided = decided
        self.accepted = accepted

    @classmethod
    def from_decisions(
        cls, decisions: Mapping[int, UsageDecision], first: int
    ) -> 'UsageBacklog':
        """Continue the work of earlier holders.

        :param decisions: decisions by window.
        :param first: window to begin with if there is no decision.
        """
        accepted = max(
            (decision.accepted for decision in decisions.values()), default=-1
        )
        decided = {
            window: decisions[window].counts
            for window in sorted(decisions)
            if window > accepted
        }
        return cls(max(decisions, default=first - 1) + 1, decided, accepted)

    def add_decided(self, counts: dict[str, int]) -> None:
        """Note the counts in force of the next window."""
        self.decided[self.next_window] = counts
        self.next_window += 1

    def note_accepted(self, window: int) -> None:
        """Note that the API has accepted the oldest decided window."""
        self.decided.pop(window)
        self.accepted = window

    def drop(self, window: int) -> None:
        """Give up a decided window that the API refuses."""
        self.decided.pop(window)
