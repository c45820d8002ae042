"""Candidate for the lease, which performs the duties while it holds it."""

import asyncio
import random
from collections.abc import Callable, Mapping

from anvilhall.core.leases import (
    MARGIN_S,
    RENEWAL_S,
    Lease,
    TermId,
)
from anvilhall.duties.base import Answer, Duty, DutyServices, RunnerOrder
from anvilhall.duties.client import DutyClient
from anvilhall.duties.leaselog import LeaseLog
from anvilhall.exceptions import (
    AnvilhallError,
    AppendConflict,
    LeaseLost,
    PlatformError,
    StoreRestored,
)
from anvilhall.logs import log_event
from anvilhall.metrics import Metrics
from anvilhall.platform.duties import DutyCall, encode_order, encode_usage
from anvilhall.platform.store import DUTIES_TOPIC, StoreClient
from anvilhall.tasks import TaskSet, WakeableTimer

#: Seconds between two rounds of a duty.
_ROUND_S = 0.25
#: Least seconds between two reads of a candidate, and the longest wait of a
#: read for a record. The holder appends one a second, so that there is about
#: one read a second, which ends as the record comes.
_POLL_PAUSE_S = 0.7
_POLL_WAIT_S = 1.0
#: Seconds between checks whether an instance has become a candidate.
_IDLE_S = 0.5
#: Seconds before a failed call to the store is repeated; jitter extends them up
#: to twofold.
_RETRY_S = 0.25
#: Seconds for which a release waits for open calls.
_RELEASE_WAIT_S = 1.0
_RELEASE_POLL_S = 0.05


class HeldTerm:
    """Term of this instance, as the duties see it.

    :param term: the term.
    :param log: topic of the duties.
    :param client: client of the API.
    :param measure_rest_s: returns the seconds left of the term's lease.
    """

    __slots__ = ('_client', '_log', '_measure_rest_s', '_term', 'token')

    def __init__(
        self,
        term: TermId,
        log: LeaseLog,
        client: DutyClient,
        measure_rest_s: Callable[[TermId], float],
    ) -> None:
        """Start with the lease of the term."""
        #: Fencing token, which rises with each change of the holder.
        self.token = term.token
        self._term = term
        self._log = log
        self._client = client
        self._measure_rest_s = measure_rest_s

    @property
    def decisions(self) -> Mapping[str, bytes]:
        """Newest decision of each key, of this term and those before."""
        return self._log.lease.decisions

    def may_act(self) -> bool:
        """Return whether enough of the lease is left for a call."""
        return self._measure_rest_s(self._term) > MARGIN_S

    async def decide(
        self, key: str, content: bytes, *, once: bool = False
    ) -> bytes:
        """Record a decision before it is acted on.

        :param once: whether a decision of the key that was known before stays
            in force.
        :return: the content in force.
        :raises AnvilhallError: if the decision is not known to be recorded.
        """
        if not self.may_act():
            raise LeaseLost()
        return await self._log.decide(self.token, key, content, once=once)

    async def report_usage(
        self, window: int, counts: Mapping[str, int]
    ) -> Answer:
        """Report the requests of each account that began in a window.

        :param window: number of the window since 1970.
        :raises AnvilhallError: if the call has no answer, or the lease ends.
        """
        return await self._send(encode_usage(window, counts))

    async def order_runners(self, order: RunnerOrder) -> Answer:
        """Order a number of runners.

        :raises AnvilhallError: if the call has no answer, or the lease ends.
        """
        return await self._send(encode_order(order))

    async def _send(self, call: DutyCall) -> Answer:
        return await self._client.send(
            self._term, call, lambda: self._measure_rest_s(self._term)
        )


class DutyRounds:
    """Calls one duty a few times a second while this instance may act.

    :param name: name of the duty.
    :param get_term: returns the term that is held; ``None``: none.
    """

    __slots__ = ('_duty', '_failure', '_get_term', '_metrics', '_name')

    def __init__(
        self,
        name: str,
        duty: Duty,
        get_term: Callable[[], HeldTerm | None],
        metrics: Metrics,
    ) -> None:
        """Start without a round."""
        self._name = name
        self._duty = duty
        self._get_term = get_term
        self._metrics = metrics
        #: Code of the error with which the last round ended; empty: none.
        self._failure = ''

    async def run(self) -> None:
        """Perform the duty until cancelled."""
        while True:
            term = self._get_term()
            if term and term.may_act():
                await self._perform(term)
            await asyncio.sleep(_ROUND_S)

    async def _perform(self, term: HeldTerm) -> None:
        try:
            await self._duty.perform(term)
        except AnvilhallError as error:
            self._metrics.duty_failures.labels(self._name, error.code).inc()
            self._note_result(error.code, error.reason)
        else:
            self._note_result('', '')

    def _note_result(self, code: str, reason: str) -> None:
        if code != self._failure:
            self._failure = code
            log_event(
                'duty_failing' if code else 'duty_performed',
                duty=self._name,
                result=code,
                reason=reason,
            )


