"""Reads, compares and publishes settings on the platform's log."""

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
    StoreRestored,
)
from anvilhall.logservice import LogClient, Page

#: Seconds between searches of the log for an appended publication.
_POLL_S = 0.2


class PublishOutcome(enum.Enum):
    """Result of a publication, as known to its operator."""

    #: In force.
    ACCEPTED = 'accepted'
    #: Written and rejected: another publication of the team came first.
    LOST = 'lost'
    #: Written and rejected: invalid together with the settings in force.
    FAULTY = 'faulty'
    #: Certainly not written.
    NOT_WRITTEN = 'not_written'
    #: Not found in the log in time; it may have been written or not.
    UNKNOWN = 'unknown'


class PublishReport(msgspec.Struct, frozen=True):
    """Report on one publication."""

    team: str
    outcome: PublishOutcome
    id: str
    verdict: Verdict | None = None
    reason: str = ''


class SettingsHistory:
    """The settings stream, read to its end.

    :param state: settings in force at the end of the stream.
    :param publications: publications that the log retains, with verdicts.
    """

    __slots__ = ('_known', 'publications', 'state')

    def __init__(self) -> None:
        """Start before the first record."""
        self.state = SettingsState()
        self.publications: list[tuple[Publication, Verdict]] = []
        #: Publications by offset.
        self._known: dict[int, Publication] = {}

    def fold(self, page: Page) -> None:
        """Apply the records of a page."""
        self.state.era = page.era
        for record in page.records:
            parsed = decode_record(record.body)
            if isinstance(parsed, Publication):
                self._known[record.offset] = parsed
            for verdict in self.state.fold(record.offset, parsed):
                entry = (self._known[verdict.offset], verdict)
                self.publications.append(entry)

    def find(self, publication_id: str) -> Verdict | None:
        """Return the verdict on a publication; ``None`` if not in the log."""
        for publication, verdict in self.publications:
            if publication.id == publication_id:
                return verdict
        return None


async def read_settings(log: LogClient) -> SettingsHistory:
    """Read the settings stream from its oldest retained record to its end.

    :raises LogUnavailable: if the log does not answer.
    """
    history = SettingsHistory()
    while True:
        offset = history.state.next_offset
        try:
            page = await log.read(SETTINGS_STREAM, offset, 0)
        except RecordsExpired:
            start = await log.find_start(SETTINGS_STREAM)
            if start.offset <= offset:
                # The log was restored between two pages.
                return await read_settings(log)
            history.state.skip_to(start.offset)
            continue
        if history.state.era not in {-1, page.era}:
            return await read_settings(log)
        history.fold(page)
        if history.state.next_offset >= page.end:
            return history


def check_nodes(raw: JsonObject, state: SettingsState | None = None) -> Tree:
    """Validate settings and return the resulting tree.

    :param raw: the settings of each team by its path, as decoded JSON.
    :param state: settings in force, which ``raw`` replaces team by team.
    :raises SettingsFaulty: with the path and reason of each fault.
    """
    nodes: dict[str, TeamNode] = {}
    if state:
        for team, part in state.teams.items():
            nodes[team] = decode_node(part.node, team)
    for path, node in raw.items():
        nodes[path] = decode_node(node, path)
    return Tree(nodes)


def list_changes(raw: JsonObject, state: SettingsState) -> list[str]:
    """Return a unified diff from the settings in force to those of a file.

    :param raw: the settings of each team by its path, as decoded JSON.
    """
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
    timeout_s: float,
    era: int | None = None,
) -> PublishReport:
    """Append a publication and search the log for its verdict.

    :param timeout_s: seconds after the append in which to search.
    :param era: era of the log that the publication is based on; ``None``: any.
    """
    body = msgspec.to_builtins(publication)
    try:
        await log.append(SETTINGS_STREAM, body, era)
    except (LogUnavailable, StoreRestored) as error:
        return PublishReport(
            publication.team,
            PublishOutcome.NOT_WRITTEN,
            publication.id,
            reason=error.reason,
        )
    except AppendUncertain:
        return await _find_verdict(log, publication, timeout_s)
    return await _find_verdict(log, publication, timeout_s)


def build_publication(
    team: str, node: JsonObject, based_on: int
) -> Publication:
    """Return a publication by the current user with a new identifier.

    :param based_on: version of the team's settings that ``node`` replaces.
    """
    return Publication(
        id=uuid.uuid4().hex,
        team=team,
        based_on=based_on,
        node=node,
        author=getpass.getuser(),
    )


def format_json(document: Any) -> str:
    """Return indented JSON with sorted keys."""
    encoded = msgspec.json.encode(document, order='sorted')
    return msgspec.json.format(encoded, indent=2).decode()


async def _find_verdict(
    log: LogClient,
    publication: Publication,
    timeout_s: float,
) -> PublishReport:
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        try:
            history = await read_settings(log)
        except LogUnavailable:
            await asyncio.sleep(_POLL_S)
            continue
        verdict = history.find(publication.id)
        if verdict:
            return _build_report(publication, verdict)
        await asyncio.sleep(_POLL_S)
    return PublishReport(
        publication.team,
        PublishOutcome.UNKNOWN,
        publication.id,
        reason=f'not found in the log within {timeout_s} s; '
        'check again with: anvilhall history',
    )


def _build_report(publication: Publication, verdict: Verdict) -> PublishReport:
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
