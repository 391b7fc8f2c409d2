"""Budgets of the links between this VM's region and the others."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Iterator, Mapping

from hibiscushaven.documents import DocumentCatalog, ServiceDocument
from hibiscushaven.links import LinkBudget, TrafficClass
from hibiscushaven.links.budget import Reservation
from hibiscushaven.membership import MembershipNode
from hibiscushaven.process import Clock

from .errors import EntryError
from .neighbours import Neighbours
from .requests import CallerAnswer

__all__ = ["LinkDesk", "LinkFullError", "LinkPass", "MeteredBody"]

# Weight of the newest size in the predicted size of a class.
_NEWEST_WEIGHT = 0.1
_FIRST_SHORT_BYTES = 4 * 1024
_FIRST_LONG_BYTES = 1024 * 1024
# A body is predicted to move at this rate, in bytes a second, as long as nothing else is known.
_BODY_RATE = 12.5e6
_ACTIVE_S = 2.0


class LinkFullError(EntryError):
    """This VM's share of a link is used up."""


class LinkPass:
    """The right of one request to use a link; its body is counted as it passes."""

    def __init__(
        self,
        desk: "LinkDesk",
        key: tuple[str, str],
        budget: LinkBudget,
        reservation: Reservation,
    ) -> None:
        self._desk = desk
        self._key = key
        self._budget = budget
        self._reservation = reservation
        self._bytes = 0

    async def meter(self, chunk: bytes) -> None:
        """Count a part of the body, and wait while the link's share is used up."""
        self._bytes += len(chunk)
        wait_s = self._budget.charge(self._desk.now, self._reservation, len(chunk))
        if wait_s > 0:
            await asyncio.sleep(wait_s)

    @contextlib.contextmanager
    def closed_on_failure(self, request_bytes: int) -> Iterator[None]:
        """Close the pass if there will be no body to count."""
        with contextlib.ExitStack() as stack:
            stack.callback(self.close, request_bytes, is_complete=False)
            yield
            stack.pop_all()

    def close(self, request_bytes: int, is_complete: bool) -> None:
        """Free what was set aside; a complete body improves the prediction."""
        moved = self._bytes + request_bytes
        self._budget.settle(self._desk.now, self._reservation, moved)
        if is_complete:
            self._desk.learn(self._key, moved)


class LinkDesk:
    """One budget per link, shared by all services whose documents name the link."""

    def __init__(
        self,
        region: str,
        catalog: DocumentCatalog,
        membership: MembershipNode,
        neighbours: Neighbours,
        clock: Clock,
    ) -> None:
        self._region = region
        self._catalog = catalog
        self._membership = membership
        self._neighbours = neighbours
        self._clock = clock
        self._budgets: dict[str, LinkBudget] = {}
        self._used_at: dict[str, float] = {}
        self._sizes: dict[tuple[str, str], float] = {}

    @property
    def now(self) -> float:
        return self._clock.now()

    @property
    def levels(self) -> Mapping[str, float]:
        """Part of this VM's share of each link that is in use, by the other region."""
        return {region: budget.utilization(self.now) for region, budget in self._budgets.items()}

    def learn(self, key: tuple[str, str], size: int) -> None:
        """Take a complete exchange's size into the prediction for its service and class."""
        known = self._sizes.get(key, float(size))
        self._sizes[key] = known + _NEWEST_WEIGHT * (size - known)

    def enter(
        self, document: ServiceDocument, class_name: str, is_long: bool, domain: str
    ) -> LinkPass | None:
        """Ask to send a request to a failure domain.

        :returns: the pass, or ``None`` if no capped link is on the way.
        :raises LinkFullError: when the link's share is used up.
        """
        place = document.places_by_domain.get(domain)
        region = place.region if place is not None else self._region
        budget = self._budgets.get(region)
        if budget is None:
            return None
        key = (document.name, class_name)
        size = int(self._sizes.get(key, _FIRST_LONG_BYTES if is_long else _FIRST_SHORT_BYTES))
        use = TrafficClass.BULK if is_long else TrafficClass.SHORT
        reservation = budget.reserve(self.now, size, size / _BODY_RATE, use)
        self._used_at[region] = self.now
        if reservation is None:
            raise LinkFullError(f"the link to region {region!r} is full")
        return LinkPass(self, key, budget, reservation)

    def refresh(self) -> None:
        """Take over caps, and how many VMs use each link."""
        now = self.now
        caps = self._caps()
        for region in self._budgets.keys() - caps.keys():
            del self._budgets[region]
        for region, mbit_s in caps.items():
            vms = self._vms_at(region)
            if region not in self._budgets:
                self._budgets[region] = LinkBudget(mbit_s, vms)
            self._budgets[region].set_cap(now, mbit_s)
            self._budgets[region].set_user_count(now, self._users_of(region))
        active = {
            _link_name(self._region, region): 1
            for region, used_at in self._used_at.items()
            if now - used_at < _ACTIVE_S
        }
        self._membership.set_attribute("link_users", active)

    def _caps(self) -> dict[str, float]:
        """Return the lowest cap that any document gives for each link of this region."""
        caps: dict[str, float] = {}
        for entry in self._catalog.entries:
            for link in entry.document.links:
                if self._region in link.regions:
                    (other,) = link.regions - {self._region}
                    caps[other] = min(link.mbit_s, caps.get(other, link.mbit_s))
        return caps

    def _vms_at(self, region: str) -> int:
        regions = (self._region, region)
        return max(1, sum(item.region in regions for item in self._neighbours.entries))

    def _users_of(self, region: str) -> int | None:
        """Return how many VMs use a link, or ``None`` if its other end is not heard."""
        regions = {item.failure_domain: item.region for item in self._neighbours.entries}
        reachable = self._neighbours.reachable_domains()
        ends = [name for name, at in regions.items() if at in (self._region, region)]
        if not any(regions[name] == region and name in reachable for name in ends):
            return None
        name = _link_name(self._region, region)
        parts = (self._membership.domain_attribute(domain, "link_users") or {} for domain in ends)
        return max(1, sum(part.get(name, 0) for part in parts))


def _link_name(one: str, other: str) -> str:
    return "|".join(sorted((one, other)))


class MeteredBody:
    """The body of an answer, read within the link's share."""

    def __init__(self, answer: CallerAnswer, link: LinkPass, request_bytes: int) -> None:
        self._answer = answer
        self._link = link
        self._request_bytes = request_bytes
        self._is_complete = False
        self._is_closed = False

    async def __aiter__(self) -> AsyncIterator[bytes]:
        async for chunk in self._answer.body:
            await self._link.meter(chunk)
            yield chunk
        self._is_complete = True

    async def close(self) -> None:
        """Free the answer and its part of the link."""
        if not self._is_closed:
            self._is_closed = True
            self._link.close(self._request_bytes, self._is_complete)
        await self._answer.close()
