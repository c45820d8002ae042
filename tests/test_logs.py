"""Log lines are bounded, never block, and what is dropped is counted."""

import os

import msgspec
import pytest

from anvilhall.logs import LogWriter


@pytest.fixture
def pipe():
    """Return the two ends of a pipe."""
    reading, writing = os.pipe()
    yield reading, writing
    os.close(reading)
    os.close(writing)


def test_lines_are_whole_json_objects(pipe, clock):
    reading, writing = pipe
    writer = LogWriter(writing, clock)
    writer({'message_type': 'a', 'count': 1})
    writer({'message_type': 'b', 'set': {1}})
    lines = os.read(reading, 4096).splitlines()
    assert [msgspec.json.decode(line)['message_type'] for line in lines] == [
        'a',
        'b',
    ]


def test_lines_beyond_the_rate_are_dropped_and_counted(pipe, clock):
    reading, writing = pipe
    drops = []
    writer = LogWriter(writing, clock)
    writer.on_drop = drops.append
    for number in range(1000):
        writer({'number': number})
    written = os.read(reading, 1 << 20).count(b'\n')
    assert written + len(drops) == 1000
    assert set(drops) == {'rate'}
    clock.advance(1.0)
    writer({'number': 1000})
    line = msgspec.json.decode(os.read(reading, 4096))
    assert line['lines_dropped'] == len(drops)


def test_a_reader_that_stops_reading_blocks_nothing(pipe, clock):
    _, writing = pipe
    drops = []
    writer = LogWriter(writing, clock)
    writer.on_drop = drops.append
    for second in range(20):
        clock.advance(1.0)
        for _ in range(100):
            writer({'text': 'x' * 1000, 'second': second})
    assert 'backlog' in drops
