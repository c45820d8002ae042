"""Logging is rate-limited, never blocks, and counts dropped lines."""

import os

import msgspec
import pytest

from anvilhall.logs import LogWriter


@pytest.fixture
def pipe():
    """Return the read end and the write end of a pipe."""
    read_end, write_end = os.pipe()
    yield read_end, write_end
    os.close(read_end)
    os.close(write_end)


def test_each_line_is_a_json_object(pipe, clock):
    read_end, write_end = pipe
    writer = LogWriter(write_end, clock)
    writer({'message_type': 'a', 'count': 1})
    writer({'message_type': 'b', 'set': {1}})
    lines = os.read(read_end, 4096).splitlines()
    assert [msgspec.json.decode(line)['message_type'] for line in lines] == [
        'a',
        'b',
    ]


def test_lines_above_the_rate_limit_are_dropped_and_counted(pipe, clock):
    read_end, write_end = pipe
    reasons = []
    writer = LogWriter(write_end, clock)
    writer.on_drop = reasons.append
    for number in range(1000):
        writer({'number': number})
    written = os.read(read_end, 1 << 20).count(b'\n')
    assert written + len(reasons) == 1000
    assert set(reasons) == {'rate'}
    clock.advance(1.0)
    writer({'number': 1000})
    line = msgspec.json.decode(os.read(read_end, 4096))
    assert line['lines_dropped'] == len(reasons)


def test_stalled_reader_does_not_block_the_writer(pipe, clock):
    _, write_end = pipe
    reasons = []
    writer = LogWriter(write_end, clock)
    writer.on_drop = reasons.append
    for second in range(20):
        clock.advance(1.0)
        for _ in range(100):
            writer({'text': 'x' * 1000, 'second': second})
    assert 'backlog' in reasons
