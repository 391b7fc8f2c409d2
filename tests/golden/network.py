"""In-memory connections between entry VMs, with delays and network partitions."""

import asyncio
from collections import deque
from collections.abc import Callable

from hibiscushaven.ini.fields import Endpoint
from hibiscushaven.peers import PeerHub, PeerIdentity
from hibiscushaven.tablestore import OutcomeUnknownError, UnavailableError

from .processes import NO_PROCESS, Process

__all__ = ["PLATFORM", "MemoryHub", "Network", "RemotePlatform"]

PLATFORM = "platform"
_SAME_DOMAIN_DELAY_S = 0.0002
_CONNECT_HANG_S = 10.0
_PLATFORM_TIMEOUT_S = 1.0


class Network:
    """Delays and partitions between VMs, failure domains and the platform.

    A partition is a pair of names of VMs, failure domains or ``PLATFORM``. A connection on which
    data was in flight during a partition stays open and is silent from then on; connections that
    are opened after the partition work.
    """

    def __init__(self, delays_ms: dict[str, float], platform_region: str) -> None:
        self._domain_delay_s = delays_ms["failure_domains"] / 1000
        self._region_delay_s = delays_ms["regions"] / 1000
        self._platform_region = platform_region
        self._partitions: set[frozenset[str]] = set()
        self.listeners: dict[Endpoint, MemoryHub] = {}
        self.connection_ends: list[_ConnectionEnd] = []
        self.is_closed = False

    def partition(self, one: str, other: str) -> None:
        self._partitions.add(frozenset((one, other)))

    def heal(self, one: str, other: str) -> None:
        self._partitions.discard(frozenset((one, other)))

    def heal_all(self) -> None:
        self._partitions.clear()

    def delay_s(self, one: PeerIdentity, other: PeerIdentity) -> float:
        if one.failure_domain == other.failure_domain:
            return _SAME_DOMAIN_DELAY_S
        return self._domain_delay_s if one.region == other.region else self._region_delay_s

    def platform_delay_s(self, one: PeerIdentity) -> float:
        return self._domain_delay_s if one.region == self._platform_region else self._region_delay_s

    def is_partitioned(self, one: PeerIdentity, other: PeerIdentity) -> bool:
        pairs = ((a, b) for a in _partition_names(one) for b in _partition_names(other))
        return bool(self._partitions) and any(frozenset(pair) in self._partitions for pair in pairs)

    def is_partitioned_from_platform(self, one: PeerIdentity) -> bool:
        return any(
            frozenset((name, PLATFORM)) in self._partitions for name in _partition_names(one)
        )

    def silence_connections(self, one: str, other: str) -> int:
        """Make the open connections from ``one`` to ``other`` silent; return their number."""
        ends = [end for end in self.connection_ends if (end.own.vm, end.peer.vm) == (one, other)]
        for end in ends:
            end.is_silent = end.other.is_silent = True
        return len(ends)

    def silence_process(self, process: Process) -> None:
        """Make all connections of a process that died silent."""
        for end in self.connection_ends:
            if end.process is process:
                end.is_silent = end.other.is_silent = True


