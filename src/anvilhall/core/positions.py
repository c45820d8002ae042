"""Positions of records in a store that may come back from an older copy."""

from typing import Annotated

import msgspec

#: Number of a record or era, which instances exchange as a 64-bit integer.
Offset = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]


class Position(msgspec.Struct, frozen=True, order=True):
    """Place of a record in a topic of a store.

    A store that comes back from an older copy has lost the records after the
    copy and gives their offsets out again. It then states a higher era. Offsets
    order the records of one era only.
    """

    era: int
    offset: int


#: Position before any record.
UNREAD = Position(-1, -1)
