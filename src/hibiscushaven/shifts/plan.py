"""Plan of the traffic flows from failure domains of arrival to places."""

from bisect import bisect_right
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from itertools import accumulate

__all__ = ["Flows", "plan_flows"]


@dataclass(frozen=True, slots=True)
class _Distribution:
    places: tuple[str, ...]
    cumulative: tuple[float, ...]


class Flows:
    """Routing probabilities of the places, by failure domain of arrival.

    Places are named by their failure domain. A domain without arrivals in the plan routes by
    the shares themselves, which leaves every place's share unchanged.
    """

    def __init__(
        self, probabilities: Mapping[str, Mapping[str, float]], shares: Mapping[str, float]
    ) -> None:
        self._probabilities = {domain: dict(row) for domain, row in probabilities.items()}
        self._shares = dict(sorted(shares.items()))
        self._distributions = {
            domain: _make_distribution(row) for domain, row in self._probabilities.items()
        }
        self._default = _make_distribution(self._shares)

    def probabilities(self, domain: str) -> dict[str, float]:
        """Return the probability of each place; the remainder to 1 is refused."""
        return dict(self._probabilities.get(domain, self._shares))

    def refusal_probability(self, domain: str) -> float:
        """Return the probability that an arrival of the domain is refused."""
        return max(0.0, 1.0 - sum(self.probabilities(domain).values()))

    def choose(self, domain: str, u: float) -> str | None:
        """Return the failure domain of the place for an arrival, or ``None`` to refuse it.

        :param u: a uniform random number from 0 up to 1.
        """
        row = self._distributions.get(domain, self._default)
        index = bisect_right(row.cumulative, u)
        return row.places[index] if index < len(row.places) else None


def _make_distribution(probabilities: Mapping[str, float]) -> _Distribution:
    items = [(place, value) for place, value in probabilities.items() if value > 0]
    cumulative = list(accumulate(value for _, value in items))
    # A sum that differs from 1 only by rounding must not cause refusals.
    if cumulative and abs(cumulative[-1] - 1.0) < 1e-9:
        cumulative[-1] = 1.0
    return _Distribution(tuple(place for place, _ in items), tuple(cumulative))


def plan_flows(
    arrivals: Mapping[str, float],
    shares: Mapping[str, float],
    regions: Mapping[str, str],
    delays: Mapping[frozenset[str], float] | None = None,
) -> Flows:
    """Plan which fraction of each failure domain's arrivals goes to which place.

    Explanation
    ===========

    Each failure domain serves its own arrivals up to its share of the total. The surplus is
    divided among places with a deficit in proportion to it: first in the same region, then in
    other regions by increasing delay. Every place gets exactly its share of the total. The
    result does not depend on the order of the mappings, so VMs with equal inputs agree.

    :param arrivals: requests a second by failure domain of arrival.
    :param shares: shares by failure domain of the place; their sum is at most 1.
    :param regions: region by failure domain.
    :param delays: one-way delay between two regions; without it, all other regions are
        equally distant.

    Examples
    ========

    >>> flows = plan_flows({"a1": 30, "b1": 10}, {"a1": 0.5, "b1": 0.5}, {"a1": "a", "b1": "b"})
    >>> {place: round(value, 3) for place, value in flows.probabilities("a1").items()}
    {'a1': 0.667, 'b1': 0.333}
    >>> flows.choose("a1", 0.9), flows.choose("b1", 0.9)
    ('b1', 'b1')

    """
    names = sorted(set(arrivals) | set(shares))
    total = sum(arrivals.get(name, 0.0) for name in names)
    surplus = {name: arrivals.get(name, 0.0) for name in names}
    deficit = {name: shares.get(name, 0.0) * total for name in names}
    flow: dict[tuple[str, str], float] = {}
    for name in names:
        _transfer(flow, surplus, deficit, (name,), (name,))
    groups: dict[str, list[str]] = {}
    for name in names:
        groups.setdefault(regions.get(name, ""), []).append(name)
    for members in groups.values():
        _transfer(flow, surplus, deficit, members, members)
    for source, sink in _region_pairs(groups, delays):
        _transfer(flow, surplus, deficit, groups[source], groups[sink])
    _transfer(flow, surplus, deficit, names, names)
    rows = {
        name: {
            place: flow[name, place] / arrivals[name] for place in names if (name, place) in flow
        }
        for name in names
        if arrivals.get(name, 0.0) > 0
    }
    return Flows(rows, shares)


def _region_pairs(
    groups: Mapping[str, list[str]], delays: Mapping[frozenset[str], float] | None
) -> Iterable[tuple[str, str]]:
    """Return the pairs of regions with a known delay, by increasing delay."""
    if not delays:
        return ()
    pairs = ((a, b) for a in groups for b in groups if frozenset((a, b)) in delays and a != b)
    return sorted(pairs, key=lambda pair: (delays[frozenset(pair)], pair))


def _transfer(
    flow: dict[tuple[str, str], float],
    surplus: dict[str, float],
    deficit: dict[str, float],
    sources: Iterable[str],
    sinks: Iterable[str],
) -> None:
    """Transfer surplus from the sources to the sinks, in proportion to surplus and deficit."""
    supplies = {name: surplus[name] for name in sources if surplus[name] > 0}
    demands = {name: deficit[name] for name in sinks if deficit[name] > 0}
    total_supply, total_demand = sum(supplies.values()), sum(demands.values())
    amount = min(total_supply, total_demand)
    if amount <= 0:
        return
    for source, supply in supplies.items():
        for sink, demand in demands.items():
            transferred = amount * (supply / total_supply) * (demand / total_demand)
            flow[source, sink] = flow.get((source, sink), 0.0) + transferred
    for source, supply in supplies.items():
        surplus[source] = max(0.0, supply - amount * (supply / total_supply))
    for sink, demand in demands.items():
        deficit[sink] = max(0.0, demand - amount * (demand / total_demand))
