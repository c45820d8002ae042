"""Finds the software versions at which resumable streams began.

A stream that a caller resumes may go on only at the version that began it. The
sources are, in this order: the memory of this instance, the versions of the
pool if streams can have begun at only one, and the journal in the store.
"""

import asyncio
from collections.abc import Awaitable, Callable, Iterable

from anvilhall.clock import Clock
from anvilhall.core.members import Member
from anvilhall.core.messages import Grant
from anvilhall.core.routes import Route, RoutingSettings
from anvilhall.core.settings import Pool
from anvilhall.core.starts import RunnerStarts
from anvilhall.core.streams import (
    UNKNOWN,
    Beginning,
    Histories,
    Origin,
    StreamMemory,
    compute_retention_s,
    compute_stream_key,
)
from anvilhall.doubts import Doubts
from anvilhall.exceptions import PlatformError, VersionUnknown
from anvilhall.feeds.runners import RunnersFeed
from anvilhall.feeds.streams import StreamJournal
from anvilhall.identities import ProcessChecks
from anvilhall.logs import log_event
from anvilhall.metrics import Metrics
from anvilhall.settling import Settling
from anvilhall.sharing import SharedCalls

#: Upper limit of the seconds for which a look-up may wait for the store.
_LOOKUP_TIMEOUT_S = 0.7
#: Upper limit of the seconds of these for which the known versions may be
#: brought up to date, so that the journal can be searched without.
_CATCH_UP_TIMEOUT_S = 0.5
#: ``Retry-After`` in seconds of a stream whose record may be on its way.
_RETRY_S = 0.5
#: Seconds from the first read of the stored versions to the first write, in
#: which instances that start together find the owner of a pool.
_FIRST_WRITE_S = 1.0
#: Subject of the reads of all known versions.
_ALL_VERSIONS = ''
_MS_PER_S = 1000.0


class ResumedOrigin:
    """Where a stream began that a request resumes.

    :param settings: settings of its pool.
    :param source: how it was known.
    """

    __slots__ = ('pool', 'settings', 'source', 'version')

    def __init__(self, origin: Origin, settings: Pool, source: str) -> None:
        """Keep the pool and the version."""
        self.pool = origin.pool
        self.version = origin.version
        self.settings = settings
        self.source = source


