"""Documents in force on this instance, read from the record store."""

from collections.abc import Iterable
from contextlib import suppress

from cardamomrun_base.codec import CodecError, decode
from cardamomrun_base.documents import EnvironmentDocument, load_document
from cardamomrun_base.errors import CardamomrunError
from cardamomrun_base.headers import TRIAL_HOST_PREFIX
from cardamomrun_base.interfaces import Environment, RecordStore
from cardamomrun_base.logs import ComponentLog
from cardamomrun_base.model import (
    EnvironmentBody,
    EnvironmentId,
    Record,
    RecordKind,
    Stage,
)

__all__ = ["LiveEnvironments"]

_log = ComponentLog("environments")


class LiveEnvironments:
    """Implements the protocol `Environments` on the records of kind `environment`."""

    def __init__(self, store: RecordStore) -> None:
        self._by_id: dict[EnvironmentId, Environment] = {}
        self._by_host: dict[str, EnvironmentId] = {}
        store.subscribe(RecordKind.ENVIRONMENT, self._put_in_force)
        for record in store.all(RecordKind.ENVIRONMENT):
            self._put_in_force(record)

    def get(self, environment: EnvironmentId) -> Environment | None:
        """Return an environment by its name."""
        return self._by_id.get(environment)

    def by_host(self, host: str) -> Environment | None:
        """Return the environment that a Host header selects; a port is ignored."""
        name = host.rsplit(":", 1)[0].lower() if ":" in host else host.lower()
        return self._by_id.get(self._by_host.get(name, ""))

    def all(self) -> Iterable[Environment]:
        """Return all environments in force."""
        return self._by_id.values()

    def _put_in_force(self, record: Record) -> None:
        body: EnvironmentBody = record.content
        current = self._by_id.get(body.environment)
        if current is not None and current.body.version >= body.version:
            return
        try:
            document = _decode_document(body)
        except CardamomrunError as error:
            _log.error(
                f"keeps the version in force of {body.environment} because the new one "
                f"cannot be loaded: {error}",
                environment=body.environment,
                version=body.version,
            )
            return
        self._remove_hosts(current)
        self._by_id[body.environment] = Environment(body, document)
        self._add_hosts(body, document)
        _log.info(
            f"version {body.version} of {body.environment} is in force",
            environment=body.environment,
            version=body.version,
        )

    def _remove_hosts(self, current: Environment | None) -> None:
        if current is None:
            return
        for host in _host_names(current.body, current.document):
            if self._by_host.get(host) == current.body.environment:
                del self._by_host[host]

    def _add_hosts(self, body: EnvironmentBody, document: EnvironmentDocument) -> None:
        for host in _host_names(body, document):
            owner = self._by_host.setdefault(host, body.environment)
            if owner != body.environment:
                _log.warning(
                    f"host {host} of {body.environment} already selects {owner}",
                    environment=body.environment,
                )


def _decode_document(body: EnvironmentBody) -> EnvironmentDocument:
    if body.checked:
        # A control instance of another release may encode fields that this release does
        # not know; the document's own text may still be readable.
        with suppress(CodecError):
            document = decode(body.checked)
            if isinstance(document, EnvironmentDocument):
                return document
    return load_document(body.document, body.environment)


def _host_names(body: EnvironmentBody, document: EnvironmentDocument) -> list[str]:
    trial = body.environment.endswith(f"/{Stage.TRIAL}")
    prefix = TRIAL_HOST_PREFIX if trial else ""
    return [f"{prefix}{host.lower()}" for host in document.hosts]
