"""The merged settings tree: inheritance, validation and look-ups."""

import hashlib
import zoneinfo
from collections.abc import Iterator, Mapping

from anvilhall.core.settings import (
    ROOT,
    Account,
    ClassSettings,
    Fault,
    Guards,
    JsonObject,
    Pool,
    Schedule,
    SettingsFaulty,
    TeamNode,
    convert_class,
    merge_fields,
)
from anvilhall.exceptions import ClassNotAllowed, UnknownAccount, UnknownClass


class ClientAccount:
    """A client account with its name and team."""

    __slots__ = ('account', 'name', 'team')

    def __init__(self, name: str, team: str, account: Account) -> None:
        """Store the account with its position in the tree."""
        self.name = name
        self.team = team
        self.account = account


class Tree:
    """All teams' settings, merged and validated.

    :param nodes: settings of each team by the team's path.
    :raises SettingsFaulty: if they are invalid; lists every fault.
    """

    __slots__ = ('_by_key', '_class_paths', 'classes', 'nodes', 'pools')

    def __init__(self, nodes: Mapping[str, TeamNode]) -> None:
        """Resolve inheritance and check references."""
        self.nodes = dict(nodes)
        self.classes: dict[str, ClassSettings] = {}
        self._class_paths: dict[str, str] = {}
        self.pools: dict[str, Pool] = {}
        self._by_key: dict[str, ClientAccount] = {}
        faults = list(self._merge_nodes())
        if faults:
            raise SettingsFaulty(faults)

    @property
    def guards(self) -> Guards:
        """Limits that apply to every instance."""
        root = self.nodes.get(ROOT)
        return root.guards if root else Guards()

    @property
    def schedules(self) -> dict[str, Schedule]:
        """All schedules by name."""
        found: dict[str, Schedule] = {}
        for node in self.nodes.values():
            found.update(node.schedules)
        return found

    def find_account(self, key: str) -> ClientAccount:
        """Return the client account of a key.

        :raises UnknownAccount: if no account has the key.
        """
        client = self._by_key.get(hash_key(key))
        if client is None:
            raise UnknownAccount()
        return client

    def choose_class(
        self,
        client: ClientAccount,
        named: str,
        path: str,
    ) -> str:
        """Return the class of a request.

        :param client: the caller's account.
        :param named: class named in the caller's header, or empty.
        :param path: path of the caller's request.
        :raises UnknownClass: if the class does not exist, or none is named and
            neither the path nor the account selects one.
        :raises ClassNotAllowed: if the account may not use the class.
        """
        class_name = named or self._match_path(client, path)
        if class_name not in self.classes:
            raise UnknownClass(f'no class named {class_name!r}')
        if not self._may_use(client, class_name):
            raise ClassNotAllowed(
                f'account {client.name!r} may not use class {class_name!r}',
            )
        return class_name

    def _match_path(self, client: ClientAccount, path: str) -> str:
        for name, settings in self.classes.items():
            if path in settings.paths and self._may_use(client, name):
                return name
        return client.account.default_class or ''

    def _may_use(self, client: ClientAccount, class_name: str) -> bool:
        if client.account.classes:
            return class_name in client.account.classes
        return _is_within(self._class_paths[class_name], client.team)

    def _merge_nodes(self) -> Iterator[Fault]:
        for path, node in sorted(self.nodes.items()):
            yield from self._add_pools(path, node)
            yield from self._add_classes(path, node)
            yield from self._add_accounts(path, node)
        yield from self._check_references()

    def _add_pools(self, path: str, node: TeamNode) -> Iterator[Fault]:
        for name, pool in node.pools.items():
            if name in self.pools:
                yield Fault(
                    path=f'/{path}.pools.{name}',
                    reason='another team has a pool of the same name',
                )
            self.pools[name] = pool
        for schedule_name, schedule in node.schedules.items():
            if schedule.timezone not in zoneinfo.available_timezones():
                yield Fault(
                    path=f'/{path}.schedules.{schedule_name}.timezone',
                    reason=f'unknown time zone {schedule.timezone!r}',
                )

    def _add_classes(self, path: str, node: TeamNode) -> Iterator[Fault]:
        inherited = self._inherit_defaults(path)
        # Validates the defaults alone; ``pool`` is a required field.
        probe = merge_fields({'pool': ''}, inherited)
        yield from _collect_faults(probe, f'{path}.class_defaults')
        for name, fields in node.classes.items():
            place = f'{path}.classes.{name}'
            if name in self.classes:
                yield Fault(
                    path=f'/{place}',
                    reason='another team has a class of the same name',
                )
            merged = merge_fields(inherited, fields)
            faults = _collect_faults(merged, place)
            yield from faults
            if not faults:
                self.classes[name] = convert_class(merged, place)
                self._class_paths[name] = path

    def _inherit_defaults(self, path: str) -> JsonObject:
        merged: JsonObject = {}
        for ancestor in _list_ancestors(path):
            node = self.nodes.get(ancestor)
            if node:
                merged = merge_fields(merged, node.class_defaults)
        return merged

    def _add_accounts(self, path: str, node: TeamNode) -> Iterator[Fault]:
        for name, account in node.accounts.items():
            for digest in account.key_sha256:
                if digest in self._by_key:
                    yield Fault(
                        path=f'/{path}.accounts.{name}.key_sha256',
                        reason='another account has the same key',
                    )
                self._by_key[digest] = ClientAccount(name, path, account)

    def _check_references(self) -> Iterator[Fault]:
        for name, settings in self.classes.items():
            place = f'/{self._class_paths[name]}.classes.{name}.pool'
            if settings.pool not in self.pools:
                reason = f'no pool named {settings.pool!r}'
                yield Fault(path=place, reason=reason)
        schedules = self.schedules
        for pool_name, pool in self.pools.items():
            for reserve in pool.reserves:
                if reserve.schedule not in schedules:
                    yield Fault(
                        path=f'/.pools.{pool_name}.reserves',
                        reason=f'no schedule named {reserve.schedule!r}',
                    )


def hash_key(key: str) -> str:
    """Return the hash of an account key, as stored in the settings."""
    return hashlib.sha256(key.encode()).hexdigest()


def _collect_faults(raw: JsonObject, place: str) -> list[Fault]:
    try:
        convert_class(raw, place)
    except SettingsFaulty as error:
        return error.faults
    return []


def _list_ancestors(path: str) -> Iterator[str]:
    yield ROOT
    parts = path.split('/') if path else []
    for depth in range(1, len(parts) + 1):
        yield '/'.join(parts[:depth])


def _is_within(path: str, ancestor: str) -> bool:
    if ancestor == ROOT or path == ROOT:
        return True
    return f'{path}/'.startswith(f'{ancestor}/')
