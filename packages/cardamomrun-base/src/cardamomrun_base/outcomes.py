"""Tagged outcomes of a request, as a caller is told."""

from dataclasses import dataclass
from typing import Literal

__all__ = ["Done", "NotRun", "Outcome", "Unknown"]


@dataclass(frozen=True)
class Done:
    """A backend server ran the request and its whole answer was received."""

    status: int
    tag: Literal["done"] = "done"


@dataclass(frozen=True)
class NotRun:
    """No backend server ran the request.

    Allowed only if no byte of the request can have reached a backend server, or a
    backend server said so by the documented contract.
    """

    reason: str
    remedy: str
    status: int = 503
    retry_after_s: float | None = None
    tag: Literal["not-run"] = "not-run"


@dataclass(frozen=True)
class Unknown:
    """Bytes of the request left, and no whole answer came back."""

    reason: str
    remedy: str
    status: int = 502
    tag: Literal["unknown"] = "unknown"


Outcome = Done | NotRun | Unknown
