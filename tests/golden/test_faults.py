"""Golden files of sessions with one fault each."""

import asyncio

from .small import document, open_small
from .world import World, run_session


def _reader(world: World, vms: list[str]):
    async def read(number: int):
        return await world.call(vms[number % len(vms)], "stock", "GET", f"/item/{number}")

    return read


def _owner(world: World, domain: str) -> str:
    """Return the VM that owns the service's shard in a failure domain."""
    found = [vm.name for vm in world.serving if vm.domain == domain and vm.node.owners.runners]
    assert len(found) == 1, found
    return found[0]


def test_failure_domain_cut_off(snapshot):
    """Guards against a cut off failure domain that stops, or takes slots of the others."""
    world = open_small()

    async def session(world: World) -> None:
        await world.begin({"stock": document()})
        inside = _reader(world, ["norte-2-vm1", "norte-2-vm2"])
        outside = _reader(world, ["norte-1-vm1", "sul-1-vm2"])
        world.log("network", "norte-2 is cut off from everything")
        world.isolate("norte-2")
        await asyncio.gather(
            world.load("reads inside, first 8 s", 10, 8, inside),
            world.load("reads outside, first 8 s", 10, 8, outside),
        )
        await world.tell("norte-2-vm1", "stock", "POST", "/orders", "order-1")
        await world.publish("norte-1-vm1", "stock", document(read_ms=1900), 1)
        await asyncio.gather(
            world.load("reads inside, later", 10, 4, inside),
            world.load("reads outside, later", 10, 4, outside),
        )
        world.log("network", "norte-2 is back")
        world.network.heal_all()
        await asyncio.sleep(8.0)
        await world.tell("norte-2-vm1", "stock", "POST", "/orders", "order-1")
        await asyncio.gather(
            world.load("reads inside, at the end", 10, 4, inside),
            world.load("reads outside, at the end", 10, 4, outside),
        )

    assert run_session(world, session) == snapshot
    world.check()


def test_lost_write_answer(snapshot):
    """Guards against a write that is repeated, or forgotten, when its answer is lost."""
    world = open_small()

    async def session(world: World) -> None:
        await world.begin({"stock": document()})
        world.log("platform", "loses the answer to the next write")
        world.platform.faults.lost_answers = 1
        await world.publish("sul-1-vm1", "stock", document(read_ms=1900), 1)
        await asyncio.sleep(2.0)
        world.log("platform", "loses the answer to the next write")
        world.platform.faults.lost_answers = 1
        await world.tell("norte-1-vm1", "stock", "POST", "/orders", "order-1", b"one")
        await asyncio.sleep(1.0)
        await world.tell("sul-1-vm2", "stock", "POST", "/orders", "order-1", b"one")
        world.log("platform", "loses the answers to the next two writes")
        world.platform.faults.lost_answers = 2
        await world.tell("norte-2-vm1", "stock", "POST", "/orders", "order-2", b"two")
        await asyncio.sleep(1.0)
        await world.tell("norte-2-vm2", "stock", "POST", "/orders", "order-2", b"two")

    assert run_session(world, session) == snapshot
    world.check()
    assert world.fleet.ledger.keys == {"order-1": 1, "order-2": 1}


def test_paused_owner(snapshot):
    """Guards against a resumed owner that sends on loans which lapsed during its pause."""
    world = open_small(domains=1, vms=3)

    async def session(world: World) -> None:
        await world.begin({"stock": document(domains=1)})
        for server in world.fleet.servers.values():
            server.service_s = 0.2
        owner = _owner(world, "norte-1")
        others = [vm for vm in world.vms if vm != owner]
        world.vms[owner].pauses_after_guard = True
        first = asyncio.create_task(world.tell(others[0], "stock", "POST", "/orders", "order-1"))
        await world.load("reads during the pause", 10, 12, _reader(world, others))
        world.log(owner, "goes on")
        world.vms[owner].process.resume()
        await world.load("reads after the pause", 10, 4, _reader(world, list(world.vms)))
        await first
        await world.tell(others[1], "stock", "POST", "/orders", "order-1")
        late = sum(server.late for server in world.fleet.servers.values())
        world.log("servers", f"refused after Start-By: {late}")

    assert run_session(world, session) == snapshot
    world.check()


