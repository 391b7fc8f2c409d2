"""Sockets between VMs: datagrams for states and digests, TCP streams for newer versions."""

import asyncio
import logging
from collections.abc import Callable

import msgpack

from hibiscushaven.ini.fields import Endpoint
from hibiscushaven.process import ACCEPTS_PER_TURN, ConnectionBudget, Part, StreamConnection, listen

from .messages import Message, MessageError, decode
from .sync import SyncResponse, decode_sync_response, encode_sync_response

__all__ = ["FleetTransport"]

_LOG = logging.getLogger(__name__)

# Enough for a configuration of about ten thousand routes.
MAX_RESPONSE_BYTES = 8 * 1024 * 1024

# Enough for the two versions of a pull, and for what later builds may add.
MAX_REQUEST_BYTES = 16 * 1024

_READ_CHUNK_BYTES = 64 * 1024

OnMessage = Callable[[Message], None]
OnPull = Callable[[int, int], SyncResponse]


class FleetTransport(asyncio.DatagramProtocol):
    """Datagram socket and TCP server of one VM for the other VMs.

    :param clock: returns the seconds since boot.
    :param on_message: called with each state and digest that arrives.
    :param on_pull: called with the peer's version of the operator's state and of the backend
        servers; returns what is newer here.
    :param budget: budget that the pulls share with the connections of callers.
    :ivar malformed: number of datagrams dropped as malformed.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        on_message: OnMessage,
        on_pull: OnPull,
        budget: ConnectionBudget | None = None,
    ) -> None:
        self._clock = clock
        self._budget = budget or ConnectionBudget()
        self._on_message = on_message
        self._on_pull = on_pull
        self._transport: asyncio.DatagramTransport | None = None
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.malformed = 0

    async def start(self, address: Endpoint) -> None:
        """Listen on an address, for datagrams and TCP connections.

        :raises OSError: when the address cannot be bound.
        """
        loop = asyncio.get_running_loop()
        local_addr = (address.host, address.port)
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=local_addr
        )
        self._server = await asyncio.start_server(
            self._serve_pull,
            sock=listen(*local_addr),
            limit=MAX_REQUEST_BYTES,
            backlog=ACCEPTS_PER_TURN,
        )

    def close(self) -> None:
        """Stop listening and close all connections."""
        if self._transport is not None:
            self._transport.close()
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.close()

    def send(self, datagram: bytes, address: str) -> None:
        """Send a datagram to an ``ip:port``, without confirmation of delivery."""
        if self._transport is None or self._transport.is_closing():
            return
        host, _, port = address.rpartition(":")
        self._transport.sendto(datagram, (host, int(port)))

    async def pull(
        self, address: str, operator_version: int, servers_version: int, timeout_s: float
    ) -> SyncResponse:
        """Ask a VM for newer versions than the given ones.

        :raises OSError: when it does not answer in time.
        :raises MessageError: when its response is malformed.
        """
        host, _, port = address.rpartition(":")
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                writer.write(msgpack.packb([operator_version, servers_version]))
                items = await _read_message(reader, MAX_RESPONSE_BYTES)
            finally:
                writer.close()
        return decode_sync_response(self._clock(), items)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        try:
            message = decode(data)
        except MessageError as error:
            self.malformed += 1
            _LOG.warning("malformed datagram dropped", extra={"sender": addr[0], "why": str(error)})
            return
        self._on_message(message)

    def error_received(self, exc: Exception) -> None:
        # The port of a restarting VM is unreachable; ``FleetView`` detects that it is silent.
        _LOG.debug("datagram not delivered", extra={"why": repr(exc)})

    async def _serve_pull(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        connection = StreamConnection(writer, self._budget)
        self._budget.relieve()
        try:
            async with asyncio.timeout(_SERVE_PULL_TIMEOUT_S):
                operator_version, servers_version, *_ = await _read_message(
                    reader, MAX_REQUEST_BYTES
                )
                response = self._on_pull(int(operator_version), int(servers_version))
                data = encode_sync_response(self._clock(), response)
                connection.account.hold(Part.UNREAD, len(data))
                writer.write(data)
                del data
                self._budget.relieve()
                writer.close()
                await writer.wait_closed()
        except (OSError, MessageError, TypeError, ValueError) as error:
            _LOG.info("sync response not delivered", extra={"why": repr(error)})
        finally:
            self._writers.discard(writer)
            # A peer that does not read its response would keep a connection that is only closed.
            connection.evict()


# Time limit for answering a pull; as long as the longest pull.
_SERVE_PULL_TIMEOUT_S = 2.0


async def _read_message(reader: asyncio.StreamReader, max_bytes: int) -> object:
    unpacker = msgpack.Unpacker(max_buffer_size=max_bytes, strict_map_key=False)
    while True:
        chunk = await reader.read(_READ_CHUNK_BYTES)
        if not chunk:
            raise MessageError("connection closed before the message was complete")
        try:
            unpacker.feed(chunk)
            return unpacker.unpack()
        except msgpack.OutOfData:
            continue
        except (ValueError, msgpack.UnpackException) as error:
            raise MessageError(repr(error)) from error
