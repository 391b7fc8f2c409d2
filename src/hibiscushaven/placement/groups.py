"""Backend servers that may receive requests, by service and region."""

from collections.abc import Mapping

from hibiscushaven.discovery import KnownServer, Registry

__all__ = ["ServerGroups"]


class ServerGroups:
    """Registered servers that are neither leaving nor in an evacuated failure domain.

    Explanation
    ===========

    The groups are cached until the registry, the regions or the evacuated failure domains change,
    since they are looked up for each request.

    :param regions: region by failure domain; servers of other failure domains receive no requests.
    """

    def __init__(self, registry: Registry, regions: Mapping[str, str]) -> None:
        self._registry = registry
        self._regions = regions
        self._evacuated: frozenset[str] = frozenset()
        self._by_service: dict[str, dict[str, tuple[KnownServer, ...]]] = {}
        self._revision = -1

    def set_regions(self, regions: Mapping[str, str]) -> None:
        """Replace the mapping of failure domains to regions."""
        self._regions = regions
        self._by_service = {}

    def set_evacuated(self, failure_domains: frozenset[str]) -> None:
        """Exclude the servers of these failure domains."""
        self._evacuated = failure_domains
        self._by_service = {}

    def of_service(self, service: str) -> Mapping[str, tuple[KnownServer, ...]]:
        """Return the usable servers of a service by region."""
        if self._registry.revision != self._revision:
            self._by_service = {}
            self._revision = self._registry.revision
        groups = self._by_service.get(service)
        if groups is None:
            groups = self._by_service[service] = self._group_by_region(service)
        return groups

    def _group_by_region(self, service: str) -> dict[str, tuple[KnownServer, ...]]:
        groups: dict[str, list[KnownServer]] = {}
        for server in self._registry.of_service(service):
            domain = server.record.failure_domain
            region = self._regions.get(domain)
            is_excluded = server.record.is_leaving or domain in self._evacuated
            if region is not None and not is_excluded:
                groups.setdefault(region, []).append(server)
        return {region: tuple(servers) for region, servers in groups.items()}
