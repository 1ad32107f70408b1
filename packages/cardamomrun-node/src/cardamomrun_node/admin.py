"""The admin listener: announcements, operators, status and metrics."""

import json
from typing import Any

from prometheus_client import CONTENT_TYPE_LATEST, generate_latest
from tornado.web import Application, RequestHandler

from cardamomrun_base.errors import AddressInUseError
from cardamomrun_base.interfaces import Backends, Environment, Environments, Fleet
from cardamomrun_base.settings import NodeSettings
from cardamomrun_requests.call_server import open_call_server
from cardamomrun_requests.client_memory import ClientMemory

__all__ = ["AdminListener"]

MAX_BODY_BYTES = 8 * 1024 * 1024
STATUS_NOT_FOUND = 404


class AdminListener:
    """Serves the admin address with the routes that the parts contribute."""

    def __init__(
        self, settings: NodeSettings, routes: list[Any], memory: ClientMemory
    ) -> None:
        self._settings = settings
        self._server = open_call_server(
            Application(
                routes,
                default_handler_class=UnknownPathHandler,
                log_function=_discard_access_log,
            ),
            memory,
            MAX_BODY_BYTES,
        )

    def start(self) -> None:
        """Open the listener, or raise `AddressInUseError`."""
        try:
            self._server.listen(self._settings.admin_port, str(self._settings.host))
        except OSError as error:
            raise AddressInUseError(
                f"cannot listen on {self._settings.admin_address}: {error.strerror}.",
                remedy="stop the other process or change admin_port",
            ) from error

    async def stop(self) -> None:
        """Close the listener and its connections."""
        self._server.stop()
        await self._server.close_all_connections()


class UnknownPathHandler(RequestHandler):
    """Answers paths that no part serves on this node."""

    def prepare(self) -> None:
        """Answer 404 with an error body like that of other admin paths."""
        self.set_status(STATUS_NOT_FOUND)
        self.finish(
            {
                "error": "not-found",
                "message": "This node does not serve this path.",
                "remedy": "docs/interfaces.md lists the paths of each role",
            }
        )


class MetricsHandler(RequestHandler):
    """`GET /metrics` in the Prometheus text format."""

    def get(self) -> None:
        """Write the metrics of this process."""
        self.set_header("Content-Type", CONTENT_TYPE_LATEST)
        self.write(generate_latest())


class StatusHandler(RequestHandler):
    """`GET /v1/status`: members and environments as this instance sees them."""

    def initialize(
        self,
        settings: NodeSettings,
        fleet: Fleet,
        environments: Environments,
        backends: Backends,
    ) -> None:
        """Store the parts whose state is shown."""
        self._node_settings = settings
        self._fleet = fleet
        self._environments = environments
        self._backends = backends

    def get(self) -> None:
        """Write the status as JSON."""
        self.set_header("Content-Type", "application/json")
        self.write(json.dumps(self._status(), sort_keys=True))

    def _status(self) -> dict[str, Any]:
        return {
            "instance_id": self._node_settings.instance_id,
            "may_be_behind": self._fleet.may_be_behind(),
            "members": [
                {"instance_id": member.instance_id, "phase": member.phase}
                for member in self._fleet.members()
            ],
            "environments": {
                environment.body.environment: self._environment_status(environment)
                for environment in self._environments.all()
            },
        }

    def _environment_status(self, environment: Environment) -> dict[str, Any]:
        view = self._backends.view(environment.body.environment)
        return {
            "version": environment.body.version,
            "digest": environment.body.digest,
            "healthy": view.healthy,
            "ejected": view.ejected,
            "avoided": view.avoided,
            "draining": view.draining,
            "starting": view.starting,
            "floor_count": view.floor_count,
        }


def _discard_access_log(handler: RequestHandler) -> None:
    """Replace tornado's access log; the eliot log has what operators need."""
