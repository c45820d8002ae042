"""Relayed requests and the dependencies that they share."""

import random
from collections.abc import Callable

from tornado.httputil import HTTPHeaders

from anvilhall.clock import Clock
from anvilhall.core.activity import RunnerActivity
from anvilhall.core.broker import Broker
from anvilhall.core.evidence import digest_request
from anvilhall.core.hedging import Hedging
from anvilhall.core.messages import Ask
from anvilhall.core.retries import PoolRetryBudgets
from anvilhall.core.routes import Route
from anvilhall.core.settings import Pool
from anvilhall.core.shutdown import Shutdown
from anvilhall.dialect import Dialect, RequestHead
from anvilhall.metrics import Metrics
from anvilhall.origins import Origins, ResumedOrigin
from anvilhall.outbound import Outbound


class CallerRequest:
    """A request as received from the caller."""

    __slots__ = ('body', 'headers', 'method', 'target')

    def __init__(self, method: str, target: str, headers: HTTPHeaders) -> None:
        """Create a request; its body is set when it is complete.

        :param target: request target, that is path and query.
        """
        self.method = method
        self.target = target
        self.headers = headers
        self.body: bytes | None = None


class RelayJob:
    """A relayed request from its arrival to the end of its response."""

    __slots__ = (
        'account',
        'arrived_at',
        'ask_id',
        'deadline_at',
        'head',
        'origin',
        'pool',
        'pool_name',
        'request',
        'request_id',
        'route',
        'tier',
    )

    def __init__(self, head: RequestHead, arrived_at: float) -> None:
        """Create a job; the remaining attributes are set while routing it.

        :param head: decoded headers.
        :param arrived_at: time of arrival, in monotonic seconds.
        """
        self.head = head
        self.request_id = head.request_id
        #: Identifies the request towards owners: callers may choose the
        #: identifier of another request.
        self.ask_id = head.request_id
        self.arrived_at = arrived_at
        #: Time at which the request times out, in monotonic seconds.
        self.deadline_at = arrived_at
        self.request: CallerRequest
        self.account = ''
        self.tier = 0
        self.route: Route
        self.pool: Pool
        self.pool_name = ''
        #: Where the stream began that the request resumes; ``None``: the
        #: request begins anew.
        self.origin: ResumedOrigin | None = None

    @property
    def resumes(self) -> bool:
        """Whether the request resumes a stream."""
        return self.route.keeps_version and bool(self.head.last_event_id)

    @property
    def stream_id(self) -> str:
        """Identifier of the request that began the stream."""
        resumed = self.resumes and self.head.resumes
        return self.head.resumes if resumed else self.request_id

    @property
    def bears_cut(self) -> bool:
        """Whether a cut does not leave the caller in doubt about a whole run.

        A stream shows what its caller has got of it.
        """
        return self.route.idempotent or self.route.streaming

    @property
    def resumable(self) -> bool:
        """Whether another runner can continue the response."""
        return self.route.streaming and self.route.resumable

    @property
    def hedgeable(self) -> bool:
        """Whether a second runner may get the request before an answer."""
        repeatable = self.route.retryable or self.resumable
        return repeatable and self.route.attempts > 1

    def describe_origin(self) -> dict[str, str]:
        """Return the fields of a log line about the stream that is resumed."""
        if not self.resumes:
            return {}
        fields = {'resumes': self.head.resumes}
        if self.origin:
            fields['origin'] = self.origin.source
            fields['origin_version'] = self.origin.version
        return fields

    def build_ask(
        self,
        now: float,
        avoid: tuple[str, ...],
        version: str | None = None,
    ) -> Ask:
        """Return the message that asks the owner of the pool for a runner.

        :param now: monotonic seconds.
        :param avoid: runners that failed in previous attempts.
        :param version: version that the runner must have; ``None``: any.
        """
        return Ask(
            pool=self.pool_name,
            request_id=self.ask_id,
            class_name=self.route.name,
            account=self.account,
            prompt_tokens=self.head.prompt_tokens,
            max_tokens=self.head.max_tokens,
            deadline_s=self.deadline_at - now,
            parts=self.head.parts,
            avoid=avoid,
            tier=self.tier,
            digest=self._compute_digest(),
            version=version,
        )

    def _compute_digest(self) -> str:
        if self.head.parts:
            # The last part of a prompt belongs to one request or session.
            return ''
        request = self.request
        return digest_request(
            self.account, request.method, request.target, request.body or b''
        )


class RelayServices:
    """Dependencies that all relayed requests of an instance share."""

    __slots__ = (
        '_rng',
        'activity',
        'broker',
        'budgets',
        'clock',
        'count_run',
        'dialect',
        'hedging',
        'metrics',
        'origins',
        'outbound',
        'processes',
        'shutdown',
    )

    def __init__(
        self,
        broker: Broker,
        outbound: Outbound,
        dialect: Dialect,
        clock: Clock,
        metrics: Metrics,
        budgets: PoolRetryBudgets,
        rng: random.Random,
        origins: Origins,
    ) -> None:
        """Keep the dependencies."""
        self.processes = origins.processes
        self.origins = origins
        self.broker = broker
        self.outbound = outbound
        self.dialect = dialect
        self.clock = clock
        self.metrics = metrics
        self.budgets = budgets
        self._rng = rng
        self.shutdown = Shutdown()
        self.activity = RunnerActivity()
        #: Late requests that are sent twice; ``None``: none is.
        self.hedging: Hedging | None = None
        #: Called with the account of each request that has begun to run at a
        #: runner, once for the request.
        self.count_run: Callable[[str], None] = _do_nothing

    def draw_bits(self, count: int) -> int:
        """Return a random number of a given number of bits."""
        return self._rng.getrandbits(count)


def _do_nothing(_: str) -> None:
    """Do nothing."""
