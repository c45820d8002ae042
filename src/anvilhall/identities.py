"""Finds out whether the process of a registry entry is the one that answers.

An entry names the process that wrote it. Another one may have started at its
address since: after a connection has broken or was refused, an entry that was
read before says nothing about the process that answers now.
"""

import asyncio
import contextlib
import enum
from typing import Protocol

from anvilhall.clock import Clock
from anvilhall.core.messages import Grant, get_request_id
from anvilhall.dialect import Dialect
from anvilhall.exceptions import AnvilhallError, PlatformError, UpstreamCut
from anvilhall.feeds.runners import RunnersFeed
from anvilhall.listeners import END_GATHER_S, find_listener
from anvilhall.logs import log_event
from anvilhall.metrics import Metrics
from anvilhall.outbound import Call, Outbound, Transfer
from anvilhall.sharing import SharedCalls

#: Timeout of a question to a runner, in seconds. A sound runner may be silent
#: for longer; the registry is then read instead.
_TIMEOUT_S = 0.4
#: Timeout of connecting, in seconds; a round trip takes a few milliseconds.
_CONNECT_TIMEOUT_S = 0.5
#: Seconds for which an idle connection to a runner may be reused.
_IDLE_LIMIT_S = 2
#: Limit of a check after the end of a response, in seconds. The response is
#: held back meanwhile.
_END_LIMIT_S = 0.5
#: Seconds for which a check waits for a read of the registry that it does not
#: need itself.
_REFRESH_S = 0.05
#: Seconds without a beat of the event loop after which what arrived meanwhile
#: counts as read late, and for how long after it.
_STANDSTILL_S = 0.7
_SETTLING_S = 1.0
#: Largest answer, in bytes.
_ANSWER_LIMIT_BYTES = 64 * 1024


class Finding(enum.Enum):
    """What answers at the address of a grant."""

    #: The process that the grant names.
    SAME = 'same'
    #: Another process.
    REPLACED = 'replaced'
    #: No process: connections are refused.
    GONE = 'gone'
    #: It can't be told.
    UNKNOWN = 'unknown'


class ProcessChecks(Protocol):
    """Compares the process of a grant with the one that answers now."""

    async def find_process(self, grant: Grant) -> Finding:
        """Return which process answers after this call.

        If it is the same one, all that was received from the address since the
        grant came from it: the processes at an address follow each other, and
        the entry had been read before.
        """

    async def find_stated(self, grant: Grant) -> Finding:
        """Return which process states its start, without the registry."""

    def note_beat(self) -> None:
        """Note that the event loop runs; call this several times a second."""

    async def find_after_end(
        self, grant: Grant, limit_s: float, *, late: bool
    ) -> Finding:
        """Return which process answers after the end of a response.

        :param limit_s: seconds within which it must be found.
        :param late: whether the end may have been read long after it arrived.
        """


