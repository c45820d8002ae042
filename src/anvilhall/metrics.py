"""Prometheus metrics of one instance."""

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

_FIRST_TOKEN_BUCKETS_S = (0.05, 0.1, 0.25, 0.5, 1, 2, 4, 8, 16, 32)
_GRANT_WAIT_BUCKETS_S = (0.002, 0.005, 0.01, 0.03, 0.1, 0.3, 1, 3)
_CLASS = 'class_name'
_CODE = 'code'
_REASON = 'reason'
_RESULT = 'result'


class Metrics:
    """All metrics of one instance, in a separate registry."""

    __slots__ = (
        'bytes_relayed',
        'claims',
        'duration',
        'duty_appends',
        'duty_calls',
        'duty_failures',
        'duty_holder_changes',
        'duty_held',
        'first_token',
        'internal_errors',
        'grants',
        'link_messages',
        'limit_changes',
        'links_opened',
        'log_lines_dropped',
        'process_checks',
        'grant_wait',
        'hedges',
        'hedges_denied',
        'open_requests',
        'platform_failures',
        'reclaimed_grants',
        'refusals',
        'registry',
        'requests',
        'runner_orders',
        'resumed_streams',
        'retries',
        'settings_version',
        'failures',
        'unknown_messages',
        'publications',
        'quarantine_changes',
        'usage_requests',
        'usage_windows',
    )

    def __init__(self) -> None:
        """Create and register all metrics."""
        self.registry = CollectorRegistry()
        self.requests = self._add_counter(
            'requests',
            'Requests taken in.',
            _CLASS,
        )
        self.refusals = self._add_counter(
            'refusals',
            'Requests refused before any upstream saw them.',
            _CODE,
            _CLASS,
        )
        self.failures = self._add_counter(
            'failures',
            'Requests that failed after an upstream may have seen them.',
            _CODE,
            _CLASS,
        )
        self.retries = self._add_counter(
            'retries',
            'Further attempts, by the failure of the one before.',
            _REASON,
            _CLASS,
        )
        self.hedges = self._add_counter(
            'hedges',
            'Copies of late requests, sent and by their result.',
            'result',
            _CLASS,
        )
        self.hedges_denied = self._add_counter(
            'hedges_denied',
            'Late requests that were not sent twice.',
            _REASON,
            _CLASS,
        )
        self.grants = self._add_counter(
            'grants',
            'Grants received, by where the owner stood.',
            'owner',
        )
        self.resumed_streams = self._add_counter(
            'resumed_streams',
            'Streams that callers resumed, by how their version was known.',
            'source',
        )
        self.process_checks = self._add_counter(
            'process_checks',
            'Checks which process of a runner answers, by what was found.',
            'finding',
        )
        self.claims = self._add_counter(
            'claims', 'Claims by their result.', _RESULT
        )
        self.bytes_relayed = self._add_counter(
            'bytes_relayed',
            'Bytes passed on to callers.',
        )
        self.platform_failures = self._add_counter(
            'platform_failures',
            'Failed calls to the platform.',
            'service',
            _CODE,
        )
        self.link_messages = self._add_counter(
            'link_messages',
            'Messages on links between instances.',
            'direction',
            'kind',
        )
        self.limit_changes = self._add_counter(
            'limit_changes',
            'Changes of the limits that runners advertise.',
            'pool',
        )
        self.links_opened = self._add_counter(
            'links_opened',
            'Links between instances that came up.',
            'direction',
        )
        self.unknown_messages = self._add_counter(
            'unknown_messages',
            'Link messages of a kind that this version does not know.',
        )
        self.publications = self._add_counter(
            'publications',
            'Publications folded, by the code of their refusal.',
            _CODE,
        )
        self.quarantine_changes = self._add_counter(
            'quarantine_changes',
            'Entries of the quarantine that were added, changed or withdrawn.',
            'event',
        )
        self.usage_requests = self._add_counter(
            'usage_requests',
            'Requests of accounts that began to run at a runner.',
        )
        self.usage_windows = self._add_counter(
            'usage_windows',
            'Windows of usage by what the holder of the duty did with them.',
            'event',
        )
        self.runner_orders = self._add_counter(
            'runner_orders',
            'Orders of a number of runners, by their result.',
            'pool',
            'kind',
            'result',
        )
        self.internal_errors = self._add_counter(
            'internal_errors',
            'Faults of this program that ended periodic work.',
            'kind',
        )
        self.reclaimed_grants = self._add_counter(
            'reclaimed_grants',
            'Slots that were freed because no request held them.',
        )
        self.log_lines_dropped = self._add_counter(
            'log_lines_dropped',
            'Log lines not written.',
            _REASON,
        )
        self.duty_appends = self._add_counter(
            'duty_appends',
            'Appends to the topic of the duties.',
            _RESULT,
        )
        self.duty_calls = self._add_counter(
            'duty_calls',
            'Calls of duties to the API of the platform.',
            'path',
            _RESULT,
        )
        self.duty_failures = self._add_counter(
            'duty_failures',
            'Rounds of a duty that ended with an error.',
            'duty',
            _CODE,
        )
        self.duty_holder_changes = self._add_counter(
            'duty_holder_changes',
            'Changes of the holder of the duties that this instance has read.',
        )
        self.duty_held = Gauge(
            'anvilhall_duty_held',
            'Whether this instance holds the duties.',
            registry=self.registry,
        )
        self.open_requests = Gauge(
            'anvilhall_open_requests',
            'Requests between arrival and the end of their answer.',
            registry=self.registry,
        )
        self.settings_version = Gauge(
            'anvilhall_settings_version',
            'Offset of the publication in force.',
            registry=self.registry,
        )
        self.grant_wait = Histogram(
            'anvilhall_grant_wait_seconds',
            'Time from asking for a runner to its grant or refusal.',
            ['pool'],
            buckets=_GRANT_WAIT_BUCKETS_S,
            registry=self.registry,
        )
        self.duration = Histogram(
            'anvilhall_request_seconds',
            'Time from arrival to the end of the answer.',
            [_CLASS],
            buckets=_FIRST_TOKEN_BUCKETS_S,
            registry=self.registry,
        )
        self.first_token = Histogram(
            'anvilhall_first_token_seconds',
            'Time from arrival to the first event.',
            [_CLASS],
            buckets=_FIRST_TOKEN_BUCKETS_S,
            registry=self.registry,
        )

    def count_dropped_line(self, reason: str) -> None:
        """Count a log line that was dropped, by the reason."""
        self.log_lines_dropped.labels(reason).inc()

    def render(self) -> bytes:
        """Return all metrics in Prometheus' text format."""
        return generate_latest(self.registry)

    def _add_counter(self, name: str, text: str, *labels: str) -> Counter:
        return Counter(
            f'anvilhall_{name}',
            text,
            labels,
            registry=self.registry,
        )
