"""The documents in force at a VM; the revision of a service never decreases."""

import logging
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from hibiscushaven.ini import IniProblem

from .model import ServiceDocument
from .parser import parse_document
from .rows import DocumentRow, DocumentRowError, Operator

__all__ = ["CatalogEntry", "DocumentCatalog"]

_LOG = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class CatalogEntry:
    """A document in force.

    :ivar row: value of the table row, which VMs also send to each other.
    :ivar ramp: share of the service's traffic by place when the document was accepted, from which
        the traffic is moved gradually to the new shares.
    :ivar accepted_at: Unix time in seconds at which the document was accepted.
    :ivar operator: the operator who published the document.
    """

    document: ServiceDocument
    revision: int
    text: str
    row: bytes
    ramp: Mapping[str, float] = field(default_factory=dict)
    accepted_at: float = 0.0
    operator: Operator | None = None


class DocumentCatalog:
    """The documents in force, by service.

    Explanation
    ===========

    A revision that is not newer than all received ones is ignored, whatever its source. A text
    that does not parse leaves the last valid document in force and is recorded as an alarm.

    :param on_change: called with each document that comes into force.
    """

    def __init__(self, on_change: Callable[[CatalogEntry], None] | None = None) -> None:
        self._entries: dict[str, CatalogEntry] = {}
        self._seen_revisions: dict[str, int] = {}
        self._alarms: dict[str, str] = {}
        self._on_change = on_change

    @property
    def alarms(self) -> dict[str, str]:
        """Why the newest revision was rejected, by service."""
        return dict(self._alarms)

    @property
    def entries(self) -> tuple[CatalogEntry, ...]:
        return tuple(self._entries.values())

    @property
    def revisions(self) -> dict[str, int]:
        """Revisions in force, by service."""
        return {name: entry.revision for name, entry in self._entries.items()}

    def get(self, service: str) -> CatalogEntry | None:
        return self._entries.get(service)

    def seen_revision(self, service: str) -> int:
        """Return the newest revision received, whether or not it parsed; 0 if none."""
        return self._seen_revisions.get(service, 0)

    def update(self, service: str, revision: int, text: str, row: bytes = b"") -> bool:
        """Apply a document if it is newer and parses.

        :returns: whether the document in force changed.
        """
        if not self._is_newer(service, revision):
            return False
        document = self._parse(service, revision, text)
        return document is not None and self._apply(CatalogEntry(document, revision, text, row))

    def update_from_row(self, value: bytes) -> bool:
        """Apply the document of a table row if it is newer and parses.

        :returns: whether the document in force changed.
        :raises DocumentRowError: when the value is not a document row.
        """
        row = DocumentRow.decode(value)
        if not (isinstance(row.revision, int) and isinstance(row.text, str)):
            raise DocumentRowError(f"document row of {row.service!r} with wrong types")
        if not self._is_newer(row.service, row.revision):
            return False
        document = self._parse(row.service, row.revision, row.text)
        return document is not None and self._apply(
            CatalogEntry(
                document, row.revision, row.text, value, row.ramp, row.accepted_at, row.operator
            )
        )

    def _is_newer(self, service: str, revision: int) -> bool:
        if revision <= self.seen_revision(service):
            return False
        self._seen_revisions[service] = revision
        return True

    def _parse(self, service: str, revision: int, text: str) -> ServiceDocument | None:
        result = parse_document(text)
        if result.is_ok() and result.ok.name == service:
            self._alarms.pop(service, None)
            return result.ok
        reason = "wrong name"
        if result.is_error():
            reason = "; ".join(map(_describe_problem, result.error))
        self._alarms[service] = f"revision {revision}: {reason}"
        _LOG.error("document rejected", extra={"service": service, "revision": revision})
        return None

    def _apply(self, entry: CatalogEntry) -> bool:
        self._entries[entry.document.name] = entry
        if self._on_change is not None:
            self._on_change(entry)
        return True


def _describe_problem(problem: IniProblem) -> str:
    """Describe a problem without the value in the document, which may be a credential."""
    where = f"[{problem.section}] {problem.key}".strip()
    return f"{where}: expected {problem.allowed}"
