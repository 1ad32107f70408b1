"""Client of the operators' interface of the control instances."""

from typing import Any

from cardamomrun_base.clock import Clock
from cardamomrun_base.errors import (
    EXIT_REFUSED,
    CardamomrunError,
    ConflictError,
    CredentialError,
    DocumentError,
    UnavailableError,
)
from cardamomrun_base.http_client import CallResponse, call
from cardamomrun_operators.settings import OperatorSettings

__all__ = ["ControlClient", "NotFoundError", "RefusedError"]

RETRY_PAUSE_MS = 300
# Limits the time of each call, so that an instance which doesn't answer leaves time
# to ask the others.
CALLS_PER_TIMEOUT = 3
MIN_CALL_MS = 1_000
STATUS_OK = 200
STATUS_MISDIRECTED = 421
UNAVAILABLE_STATUSES = (503, 504)


class RefusedError(CardamomrunError):
    """Control refused the call."""

    kind = "refused"
    exit_code = EXIT_REFUSED


class NotFoundError(RefusedError):
    """The environment or version named does not exist."""

    kind = "not-found"


_ERROR_TYPES: dict[int, type[CardamomrunError]] = {
    401: CredentialError,
    403: CredentialError,
    404: NotFoundError,
    409: ConflictError,
    422: DocumentError,
}


class ControlClient:
    """Finds the leading control instance and retries calls whose answer was lost.

    Retries are safe: a change is identified by operator and change number, and a
    resend gets the first answer again.
    """

    def __init__(self, settings: OperatorSettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._token = settings.token()

    async def call(self, method: str, path: str, body: Any = None) -> Any:
        """Return the JSON of the leader's successful answer, or raise a typed error."""
        deadline_ms = self._clock.now_ms() + self._settings.timeout_ms
        addresses = list(self._settings.control)
        failures: dict[str, str] = {}
        while self._clock.now_ms() < deadline_ms:
            address = addresses.pop(0)
            addresses.append(address)
            try:
                answer = await self._call_address(address, method, path, body)
            except UnavailableError:
                failures[address] = "no answer."
                await self._clock.sleep_ms(RETRY_PAUSE_MS)
                continue
            if answer.status == STATUS_OK:
                return answer.body
            if answer.status == STATUS_MISDIRECTED:
                failures[address] = "it does not lead."
                await self._prefer_leader(answer, addresses)
                continue
            if answer.status not in UNAVAILABLE_STATUSES:
                raise _error_of(answer)
            failures[address] = _message_of(answer)
            await self._clock.sleep_ms(RETRY_PAUSE_MS)
        raise UnavailableError(
            f"no leading control instance answered. {_format_failures(failures)}",
            remedy="see cardamomrun control; then repeat a change with the same --change",
        )

    async def call_each(self, path: str) -> dict[str, Any]:
        """Return the answer of each address in the settings, or its typed error."""
        answers: dict[str, Any] = {}
        for address in self._settings.control:
            try:
                answer = await self._call_address(address, "GET", path, None)
            except UnavailableError as error:
                answers[address] = UnavailableError("no answer.", remedy=error.remedy)
                continue
            refused = answer.status != STATUS_OK
            answers[address] = _error_of(answer) if refused else answer.body
        return answers

    async def _call_address(
        self, address: str, method: str, path: str, body: Any
    ) -> CallResponse:
        return await call(
            method,
            f"http://{address}{path}",
            body=body,
            token=self._token,
            timeout_ms=max(MIN_CALL_MS, self._settings.timeout_ms // CALLS_PER_TIMEOUT),
        )

    async def _prefer_leader(self, answer: CallResponse, addresses: list[str]) -> None:
        body = answer.body if isinstance(answer.body, dict) else {}
        leader = body.get("leader_admin_address")
        if not leader:
            await self._clock.sleep_ms(RETRY_PAUSE_MS)
            return
        if leader in addresses:
            addresses.remove(leader)
        addresses.insert(0, leader)


def _error_of(answer: CallResponse) -> CardamomrunError:
    body = answer.body if isinstance(answer.body, dict) else {}
    error_type = _ERROR_TYPES.get(answer.status, RefusedError)
    message = body.get("message", f"control answered {answer.status}.")
    remedy = body.get("remedy", "see the log of the control instance")
    return error_type(message, remedy=remedy)


def _message_of(answer: CallResponse) -> str:
    body = answer.body if isinstance(answer.body, dict) else {}
    return body.get("message", f"control answered {answer.status}.")


def _format_failures(failures: dict[str, str]) -> str:
    return " ".join(f"{address}: {failure}" for address, failure in failures.items())
