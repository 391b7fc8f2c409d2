"""Options of a gateway."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from hibiscushaven.discovery import RENEWAL_INTERVAL_S
from hibiscushaven.forwarding import RetryBudgetOptions
from hibiscushaven.ini.fields import Endpoint

__all__ = ["GatewayOptions", "relay_endpoint"]

# Requests that other VMs relay arrive on the port after that for the messages of VMs.
RELAY_PORT_OFFSET = 1


def relay_endpoint(peers_at: str) -> Endpoint:
    """Return where a VM accepts relayed requests, given its address for messages.

    Examples
    ========

    >>> str(relay_endpoint("10.0.0.1:7540"))
    '10.0.0.1:7541'

    """
    host, _, port = peers_at.rpartition(":")
    return Endpoint(host.strip("[]"), int(port) + RELAY_PORT_OFFSET)


@dataclass(frozen=True, slots=True)
class GatewayOptions:
    """Addresses, location and resources of one VM, and limits of the deployment.

    :ivar regions: region by failure domain, for the whole deployment.
    :ivar capacity: capacity of the VM, in cores of standard speed; lower than that of its
        processor if its link saturates first.
    :ivar link_mbps: bandwidth of its link, in Mbit/s.
    :ivar callers_at: address for callers' requests.
    :ivar readiness_at: address of the readiness check.
    :ivar directory_at: address of the directory, which returns addresses of VMs to callers.
    :ivar peers_at: address for messages of the other VMs; they relay requests to the port after it.
    :ivar status_at: address of the status page for operators, if any.
    :ivar metrics_at: address of the metrics, if any.
    :ivar seeds: addresses of VMs to contact at the start; some may be down.
    :ivar answer_ttl_s: time for which callers may cache a response of the directory.
    :ivar grace_s: time between SIGTERM and SIGKILL.
    :ivar renewal_interval_s: interval at which backend servers renew their records in the store.
    :ivar shift_cap: largest fraction of a region's requests that may be shifted to another region
        between two consecutive windows of 2 s.
    :ivar budget: options of the retry budget.
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
    renewal_interval_s: float = RENEWAL_INTERVAL_S
    shift_cap: float = 0.15
    budget: RetryBudgetOptions = field(default_factory=RetryBudgetOptions)

    @property
    def relay_at(self) -> Endpoint:
        """Address for requests that other VMs relay."""
        return relay_endpoint(str(self.peers_at))
