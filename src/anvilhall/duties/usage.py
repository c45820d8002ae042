"""Duty of reporting the usage of accounts to the platform."""

from anvilhall.core.usage import UsageBacklog, UsageDecision
from anvilhall.decoding import decode_json
from anvilhall.duties.base import DUTIES, Answer, DutyServices, Term
from anvilhall.duties.counts import UsageExchange
from anvilhall.exceptions import MalformedData
from anvilhall.logs import log_event

#: Name of the duty, and prefix of the keys of its decisions.
_PREFIX = 'usage/'
#: Decisions and calls in one turn, so that other duties get theirs.
_MAX_DECISIONS = 3
_MAX_CALLS = 3
#: Refusals of a report after which it is given up; the reports after it wait
#: until then.
_MAX_REFUSALS = 5
#: Seconds between the attempts of a report that was refused.
_REFUSED_PAUSE_S = 1.0


@DUTIES.register('usage_report')
class UsageReporting:
    """Reports for each window how many requests of each account ran in it.

    :param exchange: counts of this instance and its peers.
    """

    __slots__ = (
        '_backlog',
        '_clock',
        '_metrics',
        '_refusals',
        '_retry_at',
        '_token',
        'exchange',
    )

    def __init__(self, services: DutyServices, exchange: UsageExchange) -> None:
        """Start without a term."""
        self._clock = services.clock
        self._metrics = services.metrics
        self.exchange = exchange
        #: Token of the term to which the backlog belongs; -1: none.
        self._token = -1
        self._backlog = UsageBacklog(0, {}, -1)
        self._refusals = 0
        self._retry_at = 0.0

    @classmethod
    def from_config(cls, services: DutyServices) -> 'UsageReporting':
        """Create the duty and register its message handlers."""
        return cls(services, UsageExchange.from_services(services))

    def update(self) -> None:
        """Send this instance's counts to the registry readers."""
        self.exchange.update()

    async def perform(self, term: Term) -> None:
        """Decide the windows that are ready, and report those decided.

        :raises AnvilhallError: if the store or the API gives no answer.
        """
        if term.token != self._token:
            self._start_term(term)
        await self._decide(term)
        await self._report(term)

    def _start_term(self, term: Term) -> None:
        """Continue where the decisions of earlier holders end."""
        self._token = term.token
        self._refusals = 0
        self._retry_at = 0.0
        decisions: dict[int, UsageDecision] = {}
        for key in term.decisions:
            number = key.removeprefix(_PREFIX)
            if number != key and number.isdecimal():
                decision = self._find_decision(term, int(number))
                if decision:
                    decisions[int(number)] = decision
        self._backlog = UsageBacklog.from_decisions(
            decisions, self.exchange.find_first()
        )
        log_event(
            'usage_resumed',
            token=term.token,
            accepted=self._backlog.accepted,
            decided=list(self._backlog.decided),
            next_window=self._backlog.next_window,
        )

    async def _decide(self, term: Term) -> None:
        """Decide the windows that are ready, in order.

        :raises AnvilhallError: if a decision is not known to be recorded.
        """
        backlog = self._backlog
        for _ in range(_MAX_DECISIONS):
            self._skip_unknown(term)
            window = backlog.next_window
            if not self.exchange.is_ready(window):
                return
            decision = self._find_decision(term, window)
            if decision is None:
                decision = await self._record(term, window)
            self.exchange.decided = max(self.exchange.decided, window)
            backlog.add_decided(decision.counts)
            self._count('decided')
            log_event(
                'usage_decided',
                window=window,
                accounts=len(decision.counts),
                requests=sum(decision.counts.values()),
                complete=self.exchange.is_complete(window),
            )

    async def _record(self, term: Term, window: int) -> UsageDecision:
        """Record the counts that are known, and return those in force.

        :raises MalformedData: if another holder's can't be decoded.
        """
        counts = self.exchange.sum_window(window)
        decision = UsageDecision(counts, self._backlog.accepted)
        content = await term.decide(
            _build_key(window), decision.encode(), once=True
        )
        return decode_json(content, UsageDecision)

    def _find_decision(self, term: Term, window: int) -> UsageDecision | None:
        content = term.decisions.get(_build_key(window))
        if content is None:
            return None
        try:
            return decode_json(content, UsageDecision)
        except MalformedData as error:
            self._count('unusable')
            log_event('usage_unusable', window=window, reason=error.reason)
            return None

    def _skip_unknown(self, term: Term) -> None:
        """Pass over the windows whose counts nobody can tell."""
        backlog = self._backlog
        first = backlog.next_window
        while self._must_skip(term, backlog.next_window):
            backlog.next_window += 1
            self._count('skipped')
        if backlog.next_window > first:
            log_event(
                'usage_skipped',
                first=first,
                last=backlog.next_window - 1,
                decided=self.exchange.decided,
            )

    def _must_skip(self, term: Term, window: int) -> bool:
        exchange = self.exchange
        if not exchange.is_ready(window):
            return False
        if _build_key(window) in term.decisions:
            return self._find_decision(term, window) is None
        # A decision that the store has lost may have been reported; another one
        # could differ.
        return window <= exchange.decided or not exchange.knows(window)

    async def _report(self, term: Term) -> None:
        """Report decided windows, in order, as long as they are accepted.

        :raises AnvilhallError: if a call has no answer, or the lease ends.
        """
        backlog = self._backlog
        for _ in range(_MAX_CALLS):
            paused = self._clock.monotonic() < self._retry_at
            if not backlog.decided or paused or not term.may_act():
                return
            window, counts = next(iter(backlog.decided.items()))
            answer = await term.report_usage(window, counts)
            if answer is Answer.ACCEPTED:
                self._note_accepted(window)
            elif answer is Answer.REFUSED:
                self._note_refused(window)
            else:
                self._count('busy')
                return

    def _note_accepted(self, window: int) -> None:
        self._backlog.note_accepted(window)
        self._refusals = 0
        self._count('reported')
        end_s = self.exchange.schedule.get_begin_s(window + 1)
        log_event(
            'usage_reported',
            window=window,
            after_s=round(self.exchange.read_time_s() - end_s, 3),
        )

    def _note_refused(self, window: int) -> None:
        self._refusals += 1
        self._retry_at = self._clock.monotonic() + _REFUSED_PAUSE_S
        self._count('refused')
        if self._refusals >= _MAX_REFUSALS:
            self._refusals = 0
            self._backlog.drop(window)
            log_event('usage_refused', window=window)

    def _count(self, event: str) -> None:
        self._metrics.usage_windows.labels(event).inc()


def _build_key(window: int) -> str:
    return f'{_PREFIX}{window}'
