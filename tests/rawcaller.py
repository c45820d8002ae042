"""A caller that sends a request in pieces and reads the answer byte by byte."""

import asyncio
import socket

#: Scenarios that run at once on one event loop.
_AT_ONCE = 4
#: Seconds within which an answer must end.
ANSWER_S = 10
#: Bytes of an answer that are kept unread.
_NARROW_BYTES = 1024
_WIDE_BYTES = 64 * 1024
_HEAD_END = b'\r\n\r\n'


class Answer:
    """What a caller has got on its connection."""

    def __init__(self, status=0, head='', body=b'', *, whole=False):
        self.status = status
        self.head = head
        self.body = body
        #: Whether the answer has ended as its framing says.
        self.whole = whole

    def __repr__(self):
        state = 'whole' if self.whole else 'cut'
        return f'<{self.status} {state} {self.body[-300:]!r}>'


class RawCaller:
    """One connection of a caller.

    :param lines: request line and headers, without those on the body.
    """

    def __init__(self, lines, body=b'', *, chunked=False):
        framing = f'Content-Length: {len(body)}'
        if chunked:
            framing = 'Transfer-Encoding: chunked'
        self._chunked = chunked
        self._head = '\r\n'.join((*lines, framing, '', '')).encode()
        self._body = body

    async def connect(self, port, *, narrow=False, kept_bytes=0):
        """Connect to a port of the loopback interface.

        :param narrow: whether few bytes fit into the connection, so that the
            rest of an answer that is not read waits at its sender.
        :param kept_bytes: size of the socket's buffer; 0: the default.
        """
        caller = socket.socket()
        if kept_bytes:
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, kept_bytes)
        if narrow:
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1)
            caller.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 536)
        caller.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(caller, ('127.0.0.1', port))
        self._reader, self._writer = await asyncio.open_connection(
            sock=caller, limit=_NARROW_BYTES if narrow else _WIDE_BYTES
        )

    def continue_on(self, other):
        """Use the connection of another caller."""
        self._reader, self._writer = other._reader, other._writer

    def send_head(self, size=0):
        """Send the head and the first bytes of the body."""
        self._writer.write(self._head)
        self.send_body(size)

    def send_body(self, size):
        """Send the next bytes of the body."""
        piece, self._body = self._body[:size], self._body[size:]
        if piece and self._chunked:
            piece = b'%x\r\n%s\r\n' % (len(piece), piece)
        self._writer.write(piece)

    def send_bytes(self, sent):
        """Send bytes that are not part of the body."""
        self._writer.write(sent)

    def send_rest(self):
        """Send the rest of the body and its end."""
        self.send_body(len(self._body))
        if self._chunked:
            self._writer.write(b'0\r\n\r\n')

    async def send_slowly(self, pieces, pause_s):
        """Send the rest of the body in a number of pieces with pauses."""
        size = -(-len(self._body) // pieces)
        for _ in range(pieces):
            self.send_body(size)
            await asyncio.sleep(pause_s)
        self.send_rest()

    async def read_bytes(self, size):
        """Read a number of bytes, or those before the connection ends."""
        try:
            async with asyncio.timeout(ANSWER_S):
                return await self._reader.readexactly(size)
        except asyncio.IncompleteReadError as error:
            return error.partial

    async def read_answer(self):
        """Read one answer; it is not whole if the connection ends within."""
        answer = Answer()
        try:
            async with asyncio.timeout(ANSWER_S):
                await self._read_into(answer)
        except (asyncio.IncompleteReadError, OSError):
            return answer
        answer.whole = True
        return answer

    async def read_slowly(self, bytes_per_s):
        """Read one answer at a limited speed."""
        fast, self._reader = self._reader, asyncio.StreamReader()
        pump = asyncio.ensure_future(_pump(fast, self._reader, bytes_per_s))
        try:
            return await self.read_answer()
        finally:
            pump.cancel()

    def close(self):
        """Close the connection."""
        self._writer.close()

    async def _read_into(self, answer):
        head = await self._reader.readuntil(_HEAD_END)
        answer.head = head.decode('latin-1')
        answer.status = int(head.split()[1])
        lines = answer.head.lower().split('\r\n')
        if 'transfer-encoding: chunked' in lines:
            await self._read_chunks(answer)
            return
        for line in lines:
            name, _, length = line.partition(': ')
            if name == 'content-length':
                answer.body = await self._reader.readexactly(int(length))
                return
        answer.body = await self._reader.read()

    async def _read_chunks(self, answer):
        while True:
            size = int(await self._reader.readuntil(b'\r\n'), 16)
            chunk = await self._reader.readexactly(size + 2)
            if not size:
                return
            answer.body += chunk[:-2]


async def _pump(source, target, bytes_per_s):
    loop = asyncio.get_running_loop()
    began = loop.time()
    read = 0
    while piece := await source.read(_WIDE_BYTES):
        target.feed_data(piece)
        read += len(piece)
        await asyncio.sleep(began + read / bytes_per_s - loop.time())
    target.feed_eof()


async def run_some_at_once(run, arguments):
    """Run a scenario with each argument, some of them at the same time.

    :return: result or exception of each run, by argument.
    """
    free = asyncio.Semaphore(_AT_ONCE)

    async def run_in_turn(argument):
        async with free:
            return await run(argument)

    runs = map(run_in_turn, arguments)
    ended = await asyncio.gather(*runs, return_exceptions=True)
    return dict(zip(arguments, ended, strict=True))
