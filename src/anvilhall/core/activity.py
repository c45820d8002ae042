"""When each runner last sent something on this instance's streams."""


class _Activity:
    """Open streams of one runner and the last sign of life on them."""

    __slots__ = ('heard_at', 'streams')

    def __init__(self, now: float) -> None:
        #: Monotonic time of the last chunk, or of the first stream's start.
        self.heard_at = now
        self.streams = 0


class RunnerActivity:
    """Runners that have open streams of this instance."""

    __slots__ = ('_runners',)

    def __init__(self) -> None:
        """Start without streams."""
        self._runners: dict[str, _Activity] = {}

    def begin(self, runner: str, now: float) -> None:
        """Note that a stream begins; ``now`` in monotonic seconds.

        It is no sign of life of a runner that has other open streams.
        """
        activity = self._runners.setdefault(runner, _Activity(now))
        activity.streams += 1

    def note(self, runner: str, now: float) -> None:
        """Note that a runner has sent a chunk of a stream."""
        activity = self._runners.get(runner)
        if activity:
            activity.heard_at = now

    def end(self, runner: str) -> None:
        """Note that a stream has ended."""
        activity = self._runners[runner]
        activity.streams -= 1
        if not activity.streams:
            self._runners.pop(runner)

    def list_silent(self, since: float) -> frozenset[str]:
        """Return the runners whose open streams have all been silent.

        :param since: monotonic time from which on they have sent nothing.
        """
        return frozenset(
            runner
            for runner, activity in self._runners.items()
            if activity.heard_at <= since
        )
