"""Entry instances of the requests that wait or run in a shard."""

from collections.abc import Iterator


class Senders:
    """Instances by request, and requests by instance."""

    __slots__ = ('_instances', '_requests')

    def __init__(self) -> None:
        """Start without requests."""
        self._instances: dict[str, str] = {}
        self._requests: dict[str, set[str]] = {}

    def __contains__(self, request_id: str) -> bool:
        """Return whether a request waits or runs."""
        return request_id in self._instances

    def __iter__(self) -> Iterator[str]:
        """Iterate over the requests."""
        return iter(self._instances)

    def set(self, request_id: str, instance: str) -> None:
        """Note the instance of a request."""
        self.remove(request_id)
        self._instances[request_id] = instance
        self._requests.setdefault(instance, set()).add(request_id)

    def get(self, request_id: str) -> str:
        """Return the instance of a request; empty if there is none."""
        return self._instances.get(request_id, '')

    def list_requests(self, instance: str) -> list[str]:
        """Return the requests of an instance."""
        return sorted(self._requests.get(instance, ()))

    def remove(self, request_id: str) -> None:
        """Forget a request."""
        instance = self._instances.pop(request_id, None)
        if instance is None:
            return
        requests = self._requests[instance]
        requests.discard(request_id)
        if not requests:
            self._requests.pop(instance)
