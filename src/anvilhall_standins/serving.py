"""HTTP server on the loopback interface and timed faults for all stand-ins."""

import asyncio
import signal
from typing import Any

import msgspec
from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

#: High enough for a prompt that contains whole documents.
_BODY_LIMIT_BYTES = 64 * 1024 * 1024


class Fault(msgspec.Struct, frozen=True):
    """A fault that starts when the stand-in receives it.

    The docstring of each stand-in's module lists its kinds.
    """

    kind: str
    #: Duration of the fault in seconds; 0 ends a fault of this kind.
    for_s: float = 60.0
    #: Slowdown factor, delay in seconds or count, depending on the kind.
    amount: float = 1.0


class Faults:
    """The active faults of a stand-in."""

    __slots__ = ('_amounts', '_until')

    def __init__(self) -> None:
        """Create a set without active faults."""
        self._until: dict[str, float] = {}
        self._amounts: dict[str, float] = {}

    def start(self, fault: Fault) -> None:
        """Activate a fault for ``for_s`` seconds; 0 s ends the active one."""
        loop = asyncio.get_running_loop()
        self._until[fault.kind] = loop.time() + fault.for_s
        self._amounts[fault.kind] = fault.amount

    def get(self, kind: str) -> float:
        """Return the amount of an active fault, or 0 if it is not active."""
        if asyncio.get_running_loop().time() >= self._until.get(kind, 0):
            return 0
        return self._amounts[kind]

    def consume(self, kind: str) -> bool:
        """Use up one occurrence of an active fault whose amount is a count.

        :return: whether an occurrence was left.
        """
        if self.get(kind) < 1:
            return False
        self._amounts[kind] -= 1
        return True


class FaultHandler(RequestHandler):
    """Activates faults on request."""

    def initialize(self, faults: Faults) -> None:
        """Store the faults of the stand-in."""
        self._faults = faults

    def post(self) -> None:
        """Activate the fault described in the request body."""
        fault = msgspec.json.decode(self.request.body, type=Fault)
        self._faults.start(fault)


def write_json(handler: RequestHandler, answer: Any) -> None:
    """Finish a response with a JSON body."""
    handler.set_header('Content-Type', 'application/json')
    handler.finish(msgspec.json.encode(answer))


def suppress_access_log(handler: RequestHandler) -> None:
    """Write nothing, in place of tornado's access log."""


async def serve_until_signal(application: Application, port: int) -> None:
    """Serve on the loopback interface until SIGTERM arrives."""
    terminated = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, terminated.set)
    server = HTTPServer(application, max_body_size=_BODY_LIMIT_BYTES)
    server.listen(port, '127.0.0.1')
    await terminated.wait()
    server.stop()
