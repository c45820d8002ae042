"""Finds the content whose requests crash runners.

A request is known by the parts of its prompt or, if it has none, by a digest of
itself, which counts as a part.

A crash cuts all requests of a runner, of which at most a few caused it. The
requests that cause crashes share prompt parts, and no request with all of those
parts is ever served. A part is therefore a suspect from the first crash that
cuts a request with it until a request with it is served.
"""

import collections
import hashlib
from collections.abc import Iterable
from typing import Any

import msgspec

#: Crashes with a suspected part, without a served request with it, after which
#: the part is a cause.
_CRASHES = 3
#: The same for a part of a known cause that crashes runners without the rest of
#: it, and that was never served.
_CRASHES_OF_KNOWN_PART = 2
#: Requests with the part among those crashes. One request alone may have been
#: cut several times by chance.
_REQUESTS = 2
#: Requests without the part that must be served from the first of the crashes
#: on: where next to nothing is served, the part is not the reason. The second
#: number is for a part that was served before, such as one that most requests
#: have: crashes of several runners at once cut many of its requests.
_SERVED_OTHERS = 3
_SERVED_OTHERS_THAN_SOUND = 10
#: Crashes after which a part that was never served is a cause even if nothing
#: else is served, and the least seconds from the first to the last of them:
#: runners that are lost together crash at the same time.
_CRASHES_ALONE = 5
_CRASHES_ALONE_SPAN_S = 0.3
#: Seconds in which the losses of one crash are reported.
_REPORT_S = 0.5
#: Seconds after its last crash at which a part is no longer suspected.
_SUSPICION_S = 600.0
#: Limits on the parts and crashes that are kept.
_MAX_SUSPECTS = 4096
_MAX_SOUND = 8192
_MAX_CRASHES = 256


_DIGEST_BYTES = 8


def digest_request(account: str, method: str, target: str, body: bytes) -> str:
    """Return a digest by which a request is known when it comes again."""
    head = '\0'.join((account, method, target, ''))
    digest = hashlib.blake2b(
        head.encode('utf-8', 'surrogateescape'), digest_size=_DIGEST_BYTES
    )
    digest.update(body)
    return digest.hexdigest()


class Loss(msgspec.Struct, frozen=True, array_like=True):
    """A request that was cut as it was being read or its answer began."""

    request_id: str
    #: Identifies one start of a runner, which can crash only once.
    runner: str
    #: Identifiers of the request's content: the parts of its prompt in order.
    parts: tuple[str, ...]


class _Suspect:
    """A part of requests that were cut, none of which was served since."""

    __slots__ = ('crashes', 'first_at', 'last_at', 'served_before')

    def __init__(self, served_before: int, now: float) -> None:
        #: Monotonic times of the first and the last loss.
        self.first_at = now
        self.last_at = now
        #: Requests with the part that were cut in each crash.
        self.crashes: dict[str, dict[str, Loss]] = {}
        #: Requests of the pool served before the first of the crashes.
        self.served_before = served_before

    @property
    def span_s(self) -> float:
        """Seconds from the first to the last loss."""
        return self.last_at - self.first_at

    def add(self, loss: Loss, now: float) -> None:
        self.last_at = now
        losses = self.crashes.setdefault(loss.runner, {})
        losses[loss.request_id] = loss

    def list_losses(self) -> list[Loss]:
        return [
            loss for losses in self.crashes.values() for loss in losses.values()
        ]

    def count_requests(self) -> int:
        return len({loss.request_id for loss in self.list_losses()})


