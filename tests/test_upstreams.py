"""Rate limits in the answers of the product's own upstreams."""

import math

import pytest
from tornado.httputil import HTTPHeaders

from anvilhall.upstreams import read_limit


@pytest.mark.parametrize(
    ('text', 'rate'),
    [
        ('"default";q=100;w=10', 10.0),
        ('"burst";q=20;w=1, "daily";q=50;w=10', 5.0),
        ('"none";q=0;w=1', 0.0),
        ('100;w=1;q=5', 5.0),
    ],
)
def test_least_policy_is_the_limit(text, rate):
    assert read_limit(HTTPHeaders({'RateLimit-Policy': text})) == rate


def test_answer_without_policy_has_no_limit():
    assert math.isinf(read_limit(HTTPHeaders()))


@pytest.mark.parametrize(
    'text', ['"a"', 'q=5', '"a";q=5;w=0', '"a";q=-1;w=1', '"a";q=x;w=1']
)
def test_unusable_policy_is_logged_and_ignored(text, monkeypatch):
    lines = []
    monkeypatch.setattr(
        'anvilhall.upstreams.log_event',
        lambda kind, **fields: lines.append((kind, fields['content'])),
    )
    assert math.isinf(read_limit(HTTPHeaders({'RateLimit-Policy': text})))
    assert lines == [('header_unusable', text)]
