"""The runners of one shard and the choice of one for a request."""

import hashlib
from collections.abc import Iterable

import msgspec

from anvilhall.core.health import Calibration
from anvilhall.core.messages import Ask
from anvilhall.core.placements import PLACEMENTS
from anvilhall.core.policies import Policy
from anvilhall.core.runners import Assignment, Runner
from anvilhall.core.settings import Pool
from anvilhall.core.versions import may_serve

#: Factor on the share of slots for requests that would otherwise be refused.
_URGENT_FACTOR = 2


class RunnerEndpoint(msgspec.Struct, frozen=True):
    """A live runner as the registry lists it."""

    name: str
    address: str
    #: Whether the runner drains: it takes no new requests.
    leaving: bool = False
    #: Requests that the runner serves at once; 0: the pool's setting applies.
    slots: int = 0
    #: Start time of the runner in Unix milliseconds; 0: unknown.
    born: int = 0
    #: Software version of the runner; empty: unknown.
    version: str = ''


class Roster:
    """Runners by name.

    :param policy: switches of the scheduling mechanisms.
    :param pool: settings of the pool.
    :param salt: seed of the order in which runners are filled. Instances that
        grant slots without knowing each other's grants use different seeds, so
        that they do not all fill the same runner first.
    """

    __slots__ = (
        '_calibration',
        '_placement',
        '_policy',
        '_pool',
        '_ranks',
        '_salt',
        'runners',
        'share',
    )

    def __init__(self, policy: Policy, pool: Pool, salt: str = '') -> None:
        """Start with no runners."""
        self._salt = salt
        #: Position of each runner in the order of filling, from 0 to 1.
        self._ranks: dict[str, float] = {}
        self._policy = policy
        self._pool = pool
        self._placement = PLACEMENTS.get(policy.placement)
        self._calibration = Calibration()
        self.runners: dict[str, Runner] = {}
        #: Share of each runner's slots that the shard may use, in (0, 1].
        self.share = 1.0

    @property
    def running_count(self) -> int:
        """Number of requests on runners."""
        return sum(len(runner.assignments) for runner in self.runners.values())

    @property
    def slots(self) -> int:
        """Number of requests that all runners can serve at once."""
        return sum(runner.slots for runner in self.runners.values())

    def count_tier(self, tier: int) -> int:
        """Return how many requests of a tier or a higher one run."""
        return sum(
            count
            for runner in self.runners.values()
            for (priority, _), count in runner.stream_counts.items()
            if priority[0] <= tier
        )

    def has_available(self, version: str | None = None) -> bool:
        """Return whether any runner takes new requests.

        :param version: required version of the runner; ``None``: any.
        """
        return any(not runner.leaving for runner in self.list_runners(version))

    def list_runners(self, version: str | None) -> Iterable[Runner]:
        """Return the runners that may serve a request.

        :param version: version that it requires; ``None``: any.
        """
        runners = self.runners.values()
        if version is None:
            return runners
        stated = any(runner.version for runner in runners)
        return [
            runner
            for runner in runners
            if may_serve(version, runner.version, stated=stated)
        ]

    def set_pool(self, pool: Pool) -> None:
        """Apply changed settings of the pool."""
        self._pool = pool
        for runner in self.runners.values():
            runner.set_pool(pool)

    def set_endpoints(
        self, endpoints: Iterable[RunnerEndpoint]
    ) -> list[Assignment]:
        """Replace the runners by those that the registry lists.

        A runner that is no longer listed is kept until its requests have ended.

        :return: requests on runners that have restarted and so have lost them.
        """
        listed = {endpoint.name: endpoint for endpoint in endpoints}
        for name in list(self.runners):
            if name not in listed:
                self.runners[name].leaving = True
                self.remove_if_drained(self.runners[name])
        lost: list[Assignment] = []
        for endpoint in listed.values():
            lost.extend(self._set_endpoint(endpoint))
        self._calibration.set_runner_count(len(self.runners))
        self._rank_runners()
        return lost

    def note_limit(
        self, runner: str, requests_per_s: float | None, now: float
    ) -> None:
        """Apply the limit that a runner has advertised.

        :param requests_per_s: infinite if it names none; ``None``: unknown.
        """
        known = self.runners.get(runner)
        if known and requests_per_s is not None:
            known.advertised_rate.set(requests_per_s, self.share, now)

    def adopt_limits(
        self,
        limits: Iterable[tuple[str, float]],
        now: float,
        starts: Iterable[tuple[str, int]] = (),
    ) -> None:
        """Apply limits that runners have advertised to an instance.

        Those of other starts than the listed ones are not applied.

        :param limits: runners with their requests per second.
        :param starts: starts of runners that have named a limit, as far as
            they are known, in Unix milliseconds.
        """
        named = dict(starts)
        for runner, requests_per_s in limits:
            known = self.runners.get(runner)
            if known and named.get(runner, known.born) == known.born:
                self.note_limit(runner, requests_per_s, now)

    def find_assignment(
        self, request_id: str
    ) -> tuple[Runner, Assignment] | None:
        """Return a granted request and its runner; ``None`` if not found."""
        for runner in self.runners.values():
            assignment = runner.assignments.get(request_id)
            if assignment:
                return runner, assignment
        return None

    def remove_if_drained(self, runner: Runner) -> None:
        """Remove a runner that takes no new requests and has none running."""
        if runner.leaving and not runner.assignments:
            self.runners.pop(runner.name, None)
            self._rank_runners()

    def calibrate(self) -> None:
        """Update the pool's median slowdown from the runners' slowdowns."""
        if self._policy.calibrate and self.runners:
            self._calibration.set_slowdowns(
                runner.health.slowdown for runner in self.runners.values()
            )

    def choose_runner(
        self,
        ask: Ask,
        assignment: Assignment,
        reserved_slots: int,
        now: float,
        *,
        urgent: bool = False,
    ) -> Runner | None:
        """Return the eligible runner with the lowest placement cost.

        Only runners of the version that the request requires are eligible.
        Runners that the request asks to avoid are chosen only if no other is
        eligible, and never for a request that moves.

        :param reserved_slots: slots of each runner to leave free for higher
            tiers.
        :param now: monotonic seconds.
        :param urgent: whether more than the share of slots may be used.
        :return: ``None`` if no runner has capacity for the request.
        """
        allow_degraded = self._are_most_suspect()
        eligible = [
            runner
            for runner in self.list_runners(ask.version)
            if runner.can_take(
                assignment,
                reserved_slots + self._count_peer_slots(runner, urgent=urgent),
                now,
                allow_degraded=allow_degraded,
            )
        ]
        preferred = [
            runner for runner in eligible if runner.name not in ask.avoid
        ]
        candidates = preferred if ask.moves else preferred or eligible
        if not candidates:
            return None
        return min(
            candidates,
            key=lambda runner: self._placement(
                runner,
                ask,
                assignment,
                self._ranks[runner.name],
                now,
            ),
        )

    def _set_endpoint(self, endpoint: RunnerEndpoint) -> list[Assignment]:
        """Add or update a runner; return the requests that it has lost."""
        lost: list[Assignment] = []
        runner = self.runners.get(endpoint.name)
        if (
            runner is None
            or runner.address != endpoint.address
            or runner.born != endpoint.born
            or runner.version != endpoint.version
        ):
            # A restarted runner has lost its requests and its prefix cache.
            lost.extend(runner.assignments.values() if runner else ())
            runner = Runner(
                endpoint.name,
                endpoint.address,
                self._pool,
                self._policy,
                self._calibration,
            )
            runner.born = endpoint.born
            runner.version = endpoint.version
            self.runners[endpoint.name] = runner
        runner.leaving = endpoint.leaving
        runner.advertised_slots = endpoint.slots
        return lost

    def _count_peer_slots(self, runner: Runner, *, urgent: bool) -> int:
        """Return the slots of a runner that other instances may grant."""
        own = max(1, int(runner.slots * self.share))
        if urgent:
            own = max(own, min(runner.slots, own * _URGENT_FACTOR))
        return runner.slots - own

    def _are_most_suspect(self) -> bool:
        """Return whether more than half of the active runners are suspect.

        Slowness or errors are then a condition of the pool and no reason to
        prefer one runner to another.
        """
        suspect_flags = [
            runner.suspect
            for runner in self.runners.values()
            if not runner.leaving
        ]
        return self._policy.calibrate and sum(suspect_flags) * 2 > len(
            suspect_flags
        )

    def _rank_runners(self) -> None:
        last = max(1, len(self.runners) - 1)
        names = sorted(self.runners, key=self._get_rank_key)
        self._ranks = {name: index / last for index, name in enumerate(names)}

    def _get_rank_key(self, name: str) -> tuple[bytes, str]:
        if not self._salt:
            return b'', name
        text = f'{self._salt}|{name}'.encode()
        return hashlib.blake2b(text, digest_size=8).digest(), name
