"""What the statuses of runners' answers mean for the promise "not run"."""

import enum

import msgspec


class Meaning(enum.Enum):
    """What an answer tells, and what becomes of it."""

    #: The runner's answer, which the caller gets.
    ANSWER = 'answer'
    #: The runner has not run the request and will not. Another one may; the
    #: caller gets an error of this system that says so.
    NOT_RUN = 'not_run'
    #: The runner failed. The caller gets its answer if no other runner may run
    #: the request.
    ERROR = 'error'
    #: The runner may have run the request, but the status would tell the caller
    #: that it has not. The caller never gets it.
    UNTRUE = 'untrue'
    #: No final answer of the protocol.
    INVALID = 'invalid'


class StatusRow(msgspec.Struct, frozen=True):
    """Meaning of the statuses from ``first`` to ``last``."""

    first: int
    last: int
    #: If the runner states that it has not run the request.
    stated: Meaning
    #: If it does not.
    bare: Meaning
    #: For upstreams of the own interface, which have no such statement.
    usual: Meaning


#: All statuses, in order. Statuses that no page names have the meaning of their
#: class.
STATUSES = (
    StatusRow(0, 199, Meaning.INVALID, Meaning.INVALID, Meaning.INVALID),
    StatusRow(200, 299, Meaning.INVALID, Meaning.ANSWER, Meaning.ANSWER),
    StatusRow(300, 407, Meaning.NOT_RUN, Meaning.ANSWER, Meaning.ANSWER),
    # Request Timeout
    StatusRow(408, 408, Meaning.NOT_RUN, Meaning.UNTRUE, Meaning.ANSWER),
    StatusRow(409, 420, Meaning.NOT_RUN, Meaning.ANSWER, Meaning.ANSWER),
    # Misdirected Request: the status itself is a statement.
    StatusRow(421, 421, Meaning.NOT_RUN, Meaning.NOT_RUN, Meaning.ANSWER),
    StatusRow(422, 424, Meaning.NOT_RUN, Meaning.ANSWER, Meaning.ANSWER),
    # Too Early: clients send the request again without asking.
    StatusRow(425, 425, Meaning.NOT_RUN, Meaning.UNTRUE, Meaning.ANSWER),
    StatusRow(426, 428, Meaning.NOT_RUN, Meaning.ANSWER, Meaning.ANSWER),
    # Too Many Requests
    StatusRow(429, 429, Meaning.NOT_RUN, Meaning.UNTRUE, Meaning.NOT_RUN),
    StatusRow(430, 499, Meaning.NOT_RUN, Meaning.ANSWER, Meaning.ANSWER),
    StatusRow(500, 502, Meaning.NOT_RUN, Meaning.ERROR, Meaning.ANSWER),
    # Service Unavailable
    StatusRow(503, 503, Meaning.NOT_RUN, Meaning.UNTRUE, Meaning.NOT_RUN),
    StatusRow(504, 599, Meaning.NOT_RUN, Meaning.ERROR, Meaning.ANSWER),
    StatusRow(600, 999, Meaning.INVALID, Meaning.INVALID, Meaning.INVALID),
)
_INVALID = StatusRow(0, 0, Meaning.INVALID, Meaning.INVALID, Meaning.INVALID)


def find_row(status: int) -> StatusRow:
    """Return what a status means."""
    for row in STATUSES:
        if row.first <= status <= row.last:
            return row
    return _INVALID


def find_meaning(status: int, *, stated: bool, sealed: bool) -> Meaning:
    """Return what a runner's answer means.

    :param stated: whether the runner states that it has not run the request.
    :param sealed: whether the answer has the signature of a run.
    """
    row = find_row(status)
    if stated:
        return row.stated
    if sealed and row.bare is Meaning.NOT_RUN:
        return Meaning.UNTRUE
    return row.bare
