"""Stand-in for a plain service whose calls may not all be repeated.

Faults: ``slow`` delays answers by its amount in seconds; ``lose_answer`` closes
that many connections after the call took effect; ``refuse`` refuses calls.
"""

import asyncio

import click
from tornado.web import Application, RequestHandler

from anvilhall_standins.serving import (
    FaultHandler,
    Faults,
    serve_until_signal,
    suppress_access_log,
    write_json,
)

_UNAVAILABLE = 503


class ServiceState:
    """Calls that took effect, in order."""

    __slots__ = ('faults', 'runs', 'work_s')

    def __init__(self, work_s: float) -> None:
        """Start empty; each call takes ``work_s`` seconds."""
        self.work_s = work_s
        self.faults = Faults()
        self.runs: list[str] = []


class CallHandler(RequestHandler):
    """Takes a call and counts it."""

    def initialize(self, state: ServiceState) -> None:
        """Take the state from the application."""
        self._state = state

    async def get(self, path: str) -> None:
        """Take a call without a body."""
        await self._work(path)

    async def post(self, path: str) -> None:
        """Take a call with a body."""
        await self._work(path)

    async def _work(self, path: str) -> None:
        state = self._state
        if state.faults.get('refuse'):
            self.set_status(_UNAVAILABLE)
            self.finish()
            return
        request_id = self.request.headers.get('X-Request-Id', '')
        state.runs.append(
            self.request.headers.get('Idempotency-Key', request_id)
        )
        number = len(state.runs)
        await asyncio.sleep(state.work_s + state.faults.get('slow'))
        if state.faults.consume('lose_answer'):
            self.request.connection.detach().close()  # type: ignore[union-attr]
            return
        write_json(self, {'path': path, 'number': number})


class LoadHandler(RequestHandler):
    """Tells which calls took effect."""

    def initialize(self, state: ServiceState) -> None:
        """Take the state from the application."""
        self._state = state

    def get(self) -> None:
        """Answer with the keys or identifiers of all calls."""
        write_json(self, {'runs': self._state.runs})


def build_service_app(state: ServiceState) -> Application:
    """Return the application of a plain service."""
    return Application(
        [
            ('/load', LoadHandler, {'state': state}),
            ('/fault', FaultHandler, {'faults': state.faults}),
            ('/(.*)', CallHandler, {'state': state}),
        ],
        log_function=suppress_access_log,
    )


@click.command()
@click.option('--port', type=int, required=True)
@click.option('--work-ms', type=float, default=5, show_default=True)
def run_service(port: int, work_ms: float) -> None:
    """Run a plain service on loopback."""
    application = build_service_app(ServiceState(work_ms / 1000))
    asyncio.run(serve_until_signal(application, port))


if __name__ == '__main__':
    run_service()
