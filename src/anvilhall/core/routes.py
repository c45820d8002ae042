"""Routes select the pool that serves a request by its host and path."""

import zlib

import msgspec

from anvilhall.core.tree import Tree
from anvilhall.exceptions import PeerProtocolBroken, UnknownPath

_CRC_RANGE = 1 << 32
#: Fastest level of zlib: routes repeat their field names, so that even this one
#: makes the settings about ten times smaller.
_COMPRESSION_LEVEL = 1
#: Largest size of decompressed settings, in bytes.
_SETTINGS_LIMIT_BYTES = 16 * 1024 * 1024


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """Pools and properties of the requests of one host and path prefix."""

    #: Name of the route and of its request class in the settings tree.
    name: str
    host: str
    #: Begins and ends with a slash.
    prefix: str
    #: Pools with their relative shares of the requests.
    pools: tuple[tuple[str, float], ...]
    #: Whether responses are event streams.
    streaming: bool = False
    #: Whether a request may run more than once.
    idempotent: bool = False
    #: Whether an interrupted stream may continue on another runner.
    resumable: bool = False
    #: Maximum number of attempts of one request that reach a runner.
    attempts: int = 1
    #: Priority of the route; 0 is the highest.
    tier: int = 0
    #: Time from arrival to the end of the answer, in seconds.
    timeout_s: float = 30.0
    #: Target time to the first event, or to the complete response if it is no
    #: stream, in seconds.
    objective_s: float = 1.0
    #: Whether requests need no key.
    public: bool = False

    @property
    def retryable(self) -> bool:
        """Whether a request that may have run may be sent again."""
        return self.idempotent and not self.streaming

    @property
    def keeps_version(self) -> bool:
        """Whether responses may be resumed, at the version that began them."""
        return self.streaming and self.resumable

    @property
    def open_pools(self) -> frozenset[str]:
        """Pools that get requests of this route."""
        return frozenset(pool for pool, share in self.pools if share > 0)

    def choose_pool(self, request_id: str) -> str:
        """Return the pool of a request; it depends on the identifier only.

        :raises UnknownPath: if the shares of the pools add up to 0.
        """
        total = sum(share for _, share in self.pools)
        if total <= 0:
            raise UnknownPath(
                f'route {self.name!r} has no pool with a share above 0',
            )
        point = zlib.crc32(request_id.encode()) / _CRC_RANGE * total
        for pool, share in self.pools:
            point -= share
            if point < 0:
                return pool
        return self.pools[-1][0]


class RouteTable:
    """Routes by host and longest path prefix."""

    __slots__ = ('_by_host', 'routes')

    def __init__(self, routes: tuple[Route, ...]) -> None:
        """Index the routes by host and prefix."""
        self.routes = routes
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in routes:
            prefixes = self._by_host.setdefault(route.host.lower(), {})
            prefixes[route.prefix] = route

    def find(self, host: str, path: str) -> Route:
        """Return the route of a request.

        :raises UnknownPath: if no route matches.
        """
        prefixes = self._by_host.get(host.partition(':')[0].lower(), {})
        end = len(path)
        while end > 0:
            end = path.rfind('/', 0, end) + 1
            route = prefixes.get(path[:end])
            if route:
                return route
            end -= 1
        raise UnknownPath(f'no route for host {host!r} and path {path!r}')


class RequestLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits of callers' requests and connections."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    #: Seconds after which an idle connection of a caller is closed.
    idle_s: float = 60.0


class RoutingSettings:
    """One version of the routes with the settings that they refer to."""

    __slots__ = (
        '_compressed',
        'encoded',
        'limits',
        'table',
        'tree',
        'version',
    )

    def __init__(
        self,
        version: int,
        tree: Tree,
        table: RouteTable,
        limits: RequestLimits,
        encoded: bytes,
    ) -> None:
        """Store the parts of the version.

        :param encoded: serialized form of the version.
        """
        self._compressed: bytes | None = None
        self.version = version
        self.tree = tree
        self.table = table
        self.limits = limits
        self.encoded = encoded

    @property
    def compressed(self) -> bytes:
        """Compressed serialized form, in which instances exchange versions."""
        if self._compressed is None:
            self._compressed = zlib.compress(self.encoded, _COMPRESSION_LEVEL)
        return self._compressed


def decompress_settings(snapshot: bytes) -> bytes:
    """Return the serialized form of settings that a peer has sent.

    :param snapshot: serialized form, compressed or, from instances of earlier
        versions, not.
    :raises PeerProtocolBroken: if it cannot be decompressed or is too large.
    """
    if snapshot.startswith(b'{'):
        return snapshot
    decompressor = zlib.decompressobj()
    try:
        encoded = decompressor.decompress(snapshot, _SETTINGS_LIMIT_BYTES)
    except zlib.error as error:
        raise PeerProtocolBroken(
            f'settings are not compressed data: {error}',
        ) from error
    if not decompressor.eof:
        raise PeerProtocolBroken(
            f'settings are truncated or exceed {_SETTINGS_LIMIT_BYTES} bytes',
        )
    return encoded
