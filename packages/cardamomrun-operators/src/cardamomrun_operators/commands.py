"""Commands of the operators' command line."""

import asyncio
import base64
import difflib
import sys
import time
from collections.abc import Awaitable, Iterable
from dataclasses import asdict
from pathlib import Path
from typing import Any

from cardamomrun_base.clock import SystemClock
from cardamomrun_base.documents import document_digest, load_document, read_document
from cardamomrun_base.errors import CardamomrunError, ConflictError, UsageError
from cardamomrun_base.http_client import call
from cardamomrun_base.model import Stage
from cardamomrun_control.audit import GENESIS_HASH, AuditEntry, AuditError, verify
from cardamomrun_operators.control_client import ControlClient, NotFoundError
from cardamomrun_operators.log_story import build_timeline, parse_lines
from cardamomrun_operators.output import (
    render,
    render_audit,
    render_control,
    render_history,
    render_status,
    render_timeline,
)
from cardamomrun_operators.settings import DEFAULT_PATH, load_operator_settings

__all__ = ["Commands"]


class Commands:
    """Operate a cardamomrun fleet: one document per environment.

    All commands take --json for machine-readable output, also of errors. Commands that
    call control take --settings FILE (default cardamomrun.jsonc). Exit codes are
    listed in docs/interfaces.md.

    Example: cardamomrun --settings /etc/cardamomrun.jsonc status --json
    """

    def __init__(self, settings: str = DEFAULT_PATH, json: bool = False) -> None:
        self._settings_path = settings
        self._json = json

    def check(self, document: str) -> None:
        """Check a document without sending it.

        Example: cardamomrun check rota-desk.jsonc
        """
        data = read_document(Path(document))
        checked = load_document(data, document)
        self._print_value(
            {
                "service": checked.service,
                "digest": document_digest(data),
                "route_count": len(checked.routes),
                "profile": str(checked.profile),
            }
        )

    def follow(self, identifier: str, *files: str) -> None:
        """Show what the logs say about a request or a backend server.

        Reads the log files of several processes, or standard input if none is named,
        prints the lines in order of time, and names the cause that they show.

        Example: cardamomrun follow order-7 log/entry-1 log/entry-2
        """
        lines = parse_lines(_input_lines(files))
        timeline = build_timeline(identifier, lines)
        if self._json:
            self._print_value(asdict(timeline))
        else:
            print(render_timeline(timeline))

    def diff(self, document: str, stage: str = "trial") -> None:
        """Show what a document would change in a stage.

        Example: cardamomrun diff rota-desk.jsonc --stage production
        """
        data = read_document(Path(document))
        service = load_document(data, document).service
        current = self._current_environment(_environment_path(service, stage))
        before = base64.b64decode(current.get("document") or "").decode()
        lines = difflib.unified_diff(
            before.splitlines(),
            data.decode().splitlines(),
            f"{service}/{stage} version {current.get('version', 0)}",
            document,
            lineterm="",
        )
        text = "\n".join(lines)
        if self._json:
            self._print_value({"differs": bool(text), "diff": text})
        else:
            print(text or "no difference")

    def apply(
        self,
        document: str,
        expect: int | None = None,
        change: int | None = None,
    ) -> None:
        """Put a document in force in the trial environment of its service.

        --expect is the version that must be current (default: the one read now);
        --change is the change number; repeat a command whose answer was lost with the
        same one.

        Example: cardamomrun apply rota-desk.jsonc --expect 3 --change 20261204001
        """
        data = read_document(Path(document))
        service = load_document(data, document).service
        path = _environment_path(service, Stage.TRIAL)
        body = {
            "document": base64.b64encode(data).decode(),
            **self._change_fields(path, expect, change),
        }
        self._print_value(self._call_control("POST", f"{path}/apply", body))

    def promote(
        self,
        service: str,
        digest: str | None = None,
        expect: int | None = None,
        change: int | None = None,
    ) -> None:
        """Put exactly the bytes that the trial environment runs in force in production.

        --digest names the bytes (default: those that the trial runs now).

        Example: cardamomrun promote rota-desk --digest 5f2c...
        """
        if digest is None:
            trial = self._call_control("GET", _environment_path(service, Stage.TRIAL))
            digest = trial.get("digest")
        path = _environment_path(service, Stage.PRODUCTION)
        body = {"digest": str(digest), **self._change_fields(path, expect, change)}
        self._print_value(self._call_control("POST", f"{path}/promote", body))

    def rollback(
        self,
        service: str,
        to_version: int,
        stage: str = "production",
        expect: int | None = None,
        change: int | None = None,
    ) -> None:
        """Put the bytes of an earlier version in force as a new, higher version.

        Example: cardamomrun rollback rota-desk --to-version 4
        """
        path = _environment_path(service, stage)
        body = {"to_version": to_version, **self._change_fields(path, expect, change)}
        self._print_value(self._call_control("POST", f"{path}/rollback", body))

    def show(self, service: str, stage: str = "production") -> None:
        """Print the current document of an environment, byte for byte.

        Example: cardamomrun show rota-desk --stage trial
        """
        current = self._call_control("GET", _environment_path(service, stage))
        if self._json:
            self._print_value(current)
        else:
            text = base64.b64decode(current.get("document") or "").decode()
            print(text, end="")

    def history(self, service: str, stage: str = "production") -> None:
        """List the versions of an environment.

        Example: cardamomrun history rota-desk --stage trial --json
        """
        path = f"{_environment_path(service, stage)}/history"
        answer = self._call_control("GET", path)
        print(render(answer, True) if self._json else render_history(answer))

    def status(self) -> None:
        """Show which versions are in force on how many instances, and who is behind.

        Example: cardamomrun status
        """
        answer = self._call_control("GET", "/v1/in-force")
        print(render(answer, True) if self._json else render_status(answer))

    def control(self) -> None:
        """Show the control instances and whether one may be removed safely.

        Asks all addresses in the settings. The leader's view is shown; without a
        leader, that of the first instance that answers.

        Example: cardamomrun control --json
        """
        answers = self._run_to_end(self._client().call_each("/v1/control"))
        errors = {
            address: answer
            for address, answer in answers.items()
            if isinstance(answer, CardamomrunError)
        }
        views = [answer for answer in answers.values() if isinstance(answer, dict)]
        if not views:
            raise next(iter(errors.values()))
        view = next((one for one in views if one["holds_lease"]), views[0])
        view["unreachable"] = {name: error.message for name, error in errors.items()}
        print(render(view, True) if self._json else render_control(view))

    def voters(self, action: str, instance_id: str, peer_address: str = "") -> None:
        """Add or remove one control instance (action: add or remove).

        A change of voters has no change number: after a lost answer, check with the
        command `control` before you repeat it.

        Example: cardamomrun voters add control-4 10.0.0.14:7000
        """
        body = _voter_change_body(action, instance_id, peer_address)
        self._print_value(self._call_control("POST", "/v1/control/voters", body))

    def audit(self, start: int = 1) -> None:
        """Print the audit trail from an entry on, and verify its chain.

        Only a trail that is read from entry 1 shows that no earlier entry is missing.

        Example: cardamomrun audit --start 100 --json
        """
        entries: list[dict[str, Any]] = []
        number = max(1, int(start))
        while True:
            answer = self._call_control("GET", f"/v1/audit?from={number}")
            page = answer["entries"]
            entries += page
            number += len(page)
            if not page or number > answer["last_number"]:
                break
        fault = _audit_chain_fault(entries)
        answer = {"entries": entries, "chain": fault or "intact"}
        print(render(answer, True) if self._json else render_audit(answer))
        if fault:
            raise ConflictError(
                f"the audit chain is broken: {fault}.",
                remedy="compare with another control instance before trusting either",
            )

    def addresses(self, entry: str, failure_domain: str = "") -> None:
        """Ask an entry instance which addresses a caller should use.

        Example: cardamomrun addresses 10.0.0.21:8080 --failure-domain kelowna-a
        """
        url = f"http://{entry}/.cardamomrun/addresses"
        if failure_domain:
            url += f"?failure_domain={failure_domain}"
        self._print_value(self._run_to_end(call("GET", url)).body)

    def _change_fields(
        self, path: str, expect: int | None, change: int | None
    ) -> dict[str, int]:
        if expect is None:
            expect = int(self._current_environment(path).get("version", 0))
        number = _new_change_number() if change is None else change
        return {"expected_version": expect, "change_number": number}

    def _current_environment(self, path: str) -> dict[str, Any]:
        try:
            return self._call_control("GET", path)
        except NotFoundError:
            return {}

    def _call_control(self, method: str, path: str, body: Any = None) -> Any:
        return self._run_to_end(self._client().call(method, path, body))

    def _client(self) -> ControlClient:
        settings = load_operator_settings(Path(self._settings_path))
        return ControlClient(settings, SystemClock())

    def _run_to_end(self, awaitable: Awaitable[Any]) -> Any:
        async def wait() -> Any:
            return await awaitable

        return asyncio.run(wait())

    def _print_value(self, value: Any) -> None:
        print(render(value, self._json))


