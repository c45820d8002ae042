"""Structured log lines: bounded in number, and never waited for."""

import os
import sys
from collections.abc import Callable
from typing import Any

import eliot
import msgspec

from anvilhall.clock import Clock

#: Lines that a process may write in a second; a full log costs processor time
#: that requests need.
_LINES_PER_S = 300
#: Bytes that may wait for a slow reader of the log.
_BACKLOG_BYTES = 256 * 1024

#: Takes the reason for which a line was dropped.
OnDrop = Callable[[str], None]


class LogWriter:
    """Writes lines to a descriptor without blocking.

    :param descriptor: where the lines go; it is made non-blocking.
    :param clock: source of time.
    """

    __slots__ = (
        '_backlog',
        '_clock',
        '_descriptor',
        '_dropped',
        '_left',
        '_second',
        'on_drop',
    )

    def __init__(self, descriptor: int, clock: Clock) -> None:
        """Start with an empty backlog."""
        self._descriptor = descriptor
        self._clock = clock
        self._backlog = b''
        self._second = -1
        self._left = 0
        self._dropped = 0
        self.on_drop: OnDrop | None = None
        os.set_blocking(descriptor, False)

    def __call__(self, message: dict[str, Any]) -> None:
        """Write a line, or drop it and count that."""
        if not self._spend():
            self._drop('rate')
            return
        if self._dropped:
            message = {**message, 'lines_dropped': self._dropped}
        line = b'%b\n' % msgspec.json.encode(message, enc_hook=str)
        if len(self._backlog) + len(line) > _BACKLOG_BYTES:
            self._drop('backlog')
            return
        self._dropped = 0
        self._backlog += line
        self._flush()

    def _flush(self) -> None:
        try:
            written = os.write(self._descriptor, self._backlog)
        except BlockingIOError:
            return
        except OSError:
            # The reader of the log is gone; what it would have read is not
            # kept for another.
            self._backlog = b''
            self._drop('closed')
            return
        self._backlog = self._backlog[written:]

    def _spend(self) -> bool:
        second = int(self._clock.monotonic())
        if second != self._second:
            self._second = second
            self._left = _LINES_PER_S
        self._left -= 1
        return self._left >= 0

    def _drop(self, reason: str) -> None:
        self._dropped += 1
        if self.on_drop:
            self.on_drop(reason)


def start_logging(clock: Clock) -> LogWriter:
    """Write log lines as JSON to standard output."""
    writer = LogWriter(sys.stdout.fileno(), clock)
    eliot.add_destinations(writer)
    return writer


def log_event(kind: str, **fields: object) -> None:
    """Write one line.

    :param kind: what was decided or changed, such as ``settings_in_force``.
    :param fields: details, as JSON can hold them.
    """
    eliot.log_message(message_type=f'anvilhall:{kind}', **fields)
