"""What a gateway is told at its start."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from hibiscushaven.forwarding import RetryBudgetOptions
from hibiscushaven.ini.fields import Endpoint

__all__ = ["GatewayOptions"]


@dataclass(frozen=True, slots=True)
class GatewayOptions:
    """Addresses of one VM, its place, and the bounds of the deployment.

    :ivar regions: region by failure domain, for the whole deployment.
    :ivar capacity: what the VM can do for others: its processor in cores of usual speed, or
        less if its link is small for it.
    :ivar link_mbps: its link, in Mbit/s.
    :ivar callers_at: address for callers.
    :ivar readiness_at: address of the readiness check.
    :ivar directory_at: address for callers that ask where to connect.
    :ivar peers_at: address for the other VMs.
    :ivar status_at: address of the status for operators, if any.
    :ivar metrics_at: address of the metrics, if any.
    :ivar seeds: addresses of VMs that may be up.
    :ivar answer_ttl_s: time for which callers may keep an answer of the directory.
    :ivar grace_s: time from SIGTERM to SIGKILL.
    :ivar shift_cap: most of a region's requests that may change their region between two
        windows of 2 s.
    """

    name: str
    region: str
    failure_domain: str
    regions: Mapping[str, str]
    callers_at: Endpoint
    readiness_at: Endpoint
    directory_at: Endpoint
    peers_at: Endpoint
    status_at: Endpoint | None = None
    metrics_at: Endpoint | None = None
    seeds: tuple[str, ...] = ()
    capacity: float = 1.0
    link_mbps: float = 1000.0
    answer_ttl_s: float = 2.0
    grace_s: float = 6.0
    shift_cap: float = 0.15
    budget: RetryBudgetOptions = field(default_factory=RetryBudgetOptions)
