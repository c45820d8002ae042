"""Versions of the settings that wait for their turn to come into force."""

import msgspec


class EncodedVersion(msgspec.Struct, frozen=True):
    """A version of the settings of which only the number is decoded."""

    number: int
    encoded: bytes
    #: For the log: ``store`` or the name of an instance.
    source: str


class WaitingVersions:
    """The versions that are newer than the one in force.

    All of them are kept, also the same number from several sources, because the
    newest may turn out to be invalid.
    """

    __slots__ = ('_versions',)

    def __init__(self) -> None:
        """Create an empty collection."""
        #: Versions by number and source.
        self._versions: dict[tuple[int, str], EncodedVersion] = {}

    def __len__(self) -> int:
        """Return how many versions wait."""
        return len(self._versions)

    @property
    def newest(self) -> int:
        """Highest number of a waiting version; -1: none waits."""
        return max((number for number, _ in self._versions), default=-1)

    def add(self, version: EncodedVersion) -> None:
        """Add a version."""
        self._versions[version.number, version.source] = version

    def pop_newest(self) -> EncodedVersion | None:
        """Remove and return the version with the highest number."""
        if not self._versions:
            return None
        return self._versions.pop(max(self._versions))

    def clear(self) -> None:
        """Remove all versions."""
        self._versions.clear()
