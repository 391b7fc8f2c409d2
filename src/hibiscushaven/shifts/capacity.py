"""Upper limits on the shares of places, derived from their capacities."""

from collections.abc import Mapping

__all__ = ["capacity_limits", "limit_by_capacity"]


def capacity_limits(
    capacities: Mapping[str, float], arrival_rate: float, mean_service_s: float
) -> dict[str, float]:
    """Return the largest share that each place has the capacity for.

    Explanation
    ===========

    By Little's law, a place with share ``s`` has ``s * arrival_rate * mean_service_s``
    requests in progress on average.

    :param capacities: maximum number of requests in progress, by place.
    :param arrival_rate: requests a second of the whole service.
    :param mean_service_s: mean time that a request is in progress, in seconds.

    Examples
    ========

    >>> capacity_limits({"a": 30, "b": 60}, arrival_rate=100.0, mean_service_s=0.5)
    {'a': 0.6, 'b': 1.0}

    """
    demand = arrival_rate * mean_service_s
    if demand <= 0:
        return dict.fromkeys(capacities, 1.0)
    return {place: min(1.0, capacity / demand) for place, capacity in capacities.items()}


def limit_by_capacity(target: Mapping[str, float], limits: Mapping[str, float]) -> dict[str, float]:
    """Cap shares at their limits and redistribute the excess to the other places.

    The excess is divided in proportion to the shares. What exceeds all limits is missing from
    the sum of the result and has to be refused. A place with share 0 gets none of it.

    Examples
    ========

    >>> limit_by_capacity({"a": 0.5, "b": 0.5}, {"a": 0.25, "b": 1.0})
    {'a': 0.25, 'b': 0.75}

    """
    assigned: dict[str, float] = {}
    unassigned = {place: share for place, share in target.items() if share > 0}
    remaining = sum(target.values())
    while unassigned:
        scale = remaining / sum(unassigned.values())
        saturated = [p for p, share in unassigned.items() if share * scale > limits.get(p, 1.0)]
        if not saturated:
            assigned.update((place, share * scale) for place, share in unassigned.items())
            break
        for place in saturated:
            assigned[place] = limits.get(place, 1.0)
            remaining -= assigned[place]
            del unassigned[place]
    return {place: assigned.get(place, 0.0) for place in target}
