"""Removed classes and pools are kept while requests may need them."""

import pytest

from anvilhall.core.retirement import Retirement
from anvilhall.core.settings import decode_node
from anvilhall.core.tree import Tree

POOL = {'wire': 'plain-http'}


def _build(pools=('desk',), **deadlines):
    """Return settings with classes of the pool ``desk`` by deadline."""
    classes = {
        name: {'pool': 'desk', 'deadline_s': deadline_s}
        for name, deadline_s in deadlines.items()
    }
    node = {'pools': dict.fromkeys(pools, POOL), 'classes': classes}
    return Tree({'': decode_node(node, '')})


EMPTY = Tree({})


@pytest.fixture
def retirement():
    """Return a retirement at whose start one class was in force."""
    retirement = Retirement()
    retirement.extend(_build(order=10), 0)
    return retirement


def test_class_and_pool_are_kept_until_its_last_deadline(retirement):
    extended = retirement.extend(EMPTY, 100)
    assert extended.classes['order'].deadline_s == 10
    assert list(extended.pools) == ['desk']
    assert retirement.extend(EMPTY, 109).classes
    later = retirement.extend(EMPTY, 120)
    assert (later.classes, later.pools) == ({}, {})


def test_settings_for_admission_are_not_changed(retirement):
    changed = _build(pools=())
    retirement.extend(changed, 100)
    assert (changed.classes, changed.pools) == ({}, {})


# Guards against a class that is dropped early because its deadline was lowered
# shortly before its removal.
def test_class_is_kept_for_the_deadline_of_its_earlier_settings(retirement):
    retirement.extend(_build(order=0.1), 100)
    retirement.extend(EMPTY, 101)
    extended = retirement.extend(EMPTY, 109)
    assert list(extended.classes) == ['order']
    assert list(extended.pools) == ['desk']


# Guards against a pool that is dropped because no class names it, although a
# route sent it a share of the requests of a class.
def test_pool_is_kept_that_no_class_names():
    retirement = Retirement()
    retirement.extend(_build(pools=('desk', 'shop'), order=10), 0)
    extended = retirement.extend(_build(order=10), 100)
    assert set(extended.pools) == {'desk', 'shop'}
    assert set(retirement.extend(_build(order=10), 120).pools) == {'desk'}


def test_current_settings_take_precedence(retirement):
    retirement.extend(EMPTY, 100)
    extended = retirement.extend(_build(order=3), 101)
    assert extended.classes['order'].deadline_s == 3


# Guards against reserved slots of a removed pool whose schedule is gone.
def test_removed_pool_reserves_no_slots():
    day = {'timezone': 'UTC', 'windows': []}
    reserve = {'schedule': 'day', 'slots_per_runner': 1}
    node = {
        'pools': {'desk': {**POOL, 'reserves': [reserve]}},
        'schedules': {'day': day},
    }
    retirement = Retirement()
    retirement.extend(Tree({'': decode_node(node, '')}), 0)
    assert retirement.extend(EMPTY, 1).pools['desk'].reserves == ()
