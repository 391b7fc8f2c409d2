"""VMs and failure domains that requests can be sent to."""

import random
from collections.abc import Iterator

from hibiscushaven.ini.fields import Endpoint
from hibiscushaven.membership import MembershipNode
from hibiscushaven.process import Clock
from hibiscushaven.tablestore import VmRecord, VmState

__all__ = ["MAX_DIGEST_AGE_S", "Topology"]

# Digests are sent every second and take up to 2 s more to reach VMs that are not relays. The
# limit is well above that, since a place that is wrongly considered unreachable regains its
# share only as fast as the shift cap allows.
MAX_DIGEST_AGE_S = 5.0
# All listed failure domains are considered reachable for this time after the first VM list:
# relays change while the first heartbeats arrive, so digests arrive irregularly.
_STARTUP_GRACE_S = 15.0
# Time during which a VM that could not be reached is not picked as a relay.
_UNREACHABLE_BACKOFF_S = 2.0


class Topology:
    """VMs of the own failure domain by heartbeats, and of others by VM list and digests."""

    def __init__(self, membership: MembershipNode, clock: Clock) -> None:
        self._membership = membership
        self._clock = clock
        self._first_listed_at: float | None = None
        self._unreachable_until: dict[Endpoint, float] = {}

    @property
    def domain(self) -> str:
        return self._membership.identity.failure_domain

    @property
    def own_endpoint(self) -> Endpoint:
        return self._membership.identity.endpoint

    @property
    def vm_records(self) -> tuple[VmRecord, ...]:
        """The platform's list of VMs; empty until it was read."""
        return self._membership.view.entries

    def reachable_domains(self) -> frozenset[str]:
        """Return the own failure domain and those with a recent digest."""
        digests = self._membership.domains
        reachable = {
            digest.domain for digest in digests.values() if digest.age_s < MAX_DIGEST_AGE_S
        }
        if self._is_starting:
            reachable |= {record.failure_domain for record in self.vm_records}
        return frozenset((self.domain, *reachable))

    @property
    def _is_starting(self) -> bool:
        now = self._clock.now()
        if self._first_listed_at is None and self.vm_records:
            self._first_listed_at = now
        return self._first_listed_at is None or now - self._first_listed_at < _STARTUP_GRACE_S

    def pick_relay(self, domain: str, rng: random.Random) -> Endpoint | None:
        """Return a VM of another failure domain to relay a request to, ``None`` if there is none.

        Relays of the domain's digest are preferred to other listed VMs. VMs that recently could
        not be reached are skipped: a failed attempt takes up to the connect timeout, which the
        deadline of a short request does not allow twice.
        """
        digest = self._membership.domains.get(domain)
        relays = digest.relays if digest is not None else ()
        listed = tuple(Endpoint(vm.host, vm.peer_port) for vm in self._live_vms(domain))
        for candidates in (relays, listed):
            reachable = [vm for vm in candidates if not self._is_unreachable(vm)]
            if reachable:
                return rng.choice(reachable)
        return None

    def mark_unreachable(self, endpoint: Endpoint) -> None:
        """Skip a VM in :meth:`pick_relay` for a short time."""
        now = self._clock.now()
        self._unreachable_until = {
            vm: until for vm, until in self._unreachable_until.items() if until > now
        }
        self._unreachable_until[endpoint] = now + _UNREACHABLE_BACKOFF_S

    def _is_unreachable(self, endpoint: Endpoint) -> bool:
        return self._unreachable_until.get(endpoint, 0.0) > self._clock.now()

    def _live_vms(self, domain: str) -> Iterator[VmRecord]:
        return (
            record
            for record in self.vm_records
            if record.failure_domain == domain and record.state is VmState.LIVE
        )
