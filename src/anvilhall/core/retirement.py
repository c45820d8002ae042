"""Keeps removed settings for the requests that were accepted under them.

A request may ask for a runner after its class or pool has been removed: its
body arrived late, it waited in a queue, or a runner broke its answer off.
"""

import copy

import msgspec

from anvilhall.core.settings import ClassSettings, Pool
from anvilhall.core.tree import Tree

#: Seconds for which other instances may accept requests by older settings.
_SPREAD_S = 5.0


class Retirement:
    """Classes and pools that are no longer in the settings."""

    __slots__ = ('_class_until', '_classes', '_pool_until', '_pools', '_tree')

    def __init__(self) -> None:
        """Start without settings."""
        self._tree = Tree({})
        self._classes: dict[str, ClassSettings] = {}
        self._pools: dict[str, Pool] = {}
        #: Monotonic time until which requests may be under way by earlier
        #: settings of a class, or in a removed pool.
        self._class_until: dict[str, float] = {}
        self._pool_until: dict[str, float] = {}

    def extend(self, tree: Tree, now: float) -> Tree:
        """Return changed settings with the removed ones that are still needed.

        Callers are admitted by the settings without them.

        :param tree: the changed settings.
        :param now: monotonic seconds.
        """
        self._note_classes(tree, now)
        self._note_pools(tree, now)
        _drop_expired(self._classes, self._class_until, now)
        _drop_expired(self._pools, self._pool_until, now)
        self._tree = tree
        extended = copy.copy(tree)
        extended.classes = {**self._classes, **tree.classes}
        extended.pools = {**self._pools, **tree.pools}
        return extended

    def _note_classes(self, tree: Tree, now: float) -> None:
        for name, settings in self._tree.classes.items():
            if tree.classes.get(name) != settings:
                until = now + settings.deadline_s + _SPREAD_S
                noted = self._class_until.get(name, until)
                self._class_until[name] = max(until, noted)
                self._classes[name] = settings

    def _note_pools(self, tree: Tree, now: float) -> None:
        removed = self._tree.pools.keys() - tree.pools.keys()
        if not removed:
            return
        # A class may have requests in other pools than the one that it names.
        longest_s = max(
            (each.deadline_s for each in self._tree.classes.values()),
            default=0.0,
        )
        until = max(
            now + longest_s + _SPREAD_S,
            max(self._class_until.values(), default=now),
        )
        for name in removed:
            # The schedules of reserved slots may have been removed too.
            self._pools[name] = msgspec.structs.replace(
                self._tree.pools[name], reserves=()
            )
            self._pool_until[name] = until


def _drop_expired(
    kept: dict[str, ClassSettings] | dict[str, Pool],
    until: dict[str, float],
    now: float,
) -> None:
    expired = [name for name, end in until.items() if end <= now]
    for name in expired:
        until.pop(name)
        kept.pop(name)
