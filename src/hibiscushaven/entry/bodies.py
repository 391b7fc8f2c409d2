"""Reads request bodies of callers."""

from starlette.requests import Request

from .problems import Problem

__all__ = ["read_body"]

# Closing a connection with unread data resets it, and the caller may then lose the response.
# The rest of a body that is too long is therefore read and discarded, up to this size.
_MAX_DISCARDED_BYTES = 16 * 1024 * 1024


async def read_body(request: Request, limit: int) -> bytes | Problem:
    """Return the body, or a 413 problem if it is longer than the limit.

    :param limit: longest body, in bytes.
    :raises ClientDisconnect: when the caller disconnected before the end of the body.
    """
    too_long = Problem(413, "request body too long", f"more than {limit} bytes")
    if _is_announced_too_long(request, limit):
        # With ``Expect: 100-continue`` the caller does not send the body after an error.
        return too_long
    body = bytearray()
    size = 0
    async for chunk in request.stream():
        size += len(chunk)
        if size > limit + _MAX_DISCARDED_BYTES:
            break
        if size <= limit:
            body += chunk
        else:
            body.clear()
    return too_long if size > limit else bytes(body)


def _is_announced_too_long(request: Request, limit: int) -> bool:
    length = request.headers.get("content-length", "")
    awaits_continue = request.headers.get("expect", "").lower() == "100-continue"
    return awaits_continue and length.isdecimal() and int(length[:18]) > limit
