"""Published settings: a tree of teams, validated into typed objects.

Teams are named by paths such as ``tsvetkov/bench``; the root has the empty
path. A team inherits the class defaults of its ancestors. All classes here are
frozen and reject unknown fields.
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
    """Base of all settings: immutable, keyword-only, no unknown fields."""


class Target(_Strict, frozen=True, kw_only=True):
    """Latency targets for 95 % of a class's requests; ``None``: no target."""

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
    #: Order among the classes of a tier; lower ranks are served first.
    rank: int = 0
    target: Target = Target()
    #: Whether a request may run more than once.
    idempotent: bool = True
    #: Whether an interrupted stream may continue on another runner.
    resumable: bool = True
    #: Whether a running request may be paused for one of a higher tier.
    preemptible: bool = False
    #: Share of its tier's grants, relative to the other classes of the tier.
    weight: float = 1.0
    #: Longest time for which waiting requests of the class get no grant, in
    #: seconds.
    floor_interval_s: float = defaults.FLOOR_INTERVAL_S
    #: Time from arrival to the end of the answer, in seconds.
    deadline_s: float = defaults.DEADLINE_S
    #: Longest wait for a runner, in seconds, after which the request is
    #: refused; ``None``: until its deadline.
    wait_limit_s: float | None = None
    limits: Limits = Limits()
    #: Request paths that select the class if no header names one.
    paths: tuple[str, ...] = ()


class Account(_Strict, frozen=True, kw_only=True):
    """One client account."""

    #: SHA-256 hashes, in hexadecimal, of the keys that identify the account.
    key_sha256: tuple[str, ...]
    #: Classes that the account may use; empty: those of its team, of the teams
    #: below it and of the root.
    classes: tuple[str, ...] = ()
    #: Class of requests for which neither header nor path selects one.
    default_class: str | None = None
    #: Tier of the account's requests, which overrides that of their class.
    tier: int | None = None
    #: Share relative to the other accounts of a class.
    weight: float = 1.0
    limits: Limits = Limits()


class Reserve(_Strict, frozen=True, kw_only=True):
    """Slots reserved for high tiers while a schedule is active."""

    schedule: str
    slots_per_runner: int
    #: Lowest tier that may use the slots.
    tier: int = 0


class Scaling(_Strict, frozen=True, kw_only=True):
    """Bounds and prices for the number of a pool's runners."""

    #: Least and largest number of runners in each failure domain, of both
    #: kinds together.
    minimum: int = 0
    maximum: int
    #: Seconds from the order of a runner until it serves.
    boot_s: float
    #: Price of a runner that may be taken away, as a share of the price of the
    #: others; ``None``: there are none.
    reclaimable_price: float | None = None
    #: Price of a runner by failure domain.
    prices: dict[str, float] = {}


class Pool(_Strict, frozen=True, kw_only=True):
    """A group of interchangeable runners."""

    #: Name of the upstream adapter, such as ``chat-completions``.
    wire: str
    #: Whether runners state the start of their process when they are asked.
    states_start: bool = False
    #: Concurrent requests of one runner.
    slots: int = 16
    #: Slots of one runner that long requests may use; ``None``: three quarters.
    long_slots: int | None = None
    #: Limit of the tokens of long prompts in prefill at once on one runner.
    long_prefill_tokens: int = 65536
    #: Assumed capacity of one runner's prefix cache, in tokens.
    cache_tokens: int = 200_000
    queue_limit: int = defaults.QUEUE_LIMIT
    prefill_tokens_per_s: float = 6000.0
    step_base_ms: float = 20.0
    step_per_stream_ms: float = 1.0
    connect_timeout_s: float = defaults.CONNECT_TIMEOUT_S
    first_byte_timeout_s: float = defaults.FIRST_BYTE_TIMEOUT_S
    gap_timeout_s: float = defaults.GAP_TIMEOUT_S
    #: Prompt tokens that an engine prefills between two decode steps.
    prefill_chunk_tokens: int = 512
    #: Output tokens in one event of a stream.
    event_tokens: int = 1
    #: Tokens that running requests may hold on one runner; 0: no limit.
    memory_tokens: int = 0
    reserves: tuple[Reserve, ...] = ()
    #: ``None``: the number of the runners is not up to this system.
    scaling: Scaling | None = None


class Window(_Strict, frozen=True, kw_only=True):
    """A daily time span in local time."""

    start: dt.time
    end: dt.time
    #: Days of the week; 0 is Monday.
    days: tuple[int, ...] = (0, 1, 2, 3, 4, 5, 6)


class Schedule(_Strict, frozen=True, kw_only=True):
    """Time spans of the week in one IANA time zone."""

    timezone: str
    windows: tuple[Window, ...]


class Guards(_Strict, frozen=True, kw_only=True):
    """Limits that each instance applies to its callers' requests."""

    body_bytes: int = defaults.BODY_LIMIT_BYTES
    open_requests: int = defaults.OPEN_REQUESTS_LIMIT
    claim_window_s: float = defaults.CLAIM_WINDOW_S
    retry_budget_share: float = defaults.RETRY_BUDGET_SHARE


class TeamNode(_Strict, frozen=True, kw_only=True):
    """Settings that one team publishes: its node of the tree."""

    #: Fields of :class:`ClassSettings` inherited by the classes of this team
    #: and of the teams below it.
    class_defaults: JsonObject = {}
    #: Fields of :class:`ClassSettings` by class name.
    classes: dict[str, JsonObject] = {}
    accounts: dict[str, Account] = {}
    pools: dict[str, Pool] = {}
    schedules: dict[str, Schedule] = {}
    #: Read from the root only.
    guards: Guards = Guards()


class Fault(_Strict, frozen=True, kw_only=True):
    """One error in settings, with the path of the field."""

    path: str
    reason: str


class SettingsFaulty(SettingsError):
    """The settings have faults.

    :param faults: the errors found, at least one.
    """

    code = 'settings_faulty'

    def __init__(self, faults: list[Fault]) -> None:
        """Build the reason from the faults."""
        self.faults = faults
        lines = [f'{fault.path}: {fault.reason}' for fault in faults]
        super().__init__('; '.join(lines))


def decode_node(raw: Any, path: str) -> TeamNode:
    """Validate one team's settings.

    :param raw: decoded JSON.
    :param path: path of the team, for error messages.
    :raises SettingsFaulty: with the first fault found.
    """
    try:
        return msgspec.convert(raw, TeamNode)
    except msgspec.ValidationError as error:
        raise SettingsFaulty([_locate_fault(path, error)]) from error


def convert_class(raw: JsonObject, path: str) -> ClassSettings:
    """Validate the merged fields of one class.

    :param raw: fields after inheritance.
    :param path: path of the class in the settings, for error messages.
    :raises SettingsFaulty: with the first fault found.
    """
    try:
        return msgspec.convert(raw, ClassSettings)
    except msgspec.ValidationError as error:
        raise SettingsFaulty([_locate_fault(path, error)]) from error


def merge_fields(base: JsonObject, override: JsonObject) -> JsonObject:
    """Return ``base`` overridden by ``override``, merging nested objects."""
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
