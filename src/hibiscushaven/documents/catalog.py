"""The documents that a VM has in force; revisions only move forward."""

import logging
from collections.abc import Callable
from dataclasses import dataclass

from .model import ServiceDocument
from .parser import parse_document

__all__ = ["CatalogEntry", "DocumentCatalog"]

_LOG = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class CatalogEntry:
    """A document in force.

    :ivar row: the table row's value, as distributed between VMs.
    """

    document: ServiceDocument
    revision: int
    text: str
    row: bytes


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
        if revision <= self.seen_revision(service):
            return False
        self._seen[service] = revision
        result = parse_document(text)
        if result.is_error() or result.ok.name != service:
            reason = "; ".join(map(str, result.error)) if result.is_error() else "wrong name"
            self._alarms[service] = f"revision {revision}: {reason}"
            _LOG.error("document rejected", extra={"service": service, "revision": revision})
            return False
        self._alarms.pop(service, None)
        entry = CatalogEntry(result.ok, revision, text, row)
        self._entries[service] = entry
        if self._on_change is not None:
            self._on_change(entry)
        return True
