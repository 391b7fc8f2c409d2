"""Time until each VM of a large region acts on a change in the store."""

import asyncio

import pytest

from .simulated_region import SimulatedRegion

# Time within which a confirmed change must be in force on each VM.
CHANGE_BOUND_S = 3.0

# Time after an interruption of the store within which confirmed changes must be in force.
RECOVERY_BOUND_S = 3.0

# Number of VMs of one region in the largest deployment.
VMS = 34

# Time that packets wait at a busy link, in each direction.
LINK_DELAYS_S = (0.0, 0.1, 0.25)


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
