"""HTTP headers and paths that callers and backend servers use on the platform."""

import logging
import re
from http.cookies import CookieError, SimpleCookie

from starlette.requests import Request

from hibiscushaven.delivery import (
    AttemptError,
    AttemptRequest,
    AttemptResponse,
    FailureKind,
    Headers,
    find_header,
)
from hibiscushaven.forwarding import CallerRequest
from hibiscushaven.placement import LoadReport, ServerNotice

__all__ = ["PlatformBackends", "PlatformCallers", "PlatformDirectory"]

_MISDIRECTED = 421
_UNAVAILABLE = 503
# Statuses with which backend servers refuse a request without running it.
_REFUSAL_STATUSES = frozenset({400, _MISDIRECTED, 429, _UNAVAILABLE})
_UNSIGNED_INT = re.compile(r"[0-9]{1,9}")
_LOG = logging.getLogger(__name__)
_DECIMAL = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")
_DEADLINE_HEADER = "Deadline-Ms"
_OBJECT_KEY_COOKIE = "Affinity-Key"


class PlatformCallers:
    """Converts requests of callers, with their headers and cookies."""

    id_header = "Request-Id"

    def read(
        self, headers: Headers, method: str, path: str, target: str, body: bytes, now: float
    ) -> CallerRequest:
        remaining_ms = find_header(headers, _DEADLINE_HEADER)
        has_deadline = (
            remaining_ms is not None and _UNSIGNED_INT.fullmatch(remaining_ms) is not None
        )
        return CallerRequest(
            request_id=find_header(headers, self.id_header) or "",
            method=method,
            host=find_header(headers, "Host") or "",
            path=path,
            target=target,
            headers=headers,
            body=body,
            object_key=_object_key(find_header(headers, "Cookie")),
            time_left_s=int(remaining_ms) / 1000 if has_deadline else None,
            received_at=now,
        )


def _object_key(cookies: str | None) -> str | None:
    if not cookies:
        return None
    if cookies.startswith(f"{_OBJECT_KEY_COOKIE}=") and ";" not in cookies:
        return cookies.partition("=")[2]
    try:
        morsel = SimpleCookie(cookies).get(_OBJECT_KEY_COOKIE)
    except CookieError:
        # Callers choose their cookies; a malformed header is treated as one without a key.
        return None
    return morsel.value if morsel is not None else None


class PlatformBackends:
    """Sets the request headers of attempts and validates the heads of responses."""

    own_headers = frozenset({"deadline-ms", "expect-instance", "request-id"})
    id_header = "Request-Id"

    def request_headers(self, request: AttemptRequest, remaining_ms: int) -> Headers:
        headers = [
            (_DEADLINE_HEADER, str(max(1, remaining_ms))),
            # A server with another id responds with 421 and does not run the request.
            ("Expect-Instance", request.server_id),
        ]
        if request.attempt_id:
            headers.append(("Request-Id", request.attempt_id))
        return tuple(headers)

    def check_response(self, head: AttemptResponse, request: AttemptRequest) -> None:
        echoed_id = find_header(head.headers, "Request-Id") or None
        is_refused = find_header(head.headers, "Not-Executed") is not None
        if echoed_id is not None and echoed_id != request.attempt_id:
            detail = f"{request.server} answered {echoed_id!r} to {request.attempt_id!r}"
            raise AttemptError(FailureKind.WRONG_ATTEMPT_ID, detail)
        if is_refused and head.status not in _REFUSAL_STATUSES:
            detail = f"{request.server} answered {head.status} and that it did not run the request"
            raise AttemptError(FailureKind.MALFORMED, detail, status=head.status)
        if is_refused or head.status == _MISDIRECTED:
            raise _refusal(head, request, echoed_id is not None)
        if find_header(head.headers, "Content-Encoding") is not None:
            raise AttemptError(FailureKind.MALFORMED, f"{request.server} sent an encoded body")
        if echoed_id is None and (request.attempt_id or head.status < 300):
            detail = f"{request.server} sent a response that names no request"
            raise AttemptError(FailureKind.MALFORMED, detail, status=head.status)
        if head.status < 300 and find_header(head.headers, "Response-Seal") is None:
            raise AttemptError(
                FailureKind.MALFORMED, f"{request.server} sent an answer without its seal"
            )

    def read_notice(self, status: int, headers: Headers) -> ServerNotice:
        """Return what the head of a backend server's response says about it."""
        leaving = find_header(headers, "Server-Leaving")
        if leaving not in (None, "1"):
            _LOG.info("unknown notice of leaving taken for none", extra={"value": leaving[:40]})
        return ServerNotice(
            _load_report(headers),
            _decimal(headers, "Server-Limit"),
            leaving == "1",
            _decimal(headers, "Retry-After") if status == _UNAVAILABLE else None,
        )


def _refusal(head: AttemptResponse, request: AttemptRequest, names_request: bool) -> AttemptError:
    """Return the error for a response that says that its request has not run."""
    detail = f"{request.server} answered {head.status}, not run"
    if not names_request:
        # It may belong to an earlier request on the connection, or to none.
        detail = f"{detail}, and names no request"
        return AttemptError(FailureKind.UNNAMED_REFUSAL, detail, status=head.status)
    if head.status == _MISDIRECTED:
        # The headers are those of another server at the address.
        return AttemptError(
            FailureKind.MISDIRECTED, detail, status=_MISDIRECTED, names_request=True
        )
    return AttemptError(
        FailureKind.REFUSED, detail, headers=head.headers, status=head.status, names_request=True
    )


def _load_report(headers: Headers) -> LoadReport | None:
    """Return the load that a backend server reports, if it is valid."""
    value = find_header(headers, "Server-Load")
    fields = value.split(",") if value is not None else []
    if len(fields) < 3 or not all(_UNSIGNED_INT.fullmatch(field.strip()) for field in fields):
        return None
    running, waiting, slots, *optional = (int(field) for field in fields)
    # The fourth field is the processing time in percent of the usual one.
    return LoadReport(running, waiting, slots, optional[0] / 100 if optional else 1.0)


def _decimal(headers: Headers, name: str) -> float | None:
    """Return the number in a header; a malformed one counts as absent."""
    value = find_header(headers, name)
    if value is None:
        return None
    if _DECIMAL.fullmatch(value.strip()) is None:
        _LOG.info("malformed number taken for none", extra={"header": name, "value": value[:40]})
        return None
    return float(value)


class PlatformDirectory:
    """Paths and format of the directory, which tells callers where to connect."""

    path = "/v1/resolve"
    readiness_path = "/v1/readiness"

    def read(self, request: Request) -> tuple[str, str, str]:
        query = request.query_params
        return query.get("Name", ""), query.get("Region", ""), query.get("Zone", "")

    def write(self, addresses: list[str], ttl_s: float) -> object:
        return {"Addresses": addresses, "Ttl": f"{round(ttl_s * 1000)}ms"}
