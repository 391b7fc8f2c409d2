"""A region whose VMs are all refused by the store, which serves the other regions."""

import asyncio

import pytest

from hibiscushaven.gateway import StoreError

from .simulated_region import SimulatedRegion, region_of
from .support import make_record
from .test_propagation import excludes_server, has_configuration

# Time within which a confirmed change must be in force on each VM.
CHANGE_BOUND_S = 2.5

# VMs by region: regions whose VMs all exchange their states, and regions with an aggregator.
SIZES = ({"serra": 4, "vale": 4}, {"serra": 20, "vale": 20})


async def refuse_region(model, region):
    """Refuse all calls of a region's VMs from now on, and wait for the watches in progress."""
    for name, node in model.nodes.items():
        if region_of(name) == region:
            node._store.is_down = True
    await asyncio.sleep(3.0)


@pytest.mark.parametrize("sizes", SIZES)
@pytest.mark.parametrize("is_restored", [False, True])
def test_refused_region_follows_the_other_regions(sizes, is_restored):
    """Guards against an old configuration and removed servers while the store refuses a region."""

    async def scenario(model):
        await refuse_region(model, "vale")
        if is_restored:
            model.begin_later_era(number=5)
            await asyncio.sleep(3.0)
        model.pulls.clear()
        model.put_configuration(2)
        model.put_servers([make_record("s2")])
        await asyncio.sleep(CHANGE_BOUND_S)
        late = [
            name
            for name, node in model.nodes.items()
            if not (has_configuration(node, 2) and excludes_server(node, "s1"))
        ]
        return late, {
            reader for reader, peer in model.pulls if region_of(peer) != region_of(reader)
        }

    late, readers = SimulatedRegion.run(sizes, scenario)
    assert late == [] and len(readers) == 1


@pytest.mark.parametrize("sizes", SIZES)
def test_region_that_can_read_the_servers_only_follows_the_other_regions(sizes):
    """Guards against an old configuration while the store refuses a region one of its tables."""

    async def refuse(known, wait_s):
        raise StoreError("down")

    async def scenario(model):
        for name, node in model.nodes.items():
            if region_of(name) == "vale":
                node._store.read_operator = refuse
        await asyncio.sleep(3.0)
        model.put_configuration(2)
        await asyncio.sleep(CHANGE_BOUND_S)
        return [name for name, node in model.nodes.items() if not has_configuration(node, 2)]

    assert SimulatedRegion.run(sizes, scenario) == []


@pytest.mark.parametrize("sizes", SIZES)
def test_region_that_reads_the_store_fetches_nothing_from_others(sizes):
    """Guards against bytes between regions for what the region reads itself."""

    async def scenario(model):
        for version in range(2, 12):
            model.put_configuration(version)
            model.put_servers([make_record("s1"), make_record(f"s{version}")])
            await asyncio.sleep(0.7)
        return [pull for pull in model.pulls if region_of(pull[0]) != region_of(pull[1])]

    assert SimulatedRegion.run(sizes, scenario) == []


def test_regions_that_read_nothing_do_not_confirm_the_data_of_each_other():
    """Guards against an outage that seems short, so that servers without records are dropped."""

    async def scenario(model):
        model.delays_s = dict.fromkeys(model.nodes, 0.25)
        model.is_store_down = True
        await asyncio.sleep(6.0)
        return min(node.servers_age_s for node in model.nodes.values())

    assert SimulatedRegion.run({"serra": 1, "vale": 1}, scenario) > 5.0
