"""Route lookup in the routing document that is in force on this instance."""

import random
from collections.abc import Callable, Iterator

from cardamomrun_base.errors import CardamomrunError
from cardamomrun_base.interfaces import RecordStore
from cardamomrun_base.logs import ComponentLog
from cardamomrun_base.model import Record, RecordKind, RoutingBody
from cardamomrun_base.routing_document import (
    RoutePattern,
    RoutingDocument,
    RoutingRoute,
    unpack_routing,
)
from cardamomrun_gateway.organisations import OrganisationIndex

__all__ = ["RoutingTable", "WeightedSplit"]

# The fractional parts of consecutive multiples of the golden ratio are spread evenly
# over [0, 1), so that already a few requests follow the weights.
GOLDEN_RATIO = 0.618_033_988_749_895

_log = ComponentLog("routing")


class WeightedSplit:
    """Divides the requests of a route among its services by weight.

    `offset` is where in [0, 1) the sequence starts.
    """

    def __init__(self, route: RoutingRoute, offset: float) -> None:
        self._parts = [part for part in route.split if part.weight > 0]
        self._total = sum(part.weight for part in self._parts)
        self._position = offset

    def next_service(self) -> str:
        """Return the service for the next request."""
        self._position = (self._position + GOLDEN_RATIO) % 1.0
        remaining = self._position * self._total
        for part in self._parts:
            remaining -= part.weight
            if remaining < 0:
                return part.service
        return self._parts[-1].service


class RoutingTable:
    """Finds the route of a request in the document with the highest number.

    `document` is None until one is known. `idempotent_services` are the services with
    at least one idempotent route, and `organisations` finds those of the document.
    `on_change` is called with each document that is put in force.
    """

    def __init__(
        self, store: RecordStore, randomness: random.Random | None = None
    ) -> None:
        self._random = randomness or random.Random()
        self.document: RoutingDocument | None = None
        self.idempotent_services: frozenset[str] = frozenset()
        self.organisations = OrganisationIndex(None)
        self.on_change: Callable[[RoutingDocument], None] = lambda document: None
        self._routes: dict[str, dict[str, RoutingRoute]] = {}
        self._splits: dict[RoutePattern, WeightedSplit] = {}
        store.subscribe(RecordKind.ROUTING, self._put_in_force)
        for record in store.all(RecordKind.ROUTING):
            self._put_in_force(record)

    @property
    def number(self) -> int:
        """The number of the document in force; -1 if there is none."""
        return -1 if self.document is None else self.document.number

    def match(self, host: str, path: str) -> RoutingRoute | None:
        """Return the host's route with the longest matching prefix, or None.

        A host is compared without port and case.
        """
        routes = self._routes.get(_host_name(host))
        if routes is None:
            return None
        for prefix in _prefixes(path):
            route = routes.get(prefix)
            if route is not None:
                return route
        return None

    def choose_service(self, route: RoutingRoute) -> str:
        """Return the service for the next request of a route, by its weights."""
        if len(route.split) == 1:
            return route.split[0].service
        weighted_split = self._splits.get(route.pattern)
        if weighted_split is None:
            weighted_split = WeightedSplit(route, self._random.random())
            self._splits[route.pattern] = weighted_split
        return weighted_split.next_service()

    def _put_in_force(self, record: Record) -> None:
        body: RoutingBody = record.content
        if body.number <= self.number:
            return
        try:
            document = unpack_routing(body.packed)
        except CardamomrunError as error:
            _log.error(
                f"cannot read a routing document, keeps {self.number}: {error}",
                number=body.number,
            )
            return
        routes: dict[str, dict[str, RoutingRoute]] = {}
        for route in document.routes:
            routes.setdefault(_host_name(route.host), {})[route.prefix] = route
        self.document = document
        self.idempotent_services = frozenset(
            part.service
            for route in document.routes
            if route.is_idempotent
            for part in route.split
            if part.weight > 0
        )
        self.organisations = OrganisationIndex(document.organisations)
        self._routes = routes
        self._splits = {}
        self.on_change(document)
        _log.info(
            "a routing document is in force",
            number=document.number,
            route_count=len(document.routes),
            organisation_count=len(document.organisations or ()),
        )


def _host_name(host: str) -> str:
    name, _, port = host.rpartition(":")
    return (name if name and port.isdigit() else host).lower()


def _prefixes(path: str) -> Iterator[str]:
    """Yield the prefixes of a path that end with a slash, the longest first.

    >>> list(_prefixes("/a/b"))
    ['/a/', '/']
    """
    end = path.rfind("/")
    while end >= 0:
        yield path[: end + 1]
        end = path.rfind("/", 0, end)
