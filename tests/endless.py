"""Server whose answers never end, in any part of an HTTP response."""

import asyncio
import contextlib
import re

#: Bytes of one write.
_PIECE_BYTES = 16 * 1024
_ID = re.compile(rb'(?im)^(?:Anvilhall-Request-Id|X-Request-Id): *(\S+)')
_LENGTH = re.compile(rb'(?im)^Content-Length: *(\d+)')
HEAD = (
    b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
    b'Anvilhall-Request-Id: %s\r\nAnvilhall-Server-Seal: x.y\r\n'
)
_CHUNKED = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
EVENT = b'data: {"choices":[{"delta":{"content":"word "}}]}\n\n'

#: For each form, how the answer starts and what follows again and again: bytes
#: that are no part of a body.
OVERHEAD = {
    'status line': (b'HTTP/1.1 200 ', b'x'),
    'one header': (HEAD + b'X-Filler: ', b'x'),
    'many headers': (HEAD, b'X-Filler: x\r\n'),
    'folded header': (HEAD + b'X-Filler: x\r\n', b' x\r\n'),
    'informational responses': (b'', b'HTTP/1.1 103 Early Hints\r\n\r\n'),
    'blank lines': (b'', b'\r\n'),
    'chunk size': (_CHUNKED, b'0'),
    'chunk extension': (_CHUNKED + b'1;x=', b'x'),
    'chunk extensions': (_CHUNKED, b'1;x=%s\r\n\n\r\n' % (b'x' * 8000)),
    'trailers': (_CHUNKED + b'0\r\n', b'X-Filler: x\r\n'),
}
#: The same of a body.
BODIES = {
    'length': (HEAD + b'Content-Length: 999999999999\r\n\r\n', b'x'),
    'no length': (HEAD + b'\r\n', b'x'),
    'tiny chunks': (_CHUNKED, b'1\r\nx\r\n'),
    'events': (_CHUNKED, b'%x\r\n%s\r\n' % (len(EVENT), EVENT)),
}
FORMS = OVERHEAD | BODIES


class EndlessServer:
    """Sends answers of one form until the client closes.

    :param form: key of :data:`FORMS`.
    """

    def __init__(self, form):
        self._start, unit = FORMS[form]
        self._piece = unit * max(1, _PIECE_BYTES // len(unit))
        #: Bytes sent in the longest answer.
        self.longest = 0
        self.open = 0
        self.answers = 0
        self.address = ''
        self._server = None

    async def start(self):
        """Listen on a free port of the loopback interface."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f'{host}:{port}'

    def stop(self):
        """Stop accepting connections."""
        if self._server:
            self._server.close()

    async def _serve(self, reader, writer):
        self.open += 1
        with contextlib.suppress(
            asyncio.IncompleteReadError,
            ConnectionError,
        ):
            await self._answer(reader, writer)
        self.open -= 1
        writer.close()

    async def _answer(self, reader, writer):
        head = await reader.readuntil(b'\r\n\r\n')
        length = _LENGTH.search(head)
        await reader.readexactly(int(length[1]) if length else 0)
        named = _ID.search(head)
        self.answers += 1
        await self._send(writer, named[1] if named else b'none')

    async def _send(self, writer, request_id):
        start = self._start
        if b'%s' in start:
            start %= request_id
        writer.write(start)
        sent = len(start)
        while True:
            writer.write(self._piece)
            sent += len(self._piece)
            self.longest = max(self.longest, sent)
            await writer.drain()
            await asyncio.sleep(0)


@contextlib.asynccontextmanager
async def open_endless(form):
    """Run a server whose answers never end."""
    server = EndlessServer(form)
    await server.start()
    try:
        yield server
    finally:
        server.stop()
