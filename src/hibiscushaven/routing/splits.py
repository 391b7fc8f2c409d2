"""Traffic splitting: distribution of a route's requests over its services by weight."""

from .model import Route

__all__ = ["SplitChooser"]


class SplitChooser:
    """Chooses the service of each request by smooth weighted round robin.

    Explanation
    ===========

    At each choice the current weight of every service grows by its configured weight. The
    service with the highest current weight is chosen, and the sum of all configured weights is
    subtracted from its current weight. In any sequence of requests the count of each service
    differs by at most one from its share, which random choice would not guarantee.

    Examples
    ========

    >>> from hibiscushaven.routing import RequestKind, Route, WeightedService
    >>> weighted = (WeightedService("a", 2), WeightedService("b", 1))
    >>> route = Route("r", "h", "/", RequestKind.SAFE, weighted, 1.0, 0.2)
    >>> chooser = SplitChooser()
    >>> [chooser.choose(route) for _ in range(6)]
    ['a', 'b', 'a', 'a', 'b', 'a']

    """

    def __init__(self) -> None:
        self._current_weights: dict[str, tuple[Route, dict[str, float]]] = {}

    def choose(self, route: Route) -> str:
        """Return the service for the next request of a route."""
        if len(route.weighted_services) == 1:
            return route.weighted_services[0].service
        previous_route, weights = self._current_weights.get(route.name, (None, {}))
        if previous_route is None or previous_route.weighted_services != route.weighted_services:
            weights = dict.fromkeys(
                (candidate.service for candidate in route.weighted_services), 0.0
            )
            self._current_weights[route.name] = route, weights
        for candidate in route.weighted_services:
            weights[candidate.service] += candidate.weight
        chosen = max(route.weighted_services, key=lambda candidate: weights[candidate.service])
        weights[chosen.service] -= sum(candidate.weight for candidate in route.weighted_services)
        return chosen.service

    def retain_only(self, routes: frozenset[str]) -> None:
        """Drop the current weights of all routes except the named ones."""
        for name in [name for name in self._current_weights if name not in routes]:
            del self._current_weights[name]
