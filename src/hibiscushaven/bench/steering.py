"""Measurements of traffic steering: look-ups, client address blocks, shifts and histograms."""

from collections.abc import Callable, Iterator
from random import Random
from time import process_time

import click
from hdrh.histogram import HdrHistogram

from hibiscushaven.lookups import (
    ORDERINGS,
    AddressBlock,
    EntryVm,
    LookupQuery,
    load_blocks,
    order_vms,
    prepare_fleet,
)
from hibiscushaven.metrics import Metrics

from .shift_run import CAP, VM_COUNT, run_shift

__all__ = [
    "measure_blocks",
    "measure_histogram",
    "measure_orderings",
    "measure_shifts",
]

_FULL_BLOCK_COUNT = 4_400_000
_REGION_COUNT = 14
_DOMAIN_COUNT = 54


def _call_rate(function: Callable[[int], object], count: int) -> float:
    """Return the calls per second of CPU time, the best of three rounds."""
    best = 0.0
    for _ in range(3):
        start = process_time()
        for number in range(count):
            function(number)
        best = max(best, count / (process_time() - start))
    return best


def measure_orderings(vm_count: int = 23, count: int = 10_000) -> None:
    """Print the VM orderings per second of one core, and their ratio to the random ordering."""
    domains = ("a1", "a2", "b1", "b2", "c1", "c2")
    names = (domains[number % len(domains)] for number in range(vm_count))
    vms = [EntryVm(f"{d}-{i}", "127.0.0.1", 8000 + i, d[0], d) for i, d in enumerate(names)]
    fleet, rng = prepare_fleet(vms), Random(1)
    shares = dict.fromkeys(domains, 1 / len(domains))
    rates = {}
    for name in sorted(ORDERINGS, key=lambda name: name != "random"):

        def call(number: int, name: str = name) -> object:
            caller = number.to_bytes(4, "big")
            return order_vms(name, fleet, LookupQuery(caller, "b", "b1", shares, shares), rng)

        rates[name] = _call_rate(call, count)
        ratio = rates[name] / rates["random"]
        click.echo(
            f"orders {name}: {rates[name]:,.0f}/s with {vm_count} VMs, {ratio:.2f} of random"
        )


def address_blocks(count: int) -> Iterator[AddressBlock]:
    """Yield /24 blocks in pairs of neighbours, with a gap of one block after each pair."""
    for number in range(count):
        key = (1 << 24) + (number * 3 // 2) * 256
        network = f"{key >> 24}.{key >> 16 & 255}.{key >> 8 & 255}.0/24"
        site = number * 2_654_435_761 % _DOMAIN_COUNT
        yield AddressBlock(network, f"r{site % _REGION_COUNT}", f"d{site}")


def measure_blocks(count: int = _FULL_BLOCK_COUNT) -> None:
    """Print the memory per client block, with all regions or one region stored in full."""
    for own_region in (None, "r0"):
        start = process_time()
        table = load_blocks(address_blocks(count), own_region)
        seconds = process_time() - start
        stored_scope = "all regions" if own_region is None else "one region in full"
        rng = Random(1)
        addresses = [f"{rng.randrange(1, 101)}.{rng.randrange(256)}.7.9" for _ in range(20_000)]
        finds_per_s = _call_rate(
            lambda number: table.find(addresses[number]), len(addresses)  # noqa: B023
        )
        click.echo(
            f"blocks {stored_scope}: {table.bytes / 1e6:.1f} MB for {count:,} blocks, "
            f"{table.full_blocks:,} of them in full, {table.bytes / count:.2f} bytes per block, "
            f"{table.bytes / table.full_blocks:.2f} per block in full; "
            f"loaded in {seconds:.1f} s of CPU, {finds_per_s:,.0f} finds/s"
        )


def measure_shifts(seeds: int = 200) -> None:
    """Print the largest rise of a traffic share within one interval, next to its cap."""
    outcomes = [run_shift(seed) for seed in range(seeds)]
    largest_rise = max(outcome.largest_rise for outcome in outcomes)
    largest_vm_rise = max(outcome.largest_vm_rise for outcome in outcomes)
    refused = sum(outcome.refused for outcome in outcomes) / seeds
    faults = sum(sum(outcome.faults.values()) for outcome in outcomes)
    click.echo(
        f"shifts: largest rise {largest_rise:.4f} of all traffic, "
        f"{largest_vm_rise:.4f} of one VM's, "
        f"cap {CAP}, {VM_COUNT} VMs, {seeds} seeds, {faults:,} faults, {refused:.1%} refused"
    )


def measure_histogram(count: int = 200_000) -> None:
    """Print the time to record a value, next to that of the library's ``record_value``."""
    rng = Random(1)
    values = [rng.lognormvariate(-4, 1.5) for _ in range(count)]
    histogram = Metrics().histogram("latency_seconds")
    library_histogram = HdrHistogram(1, 3_600_000_000, 2)
    recorder_ns = 1e9 / _call_rate(lambda number: histogram.record(values[number]), count)
    library_ns = 1e9 / _call_rate(
        lambda number: library_histogram.record_value(int(values[number] * 1e6)), count
    )
    click.echo(
        f"histogram record: {recorder_ns:.0f} ns, {recorder_ns / library_ns:.2f} "
        f"of record_value's {library_ns:.0f}"
    )


def main() -> None:
    """Run and print all measurements."""
    measure_orderings()
    measure_histogram()
    measure_shifts()
    measure_blocks()


if __name__ == "__main__":
    main()
