"""Requests that the stand-in for a runner receives, and its properties."""

import json

from tornado.httputil import HTTPHeaders

#: Header that identifies a request and its response.
REQUEST_ID = 'Anvilhall-Request-Id'
_PARTS = 'Anvilhall-Prefix-Hash'
_RATE = 'Server-Limit'
_LEAVING = 'Server-Leaving'


class ReceivedRequest:
    """A request that the runner received."""

    __slots__ = ('body', 'headers', 'method', 'target')

    def __init__(self, head: bytes, body: bytes) -> None:
        """Parse the request line and the headers."""
        lines = head.decode('latin-1').split('\r\n')
        request_line = lines[0].split(' ')
        self.method = request_line[0]
        self.target = request_line[1]
        self.headers = HTTPHeaders.parse('\r\n'.join(lines[1:]))
        self.body = body

    @property
    def request_id(self) -> str:
        """Identifier that the gateway sent with the request."""
        return self.headers.get(REQUEST_ID, '')

    @property
    def first_event(self) -> int:
        """Number of the first event that the client has not received."""
        return int(self.headers.get('Last-Event-Id') or '0') + 1

    @property
    def parts(self) -> frozenset[str]:
        """Identifiers of the prompt's parts."""
        entries = self.headers.get(_PARTS, '').split(',')
        return frozenset(entry.partition(':')[0] for entry in entries)


class Reports:
    """Requests for what a runner says of itself."""

    __slots__ = ('count', 'cut', 'received', 'silent')

    def __init__(self) -> None:
        """Answer all of them."""
        #: Number of requests of any kind that the runner has received.
        self.received = 0
        #: Number of these requests.
        self.count = 0
        #: Number of those to come that are cut instead of answered.
        self.cut = 0
        #: Whether they are received, but not answered.
        self.silent = False


class Notices:
    """What the answers of a runner say about further requests."""

    __slots__ = ('leaving', 'pause_s')

    def __init__(self) -> None:
        """Say nothing."""
        #: Whether all answers say that the runner leaves.
        self.leaving = False
        #: Seconds for which its refusals ask for no requests; 0: not stated.
        self.pause_s = 0.0


class Traits:
    """Lasting properties of a runner."""

    __slots__ = (
        'born',
        'deadly_bodies',
        'deadly_parts',
        'late_s',
        'notices',
        'pause_after',
        'pause_s',
        'reports',
        'requests_per_s',
        'unframed',
        'version',
    )

    def __init__(self) -> None:
        """Start without limits and faults."""
        #: Start in Unix milliseconds that it reports of itself; 0: none.
        self.born = 0
        #: What happens to requests for what the runner says of itself.
        self.reports = Reports()
        #: Whether streams have no chunks and end with their connections.
        self.unframed = False
        #: Bodies that crash the runner.
        self.deadly_bodies: frozenset[bytes] = frozenset()
        #: Prompt parts that crash the runner.
        self.deadly_parts: frozenset[str] = frozenset()
        #: Seconds until a behaviour that comes late.
        self.late_s = 1.0
        #: What its answers say about further requests.
        self.notices = Notices()
        #: Duration in seconds of a pause in each stream; 0: no pause.
        self.pause_s = 0.0
        #: Events that the runner sends on a stream before the pause.
        self.pause_after = 0
        #: Content of the header that names its limit; empty: no header.
        self.requests_per_s = ''
        #: Software version that the events of streams name; empty: none.
        self.version = ''

    def list_header_lines(self) -> list[str]:
        """Return the header lines of all its answers to requests."""
        lines: list[str] = []
        if self.requests_per_s:
            lines.append(f'{_RATE}: {self.requests_per_s}')
        if self.notices.leaving:
            lines.append(f'{_LEAVING}: 1')
        return lines

    def build_report(self) -> bytes:
        """Return what the runner says of itself, as JSON."""
        report = {'stage': 'mixed', 'busy': False, 'seq': 1}
        if self.born:
            report['born'] = self.born
        return json.dumps(report).encode()

    def is_deadly(self, request: ReceivedRequest) -> bool:
        """Return whether a request crashes the runner."""
        return bool(request.parts & self.deadly_parts) or (
            request.body in self.deadly_bodies
        )


def build_event(number: int, version: str = '') -> bytes:
    """Return one event of a stream.

    :param version: software version that it names; empty: none.
    """
    named = f' of {version}' if version else ''
    return b'id: %d\ndata: event %d%s\n\n' % (number, number, named.encode())