class _ConnectionEnd:
    """One end of a connection, with the methods of a stream writer that the code uses."""

    other: "_ConnectionEnd"

    def __init__(self, network: Network, hub: "MemoryHub", peer: PeerIdentity) -> None:
        self._network = network
        self.own, self.peer, self.process = hub.identity, peer, hub.process
        self.reader = asyncio.StreamReader()
        self.transport = self
        self.is_silent = False
        self._is_closed = False
        self._last_arrival = 0.0
        self._in_flight: deque[Callable[[], None]] = deque()
        network.connection_ends.append(self)

    def write(self, data: bytes) -> None:
        if not self._is_closed:
            self._deliver(lambda: self.other.reader.feed_data(data))

    async def drain(self) -> None:
        return None

    def is_closing(self) -> bool:
        return self._is_closed

    def close(self) -> None:
        if self._is_closed:
            return
        self._is_closed = True
        if self._network.is_closed:
            return
        self.reader.feed_eof()
        self._deliver(self.other.receive_eof)
        self._network.connection_ends.remove(self)

    abort = close

    def receive_eof(self) -> None:
        if not self._is_closed:
            self.reader.feed_eof()

    @property
    def _is_reset(self) -> bool:
        """Whether the other end's process died and another process listens on its address."""
        listener = self._network.listeners.get(self.peer.endpoint)
        return self.other.process.is_dead and listener is not None and not listener.process.is_dead

    def _deliver(self, event: Callable[[], None]) -> None:
        if self._network.is_closed:
            return
        loop = asyncio.get_running_loop()
        delay_s = self._network.delay_s(self.own, self.peer)
        self._last_arrival = max(self._last_arrival, loop.time() + delay_s)
        # Timers due at the same time run in any order; the queue keeps the order of sending.
        self._in_flight.append(event)
        loop.call_at(self._last_arrival, self._arrive, context=NO_PROCESS)

    def _arrive(self) -> None:
        event = self._in_flight.popleft()
        if self._network.is_partitioned(self.own, self.peer):
            self.is_silent = True
        if self._is_reset:
            self.receive_eof()
        elif not self.is_silent and not self.other.is_closing():
            event()


class MemoryHub(PeerHub):
    """Peer hub that uses in-memory connections."""

    def __init__(self, network: Network, process: Process, *args) -> None:
        super().__init__(*args)
        self.network = network
        self.process = process

    async def listen(self) -> None:
        self.network.listeners[self.identity.endpoint] = self

    async def close(self) -> None:
        if self.network.listeners.get(self.identity.endpoint) is self:
            del self.network.listeners[self.identity.endpoint]
        await super().close()

    async def _open_connection(self, endpoint: Endpoint):
        peer = self.network.listeners.get(endpoint)
        if peer is None:
            raise ConnectionRefusedError(str(endpoint))
        if peer.process.is_dead or self.network.is_partitioned(self.identity, peer.identity):
            await asyncio.sleep(_CONNECT_HANG_S)
        await asyncio.sleep(2 * self.network.delay_s(self.identity, peer.identity))
        client_end = _ConnectionEnd(self.network, self, peer.identity)
        server_end = _ConnectionEnd(self.network, peer, self.identity)
        client_end.other, server_end.other = server_end, client_end
        coroutine = peer._accept(server_end.reader, server_end)
        asyncio.get_running_loop().create_task(coroutine, context=peer.process.context())
        return client_end.reader, client_end


class RemotePlatform:
    """The platform as seen by one VM, over the simulated network."""

    def __init__(self, platform, network: Network, identity: PeerIdentity) -> None:
        self._platform = platform
        self._network = network
        self._identity = identity

    async def read(self, key):
        return await self._call(self._platform.read, key)

    async def read_prefix(self, prefix):
        return await self._call(self._platform.read_prefix, prefix)

    async def list_vms(self):
        return await self._call(self._platform.list_vms)

    async def get(self, name):
        return await self._call(self._platform.get, name)

    async def put(self, name, value):
        return await self._call(self._platform.put, name, value, lost_error=OutcomeUnknownError)

    async def transact(self, writes):
        return await self._call(self._platform.transact, writes, lost_error=OutcomeUnknownError)

    async def _call(self, method, *args, lost_error=UnavailableError):
        delay_s = self._network.platform_delay_s(self._identity) + self._platform.faults.delay_s
        await asyncio.sleep(delay_s)
        if self._network.is_partitioned_from_platform(self._identity):
            await asyncio.sleep(_PLATFORM_TIMEOUT_S)
            raise UnavailableError("no connection to the platform")
        try:
            return await method(*args)
        finally:
            await asyncio.sleep(delay_s)
            if self._network.is_partitioned_from_platform(self._identity):
                await asyncio.sleep(_PLATFORM_TIMEOUT_S)
                raise lost_error("no answer of the platform")


def _partition_names(identity: PeerIdentity) -> tuple[str, str]:
    return identity.vm, identity.failure_domain
