"""Regions of VMs whose store comes back from a copy: its numbers are given out again."""

import asyncio
import contextlib
from dataclasses import replace

import pytest

from hibiscushaven.discovery import EXPIRY_GRACE_S, RENEWAL_INTERVAL_S
from hibiscushaven.eras import era_of, version_of
from hibiscushaven.gateway import ServerListing
from hibiscushaven.gateway.node import REGISTER_SPREAD_S
from hibiscushaven.gateway.removed_servers import MISSED_RENEWALS
from hibiscushaven.process.tests.support import VirtualClock

from .simulated_region import SimulatedRegion
from .support import make_node, make_operator, make_record
from .test_node import run_in_loop

# Number of VMs of one region in the largest deployment.
VMS = 34

# Time within which what the operator writes again must be in force on each VM.
CHANGE_BOUND_S = 3.0

START = version_of(1, 500)
COPY = version_of(2, 100)


def begin_era_1(node):
    """Give a node the state and the servers of the first era."""
    records = [make_record("s1"), make_record("s2", started_unix_ms=7)]
    node._adopt_operator(make_operator(START, 3, ["vale-a"]), "store")
    node._on_listing(ServerListing(START, tuple(records)), 0.5)


def excluded_servers(node):
    """Return the known servers that get no requests of this VM."""
    return {
        server_id
        for server_id, server in node.registry.servers.items()
        if node.picker.is_excluded(node._clock.now(), server)
    }


def test_configuration_does_not_go_back_to_that_of_the_copy():
    """Guards against requests that are handled by the configuration of an old copy."""

    def scenario():
        node = make_node()
        begin_era_1(node)
        node._adopt_operator(make_operator(COPY, 2, ["vale-a"]), "store")
        assert node.operator.configuration.version == 3
        assert era_of(node.operator.version) == 2
        node._adopt_operator(make_operator(COPY + 5, 4, ["vale-a"]), "store")
        assert node.operator.configuration.version == 4

    run_in_loop(scenario)


def test_evacuation_that_the_copy_lacks_is_kept_until_it_is_written_again_or_over():
    """Guards against requests to an evacuated failure domain after a restore."""

    def scenario():
        for is_written_again in (False, True):
            clock = VirtualClock()
            node = make_node(clock=clock)
            begin_era_1(node)
            node._adopt_operator(make_operator(COPY, 3), "store")
            assert node.operator.evacuated == {"vale-a"}
            if is_written_again:
                node._adopt_operator(make_operator(COPY + 1, 3, ["vale-a"]), "vm-2")
            clock.time += EXPIRY_GRACE_S
            node._step(clock.now())
            assert node.operator.evacuated == ({"vale-a"} if is_written_again else frozenset())
            node._adopt_operator(make_operator(COPY + 2, 3), "store")
            assert node.operator.evacuated == frozenset()

    run_in_loop(scenario)


def test_server_that_leaves_stays_excluded_although_the_copy_lists_it_as_ready():
    """Guards against requests to a leaving server, whose older record came back with the copy."""

    def scenario():
        node = make_node()
        begin_era_1(node)
        leaving = make_record("s2", started_unix_ms=7, is_leaving=True)
        node._on_listing(ServerListing(START + 1, (make_record("s1"), leaving)), 0.5)
        node._on_listing(ServerListing(START + 2, (make_record("s1"),)), 0.5)
        ready = make_record("s2", started_unix_ms=7)
        node._on_listing(ServerListing(COPY, (make_record("s1"), ready)), 0.5)
        node._adopt_operator(make_operator(COPY, 3), "store")
        assert excluded_servers(node) == {"s2"}
        started_again = replace(ready, started_unix_ms=8)
        node._on_listing(ServerListing(COPY + 1, (make_record("s1"), started_again)), 0.5)
        assert excluded_servers(node) == set()

    run_in_loop(scenario)


@pytest.mark.parametrize("is_registered_again", [False, True])
def test_server_that_was_removed_is_excluded_while_the_copy_lists_it(is_registered_again):
    """Guards against requests to a server that is gone, whose record came back with the copy."""

    def scenario():
        clock = VirtualClock()
        node = make_node(clock=clock)
        begin_era_1(node)
        both = (make_record("s1"), make_record("s2", started_unix_ms=7))
        node._on_listing(ServerListing(START + 1, both[:1]), 0.5)
        if is_registered_again:
            node._on_listing(ServerListing(START + 2, both), 0.5)
        clock.time += 1.0
        node._on_listing(ServerListing(COPY, both), 0.5)
        node._adopt_operator(make_operator(COPY, 3), "store")
        assert excluded_servers(node) == (set() if is_registered_again else {"s2"})
        clock.time += MISSED_RENEWALS * RENEWAL_INTERVAL_S
        assert excluded_servers(node) == (set() if is_registered_again else {"s2"})
        clock.time += EXPIRY_GRACE_S
        assert excluded_servers(node) == set()

    run_in_loop(scenario)


@pytest.mark.parametrize("is_whole_region", [False, True])
def test_vm_that_starts_after_a_restore_adopts_the_later_configuration_of_the_others(
    is_whole_region,
):
    """Guards against a VM that keeps the configuration of the copy, which has the same version."""

    async def scenario(region):
        region.begin_era(1, number=500)
        region.put_configuration(2)
        await asyncio.sleep(2.0)
        names = [name for name in region.nodes if is_whole_region and name.startswith("vale")]
        async with contextlib.AsyncExitStack() as restarts:
            for name in names or ["serra-1"]:
                await restarts.enter_async_context(region.killed(name))
            region.operator = make_operator(10, configuration=1)
            region.begin_era(2, number=100)
            await asyncio.sleep(1.0)
        region.loss_rate = 1.0
        await asyncio.sleep(CHANGE_BOUND_S)
        restarted = region.nodes[(names or ["serra-1"])[0]]
        assert restarted.operator.configuration.version == 1
        region.loss_rate = 0.0
        await asyncio.sleep(CHANGE_BOUND_S)
        return {node.operator.configuration.version for node in region.nodes.values()}

    assert SimulatedRegion.run({"serra": 6, "vale": 4}, scenario) == {2}


def test_all_vms_follow_a_restored_store_and_register_again():
    """Guards against VMs that wait for numbers that the restored store has not reached."""

    async def scenario(region):
        region.begin_era(1, number=500)
        records = region.listing.records
        region.put_servers([*records, make_record("s3")])
        region.put_configuration(2)
        await asyncio.sleep(2.0)
        assert all(node.operator.configuration.version == 2 for node in region.nodes.values())
        region.registered.clear()
        # The copy lacks the configuration and one server.
        region.operator = make_operator(10, configuration=1)
        region.listing = ServerListing(10, records)
        region.begin_era(2, number=100)
        await asyncio.sleep(0.5)
        states = [node.operator.configuration.version for node in region.nodes.values()]
        servers = [node.registry.servers.keys() for node in region.nodes.values()]
        assert set(states) == {2} and all("s3" in ids for ids in servers)
        region.put_configuration(3)
        await asyncio.sleep(CHANGE_BOUND_S)
        late = [
            name
            for name, node in region.nodes.items()
            if node.operator.configuration.version != 3 or "s3" in node.registry.servers
        ]
        await asyncio.sleep(REGISTER_SPREAD_S)
        return late, region.registered

    late, registered = SimulatedRegion.run(VMS, scenario)
    assert late == [] and sorted(registered) == sorted(set(registered)) and len(registered) == VMS