def _environment_path(service: str, stage: str) -> str:
    if stage not in tuple(Stage):
        raise UsageError(
            f"stage {stage!r} is not known.", remedy="use trial or production"
        )
    return f"/v1/environments/{service}/{stage}"


def _voter_change_body(
    action: str, instance_id: str, peer_address: str
) -> dict[str, str]:
    if (action, bool(peer_address)) not in (("add", True), ("remove", False)):
        raise UsageError(
            "voters needs `add INSTANCE_ID PEER_ADDRESS` or `remove INSTANCE_ID`.",
            remedy="see cardamomrun voters --help",
        )
    return {
        "action": action,
        "instance_id": instance_id,
        "peer_address": peer_address,
    }


def _audit_chain_fault(entries: list[dict[str, Any]]) -> str:
    """Return why the hash chain of these audit entries is broken; empty if it is intact."""
    if not entries:
        return ""
    first = entries[0]
    previous_hash = first["previous_hash"] if first["number"] > 1 else GENESIS_HASH
    try:
        verify([AuditEntry(**entry) for entry in entries], previous_hash)
    except (AuditError, TypeError) as error:
        return str(error)
    return ""


def _new_change_number() -> int:
    return time.time_ns() // 1_000


def _input_lines(files: tuple[str, ...]) -> Iterable[str]:
    """Yield the lines of files, or of standard input if none is named."""
    if not files:
        yield from sys.stdin
        return
    for name in files:
        try:
            with Path(name).open(encoding="utf-8", errors="replace") as file:
                yield from file
        except OSError as error:
            raise UsageError(
                f"{name}: cannot be read ({error.strerror}).",
                remedy="name files that hold logs",
            ) from error
