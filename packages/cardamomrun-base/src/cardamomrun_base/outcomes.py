"""Tagged outcomes of a request, as reported to the client."""

from dataclasses import dataclass
from typing import Literal

__all__ = ["Done", "NotRun", "Outcome", "Unknown"]


@dataclass(frozen=True)
class Done:
    """A backend server ran the request and its complete response was received."""

    status: int
    tag: Literal["done"] = "done"


@dataclass(frozen=True)
class NotRun:
    """No backend server ran the request.

    Allowed only if no byte of the request can have reached a backend server, or if a
    backend server reported by the documented contract that it did not run it.
    """

    reason: str
    remedy: str
    status: int = 503
    retry_after_s: float | None = None
    tag: Literal["not-run"] = "not-run"


@dataclass(frozen=True)
class Unknown:
    """Bytes of the request were sent, but no complete response was received."""

    reason: str
    remedy: str
    status: int = 502
    tag: Literal["unknown"] = "unknown"


Outcome = Done | NotRun | Unknown
