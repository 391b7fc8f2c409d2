"""TCP forwarder for tests whose connections can be blocked, reset and delayed."""

import asyncio
from collections.abc import Callable
from enum import Flag, auto

from .sockets import reset

__all__ = ["Direction", "Forwarder", "run_forwarder"]

_READ_CHUNK_BYTES = 64 * 1024


class Direction(Flag):
    """Direction of data; the client is the side that opened the connection."""

    TO_SERVER = auto()
    TO_CLIENT = auto()
    BOTH = TO_SERVER | TO_CLIENT


class _ForwardedConnection:
    """A connection of a client and the connection to the target that carries its data."""

    def __init__(
        self,
        client: tuple[asyncio.StreamReader, asyncio.StreamWriter],
        server: tuple[asyncio.StreamReader, asyncio.StreamWriter],
        forwarder: "Forwarder",
    ) -> None:
        self.blocked = Direction(0)
        self._forwarder = forwarder
        self._writers = (client[1], server[1])
        self._resumed = asyncio.Event()
        self._streams = (
            (client[0], server[1], Direction.TO_SERVER),
            (server[0], client[1], Direction.TO_CLIENT),
        )

    async def run(self) -> None:
        try:
            await asyncio.gather(*(self._copy(*stream) for stream in self._streams))
        except OSError:
            self.reset()
        finally:
            for writer in self._writers:
                writer.close()

    def resume(self) -> None:
        self.blocked = Direction(0)
        self._resumed.set()
        self._resumed = asyncio.Event()

    def reset(self) -> None:
        for writer in self._writers:
            reset(writer.transport)

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, direction: Direction
    ) -> None:
        while True:
            data = await reader.read(_READ_CHUNK_BYTES)
            if self._forwarder.delay_s > 0:
                await asyncio.sleep(self._forwarder.delay_s)
            # A blocked direction also holds back the end of the stream.
            while direction in self.blocked:
                await self._resumed.wait()
            if not data:
                if writer.can_write_eof() and not writer.is_closing():
                    writer.write_eof()
                return
            writer.write(data)
            self._forwarder.count_bytes(direction, len(data))
            await writer.drain()


class Forwarder:
    """Forwards connections to an address.

    A blocked connection stays open and forwards nothing, as when a middlebox has lost the state
    of the connection. Data that arrives in a blocked direction is buffered and forwarded after
    ``resume``.

    :ivar delay_s: delay of each chunk of data, in seconds.
    :ivar bytes_to_server: bytes forwarded to the server.
    :ivar bytes_to_client: bytes forwarded to the client.
    :ivar accepted_connections: number of connections accepted so far.
    """

    def __init__(self, target_host: str, target_port: int) -> None:
        self._target = (target_host, target_port)
        self._connections: set[_ForwardedConnection] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._listener: asyncio.Server | None = None
        self._blocked_for_new = Direction(0)
        self._counts_changed = asyncio.Event()
        self.delay_s = 0.0
        self.bytes_to_server = 0
        self.bytes_to_client = 0
        self.accepted_connections = 0
        self.port = 0

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> int:
        """Accept connections; return the port, which the system chooses if ``port`` is 0."""
        self._listener = await asyncio.start_server(self._accept, host, port)
        self.port = self._listener.sockets[0].getsockname()[1]
        return self.port

    async def close(self) -> None:
        if self._listener is not None:
            self._listener.close()
        self.reset()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def block(self, direction: Direction = Direction.BOTH, include_new: bool = False) -> None:
        """Stop forwarding on the open connections without closing them.

        :param include_new: block connections that are accepted later as well.
        """
        for connection in self._connections:
            connection.blocked |= direction
        if include_new:
            self._blocked_for_new |= direction

    def resume(self) -> None:
        """Forward the buffered data and stop blocking connections."""
        self._blocked_for_new = Direction(0)
        for connection in self._connections:
            connection.resume()

    def reset(self) -> None:
        """Reset all connections at both ends."""
        for connection in tuple(self._connections):
            connection.reset()

    async def wait_until(self, is_satisfied: Callable[["Forwarder"], bool]) -> None:
        """Wait until the counts satisfy a condition; it is tested at each change of a count."""
        while not is_satisfied(self):
            await self._counts_changed.wait()

    def count_bytes(self, direction: Direction, size: int) -> None:
        if direction is Direction.TO_SERVER:
            self.bytes_to_server += size
        else:
            self.bytes_to_client += size
        self._notify_waiters()

    def _notify_waiters(self) -> None:
        self._counts_changed.set()
        self._counts_changed = asyncio.Event()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        # asyncio logs an error if the task that it creates for this callback is cancelled, so the
        # connection is forwarded in another task, which ``close`` can cancel.
        task = asyncio.create_task(self._forward(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        self.accepted_connections += 1
        self._notify_waiters()

    async def _forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            server = await asyncio.open_connection(*self._target)
        except OSError:
            reset(writer.transport)
            return
        connection = _ForwardedConnection((reader, writer), server, self)
        connection.blocked = self._blocked_for_new
        self._connections.add(connection)
        try:
            await connection.run()
        finally:
            self._connections.discard(connection)


async def run_forwarder(host: str, port: int, target_host: str, target_port: int) -> None:
    """Forward until cancelled."""
    forwarder = Forwarder(target_host, target_port)
    await forwarder.start(host, port)
    try:
        await asyncio.get_running_loop().create_future()
    finally:
        await forwarder.close()
