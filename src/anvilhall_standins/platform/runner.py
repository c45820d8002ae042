"""Stand-in for a runner that speaks the platform's protocol.

It writes raw HTTP to its connections, as an HTTP library would not send the
malformed responses of real runners. Each request consumes one queued behaviour;
requests without one are answered correctly. Behaviours:

``reset``: run the request, then reset the connection.
``mute``: run the request, but send no response.
``twice``: send a second response after the first.
``foreign``: respond with the identifier of another request.
``short``: close the connection before the end of the body.
``full``: respond with 503 and state that the request was not run.
``full-N`` and ``anonymous-N``: the same with status N, and without the
    identifier of the request.
``stale``: run the request, but send the connection's last refusal once more;
    without one, respond correctly.
``busy``: run the request and respond with 503, without that statement.
``error``: run the request and respond with 500.
``status-N``: run the request and respond with status N.
``page``: run the request and respond with 200 and a body with blank lines.
``close-N``: run the request and close after N bytes of the response;
    ``chunked-N`` and ``bare-N``: the same for a plain response in chunks, and
    for one without length.
``moved``: respond with 421, as a runner that replaced the expected one.
``early``: respond with 413 before the body was read.
``unframed``: send no length; the end of the connection ends the body.
``endless-head``: send header lines until the client closes.
``endless-info``: send informational responses until the client closes.
``endless-body``: send a body without length until the client closes.
``copy-N``: send N bytes of a second copy of the response after it, and the rest
    before the response to the next request on the connection.
``unread``: reset the connection without reading the request.
``cut-head``, ``cut-after-head``, ``cut-body``: run the request, then reset the
    connection within the head, after it or within the body of the response.
``unframed-stream``: stream all events without chunks, then close.
``unframed-stream-cut-N``: the same, but close after N bytes of the events.
``halves``: send half of a body without length, and the other half after the
    pause of an event; then close.
``drip``: stream one event and then, byte by byte, one that never ends.

A runner whose traits have ``requests_per_s`` names that limit in its answers;
one whose traits have ``version`` names that version in the events of streams.
One whose traits have ``deadly_parts`` or ``deadly_bodies`` crashes when it
begins to answer a request whose prompt or body has one of them: all connections
are reset, and it is away for a while. One whose traits have ``pause_s`` falls
silent once in each stream, after ``pause_after`` events, and then goes on. One
whose traits are ``unframed`` streams without chunks and closes the connection
after the last event. A behaviour that begins with ``late:``, such as
``late:full``, comes ``late_s`` of the traits after the request.
"""

import asyncio
import collections
import contextlib

from anvilhall_standins.platform.received import (
    REQUEST_ID,
    ReceivedRequest,
    Traits,
    build_event,
)

#: Start of a request for what the runner says of itself.
_REPORT_LINE = b'GET /report '
_HEAD_END = b'\r\n\r\n'
_SEAL = 'Anvilhall-Server-Seal'
_NOT_RUN = 'Anvilhall-Not-Executed'
_EXPECTED = 'Anvilhall-Expect-Instance'
_CHUNKED = 'Transfer-Encoding: chunked'
_STREAM_LINE = 'Content-Type: text/event-stream'
_ERROR_STATUSES = {'busy': 503, 'error': 500, 'page': 200}
#: Body of responses with these and other given statuses.
_PAGE = b'no\n\nstream\n\n'
#: Bytes sent before a response is cut, as a share of the size of its head.
_CUT_SHARES = {'cut-head': 0.5, 'cut-after-head': 1.0, 'cut-body': 1.05}
_LATE = 'late:'
#: Default pause in seconds after each event of a stream.
_EVENT_S = 0.01
#: Pause in seconds after each byte of an event that never ends.
_DRIP_S = 0.05
#: Seconds for which a runner is away after a crash.
_AWAY_S = 0.3
#: Largest piece of a padded body.
_PIECE_BYTES = 64 * 1024
#: Pause in seconds between a response and the start of its copy.
_COPY_DELAY_S = 0.002


