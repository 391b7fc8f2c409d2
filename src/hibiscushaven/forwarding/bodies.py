"""Buffering of response bodies."""

from collections.abc import AsyncIterator, Callable

from hibiscushaven.delivery import AttemptResponse

__all__ = ["buffer_body"]

# Response bodies up to this size are buffered completely before the response starts, so that the
# request can be retried if the body is truncated. Larger ones are streamed.
MAX_BUFFERED_BODY_BYTES = 1024 * 1024

# A body is copied when it is complete, and again when it is written.
BODY_FACTOR = 2


async def buffer_body(
    head: AttemptResponse, try_hold: Callable[[int], bool]
) -> tuple[bytes, AsyncIterator[bytes] | None]:
    """Return the body if it is complete, or its beginning and a stream of the remainder.

    :param try_hold: returns whether there is memory for a beginning of the given size.
    """
    body = bytearray()
    chunks = head.__aiter__()
    async for chunk in chunks:
        body += chunk
        if len(body) > MAX_BUFFERED_BODY_BYTES or not try_hold(BODY_FACTOR * len(body)):
            return bytes(body), chunks
    return bytes(body), None
