"""Settings of the command line: control instances and the operator's token."""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

from pydantic import Field, TypeAdapter

from cardamomrun_base.checked_json import STRICT, check_fields
from cardamomrun_base.errors import CredentialError, SettingsError
from cardamomrun_base.jsonc import JsonWithCommentsError, parse

__all__ = ["DEFAULT_PATH", "OperatorSettings", "load_operator_settings"]

DEFAULT_PATH = "cardamomrun.jsonc"


@dataclass(frozen=True)
class OperatorSettings:
    """Admin addresses (`host:port`) of control instances, and the token's file."""

    __pydantic_config__ = STRICT

    control: Annotated[tuple[str, ...], Field(min_length=1)]
    token_file: Path
    timeout_ms: Annotated[int, Field(ge=100, le=600_000)] = 10_000

    def token(self) -> str:
        """Return the operator's token, or raise `CredentialError`."""
        try:
            return self.token_file.read_text(encoding="utf-8").strip()
        except OSError as error:
            raise CredentialError(
                f"{self.token_file}: cannot be read ({error.strerror}).",
                remedy="check token_file in the settings of the command line",
            ) from error


_settings_adapter = TypeAdapter(OperatorSettings)


def load_operator_settings(path: Path) -> OperatorSettings:
    """Read the settings; a relative `token_file` is relative to the settings file."""
    try:
        parsed = parse(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise SettingsError(
            f"{path}: cannot be read ({error.strerror}).",
            remedy="name the file with --settings",
        ) from error
    except JsonWithCommentsError as error:
        raise SettingsError(f"{path}: {error}.", remedy="correct the JSON") from error
    settings = check_fields(_settings_adapter, parsed, str(path), SettingsError)
    token_file = path.parent / settings.token_file
    return OperatorSettings(settings.control, token_file, settings.timeout_ms)
