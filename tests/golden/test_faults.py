"""Golden transcripts of simulations with one fault each."""

import asyncio

from .simulation import Simulation, run_simulation
from .small_deployment import document, small_simulation


def _read_caller(simulation: Simulation, vms: list[str]):
    """Return a function that sends read ``number`` to the given VMs in turn."""

    async def send_read(number: int):
        return await simulation.call(vms[number % len(vms)], "stock", "GET", f"/item/{number}")

    return send_read


def _owner(simulation: Simulation, domain: str) -> str:
    """Return the VM that owns the shard of the service in a failure domain."""
    owners = [
        vm.name for vm in simulation.serving if vm.domain == domain and vm.node.owners.runners
    ]
    assert len(owners) == 1, owners
    return owners[0]


def test_failure_domain_cut_off(snapshot):
    """Guards against a partitioned failure domain that stops, or uses slots of the others."""
    simulation = small_simulation()

    async def scenario(simulation: Simulation) -> None:
        await simulation.start({"stock": document()})
        inside = _read_caller(simulation, ["norte-2-vm1", "norte-2-vm2"])
        outside = _read_caller(simulation, ["norte-1-vm1", "sul-1-vm2"])
        simulation.log("network", "norte-2 is cut off from everything")
        simulation.isolate("norte-2")
        await asyncio.gather(
            simulation.run_load("reads inside, first 8 s", 10, 8, inside),
            simulation.run_load("reads outside, first 8 s", 10, 8, outside),
        )
        await simulation.call_and_log("norte-2-vm1", "stock", "POST", "/orders", "order-1")
        await simulation.publish("norte-1-vm1", "stock", document(read_ms=1900), 1)
        await asyncio.gather(
            simulation.run_load("reads inside, later", 10, 4, inside),
            simulation.run_load("reads outside, later", 10, 4, outside),
        )
        simulation.log("network", "norte-2 is back")
        simulation.network.heal_all()
        await asyncio.sleep(8.0)
        await simulation.call_and_log("norte-2-vm1", "stock", "POST", "/orders", "order-1")
        await asyncio.gather(
            simulation.run_load("reads inside, at the end", 10, 4, inside),
            simulation.run_load("reads outside, at the end", 10, 4, outside),
        )

    assert run_simulation(simulation, scenario) == snapshot
    simulation.check_invariants()


def test_lost_write_answer(snapshot):
    """Guards against a write that is repeated or dropped when its response is lost."""
    simulation = small_simulation()

    async def scenario(simulation: Simulation) -> None:
        await simulation.start({"stock": document()})
        simulation.log("platform", "loses the answer to the next write")
        simulation.platform.faults.lost_answers = 1
        await simulation.publish("sul-1-vm1", "stock", document(read_ms=1900), 1)
        await asyncio.sleep(2.0)
        simulation.log("platform", "loses the answer to the next write")
        simulation.platform.faults.lost_answers = 1
        await simulation.call_and_log("norte-1-vm1", "stock", "POST", "/orders", "order-1", b"one")
        await asyncio.sleep(1.0)
        await simulation.call_and_log("sul-1-vm2", "stock", "POST", "/orders", "order-1", b"one")
        simulation.log("platform", "loses the answers to the next two writes")
        simulation.platform.faults.lost_answers = 2
        await simulation.call_and_log("norte-2-vm1", "stock", "POST", "/orders", "order-2", b"two")
        await asyncio.sleep(1.0)
        await simulation.call_and_log("norte-2-vm2", "stock", "POST", "/orders", "order-2", b"two")

    assert run_simulation(simulation, scenario) == snapshot
    simulation.check_invariants()
    assert simulation.fleet.run_counts.by_key == {"order-1": 1, "order-2": 1}


def test_paused_owner(snapshot):
    """Guards against a resumed owner that sends under loans that expired during its pause."""
    simulation = small_simulation(domains=1, vms=3)

    async def scenario(simulation: Simulation) -> None:
        await simulation.start({"stock": document(domains=1)})
        for server in simulation.fleet.servers.values():
            server.service_s = 0.2
        owner = _owner(simulation, "norte-1")
        others = [vm for vm in simulation.vms if vm != owner]
        simulation.vms[owner].pauses_after_guard = True
        first = asyncio.create_task(
            simulation.call_and_log(others[0], "stock", "POST", "/orders", "order-1")
        )
        await simulation.run_load(
            "reads during the pause", 10, 12, _read_caller(simulation, others)
        )
        simulation.log(owner, "goes on")
        simulation.vms[owner].process.resume()
        await simulation.run_load(
            "reads after the pause", 10, 4, _read_caller(simulation, list(simulation.vms))
        )
        await first
        await simulation.call_and_log(others[1], "stock", "POST", "/orders", "order-1")
        refused_late = sum(server.refused_late for server in simulation.fleet.servers.values())
        simulation.log("servers", f"refused after Start-By: {refused_late}")

    assert run_simulation(simulation, scenario) == snapshot
    simulation.check_invariants()


