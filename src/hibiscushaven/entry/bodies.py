"""Reading of callers' request bodies."""

from starlette.requests import Request

from .problems import Problem

__all__ = ["read_body"]

# The server resets a connection that is closed with unread data, and the caller may then lose
# the answer. What is left of a body that is too long is therefore read, up to this size.
_DISCARDED_BYTES = 16 * 1024 * 1024


async def read_body(request: Request, limit: int) -> bytes | Problem:
    """Return the body, or that it is longer than the limit in bytes.

    :raises ClientDisconnect: when the caller went away before its end.
    """
    too_long = Problem(413, "request body too long", f"more than {limit} bytes")
    if _is_announced_too_long(request, limit):
        # The caller waits for leave to send the body, and does not send it after an error.
        return too_long
    parts: list[bytes] = []
    size = 0
    async for chunk in request.stream():
        size += len(chunk)
        if size > limit + _DISCARDED_BYTES:
            break
        if size <= limit:
            parts.append(chunk)
        else:
            parts.clear()
    return too_long if size > limit else b"".join(parts)


def _is_announced_too_long(request: Request, limit: int) -> bool:
    length = request.headers.get("content-length", "")
    waits = request.headers.get("expect", "").lower() == "100-continue"
    return waits and length.isdecimal() and int(length[:18]) > limit
