"""Header fields exchanged with a backend server."""

from typing import Protocol

from .attempts import AttemptRequest, AttemptResponse
from .headers import Headers, find_header
from .outcome import AttemptError, FailureKind, Outcome

__all__ = ["Dialect", "NativeDialect"]

_BODILESS_STATUSES = frozenset({204, 304})


class Dialect(Protocol):
    """Interface to the header fields that one kind of backend server understands.

    :ivar own_headers: lower-case names of the header fields that the dialect sets; values of
        the caller under these names are not forwarded.
    :ivar id_header: header field by which each response names its request; ``None`` if some
        responses name none.
    """

    own_headers: frozenset[str]
    id_header: str | None

    def request_headers(self, request: AttemptRequest, remaining_ms: int) -> Headers:
        """Return the header fields of an attempt that has ``remaining_ms`` left."""

    def check_response(self, response: AttemptResponse, request: AttemptRequest) -> None:
        """Check that a response belongs to the attempt, is no refusal and has a delimited body.

        :raises AttemptError: when one of these conditions does not hold.
        """


class NativeDialect:
    """The header fields described in ``docs/backends.md``."""

    own_headers = frozenset({"attempt-id", "request-deadline-ms", "start-by"})
    id_header = None

    def request_headers(self, request: AttemptRequest, remaining_ms: int) -> Headers:
        headers = [
            ("Attempt-Id", request.attempt_id),
            ("Request-Deadline-Ms", str(remaining_ms)),
        ]
        if request.start_by_unix_ms is not None:
            headers.append(("Start-By", str(request.start_by_unix_ms)))
        return tuple(headers)

    def check_response(self, response: AttemptResponse, request: AttemptRequest) -> None:
        returned_id = find_header(response.headers, "Attempt-Id")
        if returned_id != request.attempt_id:
            detail = f"{request.server} answered {returned_id!r} to {request.attempt_id!r}"
            raise AttemptError(FailureKind.WRONG_ATTEMPT_ID, detail)
        outcome = find_header(response.headers, "Request-Outcome")
        if response.status == 503 and outcome == Outcome.NOT_RUN:
            detail = f"{request.server} did not run it"
            raise AttemptError(FailureKind.REFUSED, detail, _retry_after_s(response))
        is_bodiless = request.method == "HEAD" or response.status in _BODILESS_STATUSES
        if not (is_bodiless or response.is_delimited):
            # Such a body ends with its connection, and so does one cut short by a crash.
            detail = f"{request.server} sent a body without a length"
            raise AttemptError(FailureKind.MALFORMED, detail)


def _retry_after_s(response: AttemptResponse) -> float | None:
    value = find_header(response.headers, "Retry-After")
    return float(value) if value is not None and value.isdecimal() else None
