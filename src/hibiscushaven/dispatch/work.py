"""Work items and results of attempts: what a dispatcher is told."""

from dataclasses import dataclass
from enum import StrEnum

from hibiscushaven.documents import RequestClass

__all__ = ["AttemptResult", "ResultKind", "Work"]


@dataclass(frozen=True, slots=True)
class Work:
    """A request that waits for a backend server.

    :ivar caller_share: weight of the caller among the callers of its tenant.
    :ivar deadline: in seconds, on the clock that gives ``now``.
    :ivar fingerprint: equal for requests that a backend server cannot tell apart.
    :ivar is_foreign: whether another failure domain relayed it.
    :ivar path: key of the learned size; the fingerprint is used where it is empty.
    """

    id: str
    service: str
    tenant: str
    caller: str
    caller_share: float
    request_class: RequestClass
    deadline: float
    fingerprint: str
    is_foreign: bool = False
    path: str = ""

    @property
    def is_idempotent(self) -> bool:
        return self.request_class.is_idempotent

    @property
    def size_key(self) -> tuple[str, str]:
        return (self.request_class.name, self.path or self.fingerprint)


class ResultKind(StrEnum):
    """How an attempt ended."""

    SUCCESS = "success"
    REFUSED = "refused"
    NOT_SENT = "not-sent"
    FAILED = "failed-after-sending"
    CRASHED = "server-crashed"
    TIMED_OUT = "timed-out"
    WRONG_ID = "wrong-id"
    TRUNCATED = "truncated"
    CANCELLED = "cancelled"

    @property
    def is_not_run(self) -> bool:
        """Whether the backend server certainly did not run the request."""
        return self in (ResultKind.REFUSED, ResultKind.NOT_SENT)


# After these the backend server may go on running the request, so its slot is not free.
_UNSETTLED = frozenset({ResultKind.FAILED, ResultKind.TIMED_OUT, ResultKind.WRONG_ID})


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """The end of an attempt.

    :ivar size_bytes: length of the complete response of a success.
    :ivar is_confirmed_stopped: whether the backend server is known to have stopped. ``None``
        takes the usual case of the kind; without confirmation the slot stays in use until
        the deadline of the work, when the backend server gives up by itself.
    """

    kind: ResultKind
    size_bytes: int = 0
    is_confirmed_stopped: bool | None = None

    @property
    def is_stopped(self) -> bool:
        if self.is_confirmed_stopped is None:
            return self.kind not in _UNSETTLED
        return self.is_confirmed_stopped