def test_poison_request(snapshot):
    """Guards against a request that crashes one backend server after the other."""
    world = open_small()

    async def session(world: World) -> None:
        await world.begin({"stock": document(servers=3)})
        for number in range(6):
            vm = ("norte-1-vm1", "sul-1-vm2", "norte-2-vm1")[number % 3]
            await world.tell(vm, "stock", "GET", "/item/poison")
            await asyncio.sleep(1.5)
        await asyncio.sleep(3.0)
        await world.load("other reads", 20, 3, _reader(world, list(world.vms)))

    assert run_session(world, session) == snapshot
    world.check()
    crashes = sum(server.crashes for server in world.fleet.servers.values())
    assert crashes <= 4, crashes


def test_slow_servers(snapshot):
    """Guards against latency of all requests when a quarter of the servers is slow."""
    world = open_small(domains=1)

    async def session(world: World) -> None:
        await world.begin({"stock": document(domains=1, servers=8)})
        await world.load("warming up", 60, 5, _reader(world, list(world.vms)))
        usual = await world.load("reads", 60, 5, _reader(world, list(world.vms)))
        started = sum(server.started for server in world.fleet.servers.values())
        world.log("servers", "1 and 2 get ten times slower")
        for number in (1, 2):
            world.fleet.servers[f"stock-norte-1-{number}"].slow_factor = 10.0
        await world.load("reads while it is noticed", 60, 3, _reader(world, list(world.vms)))
        slowed = await world.load("reads later", 60, 10, _reader(world, list(world.vms)))
        extra = sum(server.started for server in world.fleet.servers.values()) - started
        world.log("callers", f"99th percentile: {_late_ms(usual)} ms, then {_late_ms(slowed)} ms")
        world.log("servers", f"{extra} requests for {13 * 60} reads")
        assert extra <= 13 * 60 * 1.05

    assert run_session(world, session) == snapshot
    world.check()


def _late_ms(calls) -> int:
    times = sorted(call.ended_at - call.started_at for call in calls if call.is_answered)
    return round(times[len(times) * 99 // 100] * 1000)


def test_silent_connections(snapshot):
    """Guards against requests that wait for connections which went silent."""
    world = open_small(domains=1)

    async def session(world: World) -> None:
        await world.begin({"stock": document(domains=1)})
        owner = _owner(world, "norte-1")
        other = next(vm for vm in world.vms if vm != owner)
        await world.tell(other, "stock", "GET", "/item/1")
        count = world.network.silence(other, owner)
        world.log("network", f"{count} connections of {other} to {owner} go silent")
        await world.tell(other, "stock", "GET", "/item/2")
        await world.tell(other, "stock", "POST", "/orders", "order-1")
        await world.load("reads", 10, 4, _reader(world, [other]))
        await world.tell(other, "stock", "POST", "/orders", "order-1")
        world.log("servers", "one of the two loses its next answer")
        world.fleet.servers["stock-norte-1-1"].silent = 1
        await world.tell(owner, "stock", "GET", "/item/3")
        await world.tell(owner, "stock", "POST", "/orders", "order-2")
        await world.tell(owner, "stock", "GET", "/item/4")
        world.log("servers", "one of the two cuts off its next two answers")
        world.fleet.servers["stock-norte-1-2"].truncated = 2
        await world.tell(owner, "stock", "GET", "/item/5")
        await world.tell(owner, "stock", "GET", "/long/6")
        await world.tell(owner, "stock", "GET", "/long/7")

    assert run_session(world, session) == snapshot
    world.check()


def test_store_down(snapshot):
    """Guards against an outage of the store that stops what needs no store."""
    world = open_small(domains=1)

    async def session(world: World) -> None:
        await world.begin({"stock": document(domains=1)})
        names = list(world.vms)
        world.log("platform", "is down for ten minutes")
        world.platform.faults.is_down = True
        await world.load("reads", 2, 20, _reader(world, names))
        await world.tell("norte-1-vm1", "stock", "POST", "/orders", "order-1")
        await world.publish("norte-1-vm2", "stock", document(domains=1, read_ms=1900), 1)
        world.kill("norte-1-vm1")
        await asyncio.sleep(5.0)
        await world.restart("norte-1-vm1")
        await asyncio.sleep(20.0)
        await world.load("reads", 2, 20, _reader(world, names))
        await asyncio.sleep(600 - 66)
        world.log("platform", "is up")
        world.platform.faults.is_down = False
        await asyncio.sleep(5.0)
        await world.tell("norte-1-vm1", "stock", "POST", "/orders", "order-1")
        await world.publish("norte-1-vm2", "stock", document(domains=1, read_ms=1900), 1)
        await world.load("reads", 10, 4, _reader(world, names))

    assert run_session(world, session) == snapshot
    world.check()
