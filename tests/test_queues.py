"""Memory use of a class queue."""

from anvilhall.core.messages import Ask
from anvilhall.core.queues import ClassQueue, QueuedRequest
from anvilhall.core.settings import ClassSettings


def test_queue_keeps_no_state_of_accounts_without_waiting_requests():
    settings = ClassSettings(pool='chat')
    queue = ClassQueue('quick', settings)
    for number in range(500):
        ask = Ask('chat', f'{number}', 'quick', f'a{number}', 9, 9, 60)
        queue.push(QueuedRequest(ask, settings, 0, 'entry'), 1, 0)
        queue.pop(0)
    assert len(queue._account_queues) < 5
