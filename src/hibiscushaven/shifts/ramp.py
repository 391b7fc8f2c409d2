"""Current shares of a service's places, which approach their target under the shift cap."""

from collections.abc import Mapping, Sequence
from math import ceil
from statistics import median_low

from hibiscushaven.documents import ServiceDocument

from .capacity import capacity_limits, limit_by_capacity
from .window import WindowMin

__all__ = [
    "BURST_RISE_FRACTION",
    "CONTINUOUS_RISE_FRACTION",
    "DEMAND_TOLERANCE",
    "ShareRamp",
    "target_shares",
]

# Fractions of the cap by which a place's share may rise continuously over one interval, and in
# one step after a pause. Any window of one interval contains at most their sum. The rest of the
# cap is left for callers that move between VMs with different shares, as on a restart. In the
# seeded run of bench/shift_run.py that suffices with 20 and 23 VMs. With 12 and 8 VMs, each of
# which serves a larger fraction of the callers, a place's traffic rose by up to 1.07 and 1.41
# times the cap.
CONTINUOUS_RISE_FRACTION = 0.8
BURST_RISE_FRACTION = 0.05

# Relative change of the demand up to which the capacity limits are kept. Shares fall at once
# but rise under the cap, so limits that followed the noise of the estimate would lower them.
DEMAND_TOLERANCE = 0.03

_USABLE_FRACTION_STEPS = 20

# Bounds the memory of a window: an interval may last an hour, with several reports a second.
_TRAFFIC_WINDOW_BUCKETS = 64


def target_shares(
    document: ServiceDocument,
    available: frozenset[str],
    usable_fractions: Mapping[str, float] | None = None,
) -> dict[str, float]:
    """Return each place's weight divided by the total weight of active, available places.

    :param usable_fractions: usable fraction of each place's capacity, 1 where it is missing.
    """
    weights = {
        place.name: place.weight if place.name in available and not place.is_leaving else 0.0
        for place in document.places
    }
    usable_weights = {
        name: weight * (usable_fractions or {}).get(name, 1.0) for name, weight in weights.items()
    }
    # If no place has usable capacity, the plain weights decide where requests wait for it.
    weights = usable_weights if any(usable_weights.values()) else weights
    total = sum(weights.values())
    return {name: weight / total if total else 0.0 for name, weight in weights.items()}


def _usable_fraction(usable: int, capacity: int) -> float:
    """Return the usable fraction of a capacity, rounded up to 1/20 to ignore small changes."""
    if capacity <= 0:
        return 1.0
    return min(1.0, ceil(_USABLE_FRACTION_STEPS * usable / capacity) / _USABLE_FRACTION_STEPS)


