"""Distribution of documents to every VM, and which revision each VM reports."""

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
    "Poll",
    "VmRevision",
]

_LOG = logging.getLogger(__name__)

MAX_PEERS = 1024
SNAPSHOT_BYTES = 1024 * 1024
# A push that is lost while the table is down is repeated when the peer still reports an older
# revision; the pause covers the time until a push shows in the peer's reports.
REPEAT_PUSH_S = 2.0


@message("document-push")
@dataclass(frozen=True, slots=True)
class DocumentPush(Message):
    """A document that is newer than the receiver's may be.

    :ivar row: value of the table row.
    """

    service: str
    revision: int
    row: bytes


@message("document-snapshot-request")
@dataclass(frozen=True, slots=True)
class DocumentSnapshotRequest(Message):
    """Asks for all documents, sent by a VM that starts."""


@message("document-snapshot")
@dataclass(frozen=True, slots=True)
class DocumentSnapshot(Message):
    """A part of the documents of a VM.

    :ivar rows: values of table rows.
    :ivar is_last: whether this is the last part.
    :ivar is_loaded: whether the sender has all documents.
    """

    rows: tuple[bytes, ...]
    is_last: bool
    is_loaded: bool


@dataclass(frozen=True, slots=True)
class Poll:
    """Result of a poll.

    :ivar is_reached: whether the table answered every read.
    :ivar changed: services whose document in force changed.
    """

    is_reached: bool
    changed: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class VmRevision:
    """The revision that a VM reports.

    :ivar delay_s: seconds from acceptance until the VM reported the newest revision, or
        ``None`` if it has not yet; includes the interval of the reports.
    """

    vm: str
    revision: int
    delay_s: float | None


@dataclass(frozen=True, slots=True)
class DocumentStatus:
    """Where a document is in force.

    :ivar revision: the revision in force here.
    :ivar newest: the newest revision known, from the table or a peer.
    :ivar alarm: why the newest revision is not in force here, empty if it is.
    """

    service: str
    revision: int
    newest: int
    accepted_at: float
    operator: Operator | None
    vms: tuple[VmRevision, ...]
    alarm: str


@dataclass(slots=True)
class _Peer:
    revisions: dict[str, int] = field(default_factory=dict)
    reached: dict[str, tuple[int, float]] = field(default_factory=dict)
    pushed_at: dict[str, float] = field(default_factory=dict)


