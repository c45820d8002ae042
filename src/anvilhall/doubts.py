"""Streams that may have begun at another process than the listed one.

Such are those that began just after a failure of their runner, or beside a view
of the registry that is not current: a process may have taken the runner's place
that is not listed yet, and may have ended before it is.
"""

import asyncio
import collections
from collections.abc import Iterator

from anvilhall.clock import Clock
from anvilhall.core.streams import Beginning
from anvilhall.feeds.runners import RunnersFeed
from anvilhall.identities import Finding
from anvilhall.settling import Settling

#: Seconds after a failure of a runner that a read of the registry must cover:
#: before, the entry of a process that has ended may still be listed.
_DOUBT_S = 3.0
#: Seconds since the registry was covered after which a read is overdue: the
#: interval of reads, 0.8 s, and the time of a call.
_OVERDUE_S = 0.9


class Doubts:
    """Keeps the streams in doubt until their versions can be relied on.

    :param settling: finds out whether they can.
    :param view: feed of the registry.
    """

    __slots__ = (
        '_clock',
        '_failed_at',
        '_recent',
        '_settling',
        '_streams',
        '_unasked',
        '_view',
    )

    def __init__(
        self, clock: Clock, settling: Settling, view: RunnersFeed
    ) -> None:
        """Start without streams."""
        self._clock = clock
        self._view = view
        self._settling = settling
        #: Monotonic time of the last failure by runner.
        self._failed_at: dict[str, float] = {}
        self._streams: dict[bytes, Beginning] = {}
        #: Those of them whose runners have not been asked.
        self._unasked: list[Beginning] = []
        #: Streams that a read may settle yet, oldest first.
        self._recent: collections.deque[Beginning] = collections.deque()

    def __contains__(self, key: object) -> bool:
        """Return whether a stream is kept."""
        return key in self._streams

    def note_failure(self, runner: str) -> None:
        """Note that a runner has failed a request, as when it restarts."""
        self._failed_at[runner] = self._clock.monotonic()

    def has_failed(self, runner: str) -> bool:
        """Return whether a runner has failed and may be another process now."""
        failed_at = self._failed_at.get(runner)
        if failed_at is None:
            return False
        return not self._view.has_covered(failed_at + _DOUBT_S)

    def add(self, key: bytes, stream: Beginning) -> None:
        """Keep a stream that has just begun."""
        self._streams[key] = stream
        self._unasked.append(stream)

    def watch(self, stream: Beginning) -> None:
        """Watch a stream that is in doubt only if no read settles it soon."""
        self._recent.append(stream)

    async def confirm(self) -> list[Beginning]:
        """Ask the runners of streams in doubt; repeat this.

        Once such a runner has ended, it can't be told any more which of its
        processes began them.

        :return: watched streams that another process may have begun.
        """
        self._collect_overdue()
        by_process: dict[tuple[str, str, int], list[Beginning]] = {}
        for stream in self._unasked:
            if not self._settling.is_settled(stream):
                process = (stream.runner, stream.address, stream.born)
                by_process.setdefault(process, []).append(stream)
        self._unasked = []
        asked = await asyncio.gather(*map(self._ask, by_process.values()))
        return [each for refuted in asked for each in refuted]

    def pop_settled(self, retention_s: float) -> Iterator[bytes]:
        """Yield the streams whose versions can be relied on by now.

        :param retention_s: seconds after which the others are dropped.
        """
        now = self._clock.monotonic()
        for key, stream in list(self._streams.items()):
            if self._settling.is_settled(stream):
                self._streams.pop(key)
                yield key
            elif now - stream.begun_at > retention_s:
                self._streams.pop(key)
        for runner in list(self._failed_at):
            if not self.has_failed(runner):
                self._failed_at.pop(runner)

    def _collect_overdue(self) -> None:
        """Have the runners of watched streams asked if a read is overdue."""
        while self._recent and self._settling.is_settled(self._recent[0]):
            self._recent.popleft()
        lag_s = self._view.measure_lag_s()
        if lag_s is None or lag_s > _OVERDUE_S:
            self._unasked.extend(self._recent)
            self._recent.clear()

    async def _ask(self, streams: list[Beginning]) -> list[Beginning]:
        """Ask the runner of streams that have begun at one process.

        :return: those whose version must not be relied on any more.
        """
        finding = await self._settling.ask_runner(streams[0])
        refuted: list[Beginning] = []
        for stream in streams:
            stream.settled = stream.settled or finding is Finding.SAME
            if finding is Finding.REPLACED and stream.current:
                stream.current = False
                refuted.append(stream)
        return refuted
