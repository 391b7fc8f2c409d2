"""Backend servers that may get requests, by service and region."""

from collections.abc import Mapping

from hibiscushaven.discovery import KnownServer, Registry

__all__ = ["ServerGroups"]


class ServerGroups:
    """Servers of the registry that neither leave nor are evacuated.

    Explanation
    ===========

    Groups are kept until the registry or the evacuated failure domains change, since each
    request asks for one.

    :param regions: region by failure domain; servers of other failure domains get nothing.
    """

    def __init__(self, registry: Registry, regions: Mapping[str, str]) -> None:
        self._registry = registry
        self._regions = regions
        self._evacuated: frozenset[str] = frozenset()
        self._found: dict[str, dict[str, tuple[KnownServer, ...]]] = {}
        self._revision = -1

    def set_regions(self, regions: Mapping[str, str]) -> None:
        """Use changed regions of the failure domains."""
        self._regions = regions
        self._found = {}

    def set_evacuated(self, failure_domains: frozenset[str]) -> None:
        """Leave out the servers of these failure domains."""
        self._evacuated = failure_domains
        self._found = {}

    def of_service(self, service: str) -> Mapping[str, tuple[KnownServer, ...]]:
        """Return the servers of a service by region."""
        if self._registry.revision != self._revision:
            self._found = {}
            self._revision = self._registry.revision
        found = self._found.get(service)
        if found is None:
            found = self._found[service] = self._find(service)
        return found

    def _find(self, service: str) -> dict[str, tuple[KnownServer, ...]]:
        groups: dict[str, list[KnownServer]] = {}
        for server in self._registry.of_service(service):
            domain = server.record.failure_domain
            region = self._regions.get(domain)
            is_out = server.record.is_leaving or domain in self._evacuated
            if region is not None and not is_out:
                groups.setdefault(region, []).append(server)
        return {region: tuple(servers) for region, servers in groups.items()}