class CrashEvidence:
    """Crashes of the runners of one pool and the requests that they cut."""

    __slots__ = (
        '_explained',
        '_known',
        '_repeated',
        '_served',
        '_sound',
        '_suspects',
    )

    def __init__(self) -> None:
        """Start without crashes."""
        self._suspects: collections.OrderedDict[str, _Suspect] = (
            collections.OrderedDict()
        )
        #: Parts that several crashes have in common.
        self._repeated: set[str] = set()
        #: Crashes of which the cause is known.
        self._explained: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        #: Parts of the causes found, oldest first.
        self._known: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        #: Parts of served requests, least recently served first.
        self._sound: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self._served = 0

    def note_served(self, parts: Iterable[str]) -> None:
        """Clear the parts of a request that a runner has answered."""
        self._served += 1
        for part in parts:
            self._suspects.pop(part, None)
            self._sound[part] = None
            self._sound.move_to_end(part)
        _trim(self._sound, _MAX_SOUND)

    def note_loss(self, loss: Loss, now: float) -> None:
        """Add a request that was cut.

        :param now: monotonic seconds.
        """
        self._forget_old(now - _SUSPICION_S)
        if loss.runner in self._explained:
            return
        for part in loss.parts:
            suspect = self._suspects.get(part)
            if suspect is None:
                suspect = _Suspect(self._served, now)
                self._suspects[part] = suspect
            suspect.add(loss, now)
            self._suspects.move_to_end(part)
            if len(suspect.crashes) >= _CRASHES_OF_KNOWN_PART:
                self._repeated.add(part)
        _trim(self._suspects, _MAX_SUSPECTS)

    def count_crashes(self, request_id: str, parts: Iterable[str]) -> int:
        """Return the crashes that cut a request, unless its parts are sound."""
        suspects = (self._suspects.get(part) for part in parts)
        return max(
            (
                sum(request_id in losses for losses in suspect.crashes.values())
                for suspect in suspects
                if suspect
            ),
            default=0,
        )

    def note_explained(self, loss: Loss) -> None:
        """Disregard a crash of which the cause is known."""
        self._explain((loss.runner,))

    def pop_causes(self, now: float) -> list[tuple[str, ...]]:
        """Return the parts that the requests behind crashes have in common.

        Each result is a set of parts that crashes runners if a prompt has all
        of them. It is returned once, and its crashes count for no other part.

        :param now: monotonic seconds.
        """
        self._repeated = {
            part for part in self._repeated if part in self._suspects
        }
        ripe = {
            part: self._suspects[part]
            for part in sorted(self._repeated)
            if self._is_ripe(part, self._suspects[part])
            and not self._may_be_beside(part, now)
        }
        if not ripe:
            return []
        # A part that many of the requests have was cut beside the cause.
        fewest = min(map(_get_rarity, ripe.values()))
        causes: set[tuple[str, ...]] = set()
        crashes: set[str] = set()
        for part, suspect in ripe.items():
            if _get_rarity(suspect) == fewest:
                causes.add(self._list_common_parts(part, suspect))
                crashes.update(suspect.crashes)
        for cause in causes:
            self._known.update(dict.fromkeys(cause))
        _trim(self._known, _MAX_SUSPECTS)
        self._explain(crashes)
        return sorted(causes)

    def _forget_old(self, oldest: float) -> None:
        # Suspects are in the order of their last crashes.
        while self._suspects:
            suspect = next(iter(self._suspects.values()))
            if suspect.last_at >= oldest:
                return
            self._suspects.popitem(last=False)

    def _is_ripe(self, part: str, suspect: _Suspect) -> bool:
        sound = part in self._sound
        crashes = len(suspect.crashes)
        if part in self._known and not sound:
            return crashes >= _CRASHES_OF_KNOWN_PART
        if suspect.count_requests() < _REQUESTS:
            return False
        if crashes >= _CRASHES_ALONE and not sound:
            return suspect.span_s >= _CRASHES_ALONE_SPAN_S
        others = _SERVED_OTHERS_THAN_SOUND if sound else _SERVED_OTHERS
        served = self._served - suspect.served_before
        return crashes >= _CRASHES and served >= others

    def _may_be_beside(self, part: str, now: float) -> bool:
        """Return whether a part may only have been cut beside the cause.

        That is so if a rarer part accounts for all of its crashes but one, in
        which the loss of that part may not have been reported yet.
        """
        suspect = self._suspects[part]
        if part not in self._sound and now - suspect.last_at >= _REPORT_S:
            return False
        losses = suspect.count_requests()
        least = max(_CRASHES_OF_KNOWN_PART, len(suspect.crashes) - 1)
        return any(
            len(other.crashes.keys() & suspect.crashes.keys()) >= least
            and other.count_requests() < losses
            for other in map(self._suspects.__getitem__, self._repeated)
        )

    def _list_common_parts(
        self, part: str, suspect: _Suspect
    ) -> tuple[str, ...]:
        """Return the suspected parts of all requests with a part, in order.

        Parts that were served before are left out if others were never served.
        """
        losses = suspect.list_losses()
        common = set(losses[0].parts).intersection(
            *(loss.parts for loss in losses[1:])
        )
        suspected = tuple(
            other
            for other in losses[0].parts
            if other == part
            or (other in common and self._has_crashes(other, suspect))
        )
        never_served = tuple(
            other for other in suspected if other not in self._sound
        )
        return never_served or suspected

    def _has_crashes(self, part: str, suspect: _Suspect) -> bool:
        """Return whether a part is suspected of all crashes of another."""
        other = self._suspects.get(part)
        return other is not None and suspect.crashes.keys() <= (
            other.crashes.keys()
        )

    def _explain(self, crashes: Iterable[str]) -> None:
        for crash in crashes:
            self._explained[crash] = None
        _trim(self._explained, _MAX_CRASHES)
        for part, suspect in list(self._suspects.items()):
            for crash in crashes:
                suspect.crashes.pop(crash, None)
            if not suspect.crashes:
                self._suspects.pop(part)


def _trim(
    items: collections.OrderedDict[str, Any],
    limit: int,
) -> None:
    """Remove the oldest items beyond a limit."""
    while len(items) > limit:
        items.popitem(last=False)


def _get_rarity(suspect: _Suspect) -> float:
    """Return how many requests with a part each of its crashes cut."""
    return len(suspect.list_losses()) / len(suspect.crashes)
