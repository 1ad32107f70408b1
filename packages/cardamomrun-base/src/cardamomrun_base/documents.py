"""The environment document: one per service, byte for byte the same in each stage."""

import hashlib
from dataclasses import dataclass
from enum import StrEnum
from functools import cache
from pathlib import Path
from typing import Annotated

from pydantic import Field, TypeAdapter

from cardamomrun_base.checked_json import (
    STRICT,
    Identifier,
    check_fields,
    format_location,
    parse_file_text,
)
from cardamomrun_base.codec import message
from cardamomrun_base.errors import DocumentError
from cardamomrun_base.headers import CUSTOMER
from cardamomrun_base.jsonc import JsonWithComments

__all__ = [
    "EnvironmentDocument",
    "Floor",
    "Idempotency",
    "IdempotencyKeyRule",
    "Limits",
    "DetectionProfile",
    "Retries",
    "Route",
    "document_digest",
    "load_document",
    "read_document",
]

Ratio = Annotated[float, Field(ge=0.0, le=1.0)]
TimeoutMs = Annotated[int, Field(ge=10, le=600_000)]


class DetectionProfile(StrEnum):
    """The trade-off between false ejections and detection time."""

    FEWEST_FALSE_EJECTIONS = "fewest-false-ejections"
    FASTEST_DETECTION = "fastest-detection"


class Idempotency(StrEnum):
    """Whether requests of a route may be retried after a failure."""

    BY_METHOD = "by-method"
    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"


class IdempotencyKeyRule(StrEnum):
    """Whether a non-idempotent request needs an Idempotency-Key header."""

    OPTIONAL = "optional"
    REQUIRED = "required"


@dataclass(frozen=True)
class Route:
    """Rules for requests with this path prefix; the longest matching prefix wins.

    `attempt_timeout_ms` bounds the wait for the response head of one attempt,
    `deadline_ms` the whole request if the client gives no deadline.
    """

    __pydantic_config__ = STRICT

    prefix: Annotated[str, Field(pattern=r"^/")]
    methods: tuple[str, ...] = ()
    idempotency: Idempotency = Idempotency.BY_METHOD
    idempotency_key: IdempotencyKeyRule = IdempotencyKeyRule.OPTIONAL
    attempt_timeout_ms: TimeoutMs = 2_000
    deadline_ms: TimeoutMs = 10_000
    slow_ms: TimeoutMs = 500
    max_body_bytes: Annotated[int, Field(ge=0, le=10_000_000_000)] = 104_857_600


@dataclass(frozen=True)
class Floor:
    """Lower bound on healthy backend servers, as a share of those announced."""

    __pydantic_config__ = STRICT

    healthy_ratio: Ratio = 0.7
    healthy_count: Annotated[int, Field(ge=0, le=100_000)] = 1


@dataclass(frozen=True)
class Limits:
    """Admission limits of one entry instance."""

    __pydantic_config__ = STRICT

    concurrency_count: Annotated[int, Field(ge=1, le=10_000)] = 32
    queue_count: Annotated[int, Field(ge=0, le=10_000)] = 64
    queue_wait_ms: TimeoutMs = 1_000
    subset_count: Annotated[int, Field(ge=1, le=1_000)] = 12
    connections_per_server_count: Annotated[int, Field(ge=1, le=100)] = 4


@dataclass(frozen=True)
class Retries:
    """Limits on retries of idempotent requests and of any request that was not run."""

    __pydantic_config__ = STRICT

    budget_ratio: Ratio = 0.1
    attempt_count: Annotated[int, Field(ge=1, le=5)] = 3


@message("environment-document")
@dataclass(frozen=True)
class EnvironmentDocument:
    """Configuration of a service, as declared by its operators."""

    __pydantic_config__ = STRICT

    service: Identifier
    hosts: Annotated[tuple[str, ...], Field(min_length=1, max_length=100)]
    routes: Annotated[tuple[Route, ...], Field(min_length=1, max_length=10_000)]
    profile: DetectionProfile = DetectionProfile.FEWEST_FALSE_EJECTIONS
    floor: Floor = Floor()
    limits: Limits = Limits()
    retries: Retries = Retries()
    customer_header: str = CUSTOMER


@cache
def _document_adapter() -> TypeAdapter:
    # Built on first use: it takes longer than to check a small document, and not every
    # node reads one.
    return TypeAdapter(EnvironmentDocument)


def document_digest(document: bytes) -> str:
    """Return the SHA-256 of the document's exact bytes, in hexadecimal."""
    return hashlib.sha256(document).hexdigest()


def load_document(data: bytes, name: str) -> EnvironmentDocument:
    """Parse and check a document.

    `name` is the file name in error messages. Raises `DocumentError` with the line and
    key of the first error.
    """
    parsed = parse_file_text(_decode(data, name), name, DocumentError)
    document = check_fields(_document_adapter(), parsed, name, DocumentError)
    _check_routes(document, parsed, name)
    return document


def read_document(path: Path) -> bytes:
    """Return the bytes of a document file, or raise `DocumentError`."""
    try:
        return path.read_bytes()
    except OSError as error:
        raise DocumentError(
            f"{path}: cannot be read ({error.strerror}).",
            remedy="check the path and its permissions",
        ) from error


def _decode(data: bytes, name: str) -> str:
    try:
        return data.decode("utf-8")
    except UnicodeDecodeError as error:
        raise DocumentError(
            f"{name}: the file is not UTF-8.", remedy="save it as UTF-8"
        ) from error


def _check_routes(
    document: EnvironmentDocument, parsed: JsonWithComments, name: str
) -> None:
    seen: dict[tuple[str, str], int] = {}
    for index, route in enumerate(document.routes):
        for method in route.methods or ("*",):
            earlier = seen.setdefault((route.prefix, method), index)
            if earlier != index:
                line = parsed.line_of(("routes", index))
                raise DocumentError(
                    f"{format_location(name, line)}: key routes.{index}: prefix "
                    f"{route.prefix} and method {method} are in routes.{earlier} too.",
                    remedy="remove one of the two routes",
                )
