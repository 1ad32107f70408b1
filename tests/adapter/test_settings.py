import json
import tomllib
from pathlib import Path

import pytest

from cardamomrun_base.errors import SettingsError
from cardamomrun_base.settings import Role
from cardamomrun_platform.settings import read_settings

from .builders import settings_fields, settings_text


def read(tmp_path, fields):
    path = tmp_path / "local.yaml"
    path.write_text(settings_text(fields))
    return read_settings(path)


def test_a_control_machine(tmp_path):
    settings = read(tmp_path, settings_fields())
    node = settings.node
    assert node.roles == (Role.CONTROL,)
    assert node.instance_id == "127.0.0.1"
    assert node.fleet.seeds == ("127.0.0.1:7660", "10.2.0.31:7660")
    assert node.fleet.trusts_network
    assert [v.instance_id for v in node.control.voters] == ["127.0.0.1", "10.2.0.31"]
    assert node.gateway.retry_slack_count == 62
    assert node.gateway.grace_ms == 6_000
    assert (node.memory_mb, node.max_fds) == (296.0, None)
    assert settings.control_address == "127.0.0.1:8146"
    assert settings.ready_address is None
    assert settings.metrics_address == "127.0.0.1:7661"


def test_a_machine_that_joins_has_no_first_voters(tmp_path):
    """Guards against a wiped machine that bootstraps a second cluster."""
    settings = read(tmp_path, settings_fields(bootstrap=False))
    assert settings.node.control.voters == ()


def test_an_entry_machine(tmp_path):
    fields = settings_fields(
        serves=["edge", "directory"],
        data_dir=None,
        listen={
            "front": "127.0.0.1:8144",
            "ready": "127.0.0.1:8140",
            "directory": "127.0.0.1:8143",
        },
    )
    settings = read(tmp_path, fields)
    assert settings.node.roles == (Role.ENTRY,)
    assert settings.node.control is None
    assert settings.node.front_address == "127.0.0.1:8144"
    assert settings.directory_address == "127.0.0.1:8143"


def test_bounds_may_come_as_a_table(tmp_path):
    fields = settings_fields()
    fields["bounds"] = dict(text.split("=") for text in fields["bounds"])
    assert read(tmp_path, fields).node.gateway.retry_slack_count == 62


@pytest.mark.parametrize("missing", ["ip", "listen", "internal_ports", "bounds"])
def test_a_missing_field_is_named(tmp_path, missing):
    fields = settings_fields()
    del fields[missing]
    with pytest.raises(SettingsError, match=missing):
        read(tmp_path, fields)


def test_a_missing_file_is_named(tmp_path):
    with pytest.raises(SettingsError, match=r"local\.yaml"):
        read_settings(tmp_path / "local.yaml")


def test_metrics_are_served_where_the_deploy_file_says():
    """Guards against a metrics port that differs from the one in the deploy file."""
    root = Path(__file__).parents[2] / "deploy"
    template = (root / "settings.json.template").read_text()
    port = json.loads(template.replace("{{.|json}}", "{}"))["metrics_port"]
    roles = tomllib.loads((root / "system.toml").read_text())["roles"]
    assert {role["metrics"] for role in roles.values()} == {f"{port}/metrics"}
