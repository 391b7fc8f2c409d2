"""Tests of the byte budget of a link."""

from random import Random

import pytest
from pytest import approx

from hibiscushaven.links import LinkBudget, LinkUse, fixed_share, share_of_users
from hibiscushaven.links.budget import HOLD_S

CAP_MBIT_S = 4000.0
CAP = CAP_MBIT_S * 125_000
VM_COUNT = 20
CHUNK = 256 * 1024


def budget() -> LinkBudget:
    return LinkBudget(CAP_MBIT_S, VM_COUNT)


def test_bulk_is_refused_before_short() -> None:
    """Guards against long downloads that leave no room for short work on the link."""
    link = budget()
    unit = int(link.bytes_per_s / 100)
    bulk = sum(link.reserve(0.0, 10 * unit, 10.0) is not None for _ in range(200))
    assert bulk in (80, 81)
    short = sum(link.admit(0.0, unit) for _ in range(200))
    assert short in (19, 20)
    assert link.level(0.0) == approx(1.0, abs=0.02)
    assert link.level(1.5) == approx(0.8, abs=0.02)


def test_short_and_bulk_use_what_the_other_leaves() -> None:
    """Guards against a fixed split that wastes the part of idle traffic."""
    link = budget()
    unit = int(link.bytes_per_s / 100)
    assert sum(link.admit(0.0, unit) for _ in range(200)) in (99, 100, 101)
    assert link.reserve(0.5, unit, 1.0) is None
    assert sum(link.reserve(1.5, unit, 1.0) is not None for _ in range(200)) in (80, 81)


def test_settling_releases_what_was_not_needed() -> None:
    """Guards against predictions that block the link after the body has ended."""
    link = budget()
    size = int(0.75 * link.bytes_per_s)
    first = link.reserve(0.0, size, 1.0)
    assert first is not None
    assert link.reserve(0.1, size, 1.0) is None
    link.settle(0.1, first, real_bytes=1000)
    assert link.level(0.1) < 0.01
    assert link.reserve(0.1, size, 1.0) is not None


def test_bytes_beyond_the_prediction_count() -> None:
    """Guards against bodies that use the link far beyond what was set aside for them."""
    link = budget()
    body = link.reserve(0.0, 1000, 1.0)
    assert body is not None
    assert link.charge(0.0, body, 1000) == 0.0
    assert link.level(0.0) < 0.01
    wait = link.charge(0.0, body, int(0.9 * link.bytes_per_s))
    assert wait == approx(0.8 / 0.85, abs=0.01)
    assert link.level(0.0) == approx(0.9, abs=0.01)
    assert link.reserve(0.5, 1000, 1.0) is None
    late = link.reserve(2.0, 1000, 1.0)
    link.settle(2.0, late, real_bytes=int(0.5 * link.bytes_per_s))
    assert link.level(2.0) == approx(0.5, abs=0.01)


def test_level_counts_both_real_and_reserved_bytes() -> None:
    """Guards against fast bodies that hide behind slow predictions, beside reserved ones."""
    link = budget()
    unit = int(link.bytes_per_s / 100)
    body = link.reserve(0.0, 70 * unit, 10.0)
    link.charge(0.0, body, 70 * unit)
    assert link.level(0.0) == approx(0.7, abs=0.01)
    assert link.reserve(2.0, 40 * unit, 1.0) is not None
    link.charge(2.0, body, 30 * unit)
    assert link.level(2.0) == approx(0.07 + 0.4 + 0.3, abs=0.01)


def test_share_grows_late_and_shrinks_at_once() -> None:
    """Guards against a starting or isolated VM that takes bytes which others still use."""
    link = budget()
    assert link.share == fixed_share(VM_COUNT) == 0.025
    link.set_users(0.0, 5)
    link.set_users(HOLD_S - 0.1, 10)
    link.level(HOLD_S - 0.1)
    assert link.share == 0.025
    link.set_users(HOLD_S, 4)
    link.level(2 * HOLD_S)
    assert link.share == share_of_users(VM_COUNT, 10)
    link.set_users(2 * HOLD_S, None)
    assert link.share == 0.025
    assert VM_COUNT * share_of_users(VM_COUNT, VM_COUNT) <= 1.0


@pytest.mark.parametrize("seed", range(5))
def test_all_vms_together_stay_within_the_cap(seed: int) -> None:
    """Guards against starting and isolated VMs, and wrong predictions, that overload a link."""
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
            # Others learn of a VM that starts or stops only 2 s later.
            known = sum(now - since > 2.0 for since in started.values())
            link.set_users(now, None if rng.random() < 0.001 else max(1, known))
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


def test_use_is_named() -> None:
    """Guards against bulk work of short length that gets past the lower limit."""
    link = budget()
    size = int(0.9 * link.bytes_per_s)
    assert not link.admit(0.0, size, LinkUse.BULK)
    assert link.admit(0.0, size, LinkUse.SHORT)
