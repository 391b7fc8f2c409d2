"""Registration records of backend servers, and each VM's registry of them."""

from .records import ServerRecord, server_id_of
from .registry import (
    EXPIRY_GRACE_S,
    OUTAGE_RENEWALS,
    RENEWAL_INTERVAL_S,
    KnownServer,
    Registry,
    RegistryUpdate,
)

__all__ = [
    "EXPIRY_GRACE_S",
    "OUTAGE_RENEWALS",
    "RENEWAL_INTERVAL_S",
    "KnownServer",
    "Registry",
    "RegistryUpdate",
    "ServerRecord",
    "server_id_of",
]
