"""Sends messages to the instances that read the registry of runners."""

from collections.abc import Callable

from anvilhall.core.directory import Directory
from anvilhall.core.messages import Message

#: Sends a message to an instance, or handles one of it.
_Send = Callable[[str, Message], None]


class ReaderLinks:
    """Reaches the reader of each failure domain, this instance included.

    :param instance: name of this instance.
    :param send: sends a message to an instance that may be unreachable.
    :param handle: handles a message on this instance.
    """

    __slots__ = ('_directory', '_handle', '_instance', '_send')

    def __init__(
        self, instance: str, directory: Directory, send: _Send, handle: _Send
    ) -> None:
        """Keep the dependencies."""
        self._instance = instance
        self._directory = directory
        self._send = send
        self._handle = handle

    def send(self, message: Message) -> None:
        """Send a message to all readers."""
        readers = self._directory.list_registry_readers()
        for name in sorted(set(readers.values())):
            if name == self._instance:
                self._handle(name, message)
            else:
                self._send(name, message)
