"""Instances and upstreams in the platform's member list."""

from typing import NamedTuple

import msgspec


class Member(msgspec.Struct, frozen=True):
    """An entry instance or an upstream."""

    name: str
    #: Host and port: of peer links for an instance, of HTTP for an upstream.
    address: str
    failure_domain: str
    #: Pool of an upstream; empty for an entry instance.
    pool: str = ''
    leaving: bool = False
    region: str = ''
    #: Concurrent requests of an upstream; 0: see its pool's settings.
    slots: int = 0
    #: CPU share of an instance, in cores; 0: unknown.
    capacity: float = 0.0
    #: Start time of an upstream, in Unix milliseconds; 0: unknown.
    born: int = 0
    #: Software version of an upstream; empty: unknown. Versions have no order.
    version: str = ''
    #: Whether the platform may take an upstream away at short notice.
    reclaimable: bool = False
    #: Seconds until an upstream is taken away; ``None``: not announced.
    leaves_in_s: float | None = None


class Process(NamedTuple):
    """Identity of an upstream's process among those of the same name."""

    #: Start in Unix milliseconds; 0: unknown.
    born: int
    #: Address and version of a process without start; else empty.
    address: str = ''
    version: str = ''


def identify_process(member: Member) -> Process:
    """Return the process that an entry of an upstream names."""
    if member.born:
        return Process(member.born)
    return Process(0, member.address, member.version)


class MemberList(msgspec.Struct, frozen=True):
    """The platform's member list; it lags behind the actual state."""

    members: tuple[Member, ...]
