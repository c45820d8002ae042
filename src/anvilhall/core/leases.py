"""Lease under which one instance at a time performs the duties.

The state of one candidate: the terms and decisions that it has read from the
topic of the duties, and the lease of its own term. Each record is appended on
the condition that its writer has read all records before it. Times are seconds
on a clock that does not stop while the process is suspended.
"""

import enum
from collections.abc import Iterable, Iterator, Mapping

import msgspec

#: Length of the lease in seconds. A lost holder is replaced within 6 s: lease,
#: delay by rank, and the calls to the store and the API.
LEASE_S = 4.0
#: Rest of the lease in seconds below which its holder sends no call. A call
#: arrives within two connection attempts and a retransmission.
MARGIN_S = 1.0
#: Seconds between two records of a holder.
RENEWAL_S = 1.0
#: Seconds by which candidates of successive ranks are apart. An append takes a
#: few milliseconds, so that the next candidate reads the term before its turn.
RANK_DELAY_S = 0.25
#: Seconds for which decisions are kept, as long as the store keeps records.
RETENTION_S = 300.0
#: Added to tokens for each time that the store was restored, in milliseconds.
#: A token that was lost with its record stays below the next one although the
#: wall clock of its writer was ahead, as long as clocks differ by less.
_ERA_STEP_MS = 60_000
_MS_PER_S = 1000


class RecordKind(enum.Enum):
    """What a record of the topic states."""

    TERM = 'term'
    RENEWAL = 'renewal'
    DECISION = 'decision'
    RELEASE = 'release'


class TermId(msgspec.Struct, frozen=True):
    """A term: the time for which an instance holds the duties at a stretch."""

    #: Name of the instance.
    holder: str
    #: Random, so that an instance knows its own terms across its restarts.
    identifier: str
    #: Fencing token; larger than those of all terms before.
    token: int
    lease_ms: int


class LeaseRecord(msgspec.Struct, frozen=True):
    """A record of the topic.

    Every record names its term whole: the record that began the term may have
    expired or been lost.
    """

    kind: RecordKind
    term: TermId
    #: Number of the record in its term.
    number: int
    #: Of a decision.
    key: str = ''
    content: bytes = b''


class Decision(msgspec.Struct, frozen=True):
    """Newest decision of a key."""

    #: Token and number of the record, which order decisions of a key.
    version: tuple[int, int]
    content: bytes
    #: When this instance read or wrote it.
    noted_at: float


class Decisions(Mapping[str, bytes]):
    """Contents of the newest decision of each key."""

    __slots__ = ('_by_key', '_unstored')

    def __init__(self) -> None:
        """Start without decisions."""
        self._by_key: dict[str, Decision] = {}
        #: Keys whose decision has not been read since records were lost.
        self._unstored: set[str] = set()

    def __getitem__(self, key: str) -> bytes:
        """Return the content of the newest decision of a key."""
        return self._by_key[key].content

    def __iter__(self) -> Iterator[str]:
        """Iterate over the keys, that of the oldest decision first."""
        return iter(self._by_key)

    def __len__(self) -> int:
        """Return the number of keys."""
        return len(self._by_key)

    def find(self, key: str) -> Decision | None:
        """Return the newest decision of a key."""
        return self._by_key.get(key)

    def has(self, key: str, content: bytes, now: float) -> bool:
        """Return whether a content is decided and will be kept for a while."""
        known = self._by_key.get(key)
        return (
            known is not None
            and known.content == content
            and now < known.noted_at + RETENTION_S / 2
        )

    def note(self, record: LeaseRecord, now: float) -> None:
        """Keep a decision unless a newer one of its key is known."""
        version = (record.term.token, record.number)
        known = self._by_key.get(record.key)
        if known is None or known.version < version:
            self._by_key.pop(record.key, None)
            self._by_key[record.key] = Decision(version, record.content, now)
        if self._by_key[record.key].version == version:
            self._unstored.discard(record.key)
        self._drop_expired(now)

    def note_gap(self) -> None:
        """Note that the topic may have lost the decisions."""
        self._unstored.update(self._by_key)

    def list_unstored(self) -> list[tuple[str, bytes]]:
        """Return the keys and contents that the topic may have lost."""
        return [(key, self[key]) for key in self if key in self._unstored]

    def _drop_expired(self, now: float) -> None:
        while self._by_key:
            key, oldest = next(iter(self._by_key.items()))
            if oldest.noted_at + RETENTION_S > now:
                return
            self._by_key.pop(key)
            self._unstored.discard(key)


