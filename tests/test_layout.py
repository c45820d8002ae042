"""The platform's names stand in its folder alone, and decide nothing."""

import ast
import pathlib

import pytest

SOURCE = pathlib.Path('src/anvilhall')
#: Words of the platform's wire that mean nothing elsewhere.
WORDS = (
    'Anvilhall-Credential',
    'Anvilhall-Deadline-Ms',
    'Anvilhall-Expect-Instance',
    'Anvilhall-Not-Executed',
    'Anvilhall-Prefix-Hash',
    'Anvilhall-Server-Seal',
    'Anvilhall-Tenant',
    'Anvilhall-Token-Count',
    'Anvilhall-Urgency',
    'api_keys',
    'gap_aim_ms',
    'keyed.',
    'kv_tokens',
    'log-append',
    'log-newest',
    'log-read',
    'manifest',
    'max_conns',
    'non_idempotent',
    'path_prefix',
    'slo_ms',
    'tenant',
    'traffic_split',
)


def _list_imports(path):
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            yield node.module or ''


def _list_sources(folder):
    return sorted(folder.rglob('*.py'))


@pytest.mark.parametrize(
    'path',
    _list_sources(SOURCE / 'core'),
    ids=lambda path: path.stem,
)
def test_core_imports_nothing_of_the_platform_and_no_sockets(path):
    barred = ('anvilhall.platform', 'asyncio', 'pycurl', 'socket', 'tornado')
    found = [
        name
        for name in _list_imports(path)
        if name.startswith(barred) and name != 'tornado.httputil'
    ]
    assert not found


@pytest.mark.parametrize('word', WORDS)
def test_words_of_the_wire_stand_in_the_platform_folder_alone(word):
    platform = SOURCE / 'platform'
    found = [
        str(path)
        for path in _list_sources(SOURCE)
        if not path.is_relative_to(platform) and word in path.read_text()
    ]
    assert not found


def test_platform_folder_is_small():
    lines = sum(
        len(path.read_text().splitlines())
        for path in _list_sources(SOURCE / 'platform')
    )
    assert lines < 1500
