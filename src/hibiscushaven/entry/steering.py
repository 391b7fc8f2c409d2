"""Which place takes a request: ramps, arrival rates and flows of all services."""

import random
from collections.abc import Mapping

from hibiscushaven.documents import CatalogEntry, DocumentCatalog, ServiceDocument
from hibiscushaven.membership import MembershipNode, combiner
from hibiscushaven.process import Clock
from hibiscushaven.shifts import ArrivalRates, Flows, ForeignAdmission, ShareRamp, plan_flows

from .neighbours import Neighbours
from .totals import DecayingMaximum

__all__ = ["Steering"]

_REFRESH_S = 0.25
# Requests a second below which a place's share is a few requests, which overload nothing.
_LEAST_TOTAL_RATE = 200.0
_LEAST_RATE = 0.001
# A failure domain that is cut off hears only its own arrivals. They are still a part of the
# service's total, which is remembered until the shares have followed.
_TOTAL_MEMORY_S = 60.0


@combiner("shares")
def _mean_shares(values: list[dict[str, dict[str, float]]]) -> dict[str, dict[str, float]]:
    """Combine the shares that VMs apply into their mean by service and place."""
    combined: dict[str, dict[str, float]] = {}
    for service in {name for value in values for name in value}:
        known = [value[service] for value in values if service in value]
        places = {place for shares in known for place in shares}
        combined[service] = {
            place: sum(shares.get(place, 0.0) for shares in known) / len(known)
            for place in sorted(places)
        }
    return combined


