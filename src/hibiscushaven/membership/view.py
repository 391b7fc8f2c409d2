"""What a VM believes about the VMs of its failure domain and about other failure domains."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from hibiscushaven.ini.fields import Endpoint
from hibiscushaven.peers import PeerIdentity
from hibiscushaven.tablestore import VmRecord

__all__ = ["DomainDigest", "Member", "MemberState", "View"]


class MemberState(StrEnum):
    """Whether a VM is heard, both ways."""

    UP = "up"
    SUSPECT = "suspect"
    DOWN = "down"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class Member:
    """A VM of the own failure domain.

    :ivar identity: identity of its latest incarnation, ``None`` while it was never heard.
    """

    vm: str
    state: MemberState
    identity: PeerIdentity | None

    @property
    def incarnation(self) -> str | None:
        return self.identity.incarnation if self.identity is not None else None


@dataclass(frozen=True, slots=True)
class View:
    """A VM's belief at one time.

    :ivar members: VMs of the own failure domain by name, with the own VM.
    :ivar entries: the platform's last list, of all failure domains.
    :ivar listed_at: when that list arrived, ``None`` if it never did.
    """

    members: Mapping[str, Member]
    entries: tuple[VmRecord, ...] = ()
    listed_at: float | None = None

    @property
    def up(self) -> frozenset[str]:
        """VMs that are up and not leaving."""
        return frozenset(
            vm for vm, member in self.members.items() if member.state is MemberState.UP
        )

    def is_up(self, vm: str, incarnation: str | None = None) -> bool:
        """Return whether a VM, or one incarnation of it, is up or suspect and not leaving.

        A suspect VM keeps what it owns until it counts as down.
        """
        member = self.members.get(vm)
        if member is None or member.state not in (MemberState.UP, MemberState.SUSPECT):
            return False
        return incarnation is None or member.incarnation == incarnation

    def is_heard(self, vm: str, incarnation: str) -> bool:
        """Return whether an incarnation is alive, leaving or not."""
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

    :ivar age_s: time since its relay sent it.
    """

    domain: str
    age_s: float
    relays: tuple[Endpoint, ...]
    parts: Mapping[str, Any]
