"""Actions returned by a dispatcher, to be carried out by its driver."""

from dataclasses import dataclass
from enum import StrEnum

from hibiscushaven.outcomes import Outcome

from .ports import Token

__all__ = [
    "Action",
    "CancelAttempt",
    "CancelReason",
    "Finish",
    "Outcome",
    "RefusalReason",
    "Refuse",
    "StartAttempt",
]


class RefusalReason(StrEnum):
    """Why a work item is refused."""

    EXPIRED = "deadline-passed"
    QUEUE_TOO_LONG = "queue-too-long"
    NO_SERVER = "no-server"
    QUARANTINED = "quarantined"
    SUSPECT_BUSY = "suspect-busy"
    FOREIGN_LIMIT = "foreign-limit"
    ATTEMPT_FAILED = "attempt-failed"
    RETRY_BUDGET = "retry-budget"
    CALLER_GONE = "caller-gone"


class CancelReason(StrEnum):
    """Why an attempt is cancelled."""

    LOST_HEDGE = "lost-hedge"
    DEADLINE = "deadline"
    CALLER_GONE = "caller-gone"
    TOKEN_LOST = "token-lost"
    UNKNOWN_ATTEMPT = "unknown-attempt"


class Action:
    """Base class of the actions of a dispatcher."""

    __slots__ = ()


@dataclass(frozen=True, slots=True)
class StartAttempt(Action):
    """Send a request to a backend server; the attempt occupies the slot of its token.

    :ivar is_hedge: whether another attempt of the same work item is still in progress.
    :ivar use_new_connection: whether a pooled connection must not be used; set on retries and
        for suspects, because the pooled connection may be dead, and its loss is then no crash.
    :ivar is_suspect: whether a server crashed with the request in progress. It may be sent only to
        a server that has responded since: one that the same event ends may still accept
        connections, and their loss would count as another crash.
    """

    attempt_id: str
    work_id: str
    server: str
    token: Token
    is_hedge: bool
    use_new_connection: bool
    is_suspect: bool = False


@dataclass(frozen=True, slots=True)
class CancelAttempt(Action):
    """Cancel an attempt; the driver still has to report its end, which frees the slot."""

    attempt_id: str
    reason: CancelReason


@dataclass(frozen=True, slots=True)
class Refuse(Action):
    """Refuse a work item, or fail it after an attempt; the final action for this item.

    :ivar outcome: whether a backend server may have run the request.
    :ivar retry_after_s: jittered delay after which the caller may retry.
    """

    work_id: str
    outcome: Outcome
    reason: RefusalReason
    retry_after_s: float


@dataclass(frozen=True, slots=True)
class Finish(Action):
    """Deliver the response of this attempt to the caller; the final action for the work item."""

    work_id: str
    attempt_id: str
