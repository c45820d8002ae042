"""Priority queue of the waiting requests of one pool.

Tiers have strict priority. Within a tier, classes are served by rank, and
classes of the same rank by weighted fair queueing; so are the client accounts
within a class. Virtual times advance by the estimated tokens of each granted
request. A class that has had no grant for its floor interval is served before
all tiers, which prevents starvation.

Requests that require a software version of the runner, and those that are to
leave their runner, wait in queues of their own, as the runners that they may
use may be full while others are free. All queues of a class share its virtual
time and its floor interval.
"""

import heapq
import itertools
import math
from collections.abc import Iterator

from anvilhall.core.messages import Ask
from anvilhall.core.policies import Policy
from anvilhall.core.settings import ClassSettings


class QueuedRequest:
    """A request that waits for a runner."""

    __slots__ = (
        'arrived_at',
        'ask',
        'class_settings',
        'cost_tokens',
        'deadline_at',
        'expires_at',
        'queue_key',
        'sender',
    )

    def __init__(
        self,
        ask: Ask,
        class_settings: ClassSettings,
        now: float,
        sender: str,
    ) -> None:
        """Compute when the request expires.

        :param now: time of arrival in monotonic seconds.
        :param sender: name of the entry instance that sent the request.
        """
        self.ask = ask
        self.class_settings = class_settings
        self.arrived_at = now
        self.deadline_at = now + ask.deadline_s
        #: Monotonic time at which the request is refused if it still waits:
        #: its deadline or its class's wait limit, whichever comes first.
        self.expires_at = self.deadline_at
        if class_settings.wait_limit_s is not None:
            limit_at = now + class_settings.wait_limit_s
            self.expires_at = min(self.deadline_at, limit_at)
        #: Tokens by which a grant advances the virtual times of the request's
        #: class and account.
        self.cost_tokens = ask.prompt_tokens + ask.max_tokens
        #: Requests with the same key are served earliest expiry first.
        self.queue_key = ask.account
        self.sender = sender

    @property
    def priority(self) -> tuple[int, int]:
        """Tier and rank; lower values are served first."""
        return self.class_settings.tier, self.class_settings.rank

    def is_urgent(self, now: float) -> bool:
        """Return whether half of the longest wait has passed."""
        return now - self.arrived_at >= self.expires_at - now

    def is_late(self, now: float) -> bool:
        """Return whether the target time passed before the grant.

        The target is that of the first token or, if the class has none, that
        of the whole answer.
        """
        target = self.class_settings.target
        target_ms = target.first_token_ms or target.done_ms
        if target_ms is None:
            return False
        return now - self.arrived_at >= target_ms / _MS_PER_S


_MS_PER_S = 1000.0


#: Expiry time, sequence number of arrival, and the request.
_Entry = tuple[float, int, QueuedRequest]
#: Class, tier, required version, and whether the requests hold a grant.
_QueueKey = tuple[str, int, str | None, bool]
#: Virtual time and index of a class, and when a queue was served last.
_UsageOrder = tuple[float, int, float]


class _AccountQueue:
    """Waiting requests of one client account in one class, by expiry time."""

    __slots__ = ('_heap', '_late', '_sequence', 'virtual_time', 'weight')

    def __init__(self, virtual_time: float, weight: float) -> None:
        self.virtual_time = virtual_time
        self.weight = weight
        self._heap: list[_Entry] = []
        self._late: list[_Entry] = []
        self._sequence = itertools.count()

    def __len__(self) -> int:
        return len(self._heap) + len(self._late)

    def __iter__(self) -> Iterator[QueuedRequest]:
        for _, _, request in (*self._heap, *self._late):
            yield request

    def push(self, request: QueuedRequest) -> None:
        entry = (request.expires_at, next(self._sequence), request)
        heapq.heappush(self._heap, entry)

    def is_late(self) -> bool:
        """Return whether the last :meth:`demote_late` found all of them late.

        Requests pushed after that call count as on time.
        """
        return not self._heap

    def demote_late(self, now: float) -> None:
        """Move requests that have missed their target behind the others."""
        while self._heap and self._heap[0][2].is_late(now):
            heapq.heappush(self._late, heapq.heappop(self._heap))

    def peek(self) -> QueuedRequest:
        return (self._heap or self._late)[0][2]

    def pop(self) -> QueuedRequest:
        request = heapq.heappop(self._heap or self._late)[2]
        self.virtual_time += request.cost_tokens / self.weight
        return request

    def remove(self, request_id: str) -> QueuedRequest | None:
        for heap in (self._heap, self._late):
            for entry in heap:
                if entry[2].ask.request_id == request_id:
                    heap.remove(entry)
                    heapq.heapify(heap)
                    return entry[2]
        return None

    def drop_newest(self) -> QueuedRequest:
        heap = self._late or self._heap
        newest = max(heap, key=_get_entry_shed_order)
        heap.remove(newest)
        heapq.heapify(heap)
        return newest[2]


