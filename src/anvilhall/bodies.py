"""Bodies of callers' requests while they arrive and until they are answered."""

from anvilhall.core.memory import MemoryBudget
from anvilhall.exceptions import BodyTooLarge

#: Digits of a declared length that are decoded or shown.
_SHOWN_DIGITS = 18


class RequestBody:
    """The body of one request, and the memory that is reserved for it.

    :param memory: memory for all bodies.
    """

    __slots__ = (
        '_account',
        '_chunks',
        '_limit',
        '_memory',
        '_reserved',
        '_tier',
        'size',
    )

    def __init__(self, memory: MemoryBudget) -> None:
        """Start with nothing received."""
        self._memory = memory
        self._chunks: list[bytes] = []
        self._limit = 0
        self._account = ''
        self._tier = 0
        self._reserved = 0
        #: Bytes that have arrived.
        self.size = 0

    def set_limit(self, limit_bytes: int) -> None:
        """Set the largest size by the settings when the head arrived."""
        self._limit = limit_bytes

    def expect(self, declared: str, account: str, tier: int) -> None:
        """Reserve memory for a body before it is read.

        :param declared: value of the header ``Content-Length``.
        :raises BodyTooLarge: if the declared length exceeds the limit.
        :raises MemoryFull: if there is no memory for it.
        """
        self._account = account
        self._tier = tier
        if exceeds_limit(declared, self._limit):
            raise BodyTooLarge(
                f'Content-Length is {declared[:_SHOWN_DIGITS]}; '
                f'the limit is {self._limit} bytes',
            )
        if declared.isascii() and declared.isdecimal():
            self._reserve(int(declared))

    def add(self, chunk: bytes) -> None:
        """Add a chunk that has arrived.

        :raises BodyTooLarge: if the body exceeds the limit.
        :raises MemoryFull: if there is no memory for it.
        """
        self.size += len(chunk)
        if self.size > self._limit:
            raise BodyTooLarge(
                f'the body has {self.size} bytes; the limit is {self._limit}',
            )
        self._reserve(self.size)
        self._chunks.append(chunk)

    def take(self) -> bytes:
        """Return the whole body, which this object then no longer holds.

        Its memory stays reserved.
        """
        whole = b''.join(self._chunks)
        self._chunks.clear()
        return whole

    def drop(self) -> None:
        """Forget what has arrived, and release the memory."""
        self._chunks.clear()
        self._memory.release(self._account, self._tier, self._reserved)
        self._reserved = 0

    def _reserve(self, size: int) -> None:
        missing = size - self._reserved
        if missing > 0:
            self._memory.reserve(
                self._account, self._tier, missing, self._reserved
            )
            self._reserved = size


def exceeds_limit(declared: str, limit: int) -> bool:
    """Return whether a declared length is a number above a limit."""
    if not declared.isascii() or not declared.isdecimal():
        return False
    digits = declared.lstrip('0')
    return len(digits) > _SHOWN_DIGITS or int(digits or '0') > limit
