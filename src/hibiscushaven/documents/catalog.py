"""The documents that a VM has in force; revisions only move forward."""

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

    :ivar row: the table row's value, as distributed between VMs.
    :ivar ramp: share of the service's traffic by place at the document's acceptance.
    :ivar accepted_at: Unix time in seconds of the acceptance.
    :ivar operator: who published the document.
    """

    document: ServiceDocument
    revision: int
    text: str
    row: bytes
    ramp: Mapping[str, float] = field(default_factory=dict)
    accepted_at: float = 0.0
    operator: Operator | None = None


class DocumentCatalog:
    """Documents in force by service.

    Explanation
    ===========

    A revision at or below the one in force is ignored, whoever sends it. A text that
    does not parse leaves the last good document in force and is recorded as an alarm.
    """

    def __init__(self, on_change: Callable[[CatalogEntry], None] | None = None) -> None:
        self._entries: dict[str, CatalogEntry] = {}
        self._seen: dict[str, int] = {}
        self._alarms: dict[str, str] = {}
        self._on_change = on_change

    @property
    def alarms(self) -> dict[str, str]:
        return dict(self._alarms)

    @property
    def entries(self) -> tuple[CatalogEntry, ...]:
        return tuple(self._entries.values())

    @property
    def revisions(self) -> dict[str, int]:
        return {name: entry.revision for name, entry in self._entries.items()}

    def get(self, service: str) -> CatalogEntry | None:
        return self._entries.get(service)

    def seen_revision(self, service: str) -> int:
        """Return the newest revision received, whether or not it parsed; 0 if none."""
        return self._seen.get(service, 0)

    def offer(self, service: str, revision: int, text: str, row: bytes = b"") -> bool:
        """Put a document in force if it is newer and parses.

        :returns: whether the document in force changed.
        """
        if not self._is_newer(service, revision):
            return False
        document = self._parse(service, revision, text)
        return document is not None and self._put(CatalogEntry(document, revision, text, row))

    def offer_row(self, value: bytes) -> bool:
        """Put the document of a row in force if it is newer and parses.

        :returns: whether the document in force changed.
        :raises DocumentRowError: when the value is no document row.
        """
        row = DocumentRow.decode(value)
        if not (isinstance(row.revision, int) and isinstance(row.text, str)):
            raise DocumentRowError(f"document row of {row.service!r} with wrong types")
        if not self._is_newer(row.service, row.revision):
            return False
        document = self._parse(row.service, row.revision, row.text)
        return document is not None and self._put(
            CatalogEntry(
                document, row.revision, row.text, value, row.ramp, row.accepted_at, row.operator
            )
        )

    def _is_newer(self, service: str, revision: int) -> bool:
        if revision <= self.seen_revision(service):
            return False
        self._seen[service] = revision
        return True

    def _parse(self, service: str, revision: int, text: str) -> ServiceDocument | None:
        result = parse_document(text)
        if result.is_ok() and result.ok.name == service:
            self._alarms.pop(service, None)
            return result.ok
        reason = "wrong name"
        if result.is_error():
            reason = "; ".join(map(_describe, result.error))
        self._alarms[service] = f"revision {revision}: {reason}"
        _LOG.error("document rejected", extra={"service": service, "revision": revision})
        return None

    def _put(self, entry: CatalogEntry) -> bool:
        self._entries[entry.document.name] = entry
        if self._on_change is not None:
            self._on_change(entry)
        return True


def _describe(problem: IniProblem) -> str:
    """Return a problem without the document's value, which may be a credential."""
    where = f"[{problem.section}] {problem.key}".strip()
    return f"{where}: expected {problem.allowed}"
