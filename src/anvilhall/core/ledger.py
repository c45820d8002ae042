"""Claims on idempotency keys, folded from the platform's log.

A keyed request runs once: its instance claims the key in the log before the
request is sent, and the claim with the lowest offset wins. All instances fold
the same records with the same function, so they agree on the winner.

A log that comes back from an older copy has lost claims. An instance keeps
those that it knows, and writes back what is missing.
"""

import collections
import enum

import msgspec

from anvilhall.core.positions import Position

#: Stream of the log that holds claims.
CLAIMS_STREAM = 'claims'


class Claim(msgspec.Struct, frozen=True, array_like=True):
    """An instance's claim to run the request of an idempotency key."""

    #: Unique identifier. If the answer to the append is lost, the instance
    #: finds its claim in the log by it.
    id: str
    account: str
    key: str
    #: Hash of the request, which detects reuse of a key for another request.
    digest: str
    instance: str


class Settlement(msgspec.Struct, frozen=True, array_like=True):
    """Outcome of a claim."""

    claim_id: str
    account: str
    key: str
    #: Whether the request ran to its end. If not, it was not sent to any
    #: upstream, and the key is free again.
    ran: bool


class LedgerBatch(msgspec.Struct, frozen=True):
    """One record of the stream: claims and settlements of one instance."""

    claims: tuple[Claim, ...] = ()
    settlements: tuple[Settlement, ...] = ()


class KeyState(enum.Enum):
    """State of an idempotency key."""

    #: The key has no claim; a request may claim it.
    FREE = 'free'
    #: The key has a claim without a settlement: its request may be running.
    CLAIMED = 'claimed'
    #: The claimed request ran to its end.
    RAN = 'ran'


class Entry(msgspec.Struct, frozen=True):
    """The winning claim of a key and its state."""

    claim: Claim
    state: KeyState
    #: Monotonic time at which this instance read the claim. Changes of the wall
    #: clock can't shorten the window.
    read_at: float


#: Monotonic time at which a claim was read, and its account and key.
_ReadTime = tuple[float, tuple[str, str]]


class Ledger:
    """Winning claims within the window, by account and key.

    :param window_s: seconds for which a claim is kept after it was read.
    """

    __slots__ = ('_entries', '_read_order', 'covers', 'era', 'window_s')

    def __init__(self, window_s: float, era: int = -1) -> None:
        """Start empty, before the first record.

        :param era: era of the log to which the offsets belong; -1: unknown.
        """
        self.window_s = window_s
        self.era = era
        #: Offset of the last folded record; -1: none.
        self.covers = -1
        self._entries: dict[tuple[str, str], Entry] = {}
        self._read_order: collections.deque[_ReadTime] = collections.deque()

    def __len__(self) -> int:
        """Return the number of winning claims."""
        return len(self._entries)

    def get(self, account: str, key: str) -> Entry | None:
        """Return the winning claim of a key; ``None`` if the key is free."""
        return self._entries.get((account, key))

    def fold(
        self,
        offset: int,
        batch: LedgerBatch | None,
        now: float,
    ) -> None:
        """Apply the record at an offset; ignore it if it was folded before.

        :param batch: the record; ``None`` if it could not be decoded.
        :param now: monotonic seconds.
        """
        if offset <= self.covers:
            return
        self.covers = offset
        if batch is None:
            return
        for claim in batch.claims:
            self._fold_claim(claim, now)
        for settlement in batch.settlements:
            self._fold_settlement(settlement)

    @property
    def position(self) -> Position:
        """Position of the record to fold next."""
        return Position(self.era, self.covers + 1)

    def adopt(self, known: 'Ledger') -> list[Entry]:
        """Take over the claims of the ledger of an earlier era.

        They hold even if the restored log has others on the same keys, because
        their requests may have run.

        :return: the claims that the log lacks, or whose end it lacks.
        """
        lost: list[Entry] = []
        for account_key, entry in known._entries.items():
            listed = self._entries.get(account_key)
            if listed and _is_at_least(listed, entry):
                continue
            lost.append(entry)
            self._entries[account_key] = entry
            self._read_order.append((entry.read_at, account_key))
        self._read_order = collections.deque(sorted(self._read_order))
        return lost

    def skip_to(self, start: int) -> None:
        """Continue at an offset because the log has lost the records before.

        :param start: offset of the first record that is still available.
        """
        self.covers = max(self.covers, start - 1)

    def evict_expired(self, now: float) -> None:
        """Remove claims that were read longer ago than the window."""
        while self._read_order and self._read_order[0][0] < now - self.window_s:
            read_at, account_key = self._read_order.popleft()
            entry = self._entries.get(account_key)
            if entry and entry.read_at <= read_at:
                self._entries.pop(account_key)

    def _fold_claim(self, claim: Claim, now: float) -> None:
        account_key = (claim.account, claim.key)
        if account_key in self._entries:
            return
        self._entries[account_key] = Entry(claim, KeyState.CLAIMED, now)
        self._read_order.append((now, account_key))

    def _fold_settlement(self, settlement: Settlement) -> None:
        account_key = (settlement.account, settlement.key)
        entry = self._entries.get(account_key)
        if entry is None or entry.claim.id != settlement.claim_id:
            return
        if settlement.ran:
            self._entries[account_key] = msgspec.structs.replace(
                entry,
                state=KeyState.RAN,
            )
        else:
            self._entries.pop(account_key)


def _is_at_least(listed: Entry, known: Entry) -> bool:
    """Return whether the log has all that is known of a claim."""
    return listed.claim.id == known.claim.id and (
        listed.state is KeyState.RAN or known.state is listed.state
    )


def decode_batch(raw: object) -> LedgerBatch | None:
    """Decode one record of the claims stream; ``None`` if it is invalid."""
    try:
        return msgspec.convert(raw, LedgerBatch)
    except msgspec.ValidationError:
        return None
