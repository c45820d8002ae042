"""The published settings: a tree of teams, checked into typed objects.

Teams are named by paths such as ``tsvetkov/bench``; the root is the empty
path. Class defaults are inherited down the path. All classes here are frozen
and refuse unknown fields.
"""

import datetime as dt
from typing import Any

import msgspec

from anvilhall import defaults
from anvilhall.exceptions import SettingsError

#: Path of the root of the tree.
ROOT = ''

JsonObject = dict[str, Any]


class _Strict(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
    omit_defaults=True,
):
    """Base of all settings: keyword-only, immutable, no unknown fields."""


class Target(_Strict, frozen=True, kw_only=True):
    """What 95 in 100 requests of a class shall meet; ``None``: no target."""

    first_token_ms: int | None = None
    gap_ms: int | None = None
    done_ms: int | None = None


class Limits(_Strict, frozen=True, kw_only=True):
    """Limits of a client account or a class; ``None``: no limit."""

    requests_per_s: float | None = None
    tokens_per_s: float | None = None
    concurrent: int | None = None


class ClassSettings(_Strict, frozen=True, kw_only=True):
    """One request class."""

    #: Pool that serves the class.
    pool: str
    #: Priority; 0 is the highest.
    tier: int = 0
    #: Order among the classes of a tier; lower goes first.
    rank: int = 0
    target: Target = Target()
    #: Whether a request may run more than once.
    idempotent: bool = True
    #: Whether a broken stream may continue on another runner.
    resumable: bool = True
    #: Whether a running request may be paused for one of a higher tier.
    preemptible: bool = False
    #: Share of its tier's grants, relative to the other classes of the tier.
    weight: float = 1.0
    #: Longest time without a grant while requests wait, in seconds.
    floor_interval_s: float = defaults.FLOOR_INTERVAL_S
    #: Time from arrival to the end of the answer, in seconds.
    deadline_s: float = defaults.DEADLINE_S
    #: Longest wait for a runner before the request is refused, in seconds;
    #: ``None``: until its deadline.
    wait_limit_s: float | None = None
    limits: Limits = Limits()
    #: Caller paths that select the class when no header names one.
    paths: tuple[str, ...] = ()


class Account(_Strict, frozen=True, kw_only=True):
    """One client account."""

    #: SHA-256 hashes, in hexadecimal, of the keys that identify the account.
    key_sha256: tuple[str, ...]
    #: Classes that the account may use; empty: all classes of its team.
    classes: tuple[str, ...] = ()
    #: Class of requests that name none and whose path selects none.
    default_class: str | None = None
    #: Tier of the account's requests in place of their classes'.
    tier: int | None = None
    #: Share relative to the other accounts of a class.
    weight: float = 1.0
    limits: Limits = Limits()


class Reserve(_Strict, frozen=True, kw_only=True):
    """Slots that are kept for high tiers while a schedule is active."""

    schedule: str
    slots_per_runner: int
    #: Lowest tier that may use the slots.
    tier: int = 0


class Pool(_Strict, frozen=True, kw_only=True):
    """Runners that serve the same work."""

    #: Name of the upstream adapter, such as ``chat-completions``.
    wire: str
    #: Requests that run at once on one runner.
    slots: int = 16
    #: Slots of one runner that long requests may use; ``None``: three quarters.
    long_slots: int | None = None
    #: Long prompt tokens in prefill at once on one runner.
    long_prefill_tokens: int = 65536
    #: Tokens that one runner's prefix cache is taken to hold.
    cache_tokens: int = 200_000
    queue_limit: int = defaults.QUEUE_LIMIT
    prefill_tokens_per_s: float = 6000.0
    step_base_ms: float = 20.0
    step_per_stream_ms: float = 1.0
    connect_timeout_s: float = defaults.CONNECT_TIMEOUT_S
    first_byte_timeout_s: float = defaults.FIRST_BYTE_TIMEOUT_S
    gap_timeout_s: float = defaults.GAP_TIMEOUT_S
    #: Prompt tokens that engines take between two decode steps.
    prefill_chunk_tokens: int = 512
    #: Output tokens in one event of a stream.
    event_tokens: int = 1
    #: Tokens that running requests may hold on one runner; 0: no limit.
    memory_tokens: int = 0
    reserves: tuple[Reserve, ...] = ()


class Window(_Strict, frozen=True, kw_only=True):
    """A daily time span in local wall-clock time."""

    start: dt.time
    end: dt.time
    #: Days of the week, Monday is 0.
    days: tuple[int, ...] = (0, 1, 2, 3, 4, 5, 6)


class Schedule(_Strict, frozen=True, kw_only=True):
    """Time spans of the working week in one IANA time zone."""

    timezone: str
    windows: tuple[Window, ...]


class Guards(_Strict, frozen=True, kw_only=True):
    """Limits of every instance towards its callers."""

    body_bytes: int = defaults.BODY_LIMIT_BYTES
    open_requests: int = defaults.OPEN_REQUESTS_LIMIT
    claim_window_s: float = defaults.CLAIM_WINDOW_S
    retry_budget_share: float = defaults.RETRY_BUDGET_SHARE


class TeamNode(_Strict, frozen=True, kw_only=True):
    """What one team publishes: its own part of the tree."""

    #: Fields of :class:`ClassSettings` inherited by all classes below.
    class_defaults: JsonObject = {}
    #: Fields of :class:`ClassSettings` by class name.
    classes: dict[str, JsonObject] = {}
    accounts: dict[str, Account] = {}
    pools: dict[str, Pool] = {}
    schedules: dict[str, Schedule] = {}
    #: Only in the root.
    guards: Guards = Guards()


class Fault(_Strict, frozen=True, kw_only=True):
    """One thing that is wrong with settings, with its place in them."""

    path: str
    reason: str


class SettingsFaulty(SettingsError):
    """The settings have faults.

    :param faults: what is wrong, at least one.
    """

    code = 'settings_faulty'

    def __init__(self, faults: list[Fault]) -> None:
        """List the faults in the reason."""
        self.faults = faults
        lines = [f'{fault.path}: {fault.reason}' for fault in faults]
        super().__init__('; '.join(lines))


def decode_node(raw: Any, path: str) -> TeamNode:
    """Check one team's part of the tree.

    :param raw: decoded JSON.
    :param path: path of the team, for error messages.
    :raises SettingsFaulty: with the place of the first fault.
    """
    try:
        return msgspec.convert(raw, TeamNode)
    except msgspec.ValidationError as error:
        raise SettingsFaulty([_locate_fault(path, error)]) from error


def convert_class(raw: JsonObject, path: str) -> ClassSettings:
    """Check the merged fields of one class.

    :raises SettingsFaulty: with the place of the first fault.
    """
    try:
        return msgspec.convert(raw, ClassSettings)
    except msgspec.ValidationError as error:
        raise SettingsFaulty([_locate_fault(path, error)]) from error


def merge_fields(base: JsonObject, override: JsonObject) -> JsonObject:
    """Return ``base`` overridden by ``override``, objects field by field."""
    merged = dict(base)
    for name, field in override.items():
        inherited = merged.get(name)
        if isinstance(inherited, dict) and isinstance(field, dict):
            merged[name] = merge_fields(inherited, field)
        else:
            merged[name] = field
    return merged


def _locate_fault(path: str, error: msgspec.ValidationError) -> Fault:
    reason, _, place = str(error).partition(' - at `$')
    return Fault(path=f'/{path}{place.rstrip("`")}', reason=reason)
