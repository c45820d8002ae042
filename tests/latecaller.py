"""A caller whose request body follows long after the head."""

import asyncio

#: Seconds within which a response must begin.
ANSWER_S = 10


class LateCaller:
    """Sends the head of a request, and the body when told.

    :param lines: request line and headers, without the length of the body.
    """

    def __init__(self, lines, body):
        length = f'Content-Length: {len(body)}'
        self._head = '\r\n'.join((*lines, length, '', '')).encode()
        self._body = body

    async def send_head(self, port):
        """Connect to a port of the loopback interface and send the head."""
        self._reader, self._writer = await asyncio.open_connection(
            '127.0.0.1', port
        )
        self._writer.write(self._head)

    def send_body(self):
        """Send the body."""
        self._writer.write(self._body)

    async def read_status(self):
        """Return the status of the response; 0 if there is none."""
        async with asyncio.timeout(ANSWER_S):
            line = await self._reader.readline()
        return int(line.split()[1]) if line else 0