def test_poison_request(snapshot):
    """Guards against a request that crashes backend servers one after the other."""
    simulation = small_simulation()

    async def scenario(simulation: Simulation) -> None:
        await simulation.start({"stock": document(servers=3)})
        for number in range(6):
            vm = ("norte-1-vm1", "sul-1-vm2", "norte-2-vm1")[number % 3]
            await simulation.call_and_log(vm, "stock", "GET", "/item/poison")
            await asyncio.sleep(1.5)
        await asyncio.sleep(3.0)
        await simulation.run_load(
            "other reads", 20, 3, _read_caller(simulation, list(simulation.vms))
        )

    assert run_simulation(simulation, scenario) == snapshot
    simulation.check_invariants()
    crashes = sum(server.crashes for server in simulation.fleet.servers.values())
    assert crashes <= 4, crashes


def test_slow_servers(snapshot):
    """Guards against high latency of all requests when a quarter of the servers is slow."""
    simulation = small_simulation(domains=1)

    async def scenario(simulation: Simulation) -> None:
        await simulation.start({"stock": document(domains=1, servers=8)})
        await simulation.run_load(
            "warming up", 60, 5, _read_caller(simulation, list(simulation.vms))
        )
        normal_calls = await simulation.run_load(
            "reads", 60, 5, _read_caller(simulation, list(simulation.vms))
        )
        started = sum(server.started for server in simulation.fleet.servers.values())
        simulation.log("servers", "1 and 2 get ten times slower")
        for number in (1, 2):
            simulation.fleet.servers[f"stock-norte-1-{number}"].slow_factor = 10.0
        await simulation.run_load(
            "reads while it is noticed", 60, 3, _read_caller(simulation, list(simulation.vms))
        )
        slowed_calls = await simulation.run_load(
            "reads later", 60, 10, _read_caller(simulation, list(simulation.vms))
        )
        request_count = (
            sum(server.started for server in simulation.fleet.servers.values()) - started
        )
        simulation.log(
            "callers",
            f"99th percentile: {_p99_ms(normal_calls)} ms, then {_p99_ms(slowed_calls)} ms",
        )
        simulation.log("servers", f"{request_count} requests for {13 * 60} reads")
        assert request_count <= 13 * 60 * 1.05

    assert run_simulation(simulation, scenario) == snapshot
    simulation.check_invariants()


def _p99_ms(calls) -> int:
    times = sorted(call.ended_at - call.started_at for call in calls if call.is_answered)
    return round(times[len(times) * 99 // 100] * 1000)


def test_silent_connections(snapshot):
    """Guards against requests that wait for silent connections."""
    simulation = small_simulation(domains=1)

    async def scenario(simulation: Simulation) -> None:
        await simulation.start({"stock": document(domains=1)})
        owner = _owner(simulation, "norte-1")
        other = next(vm for vm in simulation.vms if vm != owner)
        await simulation.call_and_log(other, "stock", "GET", "/item/1")
        count = simulation.network.silence_connections(other, owner)
        simulation.log("network", f"{count} connections of {other} to {owner} go silent")
        await simulation.call_and_log(other, "stock", "GET", "/item/2")
        await simulation.call_and_log(other, "stock", "POST", "/orders", "order-1")
        await simulation.run_load("reads", 10, 4, _read_caller(simulation, [other]))
        await simulation.call_and_log(other, "stock", "POST", "/orders", "order-1")
        simulation.log("servers", "one of the two loses its next answer")
        simulation.fleet.servers["stock-norte-1-1"].responses_to_drop = 1
        await simulation.call_and_log(owner, "stock", "GET", "/item/3")
        await simulation.call_and_log(owner, "stock", "POST", "/orders", "order-2")
        await simulation.call_and_log(owner, "stock", "GET", "/item/4")
        simulation.log("servers", "one of the two cuts off its next two answers")
        simulation.fleet.servers["stock-norte-1-2"].responses_to_truncate = 2
        await simulation.call_and_log(owner, "stock", "GET", "/item/5")
        await simulation.call_and_log(owner, "stock", "GET", "/long/6")
        await simulation.call_and_log(owner, "stock", "GET", "/long/7")

    assert run_simulation(simulation, scenario) == snapshot
    simulation.check_invariants()


def test_store_down(snapshot):
    """Guards against a store outage that stops requests which do not need the store."""
    simulation = small_simulation(domains=1)

    async def scenario(simulation: Simulation) -> None:
        await simulation.start({"stock": document(domains=1)})
        names = list(simulation.vms)
        simulation.log("platform", "is down for ten minutes")
        simulation.platform.faults.is_down = True
        await simulation.run_load("reads", 2, 20, _read_caller(simulation, names))
        await simulation.call_and_log("norte-1-vm1", "stock", "POST", "/orders", "order-1")
        await simulation.publish("norte-1-vm2", "stock", document(domains=1, read_ms=1900), 1)
        simulation.kill("norte-1-vm1")
        await asyncio.sleep(5.0)
        await simulation.restart("norte-1-vm1")
        await asyncio.sleep(20.0)
        await simulation.run_load("reads", 2, 20, _read_caller(simulation, names))
        await asyncio.sleep(600 - 66)
        simulation.log("platform", "is up")
        simulation.platform.faults.is_down = False
        await asyncio.sleep(5.0)
        await simulation.call_and_log("norte-1-vm1", "stock", "POST", "/orders", "order-1")
        await simulation.publish("norte-1-vm2", "stock", document(domains=1, read_ms=1900), 1)
        await simulation.run_load("reads", 10, 4, _read_caller(simulation, names))

    assert run_simulation(simulation, scenario) == snapshot
    simulation.check_invariants()
