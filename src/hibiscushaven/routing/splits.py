"""Distribution of a route's requests over its services."""

from .model import Route

__all__ = ["SplitChooser"]


class SplitChooser:
    """Chooses services by weight so that each run of requests keeps the proportions.

    Explanation
    ===========

    Smooth weighted round robin: each service earns its weight at every choice, the one that
    has earned most is chosen and pays the sum of the weights. The shares of any run of requests
    are within one request of the weights, which random choice would not give.

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
        self._earned: dict[str, tuple[Route, dict[str, float]]] = {}

    def choose(self, route: Route) -> str:
        """Return the service for the next request of a route."""
        if len(route.parts) == 1:
            return route.parts[0].service
        known, earned = self._earned.get(route.name, (None, {}))
        if known is None or known.parts != route.parts:
            earned = dict.fromkeys((part.service for part in route.parts), 0.0)
            self._earned[route.name] = route, earned
        for part in route.parts:
            earned[part.service] += part.weight
        best = max(route.parts, key=lambda part: earned[part.service])
        earned[best.service] -= sum(part.weight for part in route.parts)
        return best.service

    def keep_only(self, routes: frozenset[str]) -> None:
        """Forget routes that are not named."""
        for name in [name for name in self._earned if name not in routes]:
            del self._earned[name]
