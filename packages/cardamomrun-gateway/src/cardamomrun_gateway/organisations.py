"""Decides for which organisation a request is made, by its API key."""

from dataclasses import dataclass
from functools import cached_property
from typing import Literal

from tornado.httputil import HTTPHeaders

from cardamomrun_base import headers as names
from cardamomrun_base.routing_document import Organisation, RoutingRoute

__all__ = [
    "Decision",
    "Identified",
    "KeyMissing",
    "KeyUnconfirmed",
    "KeyUnknown",
    "OrganisationIndex",
    "combined_rank",
    "identify",
    "decode_header_text",
    "encode_header_text",
]

KEY_SCHEME = "bearer"
# Ranks of organisations are this far apart, so that the rank of a route only decides
# between requests of equal organisations. Documents use single digits for routes.
RANK_SPACING = 1_000_000


@dataclass(frozen=True)
class Identified:
    """The request may run, for an organisation or, on a public route, for none."""

    organisation: Organisation | None
    tag: Literal["identified"] = "identified"


@dataclass(frozen=True)
class KeyMissing:
    """The route needs a key, and the request has none."""

    tag: Literal["key-missing"] = "key-missing"


@dataclass(frozen=True)
class KeyUnknown:
    """No organisation of the document has the key."""

    tag: Literal["key-unknown"] = "key-unknown"


@dataclass(frozen=True)
class KeyUnconfirmed:
    """The key may have been removed by a document that has not arrived."""

    tag: Literal["key-unconfirmed"] = "key-unconfirmed"


Decision = Identified | KeyMissing | KeyUnknown | KeyUnconfirmed


class OrganisationIndex:
    """Finds the organisations of one document by key and by name."""

    def __init__(self, organisations: tuple[Organisation, ...] | None) -> None:
        self._organisations = organisations or ()
        self.are_keys_required = organisations is not None
        self._by_key = {
            key: organisation
            for organisation in self._organisations
            for key in organisation.keys
        }

    def find(self, key: str) -> Organisation | None:
        """Return the organisation that has this key, or None."""
        return self._by_key.get(key)

    def named(self, name: str) -> Organisation:
        """Return the organisation with this name.

        One that is not in the document gets neither keys nor limits: the instance that
        identified it may have another document.
        """
        return self._by_name.get(name) or Organisation(name, ())

    @cached_property
    def _by_name(self) -> dict[str, Organisation]:
        # Built on first use: only requests of instances that lost their paths need it.
        return {organisation.name: organisation for organisation in self._organisations}


def identify(
    headers: HTTPHeaders,
    route: RoutingRoute,
    index: OrganisationIndex,
    *,
    is_relayed: bool,
    may_be_revoked: bool,
) -> Decision:
    """Return for which organisation a request is made, or why that is not known.

    `is_relayed`: a member of the fleet sent the request, whose word is trusted.
    `may_be_revoked`: keys of the document may have been removed, and strict revocation
    is required.
    """
    relayed_name = _relayed_name(headers) if is_relayed else ""
    if relayed_name:
        return Identified(index.named(relayed_name))
    if not index.are_keys_required:
        return Identified(None)
    key = _bearer_key(headers)
    if not key:
        return Identified(None) if route.is_public else KeyMissing()
    if may_be_revoked:
        return KeyUnconfirmed()
    organisation = index.find(key)
    if organisation is None and not route.is_public:
        return KeyUnknown()
    return Identified(organisation)


def combined_rank(organisation: Organisation | None, route: RoutingRoute) -> int:
    """Return the rank of a request: by organisation first, then by route.

    An organisation of rank 0 leaves the rank of the route as it is.
    """
    if organisation is None or organisation.rank == 0:
        return route.rank
    route_rank = max(0, min(route.rank, RANK_SPACING - 1))
    return organisation.rank * RANK_SPACING + route_rank


def encode_header_text(text: str) -> str:
    """Return a text as a header value, which HTTP sends as Latin-1: UTF-8 bytes."""
    return text.encode().decode("latin1")


def decode_header_text(value: str) -> str:
    """Return the text in a header value that was sent as UTF-8."""
    return value.encode("latin1", "replace").decode(errors="replace")


def _relayed_name(headers: HTTPHeaders) -> str:
    """Return the name that a member of the fleet states, or an empty string.

    A member of a release without organisations passes on the header of its client, but
    replaces `Connection`, so the name only counts if that lists it.
    """
    hop_names = headers.get("Connection", "").lower().split(",")
    if names.RELAYED_ORGANISATION.lower() not in {name.strip() for name in hop_names}:
        return ""
    return decode_header_text(headers.get(names.RELAYED_ORGANISATION, ""))


def _bearer_key(headers: HTTPHeaders) -> str:
    """Return the key in `Authorization: Bearer KEY`, or an empty string."""
    scheme, _, key = headers.get(names.AUTHORIZATION, "").strip().partition(" ")
    return decode_header_text(key.strip()) if scheme.lower() == KEY_SCHEME else ""
