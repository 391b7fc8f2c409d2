"""Passing a response on to the VM that relayed its request."""

from collections.abc import AsyncGenerator
from contextlib import aclosing
from typing import Protocol

from .headers import Headers
from .outcome import AttemptError, Outcome
from .relay import RelayError
from .relay_server import Responder

__all__ = ["Response", "pass_on"]


class Response(Protocol):
    """An ``AttemptHead``, ``CompleteBody`` or ``RelayResponse``."""

    status: int
    headers: Headers

    def __aiter__(self) -> AsyncGenerator[bytes, None]: ...


async def pass_on(response: Response, responder: Responder) -> None:
    """Send a response to the relaying VM as it arrives; a truncated one ends as a failure.

    The caller closes the response, best by ``async with``.

    :raises PeerClosedError: when the connection to the relaying VM ended.
    """
    await responder.head(response.status, response.headers)
    try:
        async with aclosing(aiter(response)) as chunks:
            async for chunk in chunks:
                await responder.chunk(chunk)
    except (AttemptError, RelayError) as error:
        await responder.fail(Outcome.UNKNOWN, str(error), error.retry_after_s)
        return
    await responder.end()
