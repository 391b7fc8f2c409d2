"""Exchanges service documents with the platform's table and with peers."""

import logging

from hibiscushaven.documents import CatalogEntry, DocumentCatalog, DocumentDistributor
from hibiscushaven.documents.distribution import (
    DocumentPush,
    DocumentSnapshot,
    DocumentSnapshotRequest,
)
from hibiscushaven.ini.fields import Endpoint
from hibiscushaven.membership import MembershipNode
from hibiscushaven.peers import Message, PeerIdentity

from .control_sender import ControlSender

__all__ = ["DocumentExchange"]

_LOG = logging.getLogger(__name__)

MESSAGE_TYPES = (DocumentPush, DocumentSnapshot, DocumentSnapshotRequest)


class DocumentExchange:
    """Polls the table for documents, pushes changes to peers and reports revisions in force."""

    def __init__(
        self,
        catalog: DocumentCatalog,
        distributor: DocumentDistributor,
        membership: MembershipNode,
        control_sender: ControlSender,
    ) -> None:
        self._catalog = catalog
        self._distributor = distributor
        self._membership = membership
        self._control_sender = control_sender
        self._reported: dict[str, int] = {}

    @property
    def is_loaded(self) -> bool:
        return self._distributor.is_loaded

    def push(self, push: DocumentPush) -> None:
        """Send a document published through this VM to its peers and to the relays elsewhere."""
        self._send_to(push, (*self._domain_peers(), *self._relays()))
        self.report_revisions()

    async def poll(self) -> None:
        """Read the table once; request snapshots from peers while no document is loaded."""
        poll = await self._distributor.poll()
        for service in poll.changed:
            self._push_document(service, self._domain_peers())
        if not self.is_loaded:
            for endpoint in self._domain_peers() or self._relays():
                self._control_sender.post(endpoint, DocumentSnapshotRequest())
        self.report_revisions()

    def receive(self, sender: PeerIdentity, message: Message) -> None:
        """Handle a message of a peer."""
        match message:
            case DocumentPush():
                if self._distributor.on_push(message):
                    self._send_to(message, self._domain_peers())
            case DocumentSnapshot():
                self._distributor.on_snapshot(message)
            case DocumentSnapshotRequest():
                for snapshot in self._distributor.snapshot():
                    self._control_sender.post(sender.endpoint, snapshot)
        self.report_revisions()

    def report_revisions(self) -> None:
        """Publish the revisions in force here, and push documents that peers are missing."""
        revisions = self._catalog.revisions
        if revisions != self._reported:
            self._reported = revisions
            own = {self._membership.identity.vm: revisions}
            self._membership.set_attribute("revisions", own)
        for vm, reported in self._peer_revisions():
            for push in self._distributor.record_peer_revisions(vm, reported):
                identity = self._membership.view.identity_of(vm)
                if identity is not None:
                    self._control_sender.post(identity.endpoint, push)

    def on_change(self, entry: CatalogEntry) -> None:
        """Log a document that came into force."""
        name = entry.document.name
        _LOG.info("document in force", extra={"service": name, "revision": entry.revision})

    def _peer_revisions(self):
        own = self._membership.identity.vm
        for vm in self._membership.view.members:
            by_vm = self._membership.peer_attribute(vm, "revisions") if vm != own else None
            yield from (by_vm or {}).items()
        for domain in self._membership.domains:
            yield from (self._membership.domain_attribute(domain, "revisions") or {}).items()

    def _push_document(self, service: str, endpoints: tuple[Endpoint, ...]) -> None:
        push = self._distributor.push_message(service)
        if push is not None:
            self._send_to(push, endpoints)

    def _send_to(self, message: Message, endpoints: tuple[Endpoint, ...]) -> None:
        for endpoint in endpoints:
            self._control_sender.post(endpoint, message)

    def _domain_peers(self) -> tuple[Endpoint, ...]:
        own = self._membership.identity
        members = self._membership.view.members.values()
        return tuple(
            member.identity.endpoint
            for member in members
            if member.identity is not None and member.vm != own.vm
        )

    def _relays(self) -> tuple[Endpoint, ...]:
        digests = self._membership.domains.values()
        return tuple(relay for digest in digests for relay in digest.relays)
