"""Lookup of the route of a request by host and path."""

from .model import Configuration, Route

__all__ = ["RouteTable"]


class RouteTable:
    """Routes of one configuration, indexed by host and path prefix.

    Explanation
    ===========

    Of the routes of a host, the one with the longest prefix that matches the path is used.
    Lookup tries the prefixes of the path from the longest to the shortest, so that its time
    does not depend on the number of routes.

    Examples
    ========

    >>> from hibiscushaven.routing import RequestKind, Route, WeightedService
    >>> def route(name, prefix):
    ...     stock = WeightedService("stock", 1)
    ...     return Route(name, "a.example", prefix, RequestKind.SAFE, (stock,), 1.0, 0.2)
    >>> table = RouteTable(Configuration(1, (route("all", "/"), route("deep", "/a/b/"))))
    >>> table.find("A.example:80", "/a/b/c").name, table.find("a.example", "/a/b").name
    ('deep', 'all')
    >>> table.find("b.example", "/") is None
    True

    """

    def __init__(self, configuration: Configuration) -> None:
        self._hosts: dict[str, dict[str, Route]] = {}
        for route in configuration.routes:
            self._hosts.setdefault(route.host.lower(), {})[route.prefix] = route

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of a request, or ``None`` if no route matches.

        :param host: value of the ``Host`` header; a port is ignored.
        """
        prefixes = self._hosts.get(host.partition(":")[0].lower())
        if prefixes is None:
            return None
        end = path.rfind("/") + 1
        while end > 0:
            route = prefixes.get(path[:end])
            if route is not None:
                return route
            end = path.rfind("/", 0, end - 1) + 1
        return None

    def home_regions(self, host: str) -> frozenset[str]:
        """Return the regions that may process requests of a host.

        The set is empty if the host has no routes, or if one of them allows all regions.
        """
        routes = self._hosts.get(host.partition(":")[0].lower(), {}).values()
        if not routes or any(not route.home_regions for route in routes):
            return frozenset()
        return frozenset().union(*(route.home_regions for route in routes))
