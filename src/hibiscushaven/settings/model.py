"""Data classes of the settings of one VM."""

from dataclasses import dataclass
from enum import StrEnum

from hibiscushaven.ini.fields import Endpoint

__all__ = [
    "Limits",
    "LogFormat",
    "LogSettings",
    "PeerSettings",
    "PlatformSettings",
    "Settings",
    "VmSettings",
]


class LogFormat(StrEnum):
    """Form of the log lines."""

    JSON = "json"
    TEXT = "text"


@dataclass(frozen=True, slots=True)
class VmSettings:
    """Who a VM is and where it listens."""

    name: str
    region: str
    failure_domain: str
    host: str
    http_port: int
    peer_port: int

    @property
    def http_endpoint(self) -> Endpoint:
        return Endpoint(self.host, self.http_port)

    @property
    def peer_endpoint(self) -> Endpoint:
        return Endpoint(self.host, self.peer_port)


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """Where the platform is.

    :ivar timeout_s: time after which a call counts as unanswered, in seconds.
    """

    url: str
    timeout_s: float


@dataclass(frozen=True, slots=True)
class PeerSettings:
    """Peers that a starting VM asks first; the platform's list names the others."""

    seeds: tuple[Endpoint, ...]


@dataclass(frozen=True, slots=True)
class LogSettings:
    """What is logged, and how."""

    level: str
    format: LogFormat


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits of a VM.

    :ivar max_body_bytes: largest request body, which is buffered.
    :ivar max_callers: most requests of callers in progress.
    """

    max_body_bytes: int
    max_callers: int


@dataclass(frozen=True, slots=True)
class Settings:
    """All settings of one VM."""

    vm: VmSettings
    platform: PlatformSettings
    peers: PeerSettings
    log: LogSettings
    limits: Limits
