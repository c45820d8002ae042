"""The registry readers and instances of an instance's surroundings."""

from collections.abc import Mapping

from anvilhall.core.directory import Directory


class DomainView:
    """What an instance knows of the failure domains of its region.

    :param directory: knows the live instances.
    :param domain: failure domain of this instance.
    """

    __slots__ = ('_directory', '_domain')

    def __init__(self, directory: Directory, domain: str) -> None:
        """Keep the directory."""
        self._directory = directory
        self._domain = domain

    @property
    def readers(self) -> Mapping[str, str]:
        """Instances that read the registry, by failure domain."""
        return self._directory.list_registry_readers()

    @property
    def reader(self) -> str:
        """Instance that reads the registry for this domain; empty: unknown."""
        return self.readers.get(self._domain, '')

    @property
    def instances(self) -> list[str]:
        """Live instances of this domain."""
        return self._directory.list_domain_instances(self._domain)
