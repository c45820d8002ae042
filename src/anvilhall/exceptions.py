"""Errors that callers, operators and other instances receive.

Each class has a stable code, the HTTP status for callers and an outcome, which
states whether the request ran. The first line of a class's docstring is its
default message. ``docs/errors.md`` is generated from :func:`list_errors`, and
class names are values of a metric's label.
"""

import enum
from http import HTTPStatus


class Outcome(enum.Enum):
    """Whether a failed request ran, as far as this instance knows."""

    #: The request did not run and will not.
    NOT_RUN = 'not_run'
    #: The request may have run in part or in full.
    MAY_HAVE_RUN = 'may_have_run'
    #: Part of the answer was sent to the caller; the rest will not follow.
    PARTLY_DELIVERED = 'partly_delivered'


class AnvilhallError(Exception):
    """An internal error occurred.

    Base class of all errors of this package.

    :param reason: human-readable message; if empty, the class's default.
    :param retry_after_s: seconds after which a retry may succeed.
    """

    code = 'internal'
    status = HTTPStatus.INTERNAL_SERVER_ERROR
    outcome = Outcome.MAY_HAVE_RUN

    def __init__(
        self,
        reason: str = '',
        retry_after_s: float | None = None,
    ) -> None:
        """Store the reason or, if empty, the class's default message."""
        summary = (type(self).__doc__ or '').partition('\n')[0]
        self.reason = reason or summary
        self.retry_after_s = retry_after_s
        super().__init__(self.reason)


class RequestRefused(AnvilhallError):
    """The request was refused before any upstream saw it."""

    code = 'refused'
    status = HTTPStatus.SERVICE_UNAVAILABLE
    outcome = Outcome.NOT_RUN


class MalformedRequest(RequestRefused):
    """The request body or a header is malformed."""

    code = 'malformed_request'
    status = HTTPStatus.BAD_REQUEST


class BodyTooLarge(RequestRefused):
    """The request body exceeds the limit in the settings."""

    code = 'body_too_large'
    status = HTTPStatus.REQUEST_ENTITY_TOO_LARGE


class UnknownAccount(RequestRefused):
    """The account key is missing or unknown."""

    code = 'unknown_account'
    status = HTTPStatus.UNAUTHORIZED


class ClassNotAllowed(RequestRefused):
    """The client account may not use this request class."""

    code = 'class_not_allowed'
    status = HTTPStatus.FORBIDDEN


class UnknownClass(RequestRefused):
    """No request class matches the request."""

    code = 'unknown_class'
    status = HTTPStatus.BAD_REQUEST


class UnknownPath(RequestRefused):
    """No class, service or page is served at this path."""

    code = 'unknown_path'
    status = HTTPStatus.NOT_FOUND


class AccountLimited(RequestRefused):
    """The client account is over its limit."""

    code = 'account_limited'
    status = HTTPStatus.TOO_MANY_REQUESTS


class ClassLimited(RequestRefused):
    """The request class is over its limit."""

    code = 'class_limited'
    status = HTTPStatus.TOO_MANY_REQUESTS


class Overloaded(RequestRefused):
    """The queue has no room for this tier, or no runner was free in time.

    A full queue sheds a request of a lower tier to admit a new one. If all
    queued requests are of the same or a higher tier, the new one is refused.
    """

    code = 'overloaded'


class MemoryFull(RequestRefused):
    """The instance has no memory left for the request's body.

    What a client account may hold depends on what is free.
    """

    code = 'memory_full'


class TooManyConnections(RequestRefused):
    """The instance has reached the limit on open requests in its settings."""

    code = 'too_many_connections'


class DeadlinePassed(RequestRefused):
    """The deadline passed while the request was waiting."""

    code = 'deadline_passed'
    status = HTTPStatus.GATEWAY_TIMEOUT


class NoRunner(RequestRefused):
    """No live runner serves the pool."""

    code = 'no_runner'


class VersionGone(RequestRefused):
    """No live runner has the software version that began the stream."""

    code = 'version_gone'


class VersionUnknown(RequestRefused):
    """The software version that began the stream is not known.

    Its record may arrive within a second. A stream whose version can't be told
    is not continued, as its events would be of two versions.
    """

    code = 'version_unknown'


class NotReady(RequestRefused):
    """The instance has no settings or no membership list yet."""

    code = 'not_ready'


class ShuttingDown(RequestRefused):
    """The instance is shutting down and takes no new requests."""

    code = 'shutting_down'


class Quarantined(RequestRefused):
    """The prompt has parts that have crashed runners.

    It is refused without a run. One such request is let through from time to
    time, and if it is served, the others are accepted again.
    """

    code = 'quarantined'


class InternalRefusal(RequestRefused):
    """Something that the request waited for, before it was sent, failed."""

    code = 'internal_not_run'


class ClaimUnavailable(RequestRefused):
    """The log could not confirm the claim on the idempotency key in time."""

    code = 'claim_unavailable'


class UpstreamRefused(RequestRefused):
    """Connecting to the upstream failed, or it refused the request."""

    code = 'upstream_refused'
    status = HTTPStatus.BAD_GATEWAY


class UpstreamFull(RequestRefused):
    """The upstream reported that it did not run the request."""

    code = 'upstream_full'


class UpstreamReplaced(RequestRefused):
    """Another upstream took over the address and did not run the request."""

    code = 'upstream_replaced'


class RunUncertain(AnvilhallError):
    """The request may have run."""

    code = 'outcome_unknown'
    status = HTTPStatus.BAD_GATEWAY


