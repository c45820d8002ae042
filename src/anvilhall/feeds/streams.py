"""Journal of streams that have begun, in the platform's store.

It is read on demand only. Of the instances of a failure domain, one appends
what the others send it.
"""

import asyncio
import collections
import random
from collections.abc import Callable

from anvilhall.clock import Clock
from anvilhall.core.messages import Message, StreamsBegun
from anvilhall.core.positions import UNREAD
from anvilhall.core.streams import (
    Begun,
    Origin,
    RecordedStreams,
    StreamQueue,
    StreamRecord,
    decode_record,
    encode_record,
    group_streams,
    iterate_streams,
)
from anvilhall.exceptions import (
    AppendUncertain,
    LogUnavailable,
    MalformedData,
    RecordsExpired,
    StoreRestored,
)
from anvilhall.feeds.base import Feed
from anvilhall.feeds.writer import has_no_reader
from anvilhall.logs import log_event
from anvilhall.metrics import Metrics
from anvilhall.platform.store import STREAMS_TOPIC, StoreClient

#: Seconds in which the streams of one append, and of one message to another
#: instance, are collected. Until the append they are lost if both instances
#: are; unlike calls to the store, messages within a failure domain are cheap.
_COLLECT_S = 0.2
_FORWARD_S = 0.02
#: Seconds for which streams are kept that were sent to another instance. If it
#: is replaced, they are recorded again: it may have been lost with them, and a
#: link to a lost instance stays open for some seconds.
_SENT_S = 5.0
_MS_PER_S = 1000.0


class StreamJournal(Feed):
    """Records the streams that begin, and finds those of all instances."""

    __slots__ = (
        '_begun_reads',
        '_complete_reads',
        '_forward',
        '_lock',
        '_next',
        '_queue',
        '_receiver',
        '_recorded',
        '_sent',
        '_wakeup',
        'retention_s',
    )

    def __init__(
        self,
        store: StoreClient,
        clock: Clock,
        metrics: Metrics,
        rng: random.Random,
        forward: Callable[[Begun], str],
    ) -> None:
        """Start with nothing to write and without having read the journal.

        :param forward: sends streams to the instance that appends those of
            this failure domain, and returns its name; empty: this one.
        """
        super().__init__(
            STREAMS_TOPIC, store, clock, metrics, rng, has_no_reader
        )
        self._forward = forward
        #: Instance that was sent the last streams; empty: none.
        self._receiver = ''
        #: Streams sent to it, each batch after the monotonic time.
        self._sent: collections.deque[tuple[float, dict[bytes, Origin]]] = (
            collections.deque()
        )
        #: Age in seconds from which on records are ignored.
        self.retention_s = 0.0
        self._queue = StreamQueue()
        self._wakeup = asyncio.Event()
        self._recorded = RecordedStreams()
        self._next = UNREAD
        #: Held by the look-up that reads.
        self._lock = asyncio.Lock()
        #: Number of reads that have begun, and at the last complete one.
        self._begun_reads = 0
        self._complete_reads = 0

    def add(self, key: bytes, origin: Origin) -> None:
        """Have a stream recorded."""
        if not self._queue.add(key, origin):
            log_event('stream_unrecorded', pool=origin.pool)
        self._wakeup.set()

    def handle_begun(self, sender: str, message: Message) -> None:
        """Have the streams of another instance recorded."""
        assert isinstance(message, StreamsBegun)  # noqa: S101
        for key, origin in iterate_streams(message.begun):
            self._recorded.add(key, origin)
            self.add(key, origin)

    async def find(self, key: bytes) -> Origin | None:
        """Return where a stream began.

        A stream that is not known is looked for in the records that are stored
        at the time of the call.

        :raises LogUnavailable: if the journal can't be read.
        """
        begun_reads = self._begun_reads
        if self._recorded.find(key) is None:
            async with self._lock:
                # Another look-up may have begun and ended a read meanwhile.
                if self._complete_reads <= begun_reads:
                    await self._read_new()
        return self._recorded.find(key)

    async def _follow_topic(self) -> None:
        while True:
            if not self._queue:
                await self._wakeup.wait()
            await asyncio.sleep(_FORWARD_S if self._receiver else _COLLECT_S)
            self._wakeup.clear()
            while self._queue:
                await self._write()

    async def _write(self) -> None:
        # A failed write leaves the streams in the queue.
        streams = self._queue.peek()
        begun = group_streams(streams)
        receiver = self._forward(begun)
        self._note_receiver(receiver)
        if receiver:
            self._sent.append((self._clock.monotonic(), streams))
        else:
            written_ms = self._clock.now().timestamp() * _MS_PER_S
            record = encode_record(StreamRecord(written_ms, begun))
            try:
                await self._store.append(self._topic, record)
            except AppendUncertain as error:
                # Repeating it is safe: a stream may be recorded twice.
                raise LogUnavailable(error.reason) from error
            self._record_success()
        self._queue.discard(streams)

    def _note_receiver(self, receiver: str) -> None:
        """Have the last streams recorded again if the receiver has changed."""
        earliest_at = self._clock.monotonic() - _SENT_S
        while self._sent and self._sent[0][0] < earliest_at:
            self._sent.popleft()
        if receiver != self._receiver:
            self._receiver = receiver
            sent = {
                key: origin
                for _, streams in self._sent
                for key, origin in streams.items()
            }
            self._sent.clear()
            for key, origin in sent.items():
                # What waits in the queue is newer.
                if key not in self._queue:
                    self.add(key, origin)

    async def _read_new(self) -> None:
        self._begun_reads += 1
        complete = False
        while not complete:
            complete = await self._read_page()
        self._complete_reads = self._begun_reads

    async def _read_page(self) -> bool:
        """Read the next records.

        :return: whether there are no further ones.
        """
        try:
            page = await self._store.read_raw(self._topic, self._next)
        except RecordsExpired:
            self._next = await self._store.find_first(self._topic)
            return False
        except StoreRestored as restored:
            log_event(
                'store_restored', topic=self._topic, reason=restored.reason
            )
            self._next = UNREAD
            return False
        oldest_ms = (
            self._clock.now().timestamp() - self.retention_s
        ) * _MS_PER_S
        for content in page.records:
            self._apply_record(content, oldest_ms)
        self._next = page.next
        return page.complete

    def _apply_record(self, content: bytes, oldest_ms: float) -> None:
        try:
            record = decode_record(content)
        except MalformedData as error:
            log_event('record_unusable', topic=self._topic, reason=error.reason)
            return
        if record.written_ms >= oldest_ms:
            for key, origin in iterate_streams(record.begun):
                self._recorded.add(key, origin)
