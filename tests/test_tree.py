"""Inheritance, look-ups and validation of the settings tree."""

import pytest

from anvilhall.core.settings import SettingsFaulty, decode_node
from anvilhall.core.tree import Tree, hash_key
from anvilhall.exceptions import ClassNotAllowed, UnknownAccount, UnknownClass


def _build(**nodes):
    root = {'pools': {'chat': {'wire': 'chat-completions'}}}
    parts = {'': root, **nodes}
    return Tree({path: decode_node(node, path) for path, node in parts.items()})


def test_defaults_are_inherited_down_the_path():
    tree = _build(
        **{
            'shop': {'class_defaults': {'deadline_s': 7, 'pool': 'chat'}},
            'shop/bench': {
                'class_defaults': {'target': {'gap_ms': 80}},
                'classes': {'ask': {'target': {'first_token_ms': 500}}},
            },
        },
    )
    ask = tree.classes['ask']
    assert ask.deadline_s == 7
    assert (ask.target.gap_ms, ask.target.first_token_ms) == (80, 500)


def test_unknown_field_is_a_fault_with_its_path():
    with pytest.raises(SettingsFaulty) as caught:
        _build(shop={'classes': {'ask': {'pool': 'chat', 'teir': 1}}})
    fault = caught.value.faults[0]
    assert fault.path == '/shop.classes.ask'
    assert 'teir' in fault.reason


def test_every_fault_is_listed():
    with pytest.raises(SettingsFaulty) as caught:
        _build(
            shop={
                'classes': {'ask': {'pool': 'chat', 'tier': 'x'}},
                'schedules': {'day': {'timezone': 'Mars/Here', 'windows': []}},
            },
            other={'classes': {'tell': {'pool': 'nowhere'}}},
        )
    paths = {fault.path for fault in caught.value.faults}
    assert paths == {
        '/shop.classes.ask.tier',
        '/shop.schedules.day.timezone',
        '/other.classes.tell.pool',
    }


def test_account_may_use_classes_of_its_team_only():
    account = {'key_sha256': [hash_key('k')], 'default_class': 'ask'}
    tree = _build(
        shop={
            'classes': {'ask': {'pool': 'chat', 'paths': ['/x']}},
            'accounts': {'ann': account},
        },
        other={'classes': {'tell': {'pool': 'chat'}}},
    )
    client_account = tree.find_account('k')
    assert tree.choose_class(client_account, '', '/anything') == 'ask'
    with pytest.raises(ClassNotAllowed):
        tree.choose_class(client_account, 'tell', '/x')
    with pytest.raises(UnknownClass):
        tree.choose_class(client_account, 'nothing', '/x')
    with pytest.raises(UnknownAccount):
        tree.find_account('wrong')


def test_one_key_for_two_accounts_is_a_fault():
    account = {'key_sha256': [hash_key('k')]}
    with pytest.raises(SettingsFaulty):
        _build(shop={'accounts': {'ann': account, 'bob': account}})
