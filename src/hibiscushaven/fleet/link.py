"""Sockets between VMs: datagrams for states, streams for news."""

import asyncio
import logging
from collections.abc import Callable

import msgpack

from hibiscushaven.ini.fields import Endpoint

from .messages import MessageError, RegionDigest, VmState, decode
from .news import News, decode_news, encode_news

__all__ = ["FleetLink"]

_LOG = logging.getLogger(__name__)

# Largest news that is taken: a configuration of some ten thousand routes.
MAX_NEWS_BYTES = 8 * 1024 * 1024

_READ_BYTES = 64 * 1024

OnMessage = Callable[[VmState | RegionDigest], None]
GiveNews = Callable[[int, int], News]


class FleetLink(asyncio.DatagramProtocol):
    """One VM's end of the connections to the others.

    :param clock: seconds since boot.
    :param on_message: called with each state and digest that arrives.
    :param give_news: returns what a VM with these versions lacks.
    """

    def __init__(
        self, clock: Callable[[], float], on_message: OnMessage, give_news: GiveNews
    ) -> None:
        self._clock = clock
        self._on_message = on_message
        self._give_news = give_news
        self._transport: asyncio.DatagramTransport | None = None
        self._server: asyncio.Server | None = None
        self._streams: set[asyncio.StreamWriter] = set()
        self.malformed = 0

    async def start(self, address: Endpoint) -> None:
        """Listen on an address.

        :raises OSError: when it cannot be used.
        """
        loop = asyncio.get_running_loop()
        where = (address.host, address.port)
        self._transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=where)
        self._server = await asyncio.start_server(self._serve, *where)

    def close(self) -> None:
        """Stop listening and close all connections."""
        if self._transport is not None:
            self._transport.close()
        if self._server is not None:
            self._server.close()
        for writer in self._streams:
            writer.close()

    def send(self, datagram: bytes, address: str) -> None:
        """Send a datagram to an ``ip:port``; whether it arrives is not known."""
        if self._transport is None or self._transport.is_closing():
            return
        host, _, port = address.rpartition(":")
        self._transport.sendto(datagram, (host, int(port)))

    async def pull(
        self, address: str, operator_version: int, servers_version: int, timeout_s: float
    ) -> News:
        """Ask a VM for what is newer there.

        :raises OSError: when it does not answer in time.
        :raises MessageError: when its answer cannot be read.
        """
        host, _, port = address.rpartition(":")
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                writer.write(msgpack.packb([operator_version, servers_version]))
                items = await _read_message(reader)
            finally:
                writer.close()
        return decode_news(self._clock(), items)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        try:
            message = decode(data)
        except MessageError as error:
            self.malformed += 1
            _LOG.warning("datagram dropped", extra={"sender": addr[0], "why": str(error)})
            return
        self._on_message(message)

    def error_received(self, exc: Exception) -> None:
        # An unreachable port of a VM that restarts; its silence is noticed elsewhere.
        _LOG.debug("datagram refused", extra={"why": repr(exc)})

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._streams.add(writer)
        try:
            async with asyncio.timeout(_SERVE_TIMEOUT_S):
                operator_version, servers_version = await _read_message(reader)
                news = self._give_news(int(operator_version), int(servers_version))
                writer.write(encode_news(self._clock(), news))
                await writer.drain()
        except (OSError, MessageError, TypeError, ValueError) as error:
            _LOG.info("news not delivered", extra={"why": repr(error)})
        finally:
            self._streams.discard(writer)
            writer.close()


# Time for one VM to take the news: as long as the longest pull.
_SERVE_TIMEOUT_S = 2.0


async def _read_message(reader: asyncio.StreamReader) -> object:
    unpacker = msgpack.Unpacker(max_buffer_size=MAX_NEWS_BYTES, strict_map_key=False)
    while True:
        chunk = await reader.read(_READ_BYTES)
        if not chunk:
            raise MessageError("the connection ended before the message")
        try:
            unpacker.feed(chunk)
            return unpacker.unpack()
        except msgpack.OutOfData:
            continue
        except (ValueError, msgpack.UnpackException) as error:
            raise MessageError(repr(error)) from error
