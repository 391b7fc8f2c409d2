"""Messages of requests that one VM relays to another."""

from dataclasses import dataclass, field

from hibiscushaven.peers import Message, message

from .headers import Headers

__all__ = [
    "CHUNK_BYTES",
    "MAX_HOPS",
    "MAX_REQUEST_BODY_BYTES",
    "WINDOW_BYTES",
    "RelayCancel",
    "RelayChunk",
    "RelayCredit",
    "RelayEnd",
    "RelayFailure",
    "RelayHead",
    "RelayPending",
    "RelayRequest",
    "RelayWaiting",
]

WINDOW_BYTES = 256 * 1024
# A quarter of the window, so that credit is given while the rest is on its way.
CHUNK_BYTES = 64 * 1024
MAX_REQUEST_BODY_BYTES = 1024 * 1024
# Origin, gateway of the other failure domain, owner, and one more while the owner changes.
MAX_HOPS = 3


@message("relay-request")
@dataclass(frozen=True, slots=True)
class RelayRequest(Message):
    """A request of a caller on its way to the owner of a shard.

    :ivar target: path and query as the caller sent them.
    :ivar attributes: further facts that the VMs on the way need.
    :ivar exchange: number of the request on its connection, set by ``RelayClient``.
    :ivar remaining_ms: time left, set by ``RelayClient`` when it sends.
    :ivar hops: number of VMs that sent it on so far, set by ``RelayClient``.
    """

    service: str
    place: str
    tenant: str
    caller: str
    request_id: str
    method: str
    target: str
    headers: Headers = ()
    body: bytes = field(default=b"", repr=False)
    attributes: Headers = ()
    exchange: int = 0
    remaining_ms: int = 0
    hops: int = 0


@message("relay-head")
@dataclass(frozen=True, slots=True)
class RelayHead(Message):
    """Status and headers of the response."""

    exchange: int
    status: int
    headers: Headers


@message("relay-chunk")
@dataclass(frozen=True, slots=True)
class RelayChunk(Message):
    """A part of the body, of at most ``CHUNK_BYTES``."""

    exchange: int
    data: bytes


@message("relay-end")
@dataclass(frozen=True, slots=True)
class RelayEnd(Message):
    """The body is complete.

    :ivar length: bytes of the whole body.
    """

    exchange: int
    length: int


@message("relay-failure")
@dataclass(frozen=True, slots=True)
class RelayFailure(Message):
    """There is no complete response."""

    exchange: int
    outcome: str
    reason: str
    retry_after_s: float | None


@message("relay-cancel")
@dataclass(frozen=True, slots=True)
class RelayCancel(Message):
    """The caller went away."""

    exchange: int


@message("relay-credit")
@dataclass(frozen=True, slots=True)
class RelayCredit(Message):
    """The reader took so many bytes; as many more may be sent."""

    exchange: int
    amount: int


@message("relay-pending")
@dataclass(frozen=True, slots=True)
class RelayPending(Message):
    """The requests of a connection that the serving side still works on."""

    exchanges: tuple[int, ...]


@message("relay-waiting")
@dataclass(frozen=True, slots=True)
class RelayWaiting(Message):
    """The requests of a connection that the requesting side still waits for."""

    exchanges: tuple[int, ...]
