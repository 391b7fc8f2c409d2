"""Why a claim was not granted, and misuse of a claim that was."""

from dataclasses import dataclass
from typing import ClassVar

from .model import Outcome

__all__ = [
    "ClaimError",
    "ClaimLateError",
    "ClaimReleasedError",
    "ClaimSentError",
    "ClaimStateError",
    "DeadlineError",
    "InProgressError",
    "TableUnavailableError",
    "WrongBodyError",
]


@dataclass(frozen=True, slots=True)
class ClaimError:
    """Base of the reasons why a claim was not granted; a value, never raised.

    :ivar status: HTTP status of the response.
    :ivar outcome: outcome that the caller is told.
    :ivar retry_after_s: seconds after which a resend makes sense; 0 if it never does.
    """

    status: ClassVar[int] = 503
    outcome: ClassVar[Outcome] = Outcome.NOT_RUN

    reason: str
    retry_after_s: float = 1.0


@dataclass(frozen=True, slots=True)
class WrongBodyError(ClaimError):
    """The key was used for another request."""

    status: ClassVar[int] = 422

    retry_after_s: float = 0.0


@dataclass(frozen=True, slots=True)
class InProgressError(ClaimError):
    """Another attempt holds the claim."""

    status: ClassVar[int] = 409
    outcome: ClassVar[Outcome] = Outcome.UNKNOWN


@dataclass(frozen=True, slots=True)
class TableUnavailableError(ClaimError):
    """The claim could not be recorded; this attempt never sends."""


@dataclass(frozen=True, slots=True)
class DeadlineError(ClaimError):
    """The claim cannot be recorded before the deadline; this attempt never sends."""


class ClaimStateError(Exception):
    """A step that the claim's state does not allow."""


class ClaimReleasedError(ClaimStateError):
    """The claim was given up or completed and can never be sent again."""


class ClaimSentError(ClaimStateError):
    """The request may have left already."""


class ClaimLateError(ClaimStateError):
    """The deadline of the claim has passed."""
