"""Configuration of a deployment: routes, services and limits on callers' requests."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum

__all__ = [
    "CallerLimits",
    "Configuration",
    "RequestKind",
    "Route",
    "ServiceOptions",
    "WeightedService",
]


class RequestKind(StrEnum):
    """Kind of the requests of a route, which determines whether they may be retried.

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
        """Whether a request may be executed more than once."""
        return self is not RequestKind.UNSAFE


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A service that receives a share of the requests of a route, in proportion to its weight."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Services and limits for the requests of a host and path prefix.

    :ivar prefix: begins and ends with a slash.
    :ivar weighted_services: services of the route; more than one if its traffic is split.
    :ivar timeout_s: upper limit of a request's duration, retries included.
    :ivar objective_s: latency objective: a response within this time has its full value to the
        caller.
    :ivar max_attempts: upper limit of the backend servers that one request may be sent to.
    :ivar priority: 0 is the most urgent.
    :ivar is_sticky: whether backend servers process a request faster if they have its object in
        their cache.
    :ivar home_regions: the only regions that may process its requests; empty if all may.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    weighted_services: tuple[WeightedService, ...]
    timeout_s: float
    objective_s: float
    max_attempts: int = 1
    priority: int = 0
    is_sticky: bool = False
    home_regions: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class ServiceOptions:
    """Options that apply to all backend servers of a service.

    :ivar warmup_s: time for which a backend server is cold after its start.
    :ivar warmup_per_s: requests per second that a cold backend server can process.
    """

    name: str
    health_path: str = "/health"
    max_connections: int = 64
    warmup_s: float = 0.0
    warmup_per_s: float = 0.0


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the size of callers' requests and on the time that their connections may idle."""

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 64 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the configuration, replaced by any higher version."""

    version: int
    routes: tuple[Route, ...] = ()
    services: Mapping[str, ServiceOptions] = field(default_factory=dict)
    limits: CallerLimits = CallerLimits()
