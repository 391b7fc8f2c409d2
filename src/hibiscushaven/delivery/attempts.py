"""One attempt on a backend server: the request, and the streamed response."""

import asyncio
from collections.abc import AsyncGenerator, Awaitable, Callable
from dataclasses import dataclass, field
from typing import Self

import aiohttp

from hibiscushaven.ini.fields import Endpoint

from .headers import Headers, find_header
from .outcome import AttemptError, FailureKind

__all__ = ["AttemptRequest", "AttemptResponse"]

_EndListener = Callable[[FailureKind | None], Awaitable[None]]


# Failure kinds, with ``None`` for success, after which the connection of an attempt can be reused.
# A refusal that was read completely leaves the connection ready for the next request.
_REUSABLE_AFTER = frozenset({None, FailureKind.REFUSED})


@dataclass(frozen=True, slots=True)
class AttemptRequest:
    """A request to a backend server.

    :ivar target: path and query, sent unchanged.
    :ivar deadline: end of the attempt, in seconds on the event loop's clock.
    :ivar start_by_unix_ms: time after which the backend server must not start the request.
    :ivar use_new_connection: open a connection for the attempt and close it afterwards.
    :ivar guard: called after a connection was acquired, directly before the first byte is
        written; nothing is sent if it returns false.
    :ivar head_timeout_s: maximum time without a byte before the response; ``None`` uses
        the client's progress timeout. Request classes with a longer run time need a longer one.
    :ivar tenant: tenant of the request; attempts of different tenants share no connection.
    :ivar server_id: the only backend server that may run the request, for servers whose
        address may have been reassigned.
    """

    server: Endpoint
    method: str
    target: str
    attempt_id: str
    deadline: float
    headers: Headers = ()
    body: bytes = field(default=b"", repr=False)
    start_by_unix_ms: int | None = None
    use_new_connection: bool = False
    guard: Callable[[], bool] = lambda: True
    head_timeout_s: float | None = None
    tenant: str = ""
    server_id: str = ""


class AttemptResponse:
    """Status and headers of a response, with its body as a stream.

    The body can be iterated once. A response whose body is not read to its end must be closed,
    which closes its connection; until then the connection counts towards the server's limit.

    :ivar bytes_received: bytes of the body received so far.
    """

    def __init__(
        self,
        response: aiohttp.ClientResponse,
        headers: Headers,
        request: AttemptRequest,
        progress_timeout_s: float,
        on_end: _EndListener,
    ) -> None:
        self.status = response.status
        self.headers = headers
        self.bytes_received = 0
        self._response = response
        self._request = request
        self._progress_timeout_s = progress_timeout_s
        self._on_end: _EndListener | None = on_end
        connection = response.connection
        self._protocol = connection.protocol if connection is not None else None
        self._is_chunked = "chunked" in response.headers.get("Transfer-Encoding", "").lower()

    @property
    def content_length(self) -> int | None:
        value = find_header(self.headers, "Content-Length")
        return int(value) if value is not None and value.isdecimal() else None

    @property
    def is_delimited(self) -> bool:
        """Whether the length or the chunked encoding marks the end of the body."""
        return self._is_chunked or self.content_length is not None

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self.close()

    async def close(self, kind: FailureKind | None = None) -> None:
        """Close the connection unless the body was read to its end.

        :param kind: why the response is discarded, if it is invalid.
        """
        await self._finish(kind)

    async def __aiter__(self) -> AsyncGenerator[bytes, None]:
        """Yield the body; iteration ends normally only if the body is complete.

        :raises AttemptError: when the body is truncated, stalls or exceeds the deadline.
        """
        try:
            while True:
                chunk = await self._read()
                if not chunk:
                    break
                self.bytes_received += len(chunk)
                yield chunk
            self._check_length()
        finally:
            # This also closes the response when the consumer stops iterating early.
            await self._finish(None)

    async def read(self, max_bytes: int) -> bytes:
        """Return the complete body.

        :raises AttemptError: as for iteration, and when the body exceeds ``max_bytes``.
        """
        parts: list[bytes] = []
        async for chunk in self:
            parts.append(chunk)
            if self.bytes_received > max_bytes:
                raise AttemptError(FailureKind.MALFORMED, f"a body of more than {max_bytes} bytes")
        return b"".join(parts)

    async def _read(self) -> bytes:
        silence_deadline = asyncio.get_running_loop().time() + self._progress_timeout_s
        deadline = self._request.deadline
        try:
            async with asyncio.timeout_at(min(silence_deadline, deadline)):
                return await self._response.content.readany()
        except (aiohttp.ClientError, OSError) as error:
            # aiohttp raises ClientPayloadError for a body that ended early.
            if isinstance(error, aiohttp.ClientPayloadError):
                kind = FailureKind.TRUNCATED
            elif isinstance(error, TimeoutError):
                kind = FailureKind.DEADLINE if deadline <= silence_deadline else FailureKind.SILENT
            else:
                kind = FailureKind.CONNECTION_LOST
            await self._finish(kind)
            detail = f"{self._request.server} after {self.bytes_received} bytes: {error!r}"
            raise AttemptError(kind, detail) from error

    def _check_length(self) -> None:
        expected = self.content_length
        has_no_body = self._request.method == "HEAD" or self.status in (204, 304)
        if not (has_no_body or self.is_delimited):
            self._check_end_of_connection()
        if expected is None or has_no_body or expected == self.bytes_received:
            return
        raise AttemptError(FailureKind.TRUNCATED, f"{self.bytes_received} of {expected} bytes")

    def _check_end_of_connection(self) -> None:
        """Reject an undelimited body whose connection was reset.

        aiohttp accepts any end of the connection as the end of such a body.
        """
        error = self._protocol.exception() if self._protocol is not None else None
        if error is not None and not isinstance(error, aiohttp.ServerDisconnectedError):
            raise AttemptError(FailureKind.TRUNCATED, f"{self.bytes_received} bytes: {error!r}")

    async def _finish(self, kind: FailureKind | None) -> None:
        if self._on_end is None:
            return
        on_end, self._on_end = self._on_end, None
        if self._response.content.at_eof() and kind in _REUSABLE_AFTER:
            self._response.release()
        else:
            self._response.close()
        await on_end(kind)
