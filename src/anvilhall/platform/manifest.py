"""The manifest: routes, services and tenants as the operator writes them."""

import msgspec

from anvilhall.core.routes import (
    RequestLimits,
    Route,
    RouteTable,
    RoutingSettings,
)
from anvilhall.core.settings import (
    ROOT,
    Account,
    JsonObject,
    Pool,
    SettingsFaulty,
    TeamNode,
)
from anvilhall.core.tree import Tree, hash_key
from anvilhall.exceptions import SettingsError

#: Seconds without a grant after which a class with waiting requests goes
#: first: a trickle that takes nothing noticeable from higher ones.
_FLOOR_INTERVAL_S = 4.0
#: Share of the objective that a request may wait for a runner: the rest is
#: needed to read its prompt.
_WAIT_SHARE = 0.5
#: Share of an engine's memory that its prefix cache is taken to use; the rest
#: holds running requests.
_CACHE_SHARE = 0.6
#: Prompt tokens a second of an engine until observations correct it.
_PREFILL_TOKENS_PER_S = 60_000.0
#: Prompt tokens that an engine takes between two decode steps; a common
#: setting of engines with chunked prefill.
_PREFILL_CHUNK_TOKENS = 2048
#: Time of a decode step, and what each stream adds, in milliseconds.
_STEP_BASE_MS = 4.5
_STEP_PER_STREAM_MS = 0.05
#: Time to connect to a runner, in seconds: it takes two round trips of a few
#: milliseconds, so that a silent one is told apart early.
_CONNECT_TIMEOUT_S = 0.25
#: Slots of a service until its runners state theirs.
_SERVICE_SLOTS = 6
_MS_PER_S = 1000.0

_STREAMING = 'streaming'
_IDEMPOTENT = 'idempotent'


class _Share(msgspec.Struct):
    service: str
    weight: float = 0.0


class _Route(msgspec.Struct):
    name: str
    host: str
    path_prefix: str
    kind: str = 'non_idempotent'
    timeout_ms: float = 30_000.0
    #: Time to the first event of a stream, or to the whole answer.
    slo_ms: float = 1000.0
    priority: int = 5
    service: str = ''
    traffic_split: list[_Share] = []
    attempts: int = 1
    public: bool = False
    resumable: bool = False
    #: Longest pause between events of a stream that is on time.
    gap_aim_ms: float = 0.0


class _Engine(msgspec.Struct):
    slots: int = 16
    #: Tokens that running requests and cached parts share.
    kv_tokens: int = 0
    #: Output tokens in one event of a stream.
    stride: int = 1


class _Service(msgspec.Struct):
    name: str
    engine: _Engine | None = None


class _Tenant(msgspec.Struct):
    name: str
    api_keys: list[str] = []
    #: Takes precedence over the priority of a route.
    priority: int | None = None


class _Limits(msgspec.Struct):
    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 4 * 1024 * 1024
    idle_timeout_ms: float = 60_000.0


class _Manifest(msgspec.Struct):
    version: int
    routes: list[_Route] = []
    services: list[_Service] = []
    tenants: list[_Tenant] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)


def decode_manifest(encoded: bytes) -> RoutingSettings:
    """Decode a manifest.

    :param encoded: JSON as the operator wrote it.
    :raises SettingsError: if it can't be read or contradicts itself.
    """
    try:
        manifest = msgspec.json.decode(encoded, type=_Manifest)
    except msgspec.DecodeError as error:
        raise SettingsError(f'unreadable manifest: {error}') from error
    try:
        tree = _build_tree(manifest)
    except SettingsFaulty as faulty:
        raise SettingsError(faulty.reason) from faulty
    routes = tuple(_build_route(route) for route in manifest.routes)
    limits = RequestLimits(
        header_bytes=manifest.limits.max_header_bytes,
        body_bytes=manifest.limits.max_body_bytes,
        idle_s=manifest.limits.idle_timeout_ms / _MS_PER_S,
    )
    return RoutingSettings(
        manifest.version,
        tree,
        RouteTable(routes),
        limits,
        encoded,
    )


def _build_route(route: _Route) -> Route:
    if route.traffic_split:
        pools = tuple(
            (part.service, part.weight) for part in route.traffic_split
        )
    else:
        pools = ((route.service, 1.0),)
    return Route(
        name=route.name,
        host=route.host,
        path_prefix=route.path_prefix,
        pools=pools,
        streaming=route.kind == _STREAMING,
        idempotent=route.kind == _IDEMPOTENT,
        resumable=route.resumable,
        attempts=max(1, route.attempts),
        tier=route.priority,
        timeout_s=route.timeout_ms / _MS_PER_S,
        objective_s=route.slo_ms / _MS_PER_S,
        public=route.public,
    )


def _build_tree(manifest: _Manifest) -> Tree:
    node = TeamNode(
        classes={route.name: _build_class(route) for route in manifest.routes},
        accounts={
            tenant.name: Account(
                key_sha256=tuple(hash_key(key) for key in tenant.api_keys),
                tier=tenant.priority,
            )
            for tenant in manifest.tenants
        },
        pools={
            service.name: _build_pool(service) for service in manifest.services
        },
    )
    return Tree({ROOT: node})


def _build_class(route: _Route) -> JsonObject:
    streaming = route.kind == _STREAMING
    pool = route.service
    if route.traffic_split:
        pool = route.traffic_split[0].service
    target: JsonObject = {'done_ms': int(route.slo_ms)}
    if streaming:
        target = {'first_token_ms': int(route.slo_ms)}
        if route.gap_aim_ms:
            target['gap_ms'] = int(route.gap_aim_ms)
    return {
        'pool': pool,
        'tier': route.priority,
        'target': target,
        'idempotent': route.kind == _IDEMPOTENT,
        'resumable': route.resumable,
        'floor_interval_s': _FLOOR_INTERVAL_S,
        'deadline_s': route.timeout_ms / _MS_PER_S,
        'wait_limit_s': route.slo_ms / _MS_PER_S * _WAIT_SHARE,
    }


def _build_pool(service: _Service) -> Pool:
    engine = service.engine
    if engine is None:
        return Pool(
            wire='relay',
            slots=_SERVICE_SLOTS,
            connect_timeout_s=_CONNECT_TIMEOUT_S,
        )
    return Pool(
        wire='relay',
        slots=engine.slots,
        long_slots=engine.slots,
        long_prefill_tokens=engine.kv_tokens,
        cache_tokens=int(engine.kv_tokens * _CACHE_SHARE),
        prefill_tokens_per_s=_PREFILL_TOKENS_PER_S,
        step_base_ms=_STEP_BASE_MS,
        step_per_stream_ms=_STEP_PER_STREAM_MS,
        prefill_chunk_tokens=_PREFILL_CHUNK_TOKENS,
        event_tokens=max(1, engine.stride),
        memory_tokens=engine.kv_tokens,
        connect_timeout_s=_CONNECT_TIMEOUT_S,
    )
