"""Bandwidth budgets of the links between this VM's region and other regions."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Iterator, Mapping

from hibiscushaven.documents import DocumentCatalog, ServiceDocument
from hibiscushaven.links import LinkBudget, TrafficClass
from hibiscushaven.links.budget import Reservation
from hibiscushaven.membership import MembershipNode
from hibiscushaven.process import Clock

from .errors import EntryError
from .requests import CallerResponse
from .topology import Topology

__all__ = ["LinkBudgets", "LinkFullError", "LinkReservation", "MeteredBody"]

# Weight of the newest size in the exponentially weighted mean of a class.
_SIZE_EWMA_WEIGHT = 0.1
_INITIAL_SHORT_BYTES = 4 * 1024
_INITIAL_LONG_BYTES = 1024 * 1024
# Assumed transfer rate of every body, since no better prediction is available. A reservation is
# spread over the transfer time at this rate.
_ASSUMED_BYTES_PER_S = 12.5e6
# Time after its last request during which this VM counts as a user of a link.
_LINK_IN_USE_S = 2.0


class LinkFullError(EntryError):
    """This VM's share of a link is used up."""


class LinkReservation:
    """Reservation of one request on a link; counts the bytes of its body against the budget."""

    def __init__(
        self,
        link_budgets: "LinkBudgets",
        key: tuple[str, str],
        budget: LinkBudget,
        reservation: Reservation,
    ) -> None:
        self._link_budgets = link_budgets
        self._key = key
        self._budget = budget
        self._reservation = reservation
        self._bytes = 0

    async def meter(self, chunk: bytes) -> None:
        """Count a chunk of the body, and wait while this VM's share of the link is used up."""
        self._bytes += len(chunk)
        wait_s = self._budget.charge(self._link_budgets.now, self._reservation, len(chunk))
        if wait_s > 0:
            await asyncio.sleep(wait_s)

    @contextlib.contextmanager
    def closed_on_failure(self, request_bytes: int) -> Iterator[None]:
        """Close the reservation if the block raises, since no body follows then."""
        with contextlib.ExitStack() as stack:
            stack.callback(self.close, request_bytes, is_complete=False)
            yield
            stack.pop_all()

    def close(self, request_bytes: int, is_complete: bool) -> None:
        """Release the reserved bytes; a complete exchange updates the predicted size.

        :param request_bytes: size of the request body, which uses the same link.
        """
        transferred = self._bytes + request_bytes
        self._budget.settle(self._link_budgets.now, self._reservation, transferred)
        if is_complete:
            self._link_budgets.record_size(self._key, transferred)


class LinkBudgets:
    """One budget per link, shared by all services whose documents define the link."""

    def __init__(
        self,
        region: str,
        catalog: DocumentCatalog,
        membership: MembershipNode,
        topology: Topology,
        clock: Clock,
    ) -> None:
        self._region = region
        self._catalog = catalog
        self._membership = membership
        self._topology = topology
        self._clock = clock
        self._budgets: dict[str, LinkBudget] = {}
        self._last_used_at: dict[str, float] = {}
        self._mean_sizes: dict[tuple[str, str], float] = {}

    @property
    def now(self) -> float:
        return self._clock.now()

    @property
    def utilization(self) -> Mapping[str, float]:
        """Utilization of this VM's share of each link, by the other region."""
        return {region: budget.utilization(self.now) for region, budget in self._budgets.items()}

    def record_size(self, key: tuple[str, str], size: int) -> None:
        """Update the predicted size of a service and class with that of a complete exchange."""
        mean = self._mean_sizes.get(key, float(size))
        self._mean_sizes[key] = mean + _SIZE_EWMA_WEIGHT * (size - mean)

    def reserve(
        self, document: ServiceDocument, class_name: str, is_long: bool, domain: str
    ) -> LinkReservation | None:
        """Reserve bandwidth for a request to a failure domain.

        :returns: the reservation, or ``None`` if the request uses no link with a cap.
        :raises LinkFullError: when this VM's share of the link is used up.
        """
        place = document.places_by_domain.get(domain)
        region = place.region if place is not None else self._region
        budget = self._budgets.get(region)
        if budget is None:
            return None
        key = (document.name, class_name)
        size = int(
            self._mean_sizes.get(key, _INITIAL_LONG_BYTES if is_long else _INITIAL_SHORT_BYTES)
        )
        traffic_class = TrafficClass.BULK if is_long else TrafficClass.SHORT
        reservation = budget.reserve(self.now, size, size / _ASSUMED_BYTES_PER_S, traffic_class)
        self._last_used_at[region] = self.now
        if reservation is None:
            raise LinkFullError(f"the link to region {region!r} is full")
        return LinkReservation(self, key, budget, reservation)

    def refresh(self) -> None:
        """Update the caps and the number of users of each link."""
        now = self.now
        caps = self._caps()
        for region in self._budgets.keys() - caps.keys():
            del self._budgets[region]
        for region, mbit_s in caps.items():
            vm_count = self._vm_count(region)
            if region not in self._budgets:
                self._budgets[region] = LinkBudget(mbit_s, vm_count)
            self._budgets[region].set_cap(now, mbit_s)
            self._budgets[region].set_user_count(now, self._user_count(region))
        active = {
            _link_name(self._region, region): 1
            for region, used_at in self._last_used_at.items()
            if now - used_at < _LINK_IN_USE_S
        }
        self._membership.set_attribute("link_users", active)

    def _caps(self) -> dict[str, float]:
        """Return the lowest cap in any document for each link of this region.

        Caps are in Mbit/s, by the region at the other end.
        """
        caps: dict[str, float] = {}
        for entry in self._catalog.entries:
            for link in entry.document.links:
                if self._region in link.regions:
                    (other,) = link.regions - {self._region}
                    caps[other] = min(link.mbit_s, caps.get(other, link.mbit_s))
        return caps

    def _vm_count(self, region: str) -> int:
        regions = (self._region, region)
        return max(1, sum(record.region in regions for record in self._topology.vm_records))

    def _user_count(self, region: str) -> int | None:
        """Return the number of VMs that use a link, or ``None`` if its other end is unreachable."""
        regions = {record.failure_domain: record.region for record in self._topology.vm_records}
        reachable = self._topology.reachable_domains()
        end_domains = [
            domain
            for domain, domain_region in regions.items()
            if domain_region in (self._region, region)
        ]
        if not any(regions[domain] == region and domain in reachable for domain in end_domains):
            return None
        link_name = _link_name(self._region, region)
        user_counts = (
            self._membership.domain_attribute(domain, "link_users") or {} for domain in end_domains
        )
        return max(1, sum(counts.get(link_name, 0) for counts in user_counts))


def _link_name(one: str, other: str) -> str:
    return "|".join(sorted((one, other)))


class MeteredBody:
    """Response body that is read within this VM's share of the link."""

    def __init__(
        self, response: CallerResponse, reservation: LinkReservation, request_bytes: int
    ) -> None:
        self._response = response
        self._reservation = reservation
        self._request_bytes = request_bytes
        self._is_complete = False
        self._is_closed = False

    async def __aiter__(self) -> AsyncIterator[bytes]:
        async for chunk in self._response.body:
            await self._reservation.meter(chunk)
            yield chunk
        self._is_complete = True

    async def close(self) -> None:
        """Release the response and its reservation on the link."""
        if not self._is_closed:
            self._is_closed = True
            self._reservation.close(self._request_bytes, self._is_complete)
        await self._response.close()
