"""Measurements of steering: look-ups, client blocks, shifts and metrics."""

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
    "measure_orders",
    "measure_shifts",
]

_FULL_BLOCKS = 4_400_000
_REGIONS = 14
_DOMAINS = 54


def _rate(function: Callable[[int], object], count: int) -> float:
    """Return the calls per second of CPU time, the best of three rounds."""
    best = 0.0
    for _ in range(3):
        start = process_time()
        for number in range(count):
            function(number)
        best = max(best, count / (process_time() - start))
    return best


def measure_orders(vm_count: int = 23, count: int = 10_000) -> None:
    """Print the orders per second of one core, and their ratio to the random order."""
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

        rates[name] = _rate(call, count)
        ratio = rates[name] / rates["random"]
        click.echo(
            f"orders {name}: {rates[name]:,.0f}/s with {vm_count} VMs, {ratio:.2f} of random"
        )


def _block_rows(count: int) -> Iterator[AddressBlock]:
    """Yield blocks of a /24 and its neighbour in turn, with a gap after each pair."""
    for number in range(count):
        key = (1 << 24) + (number * 3 // 2) * 256
        network = f"{key >> 24}.{key >> 16 & 255}.{key >> 8 & 255}.0/24"
        site = number * 2_654_435_761 % _DOMAINS
        yield AddressBlock(network, f"r{site % _REGIONS}", f"d{site}")


def measure_blocks(count: int = _FULL_BLOCKS) -> None:
    """Print the bytes per client block, loaded in full and for one region."""
    for own_region in (None, "r0"):
        start = process_time()
        table = load_blocks(_block_rows(count), own_region)
        seconds = process_time() - start
        what = "all regions" if own_region is None else "one region in full"
        rng = Random(1)
        addresses = [f"{rng.randrange(1, 101)}.{rng.randrange(256)}.7.9" for _ in range(20_000)]
        found = _rate(lambda number: table.find(addresses[number]), len(addresses))  # noqa: B023
        click.echo(
            f"blocks {what}: {table.bytes / 1e6:.1f} MB for {count:,} blocks, "
            f"{table.full_blocks:,} of them in full, {table.bytes / count:.2f} bytes per block, "
            f"{table.bytes / table.full_blocks:.2f} per block in full; "
            f"loaded in {seconds:.1f} s of CPU, {found:,.0f} finds/s"
        )


def measure_shifts(seeds: int = 200) -> None:
    """Print the largest rise of a share within one interval, against the cap."""
    outcomes = [run_shift(seed) for seed in range(seeds)]
    largest = max(outcome.largest_rise for outcome in outcomes)
    vm_largest = max(outcome.largest_vm_rise for outcome in outcomes)
    refused = sum(outcome.refused for outcome in outcomes) / seeds
    faults = sum(sum(outcome.faults.values()) for outcome in outcomes)
    click.echo(
        f"shifts: largest rise {largest:.4f} of all traffic, {vm_largest:.4f} of one VM's, "
        f"cap {CAP}, {VM_COUNT} VMs, {seeds} seeds, {faults:,} faults, {refused:.1%} refused"
    )


def measure_histogram(count: int = 200_000) -> None:
    """Print the cost of recording a value, beside that of the library's own call."""
    rng = Random(1)
    values = [rng.lognormvariate(-4, 1.5) for _ in range(count)]
    item = Metrics().histogram("latency_seconds")
    plain = HdrHistogram(1, 3_600_000_000, 2)
    ours = 1e9 / _rate(lambda number: item.record(values[number]), count)
    theirs = 1e9 / _rate(lambda number: plain.record_value(int(values[number] * 1e6)), count)
    click.echo(
        f"histogram record: {ours:.0f} ns, {ours / theirs:.2f} of record_value's {theirs:.0f}"
    )


def main() -> None:
    """Print all measurements."""
    measure_orders()
    measure_histogram()
    measure_shifts()
    measure_blocks()


if __name__ == "__main__":
    main()
