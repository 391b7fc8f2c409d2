"""Entry nodes on virtual time, connected in memory, with the bytes of their messages counted."""

import asyncio
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from hibiscushaven.entry.node import EntryNode
from hibiscushaven.entry.ports import NodePorts
from hibiscushaven.ini.fields import Endpoint
from hibiscushaven.peers import (
    Channel,
    Message,
    PeerConnection,
    PeerIdentity,
    decode,
    encode,
)
from hibiscushaven.settings import Settings
from hibiscushaven.tablestore import MemoryPlatform, VmRecord, VmState

__all__ = ["HTTP_PORT", "PEER_PORT", "Network", "VirtualClock", "make_node", "vm_record"]

PEER_PORT = 7070
HTTP_PORT = 8080
_FRAME_HEADER_BYTES = 4  # length prefix of each message of a stream
_UNIX_TIME_AT_START_S = 1_700_000_000.0


class VirtualClock:
    """Monotonic and wall clock of a node, driven by the time of the running event loop."""

    def now(self) -> float:
        return asyncio.get_running_loop().time()

    def unix(self) -> float:
        return _UNIX_TIME_AT_START_S + self.now()


class Network:
    """Delivers messages between hubs and counts their bytes.

    :ivar sent_bytes: bytes sent, by the sender's endpoint.
    :ivar received_bytes: bytes received, by the receiver's endpoint.
    """

    def __init__(self, delay_s: float = 0.001) -> None:
        self.hubs: dict[Endpoint, _MemoryHub] = {}
        self.sent_bytes: dict[Endpoint, int] = {}
        self.received_bytes: dict[Endpoint, int] = {}
        self._delay_s = delay_s

    def reset(self) -> None:
        """Reset the byte counts."""
        self.sent_bytes.clear()
        self.received_bytes.clear()

    def transmit(self, sender: PeerIdentity, receiver: Endpoint, data: bytes) -> None:
        size = len(data) + _FRAME_HEADER_BYTES
        self.sent_bytes[sender.endpoint] = self.sent_bytes.get(sender.endpoint, 0) + size
        hub = self.hubs.get(receiver)
        if hub is None:
            return
        self.received_bytes[receiver] = self.received_bytes.get(receiver, 0) + size
        asyncio.get_running_loop().call_later(self._delay_s, hub.deliver, sender, data)


@dataclass(frozen=True, slots=True)
class _MemoryStream:
    network: Network
    sender: PeerIdentity
    receiver: Endpoint

    def send_nowait(self, message: Message) -> None:
        self.network.transmit(self.sender, self.receiver, encode(message))


class _MemoryHub:
    """Replacement for :class:`PeerHub` that carries control messages only."""

    def __init__(self, network: Network, identity: PeerIdentity, handler) -> None:
        self.identity = identity
        self._network = network
        self._handler = handler
        self._tasks: set[asyncio.Task[None]] = set()

    def subscribe(self, kinds: Iterable[type[Message]], handler) -> None:
        """Ignore the subscription: relay messages are not carried."""

    def add_close_listener(self, listener: Callable[[PeerConnection], None]) -> None:
        """Ignore the listener: connections do not close."""

    async def listen(self) -> None:
        self._network.hubs[self.identity.endpoint] = self

    async def close(self) -> None:
        self._network.hubs.pop(self.identity.endpoint, None)

    def existing_connection(self, endpoint: Endpoint, channel: Channel) -> PeerConnection:
        # VMs of other failure domains have no hub here, but bytes sent to them are counted too.
        stream = _MemoryStream(self._network, self.identity, endpoint)
        return PeerConnection(self.identity, channel, stream)

    async def connection(self, endpoint: Endpoint, channel: Channel) -> PeerConnection:
        return self.existing_connection(endpoint, channel)

    def deliver(self, sender: PeerIdentity, data: bytes) -> None:
        stream = _MemoryStream(self._network, self.identity, sender.endpoint)
        connection = PeerConnection(sender, Channel.CONTROL, stream)
        task = asyncio.ensure_future(self._handler(connection, decode(data)))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


class _NullBackendClient:
    """Client without backend servers, whose traffic is not part of the control cost."""

    def __init__(self, connection_limit: Callable[[Endpoint], int]) -> None:
        self._connection_limit = connection_limit

    async def call_control(self, server: Endpoint, method: str, target: str) -> None:
        return None

    async def close(self) -> None:
        return None


def vm_record(domain: int, number: int, domains_per_region: int = 4) -> VmRecord:
    """Return the platform's record of a VM in a numbered failure domain."""
    host = f"10.{domain}.{number // 250}.{number % 250 + 1}"
    region = f"region-{domain // domains_per_region}"
    name = f"domain-{domain}-vm{number}"
    return VmRecord(name, f"domain-{domain}", region, host, PEER_PORT, VmState.LIVE, HTTP_PORT)


def make_node(
    record: VmRecord, platform: MemoryPlatform, network: Network, rng: random.Random
) -> EntryNode:
    """Return a node on virtual time, not started yet."""
    settings = Settings(
        record.name,
        record.region,
        record.failure_domain,
        record.host,
        HTTP_PORT,
        PEER_PORT,
        "http://127.0.0.1:1",
    )
    ports = NodePorts(
        platform,
        VirtualClock(),
        rng,
        lambda: f"{rng.getrandbits(96):024x}",
        lambda identity, handler: _MemoryHub(network, identity, handler),
        _NullBackendClient,
    )
    return EntryNode(settings, ports)
