"""Metrics of the request path.

Labels are bounded: never customer or path. Environment is `none` if no Host matched,
outcome is `none` if the caller left before an answer began.
"""

from prometheus_client import Counter, Histogram

__all__ = ["REQUESTS", "REQUEST_SECONDS", "RETRIES", "UPSTREAM_CONNECTIONS"]

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
RETRIES = Counter("cardamomrun_retries", "Attempts after the first.", ("environment",))
UPSTREAM_CONNECTIONS = Counter(
    "cardamomrun_upstream_connections",
    "Connections opened to backend servers.",
    ("environment",),
)
