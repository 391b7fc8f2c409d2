"""Membership nodes on a virtual clock and a network that can lose messages."""

import heapq
import random
from collections import Counter
from collections.abc import Callable

from hibiscushaven.membership import MembershipNode
from hibiscushaven.peers import PeerIdentity, decode, encode
from hibiscushaven.tablestore import VmRecord, VmState

TICK_S = 0.1
FRAME_BYTES = 4


def identity_of(domain: int, number: int, incarnation: str = "a") -> PeerIdentity:
    """Return the identity of a VM, with an incarnation of realistic length."""
    name = f"vm-{domain}-{number:02}"
    full = f"{incarnation * 8}{domain:04}{number:04}"
    return PeerIdentity(name, full, f"zone-{domain}", "region", f"10.{domain}.0.{number + 1}", 7000)


class Net:
    """Simulated nodes, their clock and the messages in flight.

    :ivar cuts: predicates of source and target VM that tell whether a message is lost.
    :ivar loss: probability that any message is lost.
    """

    def __init__(self, sizes: tuple[int, ...], seed: int = 1, is_listed: bool = True) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self.numbers = 0
        self.events: list = []
        self.nodes: dict = {}
        self.cuts: list[Callable[[str, str], bool]] = []
        self.loss = 0.0
        self.bytes = Counter()
        self.is_listed = is_listed
        for domain, size in enumerate(sizes):
            for number in range(size):
                self.start(identity_of(domain, number))

    def at(self, time: float, action: Callable[[], None]) -> None:
        self.numbers += 1
        heapq.heappush(self.events, (time, self.numbers, action))

    def run(self, seconds: float) -> None:
        until = self.now + seconds
        while self.events and self.events[0][0] <= until:
            self.now, _, action = heapq.heappop(self.events)
            action()
        self.now = until

    def start(self, identity: PeerIdentity) -> MembershipNode:
        node = MembershipNode(identity, rng=random.Random(self.rng.random()))
        self.nodes[identity.endpoint] = node
        self.at(self.now + self.rng.uniform(0, TICK_S), lambda: self._tick(node))
        return node

    def stop(self, node: MembershipNode) -> None:
        del self.nodes[node.identity.endpoint]

    def node(self, domain: int, number: int) -> MembershipNode:
        return self.nodes[identity_of(domain, number).endpoint]

    def domain(self, domain: int) -> list[MembershipNode]:
        nodes = self.nodes.values()
        return [node for node in nodes if node.identity.failure_domain == f"zone-{domain}"]

    def entries(self) -> tuple[VmRecord, ...]:
        own = (node.identity for node in self.nodes.values())
        return tuple(
            VmRecord(i.vm, i.failure_domain, i.region, i.host, i.peer_port, VmState.LIVE)
            for i in own
        )

    def _tick(self, node: MembershipNode) -> None:
        if self.nodes.get(node.identity.endpoint) is not node:
            return
        self.at(self.now + TICK_S, lambda: self._tick(node))
        if self.is_listed and node.view.listed_at is None:
            node.on_vm_list(self.now, self.entries())
        self._send(node, node.tick(self.now))

    def _send(self, node: MembershipNode, outgoing) -> None:
        source = node.identity
        for item in outgoing:
            data = encode(item.message)
            self.bytes[source.vm, "sent"] += len(data) + FRAME_BYTES
            target = self.nodes.get(item.endpoint)
            if target is None or self.rng.random() < self.loss:
                continue
            if any(cut(source.vm, target.identity.vm) for cut in self.cuts):
                continue
            self.bytes[target.identity.vm, "received"] += len(data) + FRAME_BYTES
            self.at(self.now + 0.002, lambda e=item.endpoint, d=data: self._receive(source, e, d))

    def _receive(self, source: PeerIdentity, endpoint, data: bytes) -> None:
        node = self.nodes.get(endpoint)
        if node is not None:
            self._send(node, node.on_message(self.now, source, decode(data)))


def ups(node: MembershipNode) -> set[str]:
    """Return the VMs that are up in a node's view, suspect ones included."""
    return {vm for vm in node.view.members if node.view.is_up(vm)}
