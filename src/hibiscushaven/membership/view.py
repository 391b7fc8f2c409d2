"""State of a failure domain's VMs, and of other failure domains, as one VM knows it."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from hibiscushaven.ini.fields import Endpoint
from hibiscushaven.peers import PeerIdentity
from hibiscushaven.tablestore import VmRecord

__all__ = ["DomainDigest", "Member", "MemberState", "View"]


class MemberState(StrEnum):
    """State of a VM by the heartbeats exchanged with it in both directions."""

    UP = "up"
    SUSPECT = "suspect"
    DOWN = "down"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class Member:
    """A VM of the own failure domain.

    :ivar identity: identity of its latest incarnation, ``None`` if none is known.
    """

    vm: str
    state: MemberState
    identity: PeerIdentity | None

    @property
    def incarnation(self) -> str | None:
        return self.identity.incarnation if self.identity is not None else None


@dataclass(frozen=True, slots=True)
class View:
    """Snapshot of the membership as one VM knows it.

    :ivar members: VMs of the own failure domain by name, including the own VM.
    :ivar entries: the platform's last list, of all failure domains.
    :ivar listed_at: when that list was received, ``None`` if it never was.
    """

    members: Mapping[str, Member]
    entries: tuple[VmRecord, ...] = ()
    listed_at: float | None = None

    @property
    def up_vms(self) -> frozenset[str]:
        """VMs that are up and not leaving."""
        return frozenset(
            vm for vm, member in self.members.items() if member.state is MemberState.UP
        )

    def is_up(self, vm: str, incarnation: str | None = None) -> bool:
        """Return whether a VM, or one incarnation of it, is up or suspect and not leaving.

        A suspect VM remains the owner of what it owns until it counts as down.
        """
        member = self.members.get(vm)
        if member is None or member.state not in (MemberState.UP, MemberState.SUSPECT):
            return False
        return incarnation is None or member.incarnation == incarnation

    def is_alive(self, vm: str, incarnation: str) -> bool:
        """Return whether an incarnation of a VM is not down; it may be leaving."""
        member = self.members.get(vm)
        if member is None or member.state is MemberState.DOWN:
            return False
        return member.incarnation == incarnation

    def identity_of(self, vm: str) -> PeerIdentity | None:
        member = self.members.get(vm)
        return None if member is None else member.identity


@dataclass(frozen=True, slots=True)
class DomainDigest:
    """The latest digest of another failure domain.

    :ivar age_s: time since the relay sent it.
    """

    domain: str
    age_s: float
    relays: tuple[Endpoint, ...]
    attributes: Mapping[str, Any]
