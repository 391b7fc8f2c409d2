"""Ports of the gateway to the platform."""

from dataclasses import dataclass
from typing import Protocol

from hibiscushaven.discovery import ServerRecord
from hibiscushaven.routing import OperatorState

__all__ = ["PlatformStore", "ServerListing", "StoreError", "VmAddress"]


class StoreError(Exception):
    """A call of the platform's store failed, or its response is invalid."""


@dataclass(frozen=True, slots=True)
class ServerListing:
    """All registered backend servers at one version of the store, as in ``version_of``."""

    version: int
    records: tuple[ServerRecord, ...]


@dataclass(frozen=True, slots=True)
class VmAddress:
    """Address at which a VM receives messages of the other VMs, as ``ip:port``."""

    name: str
    peers_at: str


class PlatformStore(Protocol):
    """Port to the platform's store; a call that fails raises ``StoreError``.

    Explanation
    ===========

    The store may be restored from a copy, which begins another era: what was written since the copy
    is gone until it is written again. All versions name their era, as in ``version_of``.
    """

    async def read_operator(self, known: OperatorState, wait_s: float) -> OperatorState:
        """Return the operator state, which is ``known`` itself if that has not changed.

        :param known: the state that this VM has, from the store or from a peer.
        :param wait_s: longest time to wait for a change.
        """

    async def read_servers(self) -> ServerListing:
        """Return all registered backend servers."""

    async def register(self, address: VmAddress) -> int:
        """Store the address of a VM, and return the era of the store in which it did so."""

    async def deregister(self, name: str) -> None:
        """Remove the address of a VM."""

    async def list_vms(self) -> tuple[VmAddress, ...]:
        """Return the addresses of all VMs, including those that stopped without deregistering."""

    async def close(self) -> None:
        """Close the connections."""
