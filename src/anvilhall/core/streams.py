"""Where resumable streams began, and which versions of their pools served.

A stream may go on only at the software version that began it. An instance
remembers the streams whose first events it relayed. The journal of the
platform's store keeps those of all instances, while a pool has several
versions.
"""

import collections
import hashlib
from collections.abc import Iterable, Iterator, Mapping

import msgspec

from anvilhall.core.members import Member
from anvilhall.exceptions import MalformedData

#: Version of streams that began at an unknown one.
UNKNOWN = ''
#: Size in bytes of a stream's key.
KEY_BYTES = 8
#: Least seconds for which a stream and a version are remembered, and the
#: seconds beyond the longest timeout of a stream: a caller takes a stream up
#: within its timeout, and instances learn of changes within a few seconds.
_MIN_RETENTION_S = 20.0
_RETENTION_MARGIN_S = 10.0
#: Streams that an instance remembers of its own, and of the journal. An entry
#: of its own takes some 500 bytes, one of the journal fewer.
_MAX_STREAMS = 32_768
_MAX_RECORDED = 131_072
#: Versions of a pool that are remembered, those that have gone included.
_MAX_VERSIONS = 64
#: Streams in one record of the journal; a record has at most 256 KiB.
_RECORD_STREAMS = 8192
#: Seconds by which the clocks of instances and runners may differ.
_CLOCK_DIFFERENCE_S = 1.0
_MS_PER_S = 1000.0

#: Keys of streams, joined, by pool and version.
Begun = dict[str, dict[str, bytes]]


def compute_stream_key(account: str, request_id: str) -> bytes:
    """Return the key of the stream that an account's request began."""
    text = f'{account}\0{request_id}'.encode()
    return hashlib.blake2b(text, digest_size=KEY_BYTES).digest()


def compute_retention_s(timeouts_s: Iterable[float]) -> float:
    """Return the seconds for which streams and versions are remembered.

    :param timeouts_s: timeouts of the resumable routes.
    """
    longest_s = max(timeouts_s, default=0.0)
    return max(_MIN_RETENTION_S, longest_s + _RETENTION_MARGIN_S)


class Origin(msgspec.Struct, frozen=True):
    """Where a stream began."""

    pool: str
    #: Software version; :data:`UNKNOWN` if it can't be told.
    version: str


class Beginning:
    """Beginning of a stream that this instance has relayed.

    :param origin: pool, and version by the entry that was read before.
    :param runner: runner that sent the first event.
    :param begun_at: time of that event, in monotonic seconds.
    :param begun_ms: the same in Unix milliseconds.
    :param address: address of the runner.
    :param born: start of the runner by that entry, in Unix milliseconds.
    """

    __slots__ = (
        'address',
        'begun_at',
        'begun_ms',
        'born',
        'current',
        'key',
        'origin',
        'runner',
        'settled',
    )

    def __init__(
        self,
        origin: Origin,
        runner: str,
        begun_at: float,
        begun_ms: float,
        address: str = '',
        born: int = 0,
    ) -> None:
        """Keep what is known as the event is relayed."""
        self.origin = origin
        self.runner = runner
        self.begun_at = begun_at
        self.begun_ms = begun_ms
        self.address = address
        self.born = born
        #: Key by which it is remembered; empty: it is not yet.
        self.key = b''
        #: Whether the view of the runners was current then, and the runner had
        #: not just failed: its entry may name the process before.
        self.current = False
        #: Whether the version is known not to be that of a process that took
        #: the runner's place before the event.
        self.settled = False


