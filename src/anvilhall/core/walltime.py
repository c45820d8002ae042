"""Unix time that does not follow the jumps of an instance's time of day."""

import statistics

#: Seconds up to which a change of the time of day is an adjustment, which is
#: followed. Instances agree on the time much better than that.
_TOLERANCE_S = 0.25
#: Seconds for which a time that a peer has stated is compared: its clock may be
#: right again after that. Peers that are reached send messages more often.
_FRESH_S = 12.0
#: Checks in a row, one a second, that must differ before the time of the peers
#: replaces the own. A message that waited while this instance was suspended
#: states a time that has passed, which affects one check or two.
_DOUBTFUL_CHECKS = 5
#: The same for the own time of day, if there are too few peers to compare it
#: with. Jumps last for seconds.
_JUMP_CHECKS = 60
#: Least number of clocks, with the own one, whose majority is believed.
_MIN_CLOCKS = 3


class WallTime:
    """Maps a clock that never jumps to Unix time.

    :param elapsed_s: seconds since an arbitrary start that include the time in
        which the process was suspended.
    :param unix_s: Unix time by the time of day.
    """

    __slots__ = ('_checks', '_offset_s', '_stated')

    def __init__(self, elapsed_s: float, unix_s: float) -> None:
        """Start with the time of day."""
        self._offset_s = unix_s - elapsed_s
        #: Offsets that peers have stated, and when they arrived.
        self._stated: dict[str, tuple[float, float]] = {}
        #: Checks in a row in which the offset differed from the reference.
        self._checks = 0

    def read(self, elapsed_s: float, unix_s: float) -> float:
        """Return the Unix time in seconds."""
        offset_s = unix_s - elapsed_s
        if abs(offset_s - self._offset_s) <= _TOLERANCE_S:
            self._offset_s = offset_s
        return elapsed_s + self._offset_s

    def note_stated(self, peer: str, elapsed_s: float, unix_s: float) -> None:
        """Note the Unix time in a message of a peer that has just arrived."""
        self._stated[peer] = (unix_s - elapsed_s, elapsed_s)

    def check(self, elapsed_s: float, unix_s: float, trusted: str) -> float:
        """Compare the time with that of the peers; called once a second.

        :param trusted: peer whose time is believed; empty: the majority's.
        :return: the seconds by which the time was corrected now.
        """
        self._drop_old(elapsed_s)
        reference_s, needed = self._choose_reference(
            unix_s - elapsed_s, trusted
        )
        shift_s = reference_s - self._offset_s
        if abs(shift_s) <= _TOLERANCE_S:
            self._checks = 0
            return 0.0
        self._checks += 1
        if self._checks < needed:
            return 0.0
        self._checks = 0
        self._offset_s = reference_s
        return shift_s

    def _choose_reference(
        self, own_s: float, trusted: str
    ) -> tuple[float, int]:
        """Return the offset to compare with, and the checks that it needs."""
        if trusted:
            reference_s, _ = self._stated.get(trusted, (self._offset_s, 0.0))
            return reference_s, _DOUBTFUL_CHECKS
        clocks = [own_s, *(offset for offset, _ in self._stated.values())]
        if len(clocks) < _MIN_CLOCKS:
            return own_s, _JUMP_CHECKS
        median_s = statistics.median_low(clocks)
        agreeing = sum(
            abs(offset_s - median_s) <= _TOLERANCE_S for offset_s in clocks
        )
        # Without a majority, the time stays as it is.
        agreed = 2 * agreeing > len(clocks)
        return median_s if agreed else self._offset_s, _DOUBTFUL_CHECKS

    def _drop_old(self, elapsed_s: float) -> None:
        self._stated = {
            peer: (offset_s, at_s)
            for peer, (offset_s, at_s) in self._stated.items()
            if elapsed_s - at_s <= _FRESH_S
        }
