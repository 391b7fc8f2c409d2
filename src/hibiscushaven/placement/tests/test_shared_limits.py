"""Limits that all VMs keep together, each with its own part."""

import random

import pytest

from hibiscushaven.placement.budget import RetryBudget
from hibiscushaven.placement.flows import RegionShares, target_shares
from hibiscushaven.placement.warmup import KEEPERS, WarmupGate

WINDOW_S, RATIO, FIXED = 10.0, 0.2, 130.0


@pytest.mark.parametrize("seed", range(20))
def test_sum_of_repeats_keeps_the_budget_in_every_window(seed):
    rng = random.Random(seed)
    vms = rng.choice([3, 8, 23])
    budgets = [RetryBudget(WINDOW_S, RATIO, FIXED) for _ in range(vms)]
    requests, repeats = [], []
    now = 0.0
    while now < 60.0:
        now += rng.expovariate(120.0)
        budget = budgets[rng.randrange(vms) if rng.random() < 0.5 else 0]
        budget.count_request(now)
        requests.append(now)
        # An outage in which every request asks for a repeat, three times over.
        if 20.0 < now < 40.0:
            repeats += [now for _ in range(3) if budget.try_spend(now, vms)]
    assert repeats
    for end in repeats:
        start = end - WINDOW_S
        used = sum(start < at <= end for at in repeats)
        asked = sum(start < at <= end for at in requests)
        assert used <= RATIO * asked + FIXED


@pytest.mark.parametrize("seed", range(20))
@pytest.mark.parametrize("per_s", [2.0, 7.6, 9.5])
def test_cold_server_gets_its_rate_from_all_keepers_together(seed, per_s):
    rng = random.Random(seed)
    gates = [WarmupGate() for _ in range(KEEPERS)]
    passed = []
    now = 0.0
    while now < 10.0:
        now += rng.expovariate(400.0)
        if rng.choice(gates).try_pass(now, "s1", per_s):
            passed.append(now)
    for at in passed:
        assert sum(at <= other < at + 1.0 for other in passed) <= 1.5 * per_s + 5
    assert len(passed) >= 0.7 * per_s * 10


@pytest.mark.parametrize("seed", range(20))
def test_shares_move_at_the_bounded_rate_whatever_the_targets(seed):
    rng = random.Random(seed)
    shares = RegionShares("a", most_per_s=0.05)
    history = []
    now = 0.0
    for _ in range(300):
        now += rng.uniform(0.0, 0.4)
        target = {name: rng.random() for name in "abc"}
        total = sum(target.values())
        shares.move(now, {name: value / total for name, value in target.items()})
        history.append((now, dict(shares.shares)))
        assert sum(shares.shares.values()) == pytest.approx(1.0, abs=1e-4)
    for at, before in history:
        for then, after in history:
            if at < then <= at + 2.0:
                moved = sum(max(0.0, after.get(n, 0.0) - before.get(n, 0.0)) for n in "abc")
                assert moved <= 0.05 * 2.0 + 1e-6


@pytest.mark.parametrize("seed", range(20))
def test_target_serves_all_and_fills_no_region_while_another_has_room(seed):
    rng = random.Random(seed)
    slots = {name: rng.randint(0, 40) for name in "abc"}
    arrivals = {name: rng.uniform(0, 300) for name in "abc"}
    rows = {name: target_shares(name, arrivals, slots, 0.1) for name in "abc"}
    if not sum(slots.values()):
        return
    load = dict.fromkeys("abc", 0.0)
    for name, row in rows.items():
        assert sum(row.values()) == pytest.approx(1.0)
        for region, share in row.items():
            load[region] += arrivals[name] * share
    fits = sum(arrivals.values()) <= 0.6 * sum(slots.values()) / 0.1
    for name, count in slots.items():
        if fits:
            assert load[name] <= 0.6 * count / 0.1 + 1e-6
