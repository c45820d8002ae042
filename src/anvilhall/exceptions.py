"""Errors that callers, operators and other instances receive.

Each class has a stable code, the HTTP status for callers and an outcome, which
states whether the request ran. The first line of a class's docstring is its
default message. The page of error codes is generated from
:func:`list_errors`, and class names are values of a metric's label.
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
    """Base of all errors of this package.

    :param reason: message for people; by default that of the class.
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
    """The body or a header can't be read."""

    code = 'malformed_request'
    status = HTTPStatus.BAD_REQUEST


class BodyTooLarge(RequestRefused):
    """The body exceeds the limit in the settings."""

    code = 'body_too_large'
    status = HTTPStatus.REQUEST_ENTITY_TOO_LARGE


class UnknownAccount(RequestRefused):
    """The account key is missing or unknown."""

    code = 'unknown_account'
    status = HTTPStatus.UNAUTHORIZED


class ClassNotAllowed(RequestRefused):
    """The client account may not use this class."""

    code = 'class_not_allowed'
    status = HTTPStatus.FORBIDDEN


class UnknownClass(RequestRefused):
    """No request class fits the request."""

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
    """The queue is full of requests of the same or a higher tier."""

    code = 'overloaded'


class TooManyConnections(RequestRefused):
    """The instance has as many open requests as its settings allow."""

    code = 'too_many_connections'


class DeadlinePassed(RequestRefused):
    """The deadline passed while the request was waiting."""

    code = 'deadline_passed'
    status = HTTPStatus.GATEWAY_TIMEOUT


class NoRunner(RequestRefused):
    """No live runner serves the pool."""

    code = 'no_runner'


class NotReady(RequestRefused):
    """The instance has no settings or no membership list yet."""

    code = 'not_ready'


class ShuttingDown(RequestRefused):
    """The instance is shutting down and takes no new requests."""

    code = 'shutting_down'


class ClaimUnavailable(RequestRefused):
    """The log could not confirm the claim on the idempotency key in time."""

    code = 'claim_unavailable'


class UpstreamRefused(RequestRefused):
    """No connection to the upstream could be made, or it refused the work."""

    code = 'upstream_refused'
    status = HTTPStatus.BAD_GATEWAY


class UpstreamFull(RequestRefused):
    """The upstream stated that it has not run the request."""

    code = 'upstream_full'


class UpstreamReplaced(RequestRefused):
    """Another upstream has the address; it has not run the request."""

    code = 'upstream_replaced'


class RunUncertain(AnvilhallError):
    """The request may have run."""

    code = 'outcome_unknown'
    status = HTTPStatus.BAD_GATEWAY


class StillRunning(RunUncertain):
    """An earlier request with this idempotency key is running."""

    code = 'still_running'
    status = HTTPStatus.CONFLICT


class AlreadyRun(RunUncertain):
    """An earlier request with this key has run; its answer is gone."""

    code = 'already_run'
    status = HTTPStatus.CONFLICT


class ClaimedBefore(RunUncertain):
    """An earlier request has this key; whether it ran is unknown."""

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
    """The upstream sent what is not an answer in its wire format."""

    code = 'upstream_garbled'


class UpstreamErred(UpstreamFailed):
    """The upstream answered that it failed to serve the request."""

    code = 'upstream_erred'


class UpstreamStalled(UpstreamFailed):
    """The upstream made no progress within its time limit."""

    code = 'upstream_stalled'
    status = HTTPStatus.GATEWAY_TIMEOUT


class UpstreamCut(UpstreamFailed):
    """The upstream ended the stream before the answer was whole."""

    code = 'upstream_cut'


class Paused(RunUncertain):
    """The request gave its runner up for one of a higher tier."""

    code = 'paused'


class DeadlineExceeded(RunUncertain):
    """The deadline passed while the request was running."""

    code = 'deadline_exceeded'
    status = HTTPStatus.GATEWAY_TIMEOUT


class AnswerCut(AnvilhallError):
    """The answer broke off after part of it was delivered."""

    code = 'answer_cut'
    status = HTTPStatus.BAD_GATEWAY
    outcome = Outcome.PARTLY_DELIVERED


class CallerGone(RunUncertain):
    """The caller closed the connection before its answer was whole."""

    code = 'caller_gone'


class PlatformError(AnvilhallError):
    """A service of the platform did not do as asked."""

    code = 'platform_error'
    status = HTTPStatus.BAD_GATEWAY


class LogUnavailable(PlatformError):
    """The log service refused or could not be reached: nothing was written."""

    code = 'log_unavailable'
    outcome = Outcome.NOT_RUN


class AppendUncertain(PlatformError):
    """The log service did not answer: the record may have been written."""

    code = 'append_uncertain'


class RecordsExpired(PlatformError):
    """The log no longer keeps the records at the asked offset."""

    code = 'records_expired'
    outcome = Outcome.NOT_RUN


class UnusableEntry(PlatformError):
    """An entry of the registry names no runner or instance to use."""

    code = 'unusable_entry'
    outcome = Outcome.NOT_RUN


class SettingsError(AnvilhallError):
    """Settings are not usable."""

    code = 'settings_error'
    status = HTTPStatus.BAD_REQUEST
    outcome = Outcome.NOT_RUN


class UnknownName(SettingsError):
    """A name in the settings is not registered."""

    code = 'unknown_name'


class VersionConflict(SettingsError):
    """Another publication of the same team came first."""

    code = 'version_conflict'
    status = HTTPStatus.CONFLICT


class PeerError(AnvilhallError):
    """Another instance can't be reached or broke the protocol."""

    code = 'peer_error'
    outcome = Outcome.NOT_RUN


class PeerUnreachable(PeerError):
    """No link to the instance is up."""

    code = 'peer_unreachable'


class PeerProtocolBroken(PeerError):
    """A message of another instance can't be read."""

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
