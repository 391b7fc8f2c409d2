"""Documents of this VM: polling, pushing, and reporting what is in force."""

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

from .mail import Mail

__all__ = ["DocumentExchange"]

_LOG = logging.getLogger(__name__)

KINDS = (DocumentPush, DocumentSnapshot, DocumentSnapshotRequest)


class DocumentExchange:
    """Moves documents between this VM, its peers and the platform's table."""

    def __init__(
        self,
        catalog: DocumentCatalog,
        distributor: DocumentDistributor,
        membership: MembershipNode,
        mail: Mail,
    ) -> None:
        self._catalog = catalog
        self._distributor = distributor
        self._membership = membership
        self._mail = mail
        self._reported: dict[str, int] = {}

    @property
    def is_loaded(self) -> bool:
        return self._distributor.is_loaded

    def push(self, push: DocumentPush) -> None:
        """Send a document that was published here everywhere at once."""
        self._post(push, (*self._domain_peers(), *self._relays()))
        self.report()

    async def poll(self) -> None:
        """Read the table once; without it, ask peers for what they have."""
        poll = await self._distributor.poll()
        for service in poll.changed:
            self._push(service, self._domain_peers())
        if not self.is_loaded:
            for endpoint in self._domain_peers() or self._relays():
                self._mail.post(endpoint, DocumentSnapshotRequest())
        self.report()

    def receive(self, sender: PeerIdentity, item: Message) -> None:
        """Take a message of a peer."""
        match item:
            case DocumentPush():
                if self._distributor.on_push(item):
                    self._post(item, self._domain_peers())
            case DocumentSnapshot():
                self._distributor.on_snapshot(item)
            case DocumentSnapshotRequest():
                for part in self._distributor.snapshot():
                    self._mail.post(sender.endpoint, part)
        self.report()

    def report(self) -> None:
        """Publish the revisions in force here, and note those of the peers."""
        revisions = self._catalog.revisions
        if revisions != self._reported:
            self._reported = revisions
            own = {self._membership.identity.vm: revisions}
            self._membership.set_part("revisions", own)
        for vm, reported in self._peer_revisions():
            for push in self._distributor.record_peer_revisions(vm, reported):
                identity = self._membership.view.identity_of(vm)
                if identity is not None:
                    self._mail.post(identity.endpoint, push)

    def on_change(self, entry: CatalogEntry) -> None:
        """Log that a document came in force."""
        name = entry.document.name
        _LOG.info("document in force", extra={"service": name, "revision": entry.revision})

    def _peer_revisions(self):
        own = self._membership.identity.vm
        for vm in self._membership.view.members:
            part = self._membership.peer_part(vm, "revisions") if vm != own else None
            yield from (part or {}).items()
        for domain in self._membership.domains:
            yield from (self._membership.digest_part(domain, "revisions") or {}).items()

    def _push(self, service: str, endpoints: tuple[Endpoint, ...]) -> None:
        push = self._distributor.push_message(service)
        if push is not None:
            self._post(push, endpoints)

    def _post(self, item: Message, endpoints: tuple[Endpoint, ...]) -> None:
        for endpoint in endpoints:
            self._mail.post(endpoint, item)

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
