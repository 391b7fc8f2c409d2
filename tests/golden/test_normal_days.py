"""Golden transcripts of short runs without faults of the deployments in ``examples/``."""

import asyncio
from pathlib import Path

from .simulation import Simulation, run_simulation

_EXAMPLES = Path(__file__).parents[2] / "examples"


def _create_simulation(name: str, token: str) -> tuple[Simulation, dict[str, str]]:
    simulation = Simulation((_EXAMPLES / name).read_text(), _EXAMPLES)
    simulation.token = token
    documents = simulation.deployment.documents
    return simulation, {service: path.read_text() for service, path in documents.items()}


def _round_robin_caller(
    simulation: Simulation, service: str, method: str, path_template: str, key: str = ""
):
    """Return a function that sends call ``number`` to the VMs of all domains in turn."""
    names = list(simulation.vms)

    async def call(number: int):
        vm = names[number * 5 % len(names)]
        path = path_template.format(number)
        return await simulation.call(vm, service, method, path, f"{key}{number}" if key else None)

    return call


def test_day_of_retalho_sul(snapshot):
    """Guards against changes in the responses that callers get when nothing fails."""
    simulation, documents = _create_simulation("retalho_sul.ini", "demo-shop-a")

    async def scenario(simulation: Simulation) -> None:
        await simulation.start(documents, settle_s=20.0)
        await simulation.call_and_log("vale-1-vm1", "estoque", "GET", "/stock/4711")
        await simulation.call_and_log(
            "campos-2-vm3", "pedidos", "POST", "/orders", "order-a", b"2 pallets"
        )
        await simulation.call_and_log(
            "serra-1-vm2", "pedidos", "POST", "/orders", "order-a", b"2 pallets"
        )
        await simulation.call_and_log(
            "serra-1-vm2", "pedidos", "POST", "/orders", "order-a", b"3 pallets"
        )
        await simulation.call_and_log("serra-2-vm1", "romaneio", "GET", "/manifests/long-7")
        await simulation.call_and_log("serra-2-vm1", "pedidos", "POST", "/orders")
        await simulation.call_and_log("serra-2-vm1", "estoque", "GET", "/elsewhere")
        checks = _round_robin_caller(simulation, "estoque", "GET", "/stock/{}")
        orders = _round_robin_caller(simulation, "pedidos", "POST", "/orders?n={}", "day-")
        manifests = _round_robin_caller(simulation, "romaneio", "GET", "/manifests/long-{}")
        loads = await asyncio.gather(
            simulation.run_load("stock checks", 60, 5, checks),
            simulation.run_load("orders", 10, 5, orders),
            simulation.run_load("manifests", 4, 5, manifests),
        )
        refused = [call.target for calls in loads for call in calls if not call.is_answered]
        assert not refused, f"{len(refused)} requests were not answered on an ordinary day"

    transcript = run_simulation(simulation, scenario)
    simulation.check_invariants()
    assert transcript == snapshot


def test_day_of_szovetseg(snapshot):
    """Guards against changes in the responses that callers get when nothing fails."""
    simulation, documents = _create_simulation("szovetseg.ini", "demo-workshop-a")

    async def scenario(simulation: Simulation) -> None:
        await simulation.start(documents, settle_s=20.0)
        names = list(simulation.vms)
        await simulation.call_and_log(names[0], "adatkereso", "GET", "/approvals/17")
        await simulation.call_and_log(
            names[5], "bejegyzo", "POST", "/registrations", "r-1", b"vonohorog"
        )
        await simulation.call_and_log(
            names[9], "bejegyzo", "POST", "/registrations", "r-1", b"vonohorog"
        )
        await simulation.call_and_log(names[-1], "letolto", "GET", "/manuals/long-3")
        lookups = _round_robin_caller(simulation, "adatkereso", "GET", "/approvals/{}")
        registrations = _round_robin_caller(
            simulation, "bejegyzo", "POST", "/registrations?n={}", "day-"
        )
        manuals = _round_robin_caller(simulation, "letolto", "GET", "/manuals/long-{}")
        loads = await asyncio.gather(
            simulation.run_load("approval lookups", 60, 5, lookups),
            simulation.run_load("registrations", 10, 5, registrations),
            simulation.run_load("manuals", 4, 5, manuals),
        )
        refused = [call.target for calls in loads for call in calls if not call.is_answered]
        assert not refused, f"{len(refused)} requests were not answered on an ordinary day"

    transcript = run_simulation(simulation, scenario)
    simulation.check_invariants()
    assert transcript == snapshot
