"""The operators' command: errors that name the argument that was wrong."""

import types

import pytest
from click.testing import CliRunner

from anvilhall import commands
from anvilhall.core.publication import Publication, SettingsState


@pytest.fixture
def show(monkeypatch):
    """Return a function that runs ``anvilhall show`` on one team's settings."""
    state = SettingsState()
    node = {'class_defaults': {'deadline_s': 10}}
    state.fold(0, Publication(id='a', team='shop', based_on=0, node=node))
    history = types.SimpleNamespace(state=state)
    monkeypatch.setattr(commands, '_run_with_log', lambda *_: history)

    def run(*arguments):
        return CliRunner().invoke(
            commands.run_command,
            ['show', '--log', 'http://log.example', *arguments],
        )

    return run


def test_show_prints_the_settings_of_one_team(show):
    shown = show('--team', 'shop')
    assert shown.exit_code == 0, shown.output
    assert '"deadline_s": 10' in shown.output


@pytest.mark.parametrize('options', [(), ('--effective',)])
def test_show_names_an_unknown_team(show, options):
    shown = show('--team', 'nowhere', *options)
    assert shown.exit_code == 2
    assert "no team 'nowhere'" in shown.output
