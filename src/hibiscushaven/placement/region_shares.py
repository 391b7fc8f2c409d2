"""Distribution of a region's requests over the regions."""

from collections.abc import Mapping

__all__ = ["RegionShares", "slots_of_rate", "target_shares"]

# Utilization of a region's slots up to which it keeps its own requests. Above it, waiting for a
# slot takes longer than the round trip to another region.
MAX_LOCAL_UTILIZATION = 0.6

# Utilization of all slots that is assumed while no arrival rates are known.
ASSUMED_UTILIZATION = 0.5


def target_shares(
    region: str,
    arrivals: Mapping[str, float],
    slots: Mapping[str, float],
    processing_s: float,
) -> dict[str, float]:
    """Return the fraction of a region's requests that each region should process.

    Explanation
    ===========

    Each region keeps its own requests up to ``MAX_LOCAL_UTILIZATION`` of its slots. The excess goes
    to the regions with spare capacity, in proportion to it. What exceeds all spare capacity is
    spread in proportion to the slots, so that all regions are overloaded to the same degree.

    :param arrivals: requests per second by region of the callers.
    :param slots: usable slots by region.
    :param processing_s: mean processing time in seconds.

    Examples
    ========

    >>> target_shares("a", {"a": 10, "b": 10}, {"a": 10, "b": 10}, 0.1)
    {'a': 1.0}
    >>> shares = target_shares("a", {"a": 20, "b": 0}, {"a": 2, "b": 10}, 0.1)
    >>> {name: round(share, 2) for name, share in shares.items()}
    {'a': 0.6, 'b': 0.4}

    """
    total_slots = sum(slots.values())
    local_arrivals = arrivals.get(region, 0.0)
    if total_slots == 0:
        return {region: 1.0}
    if local_arrivals <= 0:
        return {region: 1.0} if slots.get(region) else _proportions(slots)
    capacities = {
        name: MAX_LOCAL_UTILIZATION * count / processing_s for name, count in slots.items()
    }
    local_rates = {
        name: min(arrivals.get(name, 0.0), capacities.get(name, 0.0))
        for name in {*capacities, region}
    }
    spare_capacities = {
        name: capacity - local_rates[name]
        for name, capacity in capacities.items()
        if capacity > local_rates[name]
    }
    total_excess = sum(rate - local_rates.get(name, 0.0) for name, rate in arrivals.items())
    absorbed_fraction = (
        min(1.0, sum(spare_capacities.values()) / total_excess) if total_excess > 0 else 0.0
    )
    excess = local_arrivals - local_rates[region]
    rates = {region: local_rates[region]}
    for name, fraction in _proportions(spare_capacities).items():
        rates[name] = rates.get(name, 0.0) + excess * absorbed_fraction * fraction
    for name, fraction in _proportions(slots).items():
        rates[name] = rates.get(name, 0.0) + excess * (1.0 - absorbed_fraction) * fraction
    return {
        name: rate / local_arrivals for name, rate in rates.items() if rate > 1e-9 * local_arrivals
    }


def slots_of_rate(rate_per_s: float, processing_s: float) -> float:
    """Return the number of slots that a region would keep busy with a rate of its own requests.

    Examples
    ========

    >>> round(slots_of_rate(6.0, processing_s=0.2), 3)
    2.0

    """
    return rate_per_s * processing_s / MAX_LOCAL_UTILIZATION


def _proportions(amounts: Mapping[str, float]) -> dict[str, float]:
    total = sum(amounts.values())
    return {name: amount / total for name, amount in amounts.items()} if total else {}


class RegionShares:
    """Current shares of the regions for one service, which approach their target at a bounded rate.

    Explanation
    ===========

    Objects are assigned to regions by their hash, in the same way on all VMs of a region, so that
    the requests for an object stay in one region while the shares change slowly.

    :ivar max_shift_per_s: largest fraction of the requests that may change their region per second.

    Examples
    ========

    >>> shares = RegionShares("a", max_shift_per_s=0.1)
    >>> shares.update(0.0, {"a": 1.0})
    >>> shares.update(1.0, {"b": 1.0})
    >>> {name: round(share, 2) for name, share in shares.shares.items()}
    {'a': 0.9, 'b': 0.1}
    >>> shares.region_at(0.5), shares.region_at(0.95)
    ('a', 'b')

    """

    def __init__(self, region: str, max_shift_per_s: float) -> None:
        self._region = region
        self.max_shift_per_s = max_shift_per_s
        self._shares: dict[str, float] = {}
        self._updated_at: float | None = None

    @property
    def shares(self) -> Mapping[str, float]:
        return self._shares

    def update(self, now: float, target: Mapping[str, float]) -> None:
        """Move towards a target by at most ``max_shift_per_s``; adopt the first target at once."""
        if self._updated_at is None:
            self._shares = dict(target)
            self._updated_at = now
            return
        step = self.max_shift_per_s * max(0.0, now - self._updated_at)
        self._updated_at = now
        names = {*self._shares, *target}
        gaps = {name: target.get(name, 0.0) - self._shares.get(name, 0.0) for name in names}
        shifted = sum(gap for gap in gaps.values() if gap > 0)
        fraction = min(1.0, step / shifted) if shifted > 0 else 0.0
        shares = {name: self._shares.get(name, 0.0) + fraction * gaps[name] for name in names}
        self._shares = {name: share for name, share in sorted(shares.items()) if share > 1e-6}

    def region_at(self, position: float) -> str:
        """Return the region of the objects at a position in [0, 1)."""
        position -= self._shares.get(self._region, 0.0)
        if position < 0:
            return self._region
        others = [(name, share) for name, share in self._shares.items() if name != self._region]
        for name, share in others:
            position -= share
            if position < 0:
                return name
        return others[-1][0] if others else self._region
