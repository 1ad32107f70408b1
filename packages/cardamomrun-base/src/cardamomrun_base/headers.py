"""Names of the HTTP headers and paths that cardamomrun reads or adds."""

from dataclasses import dataclass

__all__ = ["GatewayHeaders"]

OUTCOME = "Cardamomrun-Outcome"
REQUEST_ID = "Cardamomrun-Request-Id"
DEADLINE_MS = "Cardamomrun-Deadline-Ms"
INSTANCE = "Cardamomrun-Instance"
NOT_RUN = "Cardamomrun-Not-Run"
RATE_LIMIT = "Cardamomrun-Rate-Limit"
LEAVING = "Cardamomrun-Leaving"
# On a request that an instance asks another one to serve: the address of the client, and
# the front address of the instance.
RELAYED_FOR = "Cardamomrun-Relayed-For"
RELAYED_BY = "Cardamomrun-Relayed-By"
# On such a request: the organisation that the instance identified by the key, which it
# does not pass on. Trusted only from members of the fleet.
RELAYED_ORGANISATION = "Cardamomrun-Relayed-Organisation"
# On the response to such a request: the id and incarnation of the server that responded.
RELAYED_SERVER = "Cardamomrun-Relayed-Server"
CUSTOMER = "Cardamomrun-Customer"
AUTHORIZATION = "Authorization"
AUTHENTICATE = "WWW-Authenticate"
IDEMPOTENCY_KEY = "Idempotency-Key"
RETRY_AFTER = "Retry-After"

RESERVED_PREFIX = "/.cardamomrun/"
ADDRESSES_PATH = "/.cardamomrun/addresses"
TRIAL_HOST_PREFIX = "trial."


@dataclass(frozen=True)
class GatewayHeaders:
    """Header names between instances with a routing document and backend servers.

    A backend server echoes `request_id` and doesn't run a request if `expected_server`
    names another server. It sets `not_run` on a response if it did not run the request
    and, where `success_proof` is configured, sets that on each response of its own. In
    `rate_limit` it states how many requests a second it accepts from all instances, and
    with `leaving` that it leaves and wants no more requests. `organisation` names the
    organisation of a request to the server.
    """

    request_id: str = REQUEST_ID
    deadline_ms: str = DEADLINE_MS
    expected_server: str = "Cardamomrun-Expected-Server"
    not_run: str = NOT_RUN
    rate_limit: str = RATE_LIMIT
    leaving: str = LEAVING
    success_proof: str | None = None
    organisation: str = CUSTOMER
