"""Actions that a dispatcher returns for its driver to carry out."""

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
    """Why a work item is given up."""

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
    """Why an attempt is stopped."""

    LOST_HEDGE = "lost-hedge"
    DEADLINE = "deadline"
    CALLER_GONE = "caller-gone"
    TOKEN_LOST = "token-lost"
    UNKNOWN_ATTEMPT = "unknown-attempt"


class Action:
    """Base of the actions of a dispatcher."""

    __slots__ = ()


@dataclass(frozen=True, slots=True)
class StartAttempt(Action):
    """Send the request to a backend server, under a slot token."""

    attempt_id: str
    work_id: str
    server: str
    token: Token
    is_hedge: bool
    use_new_connection: bool


@dataclass(frozen=True, slots=True)
class CancelAttempt(Action):
    """Stop an attempt; its end is still to be reported, and frees the slot."""

    attempt_id: str
    reason: CancelReason


@dataclass(frozen=True, slots=True)
class Refuse(Action):
    """Give up a work item; the last action for it.

    :ivar retry_after_s: jittered time after which the caller may try again.
    """

    work_id: str
    outcome: Outcome
    reason: RefusalReason
    retry_after_s: float


@dataclass(frozen=True, slots=True)
class Finish(Action):
    """Deliver the answer of this attempt; the last action for the work item."""

    work_id: str
    attempt_id: str
