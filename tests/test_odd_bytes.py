"""Records of the store and frames of peers of any bytes."""

import asyncio
import struct

import cbor2
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from tornado.httputil import HTTPHeaders

from anvilhall.core.messages import decode_message, encode_message
from anvilhall.core.positions import Position
from anvilhall.exceptions import (
    AnvilhallError,
    LogUnavailable,
    PeerProtocolBroken,
)
from anvilhall.outbound import Reply
from anvilhall.platform.store import StoreClient

TOPIC = 'keyed.servers'
DEEP = b'[' * 50_000 + b']' * 50_000
START = Position(1, 5)


class _Outbound:
    """Answers every call with the same body."""

    def __init__(self, body, status=200):
        self.reply = Reply(status, HTTPHeaders({'Store-Era': '1'}), body)

    async def fetch(self, call):
        return self.reply


def _read(body):
    store = StoreClient('a:1', _Outbound(body))
    return asyncio.run(store.read(TOPIC, START, 0))


def _list(body):
    store = StoreClient('a:1', _Outbound(body))
    return asyncio.run(store.list_newest(TOPIC))


def _pack(*frames):
    parts = [struct.pack('>QQ', 99, 0)]
    parts.extend(struct.pack('>I', len(frame)) + frame for frame in frames)
    return b''.join(parts)


# Guards against one record without a key that keeps a reader from all that
# follow.
@pytest.mark.parametrize(
    'odd', [b'', b'\x00', b'\x05abc', b'\xff', b'\x00content']
)
def test_records_beside_one_without_a_key_are_read(odd):
    page = _read(_pack(b'\x01a1', odd, b'\x01b2'))
    sound = [record for record in page.records if record.key in {'a', 'b'}]
    assert [record.content for record in sound] == [b'1', b'2']
    assert [record.position.offset for record in sound] == [5, 7]
    assert page.end == Position(1, 8)


def test_key_that_is_no_text_is_read():
    page = _read(_pack(b'\x02\xff\xfe1'))
    assert len(page.records) == 1


# Guards against one item of a list that keeps a reader from all others.
@pytest.mark.parametrize(
    'odd',
    [
        b'{"key":"odd"}',
        b'{"key":"odd","value":null,"offset":3}',
        b'{"key":"odd","value":7,"offset":3}',
        b'{"key":"odd","value":"?","offset":3}',
        b'{"key":"odd","value":"YQ=","offset":3}',
        b'{"key":"odd","value":"\xc3\xb6","offset":3}',
        b'{"key":7,"value":"YQ==","offset":3}',
        b'{"key":"odd","value":"YQ==","offset":"3"}',
        b'{"key":"odd","value":"YQ==","offset":%d}' % 2**70,
        b'{"key":"odd","value":"YQ==","other":' + DEEP + b'}',
        b'{"value":"YQ==","offset":3}',
        b'null',
        b'7',
        DEEP,
    ],
)
def test_items_beside_an_odd_one_are_listed(odd):
    first = b'{"key":"a","value":"MQ==","offset":1}'
    last = b'{"key":"b","value":"Mg==","offset":2}'
    items = b','.join((first, odd, last))
    page = _list(b'{"items":[' + items + b'],"truncated":false,"end":9}')
    found = {record.key: record.content for record in page.records}
    assert found['a'] == b'1'
    assert found['b'] == b'2'


@settings(max_examples=200, deadline=None)
@given(st.binary(max_size=60))
def test_any_answer_of_the_store_is_read_or_refused(body):
    for read in (_read, _list):
        try:
            read(body)
        except LogUnavailable:
            continue


#: CBOR of any shape, also with tags and numbers that have no JSON form.
_SHAPES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**70), 2**70)
    | st.floats()
    | st.text(max_size=8)
    | st.binary(max_size=8)
    | st.builds(cbor2.CBORTag, st.integers(0, 300), st.text(max_size=4)),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=4), inner, max_size=3)
    ),
    max_leaves=12,
)
_KINDS = st.sampled_from(
    ['Ask', 'Heartbeat', 'News', 'RunnerNews', 'Hello', 'SettingsOffer', 'x'],
)


# Guards against a frame that ends the reading of a link and its redialling.
@settings(max_examples=300, deadline=None)
@given(
    st.binary(max_size=60)
    | _SHAPES.map(cbor2.dumps)
    | st.builds(
        lambda kind, fields: cbor2.dumps([kind, *fields]),
        _KINDS,
        st.lists(_SHAPES, max_size=10),
    )
)
def test_any_frame_of_a_peer_is_decoded_or_refused(frame):
    try:
        decoded = decode_message(frame)
    except PeerProtocolBroken:
        return
    if type(decoded).__name__ != 'UnknownMessage':
        encode_message(decoded)


@pytest.mark.parametrize(
    'frame',
    [
        b'\x81' * 50_000 + b'\x00',
        b'\xd8\x1c\x82\x63Ask\xd8\x1d\x00',
        b'\x82\x63Ask' + b'\x81' * 300 + b'\x00',
        b'\x9b' + b'\x7f' + b'\xff' * 7,
        b'\x82\x69Heartbeat\xc2\x58\x40' + b'\xff' * 64,
    ],
)
def test_extreme_frame_of_a_peer_is_refused(frame):
    with pytest.raises(PeerProtocolBroken):
        decode_message(frame)


def test_error_of_a_reader_has_a_reason():
    with pytest.raises(AnvilhallError) as caught:
        _read(b'short')
    assert '16' in caught.value.reason
