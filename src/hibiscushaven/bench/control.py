"""Control cost of one daemon against peers, failure domains, services and client blocks."""

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
from .steering import _block_rows, load_blocks
from .virtual import run_virtual
from .virtual_nodes import Network, make_node, vm_entry

__all__ = ["ControlCost", "bench_document", "control_cost", "measure_nodes"]

_SEED = 17
_ACCEPTED_AT = 1_700_000_000.0
_WARM_UP_S = 6.0
_PLACES = 6
_SERVERS = 3
_BUDGET_CORE = 2.2
_BUDGET_BYTES = 4000.0
_BUDGET_MB = 64.0


@dataclass(frozen=True, slots=True)
class ControlCost:
    """Cost of one daemon, the mean of its failure domain.

    :ivar core_percent: processor time in percent of a core of this machine.
    :ivar sent_bytes_s: sent control bytes a second; the largest of any VM in ``most_bytes_s``.
    :ivar reads_s: reads of the platform a second.
    :ivar memory_kb: memory of a node's objects, without libraries.
    """

    core_percent: float
    sent_bytes_s: float
    most_bytes_s: float
    reads_s: float
    memory_kb: float


def bench_document(service: int) -> str:
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
    for place in range(_PLACES):
        lines += [f"[place p{place}]", f"region = region-{place // 4}"]
        lines += [f"failure_domain = domain-{place}", "capacity = 12", "weight = 1"]
        for server in range(_SERVERS):
            lines += [f"[server p{place}-s{server}]", f"place = p{place}"]
            lines += [f"address = 10.{100 + place}.{service}.{server + 1}:9000", "slots = 4"]
    return "\n".join(lines) + "\n"


def _rows(services: int) -> Iterator[Write]:
    heads = {f"service-{number}": 1 for number in range(services)}
    for number, name in enumerate(heads):
        operator = Operator("bench", "bench")
        row = DocumentRow(name, "bench", bench_document(number), 1, "op", operator, _ACCEPTED_AT)
        yield Write(document_key(name), row.encode(), 0)
    yield Write(HEADS_KEY, encode_heads(heads), 0)


class _ForeignRelays:
    """Two relays of each other failure domain, which send its digest every second."""

    def __init__(self, network: Network, targets: list[Endpoint], domains: int, parts) -> None:
        self._network = network
        self._targets = targets
        self._domains = range(1, domains)
        self._parts = parts

    async def run(self) -> None:
        seq = 0
        while True:
            seq += 1
            for domain in self._domains:
                self._send(domain, seq)
            await asyncio.sleep(1.0)

    def _send(self, domain: int, seq: int) -> None:
        entries = [vm_entry(domain, number) for number in (0, 1)]
        relays = tuple((item.host, item.peer_port) for item in entries)
        for item in entries:
            own = PeerIdentity(
                item.name, item.name, item.failure_domain, item.region, item.host, item.peer_port
            )
            name = item.failure_domain
            data = encode(Digest(name, item.name, seq, 0.0, relays, self._parts))
            for target in self._targets:
                self._network.transmit(own, target, data)


async def _run_nodes(peers: int, domains: int, services: int, seconds: float) -> ControlCost:
    platform, network = MemoryPlatform(), Network()
    own = [vm_entry(0, number) for number in range(peers + 1)]
    foreign = [vm_entry(domain, number) for domain in range(1, domains) for number in (0, 1)]
    platform.set_vms((*own, *foreign))
    await platform.transact(tuple(_rows(services)))
    rng = random.Random(_SEED)
    tracemalloc.start()
    nodes = [make_node(entry, platform, network, random.Random(rng.random())) for entry in own]
    for node in nodes:
        await node.start()
    await asyncio.sleep(_WARM_UP_S / 2)
    memory_kb = tracemalloc.get_traced_memory()[0] / 1000 / len(nodes)
    tracemalloc.stop()
    relays = [node.identity.endpoint for node in nodes if node.membership.is_relay]
    parts = _parts(nodes[0].membership, services)
    task = asyncio.create_task(_ForeignRelays(network, relays, domains, parts).run())
    await asyncio.sleep(_WARM_UP_S / 2)
    network.reset()
    reads, started = platform.usage.reads, process_time()
    await asyncio.sleep(seconds)
    used_s = process_time() - started
    reads = platform.usage.reads - reads
    sent = [network.sent.get(node.identity.endpoint, 0) / seconds for node in nodes]
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


