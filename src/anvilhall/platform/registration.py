"""Store entries of runners, and those that this system keeps for itself."""

from collections.abc import Iterable
from typing import Any

import msgspec

from anvilhall.core.members import Member
from anvilhall.core.quarantine import QuarantineEntry
from anvilhall.decoding import decode_json
from anvilhall.exceptions import MalformedData
from anvilhall.memberlist import build_unusable, check_member
from anvilhall.platform.store import KeyedRecord

_READY = 'ready'
_DRAINING = 'draining'
_MS_PER_S = 1000.0
#: Longest remaining time of a runner that is taken for one, in milliseconds.
_MAX_LEAVES_MS = 1e9
#: Prefix of the keys of quarantined prompts, which share the topic of the
#: instances, so that one read returns both. Names of instances have no slash.
_QUARANTINE_PREFIX = 'quarantine/'
#: The same of the versions of a pool's runners.
_VERSIONS_PREFIX = 'versions/'


class _Server(msgspec.Struct):
    """Entry that a runner writes for itself."""

    #: Name of the pool.
    service: str
    address: str
    zone: str
    state: str
    slots: int = 0
    #: Start time in Unix milliseconds; reveals a restart under the same name.
    born: int = 0
    #: Version of its software.
    version: str = ''
    #: Whether the platform may take it away at short notice. This field and the
    #: next are checked apart, as a runner can be used without them.
    spot: Any = None
    #: Time until it is taken away, in milliseconds.
    leaves_ms: Any = None


class _Instance(msgspec.Struct):
    """Entry that an instance of this system writes for itself."""

    address: str
    failure_domain: str
    region: str
    #: CPU capacity in cores; 0: unknown.
    capacity: float = 0.0


def decode_runner(record: KeyedRecord, region: str) -> Member:
    """Decode the entry of a runner.

    :param region: region of this instance, which all listed runners share.
    :raises UnusableEntry: if the entry is malformed, has an unknown state or
        names no service.
    """
    try:
        server: _Server = decode_json(record.content or b'', _Server)
    except MalformedData as error:
        raise build_unusable(record.key, error.reason) from error
    if server.state not in {_READY, _DRAINING}:
        raise build_unusable(record.key, f'state {server.state!r}')
    leaves_in_s = _convert_remaining(server.leaves_ms)
    runner = Member(
        name=record.key,
        address=server.address,
        failure_domain=server.zone,
        pool=server.service,
        leaving=server.state == _DRAINING or leaves_in_s is not None,
        region=region,
        slots=max(0, server.slots),
        born=server.born,
        version=server.version,
        reclaimable=server.spot is True,
        leaves_in_s=leaves_in_s,
    )
    check_runner(runner)
    return runner


def _convert_remaining(leaves_ms: Any) -> float | None:
    """Return the seconds until a runner leaves; ``None``: not stated."""
    if isinstance(leaves_ms, bool) or not isinstance(leaves_ms, int | float):
        return None
    return leaves_ms / _MS_PER_S if 0 < leaves_ms <= _MAX_LEAVES_MS else None


def check_runner(runner: Member) -> None:
    """Check the fields of a runner that requests and peers depend on.

    :raises UnusableEntry: if no request can be sent to it.
    """
    check_member(runner)
    if not runner.pool:
        raise build_unusable(runner.name, 'no service')


def decode_instance(record: KeyedRecord) -> Member:
    """Decode the entry of an instance of this system.

    :raises UnusableEntry: if the entry is malformed.
    """
    try:
        entry: _Instance = decode_json(record.content or b'', _Instance)
    except MalformedData as error:
        raise build_unusable(record.key, error.reason) from error
    instance = Member(
        name=record.key,
        address=entry.address,
        failure_domain=entry.failure_domain,
        region=entry.region,
        capacity=entry.capacity,
    )
    check_member(instance)
    return instance


def encode_instance(member: Member) -> KeyedRecord:
    """Encode the entry of an instance of this system."""
    entry = _Instance(
        member.address,
        member.failure_domain,
        member.region,
        member.capacity,
    )
    return KeyedRecord(member.name, msgspec.json.encode(entry))


def is_instance(record: KeyedRecord) -> bool:
    """Return whether a record is the entry of an instance of this system."""
    return '/' not in record.key


def is_quarantine(record: KeyedRecord) -> bool:
    """Return whether a record is the entry of a quarantined prompt."""
    return record.key.startswith(_QUARANTINE_PREFIX)


def decode_quarantine(record: KeyedRecord) -> QuarantineEntry:
    """Decode the entry of a quarantined prompt.

    :raises UnusableEntry: if the entry is malformed.
    """
    try:
        return decode_json(record.content or b'', QuarantineEntry)
    except MalformedData as error:
        raise build_unusable(record.key, error.reason) from error


def encode_quarantine(entry: QuarantineEntry) -> KeyedRecord:
    """Encode the entry of a quarantined prompt; a withdrawn one is removed."""
    content = msgspec.json.encode(entry) if entry.parts else None
    return KeyedRecord(f'{_QUARANTINE_PREFIX}{entry.key}', content)


def is_versions(record: KeyedRecord) -> bool:
    """Return whether a record names the versions of a pool's runners."""
    return record.key.startswith(_VERSIONS_PREFIX)


def decode_versions(record: KeyedRecord) -> tuple[str, tuple[str, ...]]:
    """Decode the versions of a pool's runners.

    :return: the pool and its versions.
    :raises UnusableEntry: if the entry is malformed.
    """
    try:
        versions = decode_json(record.content or b'', tuple[str, ...])
    except MalformedData as error:
        raise build_unusable(record.key, error.reason) from error
    return record.key.removeprefix(_VERSIONS_PREFIX), versions


def encode_versions(pool: str, versions: Iterable[str]) -> KeyedRecord:
    """Encode the versions of a pool's runners."""
    content = msgspec.json.encode(sorted(versions))
    return KeyedRecord(f'{_VERSIONS_PREFIX}{pool}', content)