class Origins:
    """Remembers and finds where streams began.

    :param journal: journal of all instances.
    :param view: feed whose runners are passed to :meth:`set_runners`.
    :param read_stored: reads the stored versions and passes them on to
        :meth:`apply_stored`.
    :param store_versions: writes the versions of a pool.
    :param owns_pool: returns whether this instance owns a pool's shard.
    :param processes: compares the processes of runners with their entries.
    """

    __slots__ = (
        '_clock',
        '_histories',
        '_journal',
        '_memory',
        '_metrics',
        '_owned',
        '_owns_pool',
        '_pool_split_at',
        '_read_stored',
        '_reads',
        '_recorded',
        '_settings',
        '_settling',
        '_split_at',
        '_starts',
        '_store_versions',
        '_stored',
        '_stored_at',
        '_stored_lapses',
        '_view',
        'doubts',
        'processes',
    )

    def __init__(
        self,
        clock: Clock,
        metrics: Metrics,
        journal: StreamJournal,
        view: RunnersFeed,
        read_stored: Callable[[], Awaitable[None]],
        store_versions: Callable[[str, frozenset[str]], None],
        owns_pool: Callable[[str], bool],
        processes: ProcessChecks,
    ) -> None:
        """Start without streams and versions."""
        self.processes = processes
        self._clock = clock
        self._metrics = metrics
        self._journal = journal
        self._view = view
        self._read_stored = read_stored
        self._store_versions = store_versions
        self._owns_pool = owns_pool
        self._memory = StreamMemory()
        self._histories = Histories()
        self._starts = RunnerStarts()
        self._settling = Settling(clock, processes, view, self._starts)
        self._settings: RoutingSettings | None = None
        #: Monotonic time at which the pools of a route or their shares have
        #: changed, by route and by pool.
        self._split_at: dict[str, float] = {}
        self._pool_split_at: dict[str, float] = {}
        #: Versions of the stored records, by pool, pending writes included.
        self._stored: dict[str, frozenset[str]] = {}
        #: Monotonic time of the first read of these; ``None``: not read.
        self._stored_at: float | None = None
        #: Lapses of the view that are made up for by a read of these.
        self._stored_lapses = 0
        #: Reads of versions on demand.
        self._reads = SharedCalls(self._read_versions)
        #: Pools whose streams are recorded in the journal: they may have begun
        #: at several versions, or a route's identifiers may have selected
        #: other pools when they began.
        self._recorded: frozenset[str] = frozenset()
        #: Streams in doubt; recorded once their versions are settled.
        self.doubts = Doubts(clock, self._settling, view)
        #: Pools that this instance owned at the last update.
        self._owned: frozenset[str] = frozenset()

    def set_settings(self, settings: RoutingSettings) -> None:
        """Apply changed settings."""
        now = self._clock.monotonic()
        before = {route.name: route for route in self._list_resumable()}
        self._settings = settings
        resumable = self._list_resumable()
        for route in resumable:
            known = before.get(route.name, route)
            if known.pools != route.pools:
                self._split_at[route.name] = now
                for pool in known.open_pools | route.open_pools:
                    self._pool_split_at[pool] = now
        # Streams from before the change may still have a longer timeout.
        retention_s = max(
            self._histories.retention_s,
            compute_retention_s(each.timeout_s for each in resumable),
        )
        self._memory.retention_s = retention_s
        self._histories.retention_s = retention_s
        self._journal.retention_s = retention_s
        self.update()

    def set_runners(self, runners: Iterable[Member]) -> int:
        """Apply a change of the runners that the registry lists.

        :return: number of the update, for :meth:`note_received`.
        """
        runners = tuple(runners)
        now_ms = self._clock.now().timestamp() * _MS_PER_S
        for restarted in self._starts.list_restarted(runners):
            self._memory.forget_doubted(restarted.name, restarted.born)
        for name, born in self._starts.update(runners, now_ms):
            marked = self._memory.forget_runner(name, born)
            log_event('runner_replaced', runner=name, streams=len(marked))
            for key in marked:
                self._record(key)
        self._histories.set_runners(runners, self._clock.monotonic())
        self.update()
        return self._starts.updates

    def note_received(self, updates: int) -> None:
        """Note that what runners sent before an update has been received."""
        self._starts.note_received(updates)

    def apply_stored(
        self, versions: dict[str, tuple[str, ...]], *, restored: bool
    ) -> None:
        """Apply what one read of the stored records has returned.

        :param restored: whether the store may lack records that it had.
        """
        now = self._clock.monotonic()
        if self._stored_at is None:
            self._stored_at = now
        self._histories.apply_stored(versions, now)
        self._stored = {
            pool: frozenset(stored) for pool, stored in versions.items()
        }
        if restored:
            # What the journal has lost is recorded again.
            self._recorded = frozenset()
        self.update()

    def update(self) -> None:
        """Compare versions with the records; call this from time to time."""
        now = self._clock.monotonic()
        self._drop_splits(now)
        self._record_settled()
        current = self._view.is_current()
        owned: set[str] = set()
        recorded = set(self._pool_split_at)
        for pool in self._list_pools():
            versions = self._histories.list_versions(pool, now)
            if len(versions) > 1:
                recorded.add(pool)
            if current:
                self._note_versions(pool, versions, now)
            # Otherwise another owner may have written more than is known here.
            if self._owns_pool(pool) and (current or pool in self._owned):
                owned.add(pool)
        self._owned = frozenset(owned)
        added = recorded - self._recorded
        self._recorded = frozenset(recorded)
        for begun in added:
            self._record_all(begun)

    def note_begun(
        self,
        account: str,
        stream_id: str,
        grant: Grant,
        *,
        confirmed: bool = False,
        live: bool = True,
    ) -> Beginning:
        """Note that the first event of a stream is relayed.

        :param stream_id: identifier of the request that began the stream.
        :param grant: permission for the runner that sent the event.
        :param confirmed: whether the event is known to come from the process
            of the grant.
        :param live: whether the event has arrived just now.
        """
        version = grant.version
        born = grant.born
        sender = self._starts.find_sender(grant.runner, grant.address)
        if not confirmed and live and sender and sender.born > born:
            version = sender.version
            born = sender.born
        if self._starts.is_replaced(grant.runner, version, born):
            version = UNKNOWN
        stream = Beginning(
            Origin(grant.pool, version),
            grant.runner,
            self._clock.monotonic(),
            self._clock.now().timestamp() * _MS_PER_S,
            grant.address,
            born,
        )
        stream.settled = confirmed
        stream.current = self._view.is_current() and not self.doubts.has_failed(
            grant.runner
        )
        key = compute_stream_key(account, stream_id)
        self._memory.note(key, stream)
        if not (stream.settled or stream.current):
            self.doubts.add(key, stream)
        else:
            self.doubts.watch(stream)
            if grant.pool in self._recorded:
                self._record(key)
        return stream

    async def confirm_doubted(self) -> None:
        """Ask the runners of streams that have begun in doubt; repeat this."""
        for stream in await self.doubts.confirm():
            self._record(stream.key, known=False)

    def note_failure(self, runner: str) -> None:
        """Note that a runner has failed a request, as when it restarts."""
        self.doubts.note_failure(runner)

    def is_restarted(self, stream: Beginning) -> bool:
        """Return whether a stream may be of a later start of its runner.

        If so, and the runner still sends, the stream is of that start.
        """
        sender = self._starts.find_sender(stream.runner, stream.address)
        if sender is None or sender.born <= stream.born:
            return False
        unknown = stream.origin.version == UNKNOWN
        return unknown or not self._settling.is_settled(stream)

    def is_settled(self, stream: Beginning) -> bool:
        """Return whether the version of a stream can be relied on by now."""
        return self._settling.is_settled(stream)

    async def settle(self, stream: Beginning) -> str:
        """Return the version that a stream goes on at.

        :raises VersionUnknown: if it can't be told now.
        """
        settled = await self._settle(stream)
        origin = stream.origin
        unknown = origin.version == UNKNOWN and self._is_mixed(origin.pool)
        if unknown or not settled:
            raise VersionUnknown(_describe_doubt(stream), _RETRY_S)
        return origin.version

    async def find(
        self, account: str, stream_id: str, route: Route, pool: str
    ) -> ResumedOrigin:
        """Return where a stream began that a request resumes.

        :param stream_id: identifier of the request that began it; empty: the
            caller has not named it.
        :param pool: pool of the stream by the current settings.
        :raises VersionUnknown: if it can't be told now.
        """
        try:
            async with asyncio.timeout(_LOOKUP_TIMEOUT_S):
                source, origin = await self._look_up(
                    account, stream_id, route, pool
                )
        except (PlatformError, TimeoutError) as error:
            raise VersionUnknown(
                'the store can not be asked for the stream: '
                f'{str(error) or "no answer in time"}',
                _RETRY_S,
            ) from error
        if origin is None:
            raise VersionUnknown(
                f'no record of the stream {stream_id!r}', _RETRY_S
            )
        resumed = self._check_origin(origin, route, source)
        self._metrics.resumed_streams.labels(source).inc()
        return resumed

    async def _settle(self, stream: Beginning) -> bool:
        """Find out whether a stream's version can be relied on.

        The journal must not name a version that has become doubtful meanwhile.
        """
        trusted = stream.current
        settled = await self._settling.settle(stream)
        if not settled and trusted and not stream.current:
            self._record(stream.key, known=False)
        return settled

    async def _look_up(
        self, account: str, stream_id: str, route: Route, pool: str
    ) -> tuple[str, Origin | None]:
        """Return how the origin of a stream is known, and the origin."""
        key = compute_stream_key(account, stream_id)
        stream = self._memory.find(key) if stream_id else None
        if stream and not await self._settle(stream):
            # No other source knows more of it.
            raise VersionUnknown(_describe_doubt(stream), _RETRY_S)
        remembered = stream.origin if stream else None
        if remembered and remembered.version != UNKNOWN:
            return 'memory', remembered
        sole = await self._find_sole_version(route, pool)
        if sole is not None:
            return 'sole', Origin(pool, sole)
        if remembered:
            return 'memory', remembered
        recorded = await self._journal.find(key) if stream_id else None
        return 'journal', recorded

    async def _find_sole_version(self, route: Route, pool: str) -> str | None:
        """Return the only version at which a stream can have begun."""
        if route.name in self._split_at or self._view.measure_age_s() is None:
            # The stream may have begun in another pool, or the runners that
            # are known may not be all.
            return None
        if self._is_mixed(pool) or not await self._catch_up():
            return None
        versions = self._list_versions(pool)
        return next(iter(versions)) if len(versions) == 1 else None

    async def _catch_up(self) -> bool:
        """Have the known versions cover the present.

        A view that was read before may lack the version at which a stream has
        just begun. The read goes on without those that ask for it, so that a
        slow store helps the next ones.

        :return: whether they do.
        """
        since = self._clock.monotonic()
        try:
            async with asyncio.timeout(_CATCH_UP_TIMEOUT_S):
                await self._reads.ask(_ALL_VERSIONS)
        except TimeoutError:
            log_event('versions_unconfirmed', reason='no answer in time')
        return (
            self._view.has_covered(since)
            and self._stored_at is not None
            and self._stored_lapses == self._view.lapses
        )

    async def _read_versions(self, _: str) -> None:
        """Read what the known versions lack: runners, stored versions."""
        lag_s = self._view.measure_lag_s()
        try:
            await self._view.read_now()
            lapses = self._view.lapses
            if self._stored_at is None or self._stored_lapses != lapses:
                # A version may have come and gone between the reads.
                await self._read_stored()
                self._stored_lapses = lapses
        except PlatformError as error:
            log_event('versions_unconfirmed', reason=str(error), lag_s=lag_s)
        else:
            log_event('versions_confirmed', lag_s=lag_s)

    def _check_origin(
        self, origin: Origin, route: Route, source: str
    ) -> ResumedOrigin:
        if origin.version == UNKNOWN and self._is_mixed(origin.pool):
            raise VersionUnknown(
                'the stream began at a runner of unknown version', _RETRY_S
            )
        tree = self._settings.tree if self._settings else None
        settings = tree.pools.get(origin.pool) if tree else None
        if settings is None or origin.pool not in route.open_pools:
            raise VersionUnknown(
                f'the stream began in pool {origin.pool}, which is no pool of '
                f'route {route.name} any more',
                _RETRY_S,
            )
        return ResumedOrigin(origin, settings, source)

    def _is_mixed(self, pool: str) -> bool:
        return len(self._list_versions(pool)) > 1

    def _list_versions(self, pool: str) -> frozenset[str]:
        return self._histories.list_versions(pool, self._clock.monotonic())

    def _list_pools(self) -> set[str]:
        return {
            pool
            for route in self._list_resumable()
            for pool in route.open_pools
        }

    def _note_versions(
        self, pool: str, versions: frozenset[str], now: float
    ) -> None:
        if self._owns_pool(pool):
            self._update_stored(pool, versions, now)
        elif self._view.reads_registry:
            self._add_stored(pool, versions)

    def _update_stored(
        self, pool: str, versions: frozenset[str], now: float
    ) -> None:
        """Write the versions of a pool if they differ from the record."""
        if self._stored_at is None or now - self._stored_at < _FIRST_WRITE_S:
            return
        if pool not in self._owned and len(versions) > 1:
            # The former owner may have written since the last read.
            self._stored.pop(pool, None)
        if versions and versions != self._stored.get(pool):
            self._stored[pool] = versions
            log_event('versions_stored', pool=pool, versions=sorted(versions))
            self._store_versions(pool, versions)

    def _add_stored(self, pool: str, versions: frozenset[str]) -> None:
        """Write a further version at once, as the owner may just be away.

        Instances that start read it before they take another version for the
        only one.
        """
        stored = self._stored.get(pool, frozenset())
        if self._stored_at is None or len(versions) < 2 or versions <= stored:
            return
        self._stored[pool] = versions | stored
        log_event(
            'versions_stored', pool=pool, versions=sorted(versions | stored)
        )
        self._store_versions(pool, versions | stored)

    def _record_settled(self) -> None:
        """Record the streams whose versions can be relied on by now."""
        for key in self.doubts.pop_settled(self._memory.retention_s):
            stream = self._memory.find(key)
            if stream and stream.origin.pool in self._recorded:
                self._record(key)

    def _record_all(self, pool: str) -> None:
        for key, origin in self._memory.list_pool(pool):
            if key not in self.doubts:
                self._journal.add(key, origin)

    def _record(self, key: bytes, *, known: bool = True) -> None:
        """Record a stream, or correct its record.

        :param known: whether its version may be relied on.
        """
        stream = self._memory.find(key)
        if stream and known:
            self._journal.add(key, stream.origin)
        elif stream and stream.origin.pool in self._recorded:
            self._journal.add(key, Origin(stream.origin.pool, UNKNOWN))

    def _drop_splits(self, now: float) -> None:
        """Forget changes of pools that are older than all open streams."""
        earliest_at = now - self._histories.retention_s
        for splits in (self._split_at, self._pool_split_at):
            for name, split_at in list(splits.items()):
                if split_at < earliest_at:
                    splits.pop(name)

    def _list_resumable(self) -> tuple[Route, ...]:
        """Return the routes whose streams may be resumed."""
        if self._settings is None:
            return ()
        routes = self._settings.table.routes
        return tuple(route for route in routes if route.keeps_version)


def _describe_doubt(stream: Beginning) -> str:
    return (
        f'runner {stream.runner} may have restarted before the stream began '
        'there'
    )
