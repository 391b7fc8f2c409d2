"""ASGI application that serves callers."""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from dataclasses import replace

from starlette.types import Receive, Scope, Send

from hibiscushaven.delivery import Headers
from hibiscushaven.process import Clock

from .forwarder import Forwarder
from .messages import CallerDialect, CallerRequest, CallerResponse

__all__ = ["CallerApp"]

_LOG = logging.getLogger(__name__)

# Memory of a response that is passed on while it arrives.
STREAM_BYTES = 256 * 1024

_BODILESS_STATUSES = frozenset({204, 304})
_RETRY_LATER = 503


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
        body = await _read_body(receive)
        request = self._request(scope, body, received_at)
        work = self._forwarder.handle(request)
        await self._write(send, scope, request, await _cancel_on_disconnect(work, receive))

    def _request(self, scope: Scope, body: bytes, received_at: float) -> CallerRequest:
        headers: Headers = tuple(
            (name.decode("latin-1"), value.decode("latin-1")) for name, value in scope["headers"]
        )
        path = scope["raw_path"].decode("latin-1")
        query = scope["query_string"].decode("latin-1")
        target = f"{path}?{query}" if query else path
        request = self._dialect.read(headers, scope["method"], path, target, body, received_at)
        return replace(request, try_hold_response=_response_memory(scope))

    async def _write(
        self, send: Send, scope: Scope, request: CallerRequest, response: CallerResponse
    ) -> None:
        if response.status == _RETRY_LATER and response.is_own:
            # The requests behind this one on the connection cannot wait as the response asks.
            scope.get("state", {}).get("drop_queued_requests", lambda: None)()
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
        body, stream = response.body, response.body_stream
        # The beginning of a long response is freed once it is written.
        del response
        await send({"type": "http.response.body", "body": body, "more_body": stream is not None})
        del body
        if stream is None:
            return
        request.try_hold_response(STREAM_BYTES)
        # A truncated body raises an exception here, so that the server closes the connection and
        # the caller sees that the response is incomplete.
        async for chunk in stream:
            await send({"type": "http.response.body", "body": chunk, "more_body": True})
        await send({"type": "http.response.body", "body": b"", "more_body": False})


async def _read_body(receive: Receive) -> bytes:
    """Return the body.

    :raises _CallerDisconnectedError: when the caller disconnects, or the body is rejected.
    """
    body = bytearray()
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise _CallerDisconnectedError
        body += message.get("body", b"")
        if not message.get("more_body"):
            return bytes(body)


def _response_memory(scope: Scope) -> Callable[[int], bool]:
    """Return the function by which a server bounds the memory of responses, if it does."""
    return scope.get("state", {}).get("try_hold_response", lambda size: True)


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
