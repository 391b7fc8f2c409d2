"""Pooled connections of one tenant to one backend server."""

import asyncio
import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

import aiohttp
from aiohttp.client_reqrep import ClientRequest

from hibiscushaven.process import socket_factory

from .response_limits import BoundedResponseHandler

__all__ = ["ConnectionPool", "NotSentError", "Transmission"]

_READ_BUFFER_BYTES = 64 * 1024

# SO_LINGER with a timeout of 0 makes a close reset the connection and discard undelivered data.
# Otherwise the network could hold a request for seconds and deliver it long after its attempt was
# abandoned, to a server that must not receive further requests.
_resetting_socket = socket_factory((socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)))


class NotSentError(Exception):
    """The guard or the deadline stopped a request before anything was written."""


@dataclass(slots=True)
class Transmission:
    """Progress of sending one request on its connection.

    :ivar guard: returns whether the request may still be sent.
    :ivar deadline: time on the event loop's clock after which nothing is written.
    :ivar is_past_deadline: the deadline passed before anything was written.
    :ivar is_sent: a byte of the request may have been written.
    :ivar is_reused: the connection had served an earlier request.
    :ivar is_guard_refused: the guard returned false before anything was written.
    """

    guard: Callable[[], bool]
    deadline: float
    is_past_deadline: bool = False
    is_sent: bool = False
    is_reused: bool = False
    is_guard_refused: bool = False

    def begin(self) -> bool:
        """Check the deadline and the guard; return whether the request may be written."""
        if asyncio.get_running_loop().time() >= self.deadline:
            self.is_past_deadline = True
            return False
        if not self.guard():
            self.is_guard_refused = True
            return False
        self.is_sent = True
        return True


class _GuardedRequest(ClientRequest):
    """Checks the guard after the connection was acquired, directly before the first write.

    aiohttp buffers the head of a request. The head of a request without a body is written inside
    ``send``. With a body, a task that starts later writes the head together with the first part
    of the body, so the guard is checked in ``write_bytes``.
    """

    transmission: Transmission

    async def send(self, conn):  # type: ignore[no-untyped-def]
        if not self._body and not self.transmission.begin():
            raise NotSentError
        return await super().send(conn)

    async def write_bytes(self, writer, conn, content_length=None):  # type: ignore[no-untyped-def]
        if self._body and not self.transmission.begin():
            conn.close()
            return
        await super().write_bytes(writer, conn, content_length)


class ConnectionPool:
    """A session with reused connections and one with single-use connections, under one limit.

    aiohttp's own limit is per connector, so a semaphore limits the two connectors together.

    :param limit: maximum number of open connections, including idle ones.
    :param idle_timeout_s: time after which an idle connection is closed.
    :param id_header: as in ``BoundedResponseHandler``.
    """

    def __init__(self, limit: int, idle_timeout_s: float, id_header: str | None = None) -> None:
        self.limit = limit
        self._semaphore = asyncio.Semaphore(limit)
        self._in_use = 0
        self._is_retired = False
        self._reusing_session = _make_session(
            aiohttp.TCPConnector(
                limit=0, keepalive_timeout=idle_timeout_s, socket_factory=_resetting_socket
            ),
            id_header,
        )
        self._single_use_session = _make_session(
            aiohttp.TCPConnector(limit=0, force_close=True, socket_factory=_resetting_socket),
            id_header,
        )

    @property
    def idle_count(self) -> int:
        """Number of open connections without a request."""
        # aiohttp has no public access to its idle connections.
        return sum(len(items) for items in self._reusing_session.connector._conns.values())

    async def acquire(self, use_new_connection: bool) -> aiohttp.ClientSession:
        """Return the session for one more request; wait while all connections are in use.

        Each call must be followed by a call of ``release``.
        """
        await self._semaphore.acquire()
        self._in_use += 1
        if not use_new_connection:
            return self._reusing_session
        if self._in_use + self.idle_count > self.limit:
            self.close_idle()
        return self._single_use_session

    async def release(self) -> None:
        self._in_use -= 1
        self._semaphore.release()
        if self._is_retired:
            await self._close_unused()

    def close_idle(self) -> None:
        """Close the idle connections."""
        connections = self._reusing_session.connector._conns
        for items in connections.values():
            for protocol, _ in items:
                protocol.abort()
        connections.clear()

    async def retire(self) -> None:
        """Close idle connections now, and the others when their requests have ended."""
        self._is_retired = True
        await self._close_unused()

    async def close(self) -> None:
        await self._reusing_session.close()
        await self._single_use_session.close()

    async def _close_unused(self) -> None:
        self.close_idle()
        if self._in_use == 0:
            await self.close()


def _make_session(connector: aiohttp.TCPConnector, id_header: str | None) -> aiohttp.ClientSession:
    # aiohttp has no public option for the protocol of its connections.
    loop = asyncio.get_running_loop()
    connector._factory = partial(BoundedResponseHandler, loop=loop, id_header=id_header)
    trace = aiohttp.TraceConfig()
    trace.on_connection_reuseconn.append(_mark_reused)
    session = aiohttp.ClientSession(
        connector=connector,
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        trust_env=False,
        request_class=_GuardedRequest,
        trace_configs=[trace],
        read_bufsize=_READ_BUFFER_BYTES,
        skip_auto_headers=("Accept", "Accept-Encoding", "Content-Type", "User-Agent"),
    )
    # Keeps aiohttp from resending idempotent requests when a reused connection was closed.
    session._retry_connection = False
    return session


async def _mark_reused(session, context, params):  # type: ignore[no-untyped-def]
    context.trace_request_ctx.is_reused = True
