"""Configuration of a deployment: routes, services and limits on callers."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum

__all__ = [
    "CallerLimits",
    "Configuration",
    "RequestKind",
    "Route",
    "ServiceOptions",
    "SplitPart",
]


class RequestKind(StrEnum):
    """What may happen to a request of a route.

    Examples
    ========

    >>> RequestKind.UNSAFE.is_idempotent, RequestKind.DOWNLOAD.is_idempotent
    (False, True)

    """

    SAFE = "safe"
    UNSAFE = "unsafe"
    DOWNLOAD = "download"

    @property
    def is_idempotent(self) -> bool:
        return self is not RequestKind.UNSAFE


@dataclass(frozen=True, slots=True)
class SplitPart:
    """A service that takes a part of a route's requests, in proportion to its weight."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Where the requests of a host and path prefix go.

    :ivar prefix: begins and ends with a slash.
    :ivar parts: services of the route; one unless the route is split.
    :ivar timeout_s: longest time that a request may take.
    :ivar objective_s: time within which an answer has its full value to the caller.
    :ivar max_attempts: most backend servers that one request may be sent to.
    :ivar priority: 0 is the most urgent.
    :ivar is_sticky: whether backend servers are faster with objects that they know.
    :ivar home_regions: the only regions that may run its requests; empty if all may.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    parts: tuple[SplitPart, ...]
    timeout_s: float
    objective_s: float
    max_attempts: int = 1
    priority: int = 0
    is_sticky: bool = False
    home_regions: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class ServiceOptions:
    """What holds for all backend servers of a service.

    :ivar warmup_s: time that a backend server stays cold after a start.
    :ivar warmup_per_s: requests a second that a cold backend server bears.
    """

    name: str
    health_path: str = "/health"
    max_connections: int = 64
    warmup_s: float = 0.0
    warmup_per_s: float = 0.0


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """What a caller may send, and for how long it may be idle; sizes in bytes."""

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 64 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the configuration; a higher version replaces it."""

    version: int
    routes: tuple[Route, ...] = ()
    services: Mapping[str, ServiceOptions] = field(default_factory=dict)
    limits: CallerLimits = CallerLimits()
