"""A region in which nobody reads the store, and whose VMs tell each other how old their data is."""

import asyncio

import pytest

from .simulated_region import SimulatedRegion

OUTAGE_S = 6.0

# Longest time from the start of the outage back to the last read, and of a message on its way.
MARGIN_S = 1.0


@pytest.mark.parametrize("vms", [7, 34])
def test_vms_do_not_confirm_the_data_of_each_other_over_a_busy_link(vms):
    """Guards against an outage that seems short, so that servers without records are dropped."""

    async def scenario(region):
        region.delays_s = {"serra-1": 0.25}
        region.is_store_down = True
        await asyncio.sleep(OUTAGE_S)
        return min(node.servers_age_s for node in region.nodes.values())

    assert SimulatedRegion.run(vms, scenario) > OUTAGE_S - MARGIN_S
