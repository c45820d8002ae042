"""Recorded traces: a header, requests and events as JSON lines."""

import datetime as dt
import pathlib
from typing import Any

import msgspec

from anvilhall.core.settings import Fault, SettingsFaulty


class TracePool(msgspec.Struct, frozen=True, kw_only=True):
    """One pool of the header; the names of speeds state their units."""

    name: str
    #: ``engine`` or ``service``.
    kind: str
    runners: int
    slots: int = 16
    prefill_tokens_s: float = 6000.0
    step_base_ms: float = 20.0
    step_per_stream_ms: float = 1.0
    cache_tokens: int = 200_000


class TraceHeader(msgspec.Struct, frozen=True, kw_only=True):
    """The first line of a trace file."""

    trace: int
    name: str
    #: Wall-clock time of second 0.
    start: dt.datetime
    timezone: str
    failure_domains: tuple[str, ...]
    entry_instances: int
    report_lag_s: float = 2.0
    pools: tuple[TracePool, ...]


class TraceRequest(msgspec.Struct, frozen=True, kw_only=True):
    """One request; fields that the router does not see are marked."""

    at_s: float
    id: str
    class_name: str = msgspec.field(name='class')
    account: str
    pool: str
    prompt_tokens: int = 0
    prefix: str = ''
    prefix_tokens: int = 0
    #: Not seen by the router.
    output_tokens: int = 0
    #: Not seen by the router.
    work_ms: float = 0.0
    key: str = ''
    deadline_s: float | None = None


class TraceEvent(msgspec.Struct, frozen=True, kw_only=True):
    """One fault or other event; the router does not see it."""

    at_s: float
    event: str
    runner: str = ''
    factor: float = 1.0
    for_s: float = 0.0
    id: str = ''
    domains: tuple[str, ...] = ()
    entry: int = 0


class Trace:
    """A trace: its header, requests and events."""

    __slots__ = ('events', 'header', 'requests')

    def __init__(
        self,
        header: TraceHeader,
        requests: list[TraceRequest],
        events: list[TraceEvent],
    ) -> None:
        """Store the parts."""
        self.header = header
        self.requests = requests
        self.events = events

    @classmethod
    def from_file(cls, path: pathlib.Path) -> 'Trace':
        """Read a trace from a file of JSON lines.

        :raises SettingsFaulty: if the file is empty or a line is invalid; it
            names the first such line.
        """
        lines = path.read_bytes().splitlines()
        header = _decode(lines[0], TraceHeader, path, 1) if lines else None
        if header is None:
            raise SettingsFaulty([Fault(path=str(path), reason='is empty')])
        requests: list[TraceRequest] = []
        events: list[TraceEvent] = []
        for number, line in enumerate(lines[1:], start=2):
            if b'"event"' in line:
                events.append(_decode(line, TraceEvent, path, number))
            elif line.strip():
                requests.append(_decode(line, TraceRequest, path, number))
        return cls(header, requests, events)


def _decode(line: bytes, kind: Any, path: pathlib.Path, number: int) -> Any:
    try:
        return msgspec.json.decode(line, type=kind)
    except msgspec.DecodeError as error:
        fault = Fault(path=f'{path}:{number}', reason=str(error))
        raise SettingsFaulty([fault]) from error
