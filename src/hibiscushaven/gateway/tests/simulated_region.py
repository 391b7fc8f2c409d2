"""Regions of running nodes in virtual time, with a store and links that delay packets."""

import asyncio
import contextlib
import random
from dataclasses import replace

from hibiscushaven.bench.virtual_time import run_virtual
from hibiscushaven.eras import era_of, version_of
from hibiscushaven.fleet import token_of
from hibiscushaven.fleet.messages import decode
from hibiscushaven.gateway import GatewayNode, GatewayOptions, ServerListing, StoreError, VmAddress
from hibiscushaven.ini.fields import Endpoint

from .support import REGIONS, FakeStore, make_operator, make_record

# One-way delays of idle links, between VMs of a region and to the store of another region.
LOCAL_DELAY_S = 0.0005
STORE_DELAY_S = 0.035

# One-way delay between regions.
REMOTE_DELAY_S = 0.035

# Time limit of one call of the store.
STORE_TIMEOUT_S = 0.8

# Time after which the VMs have found each other and their aggregator.
SETTLE_S = 4.0


class LoopClock:
    """Clock of the running event loop."""

    def now(self):
        return asyncio.get_running_loop().time()

    def unix(self):
        return self.now()


class SimulatedStore(FakeStore):
    """The region's store as one VM reaches it over its link; each call opens a connection."""

    def __init__(self, region, name):
        super().__init__()
        self._region = region
        self._name = name

    def _call(self):
        super()._call()
        if self._region.is_store_down or self._name in self._region.cut_vms:
            raise StoreError("down")

    async def read_operator(self, known, wait_s):
        region = self._region
        await self._travel(3)
        operator = await region.watch(known.version, wait_s) if wait_s else region.operator
        await self._travel(1)
        return operator

    async def read_servers(self):
        await self._travel(3)
        listing = self._region.listing
        await self._travel(1)
        return listing

    async def register(self, address):
        await self._travel(1)
        self._region.registered.append(address.name)
        return era_of(self._region.listing.version)

    async def list_vms(self):
        return tuple(
            VmAddress(name, str(node._options.peers_at))
            for name, node in self._region.nodes.items()
        )

    async def _travel(self, times):
        """Wait for packets that cross the link one after the other."""
        self._call()
        await self._region.wait_until_running(self._name)
        delay_s = STORE_DELAY_S + self._region.delays_s.get(self._name, 0.0)
        if 4 * delay_s > STORE_TIMEOUT_S:
            await asyncio.sleep(STORE_TIMEOUT_S * times / 4)
            if times == 1:
                raise StoreError("no response in time")
        else:
            await asyncio.sleep(delay_s * times)


class SimulatedTransport:
    """Transport of one VM; pulls open a connection."""

    def __init__(self, region, name):
        self._region = region
        self._name = name

    async def start(self, address):
        pass

    def close(self):
        pass

    def send(self, datagram, address):
        peer = self._region.name_at(address)
        is_lost = self._region.random.random() < self._region.loss_rate
        if self._name in self._region.interrupted or peer in self._region.interrupted:
            return
        if is_lost or (self._name, peer) in self._region.lost_datagrams:
            return
        asyncio.get_running_loop().call_later(
            self._delay_s(peer), self._region.deliver, datagram, peer
        )

    async def pull(self, address, operator_version, servers_version, timeout_s):
        peer = self._region.name_at(address)
        self._region.pulls.append((self._name, peer))
        async with asyncio.timeout(timeout_s):
            await asyncio.sleep(3 * self._delay_s(peer))
            await self._region.wait_until_running(peer)
            response = self._region.nodes[peer]._make_sync_response(
                operator_version, servers_version
            )
            await asyncio.sleep(self._delay_s(peer))
        return response

    def _delay_s(self, peer):
        delays_s = self._region.delays_s
        is_local = region_of(self._name) == region_of(peer)
        idle_delay_s = LOCAL_DELAY_S if is_local else REMOTE_DELAY_S
        return idle_delay_s + delays_s.get(self._name, 0.0) + delays_s.get(peer, 0.0)


def region_of(name):
    """Return the region of a VM, which is the first part of its name."""
    return name.partition("-")[0]


