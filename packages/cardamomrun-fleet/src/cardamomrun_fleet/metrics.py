"""Metrics of what the instances of a fleet cost; the label values are bounded."""

from prometheus_client import Counter

__all__ = ["HANDLER_SECONDS", "TRAFFIC_BYTES", "TRAFFIC_MESSAGES"]

TRAFFIC_BYTES = Counter(
    "cardamomrun_traffic_bytes",
    "Payload bytes sent by kind of message, and received in responses to requests that "
    "this instance sent; by whether they stay in the own failure domain. Headers of "
    "TCP, UDP, IP, TLS and WebSocket are not included.",
    ("kind", "failure_domain"),
)
TRAFFIC_MESSAGES = Counter(
    "cardamomrun_traffic_messages",
    "Messages whose payload bytes cardamomrun_traffic_bytes counts, and announcements "
    "that backend servers made here, whose bytes it does not count.",
    ("kind", "failure_domain"),
)
HANDLER_SECONDS = Counter(
    "cardamomrun_handler_seconds",
    "Processor time of the event loop for messages between instances, by kind. "
    "Requests take most of the rest of process_cpu_seconds.",
    ("kind",),
)
