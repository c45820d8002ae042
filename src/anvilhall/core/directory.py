"""Looks up the runners of a pool and the owner of a shard.

Owners are chosen among the live instances by rendezvous hashing: instances
with the same view choose the same owner, and a change of the view moves only
the shards of the instances that joined or left.
"""

import hashlib
from collections.abc import Iterable

from anvilhall.core.departures import Departures
from anvilhall.core.members import Member, MemberList
from anvilhall.core.roster import RunnerEndpoint


def rank_owners(names: Iterable[str], shard: str) -> list[str]:
    """Return names by their rendezvous weight for a shard, highest first."""
    return sorted(names, key=lambda name: _score(name, shard), reverse=True)


class Directory:
    """Joins the platform's member list with the view of live instances.

    The runners of a pool in one region form one shard. During a network
    partition, each side has its own view of the live instances, and therefore
    its own owner for the runners that it reaches.

    :param instance: name of this instance.
    :param region: region of this instance.
    """

    __slots__ = (
        '_announced',
        '_departures',
        '_instance',
        '_listed',
        '_live',
        '_members',
        '_owners',
        '_readers',
        '_region',
        '_runners',
    )

    def __init__(self, instance: str, region: str) -> None:
        """Create a directory without members; only this instance is live."""
        self._instance = instance
        self._region = region
        self._live = [instance]
        self._members: dict[str, Member] = {}
        #: Entries of the platform's list by name.
        self._listed: dict[str, Member] = {}
        #: Members announced by themselves or by peers. They override the
        #: platform's list until its entry for the member changes.
        self._announced: dict[str, Member] = {}
        self._departures = Departures()
        #: Owners and runners by pool, cached until the next change.
        self._owners: dict[str, str | None] = {}
        self._runners: dict[str, list[RunnerEndpoint]] = {}
        #: Registry readers by failure domain; ``None``: not computed.
        self._readers: dict[str, str] | None = None

    @property
    def live(self) -> list[str]:
        """Live instances of the local region."""
        return self._live

    def set_list(self, listed: MemberList) -> None:
        """Replace the platform's list.

        Announced members whose entry has changed are taken from the list.
        """
        before = self._listed
        self._listed = {member.name: member for member in listed.members}
        for name, member in self._listed.items():
            if before.get(name) != member:
                self._announced.pop(name, None)
        self._members = {**self._listed, **self._announced}
        self._departures.set_listed(self._members)
        self._clear_cache()

    def note_leaving(self, runner: str, born: int, address: str = '') -> bool:
        """Note that a runner has said that it leaves.

        :param born: start of the runner in Unix milliseconds; 0: unknown.
        :param address: address of the runner; empty: unknown.
        :return: whether this was not known of a process that is listed, or of
            a later one.
        """
        listed = self._members.get(runner)
        noted = self._departures.note(runner, born, address, listed)
        if noted:
            self._clear_cache()
        return noted

    def update_member(self, member: Member) -> None:
        """Add or update a member that it or a peer has announced."""
        if self._members.get(member.name) != member:
            self._announced[member.name] = member
            self._members[member.name] = member
            self._clear_cache()

    def find_member(self, name: str) -> Member | None:
        """Return an instance or an upstream by name, if it is known."""
        return self._members.get(name)

    def set_live(self, live: list[str]) -> None:
        """Replace the live instances of the local region."""
        self._live = live
        self._clear_cache()

    def get_address(self, instance: str) -> str | None:
        """Return the address of an instance's links or of a runner, if known.

        :param instance: name of the instance or runner.
        """
        member = self._members.get(instance)
        return member.address if member else None

    def list_region_instances(self) -> set[str]:
        """Return the known entry instances of the local region.

        Instances that are leaving are not included.
        """
        return set(self._list_instances(self._region))

    def list_runners(self, pool: str) -> list[RunnerEndpoint]:
        """Return the runners of a pool in the local region.

        Runners in a failure domain whose instances are all down or unreachable
        are not included.
        """
        if pool not in self._runners:
            self._runners[pool] = self._find_runners(pool)
        return self._runners[pool]

    def _find_runners(self, pool: str) -> list[RunnerEndpoint]:
        unreachable = self._find_unreachable_domains()
        return [
            RunnerEndpoint(
                member.name,
                member.address,
                self._is_leaving(member),
                member.slots,
                member.born,
                member.version,
            )
            for member in self._members.values()
            if member.pool == pool
            and member.region == self._region
            and member.failure_domain not in unreachable
        ]

    def get_born(self, runner: str) -> int:
        """Return when a runner started, in Unix milliseconds; 0: unknown."""
        member = self._members.get(runner)
        return member.born if member else 0

    def get_version(self, runner: str) -> str:
        """Return the software version of a runner; empty: unknown."""
        member = self._members.get(runner)
        return member.version if member else ''

    def is_leaving(self, runner: str) -> bool:
        """Return whether a runner is leaving or unknown."""
        member = self._members.get(runner)
        return member is None or self._is_leaving(member)

    def find_owner(self, pool: str) -> str | None:
        """Return the owner of a pool's shard in the local region.

        :return: ``None`` if no runner of the pool in the region accepts
            requests.
        """
        if pool not in self._owners:
            self._owners[pool] = self._choose_owner(pool)
        return self._owners[pool]

    def list_registry_readers(self) -> dict[str, str]:
        """Return the instance that polls the registry for each failure domain.

        Each domain has its own reader, so that a domain cut off by a network
        partition keeps one.

        :return: live instances of the local region by failure domain.
        """
        if self._readers is None:
            domains: dict[str, list[str]] = {}
            for name in self._live:
                member = self._members.get(name)
                if member:
                    domains.setdefault(member.failure_domain, []).append(name)
            self._readers = {
                domain: self._choose_instance(names, f'registry/{domain}')
                for domain, names in domains.items()
            }
        return self._readers

    def list_domain_instances(self, domain: str) -> list[str]:
        """Return the live instances of a failure domain."""
        return [
            name
            for name in self._live
            if (member := self._members.get(name))
            and member.failure_domain == domain
        ]

    def list_reader_links(self, domain: str) -> set[str]:
        """Return the readers of the registry that this instance links to.

        Readers have links to each other; all other instances have a link to
        the reader of their own domain.

        :param domain: failure domain of this instance.
        """
        readers = self.list_registry_readers()
        names = set(readers.values())
        if self._instance not in names:
            names &= {readers.get(domain, '')}
        return names - {self._instance}

    def list_foreign_owners(self, pool: str) -> list[str]:
        """Return likely owners of a pool in other regions, best ones first.

        This instance has no view of the live instances elsewhere: the two that
        rank highest of each region's known instances are returned.
        """
        regions = {
            member.region
            for member in self._members.values()
            if member.pool == pool and not member.leaving
        } - {self._region}
        owners: list[str] = []
        for region in rank_owners(regions, f'{self._region}/{pool}'):
            instances = self._list_instances(region)
            owners.extend(rank_owners(instances, _name_shard(pool, region))[:2])
        return owners

    def _is_leaving(self, member: Member) -> bool:
        return member.leaving or self._departures.includes(member)

    def _choose_owner(self, pool: str) -> str | None:
        if not any(
            not endpoint.leaving for endpoint in self.list_runners(pool)
        ):
            return None
        shard = _name_shard(pool, self._region)
        return self._choose_instance(self._live, shard)

    def _choose_instance(self, names: list[str], shard: str) -> str:
        """Return the instance that serves a shard for the others.

        Only the instances with the largest capacity are considered.
        """
        capacities = {name: self._get_capacity(name) for name in names}
        largest = max(capacities.values())
        candidates = [name for name in names if capacities[name] >= largest]
        return rank_owners(candidates, shard)[0]

    def _get_capacity(self, instance: str) -> float:
        member = self._members.get(instance)
        return member.capacity if member else 0.0

    def _clear_cache(self) -> None:
        self._owners.clear()
        self._runners.clear()
        self._readers = None

    def _find_unreachable_domains(self) -> set[str]:
        """Return the failure domains with instances of which none is live.

        The domain of this instance always counts as reachable.
        """
        listed: set[str] = set()
        reachable: set[str] = set()
        for name in self._list_instances(self._region):
            domain = self._members[name].failure_domain
            listed.add(domain)
            if name in self._live:
                reachable.add(domain)
        own = self._members.get(self._instance)
        if own:
            reachable.add(own.failure_domain)
        return listed - reachable

    def _list_instances(self, region: str) -> list[str]:
        return [
            member.name
            for member in self._members.values()
            if not member.pool
            and not member.leaving
            and member.region == region
        ]


def _name_shard(pool: str, region: str) -> str:
    return f'{region}/{pool}'


def _score(name: str, shard: str) -> tuple[bytes, str]:
    text = f'{shard}|{name}'.encode()
    return hashlib.blake2b(text, digest_size=8).digest(), name
