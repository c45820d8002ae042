"""Run-once claims on idempotency keys, folded from the platform's log.

The first claim of a key by offset wins. Every instance folds the same records
with the same function, so all agree on the winner.
"""

import collections
import enum

import msgspec

#: Stream of the log that holds claims.
CLAIMS_STREAM = 'claims'


class Claim(msgspec.Struct, frozen=True, array_like=True):
    """An instance's statement that it will run a keyed request."""

    #: Identifies this claim, so that a lost answer can be looked for.
    id: str
    account: str
    key: str
    #: Hash of the request, to recognise a key reused for something else.
    digest: str
    instance: str


class Settlement(msgspec.Struct, frozen=True, array_like=True):
    """What became of a claim."""

    claim_id: str
    account: str
    key: str
    #: Whether the request ran to its end; if not, it was never sent.
    ran: bool


class LedgerBatch(msgspec.Struct, frozen=True):
    """One record of the stream: what one instance had to say at a time."""

    claims: tuple[Claim, ...] = ()
    settlements: tuple[Settlement, ...] = ()


class KeyState(enum.Enum):
    """What is known about an idempotency key."""

    #: No claim stands; a request may claim the key.
    FREE = 'free'
    #: A claim stands and nothing is known of its end.
    CLAIMED = 'claimed'
    #: The claimed request ran to its end.
    RAN = 'ran'


class Entry(msgspec.Struct, frozen=True):
    """The standing claim of a key."""

    claim: Claim
    state: KeyState
    #: When this instance read it, in monotonic seconds: clocks that jump
    #: can't shorten the window.
    read_at: float


_Aged = tuple[float, tuple[str, str]]


class Ledger:
    """All claims younger than the window, by account and key.

    :param window_s: seconds that a claim is kept after it was read.
    """

    __slots__ = ('_by_age', '_entries', 'covers', 'window_s')

    def __init__(self, window_s: float) -> None:
        """Start before the first record."""
        self.window_s = window_s
        #: Offset of the last record folded.
        self.covers = -1
        self._entries: dict[tuple[str, str], Entry] = {}
        self._by_age: collections.deque[_Aged] = collections.deque()

    def __len__(self) -> int:
        """Return the number of standing claims."""
        return len(self._entries)

    def get(self, account: str, key: str) -> Entry | None:
        """Return the standing claim of a key."""
        return self._entries.get((account, key))

    def fold(
        self,
        offset: int,
        batch: LedgerBatch | None,
        now: float,
    ) -> None:
        """Take in the record at an offset; records seen before are skipped.

        :param batch: the record; ``None`` if it could not be read.
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

    def skip_to(self, start: int) -> None:
        """Go on reading at an offset: the records before it are lost."""
        self.covers = max(self.covers, start - 1)

    def evict_expired(self, now: float) -> None:
        """Drop claims that are older than the window."""
        while self._by_age and self._by_age[0][0] < now - self.window_s:
            read_at, place = self._by_age.popleft()
            entry = self._entries.get(place)
            if entry and entry.read_at <= read_at:
                self._entries.pop(place)

    def _fold_claim(self, claim: Claim, now: float) -> None:
        place = (claim.account, claim.key)
        if place in self._entries:
            return
        self._entries[place] = Entry(claim, KeyState.CLAIMED, now)
        self._by_age.append((now, place))

    def _fold_settlement(self, settlement: Settlement) -> None:
        place = (settlement.account, settlement.key)
        entry = self._entries.get(place)
        if entry is None or entry.claim.id != settlement.claim_id:
            return
        if settlement.ran:
            self._entries[place] = msgspec.structs.replace(
                entry,
                state=KeyState.RAN,
            )
        else:
            self._entries.pop(place)


def decode_batch(raw: object) -> LedgerBatch | None:
    """Read one record of the claims stream; ``None`` if it is not one."""
    try:
        return msgspec.convert(raw, LedgerBatch)
    except msgspec.ValidationError:
        return None
