"""Fault modes of the stand-in backend server."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Annotated

from pydantic import ConfigDict, Field

__all__ = ["FaultMode", "Faults"]


class FaultMode(StrEnum):
    """How requests fail; health probes succeed in every mode."""

    NONE = "none"
    FAIL = "fail"
    SLOW = "slow"
    FLAP = "flap"
    SILENT = "silent"
    SHED = "shed"
    CUT = "cut"
    CLOSE_EARLY = "close-early"
    NOT_RUN = "not-run"


@dataclass(frozen=True)
class Faults:
    """A fault mode and the ratio of requests that it affects.

    `slow_factor` multiplies the service time in mode `slow`; `flap_period_ms` is the
    length of each healthy and each failing period in mode `flap`. A request whose path
    contains `crash_mark` crashes the process in any mode. With `misreport_load` the
    server reports that no request is in flight.
    """

    __pydantic_config__ = ConfigDict(extra="forbid")

    mode: FaultMode = FaultMode.NONE
    ratio: Annotated[float, Field(ge=0.0, le=1.0)] = 1.0
    slow_factor: Annotated[float, Field(ge=1.0, le=1_000.0)] = 20.0
    flap_period_ms: Annotated[int, Field(ge=10, le=600_000)] = 2_000
    crash_mark: str = ""
    misreport_load: bool = False
