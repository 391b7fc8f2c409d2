"""One attempt on a backend server: its request, and the response as it arrives."""

import asyncio
from collections.abc import AsyncGenerator, Awaitable, Callable
from dataclasses import dataclass, field
from typing import Self

import aiohttp

from hibiscushaven.ini.fields import Endpoint

from .headers import Headers, find_header
from .outcome import AttemptError, Stop

__all__ = ["AttemptHead", "AttemptRequest"]

_OnEnd = Callable[[Stop | None], Awaitable[None]]


# A refusal that has arrived whole leaves its connection fit for the next request.
_CLEAN_STOPS = frozenset({None, Stop.REFUSED, Stop.MISDIRECTED})


@dataclass(frozen=True, slots=True)
class AttemptRequest:
    """A request as it is sent to a backend server.

    :ivar target: path and query, sent as they are.
    :ivar deadline: end of the attempt, on the event loop's clock in seconds.
    :ivar start_by_unix_ms: time after which the backend server must not start the request.
    :ivar use_new_connection: open a connection for the attempt and close it afterwards.
    :ivar guard: asked once the connection was acquired, directly before the first byte is
        written; nothing is sent if it returns false.
    :ivar head_timeout_s: time without a byte before the response; the client's progress
        timeout if ``None``. A class whose requests run longer needs a longer one.
    :ivar tenant: attempts of different tenants share no connection.
    :ivar server_id: the only backend server that may run it, if its address may have been
        given to another one.
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


class AttemptHead:
    """Status and headers of a response, and its body as it arrives.

    The body is read once, by iteration. A head whose body is not read to its end must be
    closed, which closes its connection; until then it counts against the server's connections.

    :ivar bytes_received: bytes of the body received so far.
    """

    def __init__(
        self,
        response: aiohttp.ClientResponse,
        headers: Headers,
        request: AttemptRequest,
        progress_timeout_s: float,
        on_end: _OnEnd,
    ) -> None:
        self.status = response.status
        self.headers = headers
        self.bytes_received = 0
        self._response = response
        self._request = request
        self._progress_timeout_s = progress_timeout_s
        self._on_end: _OnEnd | None = on_end
        connection = response.connection
        self._protocol = connection.protocol if connection is not None else None
        self._is_chunked = "chunked" in response.headers.get("Transfer-Encoding", "").lower()

    @property
    def content_length(self) -> int | None:
        value = find_header(self.headers, "Content-Length")
        return int(value) if value is not None and value.isdecimal() else None

    @property
    def is_delimited(self) -> bool:
        """Whether the end of the body can be told from the end of the connection."""
        return self._is_chunked or self.content_length is not None

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self.close()

    async def close(self, stop: Stop | None = None) -> None:
        """Close the connection unless the body was read to its end.

        :param stop: why the response is given up, if it is wrong.
        """
        await self._finish(stop)

    async def __aiter__(self) -> AsyncGenerator[bytes, None]:
        """Yield the body; return only if it was complete.

        :raises AttemptError: when it was truncated, silent or past the deadline.
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
            # A consumer that stops early ends the attempt as well.
            await self._finish(None)

    async def read(self, max_bytes: int) -> bytes:
        """Return the complete body.

        :raises AttemptError: as for iteration, and when it is longer than ``max_bytes``.
        """
        parts: list[bytes] = []
        async for chunk in self:
            parts.append(chunk)
            if self.bytes_received > max_bytes:
                raise AttemptError(Stop.MALFORMED, f"a body of more than {max_bytes} bytes")
        return b"".join(parts)

    async def _read(self) -> bytes:
        silent_at = asyncio.get_running_loop().time() + self._progress_timeout_s
        deadline = self._request.deadline
        try:
            async with asyncio.timeout_at(min(silent_at, deadline)):
                return await self._response.content.readany()
        except (aiohttp.ClientError, OSError) as error:
            # The stream raises ClientPayloadError for a body that ended early.
            if isinstance(error, aiohttp.ClientPayloadError):
                stop = Stop.TRUNCATED
            elif isinstance(error, TimeoutError):
                stop = Stop.DEADLINE if deadline <= silent_at else Stop.SILENT
            else:
                stop = Stop.CONNECTION_LOST
            await self._finish(stop)
            detail = f"{self._request.server} after {self.bytes_received} bytes: {error!r}"
            raise AttemptError(stop, detail) from error

    def _check_length(self) -> None:
        expected = self.content_length
        is_head = self._request.method == "HEAD" or self.status in (204, 304)
        if not (is_head or self.is_delimited):
            self._check_end_of_connection()
        if expected is None or is_head or expected == self.bytes_received:
            return
        raise AttemptError(Stop.TRUNCATED, f"{self.bytes_received} of {expected} bytes")

    def _check_end_of_connection(self) -> None:
        """Refuse a body without a length whose connection was reset.

        aiohttp takes any end of the connection for the end of such a body.
        """
        error = self._protocol.exception() if self._protocol is not None else None
        if error is not None and not isinstance(error, aiohttp.ServerDisconnectedError):
            raise AttemptError(Stop.TRUNCATED, f"{self.bytes_received} bytes: {error!r}")

    async def _finish(self, stop: Stop | None) -> None:
        if self._on_end is None:
            return
        on_end, self._on_end = self._on_end, None
        if self._response.content.at_eof() and stop in _CLEAN_STOPS:
            self._response.release()
        else:
            self._response.close()
        await on_end(stop)
