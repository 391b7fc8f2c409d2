"""ASGI application for callers."""

import asyncio
import logging
from collections.abc import Awaitable

from starlette.types import Receive, Scope, Send

from hibiscushaven.delivery import Headers
from hibiscushaven.process import Clock

from .forwarder import Forwarder
from .messages import Answer, CallerDialect, CallerRequest, refusal

__all__ = ["CallerApp"]

_LOG = logging.getLogger(__name__)

# Bodies of requests in progress, in all: a part of a small VM's memory.
MAX_BODIES_BYTES = 96 * 1024 * 1024

_EMPTY_STATUSES = frozenset({204, 304})


class _CallerLeftError(Exception):
    """The caller closed its connection."""


class CallerApp:
    """Reads requests, hands them to the forwarder and writes the answers.

    A caller that leaves takes its request along: the attempt is cancelled at once, which
    closes its connection to the backend server.

    :ivar is_leaving: whether answers ask callers to close their connections.
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
        except _CallerLeftError:
            _LOG.debug("caller left")
        finally:
            self.in_progress -= 1

    async def _serve(self, scope: Scope, receive: Receive, send: Send) -> None:
        received_at = self._now()
        body = await self._read_body(receive)
        if body is None:
            await self._write(send, scope["method"], refusal("body too large", None, 413))
            return
        self._body_bytes += len(body)
        try:
            request = self._request(scope, body, received_at)
            answer = await _while_caller_waits(self._forwarder.handle(request), receive)
        finally:
            self._body_bytes -= len(body)
        await self._write(send, scope["method"], answer)

    def _request(self, scope: Scope, body: bytes, received_at: float) -> CallerRequest:
        headers: Headers = tuple(
            (name.decode("latin-1"), value.decode("latin-1")) for name, value in scope["headers"]
        )
        path = scope["raw_path"].decode("latin-1")
        query = scope["query_string"].decode("latin-1")
        target = f"{path}?{query}" if query else path
        return self._dialect.read(headers, scope["method"], path, target, body, received_at)

    async def _read_body(self, receive: Receive) -> bytes | None:
        """Return the body, or ``None`` if it is too large to hold."""
        parts: list[bytes] = []
        size = 0
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                raise _CallerLeftError
            parts.append(message.get("body", b""))
            size += len(parts[-1])
            if self._body_bytes + size > MAX_BODIES_BYTES:
                return None
            if not message.get("more_body"):
                return b"".join(parts)

    async def _write(self, send: Send, method: str, answer: Answer) -> None:
        headers = [
            (name.lower().encode("latin-1"), value.encode("latin-1"))
            for name, value in answer.headers
            if name.lower() != "content-length"
        ]
        length = answer.length if answer.length is not None else None
        if answer.rest is None and method != "HEAD":
            length = len(answer.body)
        if length is not None and answer.status not in _EMPTY_STATUSES:
            headers.append((b"content-length", str(length).encode()))
        if self.is_leaving:
            headers.append((b"connection", b"close"))
        await send({"type": "http.response.start", "status": answer.status, "headers": headers})
        has_more = answer.rest is not None
        body = {"type": "http.response.body", "body": answer.body, "more_body": has_more}
        await send(body)
        if answer.rest is None:
            return
        # A rest that breaks off raises here, so that the server closes the connection and
        # the caller sees that the answer is not complete.
        async for chunk in answer.rest:
            await send({"type": "http.response.body", "body": chunk, "more_body": True})
        await send({"type": "http.response.body", "body": b"", "more_body": False})


async def _while_caller_waits(work: Awaitable[Answer], receive: Receive) -> Answer:
    """Return the result of the work; cancel it if the caller leaves before.

    :raises _CallerLeftError: in that case.
    """
    task = asyncio.ensure_future(work)
    leaving = asyncio.ensure_future(_until_caller_leaves(receive))
    try:
        await asyncio.wait((task, leaving), return_when=asyncio.FIRST_COMPLETED)
        if task.done():
            return task.result()
        raise _CallerLeftError
    finally:
        leaving.cancel()
        if not task.done():
            task.cancel()
            await asyncio.wait((task,))


async def _until_caller_leaves(receive: Receive) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass
