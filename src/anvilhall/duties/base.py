"""Interface between the holder of the duties and the duties themselves."""

import enum
from collections.abc import Callable, Mapping
from typing import Protocol

import msgspec

from anvilhall.clock import Clock
from anvilhall.core.members import Member
from anvilhall.core.routes import RoutingSettings
from anvilhall.fleet import Fleet
from anvilhall.local import DutiesConfig, LocalConfig
from anvilhall.metrics import Metrics
from anvilhall.registry import Registry


class Answer(enum.Enum):
    """What the platform's API answered to a call."""

    #: The call has taken effect.
    ACCEPTED = 'accepted'
    #: The API takes no more calls now.
    BUSY = 'busy'
    #: No runner of the ordered kind can be had now.
    EXHAUSTED = 'exhausted'
    #: The API refused the call as malformed or not allowed.
    REFUSED = 'refused'


class RunnerOrder(msgspec.Struct, frozen=True):
    """Wanted number of a pool's runners of one kind in a failure domain."""

    pool: str
    failure_domain: str
    count: int
    #: Whether the order is for runners that may be taken away at short notice.
    reclaimable: bool = False


class Term(Protocol):
    """The time for which this instance holds the duties under one token."""

    #: Fencing token, which rises with each change of the holder.
    token: int

    @property
    def decisions(self) -> Mapping[str, bytes]:
        """Newest decision of each key, of this term and those before."""

    def may_act(self) -> bool:
        """Return whether enough of the lease is left for a call."""

    async def decide(
        self, key: str, content: bytes, *, once: bool = False
    ) -> bytes:
        """Record a decision before it is acted on.

        Decisions are kept for five minutes; one that is repeated after half of
        that time is recorded again.

        :param once: whether a decision of the key that :attr:`decisions` has
            already stays in force; otherwise it is replaced.
        :return: the content in force, which an earlier holder may have written.
        :raises AnvilhallError: if the decision is not known to be recorded.
        """

    async def report_usage(
        self, window: int, counts: Mapping[str, int]
    ) -> Answer:
        """Report the requests of each account that began in a window.

        :param window: number of the window since 1970.
        :raises AnvilhallError: if the call has no answer, or the lease ends.
        """

    async def order_runners(self, order: RunnerOrder) -> Answer:
        """Order a number of runners.

        :raises AnvilhallError: if the call has no answer, or the lease ends.
        """


class Duty(Protocol):
    """One duty, on each instance of the deployment."""

    def update(self) -> None:
        """Do what each instance does for the duty; called once a second."""

    async def perform(self, term: Term) -> None:
        """Do the holder's work; called a few times a second during a term.

        :raises AnvilhallError: if it can't be done now; it is called again.
        """


class DutyServices:
    """Dependencies that the duties of an instance share.

    :param list_runners: returns the runners of all pools.
    :param get_settings: returns the settings in force; ``None``: none yet.
    """

    __slots__ = (
        'clock',
        'config',
        'duties',
        'fleet',
        'get_settings',
        'list_runners',
        'metrics',
    )

    def __init__(
        self,
        config: LocalConfig,
        duties: DutiesConfig,
        fleet: Fleet,
        clock: Clock,
        metrics: Metrics,
        list_runners: Callable[[], tuple[Member, ...]],
        get_settings: Callable[[], RoutingSettings | None],
    ) -> None:
        """Keep the dependencies."""
        self.config = config
        self.duties = duties
        self.fleet = fleet
        self.clock = clock
        self.metrics = metrics
        self.list_runners = list_runners
        self.get_settings = get_settings


class DutyFactory(Protocol):
    """Creates a duty."""

    @classmethod
    def from_config(cls, services: DutyServices) -> Duty:
        """Create the duty and register its message handlers."""


#: Duties by the name that settings use.
DUTIES: Registry[type[DutyFactory]] = Registry('duty')
