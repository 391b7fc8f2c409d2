"""Error responses of the HTTP interfaces as ``application/problem+json``."""

import json
from dataclasses import dataclass, field
from typing import Any

from starlette.responses import Response

__all__ = ["Problem", "problem_response"]


@dataclass(frozen=True, slots=True)
class Problem:
    """An error as it is reported to a caller.

    :ivar outcome: whether the request was executed, for the ``Request-Outcome`` header.
    :ivar retry_after_s: time after which the caller may retry, ``None`` if a retry cannot help.
    :ivar extra: further fields of the JSON body.
    """

    status: int
    title: str
    detail: str = ""
    outcome: str = "not-run"
    retry_after_s: float | None = None
    extra: dict[str, Any] = field(default_factory=dict)


def problem_response(problem: Problem, request_id: str) -> Response:
    """Return the HTTP response for a problem."""
    body = {
        "type": "about:blank",
        "title": problem.title,
        "status": problem.status,
        "detail": problem.detail,
        "request_id": request_id,
        "outcome": problem.outcome,
        **problem.extra,
    }
    headers = {"request-outcome": problem.outcome, "request-id": request_id}
    if problem.retry_after_s is not None:
        # Retry-After has whole seconds; rounding down would let the caller retry too early.
        headers["retry-after"] = str(max(1, -int(-problem.retry_after_s // 1)))
        body["retry_after_s"] = round(problem.retry_after_s, 3)
    return Response(
        json.dumps(body), problem.status, headers, media_type="application/problem+json"
    )
