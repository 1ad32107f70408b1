"""Metrics of the request path.

Labels are bounded: never customer, path, key or server. Environment is `none` if no
Host matched, outcome is `none` if the client disconnected before a response began.
"""

from prometheus_client import Counter, Gauge, Histogram

__all__ = [
    "ADDED_SECONDS",
    "CLAIMS",
    "CLIENT_CLOSES",
    "CLIENT_CONNECTIONS",
    "CLIENT_MEMORY",
    "CLIENT_MEMORY_LIMIT",
    "CLIENT_REFUSALS",
    "QUARANTINED",
    "QUEUE_LENGTH",
    "QUEUE_SECONDS",
    "REQUESTS",
    "REQUEST_SECONDS",
    "RETRIES",
    "SHED",
    "UPSTREAM_CONNECTIONS",
]

# Bounds in seconds. The goal is 4.6 ms at the 99th percentile (design, section 2).
ADDED_BUCKETS_S = (
    0.0005,
    0.001,
    0.002,
    0.003,
    0.0046,
    0.007,
    0.01,
    0.02,
    0.05,
    0.1,
    0.5,
    1.0,
    5.0,
)

REQUESTS = Counter(
    "cardamomrun_requests",
    "Requests answered.",
    ("environment", "outcome"),
)
REQUEST_SECONDS = Histogram(
    "cardamomrun_request_seconds",
    "Time from the request head to the end of the answer.",
    ("environment", "outcome"),
)
ADDED_SECONDS = Histogram(
    "cardamomrun_added_seconds",
    "Time that the fleet itself adds before an answer head: queue, claim, choice and "
    "connection, without the time that backend servers take.",
    ("environment",),
    buckets=ADDED_BUCKETS_S,
)
RETRIES = Counter("cardamomrun_retries", "Attempts after the first.", ("environment",))
SHED = Counter(
    "cardamomrun_shed",
    "Requests that were not admitted: queue full or wait too long.",
    ("environment",),
)
QUEUE_LENGTH = Gauge(
    "cardamomrun_queue_length", "Requests that wait for admission.", ("environment",)
)
QUEUE_SECONDS = Histogram(
    "cardamomrun_queue_seconds",
    "Wait for admission, also of requests that were shed.",
    ("environment",),
)
CLAIMS = Counter(
    "cardamomrun_claims",
    "Claims of idempotency keys that began here, by verdict.",
    ("verdict",),
)
QUARANTINED = Gauge(
    "cardamomrun_quarantined_fingerprints",
    "Requests that are refused now because servers died of them.",
)
UPSTREAM_CONNECTIONS = Counter(
    "cardamomrun_upstream_connections",
    "Connections opened to backend servers.",
    ("environment",),
)
CLIENT_CONNECTIONS = Gauge(
    "cardamomrun_client_connections", "Open connections of clients and callers."
)
CLIENT_MEMORY = Gauge(
    "cardamomrun_client_memory_bytes",
    "Memory held for clients, by what for.",
    ("kind",),
)
CLIENT_MEMORY_LIMIT = Gauge(
    "cardamomrun_client_memory_limit_bytes", "Memory that clients may use together."
)
CLIENT_CLOSES = Counter(
    "cardamomrun_client_closes",
    "Connections of clients that were closed to protect the process, by reason.",
    ("reason",),
)
CLIENT_REFUSALS = Counter(
    "cardamomrun_client_refusals",
    "Requests and connections refused to protect the process, by reason.",
    ("reason",),
)
