"""Work items and results of attempts, passed to a dispatcher by its driver."""

from dataclasses import dataclass
from enum import StrEnum

from hibiscushaven.documents import RequestClass

__all__ = ["AttemptResult", "ResultKind", "WorkItem"]


@dataclass(frozen=True, slots=True)
class WorkItem:
    """A request to be run on a backend server.

    :ivar caller_share: weight of the caller among the callers of its tenant.
    :ivar deadline: in seconds, on the clock of the ``now`` arguments.
    :ivar fingerprint: identifies requests that are the same to a backend server.
    :ivar is_foreign: whether another failure domain relayed the request.
    :ivar path: key of the learned size; if empty, the fingerprint is used.
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


# After these results the backend server may still run the request and occupy the slot.
_MAY_STILL_RUN = frozenset({ResultKind.FAILED, ResultKind.TIMED_OUT, ResultKind.WRONG_ID})


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """The end of an attempt.

    :ivar size_bytes: length of the complete response of a success.
    :ivar is_confirmed_stopped: whether the backend server confirmed that it stopped; ``None``
        for the default of the kind. Otherwise the slot stays in use until the deadline of the
        work item, when the backend server stops by itself.
    """

    kind: ResultKind
    size_bytes: int = 0
    is_confirmed_stopped: bool | None = None

    @property
    def is_stopped(self) -> bool:
        if self.is_confirmed_stopped is None:
            return self.kind not in _MAY_STILL_RUN
        return self.is_confirmed_stopped
