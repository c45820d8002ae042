"""The order in which waiting requests of one pool get a runner.

Tiers are strict. Within a tier classes share by weight, within a class client
accounts share by weight, both in virtual time that advances by tokens. A class
that has waited longer than its floor interval goes first, whatever its tier.
"""

import heapq
import itertools
from collections.abc import Iterator

from anvilhall.messages import Ask
from anvilhall.policies import Policy
from anvilhall.settings import ClassSettings


class Waiting:
    """A request in the queue."""

    __slots__ = (
        'arrived_at',
        'ask',
        'class_settings',
        'cost_tokens',
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
        #: Deadline in monotonic seconds.
        self.expires_at = now + ask.deadline_s
        #: Tokens that the request is charged for fairness.
        self.cost_tokens = ask.prompt_tokens + ask.max_tokens
        #: Requests of one line are served in order of their deadlines.
        self.line = ask.account
        self.sender = sender


class _AccountLine:
    """Waiting requests of one client account in one class, by deadline."""

    __slots__ = ('_heap', '_sequence', 'virtual_time', 'weight')

    def __init__(self, virtual_time: float, weight: float) -> None:
        self.virtual_time = virtual_time
        self.weight = weight
        self._heap: list[tuple[float, int, Waiting]] = []
        self._sequence = itertools.count()

    def __len__(self) -> int:
        return len(self._heap)

    def __iter__(self) -> Iterator[Waiting]:
        for _, _, waiting in self._heap:
            yield waiting

    def push(self, waiting: Waiting) -> None:
        entry = (waiting.expires_at, next(self._sequence), waiting)
        heapq.heappush(self._heap, entry)

    def peek(self) -> Waiting:
        return self._heap[0][2]

    def pop(self) -> Waiting:
        waiting = heapq.heappop(self._heap)[2]
        self.virtual_time += waiting.cost_tokens / self.weight
        return waiting

    def remove(self, request_id: str) -> Waiting | None:
        for index, (_, _, waiting) in enumerate(self._heap):
            if waiting.ask.request_id == request_id:
                self._heap.pop(index)
                heapq.heapify(self._heap)
                return waiting
        return None

    def drop_newest(self) -> Waiting:
        newest = max(self._heap, key=_get_sequence)
        self._heap.remove(newest)
        heapq.heapify(self._heap)
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

    def forget_idle_accounts(self) -> None:
        """Drop the state of accounts that are behind the others' time."""
        self._lines = {
            account: line
            for account, line in self._lines.items()
            if line or line.virtual_time > self._clock_floor
        }

    def _choose_line(self) -> _AccountLine:
        busy = (line for line in self._lines.values() if line)
        return min(busy, key=_get_virtual_time)


class PoolQueue:
    """Waiting requests of all classes of one pool."""

    __slots__ = ('_classes', '_policy', '_virtual_now')

    def __init__(self, policy: Policy) -> None:
        """Start empty."""
        self._classes: dict[str, ClassQueue] = {}
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
        queue = self._classes.get(name)
        if queue is None:
            queue = ClassQueue(name, waiting.class_settings)
            self._classes[name] = queue
        if not self._policy.fair_accounts:
            waiting.line = ''
        queue.settings = waiting.class_settings
        if not queue.length:
            queue.virtual_time = max(queue.virtual_time, self._virtual_now)
        queue.push(waiting, weight, now)

    def list_turns(self, now: float) -> list[ClassQueue]:
        """Return the classes with waiting requests, next turn first."""
        busy = [queue for queue in self._classes.values() if queue.length]
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
        lowest = max(busy, key=_get_tier)
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


def _get_sequence(entry: tuple[float, int, Waiting]) -> int:
    return entry[1]


def _get_virtual_time(line: _AccountLine) -> float:
    return line.virtual_time


def _get_waiting_since(queue: ClassQueue) -> float:
    return queue.waiting_since


def _get_turn(queue: ClassQueue) -> tuple[int, float]:
    return queue.settings.tier, queue.virtual_time


def _get_share(queue: ClassQueue) -> float:
    return queue.virtual_time


def _get_tier(queue: ClassQueue) -> int:
    return queue.settings.tier
