"""Event source that replaces an engine, and the bare relay.

The source sends events at a fixed pace. The bare relay is the baseline of the
benchmark: tornado's server and curl client without scheduling, validation or
metrics in between.
"""

import asyncio
import sys

from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPRequest
from tornado.web import Application, RequestHandler

from anvilhall_standins.engine import encode_event
from anvilhall_standins.serving import serve_until_signal, suppress_access_log

_EVENT = encode_event('bench-request', 'word ', last=False)
_LAST = encode_event('bench-request', 'word ', last=True)
_DONE = b'data: [DONE]\n\n'


class SourceHandler(RequestHandler):
    """Streams events as the prompt ``|EVENTS PAUSE_MS|`` asks for."""

    async def post(self) -> None:
        """Handle one request."""
        text = self.request.body.decode()
        events, pause_ms = text.split('|')[1].split()
        self.set_header('Content-Type', 'text/event-stream')
        for _ in range(int(events) - 1):
            self.write(_EVENT)
            await self.flush()
            await asyncio.sleep(float(pause_ms) / 1000)
        self.write(_LAST)
        self.finish(_DONE)


class LoadHandler(RequestHandler):
    """Reports no load."""

    def get(self) -> None:
        """Return an empty report."""
        self.finish('{}')


class BareRelayHandler(RequestHandler):
    """Forwards a request to the source and streams the response back."""

    client: CurlAsyncHTTPClient
    target: str

    async def post(self) -> None:
        """Relay one request."""
        self.set_header('Content-Type', 'text/event-stream')
        request = HTTPRequest(
            f'http://127.0.0.1:{self.target}/v1/chat/completions',
            method='POST',
            body=self.request.body,
            request_timeout=600,
            streaming_callback=self.forward_chunk,
        )
        await self.client.fetch(request)
        self.finish()

    def forward_chunk(self, chunk: bytes) -> None:
        """Forward a chunk of the response."""
        self.write(chunk)
        self.flush()


def build_source() -> Application:
    """Build the web application of the source."""
    return Application(
        [
            ('/v1/chat/completions', SourceHandler),
            ('/load', LoadHandler),
        ],
        log_function=suppress_access_log,
    )


def build_relay(target: str) -> Application:
    """Build the web application of the bare relay."""
    BareRelayHandler.target = target
    return Application(
        [('/v1/chat/completions', BareRelayHandler)],
        log_function=suppress_access_log,
    )


async def run_relay(target: str, port: int) -> None:
    """Run the bare relay on the loopback interface."""
    BareRelayHandler.client = CurlAsyncHTTPClient(
        force_instance=True,
        max_clients=500,
        max_body_size=1 << 40,
    )
    await serve_until_signal(build_relay(target), port)


if __name__ == '__main__':
    own_port = int(sys.argv[2])
    if sys.argv[1] == 'source':
        asyncio.run(serve_until_signal(build_source(), own_port))
    else:
        asyncio.run(run_relay(sys.argv[3], own_port))
