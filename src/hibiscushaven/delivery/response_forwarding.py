"""Forwarding of a response to the VM that relayed the request."""

from collections.abc import AsyncGenerator
from contextlib import aclosing
from typing import Protocol

from .headers import Headers
from .outcome import AttemptError, Outcome
from .relay import RelayError
from .relay_server import Responder

__all__ = ["Response", "forward_response"]


class Response(Protocol):
    """An ``AttemptResponse``, ``ResumableResponse`` or ``RelayResponse`` to forward."""

    status: int
    headers: Headers

    def __aiter__(self) -> AsyncGenerator[bytes, None]: ...


async def forward_response(response: Response, responder: Responder) -> None:
    """Stream a response to the relaying VM; report a truncated one as a failure.

    The caller must close the response, preferably with ``async with``.

    :raises PeerClosedError: when the connection to the relaying VM ended.
    """
    await responder.send_head(response.status, response.headers)
    try:
        async with aclosing(aiter(response)) as chunks:
            async for chunk in chunks:
                await responder.send_chunk(chunk)
    except (AttemptError, RelayError) as error:
        await responder.send_failure(Outcome.UNKNOWN, str(error), error.retry_after_s)
        return
    await responder.send_end()
