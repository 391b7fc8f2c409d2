"""What the VMs tell each other, and what one VM knows of the others."""

from .link import FleetLink
from .messages import MessageError, RegionDigest, VmState, token_of
from .news import News
from .pace import digest_interval_s
from .view import FleetView

__all__ = [
    "FleetLink",
    "FleetView",
    "MessageError",
    "News",
    "RegionDigest",
    "VmState",
    "digest_interval_s",
    "token_of",
]
