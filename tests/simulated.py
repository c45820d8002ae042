"""A small simulated fleet for tests."""

import datetime as dt

import msgspec

from anvilhall.events import decode_answer
from anvilhall_standins.engine import ChatRequest, make_word, read_prompt
from anvilhall_standins.modelrunner import RunnerModel
from anvilhall_standins.simfleet import SimFleet, attach_call, attach_chat
from anvilhall_standins.virtualloop import VirtualLoop

START = dt.datetime(2026, 3, 30, 6, 0, tzinfo=dt.UTC)
QUICK_MODEL = RunnerModel(slots=4, step_base_ms=5)


def open_fleet(node, seed=1, domains=1, per_domain=3, runners=2):
    """Return a loop and a fleet whose settings are published."""
    loop = VirtualLoop()
    fleet = SimFleet(loop, seed, START)
    for domain in range(domains):
        for number in range(runners):
            name = f'chat-{domain}-{number}'
            fleet.add_runner(name, 'chat', f'd{domain}', QUICK_MODEL)
        fleet.add_service(f'desk-{domain}', 'desk', f'd{domain}', 8)
    fleet.publish('', 0, node)
    return loop, fleet


def start_instances(fleet, domains=1, per_domain=3):
    """Start the instances; must run on the fleet's loop."""
    for domain in range(domains):
        for number in range(per_domain):
            fleet.add_instance(f'entry-{domain}-{number}', f'd{domain}')


def submit_chat(fleet, instance, text, max_tokens=10, class_name='quick'):
    """Submit a chat request."""
    body = msgspec.json.encode(
        {
            'messages': [{'role': 'user', 'content': text}],
            'max_tokens': max_tokens,
            'stream': True,
        },
    )
    job = attach_chat(fleet.build_job(instance, class_name), body)
    return fleet.submit(instance, job)


def submit_order(fleet, instance, key, work_ms=5, class_name='order'):
    """Submit a call of the plain HTTP service with an idempotency key."""
    job = fleet.build_job(instance, class_name)
    return fleet.submit(instance, attach_call(job, key, f'orders/{work_ms}'))


def has_expected_answer(record):
    """Return whether an answer is complete and has the expected text."""
    request = msgspec.json.decode(record.job.body, type=ChatRequest)
    seed, _ = read_prompt(request)
    words = [make_word(seed, index) for index in range(request.max_tokens)]
    answer = b''.join(record.runs)
    return answer.count(b'[DONE]') == 1 and decode_answer(
        record.runs
    ).text == ''.join(words)