class DutyHolder:
    """Competes for the lease and performs the duties while it holds it.

    :param duties: duties by name.
    """

    __slots__ = (
        '_client',
        '_clock',
        '_fleet',
        '_instance',
        '_log',
        '_metrics',
        '_rng',
        '_rounds',
        '_shown',
        '_stopping',
        '_timer',
        '_yielding',
    )

    def __init__(
        self,
        services: DutyServices,
        store: StoreClient,
        client: DutyClient,
        duties: Mapping[str, Duty],
        rng: random.Random,
    ) -> None:
        """Start as a candidate that has not read the topic."""
        self._instance = services.config.instance
        self._fleet = services.fleet
        self._clock = services.clock
        self._metrics = services.metrics
        self._client = client
        self._rng = rng
        self._log = LeaseLog(
            Lease(self._instance), store, services.clock, services.metrics
        )
        self._rounds = [
            DutyRounds(name, duty, self._get_term, services.metrics)
            for name, duty in duties.items()
        ]
        #: Newest term, and whether it is held here, as logged last.
        self._shown: tuple[TermId | None, bool] = (None, False)
        self._stopping = False
        #: Whether the term that is held is being given up: nothing is done
        #: under it any more.
        self._yielding = False
        self._timer = WakeableTimer()

    @property
    def newest(self) -> TermId | None:
        """Newest term that this instance has read; ``None``: none."""
        return self._log.lease.newest

    def start(self, tasks: TaskSet) -> None:
        """Start following the topic and performing the duties."""
        tasks.spawn(self.run)
        for rounds in self._rounds:
            tasks.spawn(rounds.run)

    def stop(self) -> None:
        """Give up the lease at the next opportunity, and take no other one."""
        self._stopping = True
        self._yielding = True
        self._timer.wake()

    async def run(self) -> None:
        """Follow the topic until cancelled."""
        while True:
            try:
                await self._step()
            except (AppendConflict, StoreRestored):
                # The next step reads the records that this one did not know.
                await asyncio.sleep(0)
            except PlatformError as error:
                self._metrics.platform_failures.labels(
                    DUTIES_TOPIC, error.code
                ).inc()
                await asyncio.sleep(_RETRY_S * (1 + self._rng.random()))
            finally:
                self._note_change()

    async def _step(self) -> None:
        """Make at most one call to the store that is due.

        :raises PlatformError: if it fails.
        """
        if not self._is_candidate():
            await self._give_up()
            await asyncio.sleep(_IDLE_S)
            return
        self._yielding = False
        if self._log.stale:
            await self._log.read()
        elif self._log.lease.held:
            await self._renew()
        else:
            await self._compete()

    def _is_candidate(self) -> bool:
        reader = self._fleet.registry_reader
        return reader == self._instance and not self._stopping

    async def _give_up(self) -> None:
        if self._log.lease.held is None:
            return
        self._yielding = True
        if await self._wait_for_calls():
            await self._log.release()

    async def _wait_for_calls(self) -> bool:
        """Wait until no call is open; return whether that is so.

        A call that is open may arrive after those of the next holder.
        """
        wait_until = self._clock.boottime() + _RELEASE_WAIT_S
        while self._client.open_calls:
            if self._clock.boottime() > wait_until:
                return False
            await asyncio.sleep(_RELEASE_POLL_S)
        return True

    async def _renew(self) -> None:
        now = self._clock.boottime()
        due_s = self._log.appended_at + RENEWAL_S - now
        if due_s > 0 and not self._log.lease.decisions.list_unstored():
            await self._timer.wait(due_s)
        else:
            await self._log.renew()

    async def _compete(self) -> None:
        """Read the topic, or begin a term if it is this instance's turn."""
        begin_at = self._log.lease.compute_begin_at(self._compute_rank())
        if begin_at is None:
            await self._log.read()
            return
        left_s = begin_at - self._clock.boottime()
        if left_s <= 0:
            await self._log.begin_term()
            return
        await self._timer.wait(min(_POLL_PAUSE_S, left_s))
        left_s = begin_at - self._clock.boottime()
        if left_s > 0:
            await self._log.read(min(_POLL_WAIT_S, left_s))

    def _compute_rank(self) -> int:
        """Return how many candidates go before this instance."""
        others = set(self._fleet.list_registry_readers().values()) - {
            self._instance
        }
        if self.newest:
            others.discard(self.newest.holder)
        return sum(name < self._instance for name in others)

    def _get_term(self) -> HeldTerm | None:
        held = self._log.lease.held
        if held is None:
            return None
        return HeldTerm(held, self._log, self._client, self._measure_rest_s)

    def _measure_rest_s(self, term: TermId) -> float:
        if self._yielding:
            return 0.0
        return self._log.lease.measure_rest_s(term, self._clock.boottime())

    def _note_change(self) -> None:
        """Log a change of the newest term and of whether it is held here."""
        term = self.newest
        held = bool(term and self._measure_rest_s(term))
        if (term, held) == self._shown:
            return
        before, _ = self._shown
        if term != before:
            self._metrics.duty_holder_changes.inc()
        self._shown = (term, held)
        self._metrics.duty_held.set(held)
        log_event(
            'duty_holder',
            holder=term.holder if term else '',
            token=term.token if term else 0,
            held=held,
        )
