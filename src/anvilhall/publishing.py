"""What operators do with the settings stream: read, compare and publish."""

import asyncio
import difflib
import enum
import getpass
import time
import uuid
from typing import Any

import msgspec

from anvilhall.core.publication import (
    SETTINGS_STREAM,
    Publication,
    SettingsState,
    Verdict,
    decode_record,
)
from anvilhall.core.settings import JsonObject, TeamNode, decode_node
from anvilhall.core.tree import Tree
from anvilhall.exceptions import (
    AppendUncertain,
    LogUnavailable,
    RecordsExpired,
)
from anvilhall.logservice import LogClient

#: Seconds between looks for a publication whose append got no answer.
_POLL_S = 0.2


class PublishOutcome(enum.Enum):
    """What became of a publication, as far as the operator can know."""

    #: In force.
    ACCEPTED = 'accepted'
    #: Another publication of the team came first.
    LOST = 'lost'
    #: Written, but the settings have faults together with those in force.
    FAULTY = 'faulty'
    #: Certainly not written.
    NOT_WRITTEN = 'not_written'
    #: The log did not say, and the record has not been found.
    UNKNOWN = 'unknown'


class PublishReport(msgspec.Struct, frozen=True):
    """The end of one publication."""

    team: str
    outcome: PublishOutcome
    id: str
    verdict: Verdict | None = None
    reason: str = ''


class Reading:
    """The settings stream read up to its end.

    :param state: the folded settings.
    :param publications: all that the log still keeps, with their verdicts.
    """

    __slots__ = ('publications', 'state')

    def __init__(self) -> None:
        """Start before the first record."""
        self.state = SettingsState()
        self.publications: list[tuple[Publication, Verdict]] = []

    def find(self, publication_id: str) -> Verdict | None:
        """Return the verdict on a publication, if it is in the log."""
        for publication, verdict in self.publications:
            if publication.id == publication_id:
                return verdict
        return None


async def read_settings(log: LogClient) -> Reading:
    """Read and fold the whole stream.

    :raises LogUnavailable: if the log does not answer.
    """
    reading = Reading()
    known: dict[int, Publication] = {}
    while True:
        offset = reading.state.next_offset
        try:
            page = await log.read(SETTINGS_STREAM, offset, 0)
        except RecordsExpired:
            reading.state.skip_to(await log.find_oldest_offset(SETTINGS_STREAM))
            continue
        for record in page.records:
            parsed = decode_record(record.body)
            if isinstance(parsed, Publication):
                known[record.offset] = parsed
            for verdict in reading.state.fold(record.offset, parsed):
                entry = (known[verdict.offset], verdict)
                reading.publications.append(entry)
        if reading.state.next_offset >= page.end:
            return reading


def check_nodes(raw: JsonObject, state: SettingsState | None = None) -> Tree:
    """Check settings, together with those in force if they are given.

    :param raw: each team's part by its path, as decoded JSON.
    :raises SettingsFaulty: with the place and reason of each fault.
    """
    nodes: dict[str, TeamNode] = {}
    if state:
        for team, part in state.teams.items():
            nodes[team] = decode_node(part.node, team)
    for path, node in raw.items():
        nodes[path] = decode_node(node, path)
    return Tree(nodes)


def list_changes(raw: JsonObject, state: SettingsState) -> list[str]:
    """Return the lines of a unified diff from what is in force to a file."""
    lines: list[str] = []
    for team, node in sorted(raw.items()):
        part = state.teams.get(team)
        before = format_json(part.node) if part else ''
        after = format_json(node)
        lines.extend(
            difflib.unified_diff(
                before.splitlines(),
                after.splitlines(),
                f'in force/{team}',
                f'file/{team}',
                lineterm='',
            ),
        )
    return lines


async def publish_team(
    log: LogClient,
    publication: Publication,
    patience_s: float,
) -> PublishReport:
    """Append a publication and find out what became of it.

    :param patience_s: how long to look for it after a lost answer.
    """
    try:
        await log.append(SETTINGS_STREAM, msgspec.to_builtins(publication))
    except LogUnavailable as error:
        return PublishReport(
            publication.team,
            PublishOutcome.NOT_WRITTEN,
            publication.id,
            reason=error.reason,
        )
    except AppendUncertain:
        return await _look_for(log, publication, patience_s)
    return await _look_for(log, publication, patience_s)


def build_publication(
    team: str, node: JsonObject, based_on: int
) -> Publication:
    """Return a publication with an identifier of its own."""
    return Publication(
        id=uuid.uuid4().hex,
        team=team,
        based_on=based_on,
        node=node,
        author=getpass.getuser(),
    )


def format_json(document: Any) -> str:
    """Return JSON with sorted keys and indentation."""
    encoded = msgspec.json.encode(document, order='sorted')
    return msgspec.json.format(encoded, indent=2).decode()


async def _look_for(
    log: LogClient,
    publication: Publication,
    patience_s: float,
) -> PublishReport:
    give_up_at = time.monotonic() + patience_s
    while time.monotonic() < give_up_at:
        try:
            reading = await read_settings(log)
        except LogUnavailable:
            await asyncio.sleep(_POLL_S)
            continue
        verdict = reading.find(publication.id)
        if verdict:
            return _report(publication, verdict)
        await asyncio.sleep(_POLL_S)
    return PublishReport(
        publication.team,
        PublishOutcome.UNKNOWN,
        publication.id,
        reason='not found in the log; look again with: anvilhall history',
    )


def _report(publication: Publication, verdict: Verdict) -> PublishReport:
    outcome = PublishOutcome.ACCEPTED
    if verdict.code == 'version_conflict':
        outcome = PublishOutcome.LOST
    elif verdict.code:
        outcome = PublishOutcome.FAULTY
    return PublishReport(
        publication.team,
        outcome,
        publication.id,
        verdict,
        verdict.reason,
    )
