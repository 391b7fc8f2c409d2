"""ASGI application that serves callers."""

import asyncio
import logging
from collections.abc import Awaitable

from starlette.types import Receive, Scope, Send

from hibiscushaven.delivery import Headers
from hibiscushaven.process import Clock

from .forwarder import Forwarder
from .messages import CallerDialect, CallerRequest, CallerResponse, rejection_response

__all__ = ["CallerApp"]

_LOG = logging.getLogger(__name__)

# Limit on the total size of the bodies of all requests in progress: a fraction of the memory of a
# small VM.
MAX_TOTAL_BODY_BYTES = 96 * 1024 * 1024

_BODILESS_STATUSES = frozenset({204, 304})


class _CallerDisconnectedError(Exception):
    """The caller closed its connection."""


class CallerApp:
    """Reads requests, passes them to the forwarder and writes the responses.

    When a caller disconnects, its request is cancelled at once, which closes the connection of
    the attempt to the backend server.

    :ivar is_leaving: whether responses ask callers to close their connections.
    :ivar last_request_at: time of the latest request.
    """

    def __init__(self, forwarder: Forwarder, dialect: CallerDialect, clock: Clock) -> None:
        self._forwarder = forwarder
        self._dialect = dialect
        self._now = clock.now
        self._body_bytes = 0
        self.is_leaving = False
        self.in_progress = 0
        self.last_request_at = 0.0

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        if scope["type"] != "http":
            return
        self.in_progress += 1
        self.last_request_at = self._now()
        try:
            await self._serve(scope, receive, send)
        except _CallerDisconnectedError:
            _LOG.debug("caller disconnected")
        finally:
            self.in_progress -= 1

    async def _serve(self, scope: Scope, receive: Receive, send: Send) -> None:
        received_at = self._now()
        body = await self._read_body(receive)
        if body is None:
            request = self._request(scope, b"", received_at)
            response = rejection_response("body too large", None, 413)
            await self._write(send, request, response)
            return
        self._body_bytes += len(body)
        try:
            request = self._request(scope, body, received_at)
            response = await _cancel_on_disconnect(self._forwarder.handle(request), receive)
        finally:
            self._body_bytes -= len(body)
        await self._write(send, request, response)

    def _request(self, scope: Scope, body: bytes, received_at: float) -> CallerRequest:
        headers: Headers = tuple(
            (name.decode("latin-1"), value.decode("latin-1")) for name, value in scope["headers"]
        )
        path = scope["raw_path"].decode("latin-1")
        query = scope["query_string"].decode("latin-1")
        target = f"{path}?{query}" if query else path
        return self._dialect.read(headers, scope["method"], path, target, body, received_at)

    async def _read_body(self, receive: Receive) -> bytes | None:
        """Return the body, or ``None`` if the bodies in progress would exceed their limit."""
        parts: list[bytes] = []
        size = 0
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                raise _CallerDisconnectedError
            parts.append(message.get("body", b""))
            size += len(parts[-1])
            if self._body_bytes + size > MAX_TOTAL_BODY_BYTES:
                return None
            if not message.get("more_body"):
                return b"".join(parts)

    async def _write(self, send: Send, request: CallerRequest, response: CallerResponse) -> None:
        headers = [
            (name.lower().encode("latin-1"), value.encode("latin-1"))
            for name, value in response.headers
            if name.lower() != "content-length"
        ]
        if response.is_own and request.request_id:
            id_header = self._dialect.id_header.lower()
            headers.append((id_header.encode(), request.request_id.encode("latin-1")))
        length = response.length if response.length is not None else None
        if response.body_stream is None and request.method != "HEAD":
            length = len(response.body)
        if length is not None and response.status not in _BODILESS_STATUSES:
            headers.append((b"content-length", str(length).encode()))
        if self.is_leaving:
            headers.append((b"connection", b"close"))
        await send({"type": "http.response.start", "status": response.status, "headers": headers})
        has_more = response.body_stream is not None
        body = {"type": "http.response.body", "body": response.body, "more_body": has_more}
        await send(body)
        if response.body_stream is None:
            return
        # A truncated body raises an exception here, so that the server closes the connection and
        # the caller sees that the response is incomplete.
        async for chunk in response.body_stream:
            await send({"type": "http.response.body", "body": chunk, "more_body": True})
        await send({"type": "http.response.body", "body": b"", "more_body": False})


async def _cancel_on_disconnect(
    work: Awaitable[CallerResponse], receive: Receive
) -> CallerResponse:
    """Return the result of the work, or cancel it if the caller disconnects first.

    :raises _CallerDisconnectedError: when the caller disconnects before the work is done.
    """
    task = asyncio.ensure_future(work)
    disconnect = asyncio.ensure_future(_wait_for_disconnect(receive))
    try:
        await asyncio.wait((task, disconnect), return_when=asyncio.FIRST_COMPLETED)
        if task.done():
            return task.result()
        raise _CallerDisconnectedError
    finally:
        disconnect.cancel()
        if not task.done():
            task.cancel()
            await asyncio.wait((task,))


async def _wait_for_disconnect(receive: Receive) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass
