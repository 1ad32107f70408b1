"""Operators' tokens, read from a file of JSON with comments."""

import hmac
from pathlib import Path
from typing import Any

from cardamomrun_base.errors import CredentialError, SettingsError
from cardamomrun_base.jsonc import JsonWithCommentsError, parse

__all__ = ["OperatorTokens"]

PREFIX = "Bearer "


class OperatorTokens:
    """Maps tokens to operators' names.

    Raises `SettingsError` if the file cannot be read, is not an object of non-empty
    strings, or gives two operators the same token.
    """

    def __init__(self, path: Path) -> None:
        value = _read(path)
        names_ok = isinstance(value, dict) and all(value)
        if not names_ok or not all(isinstance(t, str) and t for t in value.values()):
            raise SettingsError(
                f"{path}: an object of operator names and tokens is expected.",
                remedy='write {"name": "token"}, with no empty name or token',
            )
        if len(set(value.values())) != len(value):
            raise SettingsError(
                f"{path}: two operators have the same token.",
                remedy="give each operator a token of their own",
            )
        self._tokens = {name: token.encode() for name, token in value.items()}

    def operator(self, authorization: str) -> str:
        """Return the operator of an Authorization header; raises `CredentialError`.

        All tokens are compared, each in constant time, so that the time taken reveals
        nothing about them.
        """
        given = authorization.removeprefix(PREFIX).encode()
        found = None
        for name, token in self._tokens.items():
            if hmac.compare_digest(token, given):
                found = name
        if found is None or not authorization.startswith(PREFIX):
            raise CredentialError(
                "The token is missing or wrong.",
                remedy="send the header Authorization: Bearer with an operator's token",
            )
        return found


def _read(path: Path) -> Any:
    try:
        return parse(path.read_text(encoding="utf-8")).value
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(
            f"{path}: cannot be read ({error}).",
            remedy="check the path and its permissions",
        ) from error
    except JsonWithCommentsError as error:
        raise SettingsError(
            f"{path}, line {error.line}: {error}.",
            remedy="correct the JSON at this place",
        ) from error
