"""Stand-in for the platform's membership list.

The list is told as it was a lag ago. Faults: ``outage`` refuses everything.
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
    """One member; an upstream has a pool."""

    name: str
    address: str
    failure_domain: str
    pool: str = ''
    leaving: bool = False
    region: str = ''


class MembershipList:
    """The members, and what the list says of them after its lag."""

    __slots__ = ('_members', '_told', '_told_later', 'faults', 'lag_s')

    def __init__(self, entries: list[Entry], lag_s: float) -> None:
        """Start with members that are told at once."""
        self.lag_s = lag_s
        self.faults = Faults()
        self._members = {entry.name: entry for entry in entries}
        self._told = list(entries)
        self._told_later: collections.deque[tuple[float, list[Entry]]] = (
            collections.deque()
        )

    def put(self, entry: Entry, now: float) -> None:
        """Add or change a member."""
        self._members[entry.name] = entry
        self._tell_later(now)

    def remove(self, name: str, now: float) -> None:
        """Remove a member."""
        self._members.pop(name, None)
        self._tell_later(now)

    def tell(self, now: float) -> list[Entry]:
        """Return the list as it was a lag ago."""
        while self._told_later and self._told_later[0][0] <= now:
            self._told = self._told_later.popleft()[1]
        return self._told

    def _tell_later(self, now: float) -> None:
        members = list(self._members.values())
        self._told_later.append((now + self.lag_s, members))


class ListHandler(RequestHandler):
    """Tells and changes the list."""

    def initialize(self, listing: MembershipList) -> None:
        """Take the list from the application."""
        self._listing = listing

    def get(self) -> None:
        """Answer with the list."""
        if self._listing.faults.get('outage'):
            self.set_status(_UNAVAILABLE)
            self.finish()
            return
        now = asyncio.get_running_loop().time()
        write_json(self, {'members': self._listing.tell(now)})

    def post(self) -> None:
        """Add or change the member in the body."""
        entry = msgspec.json.decode(self.request.body, type=Entry)
        self._listing.put(entry, asyncio.get_running_loop().time())

    def delete(self) -> None:
        """Remove the member in ``name``."""
        name = self.get_argument('name')
        self._listing.remove(name, asyncio.get_running_loop().time())


def build_list_app(listing: MembershipList) -> Application:
    """Return the application of the membership list."""
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
    """Run the membership list on loopback, from a JSON file of members."""
    entries: list[Entry] = []
    if members:
        entries = msgspec.json.decode(members.read_bytes(), type=list[Entry])
    application = build_list_app(MembershipList(entries, lag))
    asyncio.run(serve_until_signal(application, port))


if __name__ == '__main__':
    run_list()
