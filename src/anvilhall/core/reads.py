"""What an instance knows of the prompts that its requests had runners read.

The owner of a shard believes prompts to be cached by what it granted. A new
owner takes the beliefs over from the instances whose requests they were.
"""

import collections

from anvilhall.core.messages import Read

#: Prompts remembered for each pool. Together, the instances of a small region
#: remember more sessions than are active; a message with all of them has some
#: ten kilobytes.
_PROMPTS_PER_POOL = 128


class RecentPrompts:
    """The latest prompts by pool, each with the runner that read it."""

    __slots__ = ('_by_pool',)

    def __init__(self) -> None:
        """Start without prompts."""
        self._by_pool: dict[str, collections.OrderedDict[Read, None]] = {}

    def add(self, pool: str, read: Read) -> None:
        """Remember a prompt; the oldest one of the pool yields."""
        if not read.parts:
            return
        reads = self._by_pool.setdefault(pool, collections.OrderedDict())
        reads[read] = None
        reads.move_to_end(read)
        if len(reads) > _PROMPTS_PER_POOL:
            reads.popitem(last=False)

    def list_prompts(self, pool: str) -> tuple[Read, ...]:
        """Return the prompts of a pool, the oldest one first."""
        return tuple(self._by_pool.get(pool, ()))
