"""Duties of one instance: creates them, updates them and runs the holder."""

import asyncio
import functools
import random
from collections.abc import Mapping

from anvilhall.core.leases import TermId
from anvilhall.duties.base import DUTIES, Duty, DutyServices
from anvilhall.duties.capacity import CapacityDuty
from anvilhall.duties.client import DutyClient
from anvilhall.duties.holder import DutyHolder
from anvilhall.duties.usage import UsageReporting
from anvilhall.exceptions import UnknownName
from anvilhall.logs import log_event
from anvilhall.outbound import Outbound
from anvilhall.platform.store import StoreClient
from anvilhall.tasks import TaskSet

#: Seconds between two updates of the duties.
_UPDATE_S = 1.0


#: Duties of this program; their modules register them.
BUILT_IN = (CapacityDuty, UsageReporting)


class DutyRuntime:
    """Runs the duties that the settings of the process name."""

    __slots__ = ('_duties', '_holder')

    def __init__(
        self,
        duties: Mapping[str, Duty] | None = None,
        holder: DutyHolder | None = None,
    ) -> None:
        """Keep the duties by name and their holder; without one, do nothing."""
        self._duties = duties or {}
        self._holder = holder

    @property
    def term(self) -> TermId | None:
        """Newest term that this instance has read; ``None``: none."""
        return self._holder.newest if self._holder else None

    def count_run(self, account: str) -> None:
        """Count a request of an account that begins to run now."""
        for duty in self._duties.values():
            if isinstance(duty, UsageReporting):
                duty.exchange.count_run(account)

    @classmethod
    def from_services(
        cls,
        services: DutyServices,
        store: StoreClient,
        outbound: Outbound,
        rng: random.Random,
    ) -> 'DutyRuntime':
        """Create the duties and their holder without starting them."""
        duties = _create_duties(services)
        client = DutyClient(
            services.duties.api,
            services.duties.calls_per_s,
            outbound,
            services.clock,
            services.metrics,
        )
        holder = DutyHolder(services, store, client, duties, rng)
        return cls(duties, holder)

    def start(self, tasks: TaskSet) -> None:
        """Start the updates and the holder; without duties, nothing."""
        for duty in self._duties.values():
            tasks.spawn(functools.partial(_update, duty))
        if self._duties and self._holder:
            self._holder.start(tasks)

    def update(self) -> None:
        """Do what each instance does for the duties; called once a second."""
        for duty in self._duties.values():
            duty.update()

    def stop(self) -> None:
        """Give up the lease."""
        if self._holder:
            self._holder.stop()


async def _update(duty: Duty) -> None:
    while True:
        duty.update()
        await asyncio.sleep(_UPDATE_S)


def _create_duties(services: DutyServices) -> dict[str, Duty]:
    duties: dict[str, Duty] = {}
    for name in services.duties.names:
        try:
            kind = DUTIES.get(name)
        except UnknownName as error:
            # A later version of the settings may name duties of a later
            # version of this program.
            log_event('duty_unknown', duty=name, reason=error.reason)
        else:
            duties[name] = kind.from_config(services)
    return duties
