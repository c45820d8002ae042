"""Generates docs/errors.md from the error classes."""

import pathlib

from anvilhall.core.settings import SettingsFaulty
from anvilhall.exceptions import AnvilhallError, list_errors

PAGE = pathlib.Path('docs/errors.md')
HEAD = """# Error codes

Made by `python -m tools.make_error_table`; a test keeps it current. Callers get
the code, the outcome and the reason as JSON, and the first two as the headers
`Anvilhall-Error` and `Anvilhall-Outcome`.

| code | HTTP status | outcome | meaning |
| --- | --- | --- | --- |
"""


def describe_error(error: type[AnvilhallError]) -> str:
    """Build the table row of an error class."""
    summary = (error.__doc__ or '').partition('\n')[0]
    return (
        f'| `{error.code}` | {error.status.value} | '
        f'`{error.outcome.value}` | {summary} |\n'
    )


def build_page() -> str:
    """Build the text of the page."""
    errors: set[type[AnvilhallError]] = {SettingsFaulty, *list_errors()}
    rows = [describe_error(error) for error in errors]
    return ''.join((HEAD, *sorted(rows)))


if __name__ == '__main__':
    PAGE.write_text(build_page())
