"""Data classes of a service document."""

from dataclasses import dataclass
from enum import StrEnum
from fnmatch import fnmatchcase
from functools import cached_property

from hibiscushaven.ini.fields import Endpoint

__all__ = [
    "AdminState",
    "Caller",
    "LinkCap",
    "Place",
    "RequestClass",
    "RequestSize",
    "Server",
    "ServiceDocument",
]


class RequestSize(StrEnum):
    """Expected duration of a class's requests: short, or many times longer."""

    SHORT = "short"
    LONG = "long"


class AdminState(StrEnum):
    """Whether a place or backend server accepts new work."""

    ACTIVE = "active"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """Requests of a service with the same limits and priority.

    :ivar path: glob pattern for the request's path.
    :ivar deadline_ms: maximum duration of a request.
    :ivar priority: requests of lower priorities are shed first.
    """

    name: str
    path: str
    methods: frozenset[str]
    is_idempotent: bool
    size: RequestSize
    deadline_ms: int
    priority: int

    @property
    def is_long(self) -> bool:
        return self.size is RequestSize.LONG

    def matches(self, method: str, path: str) -> bool:
        return method in self.methods and fnmatchcase(path, self.path)


@dataclass(frozen=True, slots=True)
class Place:
    """The part of a service in one failure domain.

    :ivar capacity: maximum number of requests in progress in the place.
    :ivar weight: the place's part of the service's traffic, relative to other places.
    """

    name: str
    region: str
    failure_domain: str
    capacity: int
    weight: float
    state: AdminState

    @property
    def is_leaving(self) -> bool:
        return self.state is AdminState.LEAVING


@dataclass(frozen=True, slots=True)
class Server:
    """A backend server.

    :ivar slots: maximum number of requests in progress on the server.
    :ivar connections: maximum number of connections to the server.
    """

    name: str
    place: str
    address: Endpoint
    slots: int
    connections: int
    state: AdminState

    @property
    def is_leaving(self) -> bool:
        return self.state is AdminState.LEAVING


@dataclass(frozen=True, slots=True)
class LinkCap:
    """Bandwidth cap of the link between two regions.

    :ivar mbit_s: cap on the sum of both directions, in Mbit/s.
    """

    regions: frozenset[str]
    mbit_s: float


@dataclass(frozen=True, slots=True)
class Caller:
    """A client of the service.

    :ivar token_sha256: SHA-256 digest of the caller's bearer token.
    :ivar share: weight of the caller against other callers under contention.
    """

    name: str
    token_sha256: str
    share: float


@dataclass(frozen=True)
class ServiceDocument:
    """Configuration of a service, written by the team that owns it.

    :ivar shift_cap: largest share of the service's traffic that moves to a place per interval.
    :ivar shift_interval_s: interval of ``shift_cap`` in seconds.
    :ivar lookup_ttl_s: time that a caller may cache the answer of a look-up.
    :ivar retry_budget: maximum number of retries, as a fraction of the requests.
    :ivar hedge_budget: maximum number of hedged attempts, as a fraction of the requests.
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
        """The longest deadline of the short classes, or of all classes if none is short."""
        times = [item.deadline_ms / 1000 for item in self.classes if not item.is_long]
        return max(times, default=self.longest_deadline_s)

    def classify(self, method: str, path: str) -> RequestClass | None:
        """Return the first class in the document's order that matches a request."""
        return next((item for item in self.classes if item.matches(method, path)), None)

    def class_named(self, name: str) -> RequestClass | None:
        return next((item for item in self.classes if item.name == name), None)

    def servers_of(self, place: str) -> tuple[Server, ...]:
        return tuple(server for server in self.servers if server.place == place)
