"""Passing a response on to the VM that relayed its request."""

from collections.abc import AsyncIterator
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

    def __aiter__(self) -> AsyncIterator[bytes]: ...


async def pass_on(response: Response, responder: Responder) -> None:
    """Send a response to the relaying VM as it arrives; a truncated one ends as a failure.

    :raises PeerClosedError: when the connection to the relaying VM ended.
    """
    await responder.head(response.status, response.headers)
    try:
        async for chunk in response:
            await responder.chunk(chunk)
    except (AttemptError, RelayError) as error:
        await responder.fail(Outcome.UNKNOWN, str(error), error.retry_after_s)
        return
    await responder.end()
