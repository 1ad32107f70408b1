"""Selection of environment and route, and whether a request is idempotent."""

from dataclasses import dataclass

from cardamomrun_base.documents import EnvironmentDocument, Idempotency, Route
from cardamomrun_base.interfaces import Environment, Environments

__all__ = ["MethodNotAllowedError", "Router", "is_idempotent"]

IDEMPOTENT_METHODS = frozenset(("GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE"))


class MethodNotAllowedError(Exception):
    """The longest matching prefix has no route for the method."""


@dataclass(frozen=True)
class _RouteTable:
    digest: str
    prefixes: dict[str, tuple[Route, ...]]
    lengths: tuple[int, ...]


class Router:
    """Finds environments by Host and routes by longest path prefix.

    A document may hold 10,000 routes, so each document is indexed once.
    """

    def __init__(self, environments: Environments) -> None:
        self._environments = environments
        self._tables: dict[str, _RouteTable] = {}

    def environment(self, host: str) -> Environment | None:
        """Return the environment that a Host header selects."""
        return self._environments.by_host(host)

    def route(self, environment: Environment, method: str, path: str) -> Route | None:
        """Return the route, or None if no prefix matches.

        Raises `MethodNotAllowedError` if only the method does not match.
        """
        table = self._table(environment)
        for length in table.lengths:
            routes = table.prefixes.get(path[:length])
            if routes is not None and len(path) >= length:
                return _route_for_method(routes, method)
        return None

    def _table(self, environment: Environment) -> _RouteTable:
        table = self._tables.get(environment.body.environment)
        if table is None or table.digest != environment.body.digest:
            table = _build_table(environment.document, environment.body.digest)
            self._tables[environment.body.environment] = table
        return table


def _build_table(document: EnvironmentDocument, digest: str) -> _RouteTable:
    prefixes: dict[str, tuple[Route, ...]] = {}
    for route in document.routes:
        prefixes[route.prefix] = (*prefixes.get(route.prefix, ()), route)
    lengths = sorted({len(prefix) for prefix in prefixes}, reverse=True)
    return _RouteTable(digest, prefixes, tuple(lengths))


def _route_for_method(routes: tuple[Route, ...], method: str) -> Route:
    for route in routes:
        if method in route.methods:
            return route
    for route in routes:
        if not route.methods:
            return route
    raise MethodNotAllowedError


def is_idempotent(route: Route, method: str) -> bool:
    """Return True if the request may be resent after a failure."""
    if route.idempotency is Idempotency.BY_METHOD:
        return method in IDEMPOTENT_METHODS
    return route.idempotency is Idempotency.IDEMPOTENT
