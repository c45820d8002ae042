"""Default values of settings and limits of the protocols, with units."""

#: Largest body of a caller's request, in bytes.
BODY_LIMIT_BYTES = 4 * 1024 * 1024
#: Largest header block of a caller's request, in bytes.
HEADER_LIMIT_BYTES = 16 * 1024
#: Limit on the open requests of one instance.
OPEN_REQUESTS_LIMIT = 2000
#: Limit on the queue of one pool in one failure domain, in requests.
QUEUE_LIMIT = 256
#: Seconds to a request's deadline, if neither its class nor caller sets one.
DEADLINE_S = 300.0
#: Seconds for which a claim on an idempotency key is kept to detect repeats.
CLAIM_WINDOW_S = 86400.0
#: Seconds to wait until a claim is read back from the log.
CLAIM_TIMEOUT_S = 2.0
#: Seconds to collect further claims into one append to the log.
CLAIM_BATCH_S = 0.004
#: Answers kept in memory for repeats of requests with an idempotency key.
ANSWER_CACHE_SIZE = 512
#: Largest answer kept in memory, in bytes.
ANSWER_CACHE_ENTRY_BYTES = 256 * 1024
#: Largest answer of an upstream that is gathered whole, in bytes.
GATHER_LIMIT_BYTES = 16 * 1024 * 1024
#: Timeout for connecting to an upstream, in seconds.
CONNECT_TIMEOUT_S = 1.0
#: Seconds from the grant to the first event of an answer, or to the whole
#: response of a plain service, before the upstream counts as stalled.
FIRST_BYTE_TIMEOUT_S = 30.0
#: Seconds without a chunk of an answer before the upstream counts as stalled.
GAP_TIMEOUT_S = 10.0
#: Seconds between reads of the membership list.
MEMBERSHIP_INTERVAL_S = 0.5
#: Longest duration of one long poll of the log, in seconds. A change must be in
#: force within four seconds, even if the answer to a poll is lost.
LOG_POLL_S = 2.5
#: Seconds between heartbeats on a link between instances.
HEARTBEAT_INTERVAL_S = 0.5
#: Seconds without a heartbeat or other sign of life after which an instance is
#: suspected.
SUSPECT_AFTER_S = 1.5
#: Seconds without a heartbeat or other sign of life after which an instance is
#: removed.
REMOVE_AFTER_S = 3.0
#: Largest message on a link between instances, in bytes.
PEER_MESSAGE_LIMIT_BYTES = 4 * 1024 * 1024
#: Seconds that a new owner waits for the instances' inventories of running
#: requests before it grants.
SETTLING_S = 1.0
#: Seconds without a link to an instance of another region after which its
#: grants are freed.
REMOTE_GRANT_TIMEOUT_S = 5.0
#: Upstream attempts of one request, the first included.
ATTEMPTS_LIMIT = 4
#: Retries allowed per first attempt within the window.
RETRY_BUDGET_SHARE = 0.2
#: Retries allowed within the window regardless of the share.
RETRY_BUDGET_MIN = 10
#: Sliding window of the retry budget, in seconds.
RETRY_WINDOW_S = 10.0
#: Shortest and longest backoff before a retry, in seconds.
BACKOFF_MIN_S = 0.01
BACKOFF_MAX_S = 1.0
#: Seconds that a graceful shutdown waits for open requests.
DRAIN_TIMEOUT_S = 600.0
#: Prompt tokens from which on a request is treated as long.
LONG_PROMPT_TOKENS = 4000
#: Output tokens from which on a running request is treated as long.
LONG_OUTPUT_TOKENS = 1500
#: Bytes of text per token, for estimating prompt sizes.
BYTES_PER_TOKEN = 4
#: Seconds without a grant after which a class with waiting requests is overdue.
FLOOR_INTERVAL_S = 10.0
#: Seconds between settings snapshots on the log, which must retain records for
#: longer.
SNAPSHOT_INTERVAL_S = 600.0