class StillRunning(RunUncertain):
    """An earlier request with this idempotency key is still running."""

    code = 'still_running'
    status = HTTPStatus.CONFLICT


class AlreadyRun(RunUncertain):
    """An earlier request with this key has run; its answer is unavailable."""

    code = 'already_run'
    status = HTTPStatus.CONFLICT


class ClaimedBefore(RunUncertain):
    """An earlier request claimed this key; whether it ran is unknown."""

    code = 'claimed_before'
    status = HTTPStatus.CONFLICT


class KeyReused(RequestRefused):
    """The idempotency key belongs to a request with another body."""

    code = 'key_reused'
    status = HTTPStatus.UNPROCESSABLE_ENTITY


class UpstreamFailed(RunUncertain):
    """The upstream failed after it may have started the request."""

    code = 'upstream_failed'


class UpstreamGarbled(UpstreamFailed):
    """The upstream sent an invalid response.

    It violates the wire format, has an unexpected status, or lacks the
    request's identifier or the runner's signature.
    """

    code = 'upstream_garbled'


class UpstreamRestarted(UpstreamFailed):
    """Another process answers than the one that the registry names."""

    code = 'upstream_restarted'


class UpstreamErred(UpstreamFailed):
    """The upstream answered with an error."""

    code = 'upstream_erred'


class UpstreamStalled(UpstreamFailed):
    """The upstream made no progress within its time limit."""

    code = 'upstream_stalled'
    status = HTTPStatus.GATEWAY_TIMEOUT


class UpstreamOutpaced(UpstreamFailed):
    """Another upstream answered a copy of the request first."""

    code = 'upstream_outpaced'


class UpstreamCut(UpstreamFailed):
    """The stream from the upstream ended before the answer was complete."""

    code = 'upstream_cut'


class Paused(RunUncertain):
    """The request was preempted by one of a higher tier."""

    code = 'paused'


class DeadlineExceeded(RunUncertain):
    """The deadline passed while the request was running."""

    code = 'deadline_exceeded'
    status = HTTPStatus.GATEWAY_TIMEOUT


class AnswerCut(AnvilhallError):
    """The answer was cut off after part of it was delivered."""

    code = 'answer_cut'
    status = HTTPStatus.BAD_GATEWAY
    outcome = Outcome.PARTLY_DELIVERED


class CallerGone(RunUncertain):
    """The caller disconnected before its answer was complete."""

    code = 'caller_gone'


class MalformedData(AnvilhallError):
    """Data of another program can't be decoded."""

    code = 'malformed_data'
    outcome = Outcome.NOT_RUN


class PlatformError(AnvilhallError):
    """A platform service failed or refused a call."""

    code = 'platform_error'
    status = HTTPStatus.BAD_GATEWAY


class LogUnavailable(PlatformError):
    """The log service refused or was unreachable; nothing was written."""

    code = 'log_unavailable'
    outcome = Outcome.NOT_RUN


class AppendUncertain(PlatformError):
    """The log service did not answer; the record may have been written."""

    code = 'append_uncertain'


class AppendConflict(PlatformError):
    """The topic has records that the writer has not read; nothing was written.

    :param reason: human-readable message.
    :param end: offset at which the topic ends.
    """

    code = 'append_conflict'
    outcome = Outcome.NOT_RUN

    def __init__(self, reason: str, end: int) -> None:
        """Store the reason and the end of the topic."""
        super().__init__(reason)
        self.end = end


class LeaseLost(PlatformError):
    """The lease of the duties does not last long enough for a call."""

    code = 'lease_lost'
    outcome = Outcome.NOT_RUN


class DutyCallFailed(PlatformError):
    """A call of a duty got no usable answer; it may have taken effect."""

    code = 'duty_call_failed'


class RecordsExpired(PlatformError):
    """The log no longer retains records at the requested offset."""

    code = 'records_expired'
    outcome = Outcome.NOT_RUN


class StoreRestored(PlatformError):
    """The store has come back from an older copy; read it from the start."""

    code = 'store_restored'
    outcome = Outcome.NOT_RUN


class UnusableEntry(PlatformError):
    """A registry entry does not describe a usable runner or instance."""

    code = 'unusable_entry'
    outcome = Outcome.NOT_RUN


class SettingsError(AnvilhallError):
    """The settings are invalid."""

    code = 'settings_error'
    status = HTTPStatus.BAD_REQUEST
    outcome = Outcome.NOT_RUN


class UnknownName(SettingsError):
    """A name in the settings is not registered."""

    code = 'unknown_name'


class VersionConflict(SettingsError):
    """Another publication of the same team was accepted first."""

    code = 'version_conflict'
    status = HTTPStatus.CONFLICT


class PeerError(AnvilhallError):
    """Another instance is unreachable or violated the protocol."""

    code = 'peer_error'
    outcome = Outcome.NOT_RUN


class PeerUnreachable(PeerError):
    """No link to the instance is open."""

    code = 'peer_unreachable'


class PeerProtocolBroken(PeerError):
    """Another instance violated the link protocol."""

    code = 'peer_protocol_broken'


def list_errors() -> list[type[AnvilhallError]]:
    """Return every error class, sorted by code."""
    found: list[type[AnvilhallError]] = []
    pending: list[type[AnvilhallError]] = [AnvilhallError]
    while pending:
        error = pending.pop()
        found.append(error)
        pending.extend(error.__subclasses__())
    return sorted(found, key=_get_code)


def _get_code(error: type[AnvilhallError]) -> str:
    return error.code
