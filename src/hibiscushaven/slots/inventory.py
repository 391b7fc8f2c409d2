"""Pools of tokens that the documents define in this failure domain."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from hibiscushaven.documents import Place, Server, ServiceDocument

from .homes import PLACE_POOL, Shard, shard_count

__all__ = ["Inventory", "ServiceInventory", "moved_server_hold_s"]

# Time within which an accepted document takes effect on every VM.
_DOCUMENT_PROPAGATION_S = 5.0

# Each request needs a place token, so this also limits the requests in progress in a place.
_MAX_PLACE_TOKENS = 16_384


def moved_server_hold_s(longest_deadline_s: float) -> float:
    """Return how long a backend server from another failure domain is held back."""
    return _DOCUMENT_PROPAGATION_S + longest_deadline_s


@dataclass(frozen=True)
class ServiceInventory:
    """A service's backend servers and tokens in this failure domain.

    :ivar slots: tokens by pool; one pool per backend server address and one for the place.
    """

    service: str
    longest_deadline_s: float
    place: Place | None = None
    servers: Mapping[str, Server] = field(default_factory=dict)
    slots: Mapping[str, int] = field(default_factory=dict)
    shards: Mapping[str, Shard] = field(default_factory=dict)

    @classmethod
    def from_document(cls, document: ServiceDocument, domain: str) -> "ServiceInventory":
        longest = document.longest_deadline_s
        place = document.places_by_domain.get(domain)
        if place is None:
            return cls(document.name, longest)
        servers = sorted(document.servers_of(place.name), key=lambda server: server.name)
        slots = {str(server.address): server.slots for server in servers}
        total = sum(slots.values())
        slots[PLACE_POOL] = min(place.capacity, total, _MAX_PLACE_TOKENS)
        count = shard_count(len(servers))
        shards = {
            server.name: Shard(document.name, number * count // len(servers))
            for number, server in enumerate(servers)
        }
        by_name = {server.name: server for server in servers}
        return cls(document.name, longest, place, by_name, slots, shards)

    def pool_of(self, server: str) -> str | None:
        """Return the pool of a backend server that accepts new requests, ``None`` otherwise."""
        item = self.servers.get(server)
        if item is None or item.is_leaving or self.place is None or self.place.is_leaving:
            return None
        return str(item.address)

    def pools_of(self, shards: frozenset[Shard]) -> frozenset[str]:
        """Return the pools that the owner of these shards needs."""
        pools = {
            str(self.servers[name].address) for name, item in self.shards.items() if item in shards
        }
        return frozenset(pools | {PLACE_POOL}) if pools else frozenset()


class Inventory:
    """All services, including backend servers that moved here from another failure domain.

    Explanation
    ===========

    The token homes of two failure domains do not coordinate. A backend server that moves
    between them is therefore held back here until the document is in force everywhere and
    requests that its former owner started have ended.
    """

    def __init__(self, domain: str) -> None:
        self._domain = domain
        self._services: dict[str, ServiceInventory] = {}
        self._documents: dict[str, ServiceDocument] = {}
        self._shards: frozenset[Shard] = frozenset()
        self._in_other_domain: dict[tuple[str, str], None] = {}
        self._held_back_until: dict[tuple[str, str], float | None] = {}
        self._longest_deadlines_s: dict[str, float] = {}
        self._longest_short_deadlines_s: dict[str, float] = {}

    @property
    def services(self) -> Mapping[str, ServiceInventory]:
        return self._services

    @property
    def shards(self) -> frozenset[Shard]:
        """The shards of all services in this failure domain."""
        return self._shards

    def set_documents(self, documents: Mapping[str, ServiceDocument]) -> None:
        """Set the documents in force; unchanged documents are not processed again."""
        changed = {
            name: document
            for name, document in documents.items()
            if self._documents.get(name) is not document
        }
        if not changed and documents.keys() == self._documents.keys():
            return
        for name, document in changed.items():
            self._record_moves(document)
            longest = document.longest_deadline_s
            self._longest_deadlines_s[name] = max(longest, self._longest_deadlines_s.get(name, 0.0))
            short = document.longest_short_deadline_s
            self._longest_short_deadlines_s[name] = max(
                short, self._longest_short_deadlines_s.get(name, 0.0)
            )
        self._services = {
            name: (
                ServiceInventory.from_document(document, self._domain)
                if name in changed
                else self._services[name]
            )
            for name, document in documents.items()
        }
        self._documents = dict(documents)
        self._shards = frozenset(
            shard for item in self._services.values() for shard in item.shards.values()
        )

    def longest_deadline_s(self, service: str) -> float:
        """Return the longest deadline that any revision known so far allowed."""
        return self._longest_deadlines_s.get(service, 0.0)

    def longest_short_deadline_s(self, service: str) -> float:
        """Return the longest deadline of short work that any revision known so far allowed."""
        return self._longest_short_deadlines_s.get(service, 0.0)

    def slots(self, now: float, service: str) -> Mapping[str, int]:
        """Return the tokens by pool that may be lent and used now."""
        item = self._services.get(service)
        if item is None:
            return {}
        if not self._held_back_until:
            return item.slots
        return {
            pool: count
            for pool, count in item.slots.items()
            if not self._is_held_back(now, service, pool)
        }

    def _is_held_back(self, now: float, service: str, pool: str) -> bool:
        key = (service, pool)
        if key not in self._held_back_until:
            return False
        until = self._held_back_until[key]
        if until is None:
            until = self._held_back_until[key] = now + moved_server_hold_s(
                self.longest_deadline_s(service)
            )
        if now >= until:
            del self._held_back_until[key]
            return False
        return True

    def has_held_back(self, service: str) -> bool:
        """Return whether a backend server of a service may be held back."""
        return any(key[0] == service for key in self._held_back_until)

    def _record_moves(self, document: ServiceDocument) -> None:
        place = document.places_by_domain.get(self._domain)
        for server in document.servers:
            key = (document.name, str(server.address))
            if place is None or server.place != place.name:
                self._in_other_domain[key] = None
                self._held_back_until.pop(key, None)
            elif key in self._in_other_domain:
                del self._in_other_domain[key]
                self._held_back_until[key] = None
