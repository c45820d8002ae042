"""The view of the runners that a lagging registry gives.

The registry drops the entry of a runner that falls silent, at times also while
the registry itself is away. So what is missing just after its return is kept
for a while: a live runner writes its entry again.
"""

import hashlib

import msgspec

from anvilhall.core.members import Member

#: Seconds without contact from which the registry counts as away: beyond the
#: pause after which an instance whose reader is late reads by itself. Entries
#: lapse after more than three seconds of silence.
OUTAGE_AFTER_S = 2.0
#: Seconds after the registry's return within which live runners are back.
RECOVERY_GRACE_S = 2.0
#: Bytes of a digest: views are compared a few times a second.
_DIGEST_BYTES = 8


class RunnerView:
    """Runners by name, from the records of a registry and peers' news."""

    __slots__ = (
        '_contact_at',
        '_digest',
        '_members',
        '_missing',
        '_returned_at',
        '_versions',
        'covers',
    )

    def __init__(self) -> None:
        """Start empty."""
        self._members: dict[str, Member] = {}
        #: Offset of the newest record taken in by name; kept for runners that
        #: are gone, so that late news does not bring them back.
        self._versions: dict[str, int] = {}
        #: Runners without an entry that may come back.
        self._missing: set[str] = set()
        self._contact_at: float | None = None
        self._digest: int | None = None
        #: Offset up to which the view covers the registry's records.
        self.covers = -1
        self._returned_at = -RECOVERY_GRACE_S

    @property
    def members(self) -> tuple[Member, ...]:
        """The runners, those included that may come back."""
        return tuple(self._members.values())

    def get_version(self, name: str) -> int:
        """Return the offset of the newest record of a runner; -1: none."""
        return self._versions.get(name, -1)

    @property
    def digest(self) -> int:
        """Number that tells views with different runners apart."""
        if self._digest is None:
            members = sorted(self._members.values(), key=_get_name)
            encoded = msgspec.json.encode(members)
            hashed = hashlib.blake2b(encoded, digest_size=_DIGEST_BYTES)
            self._digest = int.from_bytes(hashed.digest())
        return self._digest

    @property
    def has_pending_removals(self) -> bool:
        """Whether runners without an entry may still come back."""
        return bool(self._missing)

    def has_newer(self, covers: int) -> bool:
        """Return whether the view holds a record from an offset on."""
        return max(self._versions.values(), default=-1) >= covers

    def list_entries(self) -> list[tuple[int, Member]]:
        """Return the runners, each with the offset of its newest record."""
        return [
            (self._versions[name], member)
            for name, member in self._members.items()
        ]

    def note_contact(self, now: float) -> None:
        """Note an answer of the registry, before what it says is put in."""
        last = self._contact_at
        if last is not None and now - last > OUTAGE_AFTER_S:
            self._returned_at = now
        self._contact_at = now

    def measure_age_s(self, now: float) -> float | None:
        """Return the seconds since the last contact; ``None``: never."""
        return None if self._contact_at is None else now - self._contact_at

    def put(self, member: Member, version: int) -> None:
        """Take in the entry of a runner, unless a newer one is known."""
        if version < self.get_version(member.name):
            return
        self._versions[member.name] = version
        self._missing.discard(member.name)
        if self._members.get(member.name) != member:
            self._members[member.name] = member
            self._digest = None

    def remove(self, name: str, version: int, now: float) -> None:
        """Take in that a runner has no entry any more."""
        if version < self.get_version(name):
            return
        self._versions[name] = version
        if now - self._returned_at < RECOVERY_GRACE_S and name in self._members:
            self._missing.add(name)
        else:
            self._drop(name)

    def keep_only(self, names: set[str], end: int, now: float) -> None:
        """Take in a complete list of the runners that have an entry.

        :param end: offset up to which the list covers the records.
        """
        for name in list(self._members):
            if name not in names:
                self.remove(name, end, now)

    def expire(self, now: float) -> None:
        """Drop the runners that did not come back in time."""
        if self._missing and now - self._returned_at >= RECOVERY_GRACE_S:
            for name in self._missing:
                self._drop(name)
            self._missing.clear()

    def _drop(self, name: str) -> None:
        if self._members.pop(name, None):
            self._digest = None


def _get_name(member: Member) -> str:
    return member.name
