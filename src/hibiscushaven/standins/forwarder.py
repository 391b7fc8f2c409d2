"""A small TCP forwarder whose connections can be cut, reset and delayed, for tests."""

import asyncio
from collections.abc import Callable
from enum import Flag, auto

from .sockets import reset

__all__ = ["Direction", "Forwarder", "run_forwarder"]

_READ_BYTES = 64 * 1024


class Direction(Flag):
    """Direction of bytes, as seen from the side that opened the connection."""

    TO_SERVER = auto()
    TO_CLIENT = auto()
    BOTH = TO_SERVER | TO_CLIENT


class _Pipe:
    """One forwarded connection."""

    def __init__(
        self,
        client: tuple[asyncio.StreamReader, asyncio.StreamWriter],
        server: tuple[asyncio.StreamReader, asyncio.StreamWriter],
        forwarder: "Forwarder",
    ) -> None:
        self.cut = Direction(0)
        self._forwarder = forwarder
        self._writers = (client[1], server[1])
        self._resumed = asyncio.Event()
        self._ways = (
            (client[0], server[1], Direction.TO_SERVER),
            (server[0], client[1], Direction.TO_CLIENT),
        )

    async def run(self) -> None:
        try:
            await asyncio.gather(*(self._copy(*way) for way in self._ways))
        except OSError:
            self.reset()
        finally:
            for writer in self._writers:
                writer.close()

    def resume(self) -> None:
        self.cut = Direction(0)
        self._resumed.set()
        self._resumed = asyncio.Event()

    def reset(self) -> None:
        for writer in self._writers:
            reset(writer.transport)

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, direction: Direction
    ) -> None:
        while True:
            data = await reader.read(_READ_BYTES)
            if self._forwarder.delay_s > 0:
                await asyncio.sleep(self._forwarder.delay_s)
            # The end of a connection is cut off like its bytes.
            while direction in self.cut:
                await self._resumed.wait()
            if not data:
                if writer.can_write_eof() and not writer.is_closing():
                    writer.write_eof()
                return
            writer.write(data)
            self._forwarder.count(direction, len(data))
            await writer.drain()


class Forwarder:
    """Forwards connections to an address.

    A cut connection stays open and passes nothing on, like one whose middlebox lost its state;
    what arrives in the cut direction is kept and passed on after ``resume``.

    :ivar delay_s: delay of each piece of data, in seconds.
    :ivar to_server: bytes forwarded to the server.
    :ivar to_client: bytes forwarded to the client.
    """

    def __init__(self, target_host: str, target_port: int) -> None:
        self._target = (target_host, target_port)
        self._pipes: set[_Pipe] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._listener: asyncio.Server | None = None
        self._cut_new = Direction(0)
        self._changed = asyncio.Event()
        self.delay_s = 0.0
        self.to_server = 0
        self.to_client = 0
        self.accepted = 0
        self.port = 0

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> int:
        """Accept connections; return the port, which is chosen if it is 0."""
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

    def cut(self, direction: Direction = Direction.BOTH, new_too: bool = False) -> None:
        """Silently stop forwarding on the connections that are open now.

        :param new_too: on coming connections as well.
        """
        for pipe in self._pipes:
            pipe.cut |= direction
        if new_too:
            self._cut_new |= direction

    def resume(self) -> None:
        """Forward again, with what was kept meanwhile."""
        self._cut_new = Direction(0)
        for pipe in self._pipes:
            pipe.resume()

    def reset(self) -> None:
        """Reset all connections at both ends."""
        for pipe in tuple(self._pipes):
            pipe.reset()

    async def until(self, is_reached: Callable[["Forwarder"], bool]) -> None:
        """Wait until the counts satisfy a condition."""
        while not is_reached(self):
            await self._changed.wait()

    def count(self, direction: Direction, size: int) -> None:
        if direction is Direction.TO_SERVER:
            self.to_server += size
        else:
            self.to_client += size
        self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        # asyncio logs an error when the task of this callback itself is cancelled.
        task = asyncio.create_task(self._forward(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        self.accepted += 1
        self._notify()

    async def _forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            server = await asyncio.open_connection(*self._target)
        except OSError:
            reset(writer.transport)
            return
        pipe = _Pipe((reader, writer), server, self)
        pipe.cut = self._cut_new
        self._pipes.add(pipe)
        try:
            await pipe.run()
        finally:
            self._pipes.discard(pipe)


async def run_forwarder(host: str, port: int, target_host: str, target_port: int) -> None:
    """Forward until cancelled."""
    forwarder = Forwarder(target_host, target_port)
    await forwarder.start(host, port)
    try:
        await asyncio.get_running_loop().create_future()
    finally:
        await forwarder.close()
