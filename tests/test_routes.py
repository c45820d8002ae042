"""Selection of routes by host and longest prefix, and of pools by share."""

import zlib

import pytest

from anvilhall.core.routes import (
    RequestLimits,
    Route,
    RouteTable,
    RoutingSettings,
    decompress_settings,
)
from anvilhall.core.tree import Tree
from anvilhall.exceptions import PeerProtocolBroken, UnknownPath


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


def test_settings_are_compressed_for_peers_and_read_back():
    encoded = b'{"version":1,"routes":[]}' + b' ' * 4096
    settings = RoutingSettings(
        1, Tree({}), RouteTable(()), RequestLimits(), encoded
    )
    assert len(settings.compressed) < len(encoded) // 10
    assert decompress_settings(settings.compressed) == encoded
    assert decompress_settings(encoded) == encoded


@pytest.mark.parametrize(
    'snapshot',
    (b'', b'garbage', zlib.compress(b'{}')[:-3], zlib.compress(bytes(1 << 25))),
)
def test_settings_that_cannot_be_decompressed_are_refused(snapshot):
    with pytest.raises(PeerProtocolBroken):
        decompress_settings(snapshot)
