"""Metrics of requests that a routing document routes; the label values are bounded."""

from prometheus_client import Counter, Gauge, Histogram

__all__ = [
    "ADDED_SECONDS",
    "ATTEMPTS",
    "CONNECTIONS",
    "CRASH_CHECKS",
    "CUT_RESPONSES",
    "DOCUMENT_FETCHES",
    "DOCUMENT_IS_CURRENT",
    "KEY_REJECTIONS",
    "LIMITED_ATTEMPTS",
    "PATHS_LOST",
    "PERMITS",
    "QUOTA_DECISIONS",
    "QUOTA_NO_ANSWERS",
    "QUOTA_ORGANISATIONS_OVER",
    "QUOTA_TOKENS",
    "REFUSALS",
    "RELAYED",
    "REQUESTS",
    "REQUEST_SECONDS",
    "RETRY_DECISIONS",
    "SERVER_NOTICES",
]

REQUESTS = Counter(
    "cardamomrun_routed_requests",
    "Requests by the outcome that the caller was told.",
    ("service", "outcome"),
)
REQUEST_SECONDS = Histogram(
    "cardamomrun_routed_request_seconds",
    "Time from the request head to the end of the answer.",
    ("service", "outcome"),
)
ADDED_SECONDS = Histogram(
    "cardamomrun_routed_added_seconds",
    "Wait of requests for a backend server to be chosen.",
    ("service",),
)
ATTEMPTS = Counter(
    "cardamomrun_routed_attempts",
    "Attempts at backend servers by how they ended.",
    ("service", "end"),
)
HEDGES = Counter(
    "cardamomrun_routed_hedges",
    "Second attempts started while the first one was slow.",
    ("service",),
)
REFUSALS = Counter(
    "cardamomrun_routed_refusals",
    "Requests that were refused without an attempt that ran, by reason.",
    ("service", "reason"),
)
RETRY_DECISIONS = Counter(
    "cardamomrun_routed_retry_decisions",
    "Looks at the fleet's retry budget, by what it allowed.",
    ("service", "decision"),
)
CONNECTIONS = Counter(
    "cardamomrun_routed_connections",
    "Connections opened to backend servers.",
    ("service",),
)
CRASH_CHECKS = Counter(
    "cardamomrun_routed_crash_checks",
    "Checks of backend servers that gave no response, by what they showed.",
    ("service", "finding"),
)
SERVER_NOTICES = Counter(
    "cardamomrun_routed_server_notices",
    "Notices that a backend server leaves or pauses, from its response or from others.",
    ("service", "notice", "told_by"),
)
LIMITED_ATTEMPTS = Counter(
    "cardamomrun_routed_limited_attempts",
    "Attempts at backend servers that state a limit for all instances together.",
    ("service",),
)
PERMITS = Counter(
    "cardamomrun_routed_permits",
    "Permits asked for attempts at backend servers that state a limit, by result.",
    ("service", "result"),
)
CUT_RESPONSES = Counter(
    "cardamomrun_routed_cut_responses",
    "Responses that ended incomplete while they were being forwarded, by cause.",
    ("cause",),
)
PATHS_LOST = Gauge(
    "cardamomrun_routed_paths_lost",
    "1 while this instance cannot reach backend servers, else 0.",
)
RELAYED = Counter(
    "cardamomrun_routed_relayed",
    "Requests that this instance asked another one to serve, by result.",
    ("service", "result"),
)
KEY_REJECTIONS = Counter(
    "cardamomrun_routed_key_rejections",
    "Requests rejected because of their API key, by reason.",
    ("reason",),
)
DOCUMENT_IS_CURRENT = Gauge(
    "cardamomrun_routed_document_is_current",
    "1 while control confirms that this instance has the newest document, else 0.",
)
DOCUMENT_FETCHES = Counter(
    "cardamomrun_routed_document_fetches",
    "Documents fetched from control since they did not arrive by themselves, by result.",
    ("result",),
)
QUOTA_DECISIONS = Counter(
    "cardamomrun_routed_quota_decisions",
    "Requests of organisations with a quota, by what admitted or refused them.",
    ("outcome",),
)
QUOTA_NO_ANSWERS = Counter(
    "cardamomrun_routed_quota_no_answers",
    "Questions for leases that the token server did not answer.",
)
QUOTA_TOKENS = Counter(
    "cardamomrun_routed_quota_tokens",
    "Tokens of organisations that this instance granted as their token server.",
)
QUOTA_ORGANISATIONS_OVER = Gauge(
    "cardamomrun_routed_organisations_over_quota",
    "Organisations over their quota whose token server this instance is.",
)