class StreamMemory:
    """Streams whose first events this instance has relayed."""

    __slots__ = ('_streams', 'retention_s')

    def __init__(self) -> None:
        """Start without streams."""
        self.retention_s = compute_retention_s(())
        self._streams: collections.OrderedDict[bytes, Beginning] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        """Return the number of streams."""
        return len(self._streams)

    def note(self, key: bytes, beginning: Beginning) -> None:
        """Remember a stream."""
        beginning.key = key
        self._streams[key] = beginning
        self._streams.move_to_end(key)
        oldest_at = beginning.begun_at - self.retention_s
        while (
            len(self._streams) > _MAX_STREAMS
            or next(iter(self._streams.values())).begun_at < oldest_at
        ):
            self._streams.popitem(last=False)

    def find(self, key: bytes) -> Beginning | None:
        """Return where a stream began, if it is remembered."""
        return self._streams.get(key)

    def list_pool(self, pool: str) -> Iterator[tuple[bytes, Origin]]:
        """Yield the streams of a pool, oldest first."""
        for key, stream in self._streams.items():
            if stream.origin.pool == pool:
                yield key, stream.origin

    def forget_runner(self, runner: str, born: int) -> list[bytes]:
        """Mark streams that may have begun at another start of their runner.

        :param born: time of the runner's last start, in Unix milliseconds.
        :return: the streams whose version is unknown now.
        """
        earliest_ms = born - _CLOCK_DIFFERENCE_S * _MS_PER_S
        marked: list[bytes] = []
        for key, stream in self._streams.items():
            if stream.runner != runner or stream.settled:
                continue
            if stream.born and stream.born >= born:
                # Another instance had read the new entry before.
                continue
            if stream.begun_ms > earliest_ms:
                stream.origin = Origin(stream.origin.pool, UNKNOWN)
                marked.append(key)
        return marked

    def forget_doubted(self, runner: str, born: int) -> None:
        """Mark streams that may have begun at a start between two listed ones.

        A process that starts and ends while the registry is away is never
        listed. Streams that began beside a current view are not marked, as
        this would cost all streams of each restart.

        :param born: time of the runner's last start, in Unix milliseconds.
        """
        for stream in self._streams.values():
            if (
                stream.runner == runner
                and max(stream.born, stream.begun_ms) < born
                and not (stream.settled or stream.current)
            ):
                stream.origin = Origin(stream.origin.pool, UNKNOWN)


class VersionHistory:
    """Versions of one pool that serve or have served recently."""

    __slots__ = ('_last_at', '_listed')

    def __init__(self) -> None:
        """Start without versions."""
        self._listed: frozenset[str] = frozenset()
        #: Monotonic time at which a version was last known to serve. Versions
        #: of the past stay, so that an old record does not bring them back.
        self._last_at: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )

    def set_listed(self, versions: frozenset[str], now: float) -> None:
        """Replace the versions that the registry lists."""
        for version in self._listed | versions:
            self._touch(version, now)
        self._listed = versions

    def apply_stored(self, versions: Iterable[str], now: float) -> None:
        """Add versions of the stored record, unless they were known before."""
        for version in versions:
            if version not in self._last_at:
                self._touch(version, now)

    def list_versions(self, now: float, retention_s: float) -> frozenset[str]:
        """Return the versions at which streams may have begun."""
        recent = {
            version
            for version, last_at in self._last_at.items()
            if now - last_at < retention_s
        }
        return self._listed | recent

    def _touch(self, version: str, now: float) -> None:
        self._last_at[version] = now
        self._last_at.move_to_end(version)
        while len(self._last_at) > max(_MAX_VERSIONS, len(self._listed)):
            self._last_at.popitem(last=False)


class Histories:
    """Histories of versions by pool."""

    __slots__ = ('_by_pool', 'retention_s')

    def __init__(self) -> None:
        """Start without pools."""
        self.retention_s = compute_retention_s(())
        self._by_pool: dict[str, VersionHistory] = {}

    def set_runners(self, runners: Iterable[Member], now: float) -> None:
        """Replace the runners that the registry lists."""
        listed: dict[str, set[str]] = {}
        for runner in runners:
            listed.setdefault(runner.pool, set()).add(runner.version)
        for pool in listed.keys() | self._by_pool.keys():
            versions = frozenset(listed.get(pool, ()))
            self._get_history(pool).set_listed(versions, now)

    def apply_stored(
        self, stored: Mapping[str, Iterable[str]], now: float
    ) -> None:
        """Add the versions of stored records, by pool."""
        for pool, versions in stored.items():
            self._get_history(pool).apply_stored(versions, now)

    def list_versions(self, pool: str, now: float) -> frozenset[str]:
        """Return the versions at which streams of a pool may have begun."""
        history = self._by_pool.get(pool)
        if history is None:
            return frozenset()
        return history.list_versions(now, self.retention_s)

    def _get_history(self, pool: str) -> VersionHistory:
        return self._by_pool.setdefault(pool, VersionHistory())