class ShareRamp:
    """Current shares of one service's places, as one VM applies them.

    Explanation
    ===========

    - The share of a place whose weight is lowered falls only as other shares rise, so that
      no request is refused.
    - The share of a place that is marked leaving falls to zero at once: the place may get no
      new requests after a few seconds, which a capped ramp cannot guarantee. To drain a place
      without refusals, set its weight to 0 first.
    - The share of an unavailable place falls to zero at once, as it cannot answer.
    - A share that fell at once is unassigned, and its requests are refused, until the shares
      of other places have risen.

    Increases are limited to a rate with a small burst, so the cap holds over every window of
    one interval, whatever edits, flaps or pauses occur in it. A decrease does not permit a
    larger increase later.

    Times are in seconds on a monotonic clock; a smaller ``now`` counts as no time passed.
    """

    def __init__(self) -> None:
        self._document: ServiceDocument | None = None
        self._available: frozenset[str] | None = None
        self._limits: dict[str, float] = {}
        self._demand: float | None = None
        self._usable_fractions: dict[str, float] = {}
        self._shares: dict[str, float] = {}
        self._target: dict[str, float] = {}
        self._now = float("-inf")
        self._can_adopt = True
        self._traffic_shares: dict[str, float] = {}
        self._traffic_minima: dict[str, WindowMin] = {}

    @property
    def can_adopt(self) -> bool:
        """Whether no shares were read since the start or since a pause longer than one interval."""
        return self._can_adopt

    @property
    def target(self) -> dict[str, float]:
        return dict(self._target)

    def set_document(
        self,
        now: float,
        document: ServiceDocument,
        recorded_ramp: Mapping[str, float] | None = None,
    ) -> None:
        """Apply a document.

        :param recorded_ramp: shares at the document's acceptance, used only for the first
            document. If they are ``None``, the ramp starts at the target shares.
        """
        is_first = self._document is None
        self._advance(now)
        self._document = document
        self._update_target()
        if is_first:
            self._now = now
            self._set_shares(self._target if recorded_ramp is None else recorded_ramp)
        else:
            self._set_shares(self._shares)

    def set_available(self, now: float, places: frozenset[str]) -> None:
        """Set the places whose failure domain is reachable; initially all places are available."""
        if places == self._available:
            return
        self._advance(now)
        self._available = places
        self._update_target()
        self._set_shares(self._shares)

    def set_load(self, now: float, arrival_rate: float, mean_service_s: float) -> None:
        """Limit the shares by the places' capacities at the current load.

        :param arrival_rate: requests a second of the whole service, at all VMs.
        :param mean_service_s: mean time that a request is in progress, in seconds.
        """
        demand = arrival_rate * mean_service_s
        previous = self._demand
        if previous is not None and abs(demand - previous) <= DEMAND_TOLERANCE * previous:
            return
        self._advance(now)
        self._demand = demand
        self._update_target()
        self._set_shares(self._shares)

    def set_usable_capacity(self, now: float, usable: Mapping[str, int]) -> None:
        """Lower the target shares of places that cannot use their whole capacity.

        A place that lost VMs lacks their slot tokens for a while. Its share falls only as
        other shares rise, under the cap.

        :param usable: number of requests that a place may have in progress, for the places
            where it is known.
        """
        if self._document is None:
            return
        places = self._document.places_by_name
        usable_fractions = {
            name: _usable_fraction(count, places[name].capacity)
            for name, count in usable.items()
            if name in places
        }
        if usable_fractions == self._usable_fractions:
            return
        self._advance(now)
        self._usable_fractions = usable_fractions
        self._update_target()

    def set_traffic_shares(self, now: float, shares: Mapping[str, float]) -> None:
        """Set the places' shares of the whole service's traffic, from heartbeats and digests.

        Callers that move between VMs with different shares increase a place's traffic without
        any ramp. Such an increase counts towards the cap and delays this VM's own increase.

        :param shares: mean of the shares of all VMs that are up, weighted by arrival rate.
        """
        if self._document is None:
            return
        self._advance(now)
        interval = self._document.shift_interval_s
        for name in self._document.places_by_name:
            share = self._traffic_shares[name] = shares.get(name, 0.0)
            window = self._traffic_minima.get(name)
            if window is None:
                window = self._traffic_minima[name] = WindowMin(interval, _TRAFFIC_WINDOW_BUCKETS)
            window.window_s = interval
            window.add(now, share)

    def adopt(self, now: float, shares_from_peers: Sequence[Mapping[str, float]]) -> bool:
        """Adopt the peers' current shares if this VM has routed no traffic recently.

        A VM that was paused for more than an interval also qualifies: its callers have been
        served at its peers' shares. The low median over the peers ignores single peers with
        an outdated view. Once ``shares`` was read, nothing is adopted any more.

        :returns: whether the shares were adopted.
        """
        self._advance(now)
        if not self._can_adopt or not shares_from_peers or self._document is None:
            return False
        names = self._document.places_by_name
        self._set_shares(
            {
                name: median_low([item.get(name, 0.0) for item in shares_from_peers])
                for name in names
            }
        )
        return True

    def shares(self, now: float) -> dict[str, float]:
        """Return the share of each place; they sum to at most 1."""
        self._advance(now)
        self._can_adopt = False
        return dict(self._shares)

    def shares_by_domain(self, now: float) -> dict[str, float]:
        """Return the shares by failure domain of the place, as ``plan_flows`` expects them."""
        shares = self.shares(now)
        if self._document is None:
            return {}
        return {place.failure_domain: shares[place.name] for place in self._document.places}

    def unassigned(self, now: float) -> float:
        """Return the share that is not assigned to any place, which has to be refused."""
        self._advance(now)
        return max(0.0, 1.0 - sum(self._shares.values()))

    def _eligible_places(self) -> frozenset[str]:
        names = frozenset(p.name for p in self._document.places if not p.is_leaving)
        return names if self._available is None else names & self._available

    def _update_target(self) -> None:
        if self._document is None:
            return
        target = target_shares(self._document, self._eligible_places(), self._usable_fractions)
        if self._demand is not None:
            capacities = {place.name: place.capacity for place in self._document.places}
            self._limits = capacity_limits(capacities, self._demand, 1.0)
            target = limit_by_capacity(target, self._limits)
        self._target = target

    def _set_shares(self, shares: Mapping[str, float]) -> None:
        """Set the shares, cut to 0 for ineligible places and to the capacity limit for others."""
        if self._document is None:
            return
        eligible = self._eligible_places()
        limited = {
            name: (
                min(shares.get(name, 0.0), self._limits.get(name, 1.0)) if name in eligible else 0.0
            )
            for name in self._document.places_by_name
        }
        total = max(1.0, sum(limited.values()))
        self._shares = {name: max(0.0, share) / total for name, share in limited.items()}

    def _advance(self, now: float) -> None:
        elapsed = now - self._now
        if self._document is None or elapsed <= 0:
            return
        self._now = now
        interval = self._document.shift_interval_s
        if elapsed > interval:
            self._can_adopt = True
        cap = self._document.shift_cap
        step = min(CONTINUOUS_RISE_FRACTION * elapsed / interval, BURST_RISE_FRACTION) * cap
        self._step_to_target(step)

    def _step_to_target(self, step: float) -> None:
        rises = {
            name: min(step, self._target[name] - share, self._traffic_headroom(name))
            for name, share in self._shares.items()
            if share < self._target[name]
        }
        rises = {name: rise for name, rise in rises.items() if rise > 0}
        if not rises:
            return
        unassigned = max(0.0, 1.0 - sum(self._shares.values()))
        excess = {
            name: share - self._target[name]
            for name, share in self._shares.items()
            if share > self._target[name]
        }
        total_rise = sum(rises.values())
        available = unassigned + sum(excess.values())
        scale = min(1.0, available / total_rise)
        reassigned = max(0.0, total_rise * scale - unassigned)
        for name, rise in rises.items():
            self._shares[name] += rise * scale
        for name, amount in excess.items():
            self._shares[name] -= reassigned * amount / sum(excess.values())

    def _traffic_headroom(self, name: str) -> float:
        """Return by how much the share may rise before the traffic's rise reaches its limit.

        The rise of the whole service's traffic is counted over a window of one interval.
        """
        if name not in self._traffic_shares:
            return 1.0
        minimum = self._traffic_minima[name].minimum(self._now)
        return (
            minimum
            + CONTINUOUS_RISE_FRACTION * self._document.shift_cap
            - self._traffic_shares[name]
        )
