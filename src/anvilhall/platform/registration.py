"""Entries of runners and of this system's instances in the store."""

import msgspec

from anvilhall.core.members import Member
from anvilhall.core.settings import SettingsFaulty
from anvilhall.exceptions import UnusableEntry
from anvilhall.local import split_address
from anvilhall.platform.store import KeyedRecord

_READY = 'ready'
_DRAINING = 'draining'


class _Server(msgspec.Struct):
    """What a runner writes about itself."""

    #: Name of the pool.
    service: str
    address: str
    zone: str
    state: str
    slots: int = 0
    #: Unix milliseconds of its start: tells a restart under the same id.
    born: int = 0


class _Instance(msgspec.Struct):
    """What an instance of this system writes about itself."""

    address: str
    failure_domain: str
    region: str
    #: In cores.
    capacity: float = 0.0


def decode_runner(record: KeyedRecord, region: str) -> Member:
    """Decode the entry of a runner.

    :param region: region of the reader, which the runners share.
    :raises UnusableEntry: if it is not what a runner writes.
    """
    try:
        server = msgspec.json.decode(record.content or b'', type=_Server)
        split_address(server.address)
    except (msgspec.DecodeError, SettingsFaulty) as error:
        raise UnusableEntry(f'{record.key}: {error}') from error
    if server.state not in {_READY, _DRAINING} or not server.service:
        raise UnusableEntry(f'{record.key}: state {server.state!r}')
    return Member(
        name=record.key,
        address=server.address,
        failure_domain=server.zone,
        pool=server.service,
        leaving=server.state == _DRAINING,
        region=region,
        slots=max(0, server.slots),
        born=server.born,
    )


def decode_instance(record: KeyedRecord) -> Member:
    """Decode the entry of an instance of this system.

    :raises UnusableEntry: if it can't be read.
    """
    try:
        entry = msgspec.json.decode(record.content or b'', type=_Instance)
    except msgspec.DecodeError as error:
        raise UnusableEntry(f'{record.key}: {error}') from error
    return Member(
        name=record.key,
        address=entry.address,
        failure_domain=entry.failure_domain,
        region=entry.region,
        capacity=entry.capacity,
    )


def encode_instance(member: Member) -> KeyedRecord:
    """Encode the entry of an instance of this system."""
    entry = _Instance(
        member.address,
        member.failure_domain,
        member.region,
        member.capacity,
    )
    return KeyedRecord(member.name, msgspec.json.encode(entry))
