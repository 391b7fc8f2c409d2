"""Traffic steering: selects the place that serves a request, by service."""

import random
from collections.abc import Mapping

from hibiscushaven.documents import CatalogEntry, DocumentCatalog, ServiceDocument
from hibiscushaven.membership import MembershipNode, combiner
from hibiscushaven.process import Clock
from hibiscushaven.shifts import ArrivalRates, Flows, ForeignAdmission, ShareRamp, plan_flows

from .decaying_maximum import DecayingMaximum
from .topology import Topology

__all__ = ["Steering"]

_REFRESH_INTERVAL_S = 0.25
# Lower bound, in requests a second, of the total rate that the limit of foreign requests is based
# on. Below it a place's share is only a few requests, which cannot overload the place.
_MIN_TOTAL_RATE = 200.0
_MIN_ARRIVAL_RATE = 0.001
# A failure domain that is cut off knows only its own arrivals, which are a part of the service's
# total rate. The previous total therefore decays slowly, until the shares have adapted.
_TOTAL_RATE_TIME_CONSTANT_S = 60.0


@combiner("shares")
def _mean_shares(values: list[dict[str, dict[str, float]]]) -> dict[str, dict[str, float]]:
    """Return the mean of the shares that the VMs apply, by service and place."""
    combined: dict[str, dict[str, float]] = {}
    for service in {name for value in values for name in value}:
        reported = [value[service] for value in values if service in value]
        places = {place for shares in reported for place in shares}
        combined[service] = {
            place: sum(shares.get(place, 0.0) for shares in reported) / len(reported)
            for place in sorted(places)
        }
    return combined


class Steering:
    """Selects places so that each receives its share of the service's traffic.

    Explanation
    ===========

    A ramp per service moves the shares of the places to their targets. A plan of flows, made
    from the shares and the arrival rates of all failure domains, then gives the probability
    of each place for the requests that arrive in this failure domain.
    """

    def __init__(
        self,
        catalog: DocumentCatalog,
        membership: MembershipNode,
        topology: Topology,
        rng: random.Random,
        clock: Clock,
    ) -> None:
        self._clock = clock
        self._catalog = catalog
        self._membership = membership
        self._topology = topology
        self._rng = rng
        self._rates = ArrivalRates()
        self._ramps: dict[str, ShareRamp] = {}
        self._revisions: dict[str, int] = {}
        self._flows: dict[str, Flows] = {}
        self._foreign_admissions: dict[str, ForeignAdmission] = {}
        self._peak_rates: dict[str, DecayingMaximum] = {}
        self._refreshed_at = float("-inf")

    def record_arrival(self, service: str) -> None:
        """Count a caller's request."""
        self._rates.record(self._clock.now(), service)

    def choose_domain(self, service: str) -> str | None:
        """Return the failure domain of the place for a request, or ``None`` to refuse it."""
        if self._clock.now() - self._refreshed_at >= _REFRESH_INTERVAL_S:
            self.refresh()
        flows = self._flows.get(service)
        return flows.choose(self._topology.domain, self._rng.random()) if flows else None

    def retry_after_s(self, service: str) -> float:
        """Return the time after which a request refused by a shift may be retried, in seconds."""
        entry = self._catalog.get(service)
        interval = entry.document.shift_interval_s if entry is not None else 1.0
        return interval * (0.1 + 0.2 * self._rng.random())

    def admit_foreign(self, service: str) -> bool:
        """Return whether the place here may accept a request from another failure domain."""
        admission = self._foreign_admissions.get(service)
        return admission is None or admission.admit(self._clock.now())

    def shares(self, service: str) -> Mapping[str, float]:
        """Return the current shares of a service by place."""
        ramp = self._ramps.get(service)
        return ramp.shares(self._clock.now()) if ramp is not None else {}

    def shares_by_domain(self, service: str) -> Mapping[str, float]:
        """Return the current shares of a service by the failure domain of the place."""
        ramp = self._ramps.get(service)
        return ramp.shares_by_domain(self._clock.now()) if ramp is not None else {}

    def first_shares(self, service: str, region: str) -> Mapping[str, float] | None:
        """Return the shares by which callers without a region are spread over failure domains.

        :param region: the caller's region if it sent one. The result is then ``None``: such a
            caller gets VMs of its own surroundings first wherever they have a share.
        """
        flows = self._flows.get(service)
        if flows is None or region:
            return None
        return flows.probabilities(self._topology.domain)

    def refresh(self) -> None:
        """Update ramps and flows, and publish this VM's arrival rates and shares."""
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
        # Until the platform's VM list is known, all places are considered reachable.
        if self._topology.vm_records:
            reachable = self._topology.reachable_domains()
            places = (p.name for p in document.places if p.failure_domain in reachable)
            ramp.set_available(now, frozenset(places))
        if ramp.can_adopt:
            ramp.adopt(now, self._peer_shares(document.name))
        ramp.set_usable_capacity(now, self._usable_slots(document))
        arrivals = self._arrivals(now, document.name)
        fleet_shares = self._fleet_shares(document.name, arrivals)
        if fleet_shares:
            ramp.set_traffic_shares(now, fleet_shares)
        shares = ramp.shares_by_domain(now)
        regions = {place.failure_domain: place.region for place in document.places}
        known_rate = sum(arrivals.values())
        total = self._peak_rates.setdefault(
            document.name, DecayingMaximum(_TOTAL_RATE_TIME_CONSTANT_S)
        )
        scale = total.update(now, known_rate) / known_rate
        scaled = {domain: share * scale for domain, share in shares.items()}
        self._flows[document.name] = plan_flows(arrivals, scaled, regions)
        own = self._topology.domain
        if own in shares:
            self._foreign_admissions.setdefault(document.name, ForeignAdmission()).set_limit(
                now, shares[own], max(total.value, _MIN_TOTAL_RATE), arrivals[own]
            )

    def _arrivals(self, now: float, service: str) -> dict[str, float]:
        """Return the arrival rates by failure domain, in requests a second."""
        own = self._topology.domain
        own_rate = self._rates.rate(now, service)
        peer_rates = (
            (self._membership.peer_attribute(vm, "arrivals") or {}).get(service, 0.0)
            for vm in sorted(self._membership.view.up_vms)
            if vm != self._membership.identity.vm
        )
        arrivals = {own: max(_MIN_ARRIVAL_RATE, own_rate + sum(peer_rates))}
        for domain in sorted(self._topology.reachable_domains() - {own}):
            rates = self._membership.domain_attribute(domain, "arrivals") or {}
            arrivals[domain] = rates.get(service, 0.0)
        return arrivals

    def _usable_slots(self, document: ServiceDocument) -> dict[str, int]:
        """Return the number of usable slots of each place, where it is known."""
        usable = {}
        for place in document.places:
            by_service = self._membership.domain_attribute(place.failure_domain, "usable") or {}
            if document.name in by_service:
                usable[place.name] = by_service[document.name]
        return usable

    def _fleet_shares(self, service: str, arrivals: Mapping[str, float]) -> dict[str, float]:
        """Return the shares that failure domains apply, averaged by their arrival rates."""
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
    """Round numbers to three digits, so that small changes cause no new message."""
    return {key: float(f"{value:.3g}") for key, value in values.items()}
