"""Short seeded runs of random interruptions; ``soak`` makes long ones."""

import random

import pytest

from .interruptions import ConfigurationInterruptions, Interruptions
from .simulated_region import SimulatedRegion

DURATION_S = 30.0


@pytest.mark.parametrize(("seed", "vms"), [(1, 6), (2, 18), (3, 34)])
def test_removed_servers_are_not_used_after_interruptions(seed, vms):
    """Guards against a VM or a store whose interruption keeps a removed server in use at others."""

    async def scenario(region):
        interruptions = Interruptions(region, random.Random(seed))
        await interruptions.run(DURATION_S)
        return interruptions.late

    random.seed(seed)
    assert SimulatedRegion.run(vms, scenario) == set()


@pytest.mark.parametrize(("seed", "vms"), [(1, 6), (2, 18)])
def test_configurations_are_in_force_in_time_beside_interruptions(seed, vms):
    """Guards against a VM that keeps an earlier configuration beside interruptions of others."""

    async def scenario(region):
        interruptions = ConfigurationInterruptions(region, random.Random(seed))
        await interruptions.run(DURATION_S)
        return interruptions.late_configurations | interruptions.late

    random.seed(seed)
    assert SimulatedRegion.run(vms, scenario) == set()
