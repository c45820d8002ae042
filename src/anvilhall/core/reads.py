"""Recent prompts of this instance's requests, for a new owner of a shard.

The owner of a shard estimates the contents of the runners' prefix caches from
the requests that it granted. A new owner rebuilds the estimate from the recent
prompts that the instances report.
"""

import collections

from anvilhall.core.messages import Read

#: Prompts kept for each pool. Together, the instances of a small region keep
#: more sessions than are active. A message with all of them has about 10 KB.
_PROMPTS_PER_POOL = 128


class RecentPrompts:
    """The most recent prompts by pool, each with the runner that has them."""

    __slots__ = ('_by_pool',)

    def __init__(self) -> None:
        """Create an empty collection."""
        self._by_pool: dict[str, collections.OrderedDict[Read, None]] = {}

    def add(self, pool: str, read: Read) -> None:
        """Add a prompt; if the pool has too many, drop the oldest one.

        Prompts without parts that can be shared are ignored.
        """
        if not read.parts:
            return
        reads = self._by_pool.setdefault(pool, collections.OrderedDict())
        reads[read] = None
        reads.move_to_end(read)
        if len(reads) > _PROMPTS_PER_POOL:
            reads.popitem(last=False)

    def list_prompts(self, pool: str) -> tuple[Read, ...]:
        """Return the prompts of a pool, oldest first."""
        return tuple(self._by_pool.get(pool, ()))
