"""The order in which waiting requests of one pool get a runner.

Tiers are strict. Within a tier classes share by weight, within a class client
accounts share by weight, both in virtual time that advances by tokens. A class
that has waited longer than its floor interval goes first, whatever its tier.
"""

import heapq
import itertools
from collections.abc import Iterator

from anvilhall.core.messages import Ask
from anvilhall.core.policies import Policy
from anvilhall.core.settings import ClassSettings


class Waiting:
    """A request in the queue."""

    __slots__ = (
        'arrived_at',
        'ask',
        'class_settings',
        'cost_tokens',
        'deadline_at',
        'expires_at',
        'line',
        'sender',
    )

    def __init__(
        self,
        ask: Ask,
        class_settings: ClassSettings,
        now: float,
        sender: str,
    ) -> None:
        """Keep the request with its class and its sender.

        :param now: time of arrival in monotonic seconds.
        :param sender: name of the entry instance that asks.
        """
        self.ask = ask
        self.class_settings = class_settings
        self.arrived_at = now
        self.deadline_at = now + ask.deadline_s
        #: When the request is refused if it still waits, monotonic seconds.
        self.expires_at = self.deadline_at
        if class_settings.wait_limit_s is not None:
            limit_at = now + class_settings.wait_limit_s
            self.expires_at = min(self.deadline_at, limit_at)
        #: Tokens that the request is charged for fairness.
        self.cost_tokens = ask.prompt_tokens + ask.max_tokens
        #: Requests of one line are served in order of their deadlines.
        self.line = ask.account
        self.sender = sender

    def is_late(self, now: float) -> bool:
        """Return whether the first token can no longer meet its target."""
        target = self.class_settings.target
        target_ms = target.first_token_ms or target.done_ms
        if target_ms is None:
            return False
        return now - self.arrived_at >= target_ms / _MS_PER_S


_MS_PER_S = 1000.0


#: Deadline, place in the order of arrival, and the request.
_Entry = tuple[float, int, Waiting]


class _AccountLine:
    """Waiting requests of one client account in one class, by deadline."""

    __slots__ = ('_heap', '_late', '_sequence', 'virtual_time', 'weight')

    def __init__(self, virtual_time: float, weight: float) -> None:
        self.virtual_time = virtual_time
        self.weight = weight
        self._heap: list[_Entry] = []
        self._late: list[_Entry] = []
        self._sequence = itertools.count()

    def __len__(self) -> int:
        return len(self._heap) + len(self._late)

    def __iter__(self) -> Iterator[Waiting]:
        for _, _, waiting in (*self._heap, *self._late):
            yield waiting

    def push(self, waiting: Waiting) -> None:
        entry = (waiting.expires_at, next(self._sequence), waiting)
        heapq.heappush(self._heap, entry)

    def is_late(self) -> bool:
        """Return whether all requests of the line have missed their target."""
        return not self._heap

    def demote_late(self, now: float) -> None:
        """Set requests that have missed their target behind the others."""
        while self._heap and self._heap[0][2].is_late(now):
            heapq.heappush(self._late, heapq.heappop(self._heap))

    def peek(self) -> Waiting:
        return (self._heap or self._late)[0][2]

    def pop(self) -> Waiting:
        waiting = heapq.heappop(self._heap or self._late)[2]
        self.virtual_time += waiting.cost_tokens / self.weight
        return waiting

    def remove(self, request_id: str) -> Waiting | None:
        for heap in (self._heap, self._late):
            for entry in heap:
                if entry[2].ask.request_id == request_id:
                    heap.remove(entry)
                    heapq.heapify(heap)
                    return entry[2]
        return None

    def drop_newest(self) -> Waiting:
        heap = self._late or self._heap
        newest = max(heap, key=_get_drop_order)
        heap.remove(newest)
        heapq.heapify(heap)
        return newest[2]


