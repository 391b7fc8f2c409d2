"""What a gateway needs from the platform."""

from dataclasses import dataclass
from typing import Protocol

from hibiscushaven.discovery import ServerRecord
from hibiscushaven.routing import OperatorState

__all__ = ["PlatformStore", "ServerListing", "StoreError", "VmAddress"]


class StoreError(Exception):
    """The platform's store gave no usable answer."""


@dataclass(frozen=True, slots=True)
class ServerListing:
    """All registered backend servers at one version of the store."""

    version: int
    records: tuple[ServerRecord, ...]


@dataclass(frozen=True, slots=True)
class VmAddress:
    """Where a VM of this system listens for the others, as ``ip:port``."""

    name: str
    peers_at: str


class PlatformStore(Protocol):
    """Port to the platform's store; each call raises ``StoreError`` when it fails."""

    async def read_operator(self, wait_s: float) -> OperatorState:
        """Return the operator's state; wait for a change if nothing is new."""

    async def read_servers(self) -> ServerListing:
        """Return the registered backend servers."""

    async def register(self, address: VmAddress) -> None:
        """Keep the address of a VM."""

    async def deregister(self, name: str) -> None:
        """Drop the address of a VM."""

    async def list_vms(self) -> tuple[VmAddress, ...]:
        """Return the addresses of all VMs, also of those that are gone."""

    async def close(self) -> None:
        """Close the connections."""
