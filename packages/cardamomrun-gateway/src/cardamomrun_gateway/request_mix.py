"""Tells which services get idempotent requests in fact, not only by their routes."""

__all__ = ["RequestMix"]

# Weight of a new request in the running share.
WEIGHT = 0.03
# Assumed share of a service until its requests show another one.
FIRST_RATIO = 0.25
# With a smaller share, idempotent requests are too few to be the trials of all suspected
# servers. Services that lived on their trials had a fifth or more.
MIN_RATIO = 0.08


class RequestMix:
    """Running shares of the idempotent requests of services, on one instance."""

    def __init__(self) -> None:
        self._ratios: dict[str, float] = {}

    def record(self, service: str, *, is_idempotent: bool) -> None:
        """Count a request of a client."""
        ratio = self._ratios.get(service, FIRST_RATIO)
        self._ratios[service] = ratio + WEIGHT * (is_idempotent - ratio)

    def has_idempotent(self, service: str) -> bool:
        """Return True unless a service gets next to no idempotent requests."""
        return self._ratios.get(service, FIRST_RATIO) >= MIN_RATIO
