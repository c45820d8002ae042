"""Limits that runners advertise in their answers."""

import math

import pytest
from tornado.httputil import HTTPHeaders

from anvilhall.core.advertised import AdvertisedLimits
from anvilhall.platform.headers import PlatformHeaders


def test_change_of_a_limit_is_noted_once():
    limits = AdvertisedLimits()
    assert not limits.note('r', math.inf)
    assert limits.note('r', 2.5)
    assert not limits.note('r', 2.5)
    assert limits.get('r') == 2.5
    assert limits.note('r', math.inf)
    assert math.isinf(limits.get('r'))


def test_number_of_limits_is_bounded():
    limits = AdvertisedLimits()
    for number in range(5000):
        limits.note(f'r{number}', 1.0)
    assert math.isinf(limits.get('r0'))
    assert limits.get('r4999') == 1.0


@pytest.mark.parametrize(
    ('text', 'rate'),
    [('2.5', 2.5), ('0', 0.0), ('7', 7.0), (' 3 ', 3.0)],
)
def test_limit_of_an_answer_is_read(text, rate):
    headers = HTTPHeaders({'Server-Limit': text})
    assert PlatformHeaders().read_answer(headers).requests_per_s == rate


@pytest.mark.parametrize('text', ['', 'many', '-1', 'nan', 'inf'])
def test_unusable_limit_is_logged_and_ignored(text, monkeypatch):
    lines = []
    monkeypatch.setattr(
        'anvilhall.platform.headers.log_event',
        lambda kind, **fields: lines.append((kind, fields)),
    )
    headers = HTTPHeaders({'Server-Limit': text})
    assert math.isinf(PlatformHeaders().read_answer(headers).requests_per_s)
    assert lines == [
        ('header_unusable', {'header': 'Server-Limit', 'content': text})
    ]


def test_answer_without_the_header_names_no_limit():
    answer = PlatformHeaders().read_answer(HTTPHeaders())
    assert math.isinf(answer.requests_per_s)
