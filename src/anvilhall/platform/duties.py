"""Records of the duties' topic and calls to the platform's API."""

from collections.abc import Mapping
from http import HTTPStatus

import msgspec

from anvilhall.core.leases import LeaseRecord
from anvilhall.decoding import decode_json
from anvilhall.duties.base import Answer, RunnerOrder
from anvilhall.exceptions import DutyCallFailed

_HOLDER = 'Anvilhall-Duty-Holder'
_TOKEN = 'Anvilhall-Fencing-Token'  # noqa: S105
_USAGE_PATH = '/usage'
_SCALE_PATH = '/scale'


class DutyCall(msgspec.Struct, frozen=True):
    """A call to the platform's API, without its sender."""

    path: str
    body: bytes


class _Usage(msgspec.Struct):
    #: Number of the window since 1970.
    window: int
    #: Requests that began, by account.
    counts: Mapping[str, int]


class _Scale(msgspec.Struct, omit_defaults=True):
    service: str
    zone: str
    desired: int
    spot: bool = False


def encode_record(record: LeaseRecord) -> bytes:
    """Encode a record of the duties' topic."""
    return msgspec.json.encode(record)


def decode_record(content: bytes) -> LeaseRecord:
    """Decode a record of the duties' topic.

    :raises MalformedData: if it is none.
    """
    return decode_json(content, LeaseRecord)


def encode_usage(window: int, counts: Mapping[str, int]) -> DutyCall:
    """Encode a report of usage; equal reports are encoded equally."""
    usage = _Usage(window, dict(sorted(counts.items())))
    return DutyCall(_USAGE_PATH, msgspec.json.encode(usage))


def encode_order(order: RunnerOrder) -> DutyCall:
    """Encode an order of runners."""
    scale = _Scale(
        order.pool,
        order.failure_domain,
        order.count,
        order.reclaimable,
    )
    return DutyCall(_SCALE_PATH, msgspec.json.encode(scale))


def build_headers(holder: str, token: int) -> dict[str, str]:
    """Return the headers of a call.

    :param holder: name of the instance that sends it.
    """
    return {
        'Content-Type': 'application/json',
        _HOLDER: holder,
        _TOKEN: str(token),
    }


def decode_answer(call: DutyCall, status: int) -> Answer:
    """Return what a status of the API means.

    :raises DutyCallFailed: if it does not tell whether the call took effect.
    """
    if status == HTTPStatus.TOO_MANY_REQUESTS:
        return Answer.BUSY
    if status == HTTPStatus.CONFLICT and call.path == _SCALE_PATH:
        return Answer.EXHAUSTED
    if HTTPStatus.OK <= status < HTTPStatus.MULTIPLE_CHOICES:
        return Answer.ACCEPTED
    if (
        HTTPStatus.BAD_REQUEST <= status < HTTPStatus.INTERNAL_SERVER_ERROR
        and status != HTTPStatus.REQUEST_TIMEOUT
    ):
        return Answer.REFUSED
    raise DutyCallFailed(f'the API answered {status}')
