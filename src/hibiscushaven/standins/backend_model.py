"""Settings, faults and counters of the backend stand-in."""

import hashlib
import re
from collections import Counter, deque
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any
from urllib.parse import parse_qsl, urlsplit

__all__ = [
    "BackendConfig",
    "BackendFaults",
    "Counters",
    "SeenRequest",
    "StopKind",
    "Work",
    "run_key",
]

_SEEN_REQUESTS = 256
_PATH_NUMBER = re.compile(r"/(ms|bytes)-(\d+)(?=/|$)")


class StopKind(StrEnum):
    """How a response goes wrong once some bytes of its body were sent."""

    TRUNCATE = "truncate"
    RESET = "reset"
    STALL = "stall"


@dataclass(frozen=True, slots=True)
class BackendConfig:
    """One backend server.

    :ivar service_ms: time that a request takes unless its target says otherwise.
    :ivar body_bytes: size of a response unless the target says otherwise.
    :ivar connect_ms: time that each new connection takes; connections wait for each other.
    :ivar cold_requests: number of first requests that take ``cold_factor`` times longer.
    :ivar stops_on_disconnect: stop a request whose connection closed; without it, the
        request runs on to its end or deadline, as it does in many servers.
    """

    slots: int = 4
    connections: int = 800
    service_ms: float = 0.0
    body_bytes: int = 64
    connect_ms: float = 1.0
    cold_requests: int = 0
    cold_factor: float = 5.0
    stops_on_disconnect: bool = False


@dataclass(slots=True)
class BackendFaults:
    """Faults of a backend server, set by tests and by ``POST /-/faults``.

    :ivar is_draining: refuse new requests as not run and report ``draining``.
    :ivar is_shedding: refuse new requests as not run.
    :ivar slow_factor: factor of service times, for a slow phase.
    :ivar load_lag_s: age of load reports.
    :ivar load_lie: number in progress that load reports give instead of the true one.
    :ivar ignores_cancel: confirm cancellations and run on.
    :ivar wrong_ids: number of coming responses with another ``Attempt-Id``.
    :ivar unanswered: number of coming requests that run and whose connection is then closed.
    :ivar stops: what happens to coming responses: pairs of a ``StopKind`` and the number of
        bytes sent before.
    :ivar crash_on: requests whose target contains this text crash the server.
    :ivar crash_s: time that a crashed server refuses connections.
    :ivar content_version: part of the entity tags; a change stands for changed bodies.
    """

    is_draining: bool = False
    is_shedding: bool = False
    slow_factor: float = 1.0
    load_lag_s: float = 0.0
    load_lie: int | None = None
    ignores_cancel: bool = False
    wrong_ids: int = 0
    unanswered: int = 0
    stops: list[tuple[str, int]] = field(default_factory=list)
    crash_on: str = ""
    crash_s: float = 1.0
    content_version: int = 1


@dataclass(frozen=True, slots=True)
class SeenRequest:
    """A request as it arrived."""

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    connection: int


@dataclass(slots=True)
class Counters:
    """What a backend server saw.

    :ivar runs: number of runs per ``Idempotency-Key``, or per fingerprint without one.
    """

    in_progress: int = 0
    max_in_progress: int = 0
    started: int = 0
    finished: int = 0
    refused: int = 0
    late: int = 0
    cancelled: int = 0
    crashes: int = 0
    body_bytes: int = 0
    runs: Counter[str] = field(default_factory=Counter)
    seen: deque[SeenRequest] = field(default_factory=lambda: deque(maxlen=_SEEN_REQUESTS))

    def start(self, key: str) -> None:
        self.started += 1
        self.runs[key] += 1
        self.in_progress += 1
        self.max_in_progress = max(self.max_in_progress, self.in_progress)

    def to_json(self) -> dict[str, Any]:
        names = (name for name in self.__slots__ if name not in ("runs", "seen"))
        return {name: getattr(self, name) for name in names} | {"runs": dict(self.runs)}


@dataclass(frozen=True, slots=True)
class Work:
    """What a request asks for, from its path or query.

    Examples
    ========

    >>> work = Work.parse("/stock/ms-20/bytes-1000?chunked=1", BackendConfig())
    >>> work.service_ms, work.body_bytes, work.is_chunked
    (20.0, 1000, True)

    :ivar is_held: wait until the test lets the request go on.
    """

    path: str
    service_ms: float
    body_bytes: int
    status: int
    is_chunked: bool
    is_held: bool
    stop: tuple["StopKind", int] | None

    @classmethod
    def parse(cls, target: str, config: BackendConfig) -> "Work":
        parts = urlsplit(target)
        options = dict(_PATH_NUMBER.findall(parts.path)) | dict(parse_qsl(parts.query))
        stop = options.get("stop")
        return cls(
            parts.path,
            float(options.get("ms", config.service_ms)),
            int(options.get("bytes", config.body_bytes)),
            int(options.get("status", 200)),
            "chunked" in options,
            "hold" in options,
            None if stop is None else (StopKind(stop), int(options.get("stop_at", 0))),
        )


def run_key(method: str, target: str, body: bytes, idempotency_key: str | None) -> str:
    """Return what runs are counted by."""
    if idempotency_key is not None:
        return idempotency_key
    return hashlib.sha256(f"{method} {target}\n".encode() + body).hexdigest()[:32]
