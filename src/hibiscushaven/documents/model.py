"""Data classes of a service document."""

from dataclasses import dataclass
from enum import StrEnum
from fnmatch import fnmatchcase
from functools import cached_property

from hibiscushaven.ini.fields import Endpoint

__all__ = [
    "Caller",
    "LinkCap",
    "Place",
    "RequestClass",
    "Server",
    "ServiceDocument",
    "Size",
    "State",
]


class Size(StrEnum):
    """Whether requests of a class are short, or many times longer."""

    SHORT = "short"
    LONG = "long"


class State(StrEnum):
    """Whether a place or backend server takes new work."""

    ACTIVE = "active"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """Requests of a service that are treated alike.

    :ivar path: glob that the path is matched with.
    :ivar deadline_ms: longest time that a request may take.
    :ivar priority: lower priorities are shed first.
    """

    name: str
    path: str
    methods: frozenset[str]
    is_idempotent: bool
    size: Size
    deadline_ms: int
    priority: int

    @property
    def is_long(self) -> bool:
        return self.size is Size.LONG

    def matches(self, method: str, path: str) -> bool:
        return method in self.methods and fnmatchcase(path, self.path)


@dataclass(frozen=True, slots=True)
class Place:
    """The part of a service in one failure domain.

    :ivar capacity: most requests in progress in the place.
    :ivar weight: share of the service's traffic, relative to other places.
    """

    name: str
    region: str
    failure_domain: str
    capacity: int
    weight: float
    state: State

    @property
    def is_leaving(self) -> bool:
        return self.state is State.LEAVING


@dataclass(frozen=True, slots=True)
class Server:
    """A backend server.

    :ivar slots: most requests in progress on it.
    :ivar connections: most connections to it.
    """

    name: str
    place: str
    address: Endpoint
    slots: int
    connections: int
    state: State

    @property
    def is_leaving(self) -> bool:
        return self.state is State.LEAVING


@dataclass(frozen=True, slots=True)
class LinkCap:
    """The cap of the link between two regions, both directions together, in Mbit/s."""

    regions: frozenset[str]
    mbit_s: float


@dataclass(frozen=True, slots=True)
class Caller:
    """A caller's credential and its share of the service when there is contention."""

    name: str
    token_sha256: str
    share: float


@dataclass(frozen=True)
class ServiceDocument:
    """What the owning team states about its service.

    :ivar shift_cap: most share of the service's traffic that moves to a place per interval.
    :ivar shift_interval_s: that interval.
    :ivar lookup_ttl_s: time that a caller may keep the answer of a look-up.
    :ivar retry_budget: retries as a share of requests.
    :ivar hedge_budget: hedged attempts as a share of requests.
    """

    name: str
    tenant: str
    team: str
    shift_cap: float
    shift_interval_s: float
    lookup_ttl_s: float
    retry_budget: float
    hedge_budget: float
    classes: tuple[RequestClass, ...]
    places: tuple[Place, ...]
    servers: tuple[Server, ...]
    links: tuple[LinkCap, ...]
    callers: tuple[Caller, ...]

    @cached_property
    def places_by_name(self) -> dict[str, Place]:
        return {place.name: place for place in self.places}

    @cached_property
    def places_by_domain(self) -> dict[str, Place]:
        return {place.failure_domain: place for place in self.places}

    @property
    def longest_deadline_s(self) -> float:
        return max(item.deadline_ms for item in self.classes) / 1000

    @property
    def longest_short_deadline_s(self) -> float:
        """The longest deadline of the short classes, or of all if none is short."""
        times = [item.deadline_ms / 1000 for item in self.classes if not item.is_long]
        return max(times, default=self.longest_deadline_s)

    def classify(self, method: str, path: str) -> RequestClass | None:
        """Return the first class that matches, in the document's order."""
        return next((item for item in self.classes if item.matches(method, path)), None)

    def class_named(self, name: str) -> RequestClass | None:
        return next((item for item in self.classes if item.name == name), None)

    def servers_of(self, place: str) -> tuple[Server, ...]:
        return tuple(server for server in self.servers if server.place == place)
