"""Signals that reach the daemon while it starts."""

import os
import pathlib
import re
import signal
import subprocess
import sys
import time

import pytest

#: Seconds within which the interpreter is up, and the process has ended.
START_S = 20.0
#: Exit code for invalid process settings.
INVALID_SETTINGS = 2


def _is_blocked(process, number):
    """Return whether the main thread of a process blocks a signal."""
    status = pathlib.Path(f'/proc/{process.pid}/status').read_text()
    match = re.search(r'^SigBlk:\s*(\w+)', status, re.MULTILINE)
    return bool(match and int(match[1], 16) & 1 << (number - 1))


@pytest.fixture
def daemon(tmp_path):
    """Return a process of the daemon whose settings are invalid."""
    config = tmp_path / 'empty.json'
    config.write_text('{}')
    process = subprocess.Popen(
        [sys.executable, '-m', 'anvilhall.daemon', str(config)],
        stderr=subprocess.DEVNULL,
        stdout=subprocess.DEVNULL,
    )
    yield process
    if process.poll() is None:
        process.kill()
        process.wait()


# Guards against a process that a reload signal ends while it starts.
def test_reload_signal_during_the_start_does_not_end_the_process(daemon):
    deadline = time.monotonic() + START_S
    while not _is_blocked(daemon, signal.SIGHUP):
        assert daemon.poll() is None
        assert time.monotonic() < deadline
    daemon.send_signal(signal.SIGHUP)
    # It reports its settings and ends, instead of being ended by the signal.
    assert daemon.wait(timeout=START_S) == INVALID_SETTINGS


def test_limit_of_memory_that_is_no_number_is_reported(tmp_path):
    config = tmp_path / 'empty.json'
    config.write_text('{}')
    ended = subprocess.run(
        [sys.executable, '-m', 'anvilhall.daemon', str(config)],
        env={**os.environ, 'MEMORY_LIMIT_MB': 'much'},
        stderr=subprocess.PIPE,
        check=False,
    )
    assert ended.returncode == INVALID_SETTINGS
    assert b"'much' is not a valid float" in ended.stderr
