"""A stream of messages over one TCP connection."""

import asyncio
import struct

from .messages import Message, decode, encode

__all__ = ["MAX_FRAME_BYTES", "PeerClosedError", "PeerStream"]

MAX_FRAME_BYTES = 4 * 1024 * 1024
_LENGTH = struct.Struct("!I")


class PeerClosedError(Exception):
    """The connection to a peer ended or was silent too long."""


class PeerStream:
    """Frames of a four-byte length and a msgpack message.

    :param idle_timeout_s: a stream with nothing received for so long is closed; both ends
        send heartbeats, so silence means that the connection lost its path.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        idle_timeout_s: float | None = 5.0,
    ) -> None:
        self._reader = reader
        self._writer = writer
        self.idle_timeout_s = idle_timeout_s

    @property
    def is_closing(self) -> bool:
        return self._writer.is_closing()

    async def send(self, item: Message) -> None:
        """Send a message, waiting while the peer reads slowly.

        :raises PeerClosedError: when the connection ended.
        """
        self.send_nowait(item)
        try:
            await self._writer.drain()
        except (ConnectionError, OSError) as error:
            raise PeerClosedError(str(error)) from error

    def send_nowait(self, item: Message) -> None:
        """Put a message into the send buffer.

        :raises PeerClosedError: when the connection ended.
        """
        if self._writer.is_closing():
            raise PeerClosedError("the stream is closed")
        data = encode(item)
        self._writer.write(_LENGTH.pack(len(data)) + data)

    async def receive(self) -> Message:
        """Return the next message.

        :raises PeerClosedError: when the connection ended or stayed silent.
        """
        try:
            async with asyncio.timeout(self.idle_timeout_s):
                header = await self._reader.readexactly(_LENGTH.size)
                (length,) = _LENGTH.unpack(header)
                if length > MAX_FRAME_BYTES:
                    raise PeerClosedError(f"frame of {length} bytes exceeds {MAX_FRAME_BYTES}")
                data = await self._reader.readexactly(length)
        except (asyncio.IncompleteReadError, ConnectionError, OSError, TimeoutError) as error:
            raise PeerClosedError(repr(error)) from error
        return decode(data)

    def close(self) -> None:
        self._writer.close()

    def abort(self) -> None:
        """Close the connection at once, without sending what is in its buffer."""
        self._writer.transport.abort()
