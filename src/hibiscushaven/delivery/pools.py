"""Connections to one backend server for one tenant."""

import asyncio
import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass

import aiohttp
from aiohttp.client_reqrep import ClientRequest

from hibiscushaven.process import socket_factory

__all__ = ["NotSentError", "Pool", "Transmission"]

_READ_BUFFER_BYTES = 64 * 1024

# A close resets the connection (lingering on, for no time), which drops what was not delivered.
# The network may hold a request for seconds and deliver it long after its attempt was given up,
# to a server that must not get any more.
_resetting_socket = socket_factory((socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)))


class NotSentError(Exception):
    """The guard or the deadline stopped a request before anything was written."""


@dataclass(slots=True)
class Transmission:
    """How far one request got on its connection.

    :ivar deadline: time on the event loop's clock after which nothing is written.
    :ivar is_late: the deadline passed before anything was written.
    :ivar is_sent: a byte of the request may have been written.
    :ivar is_reused: the connection had served an earlier request.
    """

    guard: Callable[[], bool]
    deadline: float
    is_late: bool = False
    is_sent: bool = False
    is_reused: bool = False
    is_refused: bool = False

    def begin(self) -> bool:
        """Ask the guard; return whether the request may be written."""
        if asyncio.get_running_loop().time() >= self.deadline:
            self.is_late = True
            return False
        if not self.guard():
            self.is_refused = True
            return False
        self.is_sent = True
        return True


class _GuardedRequest(ClientRequest):
    """Asks the guard once the connection was acquired, directly before writing.

    aiohttp buffers the head of a request. Without a body it is written inside ``send``; with
    a body it is written together with the first part of the body, in a task that starts
    later, so that the guard is asked there.
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


class Pool:
    """Sessions for reused and for new connections, under one limit.

    aiohttp's own limit is per connector, so a gate limits the two connectors together.

    :param limit: most connections open at a time, idle ones included.
    :param idle_timeout_s: time after which an idle connection is closed.
    """

    def __init__(self, limit: int, idle_timeout_s: float) -> None:
        self.limit = limit
        self._gate = asyncio.Semaphore(limit)
        self._in_use = 0
        self._is_retired = False
        self._reusing = _session(
            aiohttp.TCPConnector(
                limit=0, keepalive_timeout=idle_timeout_s, socket_factory=_resetting_socket
            )
        )
        self._fresh = _session(
            aiohttp.TCPConnector(limit=0, force_close=True, socket_factory=_resetting_socket)
        )

    @property
    def idle(self) -> int:
        """The number of open connections without a request."""
        # aiohttp has no public view of its idle connections.
        return sum(len(items) for items in self._reusing.connector._conns.values())

    async def enter(self, use_new_connection: bool) -> aiohttp.ClientSession:
        """Return the session for one more request, waiting while all connections are in use.

        ``leave`` must follow.
        """
        await self._gate.acquire()
        self._in_use += 1
        if not use_new_connection:
            return self._reusing
        if self._in_use + self.idle > self.limit:
            self.drop_idle()
        return self._fresh

    async def leave(self) -> None:
        self._in_use -= 1
        self._gate.release()
        if self._is_retired:
            await self._close_unused()

    def drop_idle(self) -> None:
        """Close the idle connections."""
        connections = self._reusing.connector._conns
        for items in connections.values():
            for protocol, _ in items:
                protocol.abort()
        connections.clear()

    async def retire(self) -> None:
        """Close the idle connections now and the others when their requests have ended."""
        self._is_retired = True
        await self._close_unused()

    async def close(self) -> None:
        await self._reusing.close()
        await self._fresh.close()

    async def _close_unused(self) -> None:
        self.drop_idle()
        if self._in_use == 0:
            await self.close()


def _session(connector: aiohttp.TCPConnector) -> aiohttp.ClientSession:
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
    # aiohttp resends idempotent methods on a reused connection that was closed.
    session._retry_connection = False
    return session


async def _mark_reused(session, context, params):  # type: ignore[no-untyped-def]
    context.trace_request_ctx.is_reused = True
