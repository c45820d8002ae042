"""Clients of the platform's membership list."""

import math
from collections.abc import Iterable, Iterator
from typing import Protocol

import msgspec

from anvilhall.core.members import Member, MemberList
from anvilhall.core.settings import SettingsFaulty
from anvilhall.decoding import decode_items, decode_json
from anvilhall.exceptions import (
    MalformedData,
    PlatformError,
    UnusableEntry,
    UpstreamCut,
    UpstreamRefused,
    UpstreamStalled,
)
from anvilhall.local import split_address
from anvilhall.logs import log_event
from anvilhall.outbound import Call, Outbound
from anvilhall.registry import Registry

#: Timeout of one read of the list, in seconds.
_CALL_TIMEOUT_S = 2.0
_HTTP_OK = 200
#: Largest integer that instances exchange.
_MAX_INTEGER = 2**63 - 1
_MAX_SLOTS = 2**31 - 1
#: Characters of a software version; versions are sent between instances.
_MAX_VERSION_CHARACTERS = 128
#: Characters of an error's reason in a log line.
_SHOWN_CHARACTERS = 200


class _Listing(msgspec.Struct):
    members: list[msgspec.Raw]


class MembershipClient(Protocol):
    """Reads the membership list; any client must provide this."""

    async def read(self) -> MemberList:
        """Return the list.

        :raises PlatformError: if the service gives no usable answer.
        """


MEMBERSHIP_CLIENTS: Registry[type['HttpMembershipClient']] = Registry(
    'membership client',
)


@MEMBERSHIP_CLIENTS.register('http')
class HttpMembershipClient:
    """Membership list with an HTTP interface."""

    __slots__ = ('_base_url', '_outbound')

    def __init__(self, base_url: str, outbound: Outbound) -> None:
        """Use the service at a URL."""
        self._base_url = base_url
        self._outbound = outbound

    async def read(self) -> MemberList:
        """Return the list."""
        call = Call(url=f'{self._base_url}/members', timeout_s=_CALL_TIMEOUT_S)
        try:
            reply = await self._outbound.fetch(call)
        except (UpstreamRefused, UpstreamCut, UpstreamStalled) as error:
            raise PlatformError(error.reason) from error
        if reply.status != _HTTP_OK:
            raise PlatformError(
                f'membership list answered with status {reply.status}',
            )
        try:
            listing: _Listing = decode_items(reply.body, _Listing)
        except MalformedData as error:
            raise PlatformError(
                f'membership list cannot be decoded: {error.reason}',
            ) from error
        return MemberList(members=tuple(_decode_members(listing.members)))


def check_member(member: Member) -> None:
    """Check the fields that requests, links and peers depend on.

    :raises UnusableEntry: if one is unusable.
    """
    name = member.name
    printable = name.isascii() and name.isprintable()
    # Names are sent in headers.
    if not name or not printable or ' ' in name:
        raise UnusableEntry(f'{name!r} is not a name')
    try:
        split_address(member.address)
    except SettingsFaulty as error:
        raise build_unusable(name, error.reason) from error
    if not (
        0 <= member.born <= _MAX_INTEGER
        and 0 <= member.slots <= _MAX_SLOTS
        and 0 <= member.capacity < math.inf
    ):
        raise build_unusable(
            name,
            f'started at {member.born}, {member.slots} slots, '
            f'capacity {member.capacity}',
        )
    version = member.version
    if len(version) > _MAX_VERSION_CHARACTERS or not version.isprintable():
        raise build_unusable(name, f'version {version!r}')


def build_unusable(name: str, reason: str) -> UnusableEntry:
    """Return the error of an entry, with the start of the reason."""
    return UnusableEntry(f'{name}: {reason[:_SHOWN_CHARACTERS]}')


def _decode_members(entries: Iterable[msgspec.Raw]) -> Iterator[Member]:
    """Decode the members; those that can't be used are left out."""
    for encoded in entries:
        try:
            member: Member = decode_json(bytes(encoded), Member)
            check_member(member)
        except (MalformedData, UnusableEntry) as error:
            log_event('entry_unusable', reason=error.reason)
        else:
            yield member
