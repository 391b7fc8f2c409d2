"""Why a document was not published."""

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
    """Base of the reasons why a document was not published; a value, never raised."""


@dataclass(frozen=True, slots=True)
class InvalidDocumentError(PublishError):
    """The text is no valid document.

    :ivar problems: all problems of the text.
    """

    problems: tuple[IniProblem, ...]


@dataclass(frozen=True, slots=True)
class ForbiddenError(PublishError):
    """The operator's team may not make this change."""

    reason: str


@dataclass(frozen=True, slots=True)
class RevisionConflictError(PublishError):
    """The edit was made on another revision than the newest.

    :ivar revision: the newest revision; 0 if there is no document.
    :ivar operator: who published it.
    :ivar differences: from the newest document to the one that was refused.
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
    """The answer was lost and could not be settled; the change may have taken effect.

    :ivar operation: id that the history shows if it did.
    """

    operation: str
    revision: int
