"""Stand-in for the platform's API, which takes the calls of duties.

Faults: ``slow`` delays responses by its amount in seconds; ``busy`` answers
with 429; ``reset`` closes the connection without a response; ``silent`` delays
responses beyond the duration of any test; ``exhausted`` answers orders with
409. Calls that it answers with 429, 409 or a reset have no effect.
"""

import asyncio
from typing import Any

import msgspec
from tornado.web import Application, RequestHandler

from anvilhall_standins.serving import (
    FaultHandler,
    Faults,
    suppress_access_log,
    write_json,
)

_CONFLICT = 409
_TOO_MANY_REQUESTS = 429
#: Longer than any test.
_SILENT_S = 60.0


class ReceivedCall(msgspec.Struct, frozen=True):
    """A call that the API has received."""

    #: Time of the event loop.
    at: float
    path: str
    holder: str
    token: int
    body: bytes


class Api:
    """Calls that were received, and the faults of the stand-in."""

    __slots__ = ('calls', 'faults', 'taken')

    def __init__(self) -> None:
        """Start without calls and faults."""
        #: All calls in the order of their arrival.
        self.calls: list[ReceivedCall] = []
        #: Those of them that took effect.
        self.taken: list[ReceivedCall] = []
        self.faults = Faults()


class CallHandler(RequestHandler):
    """Takes the calls of duties."""

    def initialize(self, api: Api) -> None:
        """Keep a reference to the API."""
        self._api = api

    async def post(self) -> None:
        """Record the call and answer it, subject to the faults."""
        headers = self.request.headers
        call = ReceivedCall(
            asyncio.get_running_loop().time(),
            self.request.path,
            headers['Anvilhall-Duty-Holder'],
            int(headers['Anvilhall-Fencing-Token']),
            self.request.body,
        )
        self._api.calls.append(call)
        faults = self._api.faults
        if faults.get('reset'):
            self.request.connection.stream.close()  # type: ignore[union-attr]
            return
        if faults.get('busy'):
            self.set_status(_TOO_MANY_REQUESTS)
        elif faults.get('exhausted') and call.path == '/scale':
            self.set_status(_CONFLICT)
        else:
            self._api.taken.append(call)
        if faults.get('silent'):
            await asyncio.sleep(_SILENT_S)
        await asyncio.sleep(faults.get('slow'))
        write_json(self, {})


def build_api_app(api: Api) -> Application:
    """Build the web application of the API."""
    arguments: dict[str, Any] = {'api': api}
    return Application(
        [
            ('/usage', CallHandler, arguments),
            ('/scale', CallHandler, arguments),
            ('/faults', FaultHandler, {'faults': api.faults}),
        ],
        log_function=suppress_access_log,
    )
