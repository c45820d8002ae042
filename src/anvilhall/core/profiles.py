"""Settings of pools and classes that a source defines only by its routes.

Such a source states no engine speeds and no queueing parameters, so that this
module supplies them.
"""

from anvilhall.core.settings import JsonObject, Pool

#: Floor interval of each class, in seconds. One grant in that time takes no
#: noticeable capacity from higher tiers.
_FLOOR_INTERVAL_S = 4.0
#: Share of the latency objective that a request may wait for a runner; the rest
#: is needed for its prefill.
_WAIT_LIMIT_SHARE = 0.5
#: Shortest wait limit of streams in a pool's highest tier, in seconds. They get
#: the next free slot, and callers give up after two seconds without an event.
_HIGHEST_TIER_WAIT_S = 1.2
#: Share of an engine's memory that its prefix cache is assumed to use; the rest
#: holds running requests.
_CACHE_SHARE = 0.6
#: Prefill speed of an engine until observations correct it, in prompt tokens
#: per second: that of a model of about eight billion parameters on one
#: accelerator.
_PREFILL_TOKENS_PER_S = 60_000.0
#: Prompt tokens that an engine prefills between two decode steps; a common
#: setting of engines with chunked prefill.
_PREFILL_CHUNK_TOKENS = 2048
#: Time of a decode step of such an engine and the time that each stream adds,
#: in milliseconds.
_STEP_BASE_MS = 4.5
_STEP_PER_STREAM_MS = 0.05
#: Time limit for connecting to a runner, in seconds. Connecting takes two round
#: trips of a few milliseconds each, so a short limit finds an unresponsive
#: runner early.
_CONNECT_TIMEOUT_S = 0.25
#: Slots of a service's runner that does not state its own number.
_SERVICE_SLOTS = 6
_MS_PER_S = 1000.0
#: Name of the wire format of relayed requests.
RELAY_WIRE = 'relay'


def build_service_pool() -> Pool:
    """Return the settings of a pool of services other than model engines."""
    return Pool(
        wire=RELAY_WIRE,
        slots=_SERVICE_SLOTS,
        connect_timeout_s=_CONNECT_TIMEOUT_S,
    )


def build_engine_pool(
    slots: int, memory_tokens: int, event_tokens: int
) -> Pool:
    """Return the settings of a pool of model engines.

    :param slots: requests that one engine serves at once.
    :param memory_tokens: capacity of one engine's memory, in tokens; running
        requests and the prefix cache share it.
    :param event_tokens: output tokens in one event of a stream.
    """
    return Pool(
        wire=RELAY_WIRE,
        states_start=True,
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

    :param pool: name of the class's pool.
    :param streaming: whether answers are streams of events.
    :param objective_ms: target time to the first event of a stream, or else to
        the whole answer.
    :param gap_ms: target of the longest gap between events; 0: no target.
    :param highest_tier: whether no class of the pool has a higher tier.
    """
    target: JsonObject = {'done_ms': int(objective_ms)}
    if streaming:
        target = {'first_token_ms': int(objective_ms)}
        if gap_ms:
            target['gap_ms'] = int(gap_ms)
    wait_limit_s = objective_ms / _MS_PER_S * _WAIT_LIMIT_SHARE
    if streaming and highest_tier:
        wait_limit_s = max(wait_limit_s, _HIGHEST_TIER_WAIT_S)
    return {
        'pool': pool,
        'tier': tier,
        'target': target,
        'floor_interval_s': _FLOOR_INTERVAL_S,
        'wait_limit_s': wait_limit_s,
    }
