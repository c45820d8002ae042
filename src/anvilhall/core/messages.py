"""Typed messages between an entry instance and the owner of a shard.

The same objects are passed in memory when the instance is the owner itself,
and encoded as CBOR arrays between instances.
"""

from typing import Any

import cbor2
import msgspec

from anvilhall.core.members import Member
from anvilhall.exceptions import PeerProtocolBroken


class _Message(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base of all messages; encoded as an array led by the class name."""


class Ask(_Message, frozen=True):
    """A request that waits for a runner."""

    pool: str
    request_id: str
    class_name: str
    account: str
    #: Size of the prompt, in tokens, as estimated from its bytes.
    prompt_tokens: int
    #: Longest answer that the caller accepts, in tokens.
    max_tokens: int
    #: Seconds from now until the deadline.
    deadline_s: float
    #: Leading parts of the prompt that other requests may share, in order:
    #: the key of each and its size in tokens.
    parts: tuple[tuple[str, int], ...] = ()
    #: Runners that failed this request already.
    avoid: tuple[str, ...] = ()
    #: Tokens of the answer that the caller has already.
    delivered_tokens: int = 0
    #: Whether the request must be granted now or refused.
    at_once: bool = False
    #: Tier in place of the class's own, from the client account.
    tier: int | None = None


class Grant(_Message, frozen=True):
    """Permission to send one request to one runner."""

    pool: str
    request_id: str
    runner: str
    #: Host and port of the runner.
    address: str
    tier: int


class Refusal(_Message, frozen=True):
    """The owner's answer that a request will get no runner."""

    request_id: str
    #: Code of an error class.
    code: str
    reason: str
    retry_after_s: float | None = None


class Queued(_Message, frozen=True):
    """The owner has the request in its queue."""

    request_id: str


class Pause(_Message, frozen=True):
    """The owner asks that a running request gives up its runner."""

    request_id: str


class Progress(_Message, frozen=True):
    """A running request has produced output."""

    pool: str
    request_id: str
    #: Seconds from the grant to the first token; 0 while there is none.
    first_token_s: float
    #: Output tokens so far.
    tokens: int
    #: Longest gap between tokens since the last message, in seconds.
    gap_s: float


class Release(_Message, frozen=True):
    """A request has left its runner, or left the queue."""

    pool: str
    request_id: str
    #: Whether the runner served the request to its end.
    served: bool
    #: Code of the runner's failure, empty if it did not fail.
    failure: str = ''
    first_token_s: float = 0.0
    tokens: int = 0


class Held(_Message, frozen=True):
    """One request that an instance has running, told to a new owner."""

    request_id: str
    class_name: str
    account: str
    runner: str
    prompt_tokens: int
    tokens: int


class Read(_Message, frozen=True):
    """A prompt that a runner has read for an instance's request."""

    runner: str
    #: Parts that other requests may share, as in :class:`Ask`.
    parts: tuple[tuple[str, int], ...]


class Inventory(_Message, frozen=True):
    """All that an instance has running in one shard, and had read there."""

    pool: str
    held: tuple[Held, ...]
    #: Latest prompts, the oldest one first.
    reads: tuple[Read, ...] = ()


class Challenge(_Message, frozen=True):
    """First message of the accepting side of a link."""

    #: Random text that the other side's proof must cover.
    nonce: str


class Hello(_Message, frozen=True):
    """States and proves who the sender is; each side sends one."""

    instance: str
    region: str
    failure_domain: str
    #: Rises with each start of the instance.
    incarnation: int
    #: Version of this protocol.
    protocol: int
    #: Keyed hash over the other side's nonce and these fields.
    proof: str
    #: Random text that the other side's proof must cover.
    nonce: str
    #: Address of the sender's own links; empty if it does not say.
    address: str = ''
    #: Processor share of the sender's machine, in cores; 0: unknown.
    capacity: float = 0.0


class Heartbeat(_Message, frozen=True):
    """Sign of life on a link; both sides send it."""

    incarnation: int

    #: Offset up to which settings records have been folded.
    settings_covers: int


class News(_Message, frozen=True):
    """What is known of one instance; passed on from instance to instance."""

    instance: str
    incarnation: int
    #: One of the values of :class:`anvilhall.core.membership.Status`.
    status: str
    #: How the instance is reached, if the sender knows.
    member: Member | None = None


class RunnerNews(_Message, frozen=True):
    """What the registry says of a runner; passed on between instances."""

    #: Offset of the registry's record; rises with each one.
    version: int
    runner: Member
    #: Whether the runner has no entry any more.
    gone: bool = False


class RunnersRead(_Message, frozen=True):
    """The sender has just read the registry of runners."""

    #: Offset up to which its view covers the registry's records.
    covers: int
    #: Digest of its view, as :class:`anvilhall.core.views.RunnerView` has it.
    digest: int


class RunnersAsk(_Message, frozen=True):
    """Asks for all runners that the receiver knows."""


class RunnersOffer(_Message, frozen=True):
    """All runners that the sender knows."""

    #: Offset up to which its view covers the registry's records.
    covers: int
    entries: tuple[RunnerNews, ...]


class SettingsAsk(_Message, frozen=True):
    """Asks a peer for its settings, if newer than an offset."""

    covers: int


class SettingsRecords(_Message, frozen=True):
    """Consecutive records of the settings stream, each encoded as JSON."""

    #: Offset of the first record.
    offset: int
    records: tuple[bytes, ...]


class SettingsOffer(_Message, frozen=True):
    """A snapshot of the settings, encoded as JSON."""

    snapshot: bytes


class AnswerAsk(_Message, frozen=True):
    """Asks for the kept answer of a keyed request."""

    account: str
    key: str


class AnswerOffer(_Message, frozen=True):
    """A kept answer, or the statement that there is none."""

    account: str
    key: str
    #: One of ``kept``, ``running`` and ``none``.
    state: str
    status: int = 0
    content_type: str = ''
    body: bytes = b''


#: About requests, between an entry instance and an owner.
RequestMessage = (
    Ask | Grant | Refusal | Queued | Pause | Progress | Release | Inventory
)
#: About the state that instances share.
StateMessage = (
    Heartbeat
    | News
    | RunnerNews
    | RunnersRead
    | RunnersAsk
    | RunnersOffer
    | SettingsAsk
    | SettingsRecords
    | SettingsOffer
)
Message = (
    RequestMessage | StateMessage | Challenge | Hello | AnswerAsk | AnswerOffer
)

_KINDS = frozenset(kind.__name__ for kind in Message.__args__)


class UnknownMessage(msgspec.Struct, frozen=True):
    """A message of a kind that a later version knows."""

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
        raise PeerProtocolBroken(f'not CBOR: {error}') from error
    kind = raw[0] if isinstance(raw, list) and raw else None
    if not isinstance(kind, str):
        raise PeerProtocolBroken('a frame is not a message')
    if kind not in _KINDS:
        return UnknownMessage(kind)
    try:
        message: Message = msgspec.convert(
            raw,
            Message,
            builtin_types=(bytes,),
        )
    except msgspec.ValidationError as error:
        raise PeerProtocolBroken(str(error)) from error
    return message
