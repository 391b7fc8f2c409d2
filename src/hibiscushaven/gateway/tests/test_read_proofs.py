"""A region in which nobody reads the store, and whose VMs tell each other how old their data is."""

import asyncio

import pytest

from hibiscushaven.fleet.messages import decode, encode
from hibiscushaven.process.tests.support import VirtualClock

from .simulated_region import SimulatedRegion
from .support import make_node
from .test_node import run_in_loop

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


@pytest.mark.parametrize("uptime_s", [1.0, 1e5, 1e8])
def test_unknown_ages_can_be_sent(uptime_s):
    """Guards against messages that are dropped as out of range, long after the start of a VM."""

    def scenario():
        node, other = (make_node(name, VirtualClock(uptime_s)) for name in ("vm-1", "vm-2"))
        node._on_message(decode(encode(other._state())))
        for message in (node._state(), node._local_digest(uptime_s)):
            assert decode(encode(message)).servers_age_s >= uptime_s

    run_in_loop(scenario)
