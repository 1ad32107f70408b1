"""Names of the HTTP headers and paths that cardamomrun reads or adds."""

from dataclasses import dataclass

__all__ = ["GatewayHeaders"]

OUTCOME = "Cardamomrun-Outcome"
REQUEST_ID = "Cardamomrun-Request-Id"
DEADLINE_MS = "Cardamomrun-Deadline-Ms"
INSTANCE = "Cardamomrun-Instance"
NOT_RUN = "Cardamomrun-Not-Run"
CUSTOMER = "Cardamomrun-Customer"
IDEMPOTENCY_KEY = "Idempotency-Key"
RETRY_AFTER = "Retry-After"

RESERVED_PREFIX = "/.cardamomrun/"
ADDRESSES_PATH = "/.cardamomrun/addresses"
TRIAL_HOST_PREFIX = "trial."


@dataclass(frozen=True)
class GatewayHeaders:
    """Names of the headers of requests that a routing document routes.

    A backend server echoes `request_id`, runs nothing if `expected_server` names
    another one, says with `not_run` that it did not run a request, and, where
    `success_proof` is set, puts it on each answer that it made itself.
    """

    request_id: str = REQUEST_ID
    deadline_ms: str = DEADLINE_MS
    expected_server: str = "Cardamomrun-Expected-Server"
    not_run: str = NOT_RUN
    success_proof: str | None = None