class SimulatedRegion:
    """Nodes of one region or several, which register, elect an aggregator and read the store.

    :param size: number of VMs of one region, or a mapping from region to number.
    :ivar delays_s: time that each packet waits at the link of a VM, by name; 0 by default.
    :ivar lost_datagrams: pairs of sender and recipient whose datagrams are lost.
    :ivar loss_rate: fraction of all datagrams that are lost.
    :ivar interrupted: names of the VMs that are paused or cut off.
    :ivar cut_vms: names of the VMs that cannot reach the store.
    :ivar is_store_down: whether no VM can reach the store.
    :ivar registered: names of the VMs that have registered, in order.
    :ivar pulls: pairs of VMs of which the first one has fetched data from the second, in order.
    """

    def __init__(self, size):
        self.delays_s = {}
        self.operator = make_operator(10)
        self.listing = ServerListing(10, (make_record("s1"), make_record("s2")))
        self.nodes = {}
        self.registered = []
        self.pulls = []
        self.interrupted = set()
        self.cut_vms = set()
        self.is_store_down = False
        self._resumptions = {}
        self._names = {}
        self.lost_datagrams = set()
        self.loss_rate = 0.0
        self.random = random.Random(1)
        self._watched = self.operator
        self._watch_end = asyncio.get_running_loop().create_future()
        self._are_watches_interrupted = False
        sizes = size if isinstance(size, dict) else {"serra": size}
        for region, count in sizes.items():
            for number in range(count):
                self._add(f"{region}-{number}", Endpoint("10.0.0.1", 1000 + 2 * len(self.nodes)))

    def _add(self, name, address):
        # The VM with the most capacity becomes the aggregator.
        capacity = 2.0 if name.endswith("-3") else 0.2
        region = region_of(name)
        options = GatewayOptions(
            name,
            region,
            f"{region}-a",
            REGIONS,
            address,
            address,
            address,
            address,
            capacity=capacity,
        )
        store = SimulatedStore(self, name)
        node = GatewayNode(options, store, LoopClock(), lambda operator: None, dict)
        node._transport = SimulatedTransport(self, name)
        self.nodes[name] = node
        self._names[str(address)] = name
        return node

    async def add_vm(self, name):
        """Start one more VM."""
        node = self._add(name, Endpoint("10.0.0.1", 1000 + 2 * len(self.nodes)))
        await node.start()
        return node

    def readers(self):
        """Return the VMs in the order in which they read the store."""
        return sorted(self.nodes, key=token_of)

    def relay_delay_s(self, sender, recipient):
        """Return the one-way delay between two VMs."""
        return self.nodes[sender]._transport._delay_s(recipient)

    def name_at(self, address):
        return self._names[address]

    def deliver(self, datagram, name):
        self.nodes[name]._on_message(decode(datagram))

    @contextlib.contextmanager
    def cut_off(self, name):
        """Lose all datagrams and calls of the store of a VM."""
        self.interrupted.add(name)
        self.cut_vms.add(name)
        yield
        self.cut_vms.discard(name)
        self.interrupted.discard(name)

    @contextlib.contextmanager
    def paused(self, name):
        """Stop a VM: its calls end after the pause, and its node takes no steps."""
        node, resumption = self.nodes[name], asyncio.Event()
        self.interrupted.add(name)
        self._resumptions[name] = resumption
        _, steps, _ = node._tasks
        steps.cancel()
        yield
        node._tasks[1] = asyncio.create_task(node._step_periodically())
        del self._resumptions[name]
        self.interrupted.discard(name)
        resumption.set()

    @contextlib.asynccontextmanager
    async def killed(self, name):
        """Stop the process of a VM without a message to the others, and start another one."""
        node, resumption = self.nodes[name], asyncio.Event()
        self.interrupted.add(name)
        self._resumptions[name] = resumption
        await node.close()
        yield
        restarted = self._add(name, node._options.peers_at)
        del self._resumptions[name]
        self.interrupted.discard(name)
        resumption.set()
        await restarted.start()

    async def wait_until_running(self, name):
        """Wait for the end of the pause of a VM."""
        if name in self._resumptions:
            await self._resumptions[name].wait()

    def put_servers(self, records):
        """Store the records of all backend servers."""
        self.listing = ServerListing(self.listing.version + 1, tuple(records))

    async def watch(self, seen_version, wait_s):
        """Return the operator state when it has another version, or after a time."""
        if self._watched.version == seen_version:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    await asyncio.shield(self._watch_end)
        return self._watched

    def put_configuration(self, version):
        """Store another configuration, as an operator does."""
        self.operator = make_operator(self.listing.version + 1, configuration=version)
        self.listing = replace(self.listing, version=self.operator.version)
        if not self._are_watches_interrupted:
            self._end_watches().set_result(None)

    def begin_era(self, era, number):
        """Count from a number in another era, as a store that was restored from a copy."""
        version = version_of(era, number)
        self.operator = replace(self.operator, version=version)
        self.listing = replace(self.listing, version=version)
        self._end_watches().set_result(None)

    def begin_later_era(self, number):
        """Count from a number again, as a store that was restored from a copy."""
        self.begin_era(era_of(self.listing.version) + 1, number)

    @contextlib.asynccontextmanager
    async def interrupted_watches(self):
        """Let watches hear of no change, and reset them at the end; other reads are current."""
        self._are_watches_interrupted = True
        yield
        self._are_watches_interrupted = False
        end = self._end_watches()
        end.set_exception(StoreError("connection reset"))
        end.exception()

    def _end_watches(self):
        """Return the future that ends the watches in progress; later ones see the new state."""
        self._watched = self.operator
        end, self._watch_end = self._watch_end, asyncio.get_running_loop().create_future()
        return end

    def put_leaving(self, server_id):
        """Store that a backend server leaves."""
        records = tuple(
            replace(record, is_leaving=True) if record.server_id == server_id else record
            for record in self.listing.records
        )
        self.listing = ServerListing(self.listing.version + 1, records)

    @classmethod
    def run(cls, size, scenario):
        """Run a scenario with a region that has settled."""

        async def main():
            region = cls(size)
            for node in region.nodes.values():
                await node.start()
            await asyncio.sleep(SETTLE_S)
            try:
                return await scenario(region)
            finally:
                for node in region.nodes.values():
                    await node.close()

        return run_virtual(main())
