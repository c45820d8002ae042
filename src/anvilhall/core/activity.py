"""When each runner last sent something on this instance's streams."""


class _Activity:
    """Open streams of one runner and the last sign of life on them."""

    __slots__ = ('begun', 'heard_at', 'stalled', 'streams', 'suspended')

    def __init__(self, now: float) -> None:
        #: Monotonic time of the last chunk, or of the first stream's start.
        self.heard_at = now
        self.streams = 0
        #: Streams that have sent something.
        self.begun = 0
        #: Streams that have reached their stall limit.
        self.stalled = 0
        #: Streams that are not read, as their callers are slower.
        self.suspended = 0


class RunnerActivity:
    """Runners that have open streams of this instance.

    A runner may take long for the first event of a sound stream. Such streams
    are evidence of silence only once they have reached their own stall limit.
    """

    __slots__ = ('_runners',)

    def __init__(self) -> None:
        """Start without streams."""
        self._runners: dict[str, _Activity] = {}

    def begin(self, runner: str, now: float) -> None:
        """Note that a stream is sent; ``now`` in monotonic seconds.

        It is no sign of life of a runner that has other open streams.
        """
        activity = self._runners.setdefault(runner, _Activity(now))
        activity.streams += 1

    def note(self, runner: str, now: float) -> None:
        """Note that a runner has sent a chunk of a stream."""
        activity = self._runners.get(runner)
        if activity:
            activity.heard_at = now

    def note_begun(self, runner: str) -> None:
        """Note that a stream has sent something for the first time."""
        self._runners[runner].begun += 1

    def begin_stall(self, runner: str) -> None:
        """Note that a stream has reached its stall limit."""
        activity = self._runners.get(runner)
        if activity:
            activity.stalled += 1

    def end_stall(self, runner: str) -> None:
        """Note that a stalled stream has gone on or ended."""
        activity = self._runners.get(runner)
        if activity:
            activity.stalled = max(0, activity.stalled - 1)

    def suspend(self, runner: str) -> None:
        """Note that a stream is not read for now."""
        activity = self._runners.get(runner)
        if activity:
            activity.suspended += 1

    def resume(self, runner: str, now: float) -> None:
        """Note that a suspended stream is read on.

        What the runner sent meanwhile is not known.
        """
        activity = self._runners.get(runner)
        if activity:
            activity.suspended -= 1
            activity.heard_at = now

    def end(self, runner: str, *, begun: bool, suspended: bool = False) -> None:
        """Note that a stream has ended.

        :param begun: whether it has sent something.
        :param suspended: whether it is suspended.
        """
        activity = self._runners[runner]
        activity.streams -= 1
        activity.begun -= begun
        activity.suspended -= suspended
        if not activity.streams:
            self._runners.pop(runner)

    def list_silent(self, since: float) -> frozenset[str]:
        """Return the runners whose begun or stalled streams are all silent.

        :param since: monotonic time from which on they have sent nothing.
        """
        return frozenset(
            runner
            for runner, activity in self._runners.items()
            if activity.heard_at <= since
            and (activity.begun > activity.suspended or activity.stalled)
        )
