"""Processes of runners that have said in an answer that they leave.

Their registry entries may say so later, or never.
"""

import collections
from collections.abc import Mapping

from anvilhall.core.members import Member, Process, identify_process

#: Limit on the processes that are kept; the oldest are dropped.
_MAX_KEPT = 4096


#: No process has said that it leaves.
_UNKNOWN = Process(-1)


class Departures:
    """Processes of the runners that leave, by runner.

    An answer may be newer than the entry that this instance has read: a start
    that is later than the listed one is kept until the registry lists it.
    Entries without start are told apart by address and version.
    """

    __slots__ = ('_processes',)

    def __init__(self) -> None:
        """Start without runners."""
        self._processes: collections.OrderedDict[str, Process] = (
            collections.OrderedDict()
        )

    def note(
        self, runner: str, born: int, address: str, listed: Member | None
    ) -> bool:
        """Note that a runner leaves; return whether it was not known.

        :param born: its start in Unix milliseconds; 0: unknown.
        :param address: its address; empty: unknown.
        :param listed: entry of the runner, if there is one.
        """
        process = Process(born)
        if not born:
            # The entry that comes, or has come, may be that of another process.
            if listed is None or address not in {'', listed.address}:
                return False
            process = identify_process(listed)
        if listed and (born < listed.born or _says_so(listed, born)):
            return False
        known = self._processes.get(runner, _UNKNOWN)
        # Clocks may be wrong: the process that is listed counts in any case.
        is_listed = listed is not None and identify_process(listed) == process
        if known == process or (known.born > born and not is_listed):
            return False
        self._processes[runner] = process
        self._processes.move_to_end(runner)
        if len(self._processes) > _MAX_KEPT:
            self._processes.popitem(last=False)
        return True

    def includes(self, listed: Member) -> bool:
        """Return whether the process that an entry names has said it leaves."""
        return self._processes.get(listed.name) == identify_process(listed)

    def set_listed(self, members: Mapping[str, Member]) -> None:
        """Drop the processes that a changed list shows to be over."""
        for runner, process in list(self._processes.items()):
            listed = members.get(runner)
            if _is_over(process, listed):
                self._processes.pop(runner)


def _is_over(process: Process, listed: Member | None) -> bool:
    if process.born:
        return listed is not None and listed.born > process.born
    return listed is None or identify_process(listed) != process


def _says_so(listed: Member, born: int) -> bool:
    return listed.leaving and listed.born == born
