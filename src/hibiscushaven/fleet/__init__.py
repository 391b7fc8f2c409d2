"""Exchange of state between VMs, and one VM's view of the others."""

from .intervals import digest_interval_s
from .messages import MessageError, RegionDigest, VmState, token_of
from .sync import SyncResponse
from .transport import FleetTransport
from .view import FleetView

__all__ = [
    "FleetTransport",
    "FleetView",
    "MessageError",
    "RegionDigest",
    "SyncResponse",
    "VmState",
    "digest_interval_s",
    "token_of",
]
