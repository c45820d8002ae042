"""Keeps the settings current from the log, and from peers that are ahead."""

import asyncio
import collections
import contextlib
import random
from collections.abc import Callable

import msgspec

from anvilhall.clock import Clock
from anvilhall.core.messages import (
    Heartbeat,
    Message,
    SettingsAsk,
    SettingsOffer,
    SettingsRecords,
)
from anvilhall.core.positions import Position
from anvilhall.core.publication import (
    SETTINGS_STREAM,
    Recovery,
    SettingsState,
    Snapshot,
    TeamState,
    Verdict,
    decode_record,
)
from anvilhall.core.settings import SettingsFaulty
from anvilhall.decoding import decode_json
from anvilhall.exceptions import MalformedData, PeerUnreachable
from anvilhall.fleet import Fleet
from anvilhall.following import StreamReader, follow_stream
from anvilhall.local import Timings
from anvilhall.logs import log_event
from anvilhall.logservice import LogClient, Page, Record
from anvilhall.metrics import Metrics

_ACCEPTED = 'accepted'
#: Number of latest records kept for peers that are behind.
_RECENT_RECORDS = 256
#: Seconds to wait for the log to deliver a record before asking a peer for it.
_LOG_GRACE_S = 0.2
#: Upper limit of the seconds after which an instance writes back what a
#: restored log has lost, so that few instances write the same.
_RECOVERY_SPREAD_S = 1.0


