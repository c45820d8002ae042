"""Holds a response back until it is known which process has sent it."""

import asyncio
from collections.abc import Callable

from anvilhall.core.messages import Grant
from anvilhall.exceptions import (
    AnvilhallError,
    UpstreamCut,
    UpstreamReplaced,
    UpstreamRestarted,
)
from anvilhall.identities import Finding, ProcessChecks

#: Share of the time until the deadline that the check of an end may take.
_END_SHARE = 0.5


async def confirm_end(
    processes: ProcessChecks, grant: Grant, left_s: float, *, late: bool
) -> None:
    """Check that a process has outlived the end of its response.

    The kernel closes the connections of a killed process in order, so that a
    response which has neither a length nor chunks looks complete. If nothing
    can be told, it counts as complete.

    :param grant: names the process by its address and start.
    :param left_s: seconds until the deadline.
    :param late: whether the end may have been read long after it arrived.
    :raises UpstreamCut: if the process has ended.
    """
    limit_s = left_s * _END_SHARE
    finding = await processes.find_after_end(grant, limit_s, late=late)
    if finding in {Finding.GONE, Finding.REPLACED}:
        raise UpstreamCut(
            f'the process of {grant.runner} has ended with its response: '
            f'{finding.value}'
        )


class Confirmation:
    """Confirms that the process of a grant has answered an attempt.

    A stream may go on only at the software version that began it, and a runner
    may have started again at another one since its entry was read.

    :param grant: names the process by its address and start.
    :param doubted: whether the runner has failed since it was surely the
        process of its entry.
    """

    __slots__ = ('_doubted', '_grant', '_processes', '_task', 'confirmed')

    def __init__(
        self, processes: ProcessChecks, grant: Grant, *, doubted: bool = False
    ) -> None:
        """Start without a response."""
        self._processes = processes
        self._grant = grant
        self._doubted = doubted
        self._task: asyncio.Task[AnvilhallError | None] | None = None
        #: Whether the response is known to come from the process.
        self.confirmed = False

    async def check_unsent(self) -> None:
        """Check the process before a request is sent to it.

        This does not replace the check after the head, but spares the run.

        :raises UpstreamReplaced: if another process or none would answer.
        """
        finding = await self._processes.find_process(self._grant)
        silent = finding is Finding.UNKNOWN and self._grant.born
        if not (silent or self._is_trusted(finding)):
            raise UpstreamReplaced(self._describe(finding))

    def start(
        self, handle_result: Callable[[AnvilhallError | None], None]
    ) -> None:
        """Check the process, as the head of its response has arrived.

        :param handle_result: called with the error of a response that must not
            be forwarded.
        """
        self._task = asyncio.ensure_future(self._check(handle_result))

    async def wait(self) -> None:
        """Wait for the end of the check, if it has begun."""
        if self._task:
            await asyncio.wait((self._task,))
        self.raise_fault()

    def raise_fault(self) -> None:
        """Raise the exception that has ended the check, if any."""
        task = self._task
        if task and task.done() and not task.cancelled():
            task.result()

    def close(self) -> None:
        """End the check."""
        if self._task:
            self._task.cancel()

    async def _check(
        self, handle_result: Callable[[AnvilhallError | None], None]
    ) -> AnvilhallError | None:
        try:
            finding = await self._processes.find_process(self._grant)
        except Exception as fault:
            # :meth:`raise_fault` raises it once the exchange has ended.
            handle_result(UpstreamRestarted(f'{type(fault).__name__}: {fault}'))
            raise
        self.confirmed = self._is_trusted(finding)
        problem = (
            None
            if self.confirmed
            else UpstreamRestarted(self._describe(finding))
        )
        handle_result(problem)
        return problem

    def _is_trusted(self, finding: Finding) -> bool:
        """Return whether the process may be taken for that of the grant.

        Runners whose entries state no start can't be told apart without the
        registry. They are trusted unless they have failed: to refuse them all
        would cut every stream that is continued while the store is away.
        """
        if finding is Finding.UNKNOWN:
            return not (self._grant.born or self._doubted)
        return finding is Finding.SAME

    def _describe(self, finding: Finding) -> str:
        grant = self._grant
        return (
            f'the process of {grant.runner} with start {grant.born} and '
            f'version {grant.version!r} is not confirmed: {finding.value}'
        )