class StandInRunner:
    """One runner on the loopback interface."""

    def __init__(self, name: str, events: int = 0) -> None:
        """Create a runner that does not listen yet.

        :param name: identifier under which the runner is registered.
        :param events: number of events per response; 0 for plain responses.
        """
        self.name = name
        self.events = events
        #: Behaviours for the next requests, in order of arrival.
        self.behaviours: collections.deque[str] = collections.deque()
        #: Requests that ran, in order.
        self.runs: list[ReceivedRequest] = []
        #: Identifiers of requests whose client disconnected before a response
        #: began.
        self.disconnected_ids: list[str] = []
        #: Of each stream, the request's identifier, the loop times between
        #: which the runner worked on it, and that of its first event, if any.
        self.spans: list[tuple[str, float, float, float | None]] = []
        self._open_streams: dict[str, float] = {}
        #: Duration in seconds of the work before a response.
        self.work_s = 0.0
        #: Pause in seconds after each event of a stream.
        self.event_s = _EVENT_S
        #: Number of the event after which a stream is cut, once; 0 for none. A
        #: stream that resumes after that event is not cut.
        self.cut_after = 0
        #: Minimum size in bytes of a plain response's body (padded).
        self.body_bytes = 0
        self.address = ''
        self.traits = Traits()
        self._restart: asyncio.Task[None] | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        #: Rest of a copy to be sent before the next response, by connection.
        self._copies: dict[asyncio.StreamWriter, bytes] = {}
        #: Responses after which the connection ends, by behaviour.
        self._last_responses = {
            'short': self._respond_and_close,
            'unframed': self._respond_and_close,
            'halves': self._respond_and_close,
            'endless-head': self._send_without_end,
            'endless-info': self._send_without_end,
            'endless-body': self._send_without_end,
            'drip': self._drip,
            'unframed-stream': self._stream_unframed,
        }
        #: Last refusal of the connections that sent one.
        self._refusals: dict[asyncio.StreamWriter, bytes] = {}
        self._server: asyncio.Server | None = None

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._writers)

    async def start(self) -> None:
        """Listen on a free port of the loopback interface."""
        self._server = await asyncio.start_server(
            self._serve,
            '127.0.0.1',
            0,
        )
        host, port = self._server.sockets[0].getsockname()
        self.address = f'{host}:{port}'

    def stop(self) -> None:
        """Stop accepting connections."""
        if self._restart:
            self._restart.cancel()
        if self._server:
            self._server.close()

    def crash(self) -> None:
        """Reset all connections and refuse new ones for a while."""
        self.stop()
        for writer in list(self._writers):
            writer.transport.abort()
        self._restart = asyncio.ensure_future(self._return())

    def kill(self) -> None:
        """End as a killed process does: its connections close in order."""
        self.stop()
        for writer in list(self._writers):
            writer.close()

    async def _return(self) -> None:
        await asyncio.sleep(_AWAY_S)
        await self.listen_again()

    async def listen_again(self) -> None:
        """Accept connections at the address that the runner had."""
        host, port = self.address.split(':')
        self._server = await asyncio.start_server(self._serve, host, int(port))

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._writers.add(writer)
        with contextlib.suppress(
            asyncio.IncompleteReadError,
            ConnectionError,
        ):
            while await self._handle_request(reader, writer):
                await writer.drain()
        self._writers.discard(writer)
        writer.close()

    async def _handle_request(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        head = (await reader.readuntil(_HEAD_END))[: -len(_HEAD_END)]
        self.traits.reports.received += 1
        if head.startswith(_REPORT_LINE):
            return self._report(writer)
        behaviour = self.behaviours.popleft() if self.behaviours else ''
        late, behaviour = _split_late(behaviour)
        if behaviour == 'unread':
            writer.transport.abort()
            return False
        request = ReceivedRequest(head, b'')
        if behaviour == 'early':
            self._respond(writer, request, 413, b'too long')
            await writer.drain()
        writer.write(self._copies.pop(writer, b''))
        size = int(request.headers.get('Content-Length', '0'))
        request.body = await reader.readexactly(size)
        if behaviour == 'early':
            return True
        if request.headers.get(_EXPECTED, self.name) != self.name:
            behaviour = 'moved'
        if late:
            await asyncio.sleep(self.traits.late_s)
        return await self._apply_behaviour(behaviour, request, reader, writer)

    def _report(self, writer: asyncio.StreamWriter) -> bool:
        self.traits.reports.count += 1
        report = self.traits.build_report()
        if self.traits.reports.cut:
            self.traits.reports.cut -= 1
            return False
        if self.traits.reports.silent:
            return True
        head = f'HTTP/1.1 200 OK\r\nContent-Length: {len(report)}'
        writer.write(head.encode() + _HEAD_END + report)
        return True

    async def _apply_behaviour(
        self,
        behaviour: str,
        request: ReceivedRequest,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        kind, _, number = behaviour.partition('-')
        if behaviour == 'moved':
            self._respond(writer, request, 421, b'', sealed=False)
            return True
        if kind in {'full', 'anonymous'}:
            self._refuse(kind, int(number or '503'), request, writer)
            return True
        self.runs.append(request)
        if kind == 'stale' and writer in self._refusals:
            writer.write(self._refusals[writer])
            return True
        if kind in {'close', 'chunked', 'bare', 'equal', 'unequal'}:
            answer = self.build_answer(request, kind)
            writer.write(answer[: int(number or len(answer))])
            behaviour = 'end'
        sent_share = _CUT_SHARES.get(behaviour)
        if sent_share:
            await self._send_part(sent_share, request, writer)
            behaviour = 'reset'
        if behaviour in {'reset', 'end'}:
            if behaviour == 'reset':
                writer.transport.abort()
            return False
        if self.traits.is_deadly(request):
            await self._send_part(1.0, request, writer)
            self.crash()
            return False
        if behaviour == 'mute' or not await self._work(request, reader):
            await reader.read()
            self.disconnected_ids.append(request.request_id)
            return False
        return await self._send_response(behaviour, request, reader, writer)

    def _refuse(
        self,
        kind: str,
        status: int,
        request: ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> None:
        lines = [(_NOT_RUN, '1')]
        if self.traits.notices.pause_s:
            lines.append(('Retry-After', str(self.traits.notices.pause_s)))
        refusal = self._build_response(
            request, status, b'', tuple(lines), '', 0
        )
        if kind == 'anonymous':
            own_id = f'{REQUEST_ID}: {request.request_id}\r\n'
            refusal = refusal.replace(own_id.encode(), b'')
        self._refusals[writer] = refusal
        writer.write(refusal)

    def build_answer(
        self, request: ReceivedRequest, framing: str = 'close'
    ) -> bytes:
        """Return all bytes of the response to a request.

        :param framing: of a plain response: ``chunked``, ``bare`` for none, or
            ``equal`` for a length that is stated twice, ``unequal`` for two
            different ones.
        """
        body = self._build_body(request)
        if framing in {'equal', 'unequal'}:
            lengths = (len(body), len(body) + (framing == 'unequal'))
            lines = (f'Content-Length: {length}' for length in lengths)
            return self._build_head(request, *lines) + body
        if framing == 'bare':
            return self._build_head(request) + body
        if framing == 'chunked':
            head = self._build_head(request, _CHUNKED)
            return head + b'%x\r\n%s\r\n0\r\n\r\n' % (len(body), body)
        if self.events:
            numbers = range(request.first_event, self.events + 1)
            chunks = b''.join(
                b'%x\r\n%s\r\n' % (len(event), event)
                for event in map(build_event, numbers)
            )
            head = self._build_head(request, _STREAM_LINE, _CHUNKED)
            return b''.join((head, chunks, b'0\r\n\r\n'))
        return self._build_response(request, 200, body, (), '', 0)

    async def _send_part(
        self,
        share: float,
        request: ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Send a part of a response, as a share of the size of its head."""
        response = self._build_response(
            request, 200, self._build_body(request), (), '', 0
        )
        head_size = response.index(_HEAD_END) + len(_HEAD_END)
        writer.write(response[: int(head_size * share)])
        await writer.drain()
        await asyncio.sleep(_COPY_DELAY_S)

    async def _send_response(
        self,
        behaviour: str,
        request: ReceivedRequest,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        status = _read_status(behaviour)
        kind, _, _ = behaviour.partition('-cut-')
        last_response = self._last_responses.get(kind)
        if last_response:
            await last_response(behaviour, request, writer)
            return False
        if status:
            self._respond(writer, request, status, _PAGE)
        elif behaviour == 'foreign':
            self._respond(writer, request, 200, b'foreign', request_id='other')
        elif self.events:
            return await self._stream_timed(request, reader, writer)
        else:
            await self._send_padded(request, writer)
            if behaviour == 'twice':
                self._respond(writer, request, 200, b'again')
            elif behaviour.startswith('copy-'):
                await self._copy_response(behaviour, request, writer)
        return True

    async def _send_padded(
        self,
        request: ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Send a body of at least ``body_bytes``, padded in pieces.

        A large body in one piece would take seconds of the event loop on a busy
        machine, for memory that was not used before.
        """
        body = self._build_body(request)
        missing = max(0, self.body_bytes - len(body))
        self._respond(writer, request, 200, body, missing=missing)
        while missing > 0:
            await writer.drain()
            piece = min(missing, _PIECE_BYTES)
            writer.write(b' ' * piece)
            missing -= piece

    async def _copy_response(
        self,
        behaviour: str,
        request: ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> None:
        await writer.drain()
        copy = self._build_response(
            request, 200, self._build_body(request), (), '', 0
        )
        split = int(behaviour.removeprefix('copy-'))
        if split:
            await asyncio.sleep(_COPY_DELAY_S)
        writer.write(copy[:split])
        self._copies[writer] = copy[split:]

    async def _respond_and_close(
        self,
        behaviour: str,
        request: ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> None:
        if behaviour == 'short':
            self._respond(writer, request, 200, b'short', missing=9)
        elif behaviour == 'halves':
            body = self._build_body(request)
            half = len(body) // 2
            writer.write(self._build_head(request) + body[:half])
            await asyncio.sleep(self.event_s)
            writer.write(body[half:])
        else:
            writer.write(self._build_head(request))
            writer.write(b'unframed')
        await writer.drain()

    async def _stream_unframed(
        self,
        behaviour: str,
        request: ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> None:
        numbers = range(request.first_event, self.events + 1)
        events = b''.join(map(build_event, numbers))
        _, cut, size = behaviour.partition('-cut-')
        if cut:
            events = events[: int(size)]
        writer.write(self._build_head(request, _STREAM_LINE) + events)
        await writer.drain()

    async def _send_without_end(
        self,
        behaviour: str,
        request: ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> None:
        status_and_id = (
            f'HTTP/1.1 200 OK\r\n{REQUEST_ID}: {request.request_id}\r\n'
        )
        head = status_and_id
        piece = b'X-Filler: %s\r\n' % bytes(1000).replace(b'\0', b'x')
        if behaviour == 'endless-info':
            head = ''
            piece = b'HTTP/1.1 102 Processing\r\n\r\n'
        elif behaviour == 'endless-body':
            head = self._build_head(request).decode()
        writer.write(head.encode())
        while True:
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(0)

    async def _drip(
        self,
        behaviour: str,
        request: ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> None:
        head = self._build_head(request, _STREAM_LINE)
        writer.write(head)
        writer.write(build_event(1, self.traits.version))
        writer.write(b'data: ')
        while True:
            await writer.drain()
            await asyncio.sleep(_DRIP_S)
            writer.write(b'x')

    async def _work(
        self,
        request: ReceivedRequest,
        reader: asyncio.StreamReader,
    ) -> bool:
        """Work for ``work_s``; return whether the client is still connected."""
        return await _wait_connected(self.work_s, reader)

    def _build_body(self, request: ReceivedRequest) -> bytes:
        return f'{self.name} ran {request.request_id}'.encode()

    def _respond(
        self,
        writer: asyncio.StreamWriter,
        request: ReceivedRequest,
        status: int,
        body: bytes,
        extra: tuple[tuple[str, str], ...] = (),
        request_id: str = '',
        missing: int = 0,
        *,
        sealed: bool = True,
    ) -> None:
        response = self._build_response(
            request, status, body, extra, request_id, missing
        )
        if not sealed:
            line = self._build_seal_line(request)
            response = response.replace(f'{line}\r\n'.encode(), b'')
        writer.write(response)

    def _build_seal_line(self, request: ReceivedRequest) -> str:
        return f'{_SEAL}: {self.name}.{request.request_id}'

    def _build_response(
        self,
        request: ReceivedRequest,
        status: int,
        body: bytes,
        extra: tuple[tuple[str, str], ...],
        request_id: str,
        missing: int,
    ) -> bytes:
        lines = [
            f'HTTP/1.1 {status} Status',
            f'{REQUEST_ID}: {request_id or request.request_id}',
            f'Content-Length: {len(body) + missing}',
            'Keep-Alive: timeout=5',
        ]
        if not extra:
            lines.append(self._build_seal_line(request))
        lines.extend(self.traits.list_header_lines())
        lines.extend(f'{name}: {text}' for name, text in extra)
        head = '\r\n'.join(lines).encode()
        body = b'' if request.method == 'HEAD' else body
        return head + _HEAD_END + body

    def _build_head(self, request: ReceivedRequest, *lines: str) -> bytes:
        """Return the head of a successful response without a length.

        :param lines: further header lines.
        """
        all_lines = [
            'HTTP/1.1 200 OK',
            f'{REQUEST_ID}: {request.request_id}',
            self._build_seal_line(request),
            *lines,
        ]
        all_lines.extend(self.traits.list_header_lines())
        return '\r\n'.join(all_lines).encode() + _HEAD_END

    async def _stream_timed(
        self,
        request: ReceivedRequest,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        loop = asyncio.get_running_loop()
        began = loop.time()
        try:
            return await self._stream(request, reader, writer)
        finally:
            first = self._open_streams.pop(request.request_id, None)
            self.spans.append(
                (request.request_id, began, loop.time(), first),
            )

    async def _stream(
        self,
        request: ReceivedRequest,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        framing = () if self.traits.unframed else (_CHUNKED,)
        writer.write(self._build_head(request, _STREAM_LINE, *framing))
        first = request.first_event
        for number in range(first, self.events + 1):
            event = build_event(number, self.traits.version)
            pauses = number == first + self.traits.pause_after
            if pauses and not await _wait_connected(
                self.traits.pause_s, reader
            ):
                return False
            if first <= self.cut_after < number:
                self.cut_after = 0
                writer.write(b'%x\r\n' % len(event) + event[:6])
                await writer.drain()
                writer.transport.abort()
                return False
            chunk = b'%x\r\n%s\r\n' % (len(event), event)
            writer.write(chunk if framing else event)
            now = asyncio.get_running_loop().time()
            self._open_streams.setdefault(request.request_id, now)
            await writer.drain()
            await asyncio.sleep(self.event_s)
        if not framing:
            return False
        writer.write(b'0\r\n\r\n')
        return True


async def _wait_connected(
    duration_s: float, reader: asyncio.StreamReader
) -> bool:
    """Wait for a time; return whether the client is still connected."""
    if not duration_s:
        return True
    try:
        async with asyncio.timeout(duration_s):
            received = await reader.read(1)
    except TimeoutError:
        return True
    return bool(received)


def _read_status(behaviour: str) -> int | None:
    """Return the status that a behaviour responds with after a run, if any."""
    kind, _, number = behaviour.partition('-')
    return int(number) if kind == 'status' else _ERROR_STATUSES.get(behaviour)


def _split_late(behaviour: str) -> tuple[bool, str]:
    """Return whether a behaviour comes late, and the behaviour."""
    name = behaviour.removeprefix(_LATE)
    return name != behaviour, name
