"""Wire formats of upstreams: how a job becomes a call."""

from typing import Protocol

import msgspec

from anvilhall.core.messages import Grant
from anvilhall.events import Answer
from anvilhall.exceptions import UnknownPath
from anvilhall.jobs import Job
from anvilhall.outbound import Call
from anvilhall.registry import Registry

_JSON = 'application/json'
_TRUE = msgspec.Raw(b'true')
_FALSE = msgspec.Raw(b'false')


class Wire(Protocol):
    """One wire format."""

    #: Whether answers are streams of events that can be continued.
    streams: bool

    def build_call(self, job: Job, grant: Grant, answer: Answer | None) -> Call:
        """Return the call that runs a job.

        :param answer: what an earlier runner delivered and this one continues.
        """

    def build_cancel(self, job: Job, grant: Grant) -> Call | None:
        """Return the call that cancels a running job, if there is one."""


WIRES: Registry[Wire] = Registry('wire format')


class _ChatCompletions:
    """Chat-completions over HTTP with server-sent events."""

    streams = True

    def build_call(self, job: Job, grant: Grant, answer: Answer | None) -> Call:
        """Return a streamed call with the tier as the engine's priority."""
        if job.chat is None:
            raise UnknownPath(f'class {job.class_name} serves chat only')
        fields = dict(job.chat.fields)
        fields['stream'] = _TRUE
        fields['priority'] = msgspec.Raw(str(grant.tier).encode())
        if answer and answer.text:
            fields.update(_continue_answer(job, answer))
        return Call(
            url=f'http://{grant.address}/v1/chat/completions',
            method='POST',
            headers=_name_request(job),
            body=msgspec.json.encode(fields),
            connect_timeout_s=job.pool.connect_timeout_s,
        )

    def build_cancel(self, job: Job, grant: Grant) -> Call | None:
        """Return the engine's cancel order."""
        return Call(
            url=f'http://{grant.address}/v1/requests/{job.request_id}/cancel',
            method='POST',
            body=b'',
            connect_timeout_s=job.pool.connect_timeout_s,
            timeout_s=job.pool.connect_timeout_s,
        )


class _PlainHttp:
    """A plain service: the caller's body and path are passed on as they are."""

    streams = False

    def build_call(self, job: Job, grant: Grant, answer: Answer | None) -> Call:
        """Return the caller's call, to the service."""
        return Call(
            url=f'http://{grant.address}/{job.path}',
            method=job.method,
            headers=_name_request(job),
            body=job.body or None,
            connect_timeout_s=job.pool.connect_timeout_s,
            fresh=not job.retryable,
        )

    def build_cancel(
        self,
        job: Job,
        grant: Grant,
    ) -> Call | None:
        """Return nothing: plain services can't cancel."""
        return None


WIRES.register('chat-completions')(_ChatCompletions())
WIRES.register('plain-http')(_PlainHttp())


def _name_request(job: Job) -> dict[str, str]:
    headers = {'Content-Type': _JSON, 'X-Request-Id': job.request_id}
    if job.key:
        headers['Idempotency-Key'] = job.key
    return headers


def _continue_answer(job: Job, answer: Answer) -> dict[str, msgspec.Raw]:
    chat = job.chat
    if chat is None:
        return {}
    so_far = {'role': 'assistant', 'content': answer.text}
    messages = [*chat.messages, msgspec.Raw(msgspec.json.encode(so_far))]
    remaining = max(1, chat.max_tokens - answer.tokens)
    return {
        'messages': msgspec.Raw(msgspec.json.encode(messages)),
        'max_tokens': msgspec.Raw(str(remaining).encode()),
        'continue_final_message': _TRUE,
        'add_generation_prompt': _FALSE,
    }
