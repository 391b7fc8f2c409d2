"""Listening socket and connections of a stand-in, with connection faults."""

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable
from weakref import WeakKeyDictionary, WeakSet

from aiohttp import web

__all__ = ["ServerSockets", "SilentConnectionError", "reset"]

_KEEPALIVE_S = 75.0
_BACKLOG = 1024
# On with a timeout of 0 s: closing the socket sends a reset.
_LINGER_ZERO = struct.pack("ii", 1, 0)

_Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


def reset(transport: asyncio.BaseTransport) -> None:
    """Close a connection with a TCP reset; ``abort`` alone sends one only if data is unread."""
    if not transport.is_closing():
        tcp_socket = transport.get_extra_info("socket")
        tcp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ZERO)
    transport.abort()


class SilentConnectionError(Exception):
    """The connection was made silent by a fault; nothing may be sent on it."""


class _HttpServer(web.Server):
    """HTTP server that reports connections to ``ServerSockets`` as they open and close."""

    def __init__(
        self, sockets: "ServerSockets", handler: _Handler, stops_on_disconnect: bool
    ) -> None:
        super().__init__(
            handler,
            handler_cancellation=stops_on_disconnect,
            access_log=None,
            keepalive_timeout=_KEEPALIVE_S,
        )
        self._sockets = sockets

    def connection_made(self, handler, transport):  # type: ignore[no-untyped-def]
        super().connection_made(handler, transport)
        self._sockets.connection_opened(transport)

    def connection_lost(self, handler, exc=None):  # type: ignore[no-untyped-def]
        # The handler has already dropped its transport; the server still knows it.
        transport = self._connections.get(handler)
        super().connection_lost(handler, exc)
        if transport is not None:
            self._sockets.connection_closed(transport)


class ServerSockets:
    """Listening socket and open connections of one server.

    :param max_connections: most open connections; further ones are reset.
    :param connect_ms: time to set up a new connection; connections are set up one at a time.
    :param on_change: called when a connection was opened or closed.
    :ivar max_open: highest number of connections open at the same time.
    """

    def __init__(
        self,
        handler: _Handler,
        max_connections: int,
        connect_ms: float,
        stops_on_disconnect: bool = False,
        on_change: Callable[[], None] = lambda: None,
    ) -> None:
        self._handler = handler
        self._max_connections = max_connections
        self._connect_ms = connect_ms
        self._stops_on_disconnect = stops_on_disconnect
        self._on_change = on_change
        self._listener: asyncio.Server | None = None
        self._connection_numbers: WeakKeyDictionary[asyncio.BaseTransport, int] = (
            WeakKeyDictionary()
        )
        self._established: WeakSet[asyncio.BaseTransport] = WeakSet()
        self._silent: WeakSet[asyncio.BaseTransport] = WeakSet()
        self._connect_lock = asyncio.Lock()
        self._aborted = asyncio.Event()
        self.max_open = 0
        self.accepted = 0
        self.refused = 0
        self.host = ""
        self.port = 0

    @property
    def open_count(self) -> int:
        """Number of open connections."""
        return len(self._connection_numbers)

    async def listen(self, host: str, port: int) -> int:
        """Accept connections; return the port, which the system chooses if ``port`` is 0."""
        server = _HttpServer(self, self._handler, self._stops_on_disconnect)
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(server, host, port, backlog=_BACKLOG)
        self.host, self.port = host, self._listener.sockets[0].getsockname()[1]
        return self.port

    async def listen_again(self) -> None:
        """Accept connections on the previous address and port."""
        await self.listen(self.host, self.port)

    def abort(self) -> None:
        """Stop accepting connections and reset the open ones."""
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        for transport in tuple(self._connection_numbers):
            reset(transport)
        self._aborted.set()
        self._aborted = asyncio.Event()

    def close_connections(self) -> None:
        """Close all connections without a reset, as a server closes idle ones."""
        for transport in tuple(self._connection_numbers):
            transport.close()

    def silence(self) -> None:
        """Make the open connections silent permanently: they stay open, and neither read nor send.

        New connections work.
        """
        for transport in tuple(self._connection_numbers):
            self.silence_connection(transport)

    def silence_connection(self, transport: asyncio.BaseTransport) -> None:
        self._silent.add(transport)
        transport.pause_reading()

    def connection_number(self, transport: asyncio.BaseTransport) -> int:
        """Return the number of a connection, counted from 1."""
        return self._connection_numbers.get(transport, 0)

    async def delay_new_connection(self, transport: asyncio.BaseTransport) -> None:
        """Wait ``connect_ms`` on the first request of a connection."""
        if transport in self._established:
            return
        self._established.add(transport)
        if self._connect_ms > 0:
            async with self._connect_lock:
                await asyncio.sleep(self._connect_ms / 1000)

    def raise_if_silent(self, transport: asyncio.BaseTransport | None) -> None:
        """Raise if a connection is silent.

        :raises SilentConnectionError: if nothing may be sent on it.
        """
        if transport is not None and transport in self._silent:
            raise SilentConnectionError

    async def wait_for_abort(self) -> None:
        """Wait until ``abort`` has reset all connections."""
        await self._aborted.wait()

    def connection_opened(self, transport: asyncio.BaseTransport) -> None:
        if self.open_count >= self._max_connections:
            self.refused += 1
            # aiohttp fails if a connection closes before its task has started.
            asyncio.get_running_loop().call_soon(reset, transport)
            return
        self.accepted += 1
        self._connection_numbers[transport] = self.accepted
        self.max_open = max(self.max_open, self.open_count)
        self._on_change()

    def connection_closed(self, transport: asyncio.BaseTransport) -> None:
        if self._connection_numbers.pop(transport, None) is not None:
            self._on_change()
