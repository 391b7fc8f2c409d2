"""Headers between this system and a backend server."""

from typing import Protocol

from .attempts import AttemptHead, AttemptRequest
from .headers import Headers, find_header
from .outcome import AttemptError, Outcome, Stop

__all__ = ["Dialect", "NativeDialect"]

_BODILESS_STATUSES = frozenset({204, 304})


class Dialect(Protocol):
    """Port to the headers that a kind of backend server understands.

    :ivar own_headers: lower-case names that are set by the dialect; a caller's values of them
        are not passed on.
    """

    own_headers: frozenset[str]

    def request_headers(self, request: AttemptRequest, left_ms: int) -> Headers:
        """Return the headers of an attempt with so much time left."""

    def check_head(self, head: AttemptHead, request: AttemptRequest) -> None:
        """Refuse responses that belong to another attempt, that refuse, or that have no end.

        :raises AttemptError: for these.
        """


class NativeDialect:
    """Headers of ``docs/backends.md``."""

    own_headers = frozenset({"attempt-id", "request-deadline-ms", "start-by"})

    def request_headers(self, request: AttemptRequest, left_ms: int) -> Headers:
        headers = [
            ("Attempt-Id", request.attempt_id),
            ("Request-Deadline-Ms", str(left_ms)),
        ]
        if request.start_by_unix_ms is not None:
            headers.append(("Start-By", str(request.start_by_unix_ms)))
        return tuple(headers)

    def check_head(self, head: AttemptHead, request: AttemptRequest) -> None:
        answered = find_header(head.headers, "Attempt-Id")
        if answered != request.attempt_id:
            detail = f"{request.server} answered {answered!r} to {request.attempt_id!r}"
            raise AttemptError(Stop.WRONG_ATTEMPT_ID, detail)
        outcome = find_header(head.headers, "Request-Outcome")
        if head.status == 503 and outcome == Outcome.NOT_RUN:
            detail = f"{request.server} did not run it"
            raise AttemptError(Stop.REFUSED, detail, _retry_after_s(head))
        is_bodiless = request.method == "HEAD" or head.status in _BODILESS_STATUSES
        if not (is_bodiless or head.is_delimited):
            # Its end is the end of the connection, which also follows a crash.
            detail = f"{request.server} sent a body without a length"
            raise AttemptError(Stop.MALFORMED, detail)


def _retry_after_s(head: AttemptHead) -> float | None:
    value = find_header(head.headers, "Retry-After")
    return float(value) if value is not None and value.isdecimal() else None
