"""Routes under ``/v1/documents/{service}``."""

import functools
import re
from collections.abc import Awaitable, Callable
from dataclasses import asdict

from expression import Error, Ok, Result
from starlette.requests import ClientDisconnect, Request
from starlette.responses import JSONResponse, PlainTextResponse, Response
from starlette.routing import Route

from hibiscushaven.documents import MAX_DOCUMENT_BYTES, HistoryEntry, Operator, PublishedDocument

from .context import OperatorContext
from .problems import describe_differences, problem, publish_problem, unavailable
from .redaction import redact_document
from .teams import TeamsUnavailableError

__all__ = ["operator_routes"]

_SERVICE = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]*")
_ETAG = re.compile(r'"([1-9][0-9]{0,17})"')
_NO_STORE_HEADERS = {"Cache-Control": "private, no-store"}

Handler = Callable[[OperatorContext, Operator, str, Request], Awaitable[Response]]


def operator_routes(context: OperatorContext) -> list[Route]:
    """Return the routes for operators.

    Explanation
    ===========

    ``PUT`` without ``If-Match`` creates a document and responds with 412 if there is one already.
    With ``If-Match`` it replaces that revision; if another edit was accepted first, the response
    is 412 with the newest revision and the differences from it. ``GET`` returns the document in
    force at this VM, so that it works while the table is down.
    """

    def route(path: str, handler: Handler, method: str) -> Route:
        endpoint = functools.partial(_authenticate_and_handle, context, handler)
        return Route(f"/v1/documents/{{service}}{path}", endpoint, methods=[method])

    return [
        route("", _get_document, "GET"),
        route("", _put_document, "PUT"),
        route("/history", _get_history, "GET"),
        route("/status", _get_status, "GET"),
    ]


async def _authenticate_and_handle(
    context: OperatorContext, handler: Handler, request: Request
) -> Response:
    scheme, _, token = request.headers.get("Authorization", "").partition(" ")
    if scheme.lower() != "bearer" or not token.strip():
        return _unauthorized()
    operator = await context.teams.authenticate(token.strip())
    if operator.is_error():
        if isinstance(operator.error, TeamsUnavailableError):
            return unavailable("the teams cannot be read")
        return _unauthorized()
    service = request.path_params["service"]
    if not _SERVICE.fullmatch(service):
        return _unknown_service()
    return await handler(context, operator.ok, service, request)


async def _get_document(
    context: OperatorContext, operator: Operator, service: str, request: Request
) -> Response:
    entry = context.catalog.get(service)
    if entry is None:
        return _unknown_service()
    if operator.team == entry.document.team:
        return PlainTextResponse(
            entry.text, headers={"ETag": f'"{entry.revision}"', **_NO_STORE_HEADERS}
        )
    # The redacted text is another representation of the document. Its ETag is weak, which PUT
    # rejects, so that the redacted text cannot replace the document.
    headers = {"ETag": f'W/"{entry.revision}"', **_NO_STORE_HEADERS}
    return PlainTextResponse(redact_document(entry.text), headers=headers)


async def _put_document(
    context: OperatorContext, operator: Operator, service: str, request: Request
) -> Response:
    expected = _read_if_match(request)
    if expected.is_error():
        return expected.error
    text = await _read_text(request)
    if text.is_error():
        return text.error
    result = await context.publisher.publish(
        service, text.ok, expected.ok, operator, context.current_shares(service)
    )
    if result.is_error():
        return publish_problem(result.error)
    _apply_and_push(context, result.ok)
    return JSONResponse(
        {
            "service": service,
            "revision": result.ok.revision,
            "operation": result.ok.operation,
            "accepted_at": result.ok.accepted_at,
        },
        201 if result.ok.revision == 1 else 200,
        headers={"ETag": f'"{result.ok.revision}"'},
    )


async def _get_history(
    context: OperatorContext, operator: Operator, service: str, request: Request
) -> Response:
    result = await context.publisher.history(service)
    if result.is_error():
        return unavailable("the history cannot be read")
    if not result.ok:
        return _unknown_service()
    entries = [_describe_entry(entry) for entry in result.ok]
    return JSONResponse({"service": service, "entries": entries}, headers=_NO_STORE_HEADERS)


async def _get_status(
    context: OperatorContext, operator: Operator, service: str, request: Request
) -> Response:
    status = context.distributor.status(service)
    if status is None:
        return _unknown_service()
    return JSONResponse(asdict(status), headers=_NO_STORE_HEADERS)


def _apply_and_push(context: OperatorContext, published: PublishedDocument) -> None:
    context.distributor.apply_published(published.service, published.row)
    push = context.distributor.push_message(published.service)
    if push is not None:
        context.on_published(push)


def _read_if_match(request: Request) -> Result[int | None, Response]:
    value = request.headers.get("If-Match")
    if value is None:
        return Ok(None)
    match = _ETAG.fullmatch(value.strip())
    if match is None:
        return Error(problem(400, f"If-Match is {value!r}: expected one ETag of this document"))
    return Ok(int(match[1]))


async def _read_text(request: Request) -> Result[str, Response]:
    too_large = problem(413, f"a document has at most {MAX_DOCUMENT_BYTES} bytes")
    length = request.headers.get("Content-Length", "")
    if length.isdecimal() and int(length) > MAX_DOCUMENT_BYTES:
        return Error(too_large)
    body = bytearray()
    try:
        async for chunk in request.stream():
            body += chunk
            if len(body) > MAX_DOCUMENT_BYTES:
                return Error(too_large)
        return Ok(body.decode())
    except ClientDisconnect:
        return Error(problem(400, "the body is incomplete"))
    except UnicodeDecodeError as error:
        return Error(problem(422, f"the document is not UTF-8 at byte {error.start}"))


def _describe_entry(entry: HistoryEntry) -> dict:
    return {
        "revision": entry.revision,
        "team": entry.operator.team,
        "operator": entry.operator.name,
        "accepted_at": entry.accepted_at,
        "operation": entry.operation,
        "changes": describe_differences(entry.changes),
    }


def _unauthorized() -> Response:
    return problem(401, "a bearer token of a team is required", {"WWW-Authenticate": "Bearer"})


def _unknown_service() -> Response:
    return problem(404, "there is no document of this service")
