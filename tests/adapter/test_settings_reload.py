"""Changes of the settings while an instance runs."""

import asyncio
from dataclasses import replace
from types import SimpleNamespace

from cardamomrun_base.clock import ManualClock
from cardamomrun_base.settings import GatewaySettings
from cardamomrun_gateway.hedging import Hedging
from cardamomrun_gateway.retry_budget import RetryBudget
from cardamomrun_gateway.routed_request import RouteTimes
from cardamomrun_node.gateway_node import GatewayNode
from cardamomrun_node.settings_watch import (
    POLL_INTERVAL_MS,
    SettingsWatch,
    fields_needing_restart,
)
from cardamomrun_platform.settings import read_settings

from .builders import settings_fields, settings_text


def write(path, **changes):
    path.write_text(settings_text(settings_fields(**changes)))


def node_settings(path, **changes):
    write(path, **changes)
    return read_settings(path).node


def test_new_seeds_are_used_without_a_restart(tmp_path):
    """Guards against an instance whose known seeds have all been replaced."""

    async def main():
        path = tmp_path / "local.yaml"
        used = []
        node = SimpleNamespace(
            fleet=SimpleNamespace(use_seeds=used.append),
            _budget=RetryBudget(GatewaySettings(), ManualClock()),
            _hedging=Hedging(GatewaySettings(), RouteTimes()),
            _quotas=None,
            _settings=node_settings(path),
        )
        changed = node_settings(path, seeds=["10.9.9.9:8146"])
        GatewayNode.reload(node, changed)
        assert used == [("10.9.9.9:7660",)]

    asyncio.run(main())


def test_a_changed_file_is_reloaded_without_a_signal(tmp_path):
    async def main():
        clock = ManualClock()
        path = tmp_path / "local.yaml"
        write(path)
        reads = []
        watch = SettingsWatch(clock, path, lambda: reads.append(read_settings(path)))
        watch_task = asyncio.create_task(watch.run())
        for content in (None, "seeds", "broken", None):
            if content == "seeds":
                write(path, seeds=["10.9.9.9:8146"])
            elif content == "broken":
                path.write_text("{")
            await asyncio.sleep(0)
            clock.advance_ms(POLL_INTERVAL_MS + 1)
            await asyncio.sleep(0.01)
        watch_task.cancel()
        assert len(reads) == 1

    asyncio.run(main())


def test_changed_settings_that_need_a_restart_are_listed(tmp_path):
    old = node_settings(tmp_path / "local.yaml")
    assert fields_needing_restart(old, replace(old, directory_ttl_ms=500)) == [
        "directory_ttl_ms"
    ]
    assert fields_needing_restart(old, replace(old, gateway=GatewaySettings())) == []


def test_a_new_retry_ratio_applies_at_once():
    budget = RetryBudget(GatewaySettings(retry_slack_count=0), ManualClock())
    budget.count(1, 100, 10)
    assert budget.allows_retry(1)
    budget.update_settings(GatewaySettings(retry_slack_count=0, retry_ratio=0.1))
    assert not budget.allows_retry(1)


def test_a_new_hedge_ratio_applies_at_once():
    hedging = Hedging(GatewaySettings(), RouteTimes())
    hedging.update_settings(GatewaySettings(hedge_ratio=0.0))
    assert not hedging.has_credit


def test_strict_revocation_applies_without_a_restart(tmp_path):
    """Guards against instances that accept keys by a rule that operators replaced."""
    path = tmp_path / "local.yaml"
    old = node_settings(path)
    node = SimpleNamespace(
        fleet=SimpleNamespace(use_seeds=lambda seeds: None),
        _budget=RetryBudget(GatewaySettings(), ManualClock()),
        _hedging=Hedging(GatewaySettings(), RouteTimes()),
        _quotas=None,
        _settings=old,
        _gateway=old.gateway,
    )
    documents = SimpleNamespace(confirmed_age_ms=5_001.0)
    assert not GatewayNode._may_be_revoked(node, documents)
    strict = replace(old.gateway, has_strict_revocation=True)
    GatewayNode.reload(node, replace(old, gateway=strict))
    assert GatewayNode._may_be_revoked(node, documents)
    assert not GatewayNode._may_be_revoked(
        node, SimpleNamespace(confirmed_age_ms=5_000.0)
    )