class ClassUsage:
    """What the queues of one class have been granted together."""

    __slots__ = ('granted_at', 'index', 'length', 'virtual_time')

    def __init__(self, index: int = 0) -> None:
        """Start without grants.

        :param index: order of classes that have the same virtual time.
        """
        self.index = index
        #: Number of waiting requests.
        self.length = 0
        self.virtual_time = 0.0
        #: Monotonic time of the last grant.
        self.granted_at = -math.inf


class ClassQueue:
    """Waiting requests of one class that may use the same runners.

    :param version: software version that they require; ``None``: any.
    :param usage: shared by all queues of the class.
    """

    __slots__ = (
        '_virtual_now',
        '_account_queues',
        'length',
        'name',
        'settings',
        'usage',
        'version',
        'waiting_since',
    )

    def __init__(
        self,
        name: str,
        settings: ClassSettings,
        version: str | None = None,
        usage: ClassUsage | None = None,
    ) -> None:
        """Start empty."""
        self.name = name
        self.settings = settings
        self.version = version
        self.usage = usage or ClassUsage()
        self.length = 0
        #: Monotonic time of the last grant, or of the arrival that made the
        #: queue non-empty.
        self.waiting_since = 0.0
        self._account_queues: dict[str, _AccountQueue] = {}
        self._virtual_now = 0.0

    def __iter__(self) -> Iterator[QueuedRequest]:
        """Iterate over the waiting requests in no particular order."""
        for account_queue in self._account_queues.values():
            yield from account_queue

    def push(self, request: QueuedRequest, weight: float, now: float) -> None:
        """Add a request.

        :param weight: share of its account relative to the class's others.
        :param now: monotonic seconds.
        """
        if not self.length:
            self.waiting_since = now
        account_queue = self._account_queues.get(request.queue_key)
        if account_queue is None:
            account_queue = _AccountQueue(self._virtual_now, weight)
            self._account_queues[request.queue_key] = account_queue
        elif not account_queue:
            account_queue.virtual_time = max(
                account_queue.virtual_time, self._virtual_now
            )
        account_queue.push(request)
        self._count(1)

    def demote_late(self, now: float) -> None:
        """Move late requests behind the others of their account."""
        for account_queue in self._account_queues.values():
            account_queue.demote_late(now)

    def peek(self) -> QueuedRequest:
        """Return the next request; the queue must not be empty."""
        return self._choose_account_queue().peek()

    def pop(self, now: float) -> QueuedRequest:
        """Remove the next request; charge its account and its class."""
        account_queue = self._choose_account_queue()
        self._virtual_now = account_queue.virtual_time
        request = account_queue.pop()
        self._count(-1)
        self.waiting_since = now
        self.usage.granted_at = now
        self.usage.virtual_time += request.cost_tokens / self.settings.weight
        if not self.length:
            # Accounts earn no credit while the queue is empty, so their
            # virtual times need not be kept.
            self._account_queues.clear()
        return request

    def remove(self, request_id: str) -> QueuedRequest | None:
        """Remove a request that was withdrawn or has expired.

        :return: ``None`` if the request is not in the queue.
        """
        for account_queue in self._account_queues.values():
            request = account_queue.remove(request_id)
            if request:
                self._count(-1)
                return request
        return None

    def drop_newest(self) -> QueuedRequest:
        """Remove a request of the account with the most waiting requests.

        Late requests go first. Among them, the newest goes first, and those
        whose answer was delivered in part go last.
        """
        account_queue = max(self._account_queues.values(), key=len)
        self._count(-1)
        return account_queue.drop_newest()

    def is_overdue(self, now: float) -> bool:
        """Return whether the class has had no grant for its floor interval."""
        if not self.length:
            return False
        since = max(self.waiting_since, self.usage.granted_at)
        return now - since >= self.settings.floor_interval_s

    def _count(self, added: int) -> None:
        self.length += added
        self.usage.length += added

    def _choose_account_queue(self) -> _AccountQueue:
        busy = (
            account_queue
            for account_queue in self._account_queues.values()
            if account_queue
        )
        return min(busy, key=_get_account_order)


