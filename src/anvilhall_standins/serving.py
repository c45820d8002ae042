"""What all stand-ins share: an HTTP server on loopback and timed faults."""

import asyncio
import signal
from typing import Any

import msgspec
from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

#: Prompts of whole documents reach an engine in one body.
_BODY_LIMIT_BYTES = 64 * 1024 * 1024


class Fault(msgspec.Struct, frozen=True):
    """A fault to show from now on.

    The kinds are listed on the page of each stand-in.
    """

    kind: str
    #: Seconds for which the fault lasts.
    for_s: float = 60.0
    #: Times slower, delay in seconds or count, depending on the kind.
    amount: float = 1.0


class Faults:
    """The faults that a stand-in shows at present."""

    __slots__ = ('_amounts', '_until')

    def __init__(self) -> None:
        """Start without faults."""
        self._until: dict[str, float] = {}
        self._amounts: dict[str, float] = {}

    def start(self, fault: Fault) -> None:
        """Show a fault for its time; no time ends it."""
        loop = asyncio.get_running_loop()
        self._until[fault.kind] = loop.time() + fault.for_s
        self._amounts[fault.kind] = fault.amount

    def get(self, kind: str) -> float:
        """Return the amount of a fault, 0 if it is not shown."""
        if asyncio.get_running_loop().time() >= self._until.get(kind, 0):
            return 0
        return self._amounts[kind]

    def consume(self, kind: str) -> bool:
        """Use one of a fault's count; return whether there was one."""
        if self.get(kind) < 1:
            return False
        self._amounts[kind] -= 1
        return True


class FaultHandler(RequestHandler):
    """Starts faults on demand."""

    def initialize(self, faults: Faults) -> None:
        """Take the faults from the application."""
        self._faults = faults

    def post(self) -> None:
        """Start the fault in the body."""
        fault = msgspec.json.decode(self.request.body, type=Fault)
        self._faults.start(fault)


def write_json(handler: RequestHandler, answer: Any) -> None:
    """End a response with a JSON body."""
    handler.set_header('Content-Type', 'application/json')
    handler.finish(msgspec.json.encode(answer))


def suppress_access_log(handler: RequestHandler) -> None:
    """Keep tornado from writing a line for each request."""


async def serve_until_signal(application: Application, port: int) -> None:
    """Serve on loopback until SIGTERM."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    server = HTTPServer(application, max_body_size=_BODY_LIMIT_BYTES)
    server.listen(port, '127.0.0.1')
    await stop.wait()
    server.stop()
