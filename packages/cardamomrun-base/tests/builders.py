"""Builders of settings files and documents for tests."""

import json
from typing import Any

__all__ = ["document_value", "settings_value", "to_text"]


def settings_value(**changes: Any) -> dict[str, Any]:
    """Return valid settings of an entry instance with some keys replaced."""
    value = {
        "instance_id": "entry-1",
        "region": "bc-interior",
        "failure_domain": "kelowna-a",
        "roles": ["entry"],
        "host": "127.0.0.1",
        "front_port": 8080,
        "admin_port": 8081,
        "peer_port": 8082,
        "fleet": {"key_file": "fleet.key"},
        "announcement_tokens_file": "tokens.jsonc",
    }
    return {**value, **changes}


def document_value(**changes: Any) -> dict[str, Any]:
    """Return a valid document with some keys replaced."""
    value = {
        "service": "rota-desk",
        "hosts": ["rota-desk.example"],
        "routes": [{"prefix": "/"}],
    }
    return {**value, **changes}


def to_text(value: Any) -> str:
    """Return JSON with one key on each line."""
    return json.dumps(value, indent=1)
