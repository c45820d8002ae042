"""Keeps the settings current from the log, and from peers that are ahead."""

import asyncio
import collections
import contextlib
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
from anvilhall.core.publication import (
    SETTINGS_STREAM,
    SettingsState,
    Snapshot,
    Verdict,
    decode_record,
)
from anvilhall.exceptions import PeerUnreachable
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


class SettingsFollower:
    """Applies the settings stream to a state and reports changes.

    Peers state in heartbeats the offset that they have reached. From a peer
    that stays ahead, missing records or a snapshot are requested.

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
        '_snapshot_due_at',
        '_timings',
        'state',
    )

    def __init__(
        self,
        log: LogClient,
        fleet: Fleet,
        clock: Clock,
        timings: Timings,
        metrics: Metrics,
    ) -> None:
        """Start without settings."""
        self._log = log
        self._fleet = fleet
        self._clock = clock
        self._timings = timings
        self._metrics = metrics
        self.state = SettingsState()
        self._on_change: Callable[[], None] = _do_nothing
        self._snapshot_due_at = clock.monotonic() + timings.snapshot_interval_s
        fleet.get_settings_offset = self._get_settings_offset
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
            self._get_next_offset,
            self._handle_page,
            self.state.skip_to,
        )
        poll_s = self._timings.log_poll_s
        await follow_stream(reader, self._log, poll_s, self._metrics)

    async def _handle_page(self, page: Page) -> None:
        self._apply_page(page)
        await self._write_snapshot()

    def _get_next_offset(self) -> int:
        return self.state.next_offset

    def _apply_page(self, page: Page) -> None:
        version_before = self.state.version
        for record in page.records:
            self._apply_record(record)
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
        await self._log.append(SETTINGS_STREAM, snapshot)

    def _get_settings_offset(self) -> int:
        return self.state.covers

    def _handle_heartbeat(self, sender: str, message: Message) -> None:
        if not isinstance(message, Heartbeat):
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
            self._fleet.send(peer, SettingsAsk(self.state.covers))

    def _handle_ask(self, sender: str, message: Message) -> None:
        if not isinstance(message, SettingsAsk) or not self.ready:
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
        )

    def _handle_records(self, _: str, message: Message) -> None:
        if not isinstance(message, SettingsRecords):
            return
        version_before = self.state.version
        for index, encoded in enumerate(message.records):
            body = msgspec.json.decode(encoded)
            self._apply_record(Record(message.offset + index, body))
        self._notify_change(version_before)

    def _handle_offer(self, _: str, message: Message) -> None:
        if not isinstance(message, SettingsOffer):
            return
        version_before = self.state.version
        snapshot = msgspec.json.decode(message.snapshot, type=Snapshot)
        if self.state.restore(snapshot):
            self._notify_change(version_before)

    def _build_offer(self) -> SettingsOffer:
        return SettingsOffer(msgspec.json.encode(self.state.take_snapshot()))


def _do_nothing() -> None:
    """Listener used until one is set."""
