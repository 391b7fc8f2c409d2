"""Reasons why a document was not published."""

from dataclasses import dataclass

from hibiscushaven.ini import IniProblem

from .diff import Difference
from .rows import Operator

__all__ = [
    "ForbiddenError",
    "InvalidDocumentError",
    "PublishError",
    "PublishUnavailableError",
    "PublishUnknownError",
    "RevisionConflictError",
]


@dataclass(frozen=True, slots=True)
class PublishError:
    """Base class of the reasons; returned as a value, never raised."""


@dataclass(frozen=True, slots=True)
class InvalidDocumentError(PublishError):
    """The text is not a valid document.

    :ivar problems: all problems found in the text.
    """

    problems: tuple[IniProblem, ...]


@dataclass(frozen=True, slots=True)
class ForbiddenError(PublishError):
    """The operator's team is not authorized to make this change."""

    reason: str


@dataclass(frozen=True, slots=True)
class RevisionConflictError(PublishError):
    """The edit is not based on the newest revision.

    :ivar revision: the newest revision; 0 if there is no document.
    :ivar operator: the operator who published the newest revision.
    :ivar accepted_at: Unix time in seconds at which it was accepted, 0 if there is no document.
    :ivar differences: from the newest document to the rejected one.
    """

    revision: int
    operator: Operator | None
    accepted_at: float
    differences: tuple[Difference, ...]


@dataclass(frozen=True, slots=True)
class PublishUnavailableError(PublishError):
    """The table is unavailable; nothing was changed."""


@dataclass(frozen=True, slots=True)
class PublishUnknownError(PublishError):
    """The response was lost and the outcome is unknown; the change may have taken effect.

    :ivar operation: operation id that is in the history if the change took effect.
    """

    operation: str
    revision: int