class ClassQueue:
    """Waiting requests of one class."""

    __slots__ = (
        '_clock_floor',
        '_lines',
        'length',
        'name',
        'settings',
        'virtual_time',
        'waiting_since',
    )

    def __init__(self, name: str, settings: ClassSettings) -> None:
        """Start empty."""
        self.name = name
        self.settings = settings
        self.length = 0
        self.virtual_time = 0.0
        #: Time since which requests wait without a grant, monotonic seconds.
        self.waiting_since = 0.0
        self._lines: dict[str, _AccountLine] = {}
        self._clock_floor = 0.0

    def __iter__(self) -> Iterator[Waiting]:
        """Iterate over the waiting requests in no particular order."""
        for line in self._lines.values():
            yield from line

    def push(self, waiting: Waiting, weight: float, now: float) -> None:
        """Add a request of an account with a weight."""
        if not self.length:
            self.waiting_since = now
        line = self._lines.get(waiting.line)
        if line is None:
            line = _AccountLine(self._clock_floor, weight)
            self._lines[waiting.line] = line
        elif not line:
            line.virtual_time = max(line.virtual_time, self._clock_floor)
        line.push(waiting)
        self.length += 1

    def demote_late(self, now: float) -> None:
        """Set requests that have missed their target behind the others."""
        for line in self._lines.values():
            line.demote_late(now)

    def peek(self) -> Waiting:
        """Return the request whose turn it is; the queue is not empty."""
        return self._choose_line().peek()

    def pop(self, now: float) -> Waiting:
        """Remove the request whose turn it is and charge its account."""
        line = self._choose_line()
        self._clock_floor = line.virtual_time
        waiting = line.pop()
        self.length -= 1
        self.waiting_since = now
        self.virtual_time += waiting.cost_tokens / self.settings.weight
        if not self.length:
            # A share that was not used while nobody waited is not owed later.
            self._lines.clear()
        return waiting

    def remove(self, request_id: str) -> Waiting | None:
        """Remove a request that waits no longer."""
        for line in self._lines.values():
            waiting = line.remove(request_id)
            if waiting:
                self.length -= 1
                return waiting
        return None

    def drop_newest(self) -> Waiting:
        """Remove the latest request of the account with most of them."""
        line = max(self._lines.values(), key=len)
        self.length -= 1
        return line.drop_newest()

    def is_overdue(self, now: float) -> bool:
        """Return whether the class has reached its floor interval."""
        if not self.length:
            return False
        return now - self.waiting_since >= self.settings.floor_interval_s

    def _choose_line(self) -> _AccountLine:
        busy = (line for line in self._lines.values() if line)
        return min(busy, key=_get_line_turn)


class PoolQueue:
    """Waiting requests of all classes of one pool."""

    __slots__ = ('_classes', '_policy', '_virtual_now')

    def __init__(self, policy: Policy) -> None:
        """Start empty."""
        #: By class and tier: accounts may have tiers of their own.
        self._classes: dict[tuple[str, int], ClassQueue] = {}
        self._policy = policy
        self._virtual_now = 0.0

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return sum(queue.length for queue in self._classes.values())

    def __iter__(self) -> Iterator[Waiting]:
        """Iterate over the waiting requests in no particular order."""
        for queue in self._classes.values():
            yield from queue

    def push(self, waiting: Waiting, weight: float, now: float) -> None:
        """Add a request; ``weight`` is its account's."""
        name = waiting.ask.class_name
        key = (name, waiting.class_settings.tier)
        queue = self._classes.get(key)
        if queue is None:
            queue = ClassQueue(name, waiting.class_settings)
            self._classes[key] = queue
        if not self._policy.fair_accounts:
            waiting.line = ''
        queue.settings = waiting.class_settings
        if not queue.length:
            queue.virtual_time = max(queue.virtual_time, self._virtual_now)
        queue.push(waiting, weight, now)

    def list_turns(self, now: float) -> list[ClassQueue]:
        """Return the classes with waiting requests, next turn first."""
        busy = [queue for queue in self._classes.values() if queue.length]
        if self._policy.demote_late:
            for late in busy:
                late.demote_late(now)
        overdue: list[ClassQueue] = []
        if self._policy.floor:
            overdue = [queue for queue in busy if queue.is_overdue(now)]
        overdue.sort(key=_get_waiting_since)
        others = [queue for queue in busy if queue not in overdue]
        others.sort(key=_get_turn if self._policy.tiers else _get_share)
        return overdue + others

    def pop(self, queue: ClassQueue, now: float) -> Waiting:
        """Remove the next request of a class."""
        self._virtual_now = max(self._virtual_now, queue.virtual_time)
        return queue.pop(now)

    def remove(self, request_id: str) -> Waiting | None:
        """Remove a request that waits no longer."""
        for queue in self._classes.values():
            waiting = queue.remove(request_id)
            if waiting:
                return waiting
        return None

    def drop_lowest(self, above_tier: int) -> Waiting | None:
        """Remove a request of the lowest tier present.

        :param above_tier: only requests of a lower tier than this one, that
            is, with a greater number, are removed.
        """
        busy = [queue for queue in self._classes.values() if queue.length]
        if not busy:
            return None
        lowest = max(busy, key=_get_drop_turn)
        if lowest.settings.tier <= above_tier:
            return None
        return lowest.drop_newest()

    def find_expired(self, now: float) -> list[str]:
        """Return the identifiers of requests whose deadline has passed."""
        return [
            waiting.ask.request_id
            for waiting in self
            if waiting.expires_at <= now
        ]


def _get_drop_order(entry: _Entry) -> tuple[bool, int]:
    # What has been delivered in part is kept as long as anything else is there.
    return entry[2].ask.delivered_tokens == 0, entry[1]


def _get_line_turn(line: _AccountLine) -> tuple[bool, float]:
    return line.is_late(), line.virtual_time


def _get_waiting_since(queue: ClassQueue) -> float:
    return queue.waiting_since


def _get_turn(queue: ClassQueue) -> tuple[int, int, float]:
    settings = queue.settings
    return settings.tier, settings.rank, queue.virtual_time


def _get_share(queue: ClassQueue) -> float:
    return queue.virtual_time


def _get_drop_turn(queue: ClassQueue) -> tuple[int, int]:
    return queue.settings.tier, queue.settings.rank
