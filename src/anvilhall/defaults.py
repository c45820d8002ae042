"""Default values of settings and limits of the protocols, with units."""

#: Largest request body from a caller, in bytes.
BODY_LIMIT_BYTES = 4 * 1024 * 1024
#: Largest header block from a caller, in bytes.
HEADER_LIMIT_BYTES = 16 * 1024
#: Requests open at once on one instance.
OPEN_REQUESTS_LIMIT = 2000
#: Requests waiting at once for one pool in one failure domain.
QUEUE_LIMIT = 256
#: Seconds that a request may take in all, unless its class or caller says.
DEADLINE_S = 300.0
#: Seconds that a repeat with the same idempotency key is recognised.
CLAIM_WINDOW_S = 86400.0
#: Seconds to wait for the log to confirm a claim.
CLAIM_TIMEOUT_S = 2.0
#: Seconds between a claim and its append, in which further claims join it.
CLAIM_BATCH_S = 0.004
#: Answers of keyed requests kept in memory for repeats.
ANSWER_CACHE_SIZE = 512
#: Largest kept answer, in bytes.
ANSWER_CACHE_ENTRY_BYTES = 256 * 1024
#: Seconds to open a connection to an upstream.
CONNECT_TIMEOUT_S = 1.0
#: Seconds from sending a request to the first byte of its answer.
FIRST_BYTE_TIMEOUT_S = 30.0
#: Seconds between two parts of one answer.
GAP_TIMEOUT_S = 10.0
#: Seconds between looks at the membership list.
MEMBERSHIP_INTERVAL_S = 0.5
#: Seconds that one long poll of the log may last.
LOG_POLL_S = 5.0
#: Seconds between heartbeats on a link between instances.
HEARTBEAT_INTERVAL_S = 0.5
#: Seconds without a sign of life after which an instance is suspected.
SUSPECT_AFTER_S = 1.5
#: Seconds without a sign of life after which an instance is removed.
REMOVE_AFTER_S = 3.0
#: Largest message on a link between instances, in bytes.
PEER_MESSAGE_LIMIT_BYTES = 4 * 1024 * 1024
#: Seconds that a new owner waits for reports of what is running.
SETTLING_S = 1.0
#: Seconds without a link after which a foreign instance's grants are freed.
REMOTE_GRANT_TIMEOUT_S = 5.0
#: Upstream attempts of one request, the first included.
ATTEMPTS_LIMIT = 4
#: Retries allowed per first attempt, over a window.
RETRY_BUDGET_SHARE = 0.2
#: Retries allowed regardless of the share, over a window.
RETRY_BUDGET_MIN = 10
#: Window of the retry budget, in seconds.
RETRY_WINDOW_S = 10.0
#: Shortest and longest pause before a retry, in seconds.
BACKOFF_MIN_S = 0.01
BACKOFF_MAX_S = 1.0
#: Seconds that a graceful shutdown waits for requests in flight.
DRAIN_TIMEOUT_S = 600.0
#: Prompt tokens from which a request counts as long.
LONG_PROMPT_TOKENS = 4000
#: Output tokens from which a running request counts as long.
LONG_OUTPUT_TOKENS = 1500
#: Bytes of text per token, for the estimate of prompt sizes.
BYTES_PER_TOKEN = 4
#: Longest time that a class with waiting requests goes without a grant, s.
FLOOR_INTERVAL_S = 10.0
#: Seconds that records of the log must be kept for a settings snapshot.
SNAPSHOT_INTERVAL_S = 600.0
