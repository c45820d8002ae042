"""Instances and upstreams as the platform lists them."""

import msgspec


class Member(msgspec.Struct, frozen=True):
    """One entry of the list: an entry instance or an upstream."""

    name: str
    #: Host and port: of the peer link for an instance, of HTTP for an upstream.
    address: str
    failure_domain: str
    #: Pool of an upstream; empty for an entry instance.
    pool: str = ''
    leaving: bool = False
    region: str = ''
    #: Requests that an upstream runs at once; 0: as its pool's settings say.
    slots: int = 0
    #: Processor share of an instance, in cores; 0: unknown.
    capacity: float = 0.0
    #: Unix milliseconds of an upstream's start; 0: unknown.
    born: int = 0


class MemberList(msgspec.Struct, frozen=True):
    """The list as the platform tells it, which lags behind the truth."""

    members: tuple[Member, ...]
