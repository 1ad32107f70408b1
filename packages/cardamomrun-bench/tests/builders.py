"""Builders of services and attempts for the tests of the experiments."""

import numpy as np

from cardamomrun_base.documents import DetectionProfile
from cardamomrun_bench.judgement_run import RunPlan
from cardamomrun_bench.judgement_traffic import Fault, ServiceModel


def service(**changes) -> ServiceModel:
    values = {
        "name": "rota-desk",
        "profile": DetectionProfile.FEWEST_FALSE_EJECTIONS,
        "failure_domains": ("kelowna-a", "kelowna-b"),
        "server_count": 10,
        "slots": 4,
        "connections": 400,
        "instance_count": 8,
        "rate_per_server": 40.0,
    }
    return ServiceModel(**{**values, **changes})


def plan(fault: Fault, seed: int = 1, horizon_ms: float = 30_000.0, **changes):
    return RunPlan(service(**changes), fault, seed, horizon_ms)


def attempts(instance: int, server: int, results: list[int]) -> tuple:
    """Return the arguments of `Policy.record_results` for one instance and server."""
    count = len(results)
    return (
        np.full(count, instance),
        np.full(count, server),
        np.array(results),
        np.zeros(count),
    )