def _parts(membership: MembershipNode, services: int) -> dict:
    """Return the parts of a digest as a failure domain of four VMs sends them."""
    names = [f"service-{number}" for number in range(services)]
    places = {f"p{place}": 0.167 for place in range(_PLACES)}
    return {
        "arrivals": dict.fromkeys(names, 123.0),
        "shares": dict.fromkeys(names, places),
        "revisions": {f"domain-9-vm{number}": dict.fromkeys(names, 1) for number in range(4)},
        "crashes": {},
        "down": [],
        "leaving": [],
    }


def measure_nodes(peers: int, domains: int, services: int, seconds: float) -> ControlCost:
    """Run all nodes of one failure domain and return the cost of one of them."""
    return run_virtual(_run_nodes(peers, domains, services, seconds))


@measure("control")
def control_cost(scale: Scale) -> Iterator[Finding]:
    """Processor time, bytes and memory against peers, failure domains and services."""
    peers, domains, services = scale.peers, scale.domains, scale.services
    base = (peers[0], domains[0], services[0])
    cases = [base, *((count, *base[1:]) for count in peers[1:])]
    cases += [(base[0], count, base[2]) for count in domains[1:]]
    cases += [(*base[:2], count) for count in services[1:]]
    costs = {case: measure_nodes(*case, scale.control_s) for case in cases}
    for case, cost in costs.items():
        yield from _cost_findings("{} peers {} domains {} services".format(*case), cost)
    for number, name in enumerate(("peer", "domain", "service")):
        fixed = _without(base, number)
        ends = [case for case in cases if _without(case, number) == fixed]
        yield from _slopes(name, costs, ends[0], ends[-1], number)


def _without(case: tuple[int, ...], number: int) -> tuple[int, ...]:
    return case[:number] + case[number + 1 :]


def _cost_findings(case: str, cost: ControlCost) -> Iterator[Finding]:
    yield Finding("control", f"{case} CPU", "% core", cost.core_percent, bound=Bound(_BUDGET_CORE))
    yield Finding("control", f"{case} sent", "B/s", cost.sent_bytes_s, bound=Bound(_BUDGET_BYTES))
    yield Finding(
        "control", f"{case} sent, most", "B/s", cost.most_bytes_s, bound=Bound(_BUDGET_BYTES)
    )
    yield Finding("control", f"{case} reads", "1/s", cost.reads_s)
    yield Finding("control", f"{case} objects", "kB", cost.memory_kb)


def _slopes(name: str, costs, first, last, number: int) -> Iterator[Finding]:
    low, high = costs[first], costs[last]
    steps = last[number] - first[number]
    pairs = (
        ("CPU", "% core", low.core_percent, high.core_percent),
        ("sent", "B/s", low.sent_bytes_s, high.sent_bytes_s),
        ("sent, most", "B/s", low.most_bytes_s, high.most_bytes_s),
        ("objects", "kB", low.memory_kb, high.memory_kb),
    )
    for what, unit, before, after in pairs:
        yield Finding("control", f"slope per {name}: {what}", unit, (after - before) / steps)


@measure("blocks")
def blocks(scale: Scale) -> Iterator[Finding]:
    """Memory of the compact table of client blocks."""
    for own_region, what in ((None, "all in full"), ("r0", "own region in full")):
        table = load_blocks(_block_rows(scale.blocks), own_region)
        per_block = table.bytes / scale.blocks
        yield Finding("blocks", f"{scale.blocks:,} blocks, {what}", "B/block", per_block)
