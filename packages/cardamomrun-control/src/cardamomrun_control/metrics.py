"""Metrics of the consensus of the control instances."""

from typing import TYPE_CHECKING

from prometheus_client import Gauge

if TYPE_CHECKING:
    from cardamomrun_control.agreement import Agreement

__all__ = ["export_metrics"]

LEADS = Gauge(
    "cardamomrun_control_leads", "1 while this instance holds the leader lease."
)
TERM = Gauge("cardamomrun_control_term", "The current term; 0 without the role.")
LAST_INDEX = Gauge(
    "cardamomrun_control_last_index", "Index of the last entry in the log."
)
COMMIT_INDEX = Gauge(
    "cardamomrun_control_commit_index", "Index of the last committed entry."
)
FAILED = Gauge("cardamomrun_control_failed", "1 while the data folder is out of use.")


def export_metrics(agreement: "Agreement") -> None:
    """Make the gauges report on `agreement`, in place of an earlier one."""
    LEADS.set_function(lambda: float(agreement.holds_lease()))
    TERM.set_function(lambda: agreement.term)
    LAST_INDEX.set_function(lambda: agreement.status().last_index)
    COMMIT_INDEX.set_function(lambda: agreement.status().commit_index)
    FAILED.set_function(lambda: float(agreement.status().failure is not None))
