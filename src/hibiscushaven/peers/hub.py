"""Connections of one VM to its peers: one per peer and lane."""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass
from enum import StrEnum

from hibiscushaven.ini.fields import Endpoint

from .messages import DecodeError, Message, message
from .stream import PeerClosedError, PeerStream

__all__ = ["Handler", "Hello", "Lane", "PeerHub", "PeerIdentity", "PeerLink"]

_LOG = logging.getLogger(__name__)
_CONNECT_TIMEOUT_S = 1.0
_CONTROL_SILENCE_S = 1.6


class Lane(StrEnum):
    """Traffic of a connection; long bodies never delay heartbeats or short work."""

    CONTROL = "control"
    SHORT = "short"
    BULK = "bulk"


@dataclass(frozen=True, slots=True)
class PeerIdentity:
    """Who a daemon is.

    :ivar incarnation: random id of one start of the daemon.
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
    """First message in both directions of a connection."""

    vm: str
    incarnation: str
    failure_domain: str
    region: str
    host: str
    peer_port: int
    lane: str

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
class PeerLink:
    """An open connection to a peer."""

    identity: PeerIdentity
    lane: Lane
    stream: PeerStream


Handler = Callable[[PeerLink, Message], Awaitable[None]]
CloseListener = Callable[[PeerLink], None]


class PeerHub:
    """Accepts and opens connections to peers and passes on what they receive.

    :param handler: awaited for each message, in order of arrival on its connection.
    :param on_close: called when a connection ended.
    """

    def __init__(
        self,
        identity: PeerIdentity,
        handler: Handler,
        on_close: Callable[[PeerLink], None] = lambda link: None,
    ) -> None:
        self._identity = identity
        self._handler = handler
        self._close_listeners: list[CloseListener] = [on_close]
        self._handlers: dict[type[Message], Handler] = {}
        self._server: asyncio.Server | None = None
        self._links: dict[tuple[Endpoint, Lane], PeerLink] = {}
        self._dialing: dict[tuple[Endpoint, Lane], asyncio.Task[PeerLink]] = {}
        self._tasks: dict[asyncio.Task[None], None] = {}

    @property
    def identity(self) -> PeerIdentity:
        return self._identity

    def subscribe(self, kinds: Iterable[type[Message]], handler: Handler) -> None:
        """Give messages of some kinds to a handler of their own, in place of the hub's."""
        for kind in kinds:
            if self._handlers.setdefault(kind, handler) is not handler:
                raise ValueError(f"messages {kind.__name__} already have a handler")

    def add_close_listener(self, listener: CloseListener) -> None:
        """Call ``listener`` too when a connection ended."""
        self._close_listeners.append(listener)

    async def listen(self) -> None:
        """Accept connections on the identity's address."""
        self._server = await asyncio.start_server(
            self._accept, self._identity.host, self._identity.peer_port
        )

    async def close(self) -> None:
        if self._server is not None:
            self._server.close()
        for task in (*self._tasks, *self._dialing.values()):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def open_link(self, endpoint: Endpoint, lane: Lane) -> PeerLink | None:
        """Return the open connection to a peer, if there is one."""
        link = self._links.get((endpoint, lane))
        return link if link is not None and not link.stream.is_closing else None

    async def link(self, endpoint: Endpoint, lane: Lane) -> PeerLink:
        """Return an open connection to a peer, opening one if there is none.

        :raises PeerClosedError: when the peer cannot be reached.
        """
        key = (endpoint, lane)
        link = self.open_link(endpoint, lane)
        if link is not None:
            return link
        task = self._dialing.get(key)
        if task is None:
            task = asyncio.create_task(self._dial(endpoint, lane))
            self._dialing[key] = task
            task.add_done_callback(lambda _: self._dialing.pop(key, None))
        return await asyncio.shield(task)

    async def send(self, endpoint: Endpoint, lane: Lane, item: Message) -> None:
        """Send a message to a peer.

        :raises PeerClosedError: when the peer cannot be reached.
        """
        link = await self.link(endpoint, lane)
        await link.stream.send(item)

    def drop(self, endpoint: Endpoint) -> None:
        """Close all connections to a peer, so that the next use opens new ones."""
        for lane in Lane:
            link = self._links.pop((endpoint, lane), None)
            if link is not None:
                link.stream.close()

    def drop_link(self, link: PeerLink) -> None:
        """Close one connection that is silent at once; the other lanes to the peer stay open.

        A silent connection never confirms a regular close, so that its unsent data would be
        kept and its end would not be noticed.
        """
        self._forget(link)
        link.stream.abort()

    def _forget(self, link: PeerLink) -> None:
        for key in [key for key, item in self._links.items() if item is link]:
            del self._links[key]

    async def _dial(self, endpoint: Endpoint, lane: Lane) -> PeerLink:
        try:
            async with asyncio.timeout(_CONNECT_TIMEOUT_S):
                reader, writer = await self._open_connection(endpoint)
        except (OSError, TimeoutError) as error:
            raise PeerClosedError(f"no connection to {endpoint}: {error!r}") from error
        stream = PeerStream(reader, writer, _idle_timeout(lane))
        stream.send_nowait(self._hello(lane))
        try:
            async with asyncio.timeout(_CONNECT_TIMEOUT_S):
                hello = await stream.receive()
        except (TimeoutError, DecodeError) as error:
            stream.close()
            raise PeerClosedError(f"no greeting from {endpoint}") from error
        if not isinstance(hello, Hello):
            stream.close()
            raise PeerClosedError(f"{endpoint} sent {hello.kind!r} before its greeting")
        link = PeerLink(hello.identity, lane, stream)
        self._spawn(self._serve(link))
        return self._register(endpoint, link, is_dialed=True)

    async def _open_connection(
        self, endpoint: Endpoint
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a connection; tests replace this with one in memory."""
        return await asyncio.open_connection(endpoint.host, endpoint.port)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        stream = PeerStream(reader, writer)
        try:
            hello = await stream.receive()
            if not isinstance(hello, Hello):
                raise PeerClosedError("no greeting")
            lane = Lane(hello.lane)
            stream.idle_timeout_s = _idle_timeout(lane)
            stream.send_nowait(self._hello(lane))
        except (PeerClosedError, DecodeError, ValueError) as error:
            _LOG.info("peer connection refused", extra={"reason": str(error)})
            stream.close()
            return
        link = PeerLink(hello.identity, lane, stream)
        if lane is Lane.CONTROL:
            self._register(hello.identity.endpoint, link, is_dialed=False)
        self._spawn(self._serve(link))

    def _register(self, endpoint: Endpoint, link: PeerLink, is_dialed: bool) -> PeerLink:
        """Use a connection for sending from now on, and return the one to use.

        Control messages of both VMs share the connection that the VM with the lower address
        opened. Each then hears the other on it, so that silence means a lost path.
        """
        known = self.open_link(endpoint, link.lane)
        is_preferred = is_dialed == (self._identity.endpoint < endpoint)
        if known is None or link.lane is not Lane.CONTROL or is_preferred:
            self._links[(endpoint, link.lane)] = link
            return link
        return known

    async def _serve(self, link: PeerLink) -> None:
        try:
            while True:
                item = await link.stream.receive()
                await self._handlers.get(type(item), self._handler)(link, item)
        except (PeerClosedError, DecodeError) as error:
            _LOG.debug("peer connection ended", extra={"vm": link.identity.vm, "why": str(error)})
        finally:
            link.stream.close()
            self._forget(link)
            for listener in self._close_listeners:
                listener(link)

    def _hello(self, lane: Lane) -> Hello:
        own = self._identity
        return Hello(
            own.vm,
            own.incarnation,
            own.failure_domain,
            own.region,
            own.host,
            own.peer_port,
            lane,
        )

    def _spawn(self, work: Awaitable[None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks[task] = None
        task.add_done_callback(lambda done: self._tasks.pop(done, None))


def _idle_timeout(lane: Lane) -> float | None:
    """Return the silence after which a connection is closed, in seconds.

    Control connections carry heartbeats or digests both ways, so that silence is noticed
    before the peer counts as down. The others are silent between requests; a request on
    them has its own progress timeout.
    """
    return _CONTROL_SILENCE_S if lane is Lane.CONTROL else None
