"""Stand-in for a plain service, some of whose calls are not idempotent.

Each call is recorded when its work starts, for tests that count repeats.

Faults: ``slow`` delays responses by its amount in seconds; ``lose_answer``
closes the connection after the call took effect, for as many calls as its
amount; ``refuse`` answers calls with 503 before they take effect.
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
    """Calls that took effect, and the faults of the service."""

    __slots__ = ('faults', 'policy', 'runs', 'work_s')

    def __init__(self, work_s: float) -> None:
        """Create a service without calls.

        :param work_s: duration of one call in seconds.
        """
        self.work_s = work_s
        self.faults = Faults()
        #: Rate limit policy that answers state; empty: none.
        self.policy = ''
        #: Idempotency key, or else request identifier, of each call that took
        #: effect, in order.
        self.runs: list[str] = []


class CallHandler(RequestHandler):
    """Executes calls and records that they took effect."""

    def initialize(self, state: ServiceState) -> None:
        """Store the state of the service."""
        self._state = state

    async def get(self, path: str) -> None:
        """Execute a call without a body."""
        await self._run_call(path)

    async def post(self, path: str) -> None:
        """Execute a call with a body."""
        await self._run_call(path)

    async def _run_call(self, path: str) -> None:
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
        if state.policy:
            self.set_header('RateLimit-Policy', state.policy)
        write_json(self, {'path': path, 'number': number})


class LoadHandler(RequestHandler):
    """Reports which calls took effect."""

    def initialize(self, state: ServiceState) -> None:
        """Store the state of the service."""
        self._state = state

    def get(self) -> None:
        """Return the idempotency keys or request identifiers of all calls."""
        write_json(self, {'runs': self._state.runs})


def build_service_app(state: ServiceState) -> Application:
    """Build the web application of a plain service."""
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
    """Run a plain service on the loopback interface."""
    application = build_service_app(ServiceState(work_ms / 1000))
    asyncio.run(serve_until_signal(application, port))


if __name__ == '__main__':
    run_service()
