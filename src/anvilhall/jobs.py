"""A caller's request on the instance that received it."""

import hashlib
import math
from typing import Any

import msgspec

from anvilhall import defaults
from anvilhall.core.evidence import digest_request
from anvilhall.core.messages import Ask
from anvilhall.core.settings import ClassSettings, Pool
from anvilhall.decoding import decode_json
from anvilhall.exceptions import MalformedData, MalformedRequest

#: Limit on output tokens, if the caller sets none.
_MAX_TOKENS = 1024
#: Messages of a prompt, from the first on, that count as parts.
_MAX_PARTS = 16
#: Fields of a chat body by name, undecoded.
_Fields = dict[str, msgspec.Raw]


class ChatBody:
    """A chat completion request; only fields used in routing are decoded."""

    __slots__ = ('fields', 'max_tokens', 'messages', 'model', 'stream')

    def __init__(self, fields: _Fields) -> None:
        """Decode and check the fields used in routing.

        :raises MalformedRequest: if one has a wrong type or value.
        """
        self.fields = fields
        self.messages = _decode_field(fields, 'messages', list[msgspec.Raw])
        self.stream = bool(_decode_field(fields, 'stream', bool | None))
        limit = _decode_field(fields, 'max_tokens', int | None)
        self.model = _decode_field(fields, 'model', str | None) or ''
        self.max_tokens = _MAX_TOKENS if limit is None else limit
        if not self.messages:
            raise MalformedRequest('$.messages: expected at least 1 message')
        if self.max_tokens < 1:
            raise MalformedRequest(
                f'$.max_tokens: expected at least 1, got {self.max_tokens}',
            )

    @classmethod
    def from_body(cls, body: bytes) -> 'ChatBody':
        """Decode a request body.

        :raises MalformedRequest: if it is not a chat completion request.
        """
        try:
            fields = decode_json(body, _Fields)
        except MalformedData as error:
            raise MalformedRequest(error.reason) from error
        return cls(fields)

    @property
    def prompt_tokens(self) -> int:
        """Estimated size of the prompt, at least 1."""
        size = sum(len(bytes(message)) for message in self.messages)
        return max(1, size // defaults.BYTES_PER_TOKEN)

    @property
    def parts(self) -> tuple[tuple[str, int], ...]:
        """Prompt parts that other requests may share: hash and tokens of each.

        These are the messages before the last one.
        """
        count = min(len(self.messages) - 1, _MAX_PARTS)
        return tuple(
            _describe_part(bytes(message)) for message in self.messages[:count]
        )


class Job:
    """A request from its arrival to the end of its answer."""

    __slots__ = (
        'account',
        'body',
        'chat',
        'class_name',
        'deadline_at',
        'key',
        'method',
        'path',
        'pool',
        'request_id',
        'settings',
    )

    def __init__(self, request_id: str, account: str) -> None:
        """Set the request's identity; other fields are assigned later."""
        self.request_id = request_id
        self.account = account
        self.class_name = ''
        self.settings: ClassSettings
        self.pool: Pool
        #: Idempotency key; empty if the caller gave none.
        self.key = ''
        self.method = 'POST'
        #: Path and query that a plain service is called with.
        self.path = ''
        self.body = b''
        self.chat: ChatBody | None = None
        #: Deadline on the monotonic clock, in seconds.
        self.deadline_at = math.inf

    @property
    def retryable(self) -> bool:
        """Whether the request may be retried after it may have run."""
        return self.settings.idempotent

    def drop_body(self) -> None:
        """Free the body, as the request has ended."""
        self.body = b''
        self.chat = None

    @property
    def body_digest(self) -> str:
        """Hash of path and body, to detect a key reused for another request."""
        digest = hashlib.blake2b(self.path.encode(), digest_size=8)
        digest.update(self.body)
        return digest.hexdigest()

    def build_ask(
        self,
        now: float,
        avoid: tuple[str, ...] = (),
        delivered_tokens: int = 0,
        version: str | None = None,
    ) -> Ask:
        """Return the message that requests a grant from the pool's owner.

        :param now: monotonic seconds.
        :param avoid: runners that failed this request.
        :param delivered_tokens: tokens that the caller already has.
        :param version: version that the runner must have; ``None``: any.
        """
        chat = self.chat
        return Ask(
            pool=self.settings.pool,
            request_id=self.request_id,
            class_name=self.class_name,
            account=self.account,
            prompt_tokens=chat.prompt_tokens if chat else 1,
            max_tokens=chat.max_tokens if chat else 1,
            parts=chat.parts if chat else (),
            deadline_s=self.deadline_at - now,
            avoid=avoid,
            delivered_tokens=delivered_tokens,
            digest=digest_request(
                self.account, self.method, self.path, self.body
            ),
            version=version,
        )


def _describe_part(message: bytes) -> tuple[str, int]:
    digest = hashlib.blake2b(message, digest_size=8)
    return digest.hexdigest(), len(message) // defaults.BYTES_PER_TOKEN


def _decode_field(fields: _Fields, name: str, kind: Any) -> Any:
    try:
        return decode_json(bytes(fields.get(name, b'null')), kind)
    except MalformedData as error:
        raise MalformedRequest(f'$.{name}: {error.reason}') from error
