"""Checks of grants against the runners that an instance knows."""

import msgspec

from anvilhall.core.directory import Directory
from anvilhall.core.messages import Ask, Grant
from anvilhall.core.notices import RunnerNotices
from anvilhall.core.versions import may_serve


class Verification:
    """Compares grants with the runners that this instance knows.

    The owner of a shard may have an older list of them than this instance, or a
    newer one.
    """

    __slots__ = ('_directory', '_notices')

    def __init__(self, directory: Directory, notices: RunnerNotices) -> None:
        """Use the runners of a directory and what they have said."""
        self._directory = directory
        self._notices = notices

    def refine(self, grant: Grant) -> Grant:
        """Return a grant with what is known of its runner by now.

        The later start of the runner counts. If the owner and this instance
        name one start but two versions, the version is unknown. A start at
        another address is that of another process.
        """
        directory = self._directory
        version = directory.get_version(grant.runner)
        born = directory.get_born(grant.runner)
        if (
            born < grant.born
            or (version, born) == (grant.version, grant.born)
            or directory.get_address(grant.runner) != grant.address
        ):
            return grant
        if born == grant.born:
            disputed = version and grant.version
            version = '' if disputed else version or grant.version
        return msgspec.structs.replace(grant, version=version, born=born)

    def is_usable(self, grant: Grant, ask: Ask) -> bool:
        """Return whether a grant's runner may serve a request.

        It must take new requests and have the version that the request
        requires, and must not have moved since the grant.
        """
        directory = self._directory
        if directory.is_leaving(grant.runner) or self._notices.is_paused(
            grant.runner
        ):
            return False
        moved = directory.get_address(grant.runner) != grant.address
        if moved and directory.get_born(grant.runner) > grant.born:
            return False
        if ask.version is None:
            return True
        stated = any(
            endpoint.version for endpoint in directory.list_runners(grant.pool)
        )
        return may_serve(ask.version, grant.version, stated=stated)

    def is_listed(self, grant: Grant) -> bool:
        """Return whether the process of a grant is listed and not leaving."""
        directory = self._directory
        if directory.is_leaving(grant.runner):
            return False
        listed = (
            directory.get_address(grant.runner),
            directory.get_born(grant.runner),
        )
        return listed == (grant.address, grant.born)

    def is_replaced(self, grant: Grant) -> bool:
        """Return whether a later process of a grant's runner is listed."""
        return 0 < grant.born < self._directory.get_born(grant.runner)

    def may_be_granted(self, ask: Ask) -> bool:
        """Return whether a runner is known that an ask does not avoid.

        The runners of other regions are not known one by one.
        """
        runners = self._directory.list_runners(ask.pool)
        stated = any(runner.version for runner in runners)
        return any(
            not runner.leaving
            and runner.name not in ask.avoid
            and may_serve(ask.version, runner.version, stated=stated)
            for runner in runners
        ) or bool(self._directory.list_foreign_owners(ask.pool))