class DocumentDistributor:
    """Moves documents from the table and from peers into the catalog.

    Explanation
    ===========

    The distributor has no timers: the daemon calls :meth:`poll` every interval, passes on what
    peers send, and sends what the methods return. The catalog ignores revisions that are not
    newer, so that late pushes and stale reads change nothing.

    :param vm: name of this VM, as it is shown in the status.
    :param clock: returns Unix time in seconds.
    """

    def __init__(
        self, table: Table, catalog: DocumentCatalog, vm: str, clock: Callable[[], float]
    ) -> None:
        self._table = table
        self._catalog = catalog
        self._vm = vm
        self._clock = clock
        self._peers: OrderedDict[str, _Peer] = OrderedDict()
        self._newest: dict[str, int] = {}
        self._own = _Peer()
        self._is_loaded = False

    @property
    def is_loaded(self) -> bool:
        """Whether all documents arrived, from the table or from a peer that has them."""
        return self._is_loaded

    async def poll(self) -> Poll:
        """Read the row ``heads``, then the documents that are newer than those seen."""
        changed: list[str] = []
        try:
            heads = await self._table.read(HEADS_KEY)
            revisions = decode_heads(None if heads is None else heads.value)
            for service, revision in revisions.items():
                self._note_newest(service, revision)
                if revision > self._catalog.seen_revision(service):
                    row = await self._table.read(document_key(service))
                    if row is not None and self._offer(service, row.value):
                        changed.append(service)
        except UnavailableError:
            return Poll(False, tuple(changed))
        except DocumentRowError as error:
            _LOG.error("row 'heads' cannot be read", extra={"reason": str(error)})
            return Poll(False, tuple(changed))
        seen = self._catalog.seen_revision
        # A stale read may miss a document that 'heads' names; the next poll reads it again.
        if all(seen(service) >= revision for service, revision in revisions.items()):
            self._is_loaded = True
        return Poll(True, tuple(changed))

    def accept(self, service: str, row: bytes) -> bool:
        """Put a document in force that was published through this VM.

        :returns: whether the document in force changed.
        """
        return self._offer(service, row)

    def on_push(self, push: DocumentPush) -> bool:
        """Take a document from a peer.

        :returns: whether to forward it; true once per revision, also for a document that this
            VM cannot parse, because a VM of another version may.
        """
        seen = self._catalog.seen_revision(push.service)
        self._offer(push.service, push.row)
        return self._catalog.seen_revision(push.service) > seen

    def push_message(self, service: str) -> DocumentPush | None:
        """Return the message with the document in force, or ``None`` if there is none."""
        entry = self._catalog.get(service)
        if entry is None or not entry.row:
            return None
        return DocumentPush(service, entry.revision, entry.row)

    def snapshot(self) -> Iterator[DocumentSnapshot]:
        """Yield all documents in force, in messages that each fit into a frame."""
        rows: list[bytes] = []
        size = 0
        for entry in self._catalog.entries:
            if rows and size + len(entry.row) > SNAPSHOT_BYTES:
                yield DocumentSnapshot(tuple(rows), False, self._is_loaded)
                rows, size = [], 0
            rows.append(entry.row)
            size += len(entry.row)
        yield DocumentSnapshot(tuple(rows), True, self._is_loaded)

    def on_snapshot(self, snapshot: DocumentSnapshot) -> tuple[str, ...]:
        """Take the documents of a peer.

        :returns: services whose document in force changed.
        """
        changed = tuple(filter(None, map(self._offer_any, snapshot.rows)))
        if snapshot.is_last and snapshot.is_loaded:
            self._is_loaded = True
        return changed

    def note_peer(self, vm: str, revisions: Mapping[str, int]) -> tuple[DocumentPush, ...]:
        """Record the revisions in force that a peer reports.

        :returns: documents to send to the peer, because it reports older ones.
        """
        peer = self._peers.setdefault(vm, _Peer())
        self._peers.move_to_end(vm)
        if len(self._peers) > MAX_PEERS:
            self._peers.popitem(last=False)
        now = self._clock()
        _note_revisions(peer, revisions, now)
        for service, revision in revisions.items():
            self._note_newest(service, revision)
        return tuple(self._missing(peer, now))

    def forget_peer(self, vm: str) -> None:
        """Forget a VM that is gone."""
        self._peers.pop(vm, None)

    def status(self, service: str) -> DocumentStatus | None:
        """Return where a document is in force, or ``None`` for an unknown service."""
        entry = self._catalog.get(service)
        if entry is None and service not in self._newest:
            return None
        revision = 0 if entry is None else entry.revision
        accepted_at = 0.0 if entry is None else entry.accepted_at
        named = {self._vm: self._own, **self._peers}
        vms = (_vm_revision(vm, peer, service, entry) for vm, peer in sorted(named.items()))
        return DocumentStatus(
            service,
            revision,
            max(revision, self._newest.get(service, 0)),
            accepted_at,
            None if entry is None else entry.operator,
            tuple(vms),
            self._catalog.alarms.get(service, ""),
        )

    def _offer_any(self, row: bytes) -> str | None:
        try:
            service = DocumentRow.decode(row).service
        except DocumentRowError as error:
            _LOG.error("document row cannot be read", extra={"reason": str(error)})
            return None
        return service if self._offer(service, row) else None

    def _offer(self, service: str, row: bytes) -> bool:
        try:
            named = DocumentRow.decode(row).service
            is_changed = named == service and self._catalog.offer_row(row)
        except DocumentRowError as error:
            _LOG.error(
                "document row cannot be read", extra={"service": service, "reason": str(error)}
            )
            return False
        self._note_newest(service, self._catalog.seen_revision(service))
        if is_changed:
            _note_revisions(self._own, self._catalog.revisions, self._clock())
        return is_changed

    def _missing(self, peer: _Peer, now: float) -> Iterator[DocumentPush]:
        for service, revision in self._catalog.revisions.items():
            if peer.revisions.get(service, 0) >= revision:
                continue
            if now - peer.pushed_at.get(service, float("-inf")) < REPEAT_PUSH_S:
                continue
            peer.pushed_at[service] = now
            push = self.push_message(service)
            if push is not None:
                yield push

    def _note_newest(self, service: str, revision: int) -> None:
        self._newest[service] = max(revision, self._newest.get(service, 0))


def _note_revisions(peer: _Peer, revisions: Mapping[str, int], now: float) -> None:
    for service, revision in revisions.items():
        if revision > peer.reached.get(service, (0, now))[0]:
            peer.reached[service] = (revision, now)
    peer.revisions = dict(revisions)


def _vm_revision(vm: str, peer: _Peer, service: str, entry: CatalogEntry | None) -> VmRevision:
    revision = peer.revisions.get(service, 0)
    reached, at = peer.reached.get(service, (0, 0.0))
    if entry is None or reached != entry.revision:
        return VmRevision(vm, revision, None)
    return VmRevision(vm, revision, max(0.0, at - entry.accepted_at))