class PoolQueue:
    """Waiting requests of all classes of one pool."""

    __slots__ = ('_classes', '_policy', '_usages', '_virtual_now')

    def __init__(self, policy: Policy) -> None:
        """Start empty."""
        #: By class, tier, because an account's tier may replace its class's,
        #: required version and whether the requests move. Queues of these are
        #: dropped when they are empty, because versions come and go.
        self._classes: dict[_QueueKey, ClassQueue] = {}
        #: By class and tier.
        self._usages: dict[tuple[str, int], ClassUsage] = {}
        self._policy = policy
        self._virtual_now = 0.0

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return sum(queue.length for queue in self._classes.values())

    def __iter__(self) -> Iterator[QueuedRequest]:
        """Iterate over the waiting requests in no particular order."""
        for queue in self._classes.values():
            yield from queue

    def push(self, request: QueuedRequest, weight: float, now: float) -> None:
        """Add a request.

        :param weight: share of its account relative to the class's others.
        :param now: monotonic seconds.
        """
        queue = self._get_queue(request)
        if not self._policy.fair_accounts:
            request.queue_key = ''
        queue.settings = request.class_settings
        usage = queue.usage
        if not usage.length:
            usage.virtual_time = max(usage.virtual_time, self._virtual_now)
        queue.push(request, weight, now)

    def list_versions(self) -> set[str]:
        """Return the versions that waiting requests require."""
        return {
            queue.version
            for queue in self._classes.values()
            if queue.version is not None
        }

    def list_by_priority(self, now: float) -> list[ClassQueue]:
        """Return the classes with waiting requests, highest priority first."""
        busy = [queue for queue in self._classes.values() if queue.length]
        if self._policy.demote_late:
            for late in busy:
                late.demote_late(now)
        overdue: list[ClassQueue] = []
        if self._policy.floor:
            overdue = [queue for queue in busy if queue.is_overdue(now)]
        overdue.sort(key=_get_waiting_since)
        others = [queue for queue in busy if queue not in overdue]
        others.sort(
            key=_get_tier_order if self._policy.tiers else _get_usage_order
        )
        return overdue + others

    def pop(self, queue: ClassQueue, now: float) -> QueuedRequest:
        """Remove the next request of a class."""
        usage = queue.usage
        self._virtual_now = max(self._virtual_now, usage.virtual_time)
        request = queue.pop(now)
        self._drop_if_empty(queue, request)
        return request

    def remove(self, request_id: str) -> QueuedRequest | None:
        """Remove a request that was withdrawn or has expired.

        :return: ``None`` if the request is not in the queue.
        """
        for queue in self._classes.values():
            request = queue.remove(request_id)
            if request:
                self._drop_if_empty(queue, request)
                return request
        return None

    def shed_lowest_tier(self, above_tier: int) -> QueuedRequest | None:
        """Remove a request of the lowest tier that has waiting requests.

        :param above_tier: tier of the request to make room for; only a request
            of a lower tier, that is, with a greater number, is removed.
        :return: ``None`` if no such request waits.
        """
        busy = [queue for queue in self._classes.values() if queue.length]
        if not busy:
            return None
        lowest = max(busy, key=_get_class_shed_order)
        if lowest.settings.tier <= above_tier:
            return None
        request = lowest.drop_newest()
        self._drop_if_empty(lowest, request)
        return request

    def find_expired(self, now: float) -> list[str]:
        """Return the identifiers of requests whose expiry time has passed."""
        return [
            request.ask.request_id
            for request in self
            if request.expires_at <= now
        ]

    def _get_queue(self, request: QueuedRequest) -> ClassQueue:
        """Return the queue of a request; create it if there is none."""
        key = _get_key(request)
        queue = self._classes.get(key)
        if queue is None:
            name, tier, version, _ = key
            usage = self._usages.setdefault(
                (name, tier), ClassUsage(len(self._usages))
            )
            queue = ClassQueue(name, request.class_settings, version, usage)
            self._classes[key] = queue
        return queue

    def _drop_if_empty(self, queue: ClassQueue, removed: QueuedRequest) -> None:
        """Drop a queue of a version or of requests that move once it is empty.

        :param removed: its last request.
        """
        ask = removed.ask
        if (ask.version is not None or ask.moves) and not queue.length:
            self._classes.pop(_get_key(removed))


def _get_key(request: QueuedRequest) -> _QueueKey:
    ask = request.ask
    return ask.class_name, request.class_settings.tier, ask.version, ask.moves


def _get_entry_shed_order(entry: _Entry) -> tuple[bool, int]:
    # Requests whose answer was delivered in part are shed last.
    return entry[2].ask.delivered_tokens == 0, entry[1]


def _get_account_order(account_queue: _AccountQueue) -> tuple[bool, float]:
    return account_queue.is_late(), account_queue.virtual_time


def _get_waiting_since(queue: ClassQueue) -> float:
    return queue.waiting_since


def _get_tier_order(queue: ClassQueue) -> tuple[int, int, _UsageOrder]:
    settings = queue.settings
    return settings.tier, settings.rank, _get_usage_order(queue)


def _get_usage_order(queue: ClassQueue) -> _UsageOrder:
    # Queues of one class take turns.
    usage = queue.usage
    return usage.virtual_time, usage.index, queue.waiting_since


def _get_class_shed_order(queue: ClassQueue) -> tuple[int, int, bool]:
    # Requests that require a version have received a part of their answer.
    settings = queue.settings
    return settings.tier, settings.rank, queue.version is None
