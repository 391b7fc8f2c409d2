"""Golden transcripts of planned changes: leaving places, competing edits, VM replacement."""

import asyncio
from collections import Counter

from .simulation import Simulation, describe_result, run_simulation
from .small_deployment import document, small_simulation


def test_place_leaves(snapshot):
    """Guards against requests that start on a leaving place after 3 s or are interrupted."""
    simulation = small_simulation()

    async def scenario(simulation: Simulation) -> None:
        await simulation.start({"stock": document(shift_cap=0.5)})
        names = list(simulation.vms)

        async def send_read(number: int):
            return await simulation.call(names[number % 6], "stock", "GET", f"/item/{number}")

        async def send_pull(number: int):
            return await simulation.call(names[number % 6], "stock", "GET", f"/long/{number}")

        reads = asyncio.create_task(
            simulation.run_load("reads across the change", 40, 12, send_read)
        )
        await asyncio.sleep(3.0)
        pulls = asyncio.create_task(simulation.run_load("pulls across the change", 4, 2, send_pull))
        await asyncio.sleep(1.9)
        await simulation.publish("sul-1-vm1", "stock", document(("norte-2",), shift_cap=0.5), 1)
        accepted_at = simulation.now
        await pulls
        await reads
        leaving = [item for item in simulation.fleet.servers.values() if item.place == "norte-2"]
        last = max(item.last_start_at for item in leaving) - accepted_at
        simulation.log("norte-2", f"last request started {last:.2f} s after the edit was accepted")
        assert last <= 3.0

    assert run_simulation(simulation, scenario) == snapshot
    simulation.check_invariants()
    simulation.check_outcomes_known()


def test_two_operators_race(snapshot):
    """Guards against lost edits: of two concurrent edits, one gets 412 and the new revision."""
    simulation = small_simulation()

    async def scenario(simulation: Simulation) -> None:
        await simulation.start({"stock": document()})
        responses = await asyncio.gather(
            simulation.publish("norte-1-vm1", "stock", document(("norte-2",)), 1),
            simulation.publish("sul-1-vm1", "stock", document(("sul-1",)), 1),
        )
        assert sorted(response.status for response in responses) == [200, 412]
        await asyncio.sleep(2.0)
        await simulation.publish("sul-1-vm2", "stock", document(("norte-2",), ttl_s=2.0), 2)
        await asyncio.sleep(2.0)
        await simulation.call_and_log("sul-1-vm1", "stock", "GET", "/item/1")

    assert run_simulation(simulation, scenario) == snapshot
    simulation.check_invariants()
    simulation.check_outcomes_known()


def test_rolling_replacement(snapshot):
    """Guards against interrupted requests and lost slots while each VM is replaced."""
    simulation = small_simulation(domains=2)

    async def scenario(simulation: Simulation) -> None:
        await simulation.start({"stock": document(domains=2)})
        is_done = False
        calls = []

        async def send_call(number: int):
            serving = [vm.name for vm in simulation.serving if not vm.is_leaving]
            vm = serving[number % len(serving)]
            if number % 5 == 0:
                return await simulation.call(vm, "stock", "GET", f"/long/{number}")
            if number % 5 == 1:
                return await simulation.call(vm, "stock", "POST", "/orders", f"order-{number}")
            return await simulation.call(vm, "stock", "GET", f"/item/{number}")

        async def traffic() -> None:
            number = 0
            while not is_done:
                calls.append(asyncio.create_task(send_call(number)))
                number += 1
                await asyncio.sleep(0.2)

        running = asyncio.create_task(traffic())
        for name in list(simulation.vms):
            await simulation.stop(name)
            await asyncio.sleep(1.0)
            await simulation.restart(name)
            await asyncio.sleep(4.0)
        is_done = True
        await running
        outcomes = Counter(describe_result(call, False) for call in await asyncio.gather(*calls))
        for outcome, count in sorted(outcomes.items()):
            simulation.log("callers", f"{count} times {outcome}")

    assert run_simulation(simulation, scenario) == snapshot
    simulation.check_invariants()
    simulation.check_outcomes_known()
