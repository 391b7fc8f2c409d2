"""Tests of the table of client blocks."""

import re
from ipaddress import ip_address, ip_network
from random import Random

import pytest

from hibiscushaven.lookups import BlockRow, Site, load_blocks
from hibiscushaven.lookups.blocks import BlockError


def random_rows(rng: Random) -> list[BlockRow]:
    rows, key = [], 0x0A000000
    while len(rows) < 300:
        length = rng.choice([12, 14, 16, 20, 24, 24, 24, 30, 32])
        size = 1 << (32 - length)
        key = -(-key // size) * size
        region = rng.choice("aab")
        rows.append(BlockRow(f"{ip_address(key)}/{length}", region, region + rng.choice("12")))
        key += size * rng.choice([1, 1, 2])
    return rows


def test_full_table_finds_what_a_scan_finds() -> None:
    """Guards against wrong edges of blocks, merged neighbours and gaps."""
    rng = Random(5)
    rows = random_rows(rng)
    table, own = load_blocks(rows), load_blocks(rows, "a")
    networks = [(ip_network(row.network), row) for row in rows]
    for network, _ in networks:
        first, last = int(network.network_address), int(network.broadcast_address)
        for key in (first - 1, first, rng.randint(first, last), last, last + 1):
            address = ip_address(key)
            row = next((row for item, row in networks if address in item), None)
            if row is not None:
                site = Site(row.region, row.failure_domain)
                assert table.find(str(address)) == site
                assert row.region != "a" or own.find(str(address)) == site


def test_other_regions_are_coarse() -> None:
    """Guards against callers of other regions that are unknown, or cells that outlast a block."""
    rows = [
        BlockRow("10.0.0.0/24", "a", "a1"),
        BlockRow("10.0.1.0/24", "b", "b1"),
        BlockRow("10.0.2.0/23", "b", "b2"),
        BlockRow("10.1.0.0/24", "a", "a2"),
        BlockRow("10.4.0.0/14", "c", "c1"),
        BlockRow("2001:db8::/33", "b", "b1"),
        BlockRow("2001:db8:8000::/34", "a", "a1"),
    ]
    table = load_blocks(rows, "a")
    found = {
        "10.0.0.9": Site("a", "a1"),
        "10.0.1.9": Site("b"),
        "10.0.99.1": Site("b"),
        "10.1.0.1": Site("a", "a2"),
        "10.1.9.1": Site("a"),
        "10.3.255.255": None,
        "10.7.255.255": Site("c"),
        "10.8.0.0": None,
        "2001:db8::1": Site("b"),
        "2001:db8:8000::1": Site("a", "a1"),
        "2001:db8:c000::1": Site("b"),
        "::ffff:10.0.0.9": Site("a", "a1"),
        "2001:db9::1": None,
    }
    assert {address: table.find(address) for address in found} == found
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
def test_bad_blocks_are_named(networks: list[str]) -> None:
    """Guards against a table that is silently wrong after a malformed or unsorted block."""
    with pytest.raises(BlockError, match=re.escape(networks[-1])):
        load_blocks([BlockRow(item, "a", "a1") for item in networks])


def test_memory_of_scattered_blocks() -> None:
    """Guards against a form whose size at 4.4 million blocks would exceed a daemon's memory."""
    rows = (
        BlockRow(f"{ip_address((10 << 24) + number * 512)}/24", "ab"[number % 2], str(number % 54))
        for number in range(20_000)
    )
    table = load_blocks(rows)
    assert table.bytes / table.full_blocks <= 12.2
