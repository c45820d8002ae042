"""Structured log lines, written for changes of state only."""

import sys

import eliot


def start_logging() -> None:
    """Write log lines as JSON to standard error."""
    eliot.to_file(sys.stderr)


def note_change(kind: str, **fields: object) -> None:
    """Write one line.

    :param kind: what changed, such as ``settings_in_force``.
    :param fields: details of the change, as JSON can hold them.
    """
    eliot.log_message(message_type=f'anvilhall:{kind}', **fields)
