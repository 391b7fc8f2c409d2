"""Regions whose servers say in their responses that they leave, or want a pause."""

import asyncio
from collections import defaultdict

import pytest

from hibiscushaven.gateway import ServerListing
from hibiscushaven.gateway.leaving_exchange import SHARING_DELAY_S
from hibiscushaven.process.tests.support import VirtualClock

from .simulated_backends import SimulatedBackends, SimulatedTraffic
from .simulated_region import SimulatedRegion
from .support import make_node, make_record
from .test_node import run_in_loop

# Time after a VM has heard that a server leaves from which it must send nothing to it.
DRAIN_S = 2.5

# Time after a VM has heard that a server wants a pause from which it counts, and requests that may
# still reach the server until its end.
PAUSE_LAG_S = 0.5
MAX_IN_PAUSE = 2

ADOPTION_S = 3.0
ARRIVALS_PER_S = 100.0
SERVERS = {"serra-a": 9, "vale-a": 9}
SIZES = {"serra": 8, "vale": 8}


def play(duration_s, change):
    """Let a third of the servers change after a while; return the backends and the traffic."""

    async def scenario(region):
        backends = SimulatedBackends(region, SERVERS)
        traffic = SimulatedTraffic(region, backends)
        await asyncio.sleep(ADOPTION_S)
        await traffic.run(1.0, arrivals_per_s=ARRIVALS_PER_S)
        change(region, backends, sorted(backends.servers)[::3])
        await traffic.run(duration_s, arrivals_per_s=ARRIVALS_PER_S)
        return backends, traffic

    return SimulatedRegion.run(SIZES, scenario)


def arrivals_while_leaving(backends):
    """Return time, VM and server of each request that is late for a server that leaves."""
    told_at = {}
    for time, vm, server in backends.notices:
        told_at.setdefault((vm, server), time)
    return [
        (time, vm, server)
        for time, vm, server in backends.unwanted_arrivals
        if server in backends.leaving and time > told_at.get((vm, server), float("inf")) + DRAIN_S
    ]


def most_arrivals_in_pause(backends, excused=frozenset()):
    """Return how many requests one VM sent to one server at most in the pause that it named.

    :param excused: VMs that may have forgotten a pause.
    """
    arrivals = defaultdict(list)
    for time, vm, server in backends.unwanted_arrivals:
        arrivals[vm, server].append(time)
    counts = [
        sum(told_at + PAUSE_LAG_S < time < told_at + pause_s for time in arrivals[vm, server])
        for told_at, vm, server in backends.notices
        if vm not in excused and (pause_s := backends.pauses_s.get(server)) is not None
    ]
    return max(counts, default=0)


@pytest.mark.parametrize("is_store_down", [False, True])
def test_servers_that_leave_get_nothing_more_from_vms_that_know(is_store_down):
    """Guards against requests to servers of which the store does not say that they leave."""

    def change(region, backends, servers):
        backends.leaving = set(servers)
        for node in region.nodes.values():
            node._store.is_down = is_store_down

    backends, traffic = play(6.0, change)
    assert backends.notices and arrivals_while_leaving(backends) == []
    assert all(response.status == 200 for response in traffic.responses)


def test_vm_that_starts_again_sends_nothing_to_servers_that_told_it_that_they_leave():
    """Guards against a restart that loses what only responses had said."""

    async def scenario(region):
        backends = SimulatedBackends(region, SERVERS)
        traffic = SimulatedTraffic(region, backends)
        await asyncio.sleep(ADOPTION_S)
        backends.leaving = set(backends.servers[::3])
        await traffic.run(4.0, arrivals_per_s=ARRIVALS_PER_S)
        traffic.remove_vm("serra-1")
        async with region.killed("serra-1"):
            await asyncio.sleep(2.0)
        backends.unwanted_arrivals.clear()
        traffic.add_vm("serra-1", region.nodes["serra-1"])
        await traffic.run(3.0, arrivals_per_s=ARRIVALS_PER_S)
        served = sum(response.vm == "serra-1" for response in traffic.responses[-200:])
        return served, backends.unwanted_arrivals

    served, unwanted_arrivals = SimulatedRegion.run(SIZES, scenario)
    assert served and unwanted_arrivals == []


def test_servers_from_another_vm_come_with_those_that_leave():
    """Guards against requests between the servers and the message that names the leaving ones."""

    def scenario():
        clock = VirtualClock()
        peer, node = make_node("vm-1", clock), make_node("vm-2", clock)
        record = make_record("s1", started_unix_ms=7)
        peer._on_listing(ServerListing(5, (record,)), 0.5)
        peer.picker.notices.record_leaving(record.process_id, clock.now())
        clock.time += 2 * SHARING_DELAY_S
        peer._step(clock.now())
        node._on_sync_response(peer._make_sync_response(0, 0), "vm-1")
        assert node.picker.is_excluded(clock.now(), node.registry.servers["s1"])

    run_in_loop(scenario)


def play_pauses(pause_s):
    """Let a third of the servers reject all requests and ask for a pause each time."""

    def change(region, backends, servers):
        backends.pauses_s = dict.fromkeys(servers, pause_s)

    return play(8.0, change)


@pytest.mark.parametrize("pause_s", [0.2, 2.0, 20.0])
def test_servers_that_want_a_pause_get_it(pause_s):
    """Guards against a VM that asks again before the end of the pause."""
    backends, _ = play_pauses(pause_s)
    assert backends.notices and most_arrivals_in_pause(backends) <= MAX_IN_PAUSE


@pytest.mark.parametrize("pause_s", [0.2, 2.0, 20.0])
def test_requests_are_served_beside_servers_that_want_a_pause(pause_s):
    """Guards against requests that go from one server that wants a pause to another."""
    _, traffic = play_pauses(pause_s)
    served = sum(response.status == 200 for response in traffic.responses)
    assert served >= 0.95 * len(traffic.responses)
