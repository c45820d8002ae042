"""Finds out whether streams began at the process that the registry named.

Until a read of the registry that begins after a stream's first event, another
process may have taken the place of its runner before that event.
"""

import asyncio

from anvilhall.clock import Clock
from anvilhall.core.messages import Grant
from anvilhall.core.starts import RunnerStarts
from anvilhall.core.streams import UNKNOWN, Beginning
from anvilhall.exceptions import PlatformError
from anvilhall.feeds.runners import RunnersFeed
from anvilhall.identities import Finding, ProcessChecks
from anvilhall.logs import log_event

#: Upper limit of the seconds for which a stream may wait for this: a take-up
#: waits less than 0.7 s.
_TIMEOUT_S = 0.6
#: Upper limit of the seconds of these for a read of the registry.
_READ_TIMEOUT_S = 0.4


class Settling:
    """Settles the beginnings of streams, once something depends on them.

    Restarts that the view shows are applied to the beginnings elsewhere.

    :param processes: compares the processes of runners with their entries.
    :param view: feed of the registry.
    :param starts: runners as last listed.
    """

    __slots__ = (
        '_clock',
        '_processes',
        '_read',
        '_read_at',
        '_starts',
        '_view',
    )

    def __init__(
        self,
        clock: Clock,
        processes: ProcessChecks,
        view: RunnersFeed,
        starts: RunnerStarts,
    ) -> None:
        """Start without a read of the registry."""
        self._clock = clock
        self._processes = processes
        self._view = view
        self._starts = starts
        #: Last read for a stream; ``None``: there was none.
        self._read: asyncio.Task[bool] | None = None
        #: Monotonic time at which it began.
        self._read_at = 0.0

    def is_settled(self, stream: Beginning) -> bool:
        """Return whether a stream's version can be relied on by now."""
        if stream.origin.version == UNKNOWN:
            return True
        stream.settled = stream.settled or self._view.has_covered(
            stream.begun_at
        )
        return stream.settled

    async def settle(self, stream: Beginning) -> bool:
        """Find out whether a stream's version can be relied on.

        The version is unknown afterwards if the runner is found to have
        restarted.

        :return: whether it can.
        """
        if self.is_settled(stream):
            return True
        try:
            async with asyncio.timeout(_TIMEOUT_S):
                settled = await self._find_out(stream)
        except TimeoutError:
            settled = self._is_trusted(stream)
        log_event(
            'origin_checked',
            runner=stream.runner,
            born=stream.born,
            version=stream.origin.version,
            settled=settled,
        )
        return settled

    def _is_trusted(self, stream: Beginning) -> bool:
        """Return whether a stream counts as settled if nothing can tell.

        Runners whose entries state no start can't be told apart without the
        registry.
        """
        return self.is_settled(stream) or not stream.born

    async def ask_runner(self, stream: Beginning) -> Finding:
        """Return which process the runner of a stream states to be.

        The registry is not read for this.
        """
        return await self._processes.find_stated(_name_process(stream))

    async def _find_out(self, stream: Beginning) -> bool:
        finding = await self._processes.find_process(_name_process(stream))
        if finding is Finding.SAME:
            stream.settled = True
            return True
        if finding is Finding.UNKNOWN:
            return self._is_trusted(stream)
        read = await self._read_registry(stream)
        if finding is Finding.GONE:
            # Two processes that began and ended since the registry was covered
            # are not considered.
            stream.settled = stream.settled or stream.current
            return self.is_settled(stream) or stream.settled
        # The process that answers may have begun the stream, and may end before
        # it is listed.
        stream.current = stream.current and read
        known = self._starts.find(stream.runner)
        replaced = known is None or known.born != stream.born
        return read and replaced and self.is_settled(stream)

    async def _read_registry(self, stream: Beginning) -> bool:
        """Read the registry after a stream has begun.

        :return: whether that was possible.
        """
        read = self._read
        if read is None or read.done() or self._read_at <= stream.begun_at:
            self._read_at = self._clock.monotonic()
            read = asyncio.ensure_future(self._read_view())
            self._read = read
        try:
            async with asyncio.timeout(_READ_TIMEOUT_S):
                return await asyncio.shield(read)
        except TimeoutError:
            log_event('origins_unconfirmed', reason='no answer in time')
        return False

    async def _read_view(self) -> bool:
        try:
            await self._view.read_now()
        except PlatformError as error:
            log_event(
                'origins_unconfirmed', error=error.code, reason=error.reason
            )
            return False
        return True


def _name_process(stream: Beginning) -> Grant:
    """Return a grant that names the process at which a stream began."""
    return Grant(
        stream.origin.pool,
        '',
        stream.runner,
        stream.address,
        0,
        stream.origin.version,
        stream.born,
    )
