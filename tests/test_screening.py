"""A shard refuses prompts that crash runners and passes on what it knows."""

import datetime as dt

import msgspec
import pytest

from anvilhall.core.losses import RecentLosses
from anvilhall.core.messages import Ask, Grant, Progress, Release, name_grant
from anvilhall.core.quarantine import Quarantine
from anvilhall.core.roster import RunnerEndpoint
from anvilhall.core.shard import Shard
from anvilhall.core.tree import Tree
from anvilhall.exceptions import Quarantined, UpstreamCut

WALL = dt.datetime(2026, 3, 30, 6, 0, tzinfo=dt.UTC)
DEADLY = ('first', 'doc', 'bad')


class Desk:
    """One shard whose runners crash under some prompts."""

    def __init__(self, tree, quarantine=None, **fields):
        self.quarantine = quarantine or Quarantine()
        self.shard = Shard('chat', tree, quarantine=self.quarantine, **fields)
        self.now = 100.0
        self.count = 0
        self.starts = 0
        self.asks = {}
        self.restart_runner()

    def restart_runner(self):
        """Replace the runner by a new start of it."""
        self.starts += 1
        endpoint = RunnerEndpoint('r', 'r:1', born=self.starts)
        self.shard.set_runners([endpoint])

    def ask(self, *parts):
        """Submit a request; return its identifier and the answers."""
        self.count += 1
        name = f'q{self.count}'
        ask = Ask(
            pool='chat',
            request_id=name,
            class_name='quick',
            account='ann',
            prompt_tokens=40,
            max_tokens=10,
            deadline_s=60,
            parts=tuple((part, 10) for part in (*parts, f'own-{name}')),
        )
        self.asks[name] = ask
        actions = self.shard.submit('e', ask, self.now)
        return name, actions + self.shard.dispatch(self.now, WALL)

    def end(self, name, failure=''):
        """Report the end of a request."""
        release = Release('chat', name, served=not failure, failure=failure)
        self.shard.release(release, self.now)
        return release

    def serve(self, *parts):
        name, actions = self.ask(*parts)
        assert isinstance(actions[0].message, Grant)
        self.end(name)

    def crash(self, *parts):
        """Crash the runner under a request; return its release."""
        name, actions = self.ask(*parts)
        assert isinstance(actions[0].message, Grant)
        self.now += 0.5
        release = self.end(name, UpstreamCut.code)
        self.restart_runner()
        return name, release

    def learn(self, times=3):
        """Crash the runner under the deadly prompt, beside sound ones."""
        for number in range(times):
            self.crash(*DEADLY)
            for _ in range(4):
                self.serve('first', f'doc-{number}')


@pytest.fixture
def desk(tree):
    """Return a desk that has served requests."""
    made = Desk(tree)
    for number in range(12):
        made.serve('first', f'doc-{number}')
    return made


def get_code(actions):
    return actions[0].message.code


def test_prompt_that_crashed_three_runners_is_refused(desk):
    desk.learn()
    _, actions = desk.ask('other', *DEADLY[1:])
    assert get_code(actions) == Quarantined.code
    assert actions[0].message.retry_after_s > 1
    # Its account and its first part are served as before.
    desk.serve('first', 'doc-1')


def test_waiting_requests_are_refused_once_their_prompt_is_known(desk):
    desk.crash(*DEADLY)
    desk.serve('first')
    desk.crash(*DEADLY)
    for _ in range(4):
        desk.serve('first', 'doc-1')
    running, _ = desk.ask(*DEADLY)
    desk.ask('first')
    waiting, _ = desk.ask(*DEADLY)
    sound, _ = desk.ask('first')
    desk.now += 0.5
    desk.end(running, UpstreamCut.code)
    refused = {
        action.message.request_id: action.message.code
        for action in desk.shard.dispatch(desk.now, WALL)
        if not isinstance(action.message, Grant)
    }
    assert refused == {waiting: Quarantined.code}
    assert sound not in refused


def test_probe_is_granted_and_its_crash_makes_the_next_one_later(desk):
    desk.learn()
    desk.now += 10
    desk.crash(*DEADLY)
    desk.now += 10
    _, actions = desk.ask(*DEADLY)
    assert get_code(actions) == Quarantined.code


def test_served_probe_ends_the_quarantine(desk):
    desk.learn()
    desk.now += 11
    desk.serve(*DEADLY)
    desk.serve(*DEADLY)


def test_refused_probe_makes_room_for_another(desk, tree):
    desk.learn()
    desk.now += 11
    # The probe finds no runner.
    desk.shard.set_runners([])
    _, actions = desk.ask(*DEADLY)
    assert get_code(actions) == 'no_runner'
    desk.restart_runner()
    desk.serve(*DEADLY)


def test_fallback_shard_refuses_without_probes(tree, desk):
    desk.learn()
    fallback = Desk(tree, desk.quarantine, may_probe=False)
    fallback.now = desk.now + 60
    _, actions = fallback.ask(*DEADLY)
    assert get_code(actions) == Quarantined.code


