"""Cache of responses to requests with an idempotency key."""

import asyncio
import collections
import contextlib
from collections.abc import Iterator

import msgspec

from anvilhall import defaults
from anvilhall.claims import ClaimManager
from anvilhall.clock import Clock
from anvilhall.core.messages import AnswerAsk, AnswerOffer, Message
from anvilhall.exceptions import (
    AlreadyRun,
    ClaimedBefore,
    PeerUnreachable,
    StillRunning,
)
from anvilhall.fleet import Fleet
from anvilhall.jobs import Job

#: Seconds to wait for the cached response of another instance.
_ASK_TIMEOUT_S = 1.0
_KEPT = 'kept'
_RUNNING = 'running'
_NONE = 'none'

_CacheKey = tuple[str, str]


class CachedAnswer(msgspec.Struct, frozen=True):
    """A complete response."""

    status: int
    content_type: str
    body: bytes


class AnswerCache:
    """Bounded cache of responses to keyed requests, shared between instances.

    Each instance caches the responses that it sent; repeats that arrive at
    another instance fetch them over a link. Both the number of responses and
    the size of each are limited. A repeat of a request whose response is no
    longer cached gets an error that says whether the request has run.

    :param claims: checks idempotency keys against the ledger.
    :param fleet: links to the other instances.
    :param clock: source of time.
    """

    __slots__ = (
        '_claims',
        '_clock',
        '_fleet',
        '_pending',
        '_responses',
        '_running',
    )

    def __init__(
        self, claims: ClaimManager, fleet: Fleet, clock: Clock
    ) -> None:
        """Create an empty cache and handle its messages."""
        self._claims = claims
        self._clock = clock
        self._fleet = fleet
        self._responses: collections.OrderedDict[_CacheKey, CachedAnswer] = (
            collections.OrderedDict()
        )
        self._running: dict[_CacheKey, asyncio.Future[None]] = {}
        #: One future for each look-up that waits for a peer's response.
        self._pending: dict[_CacheKey, list[asyncio.Future[AnswerOffer]]] = {}
        fleet.add_handler(AnswerAsk, self._handle_ask)
        fleet.add_handler(AnswerOffer, self._handle_offer)

    def store(self, job: Job, answer: CachedAnswer) -> None:
        """Cache the response to a request unless it is too large."""
        if len(answer.body) > defaults.ANSWER_CACHE_ENTRY_BYTES:
            return
        self._responses[_get_cache_key(job)] = answer
        if len(self._responses) > defaults.ANSWER_CACHE_SIZE:
            self._responses.popitem(last=False)

    @contextlib.contextmanager
    def track_running(self, job: Job) -> Iterator[None]:
        """Let repeats of a request wait until it ends."""
        cache_key = _get_cache_key(job)
        if not job.key or cache_key in self._running:
            yield
            return
        ended = asyncio.get_running_loop().create_future()
        self._running[cache_key] = ended
        try:
            yield
        finally:
            self._running.pop(cache_key)
            ended.set_result(None)

    async def find(self, job: Job) -> CachedAnswer | None:
        """Return the response to an earlier request with the same key.

        If that request is running on this instance, waits until it ends, or
        until the job's deadline.

        :return: ``None`` if no earlier request is known.
        :raises AlreadyRun: if the earlier request has run and its response is
            no longer cached.
        :raises StillRunning: if it is running on another instance.
        :raises ClaimedBefore: if the key is claimed and it is unknown whether
            the request has run.
        :raises KeyReused: if it had another body.
        """
        if not job.key or job.settings.idempotent:
            return None
        running = self._running.get(_get_cache_key(job))
        if running:
            left_s = job.deadline_at - self._clock.monotonic()
            # At the deadline, the claim of the other request says what became
            # of it.
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left_s):
                    await asyncio.shield(running)
        try:
            self._claims.check(job)
        except (AlreadyRun, ClaimedBefore, StillRunning):
            cached = await self._fetch(job)
            if cached is None:
                raise
            return cached
        return None

    async def _fetch(self, job: Job) -> CachedAnswer | None:
        cache_key = _get_cache_key(job)
        cached = self._responses.get(cache_key)
        if cached:
            return cached
        entry = self._claims.ledger.get(job.account, job.key)
        if entry is None:
            return None
        with contextlib.suppress(PeerUnreachable, TimeoutError):
            offer = await asyncio.wait_for(
                self._request_answer(entry.claim.instance, cache_key),
                _ASK_TIMEOUT_S,
            )
            return _decode_offer(offer)
        return None

    async def _request_answer(
        self, name: str, cache_key: _CacheKey
    ) -> AnswerOffer:
        loop = asyncio.get_running_loop()
        offered: asyncio.Future[AnswerOffer] = loop.create_future()
        waiting = self._pending.setdefault(cache_key, [])
        waiting.append(offered)
        try:
            self._fleet.send(name, AnswerAsk(*cache_key))
            return await offered
        finally:
            waiting.remove(offered)
            if not waiting:
                self._pending.pop(cache_key, None)

    def _handle_ask(self, sender: str, message: Message) -> None:
        if not isinstance(message, AnswerAsk):
            return
        with contextlib.suppress(PeerUnreachable):
            self._fleet.send(sender, self._build_offer(message))

    def _build_offer(self, ask: AnswerAsk) -> AnswerOffer:
        cache_key = (ask.account, ask.key)
        cached = self._responses.get(cache_key)
        if cached is None:
            state = _RUNNING if cache_key in self._running else _NONE
            return AnswerOffer(ask.account, ask.key, state)
        return AnswerOffer(
            account=ask.account,
            key=ask.key,
            state=_KEPT,
            status=cached.status,
            content_type=cached.content_type,
            body=cached.body,
        )

    def _handle_offer(self, _: str, message: Message) -> None:
        if not isinstance(message, AnswerOffer):
            return
        waiting = self._pending.get((message.account, message.key), ())
        for offered in waiting:
            if not offered.done():
                offered.set_result(message)


def _decode_offer(offer: AnswerOffer) -> CachedAnswer | None:
    if offer.state == _RUNNING:
        raise StillRunning
    if offer.state == _NONE:
        return None
    return CachedAnswer(offer.status, offer.content_type, offer.body)


def _get_cache_key(job: Job) -> _CacheKey:
    return job.account, job.key
