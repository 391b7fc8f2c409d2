"""What the documents allow in this failure domain, as pools of tokens."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from hibiscushaven.documents import Place, Server, ServiceDocument

from .homes import PLACE_POOL, Shard, shard_count

__all__ = ["Inventory", "ServiceInventory", "settled_document_s"]

# Time after which an accepted document is in force on every VM.
_DOCUMENT_SPREAD_S = 5.0

# A place token is needed for each request, so more than this many are never in use at once.
_PLACE_TOKENS_MAX = 16_384


def settled_document_s(longest_deadline_s: float) -> float:
    """Return how long a backend server that came from another failure domain is kept back."""
    return _DOCUMENT_SPREAD_S + longest_deadline_s


@dataclass(frozen=True)
class ServiceInventory:
    """A service in this failure domain.

    :ivar slots: tokens by pool; one pool per backend server's address, one for the place.
    """

    service: str
    longest_deadline_s: float
    place: Place | None = None
    servers: Mapping[str, Server] = field(default_factory=dict)
    slots: Mapping[str, int] = field(default_factory=dict)
    shards: Mapping[str, Shard] = field(default_factory=dict)

    @classmethod
    def of(cls, document: ServiceDocument, domain: str) -> "ServiceInventory":
        longest = document.longest_deadline_s
        place = document.places_by_domain.get(domain)
        if place is None:
            return cls(document.name, longest)
        servers = sorted(document.servers_of(place.name), key=lambda server: server.name)
        slots = {str(server.address): server.slots for server in servers}
        total = sum(slots.values())
        slots[PLACE_POOL] = min(place.capacity, total, _PLACE_TOKENS_MAX)
        count = shard_count(len(servers))
        shards = {
            server.name: Shard(document.name, number * count // len(servers))
            for number, server in enumerate(servers)
        }
        by_name = {server.name: server for server in servers}
        return cls(document.name, longest, place, by_name, slots, shards)

    def pool_of(self, server: str) -> str | None:
        """Return the pool of a backend server that takes new work, ``None`` otherwise."""
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
    """All services, with the backend servers that moved here from another failure domain.

    Explanation
    ===========

    The homes of two failure domains do not know of each other. A backend server that moves
    between them is used here only when the document is in force everywhere and work
    that its former owner started has ended.
    """

    def __init__(self, domain: str) -> None:
        self._domain = domain
        self._services: dict[str, ServiceInventory] = {}
        self._documents: dict[str, ServiceDocument] = {}
        self._shards: frozenset[Shard] = frozenset()
        self._elsewhere: dict[tuple[str, str], None] = {}
        self._moved: dict[tuple[str, str], float | None] = {}
        self._longest: dict[str, float] = {}
        self._longest_short: dict[str, float] = {}

    @property
    def services(self) -> Mapping[str, ServiceInventory]:
        return self._services

    @property
    def shards(self) -> frozenset[Shard]:
        """The shards of all services in this failure domain."""
        return self._shards

    def set_documents(self, documents: Mapping[str, ServiceDocument]) -> None:
        """Take the documents in force; those that did not change cost nothing."""
        changed = {
            name: document
            for name, document in documents.items()
            if self._documents.get(name) is not document
        }
        if not changed and documents.keys() == self._documents.keys():
            return
        for name, document in changed.items():
            self._note_moves(document)
            longest = document.longest_deadline_s
            self._longest[name] = max(longest, self._longest.get(name, 0.0))
            short = document.longest_short_deadline_s
            self._longest_short[name] = max(short, self._longest_short.get(name, 0.0))
        self._services = {
            name: (
                ServiceInventory.of(document, self._domain)
                if name in changed
                else self._services[name]
            )
            for name, document in documents.items()
        }
        self._documents = dict(documents)
        self._shards = frozenset(
            shard for item in self._services.values() for shard in item.shards.values()
        )

    def longest_s(self, service: str) -> float:
        """Return the longest deadline that any revision seen allowed."""
        return self._longest.get(service, 0.0)

    def longest_short_s(self, service: str) -> float:
        """Return the longest deadline of short work that any revision seen allowed."""
        return self._longest_short.get(service, 0.0)

    def slots(self, now: float, service: str) -> Mapping[str, int]:
        """Return the tokens by pool that may be lent and used now."""
        item = self._services.get(service)
        if item is None:
            return {}
        if not self._moved:
            return item.slots
        return {
            pool: count
            for pool, count in item.slots.items()
            if not self._is_held(now, service, pool)
        }

    def _is_held(self, now: float, service: str, pool: str) -> bool:
        key = (service, pool)
        if key not in self._moved:
            return False
        until = self._moved[key]
        if until is None:
            until = self._moved[key] = now + settled_document_s(self.longest_s(service))
        if now >= until:
            del self._moved[key]
            return False
        return True

    def has_held(self, service: str) -> bool:
        return any(key[0] == service for key in self._moved)

    def _note_moves(self, document: ServiceDocument) -> None:
        place = document.places_by_domain.get(self._domain)
        for server in document.servers:
            key = (document.name, str(server.address))
            if place is None or server.place != place.name:
                self._elsewhere[key] = None
                self._moved.pop(key, None)
            elif key in self._elsewhere:
                del self._elsewhere[key]
                self._moved[key] = None
