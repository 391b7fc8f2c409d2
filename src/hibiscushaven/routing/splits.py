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

    >>> from hibiscushaven.routing import RequestKind, Route, SplitPart
    >>> parts = (SplitPart("a", 2), SplitPart("b", 1))
    >>> route = Route("r", "h", "/", RequestKind.SAFE, parts, 1.0, 0.2)
    >>> chooser = SplitChooser()
    >>> [chooser.choose(route) for _ in range(6)]
    ['a', 'b', 'a', 'a', 'b', 'a']

    """

    def __init__(self) -> None:
        self._current_weights: dict[str, tuple[Route, dict[str, float]]] = {}

    def choose(self, route: Route) -> str:
        """Return the service for the next request of a route."""
        if len(route.parts) == 1:
            return route.parts[0].service
        known_route, weights = self._current_weights.get(route.name, (None, {}))
        if known_route is None or known_route.parts != route.parts:
            weights = dict.fromkeys((part.service for part in route.parts), 0.0)
            self._current_weights[route.name] = route, weights
        for part in route.parts:
            weights[part.service] += part.weight
        best = max(route.parts, key=lambda part: weights[part.service])
        weights[best.service] -= sum(part.weight for part in route.parts)
        return best.service

    def keep_only(self, routes: frozenset[str]) -> None:
        """Drop the current weights of all routes except the named ones."""
        for name in [name for name in self._current_weights if name not in routes]:
            del self._current_weights[name]