class StreamRecord(msgspec.Struct, frozen=True):
    """Record of the journal: streams that have begun."""

    #: Time of writing, in Unix milliseconds.
    written_ms: float
    begun: Begun


def encode_record(record: StreamRecord) -> bytes:
    """Encode a record of the journal."""
    return msgspec.msgpack.encode(record)


def decode_record(content: bytes) -> StreamRecord:
    """Decode a record of the journal.

    :raises MalformedData: if it is none.
    """
    try:
        return msgspec.msgpack.decode(content, type=StreamRecord)
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        raise MalformedData(f'not a record of streams: {error}') from error


def iterate_streams(begun: Begun) -> Iterator[tuple[bytes, Origin]]:
    """Yield the key and the origin of each stream."""
    for pool, versions in begun.items():
        for version, joined in versions.items():
            origin = Origin(pool, version)
            for start in range(0, len(joined) - KEY_BYTES + 1, KEY_BYTES):
                yield joined[start : start + KEY_BYTES], origin


class StreamQueue:
    """Streams that are to be written to the journal."""

    __slots__ = ('_streams',)

    def __init__(self) -> None:
        """Start empty."""
        self._streams: collections.OrderedDict[bytes, Origin] = (
            collections.OrderedDict()
        )

    def __contains__(self, key: object) -> bool:
        """Return whether a stream waits."""
        return key in self._streams

    def __len__(self) -> int:
        """Return the number of streams."""
        return len(self._streams)

    def add(self, key: bytes, origin: Origin) -> bool:
        """Add a stream; the newest origin of a key is written.

        :return: whether there was room; if not, the oldest stream is dropped.
        """
        self._streams[key] = origin
        if len(self._streams) <= _MAX_STREAMS:
            return True
        self._streams.popitem(last=False)
        return False

    def peek(self) -> dict[bytes, Origin]:
        """Return the oldest streams, as many as one record holds."""
        oldest: dict[bytes, Origin] = {}
        for key, origin in self._streams.items():
            if len(oldest) == _RECORD_STREAMS:
                break
            oldest[key] = origin
        return oldest

    def discard(self, written: Mapping[bytes, Origin]) -> None:
        """Remove streams, unless their origin has changed meanwhile."""
        for key, origin in written.items():
            if self._streams.get(key) == origin:
                self._streams.pop(key)


def group_streams(streams: Mapping[bytes, Origin]) -> Begun:
    """Return streams by pool and version."""
    begun: dict[str, dict[str, list[bytes]]] = {}
    for key, origin in streams.items():
        versions = begun.setdefault(origin.pool, {})
        versions.setdefault(origin.version, []).append(key)
    return {
        pool: {version: b''.join(keys) for version, keys in versions.items()}
        for pool, versions in begun.items()
    }


class RecordedStreams:
    """Streams of the journal."""

    __slots__ = ('_streams',)

    def __init__(self) -> None:
        """Start without streams."""
        self._streams: collections.OrderedDict[bytes, Origin] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        """Return the number of streams."""
        return len(self._streams)

    def add(self, key: bytes, origin: Origin) -> None:
        """Add a stream; one recorded with two versions is of unknown version.

        :param origin: origin that the journal or another instance states.
        """
        known = self._streams.get(key, origin)
        self._streams[key] = (
            origin if known == origin else Origin(origin.pool, UNKNOWN)
        )
        self._streams.move_to_end(key)
        if len(self._streams) > _MAX_RECORDED:
            self._streams.popitem(last=False)

    def find(self, key: bytes) -> Origin | None:
        """Return where a stream began, if it is recorded."""
        return self._streams.get(key)
