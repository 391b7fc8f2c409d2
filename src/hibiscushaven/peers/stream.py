"""Message framing over one TCP connection."""

import asyncio
import struct

from hibiscushaven.process import StreamConnection

from .messages import Message, decode, encode

__all__ = ["MAX_FRAME_BYTES", "PeerClosedError", "PeerStream"]

MAX_FRAME_BYTES = 4 * 1024 * 1024
_LENGTH = struct.Struct("!I")


class PeerClosedError(Exception):
    """The connection to a peer was closed, lost or idle for too long."""


class PeerStream:
    """Sends and receives messages framed by a four-byte length.

    :param connection: what the connection holds of a budget.
    :param idle_timeout_s: time without received data after which ``receive`` fails. Both ends
        send heartbeats, so an idle connection has lost its network path. ``None`` disables it.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        connection: StreamConnection,
        idle_timeout_s: float | None = 5.0,
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._connection = connection
        self.idle_timeout_s = idle_timeout_s

    @property
    def is_closing(self) -> bool:
        return self._writer.is_closing()

    async def send(self, item: Message) -> None:
        """Send a message, waiting while the send buffer is full.

        :raises PeerClosedError: when the connection has ended.
        """
        self.send_nowait(item)
        try:
            await self._writer.drain()
        except (ConnectionError, OSError) as error:
            raise PeerClosedError(str(error)) from error

    def send_nowait(self, item: Message) -> None:
        """Append a message to the send buffer without waiting.

        :raises PeerClosedError: when the connection has ended.
        """
        if self._writer.is_closing():
            raise PeerClosedError("the stream is closed")
        data = encode(item)
        self._writer.write(_LENGTH.pack(len(data)) + data)

    async def receive(self) -> Message:
        """Wait for the next message and return it.

        :raises PeerClosedError: when the connection ended or was idle for too long.
        """
        try:
            async with asyncio.timeout(self.idle_timeout_s):
                header = await self._reader.readexactly(_LENGTH.size)
                (length,) = _LENGTH.unpack(header)
                if length > MAX_FRAME_BYTES:
                    raise PeerClosedError(f"frame of {length} bytes exceeds {MAX_FRAME_BYTES}")
                self._connection.begin_message(length)
                data = await self._reader.readexactly(length)
        except (asyncio.IncompleteReadError, ConnectionError, OSError, TimeoutError) as error:
            raise PeerClosedError(repr(error)) from error
        self._connection.end_message()
        return decode(data)

    def try_reserve(self, amount: int) -> bool:
        """Reserve memory for a request of the peer, in bytes, unless there is no room for it."""
        return self._connection.try_reserve(amount)

    def release(self, amount: int) -> None:
        """Release memory that was reserved."""
        self._connection.release(amount)

    def close(self) -> None:
        """Close the connection once the send buffer is written."""
        self._connection.account.close()
        self._writer.close()

    def abort(self) -> None:
        """Close the connection at once, discarding the send buffer."""
        self._connection.evict()
