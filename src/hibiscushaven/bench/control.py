"""Control cost of one daemon by number of peers, failure domains, services and client blocks."""

import asyncio
import random
import tracemalloc
from collections.abc import Iterator
from dataclasses import dataclass
from time import process_time

from hibiscushaven.documents.rows import (
    HEADS_KEY,
    DocumentRow,
    Operator,
    document_key,
    encode_heads,
)
from hibiscushaven.ini.fields import Endpoint
from hibiscushaven.membership import MembershipNode
from hibiscushaven.membership.messages import Digest
from hibiscushaven.peers import PeerIdentity, encode
from hibiscushaven.tablestore import MemoryPlatform, Write

from .measures import Bound, Finding, Scale, measure
from .steering import address_blocks, load_blocks
from .virtual_nodes import Network, make_node, vm_record
from .virtual_time import run_virtual

__all__ = ["ControlCost", "bench_document", "control_cost", "measure_nodes"]

_SEED = 17
_ACCEPTED_AT_UNIX_S = 1_700_000_000.0
_WARM_UP_S = 6.0
_PLACE_COUNT = 6
_SERVERS_PER_PLACE = 3
_CORE_BUDGET_PERCENT = 2.2
_SENT_BUDGET_BYTES_PER_S = 4000.0
_MEMORY_BUDGET_MB = 64.0


@dataclass(frozen=True, slots=True)
class ControlCost:
    """Control cost of one daemon: the mean over the VMs of its failure domain.

    :ivar core_percent: CPU time in percent of one core of the benchmark machine.
    :ivar sent_bytes_s: control bytes sent per second.
    :ivar max_sent_bytes_s: highest ``sent_bytes_s`` of any VM.
    :ivar reads_s: platform reads per second.
    :ivar memory_kb: memory of a node's objects, without libraries.
    """

    core_percent: float
    sent_bytes_s: float
    max_sent_bytes_s: float
    reads_s: float
    memory_kb: float


def bench_document(service: int) -> str:
    """Return a document with one place in each of six failure domains."""
    lines = [
        "[service]",
        f"name = service-{service}",
        "tenant = bench",
        "team = bench",
        "[class check]",
        "path = /*",
        "methods = GET",
        "idempotent = yes",
        "size = short",
        "deadline_ms = 2000",
        "priority = 5",
    ]
    for place in range(_PLACE_COUNT):
        lines += [f"[place p{place}]", f"region = region-{place // 4}"]
        lines += [f"failure_domain = domain-{place}", "capacity = 12", "weight = 1"]
        for server in range(_SERVERS_PER_PLACE):
            lines += [f"[server p{place}-s{server}]", f"place = p{place}"]
            lines += [f"address = 10.{100 + place}.{service}.{server + 1}:9000", "slots = 4"]
    return "\n".join(lines) + "\n"


def _rows(services: int) -> Iterator[Write]:
    heads = {f"service-{number}": 1 for number in range(services)}
    for number, name in enumerate(heads):
        operator = Operator("bench", "bench")
        row = DocumentRow(
            name, "bench", bench_document(number), 1, "op", operator, _ACCEPTED_AT_UNIX_S
        )
        yield Write(document_key(name), row.encode(), 0)
    yield Write(HEADS_KEY, encode_heads(heads), 0)


class _ForeignRelaySimulator:
    """Simulates two relays per foreign failure domain, which send its digest every second."""

    def __init__(self, network: Network, targets: list[Endpoint], domains: int, attributes) -> None:
        self._network = network
        self._targets = targets
        self._domains = range(1, domains)
        self._digest_attributes = attributes

    async def run(self) -> None:
        seq = 0
        while True:
            seq += 1
            for domain in self._domains:
                self._send(domain, seq)
            await asyncio.sleep(1.0)

    def _send(self, domain: int, seq: int) -> None:
        relay_records = [vm_record(domain, number) for number in (0, 1)]
        relays = tuple((item.host, item.peer_port) for item in relay_records)
        for item in relay_records:
            identity = PeerIdentity(
                item.name, item.name, item.failure_domain, item.region, item.host, item.peer_port
            )
            name = item.failure_domain
            data = encode(Digest(name, item.name, seq, 0.0, relays, self._digest_attributes))
            for target in self._targets:
                self._network.transmit(identity, target, data)


async def _run_nodes(peers: int, domains: int, services: int, seconds: float) -> ControlCost:
    platform, network = MemoryPlatform(), Network()
    own_records = [vm_record(0, number) for number in range(peers + 1)]
    foreign_records = [
        vm_record(domain, number) for domain in range(1, domains) for number in (0, 1)
    ]
    platform.set_vms((*own_records, *foreign_records))
    await platform.transact(tuple(_rows(services)))
    rng = random.Random(_SEED)
    tracemalloc.start()
    nodes = [
        make_node(record, platform, network, random.Random(rng.random())) for record in own_records
    ]
    for node in nodes:
        await node.start()
    await asyncio.sleep(_WARM_UP_S / 2)
    memory_kb = tracemalloc.get_traced_memory()[0] / 1000 / len(nodes)
    tracemalloc.stop()
    relays = [node.identity.endpoint for node in nodes if node.membership.is_relay]
    attributes = _digest_attributes(nodes[0].membership, services)
    task = asyncio.create_task(_ForeignRelaySimulator(network, relays, domains, attributes).run())
    await asyncio.sleep(_WARM_UP_S / 2)
    network.reset()
    reads, started = platform.usage.reads, process_time()
    await asyncio.sleep(seconds)
    used_s = process_time() - started
    reads = platform.usage.reads - reads
    sent = [network.sent_bytes.get(node.identity.endpoint, 0) / seconds for node in nodes]
    task.cancel()
    for node in nodes:
        await node.close()
    count = len(nodes)
    return ControlCost(
        100 * used_s / seconds / count,
        sum(sent) / count,
        max(sent),
        reads / seconds / count,
        memory_kb,
    )


def _digest_attributes(membership: MembershipNode, services: int) -> dict:
    """Return the digest attributes that a failure domain of four VMs sends."""
    names = [f"service-{number}" for number in range(services)]
    places = {f"p{place}": 0.167 for place in range(_PLACE_COUNT)}
    return {
        "arrivals": dict.fromkeys(names, 123.0),
        "shares": dict.fromkeys(names, places),
        "revisions": {f"domain-9-vm{number}": dict.fromkeys(names, 1) for number in range(4)},
        "crashes": {},
        "down": [],
        "leaving": [],
    }


def measure_nodes(peers: int, domains: int, services: int, seconds: float) -> ControlCost:
    """Simulate all nodes of one failure domain and return the mean cost of one node."""
    return run_virtual(_run_nodes(peers, domains, services, seconds))


@measure("control")
def control_cost(scale: Scale) -> Iterator[Finding]:
    """CPU time, bytes and memory by number of peers, failure domains and services."""
    peers, domains, services = scale.peer_counts, scale.domain_counts, scale.service_counts
    base = (peers[0], domains[0], services[0])
    cases = [base, *((count, *base[1:]) for count in peers[1:])]
    cases += [(base[0], count, base[2]) for count in domains[1:]]
    cases += [(*base[:2], count) for count in services[1:]]
    costs = {case: measure_nodes(*case, scale.control_s) for case in cases}
    for case, cost in costs.items():
        yield from _cost_findings("{} peers {} domains {} services".format(*case), cost)
    for axis, name in enumerate(("peer", "domain", "service")):
        other_axes = _without_axis(base, axis)
        ends = [case for case in cases if _without_axis(case, axis) == other_axes]
        yield from _slopes(name, costs, ends[0], ends[-1], axis)


def _without_axis(case: tuple[int, ...], axis: int) -> tuple[int, ...]:
    return case[:axis] + case[axis + 1 :]


def _cost_findings(case: str, cost: ControlCost) -> Iterator[Finding]:
    yield Finding(
        "control", f"{case} CPU", "% core", cost.core_percent, bound=Bound(_CORE_BUDGET_PERCENT)
    )
    yield Finding(
        "control", f"{case} sent", "B/s", cost.sent_bytes_s, bound=Bound(_SENT_BUDGET_BYTES_PER_S)
    )
    yield Finding(
        "control",
        f"{case} sent, most",
        "B/s",
        cost.max_sent_bytes_s,
        bound=Bound(_SENT_BUDGET_BYTES_PER_S),
    )
    yield Finding("control", f"{case} reads", "1/s", cost.reads_s)
    yield Finding("control", f"{case} objects", "kB", cost.memory_kb)


def _slopes(name: str, costs, first, last, axis: int) -> Iterator[Finding]:
    low, high = costs[first], costs[last]
    steps = last[axis] - first[axis]
    pairs = (
        ("CPU", "% core", low.core_percent, high.core_percent),
        ("sent", "B/s", low.sent_bytes_s, high.sent_bytes_s),
        ("sent, most", "B/s", low.max_sent_bytes_s, high.max_sent_bytes_s),
        ("objects", "kB", low.memory_kb, high.memory_kb),
    )
    for quantity, unit, first_value, last_value in pairs:
        yield Finding(
            "control", f"slope per {name}: {quantity}", unit, (last_value - first_value) / steps
        )


@measure("blocks")
def blocks(scale: Scale) -> Iterator[Finding]:
    """Memory per client block of the compact lookup table."""
    for own_region, stored_scope in ((None, "all in full"), ("r0", "own region in full")):
        table = load_blocks(address_blocks(scale.block_count), own_region)
        per_block = table.bytes / scale.block_count
        yield Finding(
            "blocks", f"{scale.block_count:,} blocks, {stored_scope}", "B/block", per_block
        )
