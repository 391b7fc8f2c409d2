"""Which other VMs there are, as far as requests and look-ups are concerned."""

import random
from collections.abc import Iterator

from hibiscushaven.ini.fields import Endpoint
from hibiscushaven.membership import MembershipNode
from hibiscushaven.process import Clock
from hibiscushaven.tablestore import VmRecord, VmState

__all__ = ["FRESH_DIGEST_S", "Neighbours"]

# Digests come every second and take up to two more to reach VMs that are no relays. A place
# that counts as unreachable by mistake gets its share back only under the shift cap.
FRESH_DIGEST_S = 5.0
# Every listed failure domain counts as reachable for so long after the first list: relays
# change while the first heartbeats arrive, and digests come with gaps.
_FIRST_DIGEST_S = 15.0
_AVOID_S = 2.0


class Neighbours:
    """VMs of the own failure domain from the view, and of the others from list and digests."""

    def __init__(self, membership: MembershipNode, clock: Clock) -> None:
        self._membership = membership
        self._clock = clock
        self._listed_at: float | None = None
        self._avoided: dict[Endpoint, float] = {}

    @property
    def domain(self) -> str:
        return self._membership.identity.failure_domain

    @property
    def own_endpoint(self) -> Endpoint:
        return self._membership.identity.endpoint

    @property
    def entries(self) -> tuple[VmRecord, ...]:
        return self._membership.view.entries

    def reachable_domains(self) -> frozenset[str]:
        """Return the failure domains that were heard lately, with the own one."""
        digests = self._membership.domains
        fresh = {item.domain for item in digests.values() if item.age_s < FRESH_DIGEST_S}
        if self._is_starting:
            fresh |= {item.failure_domain for item in self.entries}
        return frozenset((self.domain, *fresh))

    @property
    def _is_starting(self) -> bool:
        now = self._clock.now()
        if self._listed_at is None and self.entries:
            self._listed_at = now
        return self._listed_at is None or now - self._listed_at < _FIRST_DIGEST_S

    def gateway(self, domain: str, rng: random.Random) -> Endpoint | None:
        """Return a VM of another failure domain to relay to.

        VMs that just could not be reached are left out: each try costs up to the time that
        a connection takes, which short requests do not have twice.
        """
        digest = self._membership.domains.get(domain)
        relays = digest.relays if digest is not None else ()
        listed = tuple(Endpoint(item.host, item.peer_port) for item in self._live(domain))
        for candidates in (relays, listed):
            usable = [item for item in candidates if not self._is_avoided(item)]
            if usable:
                return rng.choice(usable)
        return None

    def note_unreachable(self, endpoint: Endpoint) -> None:
        """Leave out a VM as a gateway for a moment."""
        now = self._clock.now()
        self._avoided = {item: until for item, until in self._avoided.items() if until > now}
        self._avoided[endpoint] = now + _AVOID_S

    def _is_avoided(self, endpoint: Endpoint) -> bool:
        return self._avoided.get(endpoint, 0.0) > self._clock.now()

    def _live(self, domain: str) -> Iterator[VmRecord]:
        return (
            item
            for item in self.entries
            if item.failure_domain == domain and item.state is VmState.LIVE
        )
