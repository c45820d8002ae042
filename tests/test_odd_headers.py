"""Headers of callers, runners and upstreams of any bytes."""

import asyncio

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from tornado.httputil import HTTPHeaders

from anvilhall.exceptions import MalformedRequest
from anvilhall.platform.headers import PlatformHeaders
from anvilhall.upstreams import read_limit
from tests.site import HOST, run_site

_HEADER_TEXT = st.text(
    st.characters(min_codepoint=1, max_codepoint=255), max_size=30
)


# Guards against a caller's header that ends its connection without an answer.
@settings(max_examples=200, deadline=None)
@given(_HEADER_TEXT, _HEADER_TEXT, _HEADER_TEXT)
def test_any_headers_of_a_caller_are_read_or_refused(tokens, parts, deadline):
    headers = HTTPHeaders()
    headers['Anvilhall-Token-Count'] = tokens
    headers['Anvilhall-Prefix-Hash'] = parts
    headers['Anvilhall-Deadline-Ms'] = deadline
    try:
        PlatformHeaders().read_request(headers)
    except MalformedRequest:
        return


@pytest.mark.parametrize('digits', ['²', '1²', '9' * 6000, '٣'])
def test_count_that_is_no_number_is_ignored(digits):
    headers = HTTPHeaders()
    headers['Anvilhall-Token-Count'] = f'{digits},{digits}'
    headers['Anvilhall-Prefix-Hash'] = f'a:1,b:{digits},c:2'
    head = PlatformHeaders().read_request(headers)
    assert (head.prompt_tokens, head.max_tokens) == (1, 1)
    assert head.parts == (('a', 1),)


@pytest.mark.parametrize('text', ['nan', 'inf', '-inf', '1e999', '', 'x'])
def test_deadline_that_is_no_time_is_malformed(text):
    headers = HTTPHeaders({'Anvilhall-Deadline-Ms': text})
    with pytest.raises(MalformedRequest):
        PlatformHeaders().read_request(headers)


@settings(max_examples=100, deadline=None)
@given(_HEADER_TEXT)
def test_any_limit_of_a_runner_is_read(text):
    headers = HTTPHeaders({'Server-Limit': text})
    assert PlatformHeaders().read_answer(headers).requests_per_s >= 0


@pytest.mark.parametrize(
    'policy',
    [
        'x;q=5;w=' + '9' * 6000,
        'x;q=' + '9' * 6000 + ';w=1',
        'x;q=٣;w=1',
        'x;q=5;w=0',
        ';;,=,',
    ],
)
def test_any_policy_of_an_upstream_is_read(policy):
    assert read_limit(HTTPHeaders({'RateLimit-Policy': policy})) > 0


# Guards against a length that ends a caller's connection without an answer.
@pytest.mark.parametrize(
    ('length', 'status'), [('9' * 6000, b'413'), ('0' * 30 + '1', b'200')]
)
def test_extreme_length_of_a_body_is_answered(length, status):
    async def scenario():
        async with run_site() as site:
            reader, writer = await asyncio.open_connection(
                '127.0.0.1', site.ports['g1']
            )
            lines = (
                'POST /open/1 HTTP/1.1',
                f'Host: {HOST}',
                'Anvilhall-Request-Id: odd-1',
                f'Content-Length: {length}',
            )
            head = '\r\n'.join((*lines, '', 'x'))
            writer.write(head.encode())
            async with asyncio.timeout(5):
                answer = await reader.readline()
            writer.close()
            assert answer.split()[1] == status

    asyncio.run(scenario())
