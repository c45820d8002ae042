"""Stand-in for the platform's membership service.

Changes become visible to readers after a configured lag. Fault: ``outage``
answers reads with 503.
"""

import asyncio
import collections
import pathlib

import click
import msgspec
from tornado.web import Application, RequestHandler

from anvilhall_standins.serving import (
    FaultHandler,
    Faults,
    serve_until_signal,
    suppress_access_log,
    write_json,
)

_UNAVAILABLE = 503


class Entry(msgspec.Struct, frozen=True):
    """One member; ``pool`` is empty for instances and set for upstreams."""

    name: str
    address: str
    failure_domain: str
    pool: str = ''
    leaving: bool = False
    region: str = ''
    #: Software version; empty: not stated.
    version: str = ''
    #: Start time in Unix milliseconds; 0: not stated.
    born: int = 0


class MembershipList:
    """Members, with changes that readers see after a lag."""

    __slots__ = ('_members', '_pending', '_visible', 'faults', 'lag_s')

    def __init__(self, entries: list[Entry], lag_s: float) -> None:
        """Create a list whose initial entries are visible immediately.

        :param lag_s: seconds until a change is visible to readers.
        """
        self.lag_s = lag_s
        self.faults = Faults()
        self._members = {entry.name: entry for entry in entries}
        self._visible = list(entries)
        self._pending: collections.deque[tuple[float, list[Entry]]] = (
            collections.deque()
        )

    def put(self, entry: Entry, now: float) -> None:
        """Add or replace a member."""
        self._members[entry.name] = entry
        self._schedule_update(now)

    def remove(self, name: str, now: float) -> None:
        """Remove a member."""
        self._members.pop(name, None)
        self._schedule_update(now)

    def read(self, now: float) -> list[Entry]:
        """Return the members as of ``lag_s`` seconds ago."""
        while self._pending and self._pending[0][0] <= now:
            self._visible = self._pending.popleft()[1]
        return self._visible

    def _schedule_update(self, now: float) -> None:
        members = list(self._members.values())
        self._pending.append((now + self.lag_s, members))


class ListHandler(RequestHandler):
    """Reads and changes the list."""

    def initialize(self, listing: MembershipList) -> None:
        """Store the membership list."""
        self._listing = listing

    def get(self) -> None:
        """Return the visible members."""
        if self._listing.faults.get('outage'):
            self.set_status(_UNAVAILABLE)
            self.finish()
            return
        now = asyncio.get_running_loop().time()
        write_json(self, {'members': self._listing.read(now)})

    def post(self) -> None:
        """Add or replace the member in the request body."""
        entry = msgspec.json.decode(self.request.body, type=Entry)
        self._listing.put(entry, asyncio.get_running_loop().time())

    def delete(self) -> None:
        """Remove the member named by the argument ``name``."""
        name = self.get_argument('name')
        self._listing.remove(name, asyncio.get_running_loop().time())


def build_list_app(listing: MembershipList) -> Application:
    """Build the web application of the membership service."""
    return Application(
        [
            ('/members', ListHandler, {'listing': listing}),
            ('/fault', FaultHandler, {'faults': listing.faults}),
        ],
        log_function=suppress_access_log,
    )


@click.command()
@click.option('--port', type=int, required=True)
@click.option('--members', type=click.Path(path_type=pathlib.Path))
@click.option('--lag', type=float, default=1.0, show_default=True)
def run_list(port: int, members: pathlib.Path | None, lag: float) -> None:
    """Run the membership service on the loopback interface.

    The initial members are read from a JSON file.
    """
    entries: list[Entry] = []
    if members:
        entries = msgspec.json.decode(members.read_bytes(), type=list[Entry])
    application = build_list_app(MembershipList(entries, lag))
    asyncio.run(serve_until_signal(application, port))


if __name__ == '__main__':
    run_list()
