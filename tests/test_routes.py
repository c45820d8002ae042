"""Selection of routes by host and longest prefix, and of pools by share."""

import pytest

from anvilhall.core.routes import Route, RouteTable
from anvilhall.exceptions import UnknownPath


def _make_route(prefix, host='a.example', pools=(('p', 1.0),)):
    return Route(name=prefix, host=host, prefix=prefix, pools=pools)


@pytest.fixture
def table():
    """Return a route table with nested prefixes."""
    return RouteTable(
        (
            _make_route('/'),
            _make_route('/a/'),
            _make_route('/a/b/'),
            _make_route('/x/', host='b.example'),
        ),
    )


@pytest.mark.parametrize(
    ('path', 'prefix'),
    [
        ('/a/b/c', '/a/b/'),
        ('/a/b/', '/a/b/'),
        ('/a/b', '/a/'),
        ('/ab/c', '/'),
        ('/', '/'),
    ],
)
def test_longest_prefix_wins(table, path, prefix):
    assert table.find('a.example', path).prefix == prefix


@pytest.mark.parametrize('host', ['A.Example', 'a.example:8080'])
def test_host_is_compared_without_case_and_port(table, host):
    assert table.find(host, '/a/').prefix == '/a/'


@pytest.mark.parametrize(
    ('host', 'path'),
    [('b.example', '/y/'), ('c.example', '/'), ('b.example', ''), ('', '/')],
)
def test_request_without_a_matching_route_is_refused(table, host, path):
    with pytest.raises(UnknownPath):
        table.find(host, path)


def test_pools_get_their_shares_of_the_requests():
    route = _make_route('/', pools=(('big', 90.0), ('small', 10.0)))
    chosen = [route.choose_pool(f'id-{number}') for number in range(4000)]
    assert 0.85 < chosen.count('big') / len(chosen) < 0.95
    assert route.choose_pool('id-7') == route.choose_pool('id-7')


def test_route_without_a_positive_share_is_refused():
    with pytest.raises(UnknownPath):
        _make_route('/', pools=(('p', 0.0),)).choose_pool('id')
