"""Distribution of documents to all VMs, and tracking of the revisions that they report."""

import logging
from collections import OrderedDict
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field

from hibiscushaven.peers import Message, message
from hibiscushaven.tablestore import Table, UnavailableError

from .catalog import CatalogEntry, DocumentCatalog
from .rows import HEADS_KEY, DocumentRow, DocumentRowError, Operator, decode_heads, document_key

__all__ = [
    "DocumentDistributor",
    "DocumentPush",
    "DocumentSnapshot",
    "DocumentSnapshotRequest",
    "DocumentStatus",
    "PollResult",
    "VmRevision",
]

_LOG = logging.getLogger(__name__)

# Peers whose reports are kept; beyond it, the peer that reported least recently is dropped.
MAX_PEERS = 1024
MAX_SNAPSHOT_PART_BYTES = 1024 * 1024
# A push that was lost while the table was down is repeated if the peer still reports an older
# revision. The interval covers the time until a push is visible in the peer's reports.
PUSH_REPEAT_INTERVAL_S = 2.0


@message("document-push")
@dataclass(frozen=True, slots=True)
class DocumentPush(Message):
    """A document, sent to peers that may have an older revision.

    :ivar row: value of the table row.
    """

    service: str
    revision: int
    row: bytes


@message("document-snapshot-request")
@dataclass(frozen=True, slots=True)
class DocumentSnapshotRequest(Message):
    """A request for all documents, sent by a VM that has not loaded them yet."""


@message("document-snapshot")
@dataclass(frozen=True, slots=True)
class DocumentSnapshot(Message):
    """One part of the documents in force at a VM.

    :ivar rows: values of table rows.
    :ivar is_last: whether this is the last part.
    :ivar is_loaded: whether the sender had loaded all documents.
    """

    rows: tuple[bytes, ...]
    is_last: bool
    is_loaded: bool


@dataclass(frozen=True, slots=True)
class PollResult:
    """Result of a poll of the table.

    :ivar is_successful: whether every read succeeded and the row ``heads`` was valid.
    :ivar changed: services whose document in force changed.
    """

    is_successful: bool
    changed: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class VmRevision:
    """The revision that a VM reports.

    :ivar delay_s: seconds from acceptance of the revision in force here until the VM first
        reported it, or ``None`` if its newest report is of another revision; includes the interval
        of the reports.
    """

    vm: str
    revision: int
    delay_s: float | None


@dataclass(frozen=True, slots=True)
class DocumentStatus:
    """Status of a document at all VMs.

    :ivar revision: the revision in force at this VM.
    :ivar newest: the newest revision known, from the table or a peer.
    :ivar alarm: why the newest revision was rejected here, empty if it was not.
    """

    service: str
    revision: int
    newest: int
    accepted_at: float
    operator: Operator | None
    vms: tuple[VmRevision, ...]
    alarm: str


@dataclass(slots=True)
class _ReportedRevisions:
    """Revisions in force at one VM, by service.

    :ivar revisions: the last report.
    :ivar newest_reported: the newest revision reported so far, and when it was first reported.
        It is kept when a later report has an older revision.
    :ivar pushed_at: when a document was last pushed to the VM.
    """

    revisions: dict[str, int] = field(default_factory=dict)
    newest_reported: dict[str, tuple[int, float]] = field(default_factory=dict)
    pushed_at: dict[str, float] = field(default_factory=dict)


