"""Backend servers that register themselves, and what a VM knows of them."""

from .records import ServerRecord
from .registry import LAPSE_GRACE_S, OUTAGE_S, KnownServer, Registry, RegistryNews

__all__ = [
    "LAPSE_GRACE_S",
    "OUTAGE_S",
    "KnownServer",
    "Registry",
    "RegistryNews",
    "ServerRecord",
]
