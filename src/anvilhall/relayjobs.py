"""A relayed request, and what every one of them needs."""

import random

from tornado.httputil import HTTPHeaders

from anvilhall.clock import Clock
from anvilhall.core.broker import Broker
from anvilhall.core.messages import Ask
from anvilhall.core.retries import PoolRetryBudgets
from anvilhall.core.routes import Route
from anvilhall.core.settings import Pool
from anvilhall.dialect import Dialect, RequestHead
from anvilhall.metrics import Metrics
from anvilhall.outbound import Outbound


class CallerRequest:
    """A request as the caller sent it."""

    __slots__ = ('body', 'headers', 'method', 'target')

    def __init__(self, method: str, target: str, headers: HTTPHeaders) -> None:
        """Start without a body.

        :param target: path and query.
        """
        self.method = method
        self.target = target
        self.headers = headers
        self.body: bytes | None = None


class RelayJob:
    """A relayed request between its arrival and the end of its answer."""

    __slots__ = (
        'account',
        'arrived_at',
        'deadline_at',
        'head',
        'pool',
        'pool_name',
        'request',
        'request_id',
        'route',
        'tier',
    )

    def __init__(self, head: RequestHead, arrived_at: float) -> None:
        """Start with what the headers say.

        :param arrived_at: monotonic seconds.
        """
        self.head = head
        self.request_id = head.request_id
        self.arrived_at = arrived_at
        #: Monotonic seconds.
        self.deadline_at = arrived_at
        self.request: CallerRequest
        self.account = ''
        self.tier = 0
        self.route: Route
        self.pool: Pool
        self.pool_name = ''

    def describe(self, now: float, avoid: tuple[str, ...]) -> Ask:
        """Return the message that asks for a runner."""
        return Ask(
            pool=self.pool_name,
            request_id=self.request_id,
            class_name=self.route.name,
            account=self.account,
            prompt_tokens=self.head.prompt_tokens,
            max_tokens=self.head.max_tokens,
            deadline_s=self.deadline_at - now,
            parts=self.head.parts,
            avoid=avoid,
            tier=self.tier,
        )


class RelayServices:
    """What every relayed request needs."""

    __slots__ = (
        'broker',
        'budgets',
        'chance',
        'clock',
        'dialect',
        'metrics',
        'outbound',
    )

    def __init__(
        self,
        broker: Broker,
        outbound: Outbound,
        dialect: Dialect,
        clock: Clock,
        metrics: Metrics,
        budgets: PoolRetryBudgets,
        chance: random.Random,
    ) -> None:
        """Bundle them."""
        self.broker = broker
        self.outbound = outbound
        self.dialect = dialect
        self.clock = clock
        self.metrics = metrics
        self.budgets = budgets
        self.chance = chance
