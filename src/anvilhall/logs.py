"""Structured log lines, written with a rate limit and without blocking."""

import os
import sys
from collections.abc import Callable
from typing import Any

import eliot
import msgspec

from anvilhall.clock import Clock
from anvilhall.core.messages import Ask, Grant, get_request_id
from anvilhall.exceptions import AnvilhallError

#: Rate limit in lines per second: logging takes CPU time from requests.
_LINES_PER_S = 300
#: Limit on the bytes buffered for a slow reader of the log.
_BACKLOG_BYTES = 256 * 1024
#: Limit on the prompt parts in a line; callers state their number.
_LOGGED_PARTS = 16

#: Called with the reason for which a line was dropped.
OnDrop = Callable[[str], None]


class LogWriter:
    """Writes lines to a file descriptor without blocking.

    :param descriptor: file descriptor, which is made non-blocking.
    :param clock: source of time for the rate limit.
    """

    __slots__ = (
        '_backlog',
        '_clock',
        '_descriptor',
        '_dropped',
        '_remaining',
        '_second',
        'on_drop',
    )

    def __init__(self, descriptor: int, clock: Clock) -> None:
        """Start with an empty backlog."""
        self._descriptor = descriptor
        self._clock = clock
        self._backlog = b''
        self._second = -1
        #: Lines that may still be written in the current second.
        self._remaining = 0
        #: Lines dropped since the last one written.
        self._dropped = 0
        self.on_drop: OnDrop | None = None
        os.set_blocking(descriptor, False)

    def __call__(self, message: dict[str, Any]) -> None:
        """Write a message as a JSON line, or drop it and count the drop."""
        if not self._take_from_limit():
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
            # The log's reader is gone; its backlog is not kept for a later one.
            self._backlog = b''
            self._drop('closed')
            return
        self._backlog = self._backlog[written:]

    def _take_from_limit(self) -> bool:
        second = int(self._clock.monotonic())
        if second != self._second:
            self._second = second
            self._remaining = _LINES_PER_S
        self._remaining -= 1
        return self._remaining >= 0

    def _drop(self, reason: str) -> None:
        self._dropped += 1
        if self.on_drop:
            self.on_drop(reason)


def start_logging(clock: Clock) -> LogWriter:
    """Send eliot's messages to standard output as JSON lines."""
    writer = LogWriter(sys.stdout.fileno(), clock)
    eliot.add_destinations(writer)
    return writer


def log_event(kind: str, **fields: object) -> None:
    """Write one structured log line.

    :param kind: type of the event, such as ``settings_in_force``.
    :param fields: details, encodable as JSON.
    """
    eliot.log_message(message_type=f'anvilhall:{kind}', **fields)


def log_other_version(grant: Grant, stated: str) -> None:
    """Log that an engine states another version than its entry names.

    :param stated: empty if it states none.
    """
    if stated and grant.version and stated != grant.version:
        log_event(
            'version_not_listed',
            request_id=get_request_id(grant.request_id),
            pool=grant.pool,
            runner=grant.runner,
            listed=grant.version,
            stated=stated,
        )


def log_failed_attempt(
    ask: Ask,
    grant: Grant,
    error: AnvilhallError,
    *,
    elapsed_s: float,
    first_token_s: float,
) -> None:
    """Log that a runner has failed a request.

    The prompt parts tell whether failures of several runners have a part in
    common.

    :param elapsed_s: seconds since the grant.
    :param first_token_s: seconds from the grant to the first token; 0: none.
    """
    log_event(
        'attempt_failed',
        request_id=get_request_id(ask.request_id),
        class_name=ask.class_name,
        account=ask.account,
        pool=grant.pool,
        runner=grant.runner,
        result=error.code,
        reason=error.reason,
        elapsed_s=round(elapsed_s, 3),
        first_token_s=round(first_token_s, 3),
        parts=list(ask.part_names[:_LOGGED_PARTS]),
    )
