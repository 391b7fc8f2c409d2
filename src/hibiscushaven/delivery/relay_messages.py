"""Messages for requests that one VM relays to another."""

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
# A quarter of the window, so that credit is returned while other chunks are in transit.
CHUNK_BYTES = 64 * 1024
MAX_REQUEST_BODY_BYTES = 1024 * 1024
# Origin to gateway of the other failure domain, gateway to owner, and one more hop while the
# owner changes.
MAX_HOPS = 3


@message("relay-request")
@dataclass(frozen=True, slots=True)
class RelayRequest(Message):
    """A request of a caller on its way to the owner of a shard.

    :ivar target: path and query as the caller sent them.
    :ivar attributes: additional values for the VMs that handle the request.
    :ivar exchange: number of the request on its connection, set by ``RelayClient``.
    :ivar remaining_ms: time to the deadline, set by ``RelayClient`` on sending.
    :ivar hops: number of times the request has been sent to another VM, set by ``RelayClient``.
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
    """A part of the body of at most ``CHUNK_BYTES``."""

    exchange: int
    data: bytes


@message("relay-end")
@dataclass(frozen=True, slots=True)
class RelayEnd(Message):
    """Reports that the body is complete.

    :ivar length: length of the complete body in bytes.
    """

    exchange: int
    length: int


@message("relay-failure")
@dataclass(frozen=True, slots=True)
class RelayFailure(Message):
    """Reports that there is no complete response.

    :ivar outcome: value of an ``Outcome``.
    """

    exchange: int
    outcome: str
    reason: str
    retry_after_s: float | None


@message("relay-cancel")
@dataclass(frozen=True, slots=True)
class RelayCancel(Message):
    """Cancels a request whose response is no longer needed."""

    exchange: int


@message("relay-credit")
@dataclass(frozen=True, slots=True)
class RelayCredit(Message):
    """Extends the window by bytes that the reader has consumed.

    :ivar amount: number of bytes.
    """

    exchange: int
    amount: int


@message("relay-pending")
@dataclass(frozen=True, slots=True)
class RelayPending(Message):
    """Keep-alive of the server: requests of a connection that are still in progress."""

    exchanges: tuple[int, ...]


@message("relay-waiting")
@dataclass(frozen=True, slots=True)
class RelayWaiting(Message):
    """Keep-alive of the client: requests of a connection that still await their response."""

    exchanges: tuple[int, ...]
