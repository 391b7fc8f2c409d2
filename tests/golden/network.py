"""Connections between entry VMs in memory, with delays and cuts."""

import asyncio
from collections import deque
from collections.abc import Callable

from hibiscushaven.ini.fields import Endpoint
from hibiscushaven.peers import PeerHub, PeerIdentity
from hibiscushaven.tablestore import OutcomeUnknownError, UnavailableError

from .processes import NO_PROCESS, Process

__all__ = ["PLATFORM", "MemoryHub", "Network", "RemotePlatform"]

PLATFORM = "platform"
_LOCAL_S = 0.0002
_UNANSWERED_S = 10.0
_PLATFORM_TIMEOUT_S = 1.0


class Network:
    """Delays by place, and which places do not reach each other.

    A cut is a pair of names of VMs, failure domains or ``PLATFORM``. A connection over which
    something was sent during a cut is silent from then on; new ones work after the cut.
    """

    def __init__(self, delays_ms: dict[str, float], platform_region: str) -> None:
        self._domain_s = delays_ms["failure_domains"] / 1000
        self._region_s = delays_ms["regions"] / 1000
        self._platform_region = platform_region
        self._cuts: set[frozenset[str]] = set()
        self.listeners: dict[Endpoint, MemoryHub] = {}
        self.ends: list[_End] = []
        self.is_over = False

    def cut(self, one: str, other: str) -> None:
        self._cuts.add(frozenset((one, other)))

    def heal(self, one: str, other: str) -> None:
        self._cuts.discard(frozenset((one, other)))

    def heal_all(self) -> None:
        self._cuts.clear()

    def delay(self, one: PeerIdentity, other: PeerIdentity) -> float:
        if one.failure_domain == other.failure_domain:
            return _LOCAL_S
        return self._domain_s if one.region == other.region else self._region_s

    def platform_delay(self, one: PeerIdentity) -> float:
        return self._domain_s if one.region == self._platform_region else self._region_s

    def is_cut(self, one: PeerIdentity, other: PeerIdentity) -> bool:
        pairs = ((a, b) for a in _names(one) for b in _names(other))
        return bool(self._cuts) and any(frozenset(pair) in self._cuts for pair in pairs)

    def is_cut_from_platform(self, one: PeerIdentity) -> bool:
        return any(frozenset((name, PLATFORM)) in self._cuts for name in _names(one))

    def silence(self, one: str, other: str) -> int:
        """Let the open connections between two VMs go silent; return how many there were."""
        found = [end for end in self.ends if (end.own.vm, end.peer.vm) == (one, other)]
        for end in found:
            end.is_silent = end.other.is_silent = True
        return len(found)

    def forget_process(self, process: Process) -> None:
        """Let all connections of a process that died go silent."""
        for end in self.ends:
            if end.process is process:
                end.is_silent = end.other.is_silent = True


class _End:
    """One end of a connection, with what the code uses of a stream writer."""

    other: "_End"

    def __init__(self, network: Network, hub: "MemoryHub", peer: PeerIdentity) -> None:
        self._network = network
        self.own, self.peer, self.process = hub.identity, peer, hub.process
        self.reader = asyncio.StreamReader()
        self.transport = self
        self.is_silent = False
        self._is_closed = False
        self._last_arrival = 0.0
        self._on_way: deque[Callable[[], None]] = deque()
        network.ends.append(self)

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
        if self._network.is_over:
            return
        self.reader.feed_eof()
        self._deliver(self.other.end)
        self._network.ends.remove(self)

    abort = close

    def end(self) -> None:
        if not self._is_closed:
            self.reader.feed_eof()

    @property
    def _is_reset(self) -> bool:
        """Whether the other end's process died and another one answers at its address."""
        listener = self._network.listeners.get(self.peer.endpoint)
        return self.other.process.is_dead and listener is not None and not listener.process.is_dead

    def _deliver(self, event: Callable[[], None]) -> None:
        if self._network.is_over:
            return
        loop = asyncio.get_running_loop()
        delay = self._network.delay(self.own, self.peer)
        self._last_arrival = max(self._last_arrival, loop.time() + delay)
        # Timers of the same time run in any order; the queue keeps that of sending.
        self._on_way.append(event)
        loop.call_at(self._last_arrival, self._arrive, context=NO_PROCESS)

    def _arrive(self) -> None:
        event = self._on_way.popleft()
        if self._network.is_cut(self.own, self.peer):
            self.is_silent = True
        if self._is_reset:
            self.end()
        elif not self.is_silent and not self.other.is_closing():
            event()


class MemoryHub(PeerHub):
    """The peer hub over connections in memory."""

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
        if peer.process.is_dead or self.network.is_cut(self.identity, peer.identity):
            await asyncio.sleep(_UNANSWERED_S)
        await asyncio.sleep(2 * self.network.delay(self.identity, peer.identity))
        own = _End(self.network, self, peer.identity)
        accepted = _End(self.network, peer, self.identity)
        own.other, accepted.other = accepted, own
        work = peer._accept(accepted.reader, accepted)
        asyncio.get_running_loop().create_task(work, context=peer.process.context())
        return own.reader, own


class RemotePlatform:
    """The platform as one VM reaches it."""

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
        return await self._call(self._platform.put, name, value, lost=OutcomeUnknownError)

    async def transact(self, writes):
        return await self._call(self._platform.transact, writes, lost=OutcomeUnknownError)

    async def _call(self, method, *args, lost=UnavailableError):
        delay = self._network.platform_delay(self._identity) + self._platform.faults.delay_s
        await asyncio.sleep(delay)
        if self._network.is_cut_from_platform(self._identity):
            await asyncio.sleep(_PLATFORM_TIMEOUT_S)
            raise UnavailableError("no connection to the platform")
        try:
            return await method(*args)
        finally:
            await asyncio.sleep(delay)
            if self._network.is_cut_from_platform(self._identity):
                await asyncio.sleep(_PLATFORM_TIMEOUT_S)
                raise lost("no answer of the platform")


def _names(identity: PeerIdentity) -> tuple[str, str]:
    return identity.vm, identity.failure_domain
