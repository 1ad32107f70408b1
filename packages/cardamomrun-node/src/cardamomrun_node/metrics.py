"""Metrics that are computed from a node's state on each scrape."""

from collections.abc import Iterable

from prometheus_client import (
    GC_COLLECTOR,
    PLATFORM_COLLECTOR,
    REGISTRY,
    disable_created_metrics,
)
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily
from prometheus_client.metrics_core import Metric
from prometheus_client.registry import Collector

from cardamomrun_backends.backends import LiveBackends
from cardamomrun_base.interfaces import Environments
from cardamomrun_base.model import MemberPhase
from cardamomrun_fleet.fleet import Fleet

__all__ = ["NodeCollector", "register_metrics"]

ENVIRONMENT = ("environment",)
# Values of the label `state` of the gauge `cardamomrun_servers`.
SERVER_STATES = ("healthy", "ejected", "avoided", "draining", "starting")


class NodeCollector(Collector):
    """Environments in force, backend servers, members and peer links of one node."""

    def __init__(
        self, fleet: Fleet, environments: Environments, backends: LiveBackends
    ) -> None:
        self._fleet = fleet
        self._environments = environments
        self._backends = backends

    def collect(self) -> Iterable[Metric]:
        """Return the current metrics."""
        yield from self._environment_metrics()
        yield self._member_metric()
        yield GaugeMetricFamily(
            "cardamomrun_may_be_behind",
            "1 while this instance knows that it may lack newer records.",
            float(self._fleet.may_be_behind()),
        )
        yield from self._peer_metrics()

    def describe(self) -> Iterable[Metric]:
        """Return nothing, so that the collector can be registered before the start."""
        return ()

    def _environment_metrics(self) -> Iterable[Metric]:
        versions = GaugeMetricFamily(
            "cardamomrun_version_in_force",
            "Version of the document in force on this instance.",
            labels=ENVIRONMENT,
        )
        servers = GaugeMetricFamily(
            "cardamomrun_servers",
            "Backend servers as this instance sees them, by state.",
            labels=("environment", "state"),
        )
        floors = GaugeMetricFamily(
            "cardamomrun_floor_count",
            "Smallest number of healthy backend servers that the document allows.",
            labels=ENVIRONMENT,
        )
        for environment in list(self._environments.all()):
            name = environment.body.environment
            view = self._backends.view(name)
            versions.add_metric((name,), environment.body.version)
            floors.add_metric((name,), view.floor_count)
            for state in SERVER_STATES:
                servers.add_metric((name, state), len(getattr(view, state)))
        return versions, servers, floors

    def _member_metric(self) -> Metric:
        members = GaugeMetricFamily(
            "cardamomrun_members",
            "Instances that this instance knows, by phase; neither gone nor failed.",
            labels=("phase",),
        )
        phases = [member.phase for member in self._fleet.members()]
        for phase in (MemberPhase.STARTING, MemberPhase.SERVING, MemberPhase.LEAVING):
            members.add_metric((phase.value,), phases.count(phase))
        return members

    def _peer_metrics(self) -> Iterable[Metric]:
        traffic = self._fleet.traffic
        byte_counts = CounterMetricFamily(
            "cardamomrun_peer_bytes",
            "Bytes of messages on peer links.",
            labels=("direction",),
        )
        byte_counts.add_metric(("sent",), traffic.sent_bytes)
        byte_counts.add_metric(("received",), traffic.received_bytes)
        refusals = CounterMetricFamily(
            "cardamomrun_peer_refusals",
            "Peers refused for their proof of the fleet key.",
            labels=("reason",),
        )
        for reason, count in self._fleet.refusal_counts.items():
            refusals.add_metric((reason,), count)
        return byte_counts, refusals


def register_metrics(
    fleet: Fleet, environments: Environments, backends: LiveBackends
) -> NodeCollector:
    """Export the metrics of a node along with those that its parts register.

    The collectors of the Python runtime and the `_created` series are left out: they
    double the size of an answer and no page refers to them.
    """
    disable_created_metrics()
    REGISTRY.unregister(GC_COLLECTOR)
    REGISTRY.unregister(PLATFORM_COLLECTOR)
    collector = NodeCollector(fleet, environments, backends)
    REGISTRY.register(collector)
    return collector