class Steering:
    """Chooses places so that each gets its share of the service's traffic."""

    def __init__(
        self,
        catalog: DocumentCatalog,
        membership: MembershipNode,
        neighbours: Neighbours,
        rng: random.Random,
        clock: Clock,
    ) -> None:
        self._clock = clock
        self._catalog = catalog
        self._membership = membership
        self._neighbours = neighbours
        self._rng = rng
        self._rates = ArrivalRates()
        self._ramps: dict[str, ShareRamp] = {}
        self._revisions: dict[str, int] = {}
        self._flows: dict[str, Flows] = {}
        self._foreign: dict[str, ForeignAdmission] = {}
        self._totals: dict[str, DecayingMaximum] = {}
        self._refreshed_at = float("-inf")

    def note_arrival(self, service: str) -> None:
        """Count a caller's request."""
        self._rates.record(self._clock.now(), service)

    def choose(self, service: str) -> str | None:
        """Return the failure domain of the place for a request, ``None`` to refuse it."""
        if self._clock.now() - self._refreshed_at >= _REFRESH_S:
            self.refresh()
        flows = self._flows.get(service)
        return flows.choose(self._neighbours.domain, self._rng.random()) if flows else None

    def retry_after_s(self, service: str) -> float:
        """Return when a request refused by a shift may come back."""
        entry = self._catalog.get(service)
        interval = entry.document.shift_interval_s if entry is not None else 1.0
        return interval * (0.1 + 0.2 * self._rng.random())

    def admit_foreign(self, service: str) -> bool:
        """Return whether this failure domain's place may take a request from another."""
        admission = self._foreign.get(service)
        return admission is None or admission.admit(self._clock.now())

    def shares(self, service: str) -> Mapping[str, float]:
        """Return the shares of a service by place."""
        ramp = self._ramps.get(service)
        return ramp.shares(self._clock.now()) if ramp is not None else {}

    def shares_by_domain(self, service: str) -> Mapping[str, float]:
        """Return the shares of a service by the failure domain of the place."""
        ramp = self._ramps.get(service)
        return ramp.shares_by_domain(self._clock.now()) if ramp is not None else {}

    def first_shares(self, service: str, region: str) -> Mapping[str, float] | None:
        """Return how callers are spread over failure domains.

        :param region: the caller's region if it named one; ``None`` is then returned and the
            caller's surroundings come first wherever they have a share.
        """
        flows = self._flows.get(service)
        if flows is None or region:
            return None
        return flows.probabilities(self._neighbours.domain)

    def refresh(self) -> None:
        """Bring ramps and flows up to date and publish this VM's numbers."""
        now = self._refreshed_at = self._clock.now()
        for entry in self._catalog.entries:
            self._refresh_service(now, entry)
        self._membership.set_attribute("arrivals", _rounded(self._rates.rates(now)))
        shares = {
            name: _rounded(ramp.shares(now))
            for name, ramp in self._ramps.items()
            if self._revisions
        }
        self._membership.set_attribute("shares", shares)

    def _refresh_service(self, now: float, entry: CatalogEntry) -> None:
        document = entry.document
        ramp = self._ramps.setdefault(document.name, ShareRamp())
        if self._revisions.get(document.name) != entry.revision:
            self._revisions[document.name] = entry.revision
            ramp.set_document(now, document, entry.ramp or None)
        # Until the platform's list arrives, no place counts as unreachable.
        if self._neighbours.entries:
            reachable = self._neighbours.reachable_domains()
            places = (p.name for p in document.places if p.failure_domain in reachable)
            ramp.set_available(now, frozenset(places))
        if ramp.can_adopt:
            ramp.adopt(now, self._peer_shares(document.name))
        ramp.set_usable_capacity(now, self._usable(document))
        arrivals = self._arrivals(now, document.name)
        fleet_shares = self._fleet_shares(document.name, arrivals)
        if fleet_shares:
            ramp.set_traffic_shares(now, fleet_shares)
        shares = ramp.shares_by_domain(now)
        regions = {place.failure_domain: place.region for place in document.places}
        heard = sum(arrivals.values())
        total = self._totals.setdefault(document.name, DecayingMaximum(_TOTAL_MEMORY_S))
        scale = total.update(now, heard) / heard
        scaled = {domain: share * scale for domain, share in shares.items()}
        self._flows[document.name] = plan_flows(arrivals, scaled, regions)
        own = self._neighbours.domain
        if own in shares:
            self._foreign.setdefault(document.name, ForeignAdmission()).set_limit(
                now, shares[own], max(total.value, _LEAST_TOTAL_RATE), arrivals[own]
            )

    def _arrivals(self, now: float, service: str) -> dict[str, float]:
        """Return the requests a second by failure domain of arrival."""
        own = self._neighbours.domain
        mine = self._rates.rate(now, service)
        others = (
            (self._membership.peer_attribute(vm, "arrivals") or {}).get(service, 0.0)
            for vm in sorted(self._membership.view.up_vms)
            if vm != self._membership.identity.vm
        )
        arrivals = {own: max(_LEAST_RATE, mine + sum(others))}
        for domain in sorted(self._neighbours.reachable_domains() - {own}):
            rates = self._membership.domain_attribute(domain, "arrivals") or {}
            arrivals[domain] = rates.get(service, 0.0)
        return arrivals

    def _usable(self, document: ServiceDocument) -> dict[str, int]:
        """Return how many requests each place may have in progress, where that is known."""
        usable = {}
        for place in document.places:
            part = self._membership.domain_attribute(place.failure_domain, "usable") or {}
            if document.name in part:
                usable[place.name] = part[document.name]
        return usable

    def _fleet_shares(self, service: str, arrivals: Mapping[str, float]) -> dict[str, float]:
        """Return the mean of the shares of all failure domains, by their arrivals."""
        mean: dict[str, float] = {}
        total = 0.0
        for domain, rate in arrivals.items():
            shares = (self._membership.domain_attribute(domain, "shares") or {}).get(service)
            if shares is None:
                continue
            total += rate
            for place, share in shares.items():
                mean[place] = mean.get(place, 0.0) + rate * share
        return {place: share / total for place, share in mean.items()} if total else {}

    def _peer_shares(self, service: str) -> list[Mapping[str, float]]:
        peers = (
            self._membership.peer_attribute(vm, "shares") or {}
            for vm in sorted(self._membership.view.up_vms)
            if vm != self._membership.identity.vm
        )
        return [shares[service] for shares in peers if service in shares]


def _rounded(values: Mapping[str, float]) -> dict[str, float]:
    """Round numbers to three digits, so that small changes need no new message."""
    return {key: float(f"{value:.3g}") for key, value in values.items()}
