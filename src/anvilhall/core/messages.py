"""Typed messages on the links between instances.

They are encoded as CBOR arrays. Messages between an entry instance and the
owner of a shard are passed in memory if both are the same instance.
"""

from typing import Any

import cbor2
import msgspec

from anvilhall.core.evidence import Loss
from anvilhall.core.members import Member
from anvilhall.core.positions import Position
from anvilhall.core.quarantine import QuarantineEntry
from anvilhall.core.usage import UsageRow
from anvilhall.exceptions import PeerProtocolBroken

#: Separates a request's identifier from the number of a further grant. The
#: identifiers that callers send contain no line break.
_GRANT_MARK = '\n'


def name_grant(held: str, number: int) -> str:
    """Return the identifier of a further grant for a request.

    :param held: identifier of the grant that the request holds.
    :param number: number of the ask, from 1 on.
    """
    return f'{held}{_GRANT_MARK}{number}'


def get_request_id(grant_id: str) -> str:
    """Return the identifier of the request that a grant is for."""
    return grant_id.partition(_GRANT_MARK)[0]


class _Message(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base of all messages: an array of the class name and the fields."""


class Ask(_Message, frozen=True):
    """Asks an owner to grant a request a slot on a runner."""

    pool: str
    request_id: str
    class_name: str
    account: str
    #: Size of the prompt in tokens: stated by the caller, or estimated from the
    #: prompt's bytes.
    prompt_tokens: int
    #: Upper bound of the answer's size, in tokens.
    max_tokens: int
    #: Seconds from the creation of the message until the deadline.
    deadline_s: float
    #: Leading parts of the prompt that other requests may share, so that they
    #: may be in a prefix cache, in order: key and size in tokens of each.
    parts: tuple[tuple[str, int], ...] = ()
    #: Runners to choose only if no other one is available, such as those that
    #: failed this request.
    avoid: tuple[str, ...] = ()
    #: Tokens of the answer that the caller has received already.
    delivered_tokens: int = 0
    #: Whether the owner must grant or refuse the request without queueing it.
    at_once: bool = False
    #: Tier from the client account, which overrides that of the class.
    tier: int | None = None
    #: Hash by which the same request of the same account is known when it comes
    #: again; empty if the parts of its prompt identify it.
    digest: str = ''
    #: Whether the request holds a grant, whose runner it is to leave. It was
    #: charged to the limits of its account and class with that one.
    moves: bool = False
    #: Software version that the runner must have; ``None``: any.
    version: str | None = None

    @property
    def part_names(self) -> tuple[str, ...]:
        """Identifiers of the request's content: its parts, then its digest."""
        names = tuple(part for part, _ in self.parts)
        return (*names, self.digest) if self.digest else names


class Grant(_Message, frozen=True):
    """Permission to send one request to one runner."""

    pool: str
    request_id: str
    runner: str
    #: Host and port of the runner.
    address: str
    tier: int
    #: Software version of the runner; empty: unknown.
    version: str = ''
    #: Start time of the runner in Unix milliseconds; 0: unknown.
    born: int = 0


class Refusal(_Message, frozen=True):
    """The owner refuses to grant a request."""

    request_id: str
    #: Code of an error class, or ``not_owner``.
    code: str
    reason: str
    retry_after_s: float | None = None


class Queued(_Message, frozen=True):
    """The owner confirms that it has queued a request."""

    request_id: str


class Pause(_Message, frozen=True):
    """The owner preempts a running request: its slot must be released."""

    request_id: str


class Progress(_Message, frozen=True):
    """Reports the output of a running request to the owner."""

    pool: str
    request_id: str
    #: Seconds from the grant to the first token; 0: no token yet.
    first_token_s: float
    #: Output tokens so far.
    tokens: int
    #: Longest gap between tokens since the last report, in seconds.
    gap_s: float
    #: Limit that the runner's answer names; infinite if it names none, ``None``
    #: if there is no answer yet.
    requests_per_s: float | None = None
    #: Whether the request has reached its stall limit but keeps its slot.
    stalled: bool = False


class RunnerLeaving(_Message, frozen=True):
    """A runner has said in an answer that it leaves."""

    runner: str
    #: Start of the runner in Unix milliseconds; 0: unknown.
    born: int
    #: Address of the runner, which tells processes without start apart; empty:
    #: unknown.
    address: str = ''


class Release(_Message, frozen=True):
    """Releases a request's slot, or withdraws the request from the queue."""

    pool: str
    request_id: str
    #: Whether the runner completed the request.
    served: bool
    #: Error code of the runner's failure; empty: it did not fail.
    failure: str = ''
    first_token_s: float = 0.0
    tokens: int = 0
    #: As in :class:`Progress`.
    requests_per_s: float | None = None


class Held(_Message, frozen=True):
    """A running request in an :class:`Inventory`."""

    request_id: str
    class_name: str
    account: str
    runner: str
    prompt_tokens: int
    tokens: int
    #: Upper bound of the answer's size, in tokens.
    max_tokens: int = 0
    #: Tier from the client account, which overrides that of the class.
    tier: int | None = None
    #: Identifiers of the request's content, as in :class:`Ask`.
    parts: tuple[str, ...] = ()


class Read(_Message, frozen=True):
    """A prompt that a runner has prefilled for an instance's request."""

    runner: str
    #: Parts of the prompt, as in :class:`Ask`.
    parts: tuple[tuple[str, int], ...]


class Inventory(_Message, frozen=True):
    """Reports an instance's running requests in a shard to the owner."""

    pool: str
    held: tuple[Held, ...]
    #: Most recent prompts on the shard's runners, oldest first.
    reads: tuple[Read, ...] = ()
    #: Recent requests of the instance that were cut by crashes.
    losses: tuple[Loss, ...] = ()
    #: Limits that runners have advertised to the instance, by runner.
    limits: tuple[tuple[str, float], ...] = ()
    #: Starts of these runners in Unix milliseconds, as far as they are known.
    limit_starts: tuple[tuple[str, int], ...] = ()


class HeldAsk(_Message, frozen=True):
    """Asks an instance which of the owner's grants it still holds."""

    pool: str
    #: Monotonic time of the owner in seconds, for its own use.
    asked_at: float


class HeldList(_Message, frozen=True):
    """Lists all requests that hold a grant of the receiving owner."""

    pool: str
    request_ids: tuple[str, ...]
    #: As in the :class:`HeldAsk` that it answers.
    asked_at: float


class Challenge(_Message, frozen=True):
    """First message on a link, sent by the accepting side."""

    #: Random text that the peer's proof must cover.
    nonce: str


class Hello(_Message, frozen=True):
    """Identifies and authenticates the sender; each side sends one."""

    instance: str
    region: str
    failure_domain: str
    #: Number that rises with each start of the instance.
    incarnation: int
    #: Version of the link protocol.
    protocol: int
    #: Keyed hash over the peer's nonce and these fields.
    proof: str
    #: Random text that the peer's proof must cover.
    nonce: str
    #: Address at which the sender accepts links; empty: unknown.
    address: str = ''
    #: CPU share of the sender, in cores; 0: unknown.
    capacity: float = 0.0


class Heartbeat(_Message, frozen=True):
    """Periodic message on a link that shows that the sender is alive."""

    incarnation: int
    #: Offset up to which the sender has applied settings records.
    settings_covers: int
    #: Era of the log to which that offset belongs.
    settings_era: int = 0


class News(_Message, frozen=True):
    """State of one instance; receivers pass it on if it is new to them."""

    instance: str
    incarnation: int
    #: One of the values of :class:`anvilhall.core.membership.Status`.
    status: str
    #: Address and location of the instance, if the sender knows them.
    member: Member | None = None


class RunnerNews(_Message, frozen=True):
    """The registry's record of a runner, passed on between instances."""

    #: Offset of the record; a later record of the era has a higher one.
    offset: int
    runner: Member
    #: Whether the runner's entry was removed.
    gone: bool = False
    era: int = 0

    @property
    def position(self) -> Position:
        """Position of the record in the registry."""
        return Position(self.era, self.offset)


class RunnersRead(_Message, frozen=True):
    """Reports that the sender has polled the registry of runners."""

    #: Offset up to which the sender's view covers the registry's records.
    covers: int
    #: Digest of the view; see :class:`anvilhall.core.views.RunnerView`.
    digest: int
    #: Version of the settings at the sender if it polls them itself, else -1.
    settings_version: int = -1
    era: int = 0
    #: Seconds from the start of the sender's read to this message.
    age_s: float = 0.0
    #: Seconds for which entries may be missing yet after an outage of the
    #: registry; 0: none are.
    recovering_s: float = 0.0

    @property
    def position(self) -> Position:
        """Position up to which the sender's view covers the registry."""
        return Position(self.era, self.covers)


class RunnersAsk(_Message, frozen=True):
    """Requests all runners that the receiver knows."""


class RunnersOffer(_Message, frozen=True):
    """Lists all runners that the sender knows."""

    #: Offset up to which the sender's view covers the registry's records.
    covers: int
    entries: tuple[RunnerNews, ...]
    era: int = 0

    @property
    def position(self) -> Position:
        """Position up to which the sender's view covers the registry."""
        return Position(self.era, self.covers)


class QuarantineNews(_Message, frozen=True):
    """A new or changed entry; receivers pass it on if it is new to them."""

    entry: QuarantineEntry


class PoolDemand(_Message, frozen=True):
    """Reports the demand for a pool's runners since the last report."""

    pool: str
    #: Seconds that the report covers.
    period_s: float
    #: Highest numbers of requests at runners and in the queue at once.
    running: int
    waiting: int
    #: The part of both that is of the pool's highest tier.
    urgent: int
    #: Requests granted a runner, and their prompt tokens that runners had to
    #: prefill.
    granted: int
    prompt_tokens: int
    #: Requests refused because no runner had room for them in time.
    refused: int
    #: Reports of a first token or a gap beyond its target.
    late: int
    #: Runners that take requests, and the requests they serve at once.
    runners: int
    slots: int


class StreamsBegun(_Message, frozen=True):
    """Streams that have begun, for the instance that records them."""

    #: Keys of the streams, joined, by pool and software version.
    begun: dict[str, dict[str, bytes]]


class UsageCounts(_Message, frozen=True):
    """Changed counts of requests, for the readers of the registry."""

    #: Random identifier of the sender's process.
    start: int
    #: Unix milliseconds at which that process started.
    began_ms: int
    #: Unix milliseconds until which the sender's counts are complete; those of
    #: a reader cover its failure domain.
    complete_ms: int
    #: Revision that is complete with this message; -1: more messages follow.
    revision: int
    rows: tuple[UsageRow, ...] = ()
    #: Newest window that the sender knows to be decided; -1: none.
    decided: int = -1
    #: Unix milliseconds by the sender's clock.
    sent_ms: int = 0


class UsageReceived(_Message, frozen=True):
    """Acknowledges :class:`UsageCounts`."""

    #: Random identifier of the process that acknowledges.
    start: int
    #: Identifier of the process whose counts were received.
    counted_by: int
    revision: int
    #: Unix milliseconds by the sender's clock.
    sent_ms: int = 0


class SettingsAsk(_Message, frozen=True):
    """Requests a peer's settings if they are newer than an offset."""

    covers: int
    #: Era of the log to which that offset belongs.
    era: int = 0


class SettingsRecords(_Message, frozen=True):
    """Carries consecutive records of the settings stream, encoded as JSON."""

    #: Offset of the first record.
    offset: int
    records: tuple[bytes, ...]
    #: Era of the log to which that offset belongs.
    era: int = 0


class SettingsOffer(_Message, frozen=True):
    """Carries a snapshot of the settings, encoded as JSON."""

    #: May be compressed with zlib.
    snapshot: bytes


class AnswerAsk(_Message, frozen=True):
    """Requests the stored answer of a request with an idempotency key."""

    account: str
    key: str


class AnswerOffer(_Message, frozen=True):
    """Carries a stored answer, or reports that there is none."""

    account: str
    key: str
    #: One of ``kept``, ``running`` and ``none``.
    state: str
    status: int = 0
    content_type: str = ''
    body: bytes = b''


#: Messages about requests, between an entry instance and an owner.
RequestMessage = (
    Ask
    | Grant
    | Refusal
    | Queued
    | Pause
    | Progress
    | Release
    | Inventory
    | HeldAsk
    | HeldList
)
#: Messages that replicate state between instances.
StateMessage = (
    Heartbeat
    | News
    | RunnerNews
    | RunnerLeaving
    | RunnersRead
    | RunnersAsk
    | RunnersOffer
    | QuarantineNews
    | PoolDemand
    | StreamsBegun
    | UsageCounts
    | UsageReceived
    | SettingsAsk
    | SettingsRecords
    | SettingsOffer
)
Message = (
    RequestMessage | StateMessage | Challenge | Hello | AnswerAsk | AnswerOffer
)

_KINDS = frozenset(kind.__name__ for kind in Message.__args__)


class UnknownMessage(msgspec.Struct, frozen=True):
    """A message of a kind that this version does not support."""

    kind: str


def encode_message(message: Message) -> bytes:
    """Encode a message as CBOR."""
    return cbor2.dumps(msgspec.to_builtins(message, builtin_types=(bytes,)))


def decode_message(frame: bytes) -> Message | UnknownMessage:
    """Decode a message.

    :raises PeerProtocolBroken: if the frame is not a message.
    """
    try:
        raw: Any = cbor2.loads(frame)
    except (cbor2.CBORDecodeError, ValueError, EOFError) as error:
        raise PeerProtocolBroken(f'frame is not valid CBOR: {error}') from error
    kind = raw[0] if isinstance(raw, list) and raw else None
    if not isinstance(kind, str):
        raise PeerProtocolBroken(
            'frame is not an array that starts with a message kind'
        )
    if kind not in _KINDS:
        return UnknownMessage(kind)
    try:
        message: Message = msgspec.convert(
            raw,
            Message,
            builtin_types=(bytes,),
        )
    except msgspec.ValidationError as error:
        raise PeerProtocolBroken(f'invalid {kind} message: {error}') from error
    return message
