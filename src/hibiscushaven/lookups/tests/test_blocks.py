"""Tests of the table of client address blocks."""

import re
from ipaddress import ip_address, ip_network
from random import Random

import pytest

from hibiscushaven.lookups import AddressBlock, CallerLocation, load_blocks
from hibiscushaven.lookups.blocks import BlockError


def random_blocks(rng: Random) -> list[AddressBlock]:
    blocks, key = [], 0x0A000000
    while len(blocks) < 300:
        length = rng.choice([12, 14, 16, 20, 24, 24, 24, 30, 32])
        size = 1 << (32 - length)
        key = -(-key // size) * size
        region = rng.choice("aab")
        blocks.append(
            AddressBlock(f"{ip_address(key)}/{length}", region, region + rng.choice("12"))
        )
        key += size * rng.choice([1, 1, 2])
    return blocks


def test_lookup_agrees_with_linear_scan() -> None:
    """Guards against errors at the edges of blocks, at adjacent blocks and at gaps."""
    rng = Random(5)
    blocks = random_blocks(rng)
    table, own = load_blocks(blocks), load_blocks(blocks, "a")
    networks = [(ip_network(block.network), block) for block in blocks]
    for network, _ in networks:
        first, last = int(network.network_address), int(network.broadcast_address)
        for key in (first - 1, first, rng.randint(first, last), last, last + 1):
            address = ip_address(key)
            block = next((block for item, block in networks if address in item), None)
            if block is not None:
                location = CallerLocation(block.region, block.failure_domain)
                assert table.find(str(address)) == location
                assert block.region != "a" or own.find(str(address)) == location


def test_other_regions_are_stored_as_coarse_cells() -> None:
    """Guards against unknown callers of other regions, and cells larger than their blocks."""
    blocks = [
        AddressBlock("10.0.0.0/24", "a", "a1"),
        AddressBlock("10.0.1.0/24", "b", "b1"),
        AddressBlock("10.0.2.0/23", "b", "b2"),
        AddressBlock("10.1.0.0/24", "a", "a2"),
        AddressBlock("10.4.0.0/14", "c", "c1"),
        AddressBlock("2001:db8::/33", "b", "b1"),
        AddressBlock("2001:db8:8000::/34", "a", "a1"),
    ]
    table = load_blocks(blocks, "a")
    expected_locations = {
        "10.0.0.9": CallerLocation("a", "a1"),
        "10.0.1.9": CallerLocation("b"),
        "10.0.99.1": CallerLocation("b"),
        "10.1.0.1": CallerLocation("a", "a2"),
        "10.1.9.1": CallerLocation("a"),
        "10.3.255.255": None,
        "10.7.255.255": CallerLocation("c"),
        "10.8.0.0": None,
        "2001:db8::1": CallerLocation("b"),
        "2001:db8:8000::1": CallerLocation("a", "a1"),
        "2001:db8:c000::1": CallerLocation("b"),
        "::ffff:10.0.0.9": CallerLocation("a", "a1"),
        "2001:db9::1": None,
    }
    assert {address: table.find(address) for address in expected_locations} == expected_locations
    assert table.full_blocks == 3


@pytest.mark.parametrize(
    "networks",
    [
        ["10.0.0.1/24"],
        ["10.0.1.0/24", "10.0.0.0/24"],
        ["x"],
        ["::/65"],
        ["10.0.0.0"],
        ["10.0.0.0/+8"],
    ],
)
def test_invalid_blocks_are_named_in_the_error(networks: list[str]) -> None:
    """Guards against a wrong table without an error after a malformed or unsorted block."""
    with pytest.raises(BlockError, match=re.escape(networks[-1])):
        load_blocks([AddressBlock(item, "a", "a1") for item in networks])


def test_memory_per_scattered_block() -> None:
    """Guards against a table that exceeds a daemon's memory at 4.4 million blocks."""
    blocks = (
        AddressBlock(
            f"{ip_address((10 << 24) + number * 512)}/24", "ab"[number % 2], str(number % 54)
        )
        for number in range(20_000)
    )
    table = load_blocks(blocks)
    assert table.bytes / table.full_blocks <= 12.2
