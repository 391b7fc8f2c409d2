"""Bodies that the backend stand-in sends, whole or broken off."""

from typing import TYPE_CHECKING

from aiohttp import web

from .backend_model import StopKind, Work
from .content import ByteRange, content, etag, parse_range
from .sockets import reset

if TYPE_CHECKING:
    from .backend import BackendStandIn

__all__ = ["send_body"]

_CHUNK_BYTES = 64 * 1024


async def send_body(
    request: web.BaseRequest, work: Work, attempt_id: dict[str, str], stand_in: "BackendStandIn"
) -> web.StreamResponse:
    """Send the response to a request that ran."""
    tag = etag(work.path, work.body_bytes, stand_in.faults.content_version)
    part = _requested_part(request, work, tag)
    response = web.StreamResponse(status=work.status if part is None else 206)
    response.headers.update({"Request-Outcome": "run", "ETag": tag, "Accept-Ranges": "bytes"})
    response.headers.update(attempt_id)
    if part is not None:
        response.headers["Content-Range"] = f"bytes {part.start}-{part.end - 1}/{work.body_bytes}"
    response.headers.update(_extra_headers(request))
    part = part or ByteRange(0, work.body_bytes)
    if work.is_chunked:
        response.enable_chunked_encoding()
    else:
        response.content_length = part.end - part.start
    stop = stand_in.faults.stops.pop(0) if stand_in.faults.stops else work.stop
    stand_in.sockets.raise_if_silent(request.transport)
    await response.prepare(request)
    if request.method != "HEAD":
        await _write(request, response, part, stop, stand_in)
    return response


def _requested_part(request: web.BaseRequest, work: Work, tag: str) -> ByteRange | None:
    if request.headers.get("If-Range", tag) != tag or work.status != 200:
        return None
    return parse_range(request.headers.get("Range"), work.body_bytes)


def _extra_headers(request: web.BaseRequest) -> dict[str, str]:
    """Return response headers that a test asked for, as ``reply-NAME`` in the query."""
    prefix = "reply-"
    return {
        name.removeprefix(prefix): value
        for name, value in request.query.items()
        if name.startswith(prefix)
    }


async def _write(
    request: web.BaseRequest,
    response: web.StreamResponse,
    part: ByteRange,
    stop: tuple[str, int] | None,
    stand_in: "BackendStandIn",
) -> None:
    end = part.end if stop is None else min(part.end, part.start + stop[1])
    for start in range(part.start, end, _CHUNK_BYTES):
        chunk = content(start, min(start + _CHUNK_BYTES, end))
        stand_in.sockets.raise_if_silent(request.transport)
        await response.write(chunk)
        stand_in.counters.body_bytes += len(chunk)
    if stop is None:
        await response.write_eof()
        return
    _break_off(request, StopKind(stop[0]), stand_in)


def _break_off(request: web.BaseRequest, stop: StopKind, stand_in: "BackendStandIn") -> None:
    transport = request.transport
    if transport is None:
        return
    match stop:
        case StopKind.TRUNCATE:
            transport.close()
        case StopKind.RESET:
            reset(transport)
        case StopKind.STALL:
            stand_in.sockets.silence_one(transport)
            stand_in.sockets.raise_if_silent(transport)
