"""Listening socket and connections of a stand-in, with the ways in which they fail."""

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable
from weakref import WeakKeyDictionary, WeakSet

from aiohttp import web

__all__ = ["SilentError", "Sockets", "reset"]

_KEEPALIVE_S = 75.0
_BACKLOG = 1024
_LINGER_OFF = struct.pack("ii", 1, 0)

_Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


def reset(transport: asyncio.BaseTransport) -> None:
    """Close a connection with a reset, which a plain abort sends only if data is unread."""
    if not transport.is_closing():
        own = transport.get_extra_info("socket")
        own.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_OFF)
    transport.abort()


class SilentError(Exception):
    """The connection of a response is silent; nothing can be sent on it."""


class _HttpServer(web.Server):
    """Reports connections as they open and close."""

    def __init__(self, sockets: "Sockets", handler: _Handler, stops_on_disconnect: bool) -> None:
        super().__init__(
            handler,
            handler_cancellation=stops_on_disconnect,
            access_log=None,
            keepalive_timeout=_KEEPALIVE_S,
        )
        self._sockets = sockets

    def connection_made(self, handler, transport):  # type: ignore[no-untyped-def]
        super().connection_made(handler, transport)
        self._sockets.opened(transport)

    def connection_lost(self, handler, exc=None):  # type: ignore[no-untyped-def]
        # The handler has forgotten its transport by now; the server has not.
        transport = self._connections.get(handler)
        super().connection_lost(handler, exc)
        if transport is not None:
            self._sockets.closed(transport)


class Sockets:
    """Connections of one server.

    :param limit: most connections; further ones are reset.
    :param connect_ms: time that each new connection takes; connections wait for each other.
    :param on_change: called when a connection opened or closed.
    """

    def __init__(
        self,
        handler: _Handler,
        limit: int,
        connect_ms: float,
        stops_on_disconnect: bool = False,
        on_change: Callable[[], None] = lambda: None,
    ) -> None:
        self._handler = handler
        self._limit = limit
        self._connect_ms = connect_ms
        self._stops_on_disconnect = stops_on_disconnect
        self._on_change = on_change
        self._listener: asyncio.Server | None = None
        self._numbers: WeakKeyDictionary[asyncio.BaseTransport, int] = WeakKeyDictionary()
        self._greeted: WeakSet[asyncio.BaseTransport] = WeakSet()
        self._silent: WeakSet[asyncio.BaseTransport] = WeakSet()
        self._greeting = asyncio.Lock()
        self._aborted = asyncio.Event()
        self.most_open = 0
        self.made = 0
        self.refused = 0
        self.host = ""
        self.port = 0

    @property
    def open(self) -> int:
        """The number of open connections."""
        return len(self._numbers)

    async def listen(self, host: str, port: int) -> int:
        """Accept connections; return the port, which is chosen if it is 0."""
        server = _HttpServer(self, self._handler, self._stops_on_disconnect)
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(server, host, port, backlog=_BACKLOG)
        self.host, self.port = host, self._listener.sockets[0].getsockname()[1]
        return self.port

    async def listen_again(self) -> None:
        """Accept connections on the address from before."""
        await self.listen(self.host, self.port)

    def abort(self) -> None:
        """Stop accepting and reset all connections."""
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        for transport in tuple(self._numbers):
            reset(transport)
        self._aborted.set()
        self._aborted = asyncio.Event()

    def close_connections(self) -> None:
        """Close all connections in the regular way, as a server does with idle ones."""
        for transport in tuple(self._numbers):
            transport.close()

    def silence(self) -> None:
        """Make the connections that are open now silent for good; new ones work."""
        for transport in tuple(self._numbers):
            self.silence_one(transport)

    def silence_one(self, transport: asyncio.BaseTransport) -> None:
        self._silent.add(transport)
        transport.pause_reading()

    def number(self, transport: asyncio.BaseTransport) -> int:
        """Return the number of a connection, counted from 1."""
        return self._numbers.get(transport, 0)

    async def greet(self, transport: asyncio.BaseTransport) -> None:
        """Spend the time that a new connection takes."""
        if transport in self._greeted:
            return
        self._greeted.add(transport)
        if self._connect_ms > 0:
            async with self._greeting:
                await asyncio.sleep(self._connect_ms / 1000)

    def raise_if_silent(self, transport: asyncio.BaseTransport | None) -> None:
        """Refuse to send on a silent connection.

        :raises SilentError: when it is silent.
        """
        if transport is not None and transport in self._silent:
            raise SilentError

    async def wait_for_abort(self) -> None:
        """Wait until all connections are reset."""
        await self._aborted.wait()

    def opened(self, transport: asyncio.BaseTransport) -> None:
        if self.open >= self._limit:
            self.refused += 1
            # aiohttp expects a connection to live until its task has started.
            asyncio.get_running_loop().call_soon(reset, transport)
            return
        self.made += 1
        self._numbers[transport] = self.made
        self.most_open = max(self.most_open, self.open)
        self._on_change()

    def closed(self, transport: asyncio.BaseTransport) -> None:
        if self._numbers.pop(transport, None) is not None:
            self._on_change()
