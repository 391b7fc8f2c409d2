"""Responses of the backend stand-in, complete or cut short by a fault."""

from typing import TYPE_CHECKING

from aiohttp import web

from .backend_model import BodyFault, RequestOptions
from .content import ByteRange, content, etag, parse_range
from .sockets import reset

if TYPE_CHECKING:
    from .backend import BackendStandIn

__all__ = ["send_body"]

_CHUNK_BYTES = 64 * 1024


async def send_body(
    request: web.BaseRequest,
    options: RequestOptions,
    attempt_id_headers: dict[str, str],
    stand_in: "BackendStandIn",
) -> web.StreamResponse:
    """Send the response to a request that ran, with the next fault of ``stops`` if there is one."""
    tag = etag(options.path, options.body_bytes, stand_in.faults.content_version)
    byte_range = _requested_range(request, options, tag)
    response = web.StreamResponse(status=options.status if byte_range is None else 206)
    response.headers.update({"Request-Outcome": "run", "ETag": tag, "Accept-Ranges": "bytes"})
    response.headers.update(attempt_id_headers)
    if byte_range is not None:
        response.headers["Content-Range"] = (
            f"bytes {byte_range.start}-{byte_range.end - 1}/{options.body_bytes}"
        )
    response.headers.update(_requested_headers(request))
    byte_range = byte_range or ByteRange(0, options.body_bytes)
    if options.is_chunked:
        response.enable_chunked_encoding()
    else:
        response.content_length = byte_range.end - byte_range.start
    body_fault = stand_in.faults.stops.pop(0) if stand_in.faults.stops else options.body_fault
    stand_in.sockets.raise_if_silent(request.transport)
    await response.prepare(request)
    if request.method != "HEAD":
        await _write_body(request, response, byte_range, body_fault, stand_in)
    return response


def _requested_range(
    request: web.BaseRequest, options: RequestOptions, tag: str
) -> ByteRange | None:
    if request.headers.get("If-Range", tag) != tag or options.status != 200:
        return None
    return parse_range(request.headers.get("Range"), options.body_bytes)


def _requested_headers(request: web.BaseRequest) -> dict[str, str]:
    """Return the response headers that the query sets with parameters ``reply-NAME``."""
    prefix = "reply-"
    return {
        name.removeprefix(prefix): value
        for name, value in request.query.items()
        if name.startswith(prefix)
    }


async def _write_body(
    request: web.BaseRequest,
    response: web.StreamResponse,
    byte_range: ByteRange,
    body_fault: tuple[str, int] | None,
    stand_in: "BackendStandIn",
) -> None:
    end = (
        byte_range.end
        if body_fault is None
        else min(byte_range.end, byte_range.start + body_fault[1])
    )
    for start in range(byte_range.start, end, _CHUNK_BYTES):
        chunk = content(start, min(start + _CHUNK_BYTES, end))
        stand_in.sockets.raise_if_silent(request.transport)
        await response.write(chunk)
        stand_in.counters.body_bytes += len(chunk)
    if body_fault is None:
        await response.write_eof()
        return
    _inject_body_fault(request, BodyFault(body_fault[0]), stand_in)


def _inject_body_fault(
    request: web.BaseRequest, body_fault: BodyFault, stand_in: "BackendStandIn"
) -> None:
    transport = request.transport
    if transport is None:
        return
    match body_fault:
        case BodyFault.TRUNCATE:
            transport.close()
        case BodyFault.RESET:
            reset(transport)
        case BodyFault.STALL:
            stand_in.sockets.silence_connection(transport)
            stand_in.sockets.raise_if_silent(transport)
