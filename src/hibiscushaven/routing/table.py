"""Look-up of the route of a request."""

from .model import Configuration, Route

__all__ = ["RouteTable"]


class RouteTable:
    """Routes of one configuration by host and path.

    Explanation
    ===========

    Of the routes of a host, the one with the longest prefix of the path wins. The prefixes of
    a path are tried from the longest to the shortest, so that the time does not grow with the
    number of routes.

    Examples
    ========

    >>> from hibiscushaven.routing import RequestKind, Route, SplitPart
    >>> def route(name, prefix):
    ...     part = SplitPart("stock", 1)
    ...     return Route(name, "a.example", prefix, RequestKind.SAFE, (part,), 1.0, 0.2)
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
        """Return the route of a request, or ``None``.

        :param host: value of the ``Host`` header; a port is ignored.
        """
        prefixes = self._hosts.get(host.partition(":")[0].lower())
        if prefixes is None:
            return None
        end = path.rfind("/") + 1
        while end > 0:
            found = prefixes.get(path[:end])
            if found is not None:
                return found
            end = path.rfind("/", 0, end - 1) + 1
        return None

    def home_regions(self, host: str) -> frozenset[str]:
        """Return the regions that may run requests of a host; empty if some route allows all."""
        routes = self._hosts.get(host.partition(":")[0].lower(), {}).values()
        if not routes or any(not route.home_regions for route in routes):
            return frozenset()
        return frozenset().union(*(route.home_regions for route in routes))
