"""Registries of named implementations, filled by decorators."""

from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

from anvilhall.exceptions import UnknownName

_Entry = TypeVar('_Entry')


class Registry(Generic[_Entry]):
    """Maps names, as they appear in settings, to implementations.

    :param kind: what the entries are, for error messages.
    """

    __slots__ = ('_entries', '_kind')

    def __init__(self, kind: str) -> None:
        """Start empty."""
        self._kind = kind
        self._entries: dict[str, _Entry] = {}

    def __iter__(self) -> Iterator[str]:
        """Iterate over the registered names in order of registration."""
        return iter(self._entries)

    def register(self, name: str) -> Callable[[_Entry], _Entry]:
        """Return a decorator that registers an implementation under a name."""

        def add_entry(entry: _Entry) -> _Entry:  # noqa: WPS430
            self._entries[name] = entry
            return entry

        return add_entry

    def get(self, name: str) -> _Entry:
        """Return the implementation registered under a name.

        :raises UnknownName: if there is none.
        """
        if name not in self._entries:
            known = ', '.join(self._entries)
            raise UnknownName(f'no {self._kind} named {name!r}; known: {known}')
        return self._entries[name]