class SettingsFollower:
    """Applies the settings stream to a state and reports changes.

    Peers state in heartbeats the offset that they have reached. From a peer
    that stays ahead, missing records or a snapshot are requested.

    When the log comes back from an older copy, the settings in force stay while
    it is read anew. What it has lost is written back; its state comes into
    force once it has no older version of any team.

    :param log: client of the log that holds the settings stream.
    :param fleet: sends and receives settings messages.
    """

    __slots__ = (
        '_clock',
        '_fleet',
        '_log',
        '_metrics',
        '_on_change',
        '_recent',
        '_recovery_due_at',
        '_reread',
        '_rng',
        '_snapshot_due_at',
        '_timings',
        '_written_back_at',
        'state',
    )

    def __init__(
        self,
        log: LogClient,
        fleet: Fleet,
        clock: Clock,
        timings: Timings,
        metrics: Metrics,
        rng: random.Random,
    ) -> None:
        """Start without settings.

        :param rng: spreads the writes of instances after a restore.
        """
        self._log = log
        self._fleet = fleet
        self._clock = clock
        self._timings = timings
        self._metrics = metrics
        self._rng = rng
        self.state = SettingsState()
        #: State of a restored log, until it comes into force.
        self._reread: SettingsState | None = None
        #: Monotonic time from which this instance may write back.
        self._recovery_due_at = 0.0
        #: Offset of the settings that this instance has written back; -1: none.
        self._written_back_at = -1
        self._on_change: Callable[[], None] = _do_nothing
        self._snapshot_due_at = clock.monotonic() + timings.snapshot_interval_s
        fleet.get_settings_position = self._get_settings_position
        fleet.add_handler(Heartbeat, self._handle_heartbeat)
        fleet.add_handler(SettingsAsk, self._handle_ask)
        fleet.add_handler(SettingsOffer, self._handle_offer)
        fleet.add_handler(SettingsRecords, self._handle_records)
        #: Latest records in order, for peers that are behind.
        self._recent: collections.deque[Record] = collections.deque(
            maxlen=_RECENT_RECORDS,
        )

    @property
    def ready(self) -> bool:
        """Whether any settings are in force."""
        return self.state.version >= 0

    def set_listener(self, on_change: Callable[[], None]) -> None:
        """Set the function to call when another version comes into force."""
        self._on_change = on_change

    async def run(self) -> None:
        """Read the settings stream until cancelled."""
        reader = StreamReader(
            SETTINGS_STREAM,
            self._get_next_position,
            self._handle_page,
            self._skip_to,
            self._restart,
        )
        poll_s = self._timings.log_poll_s
        await follow_stream(reader, self._log, poll_s, self._metrics)

    async def _handle_page(self, page: Page) -> None:
        if self._reread:
            await self._handle_reread_page(self._reread, page)
            return
        self.state.era = page.era
        self._apply_page(page)
        await self._write_snapshot()

    async def _handle_reread_page(
        self, reread: SettingsState, page: Page
    ) -> None:
        for record in page.records:
            reread.fold(record.offset, decode_record(record.body))
        if reread.next_offset < page.end:
            return
        lost = self.state.list_lost(reread)
        if not lost or -1 < self._written_back_at <= reread.covers:
            self._put_in_force(reread, lost)
            return
        pause_s = self._recovery_due_at - self._clock.monotonic()
        if pause_s > 0:
            await asyncio.sleep(pause_s)
            # Another instance may have written back meanwhile.
            later = await self._log.read(SETTINGS_STREAM, reread.next_offset, 0)
            if later.era == reread.era:
                await self._handle_reread_page(reread, later)
        else:
            recovery = msgspec.to_builtins(Recovery(teams=lost))
            self._written_back_at = await self._log.append(
                SETTINGS_STREAM, recovery, reread.era
            )

    def _put_in_force(
        self, reread: SettingsState, lost: dict[str, TeamState]
    ) -> None:
        for team, team_state in sorted(lost.items()):
            log_event(
                'settings_lost',
                team=team,
                version=team_state.version,
                reason=reread.recovery_fault,
            )
        self.state = reread
        self._reread = None
        self._recent.clear()
        self._metrics.settings_version.set(reread.version)
        log_event('settings_in_force', version=reread.version, era=reread.era)
        self._on_change()

    def _restart(self, era: int) -> None:
        self._reread = SettingsState(era)
        self._written_back_at = -1
        spread_s = _RECOVERY_SPREAD_S * self._rng.random()
        self._recovery_due_at = self._clock.monotonic() + spread_s

    def _skip_to(self, start: int) -> None:
        (self._reread or self.state).skip_to(start)

    def _get_next_position(self) -> Position:
        return (self._reread or self.state).position

    def _apply_page(self, page: Page) -> None:
        version_before = self.state.version
        for record in page.records:
            self._apply_record(record)
        while self.state.refused:
            self._log_refusal('log', self.state.refused.pop())
        self._notify_change(version_before)

    def _apply_record(self, record: Record) -> None:
        if record.offset == self.state.covers + 1:
            self._recent.append(record)
        parsed = decode_record(record.body)
        for verdict in self.state.fold(record.offset, parsed):
            self._count_verdict(verdict)

    def _count_verdict(self, verdict: Verdict) -> None:
        self._metrics.publications.labels(verdict.code or _ACCEPTED).inc()

    def _notify_change(self, version_before: int) -> None:
        if self.state.version == version_before:
            return
        self._metrics.settings_version.set(self.state.version)
        log_event('settings_in_force', version=self.state.version)
        self._on_change()

    async def _write_snapshot(self) -> None:
        now = self._clock.monotonic()
        if now < self._snapshot_due_at or not self.ready:
            return
        self._snapshot_due_at = now + self._timings.snapshot_interval_s
        snapshot = msgspec.to_builtins(self.state.take_snapshot())
        await self._log.append(SETTINGS_STREAM, snapshot, self.state.era)

    def _get_settings_position(self) -> Position:
        return Position(max(0, self.state.era), self.state.covers)

    def _shares_era(self, era: int) -> bool:
        """Return whether a peer's offsets are of the era of the own ones."""
        return self.state.era in {-1, era}

    def _handle_heartbeat(self, sender: str, message: Message) -> None:
        if not isinstance(message, Heartbeat):
            return
        if not self._shares_era(message.settings_era):
            return
        if message.settings_covers > self.state.covers:
            loop = asyncio.get_running_loop()
            loop.call_later(
                _LOG_GRACE_S,
                self._ask_if_behind,
                sender,
                message.settings_covers,
            )

    def _ask_if_behind(self, peer: str, covers: int) -> None:
        if covers <= self.state.covers:
            return
        with contextlib.suppress(PeerUnreachable):
            covered = self._get_settings_position()
            self._fleet.send(peer, SettingsAsk(covered.offset, covered.era))

    def _handle_ask(self, sender: str, message: Message) -> None:
        if not isinstance(message, SettingsAsk) or not self.ready:
            return
        # A peer that has read nothing may not know the era yet.
        if message.covers >= 0 and not self._shares_era(message.era):
            return
        if message.covers < self.state.covers:
            self._fleet.send(sender, self._build_answer(message.covers))

    def _build_answer(self, covers: int) -> SettingsRecords | SettingsOffer:
        """Return the records after an offset, or a snapshot if any is gone."""
        missing = [record for record in self._recent if record.offset > covers]
        if not missing or missing[0].offset != covers + 1:
            return self._build_offer()
        bodies = [msgspec.json.encode(record.body) for record in missing]
        return SettingsRecords(
            offset=covers + 1,
            records=tuple(bodies),
            era=max(0, self.state.era),
        )

    def _handle_records(self, sender: str, message: Message) -> None:
        if not isinstance(message, SettingsRecords):
            return
        if not self._shares_era(message.era):
            return
        version_before = self.state.version
        self.state.era = message.era
        try:
            for index, encoded in enumerate(message.records):
                body = decode_json(encoded, object)
                self._apply_record(Record(message.offset + index, body))
        except MalformedData as error:
            self._log_refusal(sender, error.reason)
        self._notify_change(version_before)

    def _handle_offer(self, sender: str, message: Message) -> None:
        if not isinstance(message, SettingsOffer):
            return
        version_before = self.state.version
        try:
            snapshot: Snapshot = decode_json(message.snapshot, Snapshot)
            if not self._shares_era(snapshot.era):
                return
            restored = self.state.restore(snapshot)
        except (MalformedData, SettingsFaulty) as error:
            self._log_refusal(sender, error.reason)
            return
        if restored:
            self.state.era = snapshot.era
            self._notify_change(version_before)

    def _log_refusal(self, source: str, reason: str) -> None:
        log_event('settings_refused', source=source, reason=reason)

    def _build_offer(self) -> SettingsOffer:
        return SettingsOffer(msgspec.json.encode(self.state.take_snapshot()))


def _do_nothing() -> None:
    """Listener used until one is set."""
