"""Connections of one VM to its peers: one for each peer and channel."""

import asyncio
import logging
import sys
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass
from enum import StrEnum

from hibiscushaven.ini.fields import Endpoint
from hibiscushaven.process import (
    ACCEPTS_PER_TURN,
    BudgetLimits,
    ConnectionBudget,
    StreamConnection,
    listen,
)

from .messages import DecodeError, Message, message
from .stream import PeerClosedError, PeerStream

__all__ = ["Channel", "Hello", "MessageHandler", "PeerConnection", "PeerHub", "PeerIdentity"]

_LOG = logging.getLogger(__name__)
_CONNECT_TIMEOUT_S = 1.0
_CONTROL_IDLE_TIMEOUT_S = 1.6

# Limits of connections that this VM opens itself.
_UNLIMITED = BudgetLimits(memory_bytes=sys.maxsize, connections=sys.maxsize)


class Channel(StrEnum):
    """Kind of traffic that a connection carries.

    Each channel has a connection of its own, so that long bodies never delay heartbeats or
    short requests.
    """

    CONTROL = "control"
    SHORT = "short"
    BULK = "bulk"


@dataclass(frozen=True, slots=True)
class PeerIdentity:
    """Name, location and address of a daemon.

    :ivar incarnation: random id that each start of the daemon draws anew.
    """

    vm: str
    incarnation: str
    failure_domain: str
    region: str
    host: str
    peer_port: int

    @property
    def endpoint(self) -> Endpoint:
        return Endpoint(self.host, self.peer_port)


@message("hello")
@dataclass(frozen=True, slots=True)
class Hello(Message):
    """First message in each direction of a connection; identifies the sender."""

    vm: str
    incarnation: str
    failure_domain: str
    region: str
    host: str
    peer_port: int
    channel: str

    @property
    def identity(self) -> PeerIdentity:
        return PeerIdentity(
            self.vm,
            self.incarnation,
            self.failure_domain,
            self.region,
            self.host,
            self.peer_port,
        )


@dataclass(frozen=True, slots=True, eq=False)
class PeerConnection:
    """An open connection to a peer."""

    identity: PeerIdentity
    channel: Channel
    stream: PeerStream


MessageHandler = Callable[[PeerConnection, Message], Awaitable[None]]
CloseListener = Callable[[PeerConnection], None]


