"""A class queue keeps state only of accounts that need it."""

from anvilhall.core.messages import Ask
from anvilhall.core.queues import ClassQueue, Waiting
from anvilhall.core.settings import ClassSettings


def test_idle_accounts_are_forgotten():
    settings = ClassSettings(pool='chat')
    queue = ClassQueue('quick', settings)
    for number in range(500):
        ask = Ask('chat', f'{number}', 'quick', f'a{number}', 9, 9, 60)
        queue.push(Waiting(ask, settings, 0, 'entry'), 1, 0)
        queue.pop(0)
    assert len(queue._lines) < 5
