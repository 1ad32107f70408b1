"""Peer links, record store, dissemination and membership."""

from cardamomrun_fleet.credentials import PeerRefusedError, Refusal
from cardamomrun_fleet.fleet import Fleet
from cardamomrun_fleet.links import PeerFailedError
from cardamomrun_fleet.store import Store

__all__ = ["Fleet", "PeerFailedError", "PeerRefusedError", "Refusal", "Store"]
