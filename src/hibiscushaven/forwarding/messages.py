"""Requests of callers and the responses to them."""

from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field
from typing import Protocol

from hibiscushaven.delivery import Headers

__all__ = [
    "CallerDialect",
    "CallerRequest",
    "CallerResponse",
    "failure_response",
    "rejection_response",
]


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A request as received from a caller.

    :ivar target: path and query string, forwarded unchanged.
    :ivar object_key: key of the object that the request is about, if the caller sent one.
    :ivar time_left_s: time until the caller's deadline, if the caller sent one.
    :ivar received_at: time of arrival on the daemon's clock.
    :ivar relayed_attempts: attempts that are left if another VM relayed the request, otherwise
        ``None``.
    :ivar relay_id: id of its transfer by the VM that relayed it, empty if none did.
    :ivar min_configuration: oldest version of the configuration by which it may be routed.
    :ivar try_hold_response: returns whether there is memory for the beginning of the response,
        given its size in bytes.
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
    relayed_attempts: int | None = None
    relay_id: str = ""
    min_configuration: int = 0
    try_hold_response: Callable[[int], bool] = field(
        default=lambda size: True, repr=False, compare=False
    )


@dataclass(frozen=True, slots=True)
class CallerResponse:
    """A response to a caller.

    :ivar body: the whole body, or its beginning if there is a ``body_stream``.
    :ivar body_stream: remainder of the body; raises an exception if it is truncated.
    :ivar length: length of the whole body in bytes, if known.
    :ivar is_own: whether this VM made it itself, instead of a backend server or another VM.
    """

    status: int
    headers: Headers
    body: bytes = field(default=b"", repr=False)
    body_stream: AsyncIterator[bytes] | None = None
    length: int | None = None
    is_own: bool = False


class CallerDialect(Protocol):
    """Port to the headers that callers send with their requests.

    :ivar id_header: header field with the id of a request.
    """

    id_header: str

    def read(
        self, headers: Headers, method: str, path: str, target: str, body: bytes, now: float
    ) -> CallerRequest:
        """Return the request with the given headers and body, received at ``now``."""


_OUTCOMES = {True: "not-run", False: "unknown"}


def rejection_response(
    reason: str, retry_after_s: float | None, status: int = 503
) -> CallerResponse:
    """Return the response to a request that has not run and will not.

    Examples
    ========

    >>> response = rejection_response("no route", 0.25)
    >>> response.status, dict(response.headers)["Retry-After"]
    (503, '0.25')

    """
    return _local_response(status, reason, is_not_run=True, retry_after_s=retry_after_s)


def failure_response(status: int, reason: str) -> CallerResponse:
    """Return the response to a failed request that may have run."""
    return _local_response(status, reason, is_not_run=False, retry_after_s=None)


def _local_response(
    status: int, reason: str, is_not_run: bool, retry_after_s: float | None
) -> CallerResponse:
    body = reason.encode()
    headers = [
        ("Content-Type", "text/plain; charset=utf-8"),
        ("Request-Outcome", _OUTCOMES[is_not_run]),
    ]
    if retry_after_s is not None:
        headers.append(("Retry-After", f"{retry_after_s:.3g}"))
    return CallerResponse(status, tuple(headers), body, length=len(body), is_own=True)