class DocumentDistributor:
    """Updates the catalog with documents from the table and from peers.

    Explanation
    ===========

    The distributor has no timers or connections: its caller runs :meth:`poll` periodically, passes
    in the messages of peers, and sends the messages that the methods return. The catalog ignores
    revisions that are not newer, so that late pushes and stale reads have no effect.

    :param vm: name of this VM in the status.
    :param clock: returns Unix time in seconds.
    """

    def __init__(
        self, table: Table, catalog: DocumentCatalog, vm: str, clock: Callable[[], float]
    ) -> None:
        self._table = table
        self._catalog = catalog
        self._vm = vm
        self._clock = clock
        self._peers: OrderedDict[str, _ReportedRevisions] = OrderedDict()
        self._newest_revisions: dict[str, int] = {}
        self._own_report = _ReportedRevisions()
        self._is_loaded = False

    @property
    def is_loaded(self) -> bool:
        """Whether all documents were received, from the table or from a peer that has them."""
        return self._is_loaded

    async def poll(self) -> PollResult:
        """Read the row ``heads``, then the documents with a newer revision than received before."""
        changed: list[str] = []
        try:
            heads = await self._table.read(HEADS_KEY)
            revisions = decode_heads(None if heads is None else heads.value)
            for service, revision in revisions.items():
                self._record_newest(service, revision)
                if revision > self._catalog.seen_revision(service):
                    row = await self._table.read(document_key(service))
                    if row is not None and self._update_catalog(service, row.value):
                        changed.append(service)
        except UnavailableError:
            return PollResult(False, tuple(changed))
        except DocumentRowError as error:
            _LOG.error("row 'heads' cannot be read", extra={"reason": str(error)})
            return PollResult(False, tuple(changed))
        seen = self._catalog.seen_revision
        # A stale read may return an older document than 'heads' names; the next poll repeats it.
        if all(seen(service) >= revision for service, revision in revisions.items()):
            self._is_loaded = True
        return PollResult(True, tuple(changed))

    def apply_published(self, service: str, row: bytes) -> bool:
        """Apply a document that was published at this VM.

        :returns: whether the document in force changed.
        """
        return self._update_catalog(service, row)

    def on_push(self, push: DocumentPush) -> bool:
        """Update the catalog with a document that a peer pushed.

        :returns: whether to forward the push; true once per revision, also for a document that
            this VM cannot parse, because a VM of another version may be able to.
        """
        seen = self._catalog.seen_revision(push.service)
        self._update_catalog(push.service, push.row)
        return self._catalog.seen_revision(push.service) > seen

    def push_message(self, service: str) -> DocumentPush | None:
        """Return the message that pushes the document in force, or ``None`` if there is none."""
        entry = self._catalog.get(service)
        if entry is None or not entry.row:
            return None
        return DocumentPush(service, entry.revision, entry.row)

    def snapshot(self) -> Iterator[DocumentSnapshot]:
        """Yield all documents in force, in messages that each fit into one frame."""
        rows: list[bytes] = []
        size = 0
        for entry in self._catalog.entries:
            if rows and size + len(entry.row) > MAX_SNAPSHOT_PART_BYTES:
                yield DocumentSnapshot(tuple(rows), False, self._is_loaded)
                rows, size = [], 0
            rows.append(entry.row)
            size += len(entry.row)
        yield DocumentSnapshot(tuple(rows), True, self._is_loaded)

    def on_snapshot(self, snapshot: DocumentSnapshot) -> tuple[str, ...]:
        """Update the catalog with a part of a peer's documents.

        :returns: services whose document in force changed.
        """
        changed = tuple(filter(None, map(self._update_from_snapshot_row, snapshot.rows)))
        if snapshot.is_last and snapshot.is_loaded:
            self._is_loaded = True
        return changed

    def record_peer_revisions(
        self, vm: str, revisions: Mapping[str, int]
    ) -> tuple[DocumentPush, ...]:
        """Record the revisions in force that a peer reports.

        :returns: pushes of the documents of which the peer reports an older revision or none.
        """
        peer = self._peers.setdefault(vm, _ReportedRevisions())
        self._peers.move_to_end(vm)
        if len(self._peers) > MAX_PEERS:
            self._peers.popitem(last=False)
        now = self._clock()
        _record_revisions(peer, revisions, now)
        for service, revision in revisions.items():
            self._record_newest(service, revision)
        return tuple(self._pushes_for_outdated(peer, now))

    def remove_peer(self, vm: str) -> None:
        """Discard the reports of a VM that no longer exists."""
        self._peers.pop(vm, None)

    def status(self, service: str) -> DocumentStatus | None:
        """Return the status of a document at all VMs, or ``None`` for an unknown service."""
        entry = self._catalog.get(service)
        if entry is None and service not in self._newest_revisions:
            return None
        revision = 0 if entry is None else entry.revision
        accepted_at = 0.0 if entry is None else entry.accepted_at
        reports = {self._vm: self._own_report, **self._peers}
        vms = (_vm_revision(vm, peer, service, entry) for vm, peer in sorted(reports.items()))
        return DocumentStatus(
            service,
            revision,
            max(revision, self._newest_revisions.get(service, 0)),
            accepted_at,
            None if entry is None else entry.operator,
            tuple(vms),
            self._catalog.alarms.get(service, ""),
        )

    def _update_from_snapshot_row(self, row: bytes) -> str | None:
        try:
            service = DocumentRow.decode(row).service
        except DocumentRowError as error:
            _LOG.error("document row cannot be read", extra={"reason": str(error)})
            return None
        return service if self._update_catalog(service, row) else None

    def _update_catalog(self, service: str, row: bytes) -> bool:
        try:
            row_service = DocumentRow.decode(row).service
            is_changed = row_service == service and self._catalog.update_from_row(row)
        except DocumentRowError as error:
            _LOG.error(
                "document row cannot be read", extra={"service": service, "reason": str(error)}
            )
            return False
        self._record_newest(service, self._catalog.seen_revision(service))
        if is_changed:
            _record_revisions(self._own_report, self._catalog.revisions, self._clock())
        return is_changed

    def _pushes_for_outdated(self, peer: _ReportedRevisions, now: float) -> Iterator[DocumentPush]:
        for service, revision in self._catalog.revisions.items():
            if peer.revisions.get(service, 0) >= revision:
                continue
            if now - peer.pushed_at.get(service, float("-inf")) < PUSH_REPEAT_INTERVAL_S:
                continue
            peer.pushed_at[service] = now
            push = self.push_message(service)
            if push is not None:
                yield push

    def _record_newest(self, service: str, revision: int) -> None:
        self._newest_revisions[service] = max(revision, self._newest_revisions.get(service, 0))


def _record_revisions(peer: _ReportedRevisions, revisions: Mapping[str, int], now: float) -> None:
    for service, revision in revisions.items():
        if revision > peer.newest_reported.get(service, (0, now))[0]:
            peer.newest_reported[service] = (revision, now)
    peer.revisions = dict(revisions)


def _vm_revision(
    vm: str, peer: _ReportedRevisions, service: str, entry: CatalogEntry | None
) -> VmRevision:
    revision = peer.revisions.get(service, 0)
    newest_reported, reported_at = peer.newest_reported.get(service, (0, 0.0))
    if entry is None or newest_reported != entry.revision:
        return VmRevision(vm, revision, None)
    return VmRevision(vm, revision, max(0.0, reported_at - entry.accepted_at))
