"""Golden files of planned changes: a place leaves, operators race, VMs are replaced."""

import asyncio
from collections import Counter

from .small import document, open_small
from .world import World, describe, run_session


def test_place_leaves(snapshot):
    """Guards against new work on a leaving place after 3 s, and against cut off work."""
    world = open_small()

    async def session(world: World) -> None:
        await world.begin({"stock": document(shift_cap=0.5)})
        names = list(world.vms)

        async def read(number: int):
            return await world.call(names[number % 6], "stock", "GET", f"/item/{number}")

        async def pull(number: int):
            return await world.call(names[number % 6], "stock", "GET", f"/long/{number}")

        reads = asyncio.create_task(world.load("reads across the change", 40, 12, read))
        await asyncio.sleep(3.0)
        pulls = asyncio.create_task(world.load("pulls across the change", 4, 2, pull))
        await asyncio.sleep(1.9)
        await world.publish("sul-1-vm1", "stock", document(("norte-2",), shift_cap=0.5), 1)
        accepted_at = world.now
        await pulls
        await reads
        leaving = [item for item in world.fleet.servers.values() if item.place == "norte-2"]
        last = max(item.last_start_at for item in leaving) - accepted_at
        world.log("norte-2", f"last request started {last:.2f} s after the edit was accepted")
        assert last <= 3.0

    assert run_session(world, session) == snapshot
    world.check()
    world.check_none_cut_off()


def test_two_operators_race(snapshot):
    """Guards against lost edits: one wins, the other is told of the winner's revision."""
    world = open_small()

    async def session(world: World) -> None:
        await world.begin({"stock": document()})
        replies = await asyncio.gather(
            world.publish("norte-1-vm1", "stock", document(("norte-2",)), 1),
            world.publish("sul-1-vm1", "stock", document(("sul-1",)), 1),
        )
        assert sorted(reply.status for reply in replies) == [200, 412]
        await asyncio.sleep(2.0)
        await world.publish("sul-1-vm2", "stock", document(("norte-2",), ttl_s=2.0), 2)
        await asyncio.sleep(2.0)
        await world.tell("sul-1-vm1", "stock", "GET", "/item/1")

    assert run_session(world, session) == snapshot
    world.check()
    world.check_none_cut_off()


def test_rolling_replacement(snapshot):
    """Guards against work cut off, and against lost slots, while each VM is replaced."""
    world = open_small(domains=2)

    async def session(world: World) -> None:
        await world.begin({"stock": document(domains=2)})
        is_done = False
        calls = []

        async def use(number: int):
            serving = [vm.name for vm in world.serving if not vm.is_leaving]
            vm = serving[number % len(serving)]
            if number % 5 == 0:
                return await world.call(vm, "stock", "GET", f"/long/{number}")
            if number % 5 == 1:
                return await world.call(vm, "stock", "POST", "/orders", f"order-{number}")
            return await world.call(vm, "stock", "GET", f"/item/{number}")

        async def traffic() -> None:
            number = 0
            while not is_done:
                calls.append(asyncio.create_task(use(number)))
                number += 1
                await asyncio.sleep(0.2)

        running = asyncio.create_task(traffic())
        for name in list(world.vms):
            await world.stop(name)
            await asyncio.sleep(1.0)
            await world.restart(name)
            await asyncio.sleep(4.0)
        is_done = True
        await running
        outcomes = Counter(describe(call, False) for call in await asyncio.gather(*calls))
        for outcome, count in sorted(outcomes.items()):
            world.log("callers", f"{count} times {outcome}")

    assert run_session(world, session) == snapshot
    world.check()
    world.check_none_cut_off()
