"""Connections that the HTTP server closes itself, as a request is malformed.

The server tells a request's handler only that the connection was closed, and
the reason only to its logger.
"""

import contextvars
import logging

from tornado.httputil import HTTPInputError

from anvilhall.logs import log_event

_LOGGER = logging.getLogger('tornado.general')
#: Characters of a message in the log, which may quote the caller.
_SHOWN_CHARACTERS = 200
#: Why the server refuses what the current connection has sent; it reads each
#: connection in a task of its own.
_refusal: contextvars.ContextVar[str] = contextvars.ContextVar(
    'refusal', default=''
)


class RefusalHandler(logging.Handler):
    """Writes the messages of the HTTP server to the structured log."""

    def emit(self, record: logging.LogRecord) -> None:
        """Log a message; if it is a refusal, note it for the connection."""
        reason = record.getMessage()[:_SHOWN_CHARACTERS]
        log_event('http_server', level=record.levelname, reason=reason)
        given = record.args if isinstance(record.args, tuple) else ()
        if any(isinstance(each, HTTPInputError) for each in given):
            _refusal.set(reason)


def log_refusals() -> None:
    """Write the messages of the process's HTTP servers to the log."""
    if not any(isinstance(each, RefusalHandler) for each in _LOGGER.handlers):
        _LOGGER.addHandler(RefusalHandler())
        _LOGGER.setLevel(logging.INFO)


def get_refusal() -> str:
    """Return why the server closes the current connection.

    :return: empty if it does not, as when the caller has closed it.
    """
    return _refusal.get()