class RunnerProcesses:
    """Asks runners for the start of their process.

    If a runner does not state it, the registry is read again: a process writes
    its entry as it begins to listen.

    :param states_start: returns whether the runners of a pool can be asked.
    :param view: feed of the registry.
    """

    __slots__ = (
        '_beat_at',
        '_clock',
        '_dialect',
        '_end_connects',
        '_end_questions',
        '_metrics',
        '_outbound',
        '_questions',
        '_reads',
        '_states_start',
        '_stood_still_at',
        '_view',
    )

    def __init__(
        self,
        outbound: Outbound,
        dialect: Dialect,
        metrics: Metrics,
        view: RunnersFeed,
        states_start: 'StatesStart',
        clock: Clock,
    ) -> None:
        """Start without questions."""
        self._clock = clock
        #: Monotonic times of the last beat of the event loop, and of the end of
        #: its last standstill.
        self._beat_at = clock.monotonic()
        self._stood_still_at = -_SETTLING_S
        self._outbound = outbound
        self._dialect = dialect
        self._metrics = metrics
        self._view = view
        self._states_start = states_start
        self._questions = SharedCalls(self._ask)
        #: Reads of the registry, by the pool for which they are made.
        self._reads = SharedCalls(self._read_registry)
        #: Questions and connects after the end of a response.
        self._end_questions = SharedCalls(self._ask, END_GATHER_S)
        self._end_connects = SharedCalls(find_listener, END_GATHER_S)

    async def find_process(self, grant: Grant) -> Finding:
        """Return which process answers after this call."""
        stated: Finding | int = Finding.UNKNOWN
        if self._states_start(grant.pool):
            stated = await self._questions.ask(grant.address)
        if isinstance(stated, int) and stated and grant.born:
            finding = _compare_starts(stated, grant.born)
        elif stated is Finding.GONE:
            finding = Finding.GONE
        else:
            finding = await self._compare_entry(grant)
        if finding is Finding.REPLACED and isinstance(stated, int):
            # The next grant of this runner is to name the other process.
            refresh = asyncio.ensure_future(self._reads.ask(grant.pool))
            await asyncio.wait((refresh,), timeout=_REFRESH_S)
        self._metrics.process_checks.labels(finding.value).inc()
        log_event(
            'process_checked',
            request_id=get_request_id(grant.request_id),
            runner=grant.runner,
            born=grant.born,
            stated=stated if isinstance(stated, int) else stated.value,
            finding=finding.value,
        )
        return finding

    async def find_stated(self, grant: Grant) -> Finding:
        """Return which process states its start, without the registry."""
        finding = Finding.UNKNOWN
        if grant.born and self._states_start(grant.pool):
            stated = await self._questions.ask(grant.address)
            if isinstance(stated, Finding):
                finding = stated
            elif stated:
                finding = _compare_starts(stated, grant.born)
            self._metrics.process_checks.labels(finding.value).inc()
        return finding

    async def find_after_end(
        self, grant: Grant, limit_s: float, *, late: bool
    ) -> Finding:
        """Return which process answers after the end of a response.

        Nothing can be told of a process that may have left as planned: it
        closes its listening socket after its last response. If the entry names
        another process by now, the one before has ended unplanned. Runners that
        state no start get a connection without a request, as no request may
        reach them that no caller has sent.
        """
        finding = Finding.UNKNOWN
        try:
            async with asyncio.timeout(min(limit_s, _END_LIMIT_S)):
                finding = await self._check_end(grant, late=late)
        except TimeoutError:
            log_event('end_check_timeout', runner=grant.runner)
        self._metrics.process_checks.labels(finding.value).inc()
        if finding is not Finding.SAME:
            log_event(
                'end_doubted',
                request_id=get_request_id(grant.request_id),
                runner=grant.runner,
                born=grant.born,
                finding=finding.value,
            )
        return finding

    def note_beat(self) -> None:
        """Note that the event loop runs; call this several times a second."""
        now = self._clock.monotonic()
        if now - self._beat_at > _STANDSTILL_S:
            self._stood_still_at = now
        self._beat_at = now

    def _stood_still(self) -> bool:
        """Return whether an end that is read now may have waited for long."""
        now = self._clock.monotonic()
        return (
            now - self._beat_at > _STANDSTILL_S
            or now - self._stood_still_at < _SETTLING_S
        )

    async def _check_end(self, grant: Grant, *, late: bool) -> Finding:
        member = self._view.find(grant.runner)
        if member is None or member.leaving:
            return Finding.UNKNOWN
        if (member.address, member.born) != (grant.address, grant.born):
            return Finding.REPLACED
        return await self._ask_after_end(grant, late=late)

    async def _ask_after_end(self, grant: Grant, *, late: bool) -> Finding:
        if self._states_start(grant.pool):
            stated = await self._end_questions.ask(grant.address)
            if isinstance(stated, Finding):
                return stated
            if stated and grant.born:
                return _compare_starts(stated, grant.born)
        else:
            listens = await self._end_connects.ask(grant.address)
            if not listens:
                return Finding.UNKNOWN if listens is None else Finding.GONE
        if late or self._stood_still():
            # Another process may have begun to listen meanwhile.
            return await self._compare_entry(grant)
        return Finding.SAME

    async def _ask(self, address: str) -> Finding | int:
        """Ask the process at an address for its start.

        :return: Unix milliseconds, 0 if it does not state them, or why there
            is no answer.
        """
        for fresh in (False, True):
            # A kept connection may have ended with an earlier process.
            with contextlib.suppress(UpstreamCut):
                return await self._ask_over(address, fresh=fresh)
        return Finding.UNKNOWN

    async def _ask_over(self, address: str, *, fresh: bool) -> Finding | int:
        """Ask over a kept connection, or over a new one.

        :raises UpstreamCut: if the connection ended without an answer.
        """
        transfer = Transfer()
        call = Call(
            url=f'http://{address}/',
            target=self._dialect.start_target,
            connect_timeout_s=_CONNECT_TIMEOUT_S,
            timeout_s=_TIMEOUT_S,
            fresh=fresh,
            idle_limit_s=_IDLE_LIMIT_S,
            gather_limit_bytes=_ANSWER_LIMIT_BYTES,
        )
        try:
            reply = await self._outbound.fetch(call, transfer)
            return self._dialect.read_start(reply.status, reply.body)
        except AnvilhallError as error:
            log_event(
                'process_not_stated',
                address=address,
                error=error.code,
                reason=error.reason,
            )
            if transfer.refused:
                return Finding.GONE
            if isinstance(error, UpstreamCut):
                raise
            return Finding.UNKNOWN

    async def _compare_entry(self, grant: Grant) -> Finding:
        """Compare a grant with its runner's entry, which is read again."""
        if not await self._reads.ask(grant.pool):
            return Finding.UNKNOWN
        member = self._view.find(grant.runner)
        if member is None:
            return Finding.UNKNOWN
        known = (member.address, member.born, member.version)
        same = known == (grant.address, grant.born, grant.version)
        return Finding.SAME if same else Finding.REPLACED

    async def _read_registry(self, pool: str) -> bool:
        """Read the registry for a runner; return whether it answered.

        :param pool: pool of the runner.
        """
        try:
            await self._view.read_now()
        except PlatformError as error:
            log_event(
                'entry_not_confirmed',
                pool=pool,
                error=error.code,
                reason=error.reason,
            )
            return False
        return True


def _compare_starts(stated: int, born: int) -> Finding:
    return Finding.SAME if stated == born else Finding.REPLACED


class StatesStart(Protocol):
    """Tells whether the runners of a pool can be asked for their start."""

    def __call__(self, pool: str) -> bool:
        """Return whether they can be asked."""
