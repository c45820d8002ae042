"""Settings as a pure fold over the records of the platform's log.

Every instance folds the same records in offset order with the same function,
so races between operators have the same loser everywhere.
"""

from typing import Any

import msgspec

from anvilhall.core.settings import SettingsFaulty, TeamNode, decode_node
from anvilhall.core.tree import Tree
from anvilhall.exceptions import VersionConflict

#: Stream of the log that holds publications and snapshots.
SETTINGS_STREAM = 'settings'
#: Version of a team that has published nothing.
NO_VERSION = 0


class Publication(msgspec.Struct, frozen=True, kw_only=True, tag='publish'):
    """One operator's change of one team's part of the tree."""

    #: Unique identifier, made by the operator's command.
    id: str
    #: Path of the team.
    team: str
    #: Version of the team's part that the change was made from.
    based_on: int
    #: The team's new part of the tree, as JSON.
    node: dict[str, Any]
    author: str = ''


class TeamState(msgspec.Struct, frozen=True, kw_only=True):
    """The accepted part of one team."""

    #: Number of publications accepted so far.
    version: int
    node: dict[str, Any]


class Snapshot(msgspec.Struct, frozen=True, kw_only=True, tag='snapshot'):
    """The folded state up to an offset, for readers that start late."""

    #: Offset of the last record that the snapshot covers.
    covers: int
    #: Offset of the last accepted publication.
    version: int
    teams: dict[str, TeamState]


class Unreadable(msgspec.Struct, frozen=True):
    """A record that this version can't read; it changes nothing."""


SettingsRecord = Publication | Snapshot | Unreadable


class Verdict(msgspec.Struct, frozen=True, kw_only=True):
    """What became of one publication."""

    id: str
    team: str
    offset: int
    #: Version of the team's part after the publication.
    version: int
    #: Code and reason of the refusal; empty: accepted.
    code: str = ''
    reason: str = ''

    @property
    def accepted(self) -> bool:
        """Whether the publication came into force."""
        return not self.code


class SettingsState:
    """The accepted settings after some prefix of the log.

    Offsets of the stream are dense, so that a gap shows as a missing number.
    The version is the offset of the last accepted publication. It only rises.
    """

    __slots__ = ('_held', '_start', 'covers', 'teams', 'tree', 'version')

    def __init__(self) -> None:
        """Start before the first record."""
        self.covers = -1
        self.version = -1
        self.teams: dict[str, TeamState] = {}
        self.tree = Tree({})
        self._start = 0
        self._held: dict[int, SettingsRecord] = {}

    def get_version(self, team: str) -> int:
        """Return how many publications of a team have been accepted."""
        state = self.teams.get(team)
        return state.version if state else NO_VERSION

    def fold(self, offset: int, record: SettingsRecord) -> list[Verdict]:
        """Take in the record at an offset; records seen before are skipped.

        Past a gap, records are held back until a snapshot covers the gap.

        :return: what became of the publications that were folded.
        """
        if offset <= self.covers:
            return []
        self._held[offset] = record
        if isinstance(record, Snapshot):
            self.restore(record)
        return self._fold_held()

    @property
    def next_offset(self) -> int:
        """Offset of the record to read next."""
        if self._held:
            return max(self._held) + 1
        return max(self.covers + 1, self._start)

    def skip_to(self, start: int) -> None:
        """Go on reading at an offset: the records before it are lost."""
        self._start = start

    def restore(self, snapshot: Snapshot) -> bool:
        """Take over a snapshot, unless it is older than what is known."""
        if snapshot.covers <= self.covers:
            return False
        self.teams = dict(snapshot.teams)
        self.tree = _build_tree(self.teams)
        self.covers = snapshot.covers
        self.version = snapshot.version
        self._held = {
            offset: record
            for offset, record in self._held.items()
            if offset > self.covers
        }
        return True

    def take_snapshot(self) -> Snapshot:
        """Return the state for readers that start late."""
        return Snapshot(
            covers=self.covers,
            version=self.version,
            teams=dict(self.teams),
        )

    def _fold_held(self) -> list[Verdict]:
        verdicts: list[Verdict] = []
        while self.covers + 1 in self._held:
            offset = self.covers + 1
            record = self._held.pop(offset)
            self.covers = offset
            if isinstance(record, Publication):
                verdicts.append(self._judge(offset, record))
        return verdicts

    def _judge(self, offset: int, publication: Publication) -> Verdict:
        try:
            self._apply(offset, publication)
        except (SettingsFaulty, VersionConflict) as error:
            return self._pronounce(offset, publication, error)
        return self._pronounce(offset, publication, None)

    def _apply(self, offset: int, publication: Publication) -> None:
        current = self.get_version(publication.team)
        if publication.based_on != current:
            raise VersionConflict(
                f'based on version {publication.based_on}, '
                f'but {current} is in force',
            )
        # Only the changed part is checked again: the others are immutable.
        node = decode_node(publication.node, publication.team)
        nodes = {**self.tree.nodes, publication.team: node}
        self.tree = Tree(nodes)
        self.teams = {
            **self.teams,
            publication.team: TeamState(
                version=current + 1,
                node=publication.node,
            ),
        }
        self.version = offset

    def _pronounce(
        self,
        offset: int,
        publication: Publication,
        error: SettingsFaulty | VersionConflict | None,
    ) -> Verdict:
        return Verdict(
            id=publication.id,
            team=publication.team,
            offset=offset,
            version=self.get_version(publication.team),
            code=error.code if error else '',
            reason=error.reason if error else '',
        )


def decode_record(raw: Any) -> SettingsRecord:
    """Read one record of the settings stream."""
    try:
        return msgspec.convert(raw, Publication | Snapshot)
    except msgspec.ValidationError:
        return Unreadable()


def _build_tree(teams: dict[str, TeamState]) -> Tree:
    nodes: dict[str, TeamNode] = {}
    for path, state in teams.items():
        nodes[path] = decode_node(state.node, path)
    return Tree(nodes)
