"""Direct links of a VM: who was heard when, and who confirmed hearing this VM."""

from dataclasses import dataclass, field
from typing import Any

from hibiscushaven.ini.fields import Endpoint
from hibiscushaven.peers import PeerIdentity

from .messages import Heartbeat
from .view import MemberState

__all__ = ["DOWN_S", "FORGET_S", "HEARTBEAT_S", "SUSPECT_S", "Link", "LinkTable"]

HEARTBEAT_S = 0.4
SUSPECT_S = 1.0
DOWN_S = 2.0

# A VM that is not in the platform's list is forgotten after this silence; the list may lag.
FORGET_S = 60.0

# Incarnations of a VM that were replaced; a late heartbeat of one must not revive it.
_RETIRED_KEPT = 8


@dataclass(slots=True)
class Link:
    """The direct link to one VM.

    :ivar confirmed_at: last time that the peer named this VM's incarnation as heard.
    """

    identity: PeerIdentity
    heard_at: float
    seq: int = -1
    confirmed_at: float | None = None
    is_leaving: bool = False
    parts: dict[str, Any] = field(default_factory=dict)

    def state(self, now: float) -> MemberState:
        if self.confirmed_at is None or now - self.confirmed_at >= DOWN_S:
            return MemberState.DOWN
        if self.is_leaving:
            return MemberState.LEAVING
        return MemberState.SUSPECT if now - self.confirmed_at >= SUSPECT_S else MemberState.UP

    def is_heard(self, now: float) -> bool:
        return now - self.heard_at < DOWN_S


class LinkTable:
    """The direct links by VM name.

    Explanation
    ===========

    A heartbeat of a replaced incarnation is ignored while its successor is heard.
    """

    def __init__(self, own: PeerIdentity) -> None:
        self._own = own
        self._links: dict[str, Link] = {}
        self._retired: dict[str, list[str]] = {}

    @property
    def links(self) -> dict[str, Link]:
        return self._links

    def heard_incarnation(self, now: float, vm: str) -> str:
        """Return the incarnation of a VM that is heard now, empty if none."""
        link = self._links.get(vm)
        return link.identity.incarnation if link is not None and link.is_heard(now) else ""

    def is_retired(self, vm: str, incarnation: str) -> bool:
        return incarnation in self._retired.get(vm, ())

    def receive(self, now: float, sender: PeerIdentity, beat: Heartbeat) -> bool:
        """Take a heartbeat; return whether it is the first of a new incarnation."""
        link = self._links.get(sender.vm)
        if self.is_retired(sender.vm, sender.incarnation):
            if link is not None and link.is_heard(now):
                return False
            self._retired[sender.vm].remove(sender.incarnation)
        is_new = link is None or link.identity.incarnation != sender.incarnation
        if is_new:
            self._replace(now, sender)
            link = self._links[sender.vm]
        if beat.seq <= link.seq:
            return False
        link.seq, link.heard_at, link.is_leaving = beat.seq, now, beat.is_leaving
        if beat.parts is not None:
            link.parts = beat.parts
        if beat.heard == self._own.incarnation:
            link.confirmed_at = now
        return is_new

    def shift(self, now: float, seconds: float) -> None:
        """Move all times forward after a pause of this VM, during which it could hear nobody."""
        for link in self._links.values():
            link.heard_at = min(now, link.heard_at + seconds)
            if link.confirmed_at is not None:
                link.confirmed_at = min(now, link.confirmed_at + seconds)

    def prune(self, now: float, kept: frozenset[str]) -> None:
        """Forget links to VMs that are not kept and were silent for long."""
        for vm, link in list(self._links.items()):
            if vm not in kept and now - link.heard_at >= FORGET_S:
                del self._links[vm]

    def drop(self, vm: str) -> None:
        self._links.pop(vm, None)

    def retire(self, vm: str, incarnation: str) -> None:
        """Never accept this incarnation of a VM again."""
        retired = self._retired.setdefault(vm, [])
        if incarnation not in retired:
            retired.append(incarnation)
            del retired[:-_RETIRED_KEPT]

    def _replace(self, now: float, sender: PeerIdentity) -> None:
        old = self._links.get(sender.vm)
        if old is not None:
            self.retire(sender.vm, old.identity.incarnation)
        for vm, link in list(self._links.items()):
            if vm != sender.vm and _is_at(link.identity, sender.endpoint):
                self.retire(vm, link.identity.incarnation)
                self.drop(vm)
        self._links[sender.vm] = Link(sender, now)


def _is_at(identity: PeerIdentity, endpoint: Endpoint) -> bool:
    return identity.endpoint == endpoint
