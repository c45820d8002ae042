"""Wire formats of upstreams: build the HTTP calls that run a job."""

import math
import re
from typing import Protocol

import msgspec
from tornado.httputil import HTTPHeaders

from anvilhall.core.messages import Grant
from anvilhall.events import Answer
from anvilhall.exceptions import UnknownPath
from anvilhall.jobs import Job
from anvilhall.logs import log_event
from anvilhall.outbound import Call
from anvilhall.registry import Registry

_JSON = 'application/json'
#: Largest answer to a cancellation, in bytes.
_CANCEL_LIMIT_BYTES = 64 * 1024
_TRUE = msgspec.Raw(b'true')
_FALSE = msgspec.Raw(b'false')


#: Header in which an engine states the software version of the process that
#: answers, as the member list names it.
VERSION_HEADER = 'Anvilhall-Engine-Version'
#: Characters of a version that is used; versions are sent between instances.
_MAX_VERSION_CHARACTERS = 128

#: Header of the IETF draft on rate limit fields, and a quota in it: ``q``
#: requests in a window of ``w`` seconds.
_POLICY = 'RateLimit-Policy'
_QUOTA = re.compile(r'(?:^|;)\s*q=(\d{1,12})\s*(?:;|$)', re.ASCII)
_WINDOW = re.compile(r'(?:^|;)\s*w=(\d{1,12})\s*(?:;|$)', re.ASCII)


class Wire(Protocol):
    """Builds the HTTP calls of one wire format."""

    #: Whether answers are event streams that another runner can continue.
    streams: bool

    def build_call(self, job: Job, grant: Grant, answer: Answer | None) -> Call:
        """Return the call that runs a job.

        :param answer: partial answer of earlier runners, which this call
            continues; ``None`` if nothing was delivered.
        """

    def build_cancel(self, job: Job, grant: Grant) -> Call | None:
        """Return the call that cancels a running job.

        :return: ``None`` if the wire format has no such call.
        """


WIRES: Registry[Wire] = Registry('wire format')


class _ChatCompletions:
    """Chat completions over HTTP, answered with server-sent events."""

    streams = True

    def build_call(self, job: Job, grant: Grant, answer: Answer | None) -> Call:
        """Return a streaming call; the engine's priority is the tier."""
        if job.chat is None:
            raise UnknownPath(
                f'class {job.class_name} accepts chat completions only',
            )
        fields = dict(job.chat.fields)
        fields['stream'] = _TRUE
        fields['priority'] = msgspec.Raw(str(grant.tier).encode())
        if answer and answer.text:
            fields.update(_continue_answer(job, answer))
        return Call(
            url=f'http://{grant.address}/v1/chat/completions',
            method='POST',
            headers=_build_headers(job),
            body=msgspec.json.encode(fields),
            connect_timeout_s=job.pool.connect_timeout_s,
            fresh=not job.retryable,
        )

    def build_cancel(self, job: Job, grant: Grant) -> Call | None:
        """Return the call to the engine's cancel endpoint."""
        return Call(
            url=f'http://{grant.address}/v1/requests/{job.request_id}/cancel',
            method='POST',
            body=b'',
            connect_timeout_s=job.pool.connect_timeout_s,
            timeout_s=job.pool.connect_timeout_s,
            gather_limit_bytes=_CANCEL_LIMIT_BYTES,
        )


class _PlainHttp:
    """Plain services: the caller's path and body are forwarded unchanged."""

    streams = False

    def build_call(self, job: Job, grant: Grant, answer: Answer | None) -> Call:
        """Return the forwarded call.

        A request that must not run twice uses a new connection: a pooled one
        may close without an answer, which leaves the outcome unknown.
        """
        return Call(
            url=f'http://{grant.address}/{job.path}',
            method=job.method,
            headers=_build_headers(job),
            body=job.body or None,
            connect_timeout_s=job.pool.connect_timeout_s,
            fresh=not job.retryable,
        )

    def build_cancel(
        self,
        job: Job,
        grant: Grant,
    ) -> Call | None:
        """Return ``None``: plain services can't cancel."""
        return None


WIRES.register('chat-completions')(_ChatCompletions())
WIRES.register('plain-http')(_PlainHttp())


def read_limit(headers: HTTPHeaders) -> float:
    """Return the requests per second that an upstream takes from everyone.

    :return: the least of its policies; infinite if it advertises none.
    """
    rates = [math.inf]
    for policy in headers.get(_POLICY, '').split(','):
        quota = _QUOTA.search(policy)
        window = _WINDOW.search(policy)
        if quota and window and int(window[1]):
            rates.append(int(quota[1]) / int(window[1]))
        elif policy:
            log_event('header_unusable', header=_POLICY, content=policy)
    return min(rates)


def read_version(headers: HTTPHeaders) -> str:
    """Return the software version that an engine states.

    :return: empty if it states none that can be used.
    """
    version = headers.get(VERSION_HEADER, '')
    if len(version) <= _MAX_VERSION_CHARACTERS and version.isprintable():
        return version
    log_event(
        'header_unusable',
        header=VERSION_HEADER,
        content=version[:_MAX_VERSION_CHARACTERS],
    )
    return ''


def _build_headers(job: Job) -> dict[str, str]:
    headers = {'Content-Type': _JSON, 'X-Request-Id': job.request_id}
    if job.key:
        headers['Idempotency-Key'] = job.key
    return headers


def _continue_answer(job: Job, answer: Answer) -> dict[str, msgspec.Raw]:
    chat = job.chat
    if chat is None:
        return {}
    partial = {'role': 'assistant', 'content': answer.text}
    messages = [*chat.messages, msgspec.Raw(msgspec.json.encode(partial))]
    remaining = max(1, chat.max_tokens - answer.tokens)
    return {
        'messages': msgspec.Raw(msgspec.json.encode(messages)),
        'max_tokens': msgspec.Raw(str(remaining).encode()),
        'continue_final_message': _TRUE,
        'add_generation_prompt': _FALSE,
    }
