"""Each mechanism measured alone at the full scale of section 1.6 of the design."""

import asyncio
import hashlib
import json
import tracemalloc
from collections.abc import Iterator
from dataclasses import asdict, replace
from random import Random
from time import process_time

from hibiscushaven.documents.publishing import DocumentPublisher
from hibiscushaven.documents.rows import Operator, TeamRow, TeamToken, encode_heads, team_key
from hibiscushaven.lookups import EntryVm, Fleet, LookupQuery, order_vms, prepare_fleet
from hibiscushaven.slots.roster import Roster, RosterMember
from hibiscushaven.tablestore import MemoryPlatform, VmRecord, Write

from .claims import measure_claims
from .control import bench_document
from .measures import Bound, Finding, Scale, measure
from .virtual_nodes import vm_record

__all__ = ["at_scale"]

_DOMAIN_COUNT = 54
_VMS_PER_DOMAIN = 87
_LOOKUPS_PER_S = 1.9e6
_ORDERING_COUNT = 60
_EDIT_COUNT = 10
_SERVICE_COUNT = 200
# Claims per second and VM, and number of VMs: one claim per second for each of 4,700 VMs, handled
# by all of them or by one VM per failure domain.
_CLAIM_CASES = ((1, 4700), (87, 54))


@measure("scale")
def at_scale(scale: Scale) -> Iterator[Finding]:
    """VM lists, look-ups, claims, document edits and row sizes at full scale."""
    domains = _DOMAIN_COUNT if scale.max_cases != 1 else 2
    records = [vm_record(item, vm) for item in range(domains) for vm in range(_VMS_PER_DOMAIN)]
    yield from _list_findings(records)
    near_records = records[:_VMS_PER_DOMAIN] + [
        vm_record(item, vm) for item in range(54) for vm in (0, 1)
    ]
    for vms in (records, near_records):
        yield _order_finding(vms, domains)
    for load, claimers in _CLAIM_CASES:
        cost = measure_claims(load, live_vms=claimers, duration_s=2 * scale.claims_s)
        case = f"claims at {load}/s by each of {claimers:,} VMs"
        yield Finding("scale", f"{case}, refused", "share", cost.refused, bound=Bound(0.0))
        yield Finding("scale", f"{case}, p99", "ms", cost.p99_ms)
    yield from asyncio.run(_edit_findings())
    yield Finding("scale", "heads row per service", "B", _heads_bytes_per_service())
    roster = Roster()
    for item in records[:_VMS_PER_DOMAIN]:
        member = RosterMember(item.name, "0" * 24, item.host, item.peer_port)
        roster = roster.with_member(member)
    yield Finding("scale", f"roster row of {_VMS_PER_DOMAIN} VMs", "B", len(roster.encode()))


def _heads_bytes_per_service() -> float:
    return len(encode_heads({f"service-{item:04}": item for item in range(1000)})) / 1000


def _fleet(records: list[VmRecord]) -> Fleet:
    return prepare_fleet(
        [
            EntryVm(item.name, item.host, item.http_port, item.region, item.failure_domain)
            for item in records
        ]
    )


def _list_findings(records: list[VmRecord]) -> Iterator[Finding]:
    tracemalloc.start()
    copies = [replace(item, name=f"{item.name}-copy", host=f"{item.host}") for item in records]
    fleet = _fleet(copies)
    size = tracemalloc.get_traced_memory()[0] / len(records)
    tracemalloc.stop()
    del fleet
    yield Finding("scale", "list and fleet, memory per VM", "B", size)
    text = json.dumps([{key: str(value) for key, value in asdict(item).items()} for item in copies])
    yield Finding("scale", "list, JSON per VM", "B", len(text) / len(records))


def _order_finding(records: list[VmRecord], domains: int) -> Finding:
    fleet, rng = _fleet(records), Random(1)
    shares = {f"domain-{item}": 1 / domains for item in range(domains)}
    started = process_time()
    for number in range(_ORDERING_COUNT):
        query = LookupQuery(number.to_bytes(4, "big"), "region-1", "domain-4", shares, shares)
        order_vms("spread", fleet, query, rng)
    rate = _ORDERING_COUNT / max(1e-6, process_time() - started)
    bound = Bound(_LOOKUPS_PER_S / (_DOMAIN_COUNT * _VMS_PER_DOMAIN), is_least=True)
    return Finding("scale", f"orders of {len(records):,} VMs on one core", "1/s", rate, bound=bound)


async def _edit_findings() -> list[Finding]:
    platform = MemoryPlatform()
    digest = hashlib.sha256(b"bench").hexdigest()
    team = TeamRow("bench", (TeamToken("bench", digest),))
    heads = encode_heads({f"service-{item + 1}": 1 for item in range(_SERVICE_COUNT)})
    await platform.transact((Write(team_key("bench"), team.encode(), 0), Write("heads", heads, 0)))
    publisher = DocumentPublisher(platform, lambda: 1.0)
    operator = Operator("bench", "bench")
    text, usage, started, size = bench_document(0), replace(platform.usage), 0.0, 0
    for number in range(_EDIT_COUNT + 1):
        if number == 1:
            usage, started = replace(platform.usage), process_time()
        result = await publisher.publish(
            "service-0", f"# {number}\n{text}", number or None, operator, {}
        )
        if result.is_error():
            raise RuntimeError(f"edit {number} refused: {type(result.error).__name__}")
        size = len(result.ok.row)
    seconds = process_time() - started
    reads = (platform.usage.reads - usage.reads) / _EDIT_COUNT
    writes = (platform.usage.writes - usage.writes) / _EDIT_COUNT
    return [
        Finding("scale", "edit, reads of the table", "calls", reads),
        Finding("scale", "edit, writes of the table", "calls", writes),
        Finding("scale", "edit, CPU at the accepting VM", "ms", 1000 * seconds / _EDIT_COUNT),
        Finding("scale", "document row of 6 places", "B", size),
    ]
