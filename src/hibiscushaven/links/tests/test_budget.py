"""Tests of the byte budget of a link."""

from random import Random

import pytest
from pytest import approx

from hibiscushaven.links import LinkBudget, TrafficClass, fixed_share, share_per_user
from hibiscushaven.links.budget import SHARE_INCREASE_DELAY_S

CAP_MBIT_S = 4000.0
CAP = CAP_MBIT_S * 125_000
VM_COUNT = 20
CHUNK = 256 * 1024


def budget() -> LinkBudget:
    return LinkBudget(CAP_MBIT_S, VM_COUNT)


def test_bulk_is_refused_before_short() -> None:
    """Guards against long downloads that leave no bandwidth for short requests on the link."""
    link = budget()
    unit = int(link.bytes_per_s / 100)
    bulk = sum(link.reserve(0.0, 10 * unit, 10.0) is not None for _ in range(200))
    assert bulk in (80, 81)
    short = sum(link.admit(0.0, unit) for _ in range(200))
    assert short in (19, 20)
    assert link.utilization(0.0) == approx(1.0, abs=0.02)
    assert link.utilization(1.5) == approx(0.8, abs=0.02)


def test_short_and_bulk_use_bandwidth_that_the_other_leaves() -> None:
    """Guards against a fixed split that leaves the bandwidth of an idle traffic class unused."""
    link = budget()
    unit = int(link.bytes_per_s / 100)
    assert sum(link.admit(0.0, unit) for _ in range(200)) in (99, 100, 101)
    assert link.reserve(0.5, unit, 1.0) is None
    assert sum(link.reserve(1.5, unit, 1.0) is not None for _ in range(200)) in (80, 81)


def test_settling_releases_unused_reservation() -> None:
    """Guards against a reservation that blocks the link after its body has ended."""
    link = budget()
    size = int(0.75 * link.bytes_per_s)
    first = link.reserve(0.0, size, 1.0)
    assert first is not None
    assert link.reserve(0.1, size, 1.0) is None
    link.settle(0.1, first, transferred_bytes=1000)
    assert link.utilization(0.1) < 0.01
    assert link.reserve(0.1, size, 1.0) is not None


def test_bytes_beyond_the_prediction_count() -> None:
    """Guards against bodies whose bytes beyond their reservation are not counted."""
    link = budget()
    body = link.reserve(0.0, 1000, 1.0)
    assert body is not None
    assert link.charge(0.0, body, 1000) == 0.0
    assert link.utilization(0.0) < 0.01
    wait = link.charge(0.0, body, int(0.9 * link.bytes_per_s))
    assert wait == approx(0.8 / 0.85, abs=0.01)
    assert link.utilization(0.0) == approx(0.9, abs=0.01)
    assert link.reserve(0.5, 1000, 1.0) is None
    late = link.reserve(2.0, 1000, 1.0)
    link.settle(2.0, late, transferred_bytes=int(0.5 * link.bytes_per_s))
    assert link.utilization(2.0) == approx(0.5, abs=0.01)


def test_utilization_counts_transferred_and_reserved_bytes() -> None:
    """Guards against a body faster than predicted whose excess rate is not counted."""
    link = budget()
    unit = int(link.bytes_per_s / 100)
    body = link.reserve(0.0, 70 * unit, 10.0)
    link.charge(0.0, body, 70 * unit)
    assert link.utilization(0.0) == approx(0.7, abs=0.01)
    assert link.reserve(2.0, 40 * unit, 1.0) is not None
    link.charge(2.0, body, 30 * unit)
    assert link.utilization(2.0) == approx(0.07 + 0.4 + 0.3, abs=0.01)


def test_share_increases_after_delay_and_decreases_at_once() -> None:
    """Guards against a starting or isolated VM that uses bandwidth which other VMs still use."""
    link = budget()
    assert link.share == fixed_share(VM_COUNT) == 0.025
    link.set_user_count(0.0, 5)
    link.set_user_count(SHARE_INCREASE_DELAY_S - 0.1, 10)
    link.utilization(SHARE_INCREASE_DELAY_S - 0.1)
    assert link.share == 0.025
    link.set_user_count(SHARE_INCREASE_DELAY_S, 4)
    link.utilization(2 * SHARE_INCREASE_DELAY_S)
    assert link.share == share_per_user(VM_COUNT, 10)
    link.set_user_count(2 * SHARE_INCREASE_DELAY_S, None)
    assert link.share == 0.025
    assert VM_COUNT * share_per_user(VM_COUNT, VM_COUNT) <= 1.0


@pytest.mark.parametrize("seed", range(5))
def test_all_vms_together_stay_within_the_cap(seed: int) -> None:
    """Guards against a link overloaded by starting or isolated VMs and by wrong predictions."""
    rng = Random(seed)
    links = {number: budget() for number in range(VM_COUNT)}
    started = dict.fromkeys(links, 0.0)
    ready: dict[int, float] = {}
    sent: list[tuple[float, int]] = []
    now, worst = 0.0, 0.0
    while now < 12.0:
        now += 0.02
        if rng.random() < 0.02:
            number = rng.randrange(VM_COUNT)
            links[number], started[number] = budget(), now
        for number, link in links.items():
            # Other VMs learn of a start or stop after 2 s.
            known = sum(now - since > 2.0 for since in started.values())
            link.set_user_count(now, None if rng.random() < 0.001 else max(1, known))
            size = rng.randrange(1, CHUNK)
            if rng.random() < 0.7 and link.admit(now, size):
                sent.append((now, size))
            while ready.get(number, 0.0) <= now:
                body = link.reserve(now, rng.randrange(1, CHUNK), 1.0)
                if body is None:
                    break
                wait = link.charge(now, body, CHUNK)
                link.settle(now, body, CHUNK)
                sent.append((now, CHUNK))
                ready[number] = now + wait
                if wait > 0:
                    break
        if len(sent) > 5000 or now >= 11.99:
            worst = max(worst, _worst_window(sent))
            sent = [item for item in sent if item[0] > now - 1.0]
    assert 0.6 * CAP < worst <= CAP


def _worst_window(sent: list[tuple[float, int]]) -> int:
    worst = total = start = 0
    for now, size in sent:
        total += size
        while sent[start][0] <= now - 1.0 + 1e-9:
            total -= sent[start][1]
            start += 1
        worst = max(worst, total)
    return worst


def test_small_bulk_transfer_has_the_bulk_limit() -> None:
    """Guards against small bulk transfers that are admitted up to the limit of short traffic."""
    link = budget()
    size = int(0.9 * link.bytes_per_s)
    assert not link.admit(0.0, size, TrafficClass.BULK)
    assert link.admit(0.0, size, TrafficClass.SHORT)
