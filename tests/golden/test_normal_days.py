"""Golden files of ordinary short days of the two deployments in ``examples/``."""

import asyncio
from pathlib import Path

from .world import World, run_session

_EXAMPLES = Path(__file__).parents[2] / "examples"


def _open(name: str, token: str) -> tuple[World, dict[str, str]]:
    world = World((_EXAMPLES / name).read_text(), _EXAMPLES)
    world.token = token
    documents = world.deployment.documents
    return world, {service: path.read_text() for service, path in documents.items()}


def _spread(world: World, service: str, method: str, target: str, key: str = ""):
    """Return a caller that goes round the VMs of all failure domains."""
    names = list(world.vms)

    async def call(number: int):
        vm = names[number * 5 % len(names)]
        full = target.format(number)
        return await world.call(vm, service, method, full, f"{key}{number}" if key else None)

    return call


def test_day_of_retalho_sul(snapshot):
    """Guards against changes of what callers see when nothing fails."""
    world, documents = _open("retalho_sul.ini", "demo-shop-a")

    async def day(world: World) -> None:
        await world.begin(documents, settle_s=20.0)
        await world.tell("vale-1-vm1", "estoque", "GET", "/stock/4711")
        await world.tell("campos-2-vm3", "pedidos", "POST", "/orders", "order-a", b"2 pallets")
        await world.tell("serra-1-vm2", "pedidos", "POST", "/orders", "order-a", b"2 pallets")
        await world.tell("serra-1-vm2", "pedidos", "POST", "/orders", "order-a", b"3 pallets")
        await world.tell("serra-2-vm1", "romaneio", "GET", "/manifests/long-7")
        await world.tell("serra-2-vm1", "pedidos", "POST", "/orders")
        await world.tell("serra-2-vm1", "estoque", "GET", "/elsewhere")
        checks = _spread(world, "estoque", "GET", "/stock/{}")
        orders = _spread(world, "pedidos", "POST", "/orders?n={}", "day-")
        manifests = _spread(world, "romaneio", "GET", "/manifests/long-{}")
        loads = await asyncio.gather(
            world.load("stock checks", 60, 5, checks),
            world.load("orders", 10, 5, orders),
            world.load("manifests", 4, 5, manifests),
        )
        refused = [call.target for calls in loads for call in calls if not call.is_answered]
        assert not refused, f"{len(refused)} requests were not answered on an ordinary day"

    transcript = run_session(world, day)
    world.check()
    assert transcript == snapshot


def test_day_of_szovetseg(snapshot):
    """Guards against changes of what callers see when nothing fails."""
    world, documents = _open("szovetseg.ini", "demo-workshop-a")

    async def day(world: World) -> None:
        await world.begin(documents, settle_s=20.0)
        names = list(world.vms)
        await world.tell(names[0], "adatkereso", "GET", "/approvals/17")
        await world.tell(names[5], "bejegyzo", "POST", "/registrations", "r-1", b"vonohorog")
        await world.tell(names[9], "bejegyzo", "POST", "/registrations", "r-1", b"vonohorog")
        await world.tell(names[-1], "letolto", "GET", "/manuals/long-3")
        lookups = _spread(world, "adatkereso", "GET", "/approvals/{}")
        registrations = _spread(world, "bejegyzo", "POST", "/registrations?n={}", "day-")
        manuals = _spread(world, "letolto", "GET", "/manuals/long-{}")
        loads = await asyncio.gather(
            world.load("approval lookups", 60, 5, lookups),
            world.load("registrations", 10, 5, registrations),
            world.load("manuals", 4, 5, manuals),
        )
        refused = [call.target for calls in loads for call in calls if not call.is_answered]
        assert not refused, f"{len(refused)} requests were not answered on an ordinary day"

    transcript = run_session(world, day)
    world.check()
    assert transcript == snapshot
