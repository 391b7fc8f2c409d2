"""Time until each VM of a large region acts on a change in the store."""

import asyncio

import pytest

from .simulated_region import SimulatedRegion
from .support import make_record

# Time within which a confirmed change must be in force on each VM.
CHANGE_BOUND_S = 3.0

# Time after an interruption of the store within which confirmed changes must be in force.
RECOVERY_BOUND_S = 3.0

# Number of VMs of one region in the largest deployment.
VMS = 34

# Time that packets wait at a busy link, in each direction.
LINK_DELAYS_S = (0.0, 0.1, 0.25)

# Such times with which a pull is slow and a read of the store completes within its time limit.
READ_DELAYS_S = (0.12, 0.15)

# Interval between the removals of servers, so short that a VM with a busy link is never up to date.
CHANGE_INTERVAL_S = 0.1

# Number of servers that are removed one after the other.
RELEASED_SERVERS = 40


def has_configuration(node, version):
    return node.operator.configuration.version == version


def excludes_server(node, server_id):
    groups = node.picker.usable_servers("stock")
    return all(item.record.server_id != server_id for item in groups.get("serra", ()))


@pytest.mark.parametrize("delay_s", LINK_DELAYS_S)
def test_vm_with_a_busy_link_gets_the_configuration_in_time(delay_s):
    """Guards against an old configuration on a VM whose pulls take longer than usual."""

    async def scenario(region):
        slow = region.readers()[-1]
        region.delays_s[slow] = delay_s
        await asyncio.sleep(2.0)
        region.put_configuration(2)
        await asyncio.sleep(CHANGE_BOUND_S)
        return [name for name, node in region.nodes.items() if not has_configuration(node, 2)]

    assert SimulatedRegion.run(VMS, scenario) == []


@pytest.mark.parametrize("delay_s", LINK_DELAYS_S)
def test_vm_with_a_busy_link_learns_of_leaving_servers_in_time(delay_s):
    """Guards against requests to a leaving server by a VM whose pulls take longer than usual."""

    async def scenario(region):
        slow = region.readers()[-1]
        region.delays_s[slow] = delay_s
        await asyncio.sleep(2.0)
        region.put_leaving("s1")
        await asyncio.sleep(CHANGE_BOUND_S)
        return [name for name, node in region.nodes.items() if not excludes_server(node, "s1")]

    assert SimulatedRegion.run(VMS, scenario) == []


@pytest.mark.parametrize("delay_s", LINK_DELAYS_S + READ_DELAYS_S)
def test_vm_with_a_busy_link_drops_servers_in_time_that_are_removed_one_after_the_other(delay_s):
    """Guards against a removed server that is kept as if its record had expired in an outage."""

    async def scenario(region):
        slow = region.readers()[-1]
        region.delays_s[slow] = delay_s
        records = [make_record(f"s{number:02}") for number in range(RELEASED_SERVERS)]
        region.put_servers(records)
        await asyncio.sleep(2.0)
        late = set()
        bound = round(CHANGE_BOUND_S / CHANGE_INTERVAL_S)
        for number in range(RELEASED_SERVERS + bound):
            region.put_servers(records[number + 1 :])
            await asyncio.sleep(CHANGE_INTERVAL_S)
            for record in records[: max(0, number + 1 - bound)]:
                late |= {
                    (record.server_id, name)
                    for name, node in region.nodes.items()
                    if not excludes_server(node, record.server_id)
                }
        return late

    assert SimulatedRegion.run(VMS, scenario) == set()


def test_change_during_an_interrupted_watch_is_found_by_the_next_reader():
    """Guards against a region without operator state when the loss of its reader goes unnoticed."""

    async def scenario(region):
        first, second = region.readers()[:2]
        region.delays_s = dict.fromkeys(region.nodes, 0.1)
        region.delays_s["serra-3"] = 0.0
        await asyncio.sleep(2.0)
        async with region.interrupted_watches():
            region.put_configuration(2)
            await asyncio.sleep(1.1)
            region.lost_datagrams.add((first, second))
        await asyncio.sleep(RECOVERY_BOUND_S)
        return [name for name, node in region.nodes.items() if not has_configuration(node, 2)]

    assert SimulatedRegion.run(VMS, scenario) == []
