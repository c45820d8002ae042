"""View of the runners, built from a registry that lags.

The registry removes the entry of a runner that stops renewing it, at times also
during an outage of the registry itself. Runners whose entry is missing just
after an outage are therefore kept for a grace period, in which live runners
write their entries again.
"""

import hashlib

import msgspec

from anvilhall.core.members import Member

#: Seconds without contact after which the registry counts as unavailable. This
#: exceeds the delay after which an instance whose registry reader is late polls
#: the registry itself. Entries expire after more than three seconds without
#: renewal.
OUTAGE_AFTER_S = 2.0
#: Seconds after an outage of the registry within which live runners have
#: written their entries again.
RECOVERY_GRACE_S = 2.0
#: Size of a digest in bytes; views are compared a few times a second.
_DIGEST_BYTES = 8


class RunnerView:
    """Runners by name, from the registry's records and the news of peers."""

    __slots__ = (
        '_contact_at',
        '_digest',
        '_members',
        '_recovered_at',
        '_removals',
        '_versions',
        'covers',
    )

    def __init__(self) -> None:
        """Create an empty view."""
        self._members: dict[str, Member] = {}
        #: Offset of the newest applied record by runner. Removed runners keep
        #: theirs, so that stale news does not add them again.
        self._versions: dict[str, int] = {}
        #: Runners whose removal waits for the end of the grace period.
        self._removals: set[str] = set()
        self._contact_at: float | None = None
        self._digest: int | None = None
        #: Offset up to which the view covers the registry's records.
        self.covers = -1
        self._recovered_at = -RECOVERY_GRACE_S

    @property
    def members(self) -> tuple[Member, ...]:
        """The runners, including those whose removal is pending."""
        return tuple(self._members.values())

    def get_version(self, name: str) -> int:
        """Return the offset of a runner's newest record, or -1."""
        return self._versions.get(name, -1)

    @property
    def digest(self) -> int:
        """Hash of the runners, to compare views of different instances."""
        if self._digest is None:
            members = sorted(self._members.values(), key=_get_name)
            encoded = msgspec.json.encode(members)
            hashed = hashlib.blake2b(encoded, digest_size=_DIGEST_BYTES)
            self._digest = int.from_bytes(hashed.digest())
        return self._digest

    @property
    def has_pending_removals(self) -> bool:
        """Whether removals wait for the end of the grace period."""
        return bool(self._removals)

    def has_newer(self, covers: int) -> bool:
        """Return whether any record has this offset or a higher one."""
        return max(self._versions.values(), default=-1) >= covers

    def list_entries(self) -> list[tuple[int, Member]]:
        """Return the runners, each after the offset of its newest record."""
        return [
            (self._versions[name], member)
            for name, member in self._members.items()
        ]

    def note_contact(self, now: float) -> None:
        """Note an answer of the registry; call this before applying it.

        Starts the grace period if the registry was unavailable before.
        """
        last = self._contact_at
        if last is not None and now - last > OUTAGE_AFTER_S:
            self._recovered_at = now
        self._contact_at = now

    def measure_age_s(self, now: float) -> float | None:
        """Return the seconds since the registry's last answer.

        :return: ``None`` if there was no answer.
        """
        return None if self._contact_at is None else now - self._contact_at

    def put(self, member: Member, version: int) -> None:
        """Add or update a runner, unless a newer record has been applied."""
        if version < self.get_version(member.name):
            return
        self._versions[member.name] = version
        self._removals.discard(member.name)
        if self._members.get(member.name) != member:
            self._members[member.name] = member
            self._digest = None

    def remove(self, name: str, version: int, now: float) -> None:
        """Remove a runner, unless a newer record has been applied.

        During the grace period, the removal is deferred to :meth:`expire`.
        """
        if version < self.get_version(name):
            return
        self._versions[name] = version
        if (
            now - self._recovered_at < RECOVERY_GRACE_S
            and name in self._members
        ):
            self._removals.add(name)
        else:
            self._drop(name)

    def keep_only(self, names: set[str], end: int, now: float) -> None:
        """Remove the runners that a complete list of entries does not name.

        :param end: offset up to which the list covers the registry's records.
        """
        for name in list(self._members):
            if name not in names:
                self.remove(name, end, now)

    def expire(self, now: float) -> None:
        """Apply the pending removals once the grace period is over."""
        if self._removals and now - self._recovered_at >= RECOVERY_GRACE_S:
            for name in self._removals:
                self._drop(name)
            self._removals.clear()

    def _drop(self, name: str) -> None:
        if self._members.pop(name, None):
            self._digest = None


def _get_name(member: Member) -> str:
    return member.name
