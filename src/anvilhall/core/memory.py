"""Shares the memory for bodies of requests among client accounts.

Memory is reserved before a body is read, and released when its request ends.
What an account may hold depends on what is free, so that some memory is left
for other accounts however much one of them sends.
"""

import collections
from collections.abc import Callable
from typing import TypeVar

from anvilhall.exceptions import MemoryFull

_Key = TypeVar('_Key')

_BYTES_PER_MB = 1_000_000
#: Memory of an instance without requests, with room for large settings.
_BASE_BYTES = 64 * _BYTES_PER_MB
#: Share of the rest that bodies and unsent answers may take; a body is copied
#: while it is put together, and the allocator does not return all memory.
_SHARE = 0.7
#: Least bytes for bodies, whatever the limit of the process.
_LEAST_BYTES = 8 * _BYTES_PER_MB
#: Multiple of the free memory that an account may hold: in requests of the
#: highest tier that holds memory, and in others.
_FIRST_SHARE = 8.0
_OTHER_SHARE = 3.0
#: Largest body that needs no more than free memory, whatever its account
#: holds.
_SHORT_BYTES = 16_384
#: ``Retry-After`` of refused requests, in seconds.
_RETRY_AFTER_S = 0.5


class MemoryBudget:
    """Bytes of the bodies that an instance holds.

    :param limit_bytes: most bytes of bodies and unsent answers together.
    :param measure_unsent: returns the bytes of answers that are not sent yet.
    """

    __slots__ = ('_by_account', '_by_tier', '_measure_unsent', 'limit_bytes')

    def __init__(
        self, limit_bytes: float, measure_unsent: Callable[[], int]
    ) -> None:
        """Start without bodies."""
        self.limit_bytes = limit_bytes
        self._measure_unsent = measure_unsent
        self._by_account: collections.Counter[str] = collections.Counter()
        self._by_tier: collections.Counter[int] = collections.Counter()

    @property
    def held_bytes(self) -> int:
        """Bytes that are reserved for bodies."""
        return self._by_account.total()

    def reserve(
        self, account: str, tier: int, size: int, before: int = 0
    ) -> None:
        """Reserve memory for a body or the next part of it.

        :param before: bytes that are reserved for the same body already.
        :raises MemoryFull: if the account may not hold as much now.
        """
        if not size:
            return
        free = self.limit_bytes - self.held_bytes - self._measure_unsent()
        first = all(tier <= other for other in self._by_tier)
        share = _FIRST_SHARE if first else _OTHER_SHARE
        wanted = self._by_account[account] + size
        long = before + size > _SHORT_BYTES
        if size > free or (long and wanted > share * free):
            raise MemoryFull(
                f'{size} bytes wanted, {self._by_account[account]} held by '
                f'the account, {max(free, 0):.0f} free',
                _RETRY_AFTER_S,
            )
        self._by_account[account] = wanted
        self._by_tier[tier] += size

    def release(self, account: str, tier: int, size: int) -> None:
        """Release memory that was reserved."""
        _subtract(self._by_account, account, size)
        _subtract(self._by_tier, tier, size)


def compute_body_limit(memory_mb: float) -> float:
    """Return the bytes for bodies of a process, from its limit in megabytes."""
    rest = memory_mb * _BYTES_PER_MB - _BASE_BYTES
    return max(_LEAST_BYTES, rest * _SHARE)


def _subtract(held: 'collections.Counter[_Key]', key: _Key, size: int) -> None:
    held[key] -= size
    if held[key] <= 0:
        held.pop(key)
