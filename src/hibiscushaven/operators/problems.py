"""Error responses of type ``application/problem+json``."""

from collections.abc import Iterable, Mapping
from typing import Any

from starlette.responses import JSONResponse

from hibiscushaven.documents import (
    Difference,
    ForbiddenError,
    InvalidDocumentError,
    PublishError,
    PublishUnavailableError,
    PublishUnknownError,
    RevisionConflictError,
)
from hibiscushaven.ini import IniProblem

from .redaction import HIDDEN

__all__ = ["describe_differences", "problem", "publish_problem", "unavailable"]

RETRY_AFTER_S = 2


def problem(
    status: int, title: str, headers: Mapping[str, str] | None = None, **members: Any
) -> JSONResponse:
    """Return an error response.

    :param members: additional members of the problem object.
    """
    return JSONResponse(
        {"title": title, "status": status, **members},
        status,
        headers=dict(headers or {}),
        media_type="application/problem+json",
    )


def unavailable(title: str) -> JSONResponse:
    """Return the response for an outage in which nothing was changed."""
    return problem(503, title, {"Retry-After": str(RETRY_AFTER_S)}, outcome="not-run")


def describe_differences(items: Iterable[Difference]) -> list[dict[str, str | None]]:
    """Return the JSON representation of differences."""
    return [
        {"section": item.section, "key": item.key, "before": item.before, "after": item.after}
        for item in items
    ]


def publish_problem(error: PublishError) -> JSONResponse:
    """Return the response for a document that was not published."""
    match error:
        case InvalidDocumentError(problems):
            described_problems = [_describe_problem(item) for item in problems]
            return problem(422, "the document is not valid", problems=described_problems)
        case ForbiddenError(reason):
            return problem(403, reason)
        case RevisionConflictError():
            return _conflict(error)
        case PublishUnavailableError():
            return unavailable("the table is unavailable; nothing was changed")
        case PublishUnknownError(operation, revision):
            title = "the change may have taken effect; see the history for the operation"
            return problem(504, title, outcome="unknown", operation=operation, revision=revision)
    raise TypeError(f"unexpected {error!r}")


def _conflict(error: RevisionConflictError) -> JSONResponse:
    operator = error.operator
    return problem(
        412,
        "the document has another revision",
        {"ETag": f'"{error.revision}"'} if error.revision else None,
        revision=error.revision,
        team=operator.team if operator else None,
        operator=operator.name if operator else None,
        accepted_at=error.accepted_at,
        differences=describe_differences(error.differences),
    )


def _describe_problem(item: IniProblem) -> dict[str, str | None]:
    # The value of a key in a caller's section may be a token that was pasted in place of its hash,
    # and errors of the INI syntax quote whole lines.
    is_secret = item.section == "file" or item.section.split(" ")[0] == "caller"
    value = HIDDEN if is_secret and item.value is not None else item.value
    return {
        "section": item.section,
        "key": item.key,
        "value": value,
        "allowed": item.allowed,
    }
