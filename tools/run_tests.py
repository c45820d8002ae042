"""Runs all tests except those in KNOWN-RED.txt and prints that file."""

import pathlib
import subprocess
import sys

KNOWN_RED = pathlib.Path('KNOWN-RED.txt')
#: Prefix of the line that names the test of an entry.
TEST_PREFIX = 'test:'
#: Exit code of pytest if it collected no tests.
NO_TESTS = 5


def list_known_red(text: str) -> list[str]:
    """Return the node identifiers of the tests in the file's entries."""
    return [
        line.removeprefix(TEST_PREFIX).strip()
        for line in text.splitlines()
        if line.startswith(TEST_PREFIX)
    ]


def run_tests(extra: list[str]) -> int:
    """Run pytest without the known failures and return its exit code.

    :param extra: further arguments of pytest.
    """
    text = KNOWN_RED.read_text() if KNOWN_RED.exists() else ''
    known_failures = list_known_red(text)
    deselected = [f'--deselect={test}' for test in known_failures]
    command = [sys.executable, '-m', 'pytest', *deselected, *extra]
    code = subprocess.run(command, check=False).returncode
    if known_failures:
        print('not run because they are known to fail (KNOWN-RED.txt):')
        print(text)
    return code


if __name__ == '__main__':
    sys.exit(run_tests(sys.argv[1:]))
