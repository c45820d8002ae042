"""A stand-in of a runner that speaks the platform's protocol.

It works on raw connections, so that it can answer as badly as real ones do.
The next requests are answered as the queued behaviours say, then well:
``reset`` runs and resets the connection; ``mute`` runs and says nothing;
``twice`` sends a second answer behind the first; ``foreign`` answers with
another request's identifier; ``short`` breaks off within the body; ``full``
refuses and states that it has not run; ``busy`` answers 503 without that
statement; ``error`` answers 500; ``moved`` answers as another runner at the
address; ``early`` answers before it has read the body; ``unframed`` ends the
answer with the connection.
"""

import asyncio
import collections
import contextlib

from tornado.httputil import HTTPHeaders

_HEAD_END = b'\r\n\r\n'
_ID = 'Anvilhall-Request-Id'
_SEAL = 'Anvilhall-Server-Seal'
_NOT_RUN = 'Anvilhall-Not-Executed'
_EXPECTED = 'Anvilhall-Expect-Instance'
_ERROR_STATUSES = {'busy': 503, 'error': 500}
#: Seconds between two events of a stream.
_EVENT_S = 0.01


class ReceivedRequest:
    """A request as the runner has read it."""

    __slots__ = ('body', 'headers', 'method', 'target')

    def __init__(self, head: bytes, body: bytes) -> None:
        """Decode the head."""
        lines = head.decode('latin-1').split('\r\n')
        request_line = lines[0].split(' ')
        self.method = request_line[0]
        self.target = request_line[1]
        self.headers = HTTPHeaders.parse('\r\n'.join(lines[1:]))
        self.body = body

    @property
    def request_id(self) -> str:
        """Identifier of the caller's attempt."""
        return self.headers.get(_ID, '')


class StandInRunner:
    """One runner on loopback."""

    def __init__(self, name: str, events: int = 0) -> None:
        """Prepare.

        :param name: identifier under which it is registered.
        :param events: events of each answer; 0: a plain answer.
        """
        self.name = name
        self.events = events
        #: What the next requests meet, first one first.
        self.behaviours: collections.deque[str] = collections.deque()
        #: Requests that it has run, in order.
        self.runs: list[ReceivedRequest] = []
        #: Requests whose connection was closed before their answer ended.
        self.disconnected_ids: list[str] = []
        #: Seconds of work before an answer begins.
        self.work_s = 0.0
        #: Event after which a stream that began before it is cut.
        self.cut_after = 0
        #: Smallest size of a plain answer's body.
        self.body_bytes = 0
        self.address = ''
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port of loopback."""
        self._server = await asyncio.start_server(
            self._serve,
            '127.0.0.1',
            0,
        )
        host, port = self._server.sockets[0].getsockname()
        self.address = f'{host}:{port}'

    def stop(self) -> None:
        """Accept no more connections."""
        if self._server:
            self._server.close()

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        with contextlib.suppress(
            asyncio.IncompleteReadError,
            ConnectionError,
        ):
            while await self._serve_one(reader, writer):
                await writer.drain()
        writer.close()

    async def _serve_one(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        head = (await reader.readuntil(_HEAD_END))[: -len(_HEAD_END)]
        behaviour = self.behaviours.popleft() if self.behaviours else ''
        request = ReceivedRequest(head, b'')
        if behaviour == 'early':
            self._answer(writer, request, 413, b'too long')
            await writer.drain()
        size = int(request.headers.get('Content-Length', '0'))
        request.body = await reader.readexactly(size)
        if behaviour == 'early':
            return True
        if request.headers.get(_EXPECTED, self.name) != self.name:
            behaviour = 'moved'
        return await self._behave(behaviour, request, reader, writer)

    async def _behave(
        self,
        behaviour: str,
        request: ReceivedRequest,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        if behaviour == 'moved':
            self._answer(writer, request, 421, b'')
            return True
        if behaviour == 'full':
            self._answer(writer, request, 503, b'', ((_NOT_RUN, '1'),))
            return True
        self.runs.append(request)
        if behaviour == 'reset':
            writer.transport.abort()
            return False
        if behaviour == 'mute' or not await self._work(request, reader):
            await reader.read()
            self.disconnected_ids.append(request.request_id)
            return False
        return await self._end(behaviour, request, reader, writer)

    async def _end(
        self,
        behaviour: str,
        request: ReceivedRequest,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        status = _ERROR_STATUSES.get(behaviour)
        if status:
            self._answer(writer, request, status, b'failed')
        elif behaviour == 'foreign':
            self._answer(writer, request, 200, b'foreign', request_id='other')
        elif behaviour in {'short', 'unframed'}:
            await self._break_off(behaviour, request, writer)
            return False
        elif self.events:
            return await self._stream(request, writer)
        else:
            self._answer(writer, request, 200, self._build_body(request))
            if behaviour == 'twice':
                self._answer(writer, request, 200, b'again')
        return True

    async def _break_off(
        self,
        behaviour: str,
        request: ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> None:
        if behaviour == 'short':
            self._answer(writer, request, 200, b'short', missing=9)
        else:
            head = (
                f'HTTP/1.1 200 OK\r\n{_ID}: {request.request_id}\r\n'
                f'{_SEAL}: {self.name}.{request.request_id}\r\n\r\n'
            )
            writer.write(head.encode())
            writer.write(b'unframed')
        await writer.drain()

    async def _work(
        self,
        request: ReceivedRequest,
        reader: asyncio.StreamReader,
    ) -> bool:
        """Work; return whether the caller is still there."""
        if not self.work_s:
            return True
        try:
            async with asyncio.timeout(self.work_s):
                gone = await reader.read(1)
        except TimeoutError:
            return True
        return bool(gone)

    def _build_body(self, request: ReceivedRequest) -> bytes:
        body = f'{self.name} ran {request.request_id}'.encode()
        return body.ljust(self.body_bytes)

    def _answer(
        self,
        writer: asyncio.StreamWriter,
        request: ReceivedRequest,
        status: int,
        body: bytes,
        extra: tuple[tuple[str, str], ...] = (),
        request_id: str = '',
        missing: int = 0,
    ) -> None:
        lines = [
            f'HTTP/1.1 {status} Status',
            f'{_ID}: {request_id or request.request_id}',
            f'Content-Length: {len(body) + missing}',
            'Keep-Alive: timeout=5',
        ]
        if not extra and status != 421:
            lines.append(f'{_SEAL}: {self.name}.{request.request_id}')
        lines.extend(f'{name}: {text}' for name, text in extra)
        head = '\r\n'.join(lines).encode()
        body = b'' if request.method == 'HEAD' else body
        writer.write(head + _HEAD_END + body)

    async def _stream(
        self,
        request: ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> bool:
        head = (
            f'HTTP/1.1 200 OK\r\n{_ID}: {request.request_id}\r\n'
            f'{_SEAL}: {self.name}.{request.request_id}\r\n'
            'Content-Type: text/event-stream\r\n'
            'Transfer-Encoding: chunked\r\n\r\n'
        )
        writer.write(head.encode())
        first = int(request.headers.get('Last-Event-Id', '0')) + 1
        for number in range(first, self.events + 1):
            event = f'id: {number}\ndata: event {number}\n\n'.encode()
            if first <= self.cut_after < number:
                self.cut_after = 0
                writer.write(b'%x\r\n' % len(event) + event[:6])
                await writer.drain()
                writer.transport.abort()
                return False
            writer.write(b'%x\r\n%s\r\n' % (len(event), event))
            await writer.drain()
            await asyncio.sleep(_EVENT_S)
        writer.write(b'0\r\n\r\n')
        return True
