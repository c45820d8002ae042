"""Up to which moment a view of the registry is known to be complete.

The age of a view counts from its last change of any source. To conclude from a
view that something is absent, it must have covered the registry recently: what
a read returns is as old as its start, and what a peer reports is as old as the
peer's read. A report that comes after a silence may have waited in a buffer, as
while this process was suspended or its network was cut off.
"""

from anvilhall.core.views import OUTAGE_AFTER_S, RECOVERY_GRACE_S

#: Seconds for which a read proves a view complete. This exceeds the interval of
#: reads; between them, peers pass on what they have read.
MAX_LAG_S = 1.0
#: Seconds after a silence in which reports may still come from a buffer.
_SETTLING_S = 1.0


class Coverage:
    """Follows the reads of the registry that a view contains."""

    __slots__ = (
        '_complete_at',
        '_covered_at',
        '_era',
        '_failed',
        '_recovered_at',
        '_heard_at',
        '_settled_at',
        'lapses',
    )

    def __init__(self) -> None:
        """Start without a read."""
        #: Monotonic time at which the last read began; ``None``: no read.
        self._covered_at: float | None = None
        #: Monotonic time from which on reads are complete.
        self._complete_at = 0.0
        #: Era of the registry at the last read; -1: no read.
        self._era = -1
        #: Monotonic time of a peer's last report; ``None``: no report.
        self._heard_at: float | None = None
        #: Monotonic time from which on reports are believed.
        self._settled_at = 0.0
        #: Monotonic time from which on all entries are written again that may
        #: have been missing after an outage.
        self._recovered_at = 0.0
        #: Whether a read has failed since the last one.
        self._failed = False
        #: Number of pauses between reads in which entries may have been added
        #: and removed unseen.
        self.lapses = 0

    def note_read(self, began_at: float, era: int, now: float) -> None:
        """Note a read of this instance.

        :param began_at: monotonic time at which the registry was asked.
        :param era: era of the registry.
        """
        if self._failed:
            # Runners that have started during an outage write their entries
            # some time after it.
            self._failed = False
            self.note_recovery(RECOVERY_GRACE_S, now)
        last = began_at if self._covered_at is None else self._covered_at
        if began_at - last > OUTAGE_AFTER_S:
            self.lapses += 1
            if era > self._era:
                # The registry may lack runners that came during the lapse.
                self._complete_at = now + RECOVERY_GRACE_S
        self._covered_at = max(last, began_at)
        self._era = max(self._era, era)

    def note_failure(self) -> None:
        """Note that the registry did not answer a read."""
        self._failed = True

    def note_recovery(self, left_s: float, now: float) -> None:
        """Note that entries may be missing after an outage of the registry.

        :param left_s: seconds for which they may be missing yet; 0: none are.
        """
        if left_s > 0:
            self._recovered_at = max(self._recovered_at, now + left_s)

    def measure_recovery_s(self, now: float) -> float:
        """Return the seconds for which entries may be missing yet."""
        return max(0.0, self._recovered_at - now)

    def note_report(self, now: float) -> None:
        """Note that a peer reports a read, whatever it has read."""
        last = self._heard_at
        if last is not None and now - last > MAX_LAG_S:
            self._settled_at = now + _SETTLING_S
        self._heard_at = now

    def note_same(self, age_s: float, era: int, now: float) -> None:
        """Note that the read that a peer has just reported equals the view.

        :param age_s: seconds from the start of that read to the report.
        """
        if now >= self._settled_at:
            self.note_read(now - max(0.0, age_s), era, now)

    def measure_lag_s(self, now: float) -> float | None:
        """Return the seconds since the covered moment.

        :return: ``None`` if there is none.
        """
        if self._covered_at is None or now < self._complete_at:
            return None
        return now - self._covered_at
