"""Starts, measures and stops the processes of a benchmark."""

import contextlib
import pathlib
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator

import msgspec
import psutil

READY_TIMEOUT_S = 10.0
MIB = 1024 * 1024


class Processes:
    """Group of processes that are stopped together."""

    __slots__ = ('_directory', '_running')

    def __init__(self, directory: pathlib.Path) -> None:
        """Create an empty group that writes its files to a directory."""
        self._directory = directory
        self._running: list[subprocess.Popen[bytes]] = []

    def start(self, *arguments: str) -> psutil.Process:
        """Start a Python process with these arguments."""
        process = subprocess.Popen(
            [sys.executable, *arguments],
            stderr=subprocess.DEVNULL,
        )
        self._running.append(process)
        return psutil.Process(process.pid)

    def write(self, name: str, document: object) -> str:
        """Write a JSON file and return its path."""
        path = self._directory / name
        path.write_bytes(msgspec.json.encode(document))
        return str(path)

    def stop(self) -> None:
        """Send SIGTERM to all processes and wait for their exit."""
        for process in self._running:
            process.terminate()
        for process in self._running:
            process.wait(READY_TIMEOUT_S)


@contextlib.contextmanager
def open_processes() -> Iterator[Processes]:
    """Yield a group of processes and stop them at the end of the block."""
    with tempfile.TemporaryDirectory() as directory:
        processes = Processes(pathlib.Path(directory))
        try:
            yield processes
        finally:
            processes.stop()


def find_port() -> int:
    """Return a free port of the loopback interface."""
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return int(probe.getsockname()[1])


def wait_listening(port: int) -> None:
    """Wait until a process listens on a port.

    :raises TimeoutError: if none does within ``READY_TIMEOUT_S``.
    """
    deadline = time.monotonic() + READY_TIMEOUT_S
    while time.monotonic() < deadline:
        with contextlib.suppress(OSError), socket.socket() as probe:
            probe.connect(('127.0.0.1', port))
            return
        time.sleep(0.02)
    raise TimeoutError(
        f'no process listens on port {port} after {READY_TIMEOUT_S} s',
    )


def read_cpu_s(process: psutil.Process) -> float:
    """Return the processor time of a process in seconds, user plus system."""
    times = process.cpu_times()
    return float(times.user + times.system)


def read_peak_mib(process: psutil.Process) -> float:
    """Return the peak resident memory of a process in MiB."""
    status = pathlib.Path(f'/proc/{process.pid}/status').read_text()
    for line in status.splitlines():
        if line.startswith('VmHWM:'):
            return int(line.split()[1]) / 1024
    return 0.0
