"""Names of the HTTP headers and paths that cardamomrun reads or adds."""

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
