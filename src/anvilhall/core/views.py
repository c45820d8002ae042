"""View of the runners, built from a registry that lags.

The registry removes the entry of a runner that stops renewing it, at times also
during an outage of the registry itself. Runners whose entry is missing just
after an outage are therefore kept for a grace period, in which live runners
write their entries again.

A registry that was restored from an older copy starts a new era. For the same
period, its entries are not believed where they are older than what is known of
a runner: that it drains, has restarted or is gone.
"""

import hashlib
from typing import Any

import msgspec

from anvilhall.core.members import Member
from anvilhall.core.positions import UNREAD, Position

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
        '_deferred',
        '_digest',
        '_members',
        '_recovered_at',
        '_versions',
        'covers',
    )

    def __init__(self) -> None:
        """Create an empty view."""
        self._members: dict[str, Member] = {}
        #: Position of the newest applied record by runner. Removed runners keep
        #: theirs, so that stale news does not add them again.
        self._versions: dict[str, Position] = {}
        #: Newest records that wait for the end of the grace period, by runner;
        #: a record without a runner is a removal.
        self._deferred: dict[str, tuple[Position, Member | None]] = {}
        self._contact_at: float | None = None
        self._digest: int | None = None
        #: Position up to which the view covers the registry's records.
        self.covers = UNREAD
        self._recovered_at = -RECOVERY_GRACE_S

    @property
    def members(self) -> tuple[Member, ...]:
        """The runners, including those whose removal is pending."""
        return tuple(self._members.values())

    def find(self, name: str) -> Member | None:
        """Return a runner by name, if it is listed."""
        return self._members.get(name)

    def get_version(self, name: str) -> Position:
        """Return the position of a runner's newest record."""
        deferred = self._deferred.get(name)
        return deferred[0] if deferred else self._versions.get(name, UNREAD)

    @property
    def digest(self) -> int:
        """Hash of the runners, to compare views of different instances."""
        if self._digest is None:
            members = sorted(self._members.values(), key=_get_name)
            encoded = msgspec.json.encode([_describe(each) for each in members])
            hashed = hashlib.blake2b(encoded, digest_size=_DIGEST_BYTES)
            self._digest = int.from_bytes(hashed.digest())
        return self._digest

    @property
    def has_deferred(self) -> bool:
        """Whether records wait for the end of the grace period."""
        return bool(self._deferred)

    def has_newer(self, covers: Position) -> bool:
        """Return whether any record has this position or a higher one."""
        return max(self._versions.values(), default=UNREAD) >= covers

    def list_entries(self) -> list[tuple[Position, Member]]:
        """Return the runners, each after the position of its record."""
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

    def note_era(self, era: int, now: float) -> None:
        """Note the era of the registry; call this before applying its records.

        Starts the grace period if the registry was restored.
        """
        if 0 <= self.covers.era < era:
            self._recovered_at = now

    def put(self, member: Member, version: Position, now: float) -> None:
        """Add or update a runner, unless a newer record has been applied.

        During the grace period, a record that is older than what is known from
        an earlier era is deferred to :meth:`expire`.
        """
        if version < self.get_version(member.name):
            return
        if self._is_recovering(now) and self._is_outdated(member, version):
            self._deferred[member.name] = (version, member)
        else:
            self._apply(member, version)

    def remove(self, name: str, version: Position, now: float) -> None:
        """Remove a runner, unless a newer record has been applied.

        During the grace period, the removal is deferred to :meth:`expire`.
        """
        if version < self.get_version(name):
            return
        if self._is_recovering(now) and name in self._members:
            self._deferred[name] = (version, None)
        else:
            self._versions[name] = version
            self._deferred.pop(name, None)
            self._drop(name)

    def keep_only(self, names: set[str], end: Position, now: float) -> None:
        """Remove the runners that a complete list of entries does not name.

        :param end: position up to which the list covers the registry's records.
        """
        for name in self._members.keys() - names:
            self.remove(name, end, now)
        # Entries of a copy that have gone since.
        for unlisted in self._deferred.keys() - names - self._members.keys():
            self.remove(unlisted, end, now)

    def expire(self, now: float) -> None:
        """Apply the deferred records once the grace period is over."""
        if self._is_recovering(now):
            return
        for name, (version, member) in list(self._deferred.items()):
            if member:
                self._apply(member, version)
            else:
                self.remove(name, version, now)

    def _is_recovering(self, now: float) -> bool:
        return now - self._recovered_at < RECOVERY_GRACE_S

    def _is_outdated(self, member: Member, version: Position) -> bool:
        """Return whether more is known of a runner from an earlier era."""
        applied = self._versions.get(member.name)
        if applied is None or applied.era >= version.era:
            return False
        known = self._members.get(member.name)
        if known is None or member.born < known.born:
            return True
        return (
            known.leaving and not member.leaving and member.born == known.born
        )

    def _apply(self, member: Member, version: Position) -> None:
        known = self._members.get(member.name)
        if known and not member.version:
            # A peer of an older build passes records on without the version.
            same = version == self._versions.get(member.name)
            member = _add_version(member, known) if same else member
        self._versions[member.name] = version
        self._deferred.pop(member.name, None)
        if known != member:
            self._members[member.name] = member
            self._digest = None

    def _drop(self, name: str) -> None:
        if self._members.pop(name, None):
            self._digest = None


def _add_version(member: Member, known: Member) -> Member:
    return msgspec.structs.replace(member, version=known.version)


def _get_name(member: Member) -> str:
    return member.name


def _describe(member: Member) -> dict[str, Any]:
    """Return the fields of a runner for a digest.

    Builds that do not know reclaimable runners have the same digest while there
    are none.
    """
    fields: dict[str, Any] = msgspec.to_builtins(member)
    if not member.reclaimable and member.leaves_in_s is None:
        fields.pop('reclaimable')
        fields.pop('leaves_in_s')
    return fields
