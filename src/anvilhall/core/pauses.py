"""Runners that want no requests of this instance for a while."""

#: Longest pause in seconds that is kept at once. A runner that still wants
#: nothing after it says so again.
_MAX_PAUSE_S = 60.0
#: Pauses above which those that are over are dropped.
_MAX_KEPT = 1024


class RunnerPauses:
    """Until when each runner wants nothing, as it said when it refused.

    Runners are named with their start, as a later process has asked for none.
    """

    __slots__ = ('_until',)

    def __init__(self) -> None:
        """Start without pauses."""
        #: Monotonic times in seconds by runner.
        self._until: dict[str, float] = {}

    def note(self, runner: str, pause_s: float, now: float) -> bool:
        """Note that a runner has refused; return whether it was not paused.

        :param pause_s: seconds for which it wants nothing.
        :param now: monotonic seconds.
        """
        begins = not self.is_paused(runner, now)
        if len(self._until) >= _MAX_KEPT:
            self._until = {
                name: self._until[name] for name in self.list_paused(now)
            }
        until = now + min(pause_s, _MAX_PAUSE_S)
        self._until[runner] = max(until, self._until.get(runner, until))
        return begins

    def is_paused(self, runner: str, now: float) -> bool:
        """Return whether a runner wants nothing now."""
        return self.measure_left_s(runner, now) > 0

    def measure_left_s(self, runner: str, now: float) -> float:
        """Return the seconds for which a runner wants nothing."""
        return max(0.0, self._until.get(runner, now) - now)

    def list_paused(self, now: float) -> tuple[str, ...]:
        """Return the runners that want nothing now."""
        return tuple(name for name, until in self._until.items() if until > now)
