"""Data classes of claims, and the form of their rows in the table."""

from dataclasses import dataclass
from enum import StrEnum

import msgpack

from hibiscushaven.outcomes import Outcome

from .fingerprint import claim_key

__all__ = [
    "MAX_ANSWER_BYTES",
    "RETENTION_S",
    "Answer",
    "ClaimRequest",
    "ClaimRow",
    "Holder",
    "Outcome",
    "Replay",
    "RowError",
    "RowState",
    "kept_answer",
]

MAX_ANSWER_BYTES = 16 * 1024
RETENTION_S = 7 * 24 * 3600.0


class RowError(Exception):
    """A value in the table that is not a claim row of this version."""


class RowState(StrEnum):
    """State of a claim in the table."""

    HELD = "held"
    RELEASED = "released"
    DONE = "done"


@dataclass(frozen=True, slots=True)
class ClaimRequest:
    """What is claimed.

    :ivar key: the caller's ``Idempotency-Key``.
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
class Answer:
    """A complete response that resends get again."""

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""

    @property
    def size(self) -> int:
        """Bytes of the body and the headers."""
        return len(self.body) + sum(len(name) + len(value) for name, value in self.headers)


@dataclass(frozen=True, slots=True)
class Replay:
    """The result of an earlier run of the same request.

    :ivar answer: the response, or ``None`` if it was too large to keep or never arrived.
    :ivar status: HTTP status of the response; 0 if there was none.
    """

    outcome: Outcome
    status: int
    answer: Answer | None


@dataclass(frozen=True, slots=True)
class Holder:
    """One attempt at one start of a daemon; no two attempts share it."""

    incarnation: str
    attempt: int


@dataclass(frozen=True, slots=True)
class ClaimRow:
    """Value of the row ``claims/{service}/{digest}``.

    :ivar outcome: outcome of a done claim, ``unknown`` before.
    :ivar expires_at: Unix time in seconds after which the platform may delete the row; each
        write of the row moves it to ``RETENTION_S`` later.
    """

    fingerprint: str
    state: RowState
    holder: Holder
    expires_at: float
    outcome: Outcome = Outcome.UNKNOWN
    status: int = 0
    answer: Answer | None = None

    @property
    def replay(self) -> Replay:
        return Replay(self.outcome, self.status, self.answer)

    def encode(self) -> bytes:
        """Return the msgpack form: a map, so that the platform finds ``expires_at`` by name."""
        answer = self.answer
        return msgpack.packb(
            {
                "fingerprint": self.fingerprint,
                "state": self.state,
                "holder": [self.holder.incarnation, self.holder.attempt],
                "expires_at": self.expires_at,
                "outcome": self.outcome,
                "status": self.status,
                "answer": answer and [answer.status, answer.headers, answer.body],
            }
        )

    @classmethod
    def decode(cls, value: bytes) -> "ClaimRow":
        """Return the row of a value.

        :raises RowError: when the value is no claim row.
        """
        try:
            raw = msgpack.unpackb(value, use_list=False)
            answer = raw["answer"]
            return cls(
                fingerprint=raw["fingerprint"],
                state=RowState(raw["state"]),
                holder=Holder(*raw["holder"]),
                expires_at=raw["expires_at"],
                outcome=Outcome(raw["outcome"]),
                status=raw["status"],
                answer=answer and Answer(*answer),
            )
        except (ValueError, TypeError, KeyError, msgpack.UnpackException) as error:
            raise RowError(f"not a claim row: {len(value)} bytes") from error


def kept_answer(answer: Answer | None) -> Answer | None:
    """Return the answer if it is small enough to be kept in a row."""
    if answer is None or answer.size > MAX_ANSWER_BYTES:
        return None
    return answer
