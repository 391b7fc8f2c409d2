"""Reasons why a claim was not granted, and errors in the use of a granted claim."""

from dataclasses import dataclass
from typing import ClassVar

from .model import Outcome

__all__ = [
    "ClaimError",
    "ClaimExpiredError",
    "ClaimReleasedError",
    "ClaimSentError",
    "ClaimStateError",
    "DeadlineError",
    "InProgressError",
    "KeyReusedError",
    "TableUnavailableError",
]


@dataclass(frozen=True, slots=True)
class ClaimError:
    """Base class of the reasons why a claim was not granted; returned, never raised.

    :ivar status: HTTP status of the response.
    :ivar outcome: outcome reported to the caller.
    :ivar retry_after_s: seconds after which the caller may resend; 0 if a resend cannot succeed.
    """

    status: ClassVar[int] = 503
    outcome: ClassVar[Outcome] = Outcome.NOT_RUN

    reason: str
    retry_after_s: float = 1.0


@dataclass(frozen=True, slots=True)
class KeyReusedError(ClaimError):
    """The idempotency key was used for a request with another fingerprint."""

    status: ClassVar[int] = 422

    retry_after_s: float = 0.0


@dataclass(frozen=True, slots=True)
class InProgressError(ClaimError):
    """Another attempt holds the claim."""

    status: ClassVar[int] = 409
    outcome: ClassVar[Outcome] = Outcome.UNKNOWN


@dataclass(frozen=True, slots=True)
class TableUnavailableError(ClaimError):
    """The claim could not be recorded; this attempt does not send its request."""


@dataclass(frozen=True, slots=True)
class DeadlineError(ClaimError):
    """The claim cannot be recorded before the deadline; this attempt does not send."""


class ClaimStateError(Exception):
    """A transition that the claim's state does not allow."""


class ClaimReleasedError(ClaimStateError):
    """The claim was released or completed, so its request must not be sent."""


class ClaimSentError(ClaimStateError):
    """The request may already have been sent."""


class ClaimExpiredError(ClaimStateError):
    """The deadline of the claim has passed."""
