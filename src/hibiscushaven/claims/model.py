"""Data classes of claims, and the encoding of their rows in the table."""

from dataclasses import dataclass
from enum import StrEnum

import msgpack

from hibiscushaven.outcomes import Outcome

from .fingerprint import claim_key

__all__ = [
    "MAX_RESPONSE_BYTES",
    "RETENTION_S",
    "ClaimRequest",
    "ClaimRow",
    "Holder",
    "Outcome",
    "RecordedResponse",
    "Replay",
    "RowError",
    "RowState",
    "recordable_response",
]

MAX_RESPONSE_BYTES = 16 * 1024
RETENTION_S = 7 * 24 * 3600.0


class RowError(Exception):
    """A value in the table that cannot be decoded as a claim row."""


class RowState(StrEnum):
    """State of a claim; its row in the table contains the value."""

    ACQUIRED = "held"
    RELEASED = "released"
    DONE = "done"


@dataclass(frozen=True, slots=True)
class ClaimRequest:
    """Identity of the request to claim.

    :ivar key: value of the caller's ``Idempotency-Key`` header.
    :ivar fingerprint: digest of the request, see :func:`request_fingerprint`.
    """

    service: str
    tenant: str
    caller: str
    key: str
    fingerprint: str

    @property
    def row_key(self) -> str:
        return claim_key(self.service, self.tenant, self.caller, self.key)


@dataclass(frozen=True, slots=True)
class RecordedResponse:
    """A complete response that is returned to resends of its request."""

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""

    @property
    def size(self) -> int:
        """Size of the body and the headers in bytes."""
        return len(self.body) + sum(len(name) + len(value) for name, value in self.headers)


@dataclass(frozen=True, slots=True)
class Replay:
    """The recorded result of an earlier run of the same request.

    :ivar response: the response, or ``None`` if it was too large to record or never arrived.
    :ivar status: HTTP status of the response; 0 if there was none.
    """

    outcome: Outcome
    status: int
    response: RecordedResponse | None


@dataclass(frozen=True, slots=True)
class Holder:
    """Unique id of an attempt: the daemon's incarnation and a number unique within it."""

    incarnation: str
    attempt: int


@dataclass(frozen=True, slots=True)
class ClaimRow:
    """Value of the row ``claims/{service}/{digest}``.

    :ivar outcome: outcome of a claim in state ``done``, ``unknown`` otherwise.
    :ivar expires_at: Unix time in seconds after which the platform may delete the row; each
        write sets it to ``RETENTION_S`` after the write.
    """

    fingerprint: str
    state: RowState
    holder: Holder
    expires_at: float
    outcome: Outcome = Outcome.UNKNOWN
    status: int = 0
    response: RecordedResponse | None = None

    @property
    def replay(self) -> Replay:
        return Replay(self.outcome, self.status, self.response)

    def encode(self) -> bytes:
        """Return the row as a msgpack map; the platform reads ``expires_at`` by its key."""
        response = self.response
        return msgpack.packb(
            {
                "fingerprint": self.fingerprint,
                "state": self.state,
                "holder": [self.holder.incarnation, self.holder.attempt],
                "expires_at": self.expires_at,
                "outcome": self.outcome,
                "status": self.status,
                "answer": response and [response.status, response.headers, response.body],
            }
        )

    @classmethod
    def decode(cls, value: bytes) -> "ClaimRow":
        """Return the row that a value encodes.

        :raises RowError: when the value is not a claim row.
        """
        try:
            raw = msgpack.unpackb(value, use_list=False)
            response = raw["answer"]
            return cls(
                fingerprint=raw["fingerprint"],
                state=RowState(raw["state"]),
                holder=Holder(*raw["holder"]),
                expires_at=raw["expires_at"],
                outcome=Outcome(raw["outcome"]),
                status=raw["status"],
                response=response and RecordedResponse(*response),
            )
        except (ValueError, TypeError, KeyError, msgpack.UnpackException) as error:
            raise RowError(f"not a claim row: {len(value)} bytes") from error


def recordable_response(response: RecordedResponse | None) -> RecordedResponse | None:
    """Return the response if it is small enough to be recorded in a row, ``None`` otherwise."""
    if response is None or response.size > MAX_RESPONSE_BYTES:
        return None
    return response
