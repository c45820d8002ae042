"""Who owns which shard and which runners there are.

Ownership follows from the view of live instances by rendezvous hashing: every
instance with the same view names the same owner, and a change of the view
moves only the shards of the instances that came or went.
"""

import hashlib
from collections.abc import Iterable

from anvilhall.memberlist import Member, MemberList
from anvilhall.shard import Seat


def rank_owners(names: Iterable[str], shard: str) -> list[str]:
    """Return instances by their rendezvous weight for a shard, owner first."""
    return sorted(names, key=lambda name: _weigh(name, shard), reverse=True)


class Directory:
    """The platform's list joined with the view of the own failure domain.

    :param instance: name of this instance.
    :param failure_domain: its failure domain.
    """

    __slots__ = ('_domain', '_instance', '_live', '_members')

    def __init__(self, instance: str, failure_domain: str) -> None:
        """Start knowing of this instance only."""
        self._instance = instance
        self._domain = failure_domain
        self._live = [instance]
        self._members: dict[str, Member] = {}

    @property
    def live(self) -> list[str]:
        """Live instances of the own domain."""
        return self._live

    def set_list(self, listed: MemberList) -> None:
        """Take over the platform's list."""
        self._members = {member.name: member for member in listed.members}

    def set_live(self, live: list[str]) -> None:
        """Take over the view of the own domain's live instances."""
        self._live = live

    def get_address(self, instance: str) -> str | None:
        """Return the link address of an instance, if it is listed."""
        member = self._members.get(instance)
        return member.address if member else None

    def list_domain_instances(self) -> set[str]:
        """Return the listed entry instances of the own domain."""
        return set(self._list_entries(self._domain))

    def list_seats(self, pool: str) -> list[Seat]:
        """Return the runners of a pool in the own domain."""
        return [
            Seat(member.name, member.address, member.leaving)
            for member in self._members.values()
            if member.pool == pool and member.failure_domain == self._domain
        ]

    def find_owner(self, pool: str) -> str | None:
        """Return the owner of the own domain's shard of a pool.

        :return: ``None`` if the domain has no live runner of the pool.
        """
        if not any(not seat.leaving for seat in self.list_seats(pool)):
            return None
        return rank_owners(self._live, _name_shard(pool, self._domain))[0]

    def list_foreign_owners(self, pool: str) -> list[str]:
        """Return the presumed owners in other domains, nearest rank first."""
        domains = {
            member.failure_domain
            for member in self._members.values()
            if member.pool == pool and not member.leaving
        } - {self._domain}
        ranked = rank_owners(domains, f'{self._domain}/{pool}')
        owners: list[str] = []
        for domain in ranked:
            entries = self._list_entries(domain)
            owners.extend(rank_owners(entries, _name_shard(pool, domain))[:2])
        return owners

    def _list_entries(self, domain: str) -> list[str]:
        return [
            member.name
            for member in self._members.values()
            if not member.pool
            and not member.leaving
            and member.failure_domain == domain
        ]


def _name_shard(pool: str, domain: str) -> str:
    return f'{domain}/{pool}'


def _weigh(name: str, shard: str) -> tuple[bytes, str]:
    text = f'{shard}|{name}'.encode()
    return hashlib.blake2b(text, digest_size=8).digest(), name
