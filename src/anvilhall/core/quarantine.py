"""Prompts that crash runners and are therefore refused.

An entry names the parts that the prompts have in common; a prompt with all of
them is refused, whichever instance, pool or client account it comes to. Every
instance keeps all entries. After a while, one such request is let through as a
probe, and if it is served, the entry is withdrawn.
"""

import collections
import hashlib
from collections.abc import Callable, Iterable
from typing import Annotated

import msgspec

from anvilhall.exceptions import Quarantined

#: Seconds until the first probe, the factor by which the interval to each
#: further one grows, and its upper limit. A probe may crash a runner.
_PROBE_INTERVAL_S = 10.0
_PROBE_FACTOR = 4.0
_PROBE_INTERVAL_MAX_S = 3600.0
#: Failed probes after which the interval no longer grows.
_MAX_STRIKES = 16
#: Least seconds between two crashes that count as failed probes. Requests that
#: were already on their way to runners fail at about the same time.
_STRIKE_INTERVAL_S = 5.0
#: Limit on the entries, withdrawn ones included; the oldest are dropped.
_MAX_ENTRIES = 256
_KEY_BYTES = 8
_MAX_KEY_CHARACTERS = 64


class QuarantineEntry(msgspec.Struct, frozen=True):
    """Parts that crash runners if a prompt has all of them."""

    #: Identifies the entry for good; its parts may change.
    key: Annotated[str, msgspec.Meta(max_length=_MAX_KEY_CHARACTERS)]
    #: Empty: the entry is withdrawn.
    parts: tuple[str, ...]
    #: Increases with each change; of two versions, the higher one holds.
    version: Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)] = 1
    #: Probes that have crashed a runner.
    strikes: Annotated[int, msgspec.Meta(ge=0, lt=2**31)] = 0

    @property
    def order(self) -> tuple[int, int, tuple[str, ...]]:
        """Order of versions; the last one holds on every instance."""
        return self.version, -len(self.parts), self.parts


class _Probe:
    """When an entry may be probed next, and the probe that runs."""

    __slots__ = ('next_at', 'request_id', 'struck_at')

    def __init__(self, next_at: float, now: float) -> None:
        self.next_at = next_at
        self.request_id = ''
        #: Monotonic time of the last failed probe, or of the entry's arrival.
        self.struck_at = now


class Quarantine:
    """Entries in force on this instance."""

    __slots__ = ('_entries', '_probes', 'change_count', 'on_decision')

    def __init__(self) -> None:
        """Start without entries."""
        self._entries: collections.OrderedDict[str, QuarantineEntry] = (
            collections.OrderedDict()
        )
        self._probes: dict[str, _Probe] = {}
        #: Number of changes so far.
        self.change_count = 0
        #: Called with each entry that this instance has added or changed.
        self.on_decision: Callable[[QuarantineEntry], None] = _do_nothing

    @property
    def entries(self) -> tuple[QuarantineEntry, ...]:
        """All entries, withdrawn ones included."""
        return tuple(self._entries.values())

    def list_parts(self) -> list[tuple[str, ...]]:
        """Return the parts of each entry in force."""
        return [entry.parts for entry in self._entries.values() if entry.parts]

    def find(self, parts: Iterable[str]) -> QuarantineEntry | None:
        """Return the entry that a prompt with these parts matches."""
        if not self._entries:
            return None
        present = set(parts)
        for entry in self._entries.values():
            if entry.parts and present.issuperset(entry.parts):
                return entry
        return None

    def check(
        self,
        request_id: str,
        parts: Iterable[str],
        now: float,
        *,
        may_probe: bool,
    ) -> None:
        """Refuse a request whose prompt matches an entry.

        :param may_probe: whether it may be let through if a probe is due.
        :param now: monotonic seconds.
        :raises Quarantined: if the request must not run; the error states the
            seconds until the next probe.
        """
        entry = self.find(parts)
        if entry is None:
            return
        probe = self._probes[entry.key]
        if probe.request_id == request_id:
            return
        if may_probe and not probe.request_id and now >= probe.next_at:
            probe.request_id = request_id
            return
        raise Quarantined(
            f'prompts with {", ".join(entry.parts)} have crashed runners',
            max(1.0, probe.next_at - now),
        )

    def add(self, parts: tuple[str, ...], now: float) -> None:
        """Add a cause of crashes that this instance has found.

        If an entry shares parts with it, those are what crashes runners, and
        the entry is narrowed to them.
        """
        for similar in self.entries:
            common = tuple(part for part in similar.parts if part in parts)
            if common:
                self._decide(_change(similar, parts=common), now)
                return
        digest = hashlib.blake2b(
            '+'.join(parts).encode(), digest_size=_KEY_BYTES
        )
        key = digest.hexdigest()
        known = self._entries.get(key)
        version = known.version + 1 if known else 1
        self._decide(QuarantineEntry(key, parts, version), now)

    def apply(self, entry: QuarantineEntry, now: float) -> bool:
        """Apply an entry of another instance or of the platform's store.

        :return: whether it was new.
        """
        known = self._entries.get(entry.key)
        if known and known.order >= entry.order:
            return False
        self._set_entry(entry, now)
        return True

    def note_served(self, parts: Iterable[str], now: float) -> None:
        """Withdraw entries, or remove parts from them, that were served."""
        served = set(parts)
        for entry in self.entries:
            if served.isdisjoint(entry.parts):
                continue
            left = tuple(part for part in entry.parts if part not in served)
            self._decide(_change(entry, parts=left), now)

    def note_loss(self, parts: Iterable[str], now: float) -> bool:
        """Note that a runner has crashed under a request.

        :return: whether an entry explains it. The next probe is then later.
        """
        entry = self.find(parts)
        if entry is None:
            return False
        probe = self._probes[entry.key]
        if now - probe.struck_at >= _STRIKE_INTERVAL_S:
            self._decide(_change(entry, strikes=entry.strikes + 1), now)
        return True

    def end_probe(self, request_id: str) -> None:
        """Allow another probe after a request that may have been one."""
        for probe in self._probes.values():
            if probe.request_id == request_id:
                probe.request_id = ''

    def _decide(self, entry: QuarantineEntry, now: float) -> None:
        self._set_entry(entry, now)
        self.on_decision(entry)

    def _set_entry(self, entry: QuarantineEntry, now: float) -> None:
        strikes = min(max(entry.strikes, 0), _MAX_STRIKES)
        interval_s = min(
            _PROBE_INTERVAL_S * _PROBE_FACTOR**strikes,
            _PROBE_INTERVAL_MAX_S,
        )
        known = self._probes.get(entry.key)
        probe = _Probe(now + interval_s, now)
        probe.request_id = known.request_id if known else ''
        self._entries[entry.key] = entry
        self._probes[entry.key] = probe
        self.change_count += 1
        while len(self._entries) > _MAX_ENTRIES:
            oldest, _ = self._entries.popitem(last=False)
            self._probes.pop(oldest)


def _change(entry: QuarantineEntry, **fields: object) -> QuarantineEntry:
    return msgspec.structs.replace(entry, version=entry.version + 1, **fields)


def _do_nothing(_: QuarantineEntry) -> None:
    """Do nothing."""
