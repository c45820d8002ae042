"""Clients of the platform's membership list."""

from typing import Protocol

import msgspec

from anvilhall.core.members import MemberList
from anvilhall.exceptions import (
    PlatformError,
    UpstreamCut,
    UpstreamRefused,
    UpstreamStalled,
)
from anvilhall.outbound import Call, Outbound
from anvilhall.registry import Registry

#: Timeout of one read of the list, in seconds.
_CALL_TIMEOUT_S = 2.0
_HTTP_OK = 200


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
            return msgspec.json.decode(reply.body, type=MemberList)
        except msgspec.DecodeError as error:
            raise PlatformError(
                f'membership list cannot be decoded: {error}',
            ) from error
