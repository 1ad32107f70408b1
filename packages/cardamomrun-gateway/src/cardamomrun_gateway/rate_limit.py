"""The limit that a backend server states for the requests of the whole fleet."""

from dataclasses import dataclass

__all__ = ["StatedLimit"]


@dataclass
class StatedLimit:
    """The limit of one incarnation of a server, as this instance knows it.

    `per_s` are requests a second of the whole fleet.
    """

    per_s: float
    confirmed_ms: float
    published_ms: float