class Lease:
    """The duties' lease as one candidate knows it.

    :param instance: name of the candidate.
    """

    __slots__ = (
        '_heard_at',
        '_highest',
        '_instance',
        '_number',
        '_own',
        '_released',
        '_rest_until',
        '_sent_at',
        '_until',
        'decisions',
        'newest',
    )

    def __init__(self, instance: str) -> None:
        """Start without having read the topic."""
        self._instance = instance
        #: Newest term that was read since the last gap; ``None``: none.
        self.newest: TermId | None = None
        self.decisions = Decisions()
        #: Highest token that was read, in all eras of the store.
        self._highest = 0
        #: Whether the holder of the newest term has given it up.
        self._released = False
        #: When the last record of the newest term was read.
        self._heard_at = 0.0
        #: Time before which this candidate begins no term; ``None``: the topic
        #: has not been read since the start or the last gap.
        self._rest_until: float | None = None
        #: Own term, which may not have been recorded yet.
        self._own: TermId | None = None
        self._number = 0
        #: When the own records were sent that may yet be recorded, by number.
        self._sent_at: dict[int, float] = {}
        #: End of the lease of the own term.
        self._until = 0.0

    @property
    def held(self) -> TermId | None:
        """Own term if it is the newest one; its lease may have ended."""
        if self._own is None or self._own != self.newest or self._released:
            return None
        return self._own

    def measure_rest_s(self, term: TermId, now: float) -> float:
        """Return the seconds left of the lease of an own term; 0: none."""
        if self.held != term:
            return 0.0
        return max(0.0, self._until - now)

    def apply(self, records: Iterable[LeaseRecord], now: float) -> None:
        """Apply records in the order of the topic.

        :param now: time after they were read.
        """
        for record in records:
            self._apply_record(record, now)

    def note_complete(self, now: float) -> None:
        """Note that the topic has been read to its end."""
        if self._rest_until is None:
            # Records of a term that is in force may have been lost.
            self._rest_until = now + LEASE_S

    def note_gap(self, now: float) -> None:
        """Note that records may have been lost, and all are read again.

        They may have named a newer term. Only an own term whose lease lasts is
        kept, as no other one can have begun. A lost term of a higher token is
        forgotten, as its token would hide the records of one that goes on.
        """
        self._rest_until = None
        self._sent_at.clear()
        self.decisions.note_gap()
        if self._own is None or not self.measure_rest_s(self._own, now):
            self._drop_own()
            self.newest = None
            self._released = False

    def compute_begin_at(self, rank: int) -> float | None:
        """Return the time from which on this candidate may begin a term.

        :param rank: number of candidates that go before this one.
        :return: ``None`` if the topic has not been read to its end.
        """
        if self._rest_until is None:
            return None
        begin_at = self._rest_until
        if self.newest:
            lease_s = max(LEASE_S, self.newest.lease_ms / _MS_PER_S)
            silent_s = 0.0 if self._released else lease_s
            begin_at = max(begin_at, self._heard_at + silent_s)
        return begin_at + rank * RANK_DELAY_S

    def begin_term(
        self, identifier: str, wall_ms: int, era: int, now: float
    ) -> LeaseRecord:
        """Return the record that begins a term of this candidate.

        :param identifier: random identifier, used unless an attempt whose
            record may yet be recorded is repeated.
        :param wall_ms: wall-clock time in Unix milliseconds.
        :param era: how often the store was restored.
        """
        if self._own is None or 0 not in self._sent_at:
            token = max(self._highest + 1, wall_ms + era * _ERA_STEP_MS)
            lease_ms = int(LEASE_S * _MS_PER_S)
            self._drop_own()
            self._own = TermId(self._instance, identifier, token, lease_ms)
        # A repeated attempt is the same record, and either one may be recorded.
        self._sent_at.setdefault(0, now)
        return LeaseRecord(RecordKind.TERM, self._own, 0)

    def build_decisions(
        self, contents: Iterable[tuple[str, bytes]], now: float
    ) -> tuple[LeaseRecord, ...]:
        """Return records of decisions, by key, of the own term.

        :param now: time before they are sent.
        """
        return tuple(
            self.build_record(RecordKind.DECISION, now, key, content)
            for key, content in contents
        )

    def build_record(
        self, kind: RecordKind, now: float, key: str = '', content: bytes = b''
    ) -> LeaseRecord:
        """Return the next record of the own term.

        :param now: time before the record is sent.
        """
        assert self._own  # noqa: S101
        if kind is RecordKind.RELEASE:
            # Whether or not this is known to be recorded, another candidate
            # may read it and begin a term.
            self._until = 0.0
        self._number += 1
        self._sent_at[self._number] = now
        return LeaseRecord(kind, self._own, self._number, key, content)

    def note_refused(self, records: Iterable[LeaseRecord]) -> None:
        """Note that own records were not recorded and will not be."""
        for record in records:
            if record.term == self._own:
                self._sent_at.pop(record.number, None)

    def _apply_record(self, record: LeaseRecord, now: float) -> None:
        term = record.term
        self._highest = max(self._highest, term.token)
        if self.newest is None or term.token > self.newest.token:
            self._begin_newest(term, now)
        if term != self.newest:
            # Late record of an earlier term, or of an earlier era.
            return
        self._heard_at = now
        if record.kind is RecordKind.RELEASE:
            self._released = True
        elif record.kind is RecordKind.DECISION:
            self.decisions.note(record, now)
        if term == self._own:
            self._extend_lease(record.number)

    def _extend_lease(self, number: int) -> None:
        """Extend the own lease, as one of its records has been recorded."""
        sent_at = self._sent_at.get(number)
        if sent_at is not None:
            self._until = max(self._until, sent_at + LEASE_S)
        # The end of the topic that the earlier records name has passed.
        self._sent_at = {
            later: at for later, at in self._sent_at.items() if later > number
        }

    def _begin_newest(self, term: TermId, now: float) -> None:
        held_before = self.newest and self.newest.holder == self._instance
        replaced = held_before and term.holder != self._instance
        if replaced and self._rest_until is not None:
            # An instance that another one has replaced waits, so that calls of
            # three terms never alternate within the length of a lease.
            self._rest_until = max(self._rest_until, now + LEASE_S)
        if term != self._own:
            self._drop_own()
        self.newest = term
        self._released = False

    def _drop_own(self) -> None:
        self._own = None
        self._number = 0
        self._sent_at.clear()
