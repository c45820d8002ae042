"""Settings of pools and classes that are known by their routes alone."""

from anvilhall.core.settings import JsonObject, Pool

#: Seconds without a grant after which a class with waiting requests goes
#: first: a trickle that takes nothing noticeable from higher ones.
_FLOOR_INTERVAL_S = 4.0
#: Share of the objective that a request may wait for a runner: the rest is
#: needed to read its prompt.
_WAIT_SHARE = 0.5
#: Seconds that a stream of a pool's most urgent class may wait: it gets what
#: becomes free next, and callers give up after two seconds without an event.
_FIRST_WAIT_S = 1.2
#: Share of an engine's memory that its prefix cache is taken to use; the rest
#: holds running requests.
_CACHE_SHARE = 0.6
#: Prompt tokens a second of an engine until observations correct it: a model
#: of some eight billion parameters on one accelerator.
_PREFILL_TOKENS_PER_S = 60_000.0
#: Prompt tokens that an engine takes between two decode steps; a common
#: setting of engines with chunked prefill.
_PREFILL_CHUNK_TOKENS = 2048
#: Time of a decode step of such an engine, and what each stream adds, in
#: milliseconds.
_STEP_BASE_MS = 4.5
_STEP_PER_STREAM_MS = 0.05
#: Time to connect to a runner, in seconds: it takes two round trips of a few
#: milliseconds, so that a silent one is told apart early.
_CONNECT_TIMEOUT_S = 0.25
#: Slots of a service until its runners state theirs.
_SERVICE_SLOTS = 6
_MS_PER_S = 1000.0
#: Name of the wire format of relayed requests.
RELAY_WIRE = 'relay'


def build_service_pool() -> Pool:
    """Return the settings of a pool of plain services."""
    return Pool(
        wire=RELAY_WIRE,
        slots=_SERVICE_SLOTS,
        connect_timeout_s=_CONNECT_TIMEOUT_S,
    )


def build_engine_pool(
    slots: int, memory_tokens: int, event_tokens: int
) -> Pool:
    """Return the settings of a pool of model engines.

    :param slots: requests that one engine runs at once.
    :param memory_tokens: tokens that running requests and the prefix cache of
        one engine share.
    :param event_tokens: output tokens in one event of a stream.
    """
    return Pool(
        wire=RELAY_WIRE,
        slots=slots,
        long_slots=slots,
        long_prefill_tokens=memory_tokens,
        cache_tokens=int(memory_tokens * _CACHE_SHARE),
        memory_tokens=memory_tokens,
        event_tokens=max(1, event_tokens),
        prefill_tokens_per_s=_PREFILL_TOKENS_PER_S,
        prefill_chunk_tokens=_PREFILL_CHUNK_TOKENS,
        step_base_ms=_STEP_BASE_MS,
        step_per_stream_ms=_STEP_PER_STREAM_MS,
        connect_timeout_s=_CONNECT_TIMEOUT_S,
    )


def build_class_fields(
    pool: str,
    *,
    tier: int,
    streaming: bool,
    objective_ms: float,
    gap_ms: float,
    highest_tier: bool,
) -> JsonObject:
    """Return the fields of a class in the settings tree.

    :param objective_ms: to the first event, or to the whole answer.
    :param gap_ms: longest gap between events that is in time; 0: any.
    :param highest_tier: whether no class of the pool has a higher tier.
    """
    target: JsonObject = {'done_ms': int(objective_ms)}
    if streaming:
        target = {'first_token_ms': int(objective_ms)}
        if gap_ms:
            target['gap_ms'] = int(gap_ms)
    wait_limit_s = objective_ms / _MS_PER_S * _WAIT_SHARE
    if streaming and highest_tier:
        wait_limit_s = max(wait_limit_s, _FIRST_WAIT_S)
    return {
        'pool': pool,
        'tier': tier,
        'target': target,
        'floor_interval_s': _FLOOR_INTERVAL_S,
        'wait_limit_s': wait_limit_s,
    }
