"""Seeded schedules of concurrent editors, network faults, table outages and VM restarts."""

import asyncio
import random
from collections import Counter
from functools import cache

import pytest

from hibiscushaven.bench.faulty_table import FaultRates, FaultyTable
from hibiscushaven.bench.virtual_time import run_virtual
from hibiscushaven.documents import (
    CatalogEntry,
    DocumentCatalog,
    DocumentDistributor,
    DocumentPublisher,
    Operator,
    PublishedDocument,
    PublishUnavailableError,
    PublishUnknownError,
    RevisionConflictError,
    TeamRow,
)
from hibiscushaven.documents.rows import HistoryRow
from hibiscushaven.tablestore import MemoryPlatform, Write

from .samples import document_text

SEEDS = 200
VMS = 4
SERVICES = ("estoque", "pedidos")
FAULT_RATES = FaultRates(
    lost_answers=0.15, lost_writes=0.08, late_writes=0.08, refused_calls=0.05, stale_reads=0.2
)


class Vm:
    """One incarnation of a VM; a restart creates another one."""

    def __init__(self, simulation: "Simulation", name: str) -> None:
        self.simulation, self.name = simulation, name
        self.catalog = DocumentCatalog(self.changed)
        table = FaultyTable(simulation.platform, simulation.rng, simulation.rates)
        self.publisher = DocumentPublisher(table, simulation.loop.time)
        self.distributor = DocumentDistributor(table, self.catalog, name, simulation.loop.time)
        self.last_revisions: dict[str, int] = {}

    def changed(self, entry: CatalogEntry) -> None:
        service = entry.document.name
        assert entry.revision > self.last_revisions.get(
            service, 0
        ), "the revision in force decreased"
        self.last_revisions[service] = entry.revision
        known = self.simulation.texts.setdefault((service, entry.revision), entry.text)
        assert known == entry.text, "one revision has two texts"

    def receive(self, push) -> None:
        if self.distributor.on_push(push):
            self.simulation.broadcast(push)


class Simulation:
    """The platform, the VMs and the outcomes of all edits of one schedule."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.loop = asyncio.get_running_loop()
        self.platform = MemoryPlatform()
        self.rates = FAULT_RATES
        self.texts: dict[tuple[str, int], str] = {}
        self.accepted: list[PublishedDocument] = []
        self.rejected: list[tuple[str, str]] = []
        self.result_counts: Counter[str] = Counter()
        self.is_over = False
        self.vms = [Vm(self, f"vm{number}") for number in range(VMS)]

    def broadcast(self, push) -> None:
        for number in range(VMS):
            for _ in range(self.rng.choice((0, 1, 1, 2))):
                self.loop.call_later(
                    self.rng.uniform(0, 3), lambda number=number: self.vms[number].receive(push)
                )

    async def edit(self, number: int) -> None:
        await asyncio.sleep(self.rng.uniform(0, 5))
        vm = self.rng.choice(self.vms)
        service = self.rng.choice(SERVICES)
        entry = vm.catalog.get(service)
        expected = None if entry is None else entry.revision
        text = document_text(service, weight=number + 2)
        operator = Operator("loja", f"editor-{number}")
        result = await vm.publisher.publish(service, text, expected, operator, {"serra-a": 1})
        self.result_counts[
            type(result.error).__name__ if result.is_error() else "PublishedDocument"
        ] += 1
        if result.is_ok():
            self.accepted.append(result.ok)
            vm.distributor.apply_published(service, result.ok.row)
            self.broadcast(vm.distributor.push_message(service))
            return
        if isinstance(result.error, RevisionConflictError):
            assert result.error.revision > (expected or 0)
            assert result.error.differences, "the conflict does not show the differences"
        if not isinstance(result.error, PublishUnknownError):
            self.rejected.append((service, text))

    async def poll(self, number: int) -> None:
        while not self.is_over:
            await asyncio.sleep(self.rng.uniform(0.5, 1))
            await self.vms[number].distributor.poll()

    async def inject_faults(self) -> None:
        for _ in range(3):
            await asyncio.sleep(self.rng.uniform(0, 3))
            fault = self.rng.choice(("outage", "restart"))
            self.platform.faults.is_down = fault == "outage"
            if fault == "restart":
                number = self.rng.randrange(VMS)
                peer = self.rng.choice(self.vms)
                self.vms[number] = Vm(self, f"vm{number}")
                for snapshot in peer.distributor.snapshot():
                    self.vms[number].distributor.on_snapshot(snapshot)
        self.platform.faults.is_down = False


async def run_schedule(seed: int) -> Simulation:
    simulation = Simulation(seed)
    await simulation.platform.transact((Write("teams/loja", TeamRow("loja", ()).encode(), 0),))
    polls = [asyncio.ensure_future(simulation.poll(number)) for number in range(VMS)]
    await asyncio.gather(
        simulation.inject_faults(), *(simulation.edit(number) for number in range(8))
    )
    await asyncio.sleep(FAULT_RATES.late_s)
    simulation.is_over = True
    await asyncio.gather(*polls)
    for vm in simulation.vms:
        await DocumentDistributor(
            simulation.platform, vm.catalog, vm.name, simulation.loop.time
        ).poll()
    return simulation


@cache
def completed_schedule(seed: int) -> Simulation:
    return run_virtual(run_schedule(seed))


@pytest.mark.parametrize("seed", range(SEEDS))
def test_each_revision_has_one_winner(seed: int) -> None:
    """Guards against lost edits, and edits reported as rejected that are in the history."""
    simulation = completed_schedule(seed)
    reader = DocumentPublisher(simulation.platform, lambda: 0.0)
    for service in SERVICES:
        entries = run_virtual(reader.history(service)).ok
        revisions = [entry.revision for entry in entries]
        assert revisions == list(range(len(entries), 0, -1))
        operations = {entry.revision: entry.operation for entry in entries}
        accepted = [item for item in simulation.accepted if item.service == service]
        assert len({item.revision for item in accepted}) == len(accepted)
        assert all(operations[item.revision] == item.operation for item in accepted)
        rows = run_virtual(simulation.platform.read_prefix(f"history/{service}/"))
        kept = {(service, HistoryRow.decode(row.value).document.text) for row in rows}
        assert not kept & set(simulation.rejected)


@pytest.mark.parametrize("seed", range(SEEDS))
def test_every_vm_ends_with_the_newest_revision(seed: int) -> None:
    """Guards against VMs that revert to, or remain at, an older revision after faults end."""
    simulation = completed_schedule(seed)
    heads = {
        service: max(item.revision for item in simulation.accepted if item.service == service)
        for service in {item.service for item in simulation.accepted}
    }
    for vm in simulation.vms:
        assert all(vm.catalog.revisions[service] >= heads[service] for service in heads)
        assert vm.catalog.revisions == simulation.vms[0].catalog.revisions


def test_schedules_reach_every_result() -> None:
    """Guards against schedules in which conflicts, outages or accepted edits are too rare."""
    result_counts = sum(
        (completed_schedule(seed).result_counts for seed in range(SEEDS)), Counter()
    )
    result_kinds = (
        "PublishedDocument",
        RevisionConflictError.__name__,
        PublishUnavailableError.__name__,
    )
    assert min(result_counts[kind] for kind in result_kinds) >= 50
