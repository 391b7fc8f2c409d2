"""Direct links of a VM: when heartbeats of each peer were received and acknowledged."""

from dataclasses import dataclass, field
from typing import Any

from hibiscushaven.ini.fields import Endpoint
from hibiscushaven.peers import PeerIdentity

from .messages import Heartbeat
from .view import MemberState

__all__ = [
    "DOWN_AFTER_S",
    "HEARTBEAT_INTERVAL_S",
    "REMOVE_AFTER_S",
    "SUSPECT_AFTER_S",
    "Link",
    "LinkTable",
]

HEARTBEAT_INTERVAL_S = 0.4
SUSPECT_AFTER_S = 1.0
DOWN_AFTER_S = 2.0

# Time without heartbeats after which a VM that is not in the platform's list is removed. The
# list may lag behind.
REMOVE_AFTER_S = 60.0

# Number of replaced incarnations that are remembered for each VM, so that a late heartbeat of
# one does not revive it.
_MAX_RETIRED_PER_VM = 8


@dataclass(slots=True)
class Link:
    """The direct link to one VM.

    :ivar last_received_at: when the last heartbeat of the peer was received.
    :ivar seq: sequence number of that heartbeat.
    :ivar acknowledged_at: when a heartbeat of the peer last acknowledged this VM's incarnation.
    """

    identity: PeerIdentity
    last_received_at: float
    seq: int = -1
    acknowledged_at: float | None = None
    is_leaving: bool = False
    attributes: dict[str, Any] = field(default_factory=dict)

    def state(self, now: float) -> MemberState:
        """Return the peer's state by the age of its last acknowledgement."""
        if self.acknowledged_at is None or now - self.acknowledged_at >= DOWN_AFTER_S:
            return MemberState.DOWN
        if self.is_leaving:
            return MemberState.LEAVING
        return (
            MemberState.SUSPECT if now - self.acknowledged_at >= SUSPECT_AFTER_S else MemberState.UP
        )

    def is_receiving(self, now: float) -> bool:
        """Return whether a heartbeat of the peer was received recently enough."""
        return now - self.last_received_at < DOWN_AFTER_S


class LinkTable:
    """The direct links by VM name.

    Explanation
    ===========

    A heartbeat of a replaced incarnation is ignored while its successor sends heartbeats.
    """

    def __init__(self, own: PeerIdentity) -> None:
        self._own = own
        self._links: dict[str, Link] = {}
        self._retired: dict[str, list[str]] = {}

    @property
    def links(self) -> dict[str, Link]:
        return self._links

    def live_incarnation(self, now: float, vm: str) -> str:
        """Return the incarnation of a VM whose heartbeats are received, empty if there is none."""
        link = self._links.get(vm)
        return link.identity.incarnation if link is not None and link.is_receiving(now) else ""

    def is_retired(self, vm: str, incarnation: str) -> bool:
        return incarnation in self._retired.get(vm, ())

    def receive(self, now: float, sender: PeerIdentity, heartbeat: Heartbeat) -> bool:
        """Process a heartbeat; return whether it is the first of a new incarnation."""
        link = self._links.get(sender.vm)
        if self.is_retired(sender.vm, sender.incarnation):
            if link is not None and link.is_receiving(now):
                return False
            self._retired[sender.vm].remove(sender.incarnation)
        is_new_incarnation = link is None or link.identity.incarnation != sender.incarnation
        if is_new_incarnation:
            self._replace(now, sender)
            link = self._links[sender.vm]
        if heartbeat.seq <= link.seq:
            return False
        link.seq, link.last_received_at, link.is_leaving = heartbeat.seq, now, heartbeat.is_leaving
        if heartbeat.attributes is not None:
            link.attributes = heartbeat.attributes
        if heartbeat.acknowledged_incarnation == self._own.incarnation:
            link.acknowledged_at = now
        return is_new_incarnation

    def shift_times(self, now: float, seconds: float) -> None:
        """Shift all times after a pause of this VM, in which it could not receive heartbeats."""
        for link in self._links.values():
            link.last_received_at = min(now, link.last_received_at + seconds)
            if link.acknowledged_at is not None:
                link.acknowledged_at = min(now, link.acknowledged_at + seconds)

    def prune(self, now: float, listed: frozenset[str]) -> None:
        """Remove links to unlisted VMs that sent no heartbeat for ``REMOVE_AFTER_S``."""
        for vm, link in list(self._links.items()):
            if vm not in listed and now - link.last_received_at >= REMOVE_AFTER_S:
                del self._links[vm]

    def remove(self, vm: str) -> None:
        self._links.pop(vm, None)

    def retire(self, vm: str, incarnation: str) -> None:
        """Ignore further heartbeats of this incarnation of a VM while another one is live."""
        retired = self._retired.setdefault(vm, [])
        if incarnation not in retired:
            retired.append(incarnation)
            del retired[:-_MAX_RETIRED_PER_VM]

    def _replace(self, now: float, sender: PeerIdentity) -> None:
        """Add a link to a new incarnation; retire those that had its VM name or endpoint."""
        old = self._links.get(sender.vm)
        if old is not None:
            self.retire(sender.vm, old.identity.incarnation)
        for vm, link in list(self._links.items()):
            if vm != sender.vm and _has_endpoint(link.identity, sender.endpoint):
                self.retire(vm, link.identity.incarnation)
                self.remove(vm)
        self._links[sender.vm] = Link(sender, now)


def _has_endpoint(identity: PeerIdentity, endpoint: Endpoint) -> bool:
    return identity.endpoint == endpoint
