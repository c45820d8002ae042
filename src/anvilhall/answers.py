"""Whole answers of keyed requests, kept for repeats of the same key."""

import asyncio
import collections
import contextlib
from collections.abc import Iterator

import msgspec

from anvilhall import defaults
from anvilhall.claims import ClaimKeeper
from anvilhall.core.messages import AnswerAsk, AnswerOffer, Message
from anvilhall.exceptions import (
    AlreadyRun,
    ClaimedBefore,
    PeerUnreachable,
    StillRunning,
)
from anvilhall.fleet import Fleet
from anvilhall.jobs import Job

#: Seconds to wait for another instance's kept answer.
_ASK_TIMEOUT_S = 1.0
_KEPT = 'kept'
_RUNNING = 'running'
_NONE = 'none'

_Place = tuple[str, str]


class CachedAnswer(msgspec.Struct, frozen=True):
    """A whole response."""

    status: int
    content_type: str
    body: bytes


class AnswerCache:
    """Answers of this instance's keyed requests, and the way to the others'.

    Both the number and the size of the answers kept are bounded; a repeat
    whose answer is gone gets a statement instead.
    """

    __slots__ = ('_asked', '_claims', '_fleet', '_kept', '_running')

    def __init__(self, claims: ClaimKeeper, fleet: Fleet) -> None:
        """Start empty."""
        self._claims = claims
        self._fleet = fleet
        self._kept: collections.OrderedDict[_Place, CachedAnswer] = (
            collections.OrderedDict()
        )
        self._running: dict[_Place, asyncio.Future[None]] = {}
        self._asked: dict[_Place, asyncio.Future[AnswerOffer]] = {}
        fleet.handle(AnswerAsk, self._take_ask)
        fleet.handle(AnswerOffer, self._take_offer)

    def store(self, job: Job, answer: CachedAnswer) -> None:
        """Keep the answer of a request."""
        if len(answer.body) > defaults.KEPT_ANSWER_BYTES:
            return
        self._kept[_locate(job)] = answer
        if len(self._kept) > defaults.KEPT_ANSWERS:
            self._kept.popitem(last=False)

    @contextlib.contextmanager
    def track_running(self, job: Job) -> Iterator[None]:
        """Let repeats of a request wait for it while it runs."""
        place = _locate(job)
        if not job.key or place in self._running:
            yield
            return
        ended = asyncio.get_running_loop().create_future()
        self._running[place] = ended
        try:
            yield
        finally:
            self._running.pop(place)
            ended.set_result(None)

    async def find(self, job: Job) -> CachedAnswer | None:
        """Return the answer of an earlier request with the same key.

        Waits for it while it runs.

        :return: ``None`` if no earlier request is known.
        :raises AlreadyRun: if it has run and its answer is gone.
        :raises StillRunning: if it runs on another instance.
        :raises ClaimedBefore: if nothing is known of it.
        :raises KeyReused: if it asked for something else.
        """
        if not job.key or job.settings.idempotent:
            return None
        running = self._running.get(_locate(job))
        if running:
            await asyncio.shield(running)
        try:
            self._claims.check(job)
        except (AlreadyRun, ClaimedBefore, StillRunning):
            kept = await self._fetch(job)
            if kept is None:
                raise
            return kept
        return None

    async def _fetch(self, job: Job) -> CachedAnswer | None:
        place = _locate(job)
        kept = self._kept.get(place)
        if kept:
            return kept
        entry = self._claims.ledger.get(job.account, job.key)
        if entry is None:
            return None
        with contextlib.suppress(PeerUnreachable, TimeoutError):
            offer = await asyncio.wait_for(
                self._ask_instance(entry.claim.instance, place),
                _ASK_TIMEOUT_S,
            )
            return _read_offer(offer)
        return None

    async def _ask_instance(self, name: str, place: _Place) -> AnswerOffer:
        if place not in self._asked:
            loop = asyncio.get_running_loop()
            self._asked[place] = loop.create_future()
        try:
            self._fleet.send(name, AnswerAsk(*place))
            return await asyncio.shield(self._asked[place])
        finally:
            self._asked.pop(place, None)

    def _take_ask(self, sender: str, message: Message) -> None:
        if not isinstance(message, AnswerAsk):
            return
        with contextlib.suppress(PeerUnreachable):
            self._fleet.send(sender, self._build_offer(message))

    def _build_offer(self, ask: AnswerAsk) -> AnswerOffer:
        place = (ask.account, ask.key)
        kept = self._kept.get(place)
        if kept is None:
            state = _RUNNING if place in self._running else _NONE
            return AnswerOffer(ask.account, ask.key, state)
        return AnswerOffer(
            account=ask.account,
            key=ask.key,
            state=_KEPT,
            status=kept.status,
            content_type=kept.content_type,
            body=kept.body,
        )

    def _take_offer(self, _: str, message: Message) -> None:
        if not isinstance(message, AnswerOffer):
            return
        asked = self._asked.get((message.account, message.key))
        if asked and not asked.done():
            asked.set_result(message)


def _read_offer(offer: AnswerOffer) -> CachedAnswer | None:
    if offer.state == _RUNNING:
        raise StillRunning
    if offer.state == _NONE:
        return None
    return CachedAnswer(offer.status, offer.content_type, offer.body)


def _locate(job: Job) -> _Place:
    return job.account, job.key
