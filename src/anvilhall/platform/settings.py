"""Decodes the operator's manifest of routes, services and tenants."""

from typing import Annotated, TypeVar

import msgspec

from anvilhall.core.profiles import (
    build_class_fields,
    build_engine_pool,
    build_service_pool,
)
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
    Scaling,
    SettingsFaulty,
    TeamNode,
)
from anvilhall.core.tree import Tree, hash_key
from anvilhall.decoding import decode_json
from anvilhall.exceptions import MalformedData, SettingsError
from anvilhall.logs import log_event

_Decoded = TypeVar('_Decoded')

_MS_PER_S = 1000.0

_NULL = b'null'
_STREAMING = 'streaming'
_IDEMPOTENT = 'idempotent'


#: Number of a version, which instances exchange as a 64-bit integer.
_VersionNumber = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
#: Times in milliseconds and numbers that calculations can bear.
_Duration = Annotated[float, msgspec.Meta(gt=0, le=1e10)]
_Objective = Annotated[float, msgspec.Meta(ge=0, le=1e10)]
_Weight = Annotated[float, msgspec.Meta(ge=0, le=1e10)]
_Count = Annotated[int, msgspec.Meta(ge=0, le=2**31 - 1)]
_Positive = Annotated[int, msgspec.Meta(ge=1, le=2**31 - 1)]
_Tokens = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
_Prefix = Annotated[str, msgspec.Meta(pattern=r'^/(.*/)?$')]


class _Share(msgspec.Struct):
    service: str
    weight: _Weight = 0.0


class _Route(msgspec.Struct):
    name: str
    host: str
    path_prefix: _Prefix
    kind: str = 'non_idempotent'
    timeout_ms: _Duration = 30_000.0
    #: Objective for the time to the first event of a stream, or to the complete
    #: response of any other request.
    slo_ms: _Objective = 1000.0
    priority: _Count = 5
    service: str = ''
    traffic_split: list[_Share] = []
    attempts: Annotated[int, msgspec.Meta(le=2**31 - 1)] = 1
    public: bool = False
    resumable: bool = False
    #: Objective for the longest gap between events of a stream; 0: none.
    gap_aim_ms: _Objective = 0.0


class _Engine(msgspec.Struct):
    slots: _Positive = 16
    #: Memory of the engine in tokens, shared by running requests and the prefix
    #: cache.
    kv_tokens: _Tokens = 0
    #: Output tokens per event of a stream.
    stride: _Count = 1


class _Scaling(msgspec.Struct):
    max: _Count
    min: _Count = 0
    boot_s: Annotated[float, msgspec.Meta(ge=0, le=3600)] = 0.0
    spot_price: _Weight | None = None
    zone_prices: dict[str, _Weight] = {}


class _Service(msgspec.Struct):
    name: str
    engine: _Engine | None = None
    #: Decoded apart: requests can be served without it.
    scaling: msgspec.Raw = msgspec.Raw(_NULL)


class _Tenant(msgspec.Struct):
    name: str
    api_keys: list[str] = []
    #: Overrides the priority of a route.
    priority: _Count | None = None


class _Limits(msgspec.Struct):
    max_header_bytes: _Positive = 16 * 1024
    max_body_bytes: _Count = 4 * 1024 * 1024
    idle_timeout_ms: _Duration = 60_000.0


class _Manifest(msgspec.Struct):
    version: _VersionNumber
    routes: list[_Route] = []
    services: list[_Service] = []
    tenants: list[_Tenant] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)


class _Version(msgspec.Struct):
    version: _VersionNumber


def decode_version(encoded: bytes) -> int:
    """Decode only the version of a manifest.

    :param encoded: manifest as JSON.
    :raises SettingsError: if the manifest is malformed or has no version.
    """
    decoded: _Version = _decode(encoded, _Version)
    return decoded.version


def decode_settings(encoded: bytes) -> RoutingSettings:
    """Decode a manifest.

    :param encoded: manifest as JSON.
    :raises SettingsError: if the manifest is malformed or inconsistent.
    """
    manifest: _Manifest = _decode(encoded, _Manifest)
    try:
        tree = _build_tree(manifest)
    except SettingsFaulty as faulty:
        raise SettingsError(faulty.reason) from faulty
    for each in manifest.routes:
        _check_shares(each)
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


def _decode(encoded: bytes, kind: type[_Decoded]) -> _Decoded:
    try:
        return decode_json(encoded, kind)
    except MalformedData as error:
        raise SettingsError(f'malformed manifest: {error.reason}') from error


def _check_shares(route: _Route) -> None:
    """Check that a route with several services may choose one.

    :raises SettingsError: if no share is above 0.
    """
    shares = route.traffic_split
    if shares and not any(share.weight for share in shares):
        raise SettingsError(f'route {route.name!r}: no share is above 0')


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
        prefix=route.path_prefix,
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
        classes=_build_classes(manifest.routes),
        accounts={
            tenant.name: Account(
                # A key that is listed twice is one key.
                key_sha256=tuple(
                    dict.fromkeys(hash_key(key) for key in tenant.api_keys)
                ),
                tier=tenant.priority,
            )
            for tenant in manifest.tenants
        },
        pools={
            service.name: _build_pool(service) for service in manifest.services
        },
    )
    return Tree({ROOT: node})


def _build_classes(routes: list[_Route]) -> dict[str, JsonObject]:
    highest: dict[str, int] = {}
    for route in routes:
        pool = _get_pool_name(route)
        tier = min(route.priority, highest.get(pool, route.priority))
        highest[pool] = tier
    return {
        each.name: _build_class(each, highest[_get_pool_name(each)])
        for each in routes
    }


def _build_class(route: _Route, highest: int) -> JsonObject:
    pool = _get_pool_name(route)
    fields = build_class_fields(
        pool,
        tier=route.priority,
        streaming=route.kind == _STREAMING,
        objective_ms=route.slo_ms,
        gap_ms=route.gap_aim_ms,
        highest_tier=route.priority == highest,
    )
    fields['idempotent'] = route.kind == _IDEMPOTENT
    fields['resumable'] = route.resumable
    fields['deadline_s'] = route.timeout_ms / _MS_PER_S
    return fields


def _get_pool_name(route: _Route) -> str:
    if route.traffic_split:
        return route.traffic_split[0].service
    return route.service


def _build_pool(service: _Service) -> Pool:
    engine = service.engine
    if engine is None:
        pool = build_service_pool()
    else:
        pool = build_engine_pool(engine.slots, engine.kv_tokens, engine.stride)
    return msgspec.structs.replace(pool, scaling=_build_scaling(service))


def _build_scaling(service: _Service) -> Scaling | None:
    """Return the bounds of a service's runners.

    :return: ``None`` if it has none or they are malformed. Its runners then
        stay as they are, and the rest of the manifest takes effect.
    """
    if bytes(service.scaling) == _NULL:
        return None
    try:
        decoded = decode_json(bytes(service.scaling), _Scaling)
    except MalformedData as error:
        log_event('scaling_unusable', pool=service.name, reason=error.reason)
        return None
    return Scaling(
        minimum=min(decoded.min, decoded.max),
        maximum=decoded.max,
        boot_s=decoded.boot_s,
        reclaimable_price=decoded.spot_price,
        prices=decoded.zone_prices,
    )
