"""Knowledge of backend servers: announcements, evidence, ejection, selection."""

from cardamomrun_backends.announcements import AnnouncementTokens, announcement_routes
from cardamomrun_backends.backends import LiveBackends
from cardamomrun_backends.directory import Directory
from cardamomrun_backends.registry import Registry

__all__ = [
    "AnnouncementTokens",
    "Directory",
    "LiveBackends",
    "Registry",
    "announcement_routes",
]
