"""Control state: durable log, Raft consensus, audit trail, operators' interface."""

from cardamomrun_control.agreement import Agreement
from cardamomrun_control.service import ControlService
from cardamomrun_control.state import ControlState
from cardamomrun_control.storage import DurableLog

__all__ = ["Agreement", "ControlService", "ControlState", "DurableLog"]
