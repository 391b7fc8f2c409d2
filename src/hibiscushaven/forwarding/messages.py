"""Requests of callers and the answers to them."""

from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from typing import Protocol

from hibiscushaven.delivery import Headers

__all__ = ["Answer", "CallerDialect", "CallerRequest", "failure", "refusal"]


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A request as a caller sent it.

    :ivar target: path and query, passed on as they are.
    :ivar object_key: object that it is about, if the caller names one.
    :ivar time_left_s: time that the caller will wait, if it says so.
    :ivar received_at: on the daemon's clock.
    """

    request_id: str
    method: str
    host: str
    path: str
    target: str
    headers: Headers
    body: bytes = field(repr=False)
    object_key: str | None
    time_left_s: float | None
    received_at: float


@dataclass(frozen=True, slots=True)
class Answer:
    """An answer to a caller.

    :ivar rest: what follows ``body``; ends with an exception if it is not complete.
    :ivar length: length of the whole body, if known.
    """

    status: int
    headers: Headers
    body: bytes = field(default=b"", repr=False)
    rest: AsyncIterator[bytes] | None = None
    length: int | None = None


class CallerDialect(Protocol):
    """Port to the headers by which callers say what they want."""

    def read(
        self, headers: Headers, method: str, path: str, target: str, body: bytes, now: float
    ) -> CallerRequest:
        """Return the request of these headers."""


_OUTCOMES = {True: "not-run", False: "unknown"}


def refusal(reason: str, retry_after_s: float | None, status: int = 503) -> Answer:
    """Return the answer to a request that has not run and will not.

    Examples
    ========

    >>> answer = refusal("no room", 0.25)
    >>> answer.status, dict(answer.headers)["Retry-After"]
    (503, '0.25')

    """
    return _own(status, reason, is_not_run=True, retry_after_s=retry_after_s)


def failure(status: int, reason: str) -> Answer:
    """Return the answer to a request that may have run."""
    return _own(status, reason, is_not_run=False, retry_after_s=None)


def _own(status: int, reason: str, is_not_run: bool, retry_after_s: float | None) -> Answer:
    body = reason.encode()
    headers = [
        ("Content-Type", "text/plain; charset=utf-8"),
        ("Request-Outcome", _OUTCOMES[is_not_run]),
    ]
    if retry_after_s is not None:
        headers.append(("Retry-After", f"{retry_after_s:.3g}"))
    return Answer(status, tuple(headers), body, length=len(body))
