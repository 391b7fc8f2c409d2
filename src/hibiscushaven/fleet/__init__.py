"""Exchange of state between VMs, and one VM's view of the others."""

from .census import VmCensus
from .intervals import digest_interval_s
from .isolation import IsolationTable, LinkStatement
from .messages import (
    CrashReport,
    DomainBroadcast,
    ForwarderReport,
    LeavingReport,
    LinkReport,
    Message,
    MessageError,
    RateLimitReport,
    RegionDigest,
    VmState,
    token_of,
)
from .sync import SyncResponse
from .transport import FleetTransport
from .uptime import MIN_RESTART_S, UptimeProofs
from .view import FleetView

__all__ = [
    "MIN_RESTART_S",
    "CrashReport",
    "DomainBroadcast",
    "FleetTransport",
    "FleetView",
    "ForwarderReport",
    "IsolationTable",
    "LeavingReport",
    "LinkReport",
    "LinkStatement",
    "Message",
    "MessageError",
    "RateLimitReport",
    "RegionDigest",
    "SyncResponse",
    "UptimeProofs",
    "VmCensus",
    "VmState",
    "digest_interval_s",
    "token_of",
]
