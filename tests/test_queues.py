"""Memory use of queues, and fairness between queues of one class."""

import pytest

from anvilhall.core.messages import Ask
from anvilhall.core.policies import DEFAULT_POLICY, POLICIES
from anvilhall.core.queues import ClassQueue, PoolQueue, QueuedRequest
from anvilhall.core.settings import ClassSettings


def test_queue_keeps_no_state_of_accounts_without_waiting_requests():
    settings = ClassSettings(pool='chat')
    queue = ClassQueue('quick', settings)
    for number in range(500):
        ask = Ask('chat', f'{number}', 'quick', f'a{number}', 9, 9, 60)
        queue.push(QueuedRequest(ask, settings, 0, 'entry'), 1, 0)
        queue.pop(0)
    assert len(queue._account_queues) < 5


FLOOR_S = 5.0


@pytest.fixture
def queue():
    """Return an empty queue of a pool."""
    return PoolQueue(POLICIES.get(DEFAULT_POLICY))


def _push(queue, name, version=None, class_name='quick', tier=0, now=0):
    settings = ClassSettings(
        pool='chat', tier=tier, floor_interval_s=FLOOR_S, wait_limit_s=None
    )
    ask = Ask('chat', name, class_name, 'ann', 9, 9, 60, version=version)
    queue.push(QueuedRequest(ask, settings, now, 'entry'), 1, now)


def _pop_first(queue, now=0):
    first = queue.list_by_priority(now)[0]
    return queue.pop(first, now).ask.request_id


# Guards against memory that grows with each release of the runners' software.
def test_queues_of_past_versions_are_dropped(queue):
    ways = (
        lambda name: queue.remove(name),
        lambda name: _pop_first(queue),
        lambda name: queue.shed_lowest_tier(-1),
    )
    for number in range(300):
        _push(queue, f'{number}', f'v{number}')
        ways[number % len(ways)](f'{number}')
    assert not len(queue)
    assert not queue.list_versions()
    assert not queue._classes
    assert len(queue._usages) == 1


# Guards against a share that grows with the number of versions, or whose use is
# forgotten when a version has no more waiting requests.
def test_versions_of_a_class_share_its_part(queue):
    order = []
    for number in range(40):
        _push(queue, f'a{number}', f'v{number % 3}', 'quick')
        _push(queue, f'b{number}', None, 'other')
        order.append(_pop_first(queue, number))
        if number % 2:
            # The class with versions has no waiting requests now and then.
            while any(version for version in queue.list_versions()):
                for waiting in list(queue):
                    if waiting.ask.version:
                        queue.remove(waiting.ask.request_id)
    counts = [sum(name[0] == kind for name in order) for kind in 'ab']
    assert abs(counts[0] - counts[1]) <= 2


# Guards against a class that loses its turn to a further version.
def test_class_that_waits_keeps_its_turn_as_a_version_is_added(queue):
    for number in range(4):
        _push(queue, f'b{number}', None, 'other')
    _push(queue, 'a0', 'v1')
    (other,) = [
        each for each in queue.list_by_priority(0) if each.name == 'other'
    ]
    for now in range(3):
        queue.pop(other, now)
    for number in (1, 2):
        _push(queue, f'a{number}', f'v{number + 1}')
    order = [_pop_first(queue, 3)[0] for _ in range(4)]
    assert order == ['a', 'a', 'a', 'b']


def test_versions_of_a_class_take_turns(queue):
    for number in range(4):
        _push(queue, f'a{number}')
        _push(queue, f'b{number}', 'v1')
    order = [_pop_first(queue, now)[0] for now in range(1, 5)]
    assert sorted(order[:2]) == sorted(order[2:]) == ['a', 'b']


# Guards against more grants before higher tiers than a class is due.
def test_class_has_one_floor_interval_for_all_versions(queue):
    _push(queue, 'bound', 'v1', 'bulk', 2)
    _push(queue, 'bulk', None, 'bulk', 2)
    _push(queue, 'quick', now=1)
    bound, unbound, _ = queue.list_by_priority(FLOOR_S)
    assert bound.is_overdue(FLOOR_S)
    assert unbound.is_overdue(FLOOR_S)
    queue.pop(unbound, FLOOR_S)
    first, last = queue.list_by_priority(FLOOR_S)
    assert (first.name, last) == ('quick', bound)


# Guards against a class that overtakes higher tiers, as one of its requests
# waits for runners of its version.
def test_request_that_waits_for_its_version_makes_no_other_overdue(queue):
    _push(queue, 'bound', 'v1', 'bulk', 2)
    _push(queue, 'bulk', None, 'bulk', 2, FLOOR_S)
    _push(queue, 'quick', None, 'quick', 0, FLOOR_S)
    ranked = queue.list_by_priority(FLOOR_S)
    assert [(each.name, each.version) for each in ranked] == [
        ('bulk', 'v1'),
        ('quick', None),
        ('bulk', None),
    ]


# Guards against streams that are shed for requests that have not begun.
def test_bound_requests_are_shed_last(queue):
    _push(queue, 'bound', 'v1')
    _push(queue, 'new')
    assert queue.shed_lowest_tier(-1).ask.request_id == 'new'
