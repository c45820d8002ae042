"""Which prompt parts count as the cause of crashes."""

import itertools

import pytest

from anvilhall.core.evidence import CrashEvidence, Loss


class Pool:
    """Crashes and served requests of one pool, with a clock of its own."""

    def __init__(self):
        self.evidence = CrashEvidence()
        self.now = 100.0
        self.pause_s = 0.5
        self._numbers = itertools.count()

    def serve(self, count, *parts):
        """Serve requests with these parts and one of their own each."""
        for _ in range(count):
            self.evidence.note_served((*parts, f'own-{next(self._numbers)}'))

    def crash(self, *prompts, runner=None):
        """Crash a runner that has these prompts, each with a part of its own.

        :return: the causes found.
        """
        self.now += self.pause_s
        runner = runner or f'runner-{next(self._numbers)}'
        for parts in prompts:
            number = next(self._numbers)
            loss = Loss(f'id-{number}', runner, (*parts, f'own-{number}'))
            self.evidence.note_loss(loss, self.now)
        return self.evidence.pop_causes(self.now)


@pytest.fixture
def pool():
    """Return a pool that has served some requests."""
    made = Pool()
    made.serve(20, 'first', 'doc-0')
    return made


def test_part_of_three_crashes_that_is_never_served_is_the_cause(pool):
    assert not pool.crash(('first', 'bad'), ('first', 'doc-1'))
    pool.serve(5, 'first', 'doc-1')
    assert not pool.crash(('first', 'bad'), ('first', 'doc-2'))
    pool.serve(5, 'first', 'doc-2')
    assert pool.crash(('first', 'bad'), ('first', 'doc-1')) == [('bad',)]


def test_parts_that_always_come_together_are_one_cause(pool):
    for _ in range(2):
        assert not pool.crash(('first', 'doc-9', 'bad'), ('first', 'doc-1'))
        pool.serve(5, 'first', 'doc-1')
    assert pool.crash(('first', 'doc-9', 'bad')) == [('doc-9', 'bad')]


def test_popular_part_beside_the_cause_is_not_blamed(pool):
    # No request with the first part is served between the crashes.
    causes = []
    for turn in range(3):
        assert not causes
        beside = [('first', f'doc-{turn}-{n}') for n in range(4)]
        causes = pool.crash(('first', 'bad'), *beside)
        pool.serve(15, 'other')
    assert causes == [('bad',)]


def test_part_that_is_served_between_crashes_is_not_blamed(pool):
    for _ in range(12):
        assert not pool.crash(('first', 'doc-1'))
        pool.serve(4, 'first', 'doc-1')


def test_runners_lost_together_blame_no_part(pool):
    # Nine runners crash in turn within a moment, and nothing is served.
    pool.pause_s = 0.01
    for _ in range(9):
        assert not pool.crash(('first', 'doc-0'), ('first', 'doc-1'))


def test_one_start_of_a_runner_counts_once(pool):
    # A runner that breaks off many answers has not crashed many times.
    for _ in range(12):
        assert not pool.crash(('first', 'doc-7'), runner='runner-1/5')
        pool.serve(2, 'first', 'doc-1')


def test_one_request_that_is_cut_several_times_blames_no_part(pool):
    for number in range(6):
        pool.now += 1
        loss = Loss('same', f'runner-{number}', ('first', 'doc-8', 'own'))
        pool.evidence.note_loss(loss, pool.now)
        pool.serve(5, 'first', 'doc-1')
        assert not pool.evidence.pop_causes(pool.now)


def test_sound_part_that_turns_deadly_is_found_beside_served_requests(pool):
    pool.serve(50, 'first', 'doc-0')
    pool.crash(('first', 'doc-0'))
    pool.serve(8, 'first', 'doc-1')
    pool.crash(('first', 'doc-0'))
    pool.serve(8, 'first', 'doc-1')
    assert pool.crash(('first', 'doc-0')) == [('doc-0',)]


def test_cause_is_found_although_nothing_else_is_served():
    pool = Pool()
    causes = []
    for turn in range(8):
        if not causes:
            causes = pool.crash(('first', 'bad'), ('first', f'doc-{turn}'))
    assert causes == [('first', 'bad')]


def test_part_of_a_known_cause_is_blamed_alone_after_two_more_crashes(pool):
    for _ in range(3):
        causes = pool.crash(('first', 'doc-9', 'bad'))
        pool.serve(5, 'first', 'doc-1')
    assert causes == [('doc-9', 'bad')]
    pool.serve(1, 'doc-9')
    assert not pool.crash(('first', 'doc-2', 'bad'))
    pool.serve(5, 'first', 'doc-1')
    assert pool.crash(('first', 'doc-3', 'bad')) == [('bad',)]


def test_part_that_was_served_before_is_left_out_of_the_cause(pool):
    causes = []
    for _ in range(3):
        assert not causes
        causes = pool.crash(('first', 'doc-0', 'bad'))
        pool.serve(5, 'other')
    assert causes == [('bad',)]


def test_explained_crash_blames_nothing_else(pool):
    for number in range(6):
        runner = f'runner-{number}/0'
        known = Loss(f'known-{number}', runner, ('first', 'bad'))
        pool.evidence.note_explained(known)
        assert not pool.crash(('first', 'doc-5'), runner=runner)
        pool.serve(5, 'first', 'doc-1')


# Guards against blaming a popular part because a sound request was reported
# before the one behind the crash.
def test_popular_part_is_not_blamed_before_the_losses_are_complete():
    pool = Pool()
    for turn in range(4):
        assert not pool.crash(('first', 'bad'), ('first', f'doc-{turn}'))
    assert not pool.crash(('first', 'doc-9'), runner='runner-last')
    assert pool.crash(('first', 'bad'), runner='runner-last') == [
        ('first', 'bad')
    ]


def test_popular_part_is_not_blamed_for_a_crash_without_a_known_cause(pool):
    for turn in range(2):
        assert not pool.crash(('first', 'bad'), ('first', f'doc-{turn}'))
        pool.serve(15, 'other')
    assert not pool.crash(('first', 'doc-8'))
    pool.serve(15, 'other')
    assert pool.crash(('first', 'bad')) == [('bad',)]


def test_crashes_that_are_long_past_blame_nothing(pool):
    for turn in range(6):
        assert not pool.crash(('first', f'doc-{turn}', 'rare'))
        pool.serve(5, 'first', 'doc-1')
        pool.now += 601


# Guards against a cause that is not blamed because a part that came with it in
# all crashes but the last is rarer.
def test_part_that_came_with_the_cause_does_not_hide_it(pool):
    for doc in ('doc-7', 'doc-7', 'doc-8'):
        assert not pool.crash(('first', doc, 'bad'))
        pool.serve(5, 'first', 'doc-1')
    pool.now += 0.5
    assert pool.evidence.pop_causes(pool.now) == [('bad',)]
