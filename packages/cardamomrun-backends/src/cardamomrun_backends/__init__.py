"""Backend servers: announcement, health evidence, ejection and selection."""

from cardamomrun_backends.announcements import AnnouncementTokens, announcement_routes
from cardamomrun_backends.backends import LiveBackends
from cardamomrun_backends.decider import Decider
from cardamomrun_backends.directory import Directory
from cardamomrun_backends.registry import Registry
from cardamomrun_backends.reporter import Reporter

__all__ = [
    "AnnouncementTokens",
    "Decider",
    "Directory",
    "LiveBackends",
    "Registry",
    "Reporter",
    "announcement_routes",
]