class PeerHub:
    """Accepts and opens connections to peers and dispatches the messages that they receive.

    :param handler: awaited for each message that has no subscribed handler, in order of
        arrival on its connection.
    :param on_close: called after a connection has ended.
    :param budget: budget that connections of other VMs share with those of callers.
    """

    def __init__(
        self,
        identity: PeerIdentity,
        handler: MessageHandler,
        on_close: Callable[[PeerConnection], None] = lambda connection: None,
        budget: ConnectionBudget | None = None,
    ) -> None:
        self._budget = budget or ConnectionBudget()
        self._own_budget = ConnectionBudget(_UNLIMITED)
        self._identity = identity
        self._handler = handler
        self._close_listeners: list[CloseListener] = [on_close]
        self._handlers: dict[type[Message], MessageHandler] = {}
        self._server: asyncio.Server | None = None
        self._connections: dict[tuple[Endpoint, Channel], PeerConnection] = {}
        self._connecting: dict[tuple[Endpoint, Channel], asyncio.Task[PeerConnection]] = {}
        self._tasks: dict[asyncio.Task[None], None] = {}

    @property
    def identity(self) -> PeerIdentity:
        return self._identity

    def subscribe(self, kinds: Iterable[type[Message]], handler: MessageHandler) -> None:
        """Dispatch messages of these classes to ``handler``, not to the hub's default one."""
        for kind in kinds:
            if self._handlers.setdefault(kind, handler) is not handler:
                raise ValueError(f"messages of class {kind.__name__} already have a handler")

    def add_close_listener(self, listener: CloseListener) -> None:
        """Add a function to call after a connection has ended."""
        self._close_listeners.append(listener)

    async def listen(self) -> None:
        """Accept connections on the identity's address."""
        self._server = await asyncio.start_server(
            self._accept,
            sock=listen(self._identity.host, self._identity.peer_port),
            backlog=ACCEPTS_PER_TURN,
        )

    async def close(self) -> None:
        if self._server is not None:
            self._server.close()
        for task in (*self._tasks, *self._connecting.values()):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def existing_connection(self, endpoint: Endpoint, channel: Channel) -> PeerConnection | None:
        """Return the open connection to a peer, or ``None``; never opens one."""
        connection = self._connections.get((endpoint, channel))
        return connection if connection is not None and not connection.stream.is_closing else None

    async def connection(self, endpoint: Endpoint, channel: Channel) -> PeerConnection:
        """Return the open connection to a peer, opening one if there is none.

        :raises PeerClosedError: when the peer cannot be reached.
        """
        key = (endpoint, channel)
        connection = self.existing_connection(endpoint, channel)
        if connection is not None:
            return connection
        task = self._connecting.get(key)
        if task is None:
            task = asyncio.create_task(self._connect(endpoint, channel))
            self._connecting[key] = task
            task.add_done_callback(lambda _: self._connecting.pop(key, None))
        return await asyncio.shield(task)

    async def send(self, endpoint: Endpoint, channel: Channel, item: Message) -> None:
        """Send a message to a peer.

        :raises PeerClosedError: when the peer cannot be reached.
        """
        connection = await self.connection(endpoint, channel)
        await connection.stream.send(item)

    def close_connections(self, endpoint: Endpoint) -> None:
        """Close all connections to a peer; the next use opens new ones."""
        for channel in Channel:
            connection = self._connections.pop((endpoint, channel), None)
            if connection is not None:
                connection.stream.close()

    def abort_connection(self, connection: PeerConnection) -> None:
        """Abort one unresponsive connection; the peer's other channels stay open.

        The peer of such a connection never acknowledges a graceful close, so unsent data
        would stay in the buffer and the connection would never be reported as closed.
        """
        self._unregister(connection)
        connection.stream.abort()

    def _unregister(self, connection: PeerConnection) -> None:
        for key in [key for key, item in self._connections.items() if item is connection]:
            del self._connections[key]

    async def _connect(self, endpoint: Endpoint, channel: Channel) -> PeerConnection:
        try:
            async with asyncio.timeout(_CONNECT_TIMEOUT_S):
                reader, writer = await self._open_connection(endpoint)
        except (OSError, TimeoutError) as error:
            raise PeerClosedError(f"no connection to {endpoint}: {error!r}") from error
        own = StreamConnection(writer, self._own_budget)
        stream = PeerStream(reader, writer, own, _idle_timeout(channel))
        stream.send_nowait(self._hello(channel))
        try:
            async with asyncio.timeout(_CONNECT_TIMEOUT_S):
                hello = await stream.receive()
        except (TimeoutError, DecodeError) as error:
            stream.close()
            raise PeerClosedError(f"no hello message from {endpoint}") from error
        if not isinstance(hello, Hello):
            stream.close()
            raise PeerClosedError(f"{endpoint} sent {hello.kind!r} instead of a hello message")
        connection = PeerConnection(hello.identity, channel, stream)
        self._spawn(self._serve(connection))
        return self._register(endpoint, connection, is_outgoing=True)

    async def _open_connection(
        self, endpoint: Endpoint
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a TCP connection; tests override this with an in-memory one."""
        return await asyncio.open_connection(endpoint.host, endpoint.port)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        stream = PeerStream(reader, writer, StreamConnection(writer, self._budget))
        self._budget.relieve()
        try:
            hello = await stream.receive()
            if not isinstance(hello, Hello):
                raise PeerClosedError("the first message is not a hello message")
            channel = Channel(hello.channel)
            stream.idle_timeout_s = _idle_timeout(channel)
            stream.send_nowait(self._hello(channel))
        except (PeerClosedError, DecodeError, ValueError) as error:
            _LOG.info("peer connection refused", extra={"reason": str(error)})
            stream.close()
            return
        connection = PeerConnection(hello.identity, channel, stream)
        if channel is Channel.CONTROL:
            self._register(hello.identity.endpoint, connection, is_outgoing=False)
        self._spawn(self._serve(connection))

    def _register(
        self, endpoint: Endpoint, connection: PeerConnection, is_outgoing: bool
    ) -> PeerConnection:
        """Register a connection for sending, and return the one to use for its channel.

        Both VMs send control messages over the connection that the VM with the lower address
        opened. Traffic then flows in both directions on it, so an idle timeout means that
        the network path is lost.
        """
        known = self.existing_connection(endpoint, connection.channel)
        is_preferred = is_outgoing == (self._identity.endpoint < endpoint)
        if known is None or connection.channel is not Channel.CONTROL or is_preferred:
            self._connections[(endpoint, connection.channel)] = connection
            return connection
        return known

    async def _serve(self, connection: PeerConnection) -> None:
        try:
            while True:
                item = await connection.stream.receive()
                await self._handlers.get(type(item), self._handler)(connection, item)
        except (PeerClosedError, DecodeError) as error:
            _LOG.debug(
                "peer connection ended", extra={"vm": connection.identity.vm, "why": str(error)}
            )
        finally:
            connection.stream.close()
            self._unregister(connection)
            for listener in self._close_listeners:
                listener(connection)

    def _hello(self, channel: Channel) -> Hello:
        own = self._identity
        return Hello(
            own.vm,
            own.incarnation,
            own.failure_domain,
            own.region,
            own.host,
            own.peer_port,
            channel,
        )

    def _spawn(self, work: Awaitable[None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks[task] = None
        task.add_done_callback(lambda done: self._tasks.pop(done, None))


def _idle_timeout(channel: Channel) -> float | None:
    """Return the time without received data after which a connection is closed, in seconds.

    Control connections carry heartbeats or digests both ways, so that a lost path is detected
    before the peer counts as down. The other channels are idle between requests, and
    requests on them have a progress timeout of their own.
    """
    return _CONTROL_IDLE_TIMEOUT_S if channel is Channel.CONTROL else None