def test_request_that_was_streaming_for_long_is_not_behind_a_crash(desk):
    for _ in range(8):
        name, _ = desk.ask('first', 'doc-long')
        progress = Progress('chat', name, 0.1, 1, 0.0)
        desk.shard.note_progress(progress, desk.now)
        desk.now += 3
        desk.end(name, UpstreamCut.code)
        desk.restart_runner()
        for _ in range(3):
            desk.serve('first')
    desk.serve('first', 'doc-long')


# Guards against crashes of one request that count as those of several, because
# it has moved and so has a further grant.
def test_crashes_of_a_moved_request_are_those_of_one_request(desk):
    name, _ = desk.crash(*DEADLY)
    ask = desk.asks[name]
    moved = msgspec.structs.replace(
        ask, request_id=name_grant(name, 1), moves=True
    )
    assert not desk.shard.submit('e', moved, desk.now)
    (action,) = desk.shard.dispatch(desk.now, WALL)
    assert action.message.request_id == moved.request_id
    desk.end(moved.request_id, UpstreamCut.code)
    desk.restart_runner()
    (refused,) = desk.shard.submit('e', ask, desk.now)
    assert refused.message.code == Quarantined.code


def test_loss_of_a_moved_request_is_reported_under_its_identifier():
    losses = RecentLosses()
    ask = Ask('chat', 'q', 'quick', 'ann', 1, 1, 9.0, digest='digest')
    further = name_grant(name_grant('q', 1), 2)
    cut = Release('chat', further, served=False, failure=UpstreamCut.code)
    losses.note_release(ask, cut, 'r/1', 1.0)
    (loss,) = losses.list_losses('chat', 1.0)
    assert loss.request_id == 'q'


# Guards against crashes being counted anew after the owner has left.
def test_new_owner_counts_the_losses_that_instances_report(desk, tree):
    losses = RecentLosses()
    for _ in range(2):
        name, release = desk.crash(*DEADLY)
        start = f'r/{desk.starts}'
        losses.note_release(desk.asks[name], release, start, desk.now)
    served = Release('chat', 'other', served=True)
    sound = Ask('chat', 'other', 'quick', 'ann', 9, 9, 9, parts=(('first', 9),))
    losses.note_release(sound, served, 'r/9', desk.now)
    successor = Desk(tree)
    successor.starts = 100
    successor.restart_runner()
    found = losses.list_losses('chat', desk.now)
    assert [loss.parts[:2] for loss in found] == [('doc', 'bad')] * 2
    successor.shard.screening.adopt_losses(found, successor.now)
    for _ in range(4):
        successor.serve('first', 'doc-1')
    successor.crash(*DEADLY)
    _, actions = successor.ask(*DEADLY)
    assert get_code(actions) == Quarantined.code


def test_losses_are_reported_for_a_limited_time():
    losses = RecentLosses()
    ask = Ask('chat', 'q', 'quick', 'ann', 9, 9, 9, parts=(('bad', 9),))
    cut = Release('chat', 'q', served=False, failure=UpstreamCut.code)
    losses.note_release(ask, cut, 'r/1', 10.0)
    assert losses.list_losses('chat', 39.0)
    assert not losses.list_losses('chat', 41.0)


def test_state_of_ended_requests_is_dropped(desk):
    desk.learn()
    for number in range(20):
        desk.ask(*DEADLY)
        desk.serve('first', f'doc-{number}')
    assert not desk.shard.screening._runs


def test_prompts_without_parts_are_never_refused(tree):
    desk = Desk(Tree(tree.nodes))
    for number in range(12):
        desk.count += 1
        ask = Ask('chat', f'p{number}', 'quick', 'ann', 9, 9, 60)
        desk.shard.submit('e', ask, desk.now)
        (action,) = desk.shard.dispatch(desk.now, WALL)
        assert isinstance(action.message, Grant)
        desk.end(f'p{number}', UpstreamCut.code)
        desk.restart_runner()
        desk.now += 20


# Guards against one request that crashes a runner in each of its attempts.
def test_request_that_met_two_crashes_gets_no_third_runner(desk):
    name, _ = desk.ask(*DEADLY)
    for _ in range(2):
        desk.now += 0.5
        desk.end(name, UpstreamCut.code)
        desk.restart_runner()
        actions = desk.shard.submit('e', desk.asks[name], desk.now)
        actions += desk.shard.dispatch(desk.now, WALL)
    assert get_code(actions) == Quarantined.code


def test_request_with_sound_parts_goes_on_after_two_crashes(desk):
    name, _ = desk.ask('first', 'doc-1')
    sound = msgspec.structs.replace(
        desk.asks[name], parts=(('first', 10), ('doc-1', 10))
    )
    desk.end(name)
    for _ in range(3):
        actions = desk.shard.submit('e', sound, desk.now)
        actions += desk.shard.dispatch(desk.now, WALL)
        assert isinstance(actions[0].message, Grant)
        desk.now += 0.5
        desk.end(name, UpstreamCut.code)
        desk.restart_runner()
        desk.serve('first', 'doc-1')
