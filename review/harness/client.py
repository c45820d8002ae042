"""Clients: one request on one connection, read as HTTP/1.1 says."""

import asyncio
import itertools

from harness.site import HOST, KEY

_numbers = itertools.count(1)


class Answer:
    """What a client has got for a request."""

    def __init__(self):
        self.request_id = ''
        self.status = 0
        self.headers = {}
        self.body = b''
        #: Whether the answer has ended as its framing says.
        self.whole = False


def build_request(method, path, body=b'', **headers):
    """Return the identifier and the bytes of a request."""
    request_id = headers.pop('request_id', '') or f'{next(_numbers):016x}'
    lines = [
        f'{method} {path} HTTP/1.1',
        f'Host: {HOST}',
        f'Anvilhall-Request-Id: {request_id}',
        f'Anvilhall-Credential: {KEY}',
    ]
    lines += [f'{name.replace("_", "-")}: {text}' for name, text in headers.items()]
    if body or method == 'POST':
        lines.append(f'Content-Length: {len(body)}')
    return request_id, '\r\n'.join([*lines, '', '']).encode() + body


async def read_answer(reader, answer):
    """Read one answer; an end that comes too early leaves it not whole."""
    try:
        head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
        lines = head.split('\r\n')
        answer.status = int(lines[0].split(' ')[1])
        for line in lines[1:]:
            name, _, text = line.partition(':')
            answer.headers[name.strip().lower()] = text.strip()
        if answer.headers.get('transfer-encoding') == 'chunked':
            while True:
                size = int((await reader.readuntil(b'\r\n')).strip(), 16)
                chunk = await reader.readexactly(size + 2)
                if not size:
                    break
                answer.body += chunk[:-2]
        else:
            size = int(answer.headers.get('content-length', '0'))
            while len(answer.body) < size:
                piece = await reader.read(size - len(answer.body))
                if not piece:
                    return answer
                answer.body += piece
        answer.whole = True
    except (asyncio.IncompleteReadError, ConnectionError):
        pass
    return answer


async def send(port, method, path, body=b'', timeout_s=10, **headers):
    """Send a request on a connection of its own and return the answer."""
    request_id, encoded = build_request(method, path, body, **headers)
    answer = Answer()
    answer.request_id = request_id
    try:
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
    except OSError:
        return answer
    try:
        writer.write(encoded)
        async with asyncio.timeout(timeout_s):
            await read_answer(reader, answer)
    except (TimeoutError, ConnectionError):
        pass
    finally:
        writer.close()
    return answer
