"""What runners say of themselves in their answers.

An answer may be newer than the runner's entry in the registry, which an
instance that is cut off from the registry does not get at all.
"""

from collections.abc import Callable

import msgspec

from anvilhall.clock import Clock
from anvilhall.core.directory import Directory
from anvilhall.core.messages import Ask, Grant, Message, RunnerLeaving
from anvilhall.core.pauses import RunnerPauses
from anvilhall.core.runners import name_start
from anvilhall.exceptions import Overloaded


class RunnerNotices:
    """Runners that leave, or want no requests of this instance for a while.

    :param directory: lists the runners; those that leave are marked there.
    """

    __slots__ = ('_clock', '_directory', 'broadcast', 'on_change', 'pauses')

    def __init__(self, directory: Directory, clock: Clock) -> None:
        """Start without notices."""
        self._directory = directory
        self._clock = clock
        self.pauses = RunnerPauses()
        #: Sends a message to all linked instances.
        self.broadcast: Callable[[Message], None] = _drop
        #: Called when a runner was marked as leaving.
        self.on_change: Callable[[], None] = _do_nothing

    def note_leaving(self, grant: Grant) -> bool:
        """Note that a grant's runner has said that it leaves.

        :return: whether this was not known.
        """
        notice = RunnerLeaving(grant.runner, grant.born, grant.address)
        if not self._mark(notice):
            return False
        self.broadcast(notice)
        return True

    def handle_leaving(self, _: str, message: Message) -> None:
        """Note that a runner has told another instance that it leaves."""
        assert isinstance(message, RunnerLeaving)  # noqa: S101
        self._mark(message)

    def leaves(self, grant: Grant) -> bool:
        """Return whether the process of a grant leaves or may have left."""
        runner = grant.runner
        born = self._directory.get_born(runner)
        return self._directory.is_leaving(runner) and born in {0, grant.born}

    def note_pause(self, grant: Grant, pause_s: float) -> bool:
        """Note that a runner wants nothing; return whether it was not known.

        It holds for this start of the runner only.

        :param pause_s: seconds for which it wants nothing.
        """
        return self.pauses.note(
            name_start(grant.runner, grant.born),
            pause_s,
            self._clock.monotonic(),
        )

    def is_paused(self, runner: str) -> bool:
        """Return whether a runner wants nothing now."""
        return self._measure_pause_s(runner) > 0

    def avoid_paused(self, ask: Ask) -> Ask:
        """Return an ask that avoids the runners that want nothing."""
        if not self.pauses.list_paused(self._clock.monotonic()):
            return ask
        paused = [
            runner.name
            for runner in self._directory.list_runners(ask.pool)
            if self.is_paused(runner.name)
        ]
        return msgspec.structs.replace(ask, avoid=(*ask.avoid, *paused))

    def find_refusal(self, ask: Ask) -> Overloaded | None:
        """Return the refusal of a request that no runner wants for now."""
        now = self._clock.monotonic()
        if not self.pauses.list_paused(now):
            return None
        pause_s = min(
            (
                self._measure_pause_s(runner.name)
                for runner in self._directory.list_runners(ask.pool)
                if not runner.leaving
            ),
            default=0.0,
        )
        if not pause_s:
            return None
        return Overloaded(
            f'all runners of pool {ask.pool!r} want no requests for '
            f'{pause_s:.2f} s',
            pause_s,
        )

    def _measure_pause_s(self, runner: str) -> float:
        start = name_start(runner, self._directory.get_born(runner))
        return self.pauses.measure_left_s(start, self._clock.monotonic())

    def _mark(self, notice: RunnerLeaving) -> bool:
        marked = self._directory.note_leaving(
            notice.runner, notice.born, notice.address
        )
        if marked:
            self.on_change()
        return marked


def _drop(message: Message) -> None:
    """Send a message to nobody."""


def _do_nothing() -> None:
    """Do nothing."""
