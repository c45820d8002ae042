"""Who owns which shard and which runners there are.

Ownership follows from the view of live instances by rendezvous hashing: every
instance with the same view names the same owner, and a change of the view
moves only the shards of the instances that came or went.
"""

import hashlib
from collections.abc import Iterable

from anvilhall.core.members import Member, MemberList
from anvilhall.core.roster import RunnerEndpoint


def rank_owners(names: Iterable[str], shard: str) -> list[str]:
    """Return instances by their rendezvous weight for a shard, owner first."""
    return sorted(names, key=lambda name: _weigh(name, shard), reverse=True)


class Directory:
    """The platform's list joined with the view of the own region.

    The runners of a pool in one region form a shard while the instances of its
    failure domains see each other. A domain that is cut off has a view of its
    own, and so an owner of its own for the runners that it reaches.

    :param instance: name of this instance.
    :param region: its region.
    """

    __slots__ = (
        '_instance',
        '_introduced',
        '_listed',
        '_live',
        '_members',
        '_owners',
        '_readers',
        '_region',
        '_seats',
    )

    def __init__(self, instance: str, region: str) -> None:
        """Start knowing of this instance only."""
        self._instance = instance
        self._region = region
        self._live = [instance]
        self._members: dict[str, Member] = {}
        #: Members of the platform's list.
        self._listed: dict[str, Member] = {}
        #: Instances that said themselves how they are reached, or that others
        #: told of; they go before an older list.
        self._introduced: dict[str, Member] = {}
        #: Answers worked out since the last change, by pool.
        self._owners: dict[str, str | None] = {}
        self._seats: dict[str, list[RunnerEndpoint]] = {}
        self._readers: dict[str, str] | None = None

    @property
    def live(self) -> list[str]:
        """Live instances of the own region."""
        return self._live

    def set_list(self, listed: MemberList) -> None:
        """Take over the platform's list."""
        before = self._listed
        self._listed = {member.name: member for member in listed.members}
        for name, member in self._listed.items():
            if before.get(name) != member:
                self._introduced.pop(name, None)
        self._members = {**self._listed, **self._introduced}
        self._forget()

    def introduce(self, member: Member) -> None:
        """Take in how an instance is reached."""
        if self._members.get(member.name) != member:
            self._introduced[member.name] = member
            self._members[member.name] = member
            self._forget()

    def find_member(self, name: str) -> Member | None:
        """Return how an instance or an upstream is reached, if it is known."""
        return self._members.get(name)

    def set_live(self, live: list[str]) -> None:
        """Take over the view of the own region's live instances."""
        self._live = live
        self._forget()

    def get_address(self, instance: str) -> str | None:
        """Return the link address of an instance, if it is listed."""
        member = self._members.get(instance)
        return member.address if member else None

    def list_region_instances(self) -> set[str]:
        """Return the listed entry instances of the own region."""
        return set(self._list_entries(self._region))

    def list_seats(self, pool: str) -> list[RunnerEndpoint]:
        """Return the runners of a pool in the own region.

        Left out are those of domains whose instances all are out of reach.
        """
        if pool not in self._seats:
            self._seats[pool] = self._find_seats(pool)
        return self._seats[pool]

    def _find_seats(self, pool: str) -> list[RunnerEndpoint]:
        unreached = self._find_unreached()
        return [
            RunnerEndpoint(
                member.name,
                member.address,
                member.leaving,
                member.slots,
                member.born,
            )
            for member in self._members.values()
            if member.pool == pool
            and member.region == self._region
            and member.failure_domain not in unreached
        ]

    def is_leaving(self, runner: str) -> bool:
        """Return whether a runner is known to take no new work."""
        member = self._members.get(runner)
        return member is None or member.leaving

    def find_owner(self, pool: str) -> str | None:
        """Return the owner of the own region's shard of a pool.

        :return: ``None`` if the region has no live runner of the pool.
        """
        if pool not in self._owners:
            self._owners[pool] = self._choose_owner(pool)
        return self._owners[pool]

    def list_readers(self) -> dict[str, str]:
        """Return who reads the registry for each failure domain.

        A domain that is cut off keeps a reader of its own.

        :return: live instances of the own region by failure domain.
        """
        if self._readers is None:
            domains: dict[str, list[str]] = {}
            for name in self._live:
                member = self._members.get(name)
                if member:
                    domains.setdefault(member.failure_domain, []).append(name)
            self._readers = {
                domain: self._choose_largest(names, f'registry/{domain}')
                for domain, names in domains.items()
            }
        return self._readers

    def list_reader_links(self, domain: str) -> set[str]:
        """Return the readers of the registry that this instance talks to.

        Each instance has a link to its own domain's reader, and the readers
        have links to each other.

        :param domain: failure domain of this instance.
        """
        readers = self.list_readers()
        names = set(readers.values())
        if self._instance not in names:
            names &= {readers.get(domain, '')}
        return names - {self._instance}

    def list_foreign_owners(self, pool: str) -> list[str]:
        """Return the presumed owners in other regions, by rank."""
        regions = {
            member.region
            for member in self._members.values()
            if member.pool == pool and not member.leaving
        } - {self._region}
        owners: list[str] = []
        for region in rank_owners(regions, f'{self._region}/{pool}'):
            entries = self._list_entries(region)
            owners.extend(rank_owners(entries, _name_shard(pool, region))[:2])
        return owners

    def _choose_owner(self, pool: str) -> str | None:
        if not any(not seat.leaving for seat in self.list_seats(pool)):
            return None
        shard = _name_shard(pool, self._region)
        return self._choose_largest(self._live, shard)

    def _choose_largest(self, names: list[str], shard: str) -> str:
        """Return who does the work of a shard for others.

        It stands on one of the largest machines.
        """
        capacities = {name: self._get_capacity(name) for name in names}
        largest = max(capacities.values())
        able = [name for name in names if capacities[name] >= largest]
        return rank_owners(able, shard)[0]

    def _get_capacity(self, instance: str) -> float:
        member = self._members.get(instance)
        return member.capacity if member else 0.0

    def _forget(self) -> None:
        self._owners.clear()
        self._seats.clear()
        self._readers = None

    def _find_unreached(self) -> set[str]:
        """Return domains with listed instances of which none is live."""
        listed: set[str] = set()
        reached: set[str] = set()
        for name in self._list_entries(self._region):
            domain = self._members[name].failure_domain
            listed.add(domain)
            if name in self._live:
                reached.add(domain)
        own = self._members.get(self._instance)
        if own:
            reached.add(own.failure_domain)
        return listed - reached

    def _list_entries(self, region: str) -> list[str]:
        return [
            member.name
            for member in self._members.values()
            if not member.pool
            and not member.leaving
            and member.region == region
        ]


def _name_shard(pool: str, region: str) -> str:
    return f'{region}/{pool}'


def _weigh(name: str, shard: str) -> tuple[bytes, str]:
    text = f'{shard}|{name}'.encode()
    return hashlib.blake2b(text, digest_size=8).digest(), name
