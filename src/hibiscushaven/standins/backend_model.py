"""Settings, faults, request options and counters of the backend stand-in."""

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
    "BodyFault",
    "Counters",
    "RecordedRequest",
    "RequestOptions",
    "run_key",
]

_MAX_RECORDED_REQUESTS = 256
_PATH_OPTION = re.compile(r"/(ms|bytes)-(\d+)(?=/|$)")


class BodyFault(StrEnum):
    """How a response fails after a part of its body was sent.

    ``TRUNCATE`` closes the connection, ``RESET`` resets it, ``STALL`` leaves it open and sends
    nothing more.
    """

    TRUNCATE = "truncate"
    RESET = "reset"
    STALL = "stall"


@dataclass(frozen=True, slots=True)
class BackendConfig:
    """Settings of a backend server.

    :ivar slots: most requests in progress; further ones are refused as not run.
    :ivar connections: most open connections; further ones are reset.
    :ivar service_ms: service time of a request unless its target sets another.
    :ivar body_bytes: size of a response body unless the target sets another.
    :ivar connect_ms: time to set up a new connection; connections are set up one at a time.
    :ivar cold_requests: number of requests after a start that are slower by ``cold_factor``.
    :ivar stops_on_disconnect: cancel a request whose connection closed; if false, it runs to its
        end or deadline, as in many servers.
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

    :ivar is_draining: refuse new requests as not run and report the state ``draining``.
    :ivar is_shedding: refuse new requests as not run.
    :ivar slow_factor: factor by which service times are multiplied.
    :ivar load_lag_s: age of the load that reports state.
    :ivar load_lie: number of requests in progress to report in place of the true one.
    :ivar ignores_cancel: confirm cancellations but continue the requests.
    :ivar wrong_ids: number of following responses that carry a wrong ``Attempt-Id``.
    :ivar unanswered: number of following requests that run and get no response: their connection
        is closed.
    :ivar stops: faults of the following responses, one each: pairs of a ``BodyFault`` and the
        number of body bytes sent before it.
    :ivar crash_on: a request whose target contains this text crashes the server; empty for none.
    :ivar crash_s: time for which a crashed server refuses connections.
    :ivar content_version: part of the entity tags; a new value simulates changed bodies.
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
class RecordedRequest:
    """A request as received.

    :ivar connection: number of its connection, counted from 1.
    """

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    connection: int


@dataclass(slots=True)
class Counters:
    """Counts of the requests that a backend server received.

    :ivar late: requests refused because ``Start-By`` had passed.
    :ivar cancelled: cancellations received for requests in progress.
    :ivar body_bytes: bytes of response bodies sent.
    :ivar runs: number of runs per ``Idempotency-Key``, or per fingerprint without one.
    :ivar seen: the last requests received, refused ones and control requests included.
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
    seen: deque[RecordedRequest] = field(
        default_factory=lambda: deque(maxlen=_MAX_RECORDED_REQUESTS)
    )

    def start(self, key: str) -> None:
        self.started += 1
        self.runs[key] += 1
        self.in_progress += 1
        self.max_in_progress = max(self.max_in_progress, self.in_progress)

    def to_json(self) -> dict[str, Any]:
        names = (name for name in self.__slots__ if name not in ("runs", "seen"))
        return {name: getattr(self, name) for name in names} | {"runs": dict(self.runs)}


@dataclass(frozen=True, slots=True)
class RequestOptions:
    """How the stand-in processes a request, from path segments like ``ms-20`` and the query.

    Examples
    ========

    >>> options = RequestOptions.parse("/stock/ms-20/bytes-1000?chunked=1", BackendConfig())
    >>> options.service_ms, options.body_bytes, options.is_chunked
    (20.0, 1000, True)

    :ivar is_held: wait until ``BackendStandIn.release_held_requests`` is called.
    :ivar body_fault: fault of the response and the number of body bytes sent before it.
    """

    path: str
    service_ms: float
    body_bytes: int
    status: int
    is_chunked: bool
    is_held: bool
    body_fault: tuple["BodyFault", int] | None

    @classmethod
    def parse(cls, target: str, config: BackendConfig) -> "RequestOptions":
        parts = urlsplit(target)
        values = dict(_PATH_OPTION.findall(parts.path)) | dict(parse_qsl(parts.query))
        body_fault = values.get("stop")
        return cls(
            parts.path,
            float(values.get("ms", config.service_ms)),
            int(values.get("bytes", config.body_bytes)),
            int(values.get("status", 200)),
            "chunked" in values,
            "hold" in values,
            None if body_fault is None else (BodyFault(body_fault), int(values.get("stop_at", 0))),
        )


def run_key(method: str, target: str, body: bytes, idempotency_key: str | None) -> str:
    """Return the key under which a run is counted: the idempotency key or a fingerprint."""
    if idempotency_key is not None:
        return idempotency_key
    return hashlib.sha256(f"{method} {target}\n".encode() + body).hexdigest()[:32]
