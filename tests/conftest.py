"""Fixtures shared by all tests."""

import datetime as dt
import gc
from collections.abc import Iterator

# Its plugin would load it for the summary, where a traceback that the garbage
# collector formats breaks the parser of CPython 3.11.
import hypothesis  # noqa: F401
import pytest

from anvilhall.clock import ManualClock
from anvilhall.core.settings import TeamNode, decode_node
from anvilhall.core.tree import Tree, hash_key

START = dt.datetime(2026, 3, 30, 6, 0, tzinfo=dt.UTC)


@pytest.fixture(autouse=True, scope='module')
def _collect_garbage() -> Iterator[None]:
    """Collect garbage after each module.

    Streams of closed event loops report errors when they are collected. The
    traceback of such a report breaks the parser of CPython 3.11 if it runs.
    """
    yield
    gc.collect()


@pytest.fixture
def clock() -> ManualClock:
    """Return a clock that advances only on demand."""
    return ManualClock(START)


@pytest.fixture
def root_json() -> dict[str, object]:
    """Return the root of a settings tree with one pool of each kind."""
    return {
        'pools': {
            'chat': {'wire': 'chat-completions', 'slots': 2, 'queue_limit': 64},
            'desk': {'wire': 'plain-http', 'slots': 4},
        },
        'classes': {
            'quick': {'pool': 'chat', 'tier': 0},
            'draft': {'pool': 'chat', 'tier': 1},
            'bulk': {'pool': 'chat', 'tier': 2, 'preemptible': True},
            'order': {'pool': 'desk', 'idempotent': False},
            'lookup': {'pool': 'desk', 'tier': 1},
        },
        'accounts': {
            'ann': {'key_sha256': [hash_key('ann')], 'default_class': 'quick'},
            'bob': {'key_sha256': [hash_key('bob')], 'default_class': 'quick'},
        },
    }


@pytest.fixture
def root(root_json: dict[str, object]) -> TeamNode:
    """Return the decoded root of the settings tree."""
    return decode_node(root_json, '')


@pytest.fixture
def tree(root: TeamNode) -> Tree:
    """Return a settings tree that has only the root."""
    return Tree({'': root})
