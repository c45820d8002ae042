"""Screening of one shard's requests for prompts that crash runners."""

from collections.abc import Iterable

from anvilhall.core.evidence import CrashEvidence, Loss
from anvilhall.core.messages import Ask, Release, get_request_id
from anvilhall.core.quarantine import Quarantine
from anvilhall.core.queues import QueuedRequest
from anvilhall.exceptions import Quarantined, UpstreamCut

#: Seconds of output after which a request is not behind a crash of its runner:
#: a prompt that crashes runners does so as its answer begins. Reports of the
#: first token may be late.
_BEGIN_S = 1.0
#: Crashes that one request may meet, if its prompt has parts that are suspected
#: of them.
_MAX_CRASHES = 2


class _Run:
    """A request on a runner."""

    __slots__ = ('first_token_at', 'parts')

    def __init__(self, parts: tuple[str, ...]) -> None:
        self.parts = parts
        #: Monotonic time at which its first token was reported.
        self.first_token_at: float | None = None


class Screening:
    """Refuses quarantined prompts and finds further ones by their crashes.

    :param quarantine: prompts to refuse; shared with the other shards.
    :param may_probe: whether to let through probes of them.
    """

    __slots__ = (
        '_evidence',
        '_known_changes',
        '_may_probe',
        '_quarantine',
        '_runs',
    )

    def __init__(self, quarantine: Quarantine, *, may_probe: bool) -> None:
        """Start without requests."""
        self._quarantine = quarantine
        self._may_probe = may_probe
        self._evidence = CrashEvidence()
        #: Requests on runners whose content is known, by identifier.
        self._runs: dict[str, _Run] = {}
        self._known_changes = quarantine.change_count

    def check(self, ask: Ask, now: float) -> None:
        """Refuse a request whose prompt is quarantined, unless it is a probe.

        One that several crashes have cut is not sent to a further runner.

        :param now: monotonic seconds.
        :raises Quarantined: if the request must not run.
        """
        parts = ask.part_names
        self._quarantine.check(
            ask.request_id, parts, now, may_probe=self._may_probe
        )
        # A digest says nothing of the content, so that it does not count here:
        # other requests show whether a prompt's parts are sound.
        crashes = self._evidence.count_crashes(
            get_request_id(ask.request_id), parts[: len(ask.parts)]
        )
        if crashes >= _MAX_CRASHES:
            raise Quarantined(
                f'{crashes} runners have crashed as they began to answer it'
            )

    def list_refused(
        self, waiting: Iterable[QueuedRequest], now: float
    ) -> list[tuple[QueuedRequest, Quarantined]]:
        """Return the waiting requests that a change of the quarantine refuses.

        Each change is looked at once.
        """
        if self._known_changes == self._quarantine.change_count:
            return []
        self._known_changes = self._quarantine.change_count
        refused: list[tuple[QueuedRequest, Quarantined]] = []
        for queued in waiting:
            try:
                self.check(queued.ask, now)
            except Quarantined as error:
                refused.append((queued, error))
        return refused

    def note_grant(self, request_id: str, parts: tuple[str, ...]) -> None:
        """Note that a request is sent to a runner."""
        if parts:
            self._runs[request_id] = _Run(parts)

    def note_first_token(self, request_id: str, now: float) -> None:
        """Note that a runner has begun to answer a request."""
        run = self._runs.get(request_id)
        if run and run.first_token_at is None:
            run.first_token_at = now

    def note_release(self, release: Release, runner: str, now: float) -> None:
        """Note how a request has ended.

        :param runner: identifies the start of the runner.
        """
        run = self._runs.get(release.request_id)
        if run is None:
            return
        if release.served:
            self._evidence.note_served(run.parts)
            self._quarantine.note_served(run.parts, now)
        elif release.failure == UpstreamCut.code:
            request_id = get_request_id(release.request_id)
            loss = Loss(request_id, runner, run.parts)
            self._note_loss(loss, run.first_token_at, now)
        for cause in self._evidence.pop_causes(now):
            self._quarantine.add(cause, now)

    def adopt_losses(self, losses: Iterable[Loss], now: float) -> None:
        """Count requests that were cut under a previous owner."""
        for loss in losses:
            self._count_loss(loss, now)

    def forget(self, request_id: str) -> None:
        """Stop tracking a request that has ended or was refused."""
        self._runs.pop(request_id, None)
        self._quarantine.end_probe(request_id)

    def _note_loss(
        self, loss: Loss, begun_at: float | None, now: float
    ) -> None:
        if begun_at is not None and now - begun_at >= _BEGIN_S:
            self._evidence.note_served(loss.parts)
        else:
            self._count_loss(loss, now)

    def _count_loss(self, loss: Loss, now: float) -> None:
        if self._quarantine.note_loss(loss.parts, now):
            self._evidence.note_explained(loss)
        else:
            self._evidence.note_loss(loss, now)
