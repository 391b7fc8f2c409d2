"""Limits that all VMs keep together without communication, each with its own share."""

import random

import pytest

from hibiscushaven.placement.budget import RetryBudget
from hibiscushaven.placement.region_shares import RegionShares, target_shares
from hibiscushaven.placement.warmup import SENDERS_PER_SERVER, WarmupRateLimiter

WINDOW_S, RATIO, FIXED = 10.0, 0.2, 130.0


@pytest.mark.parametrize("seed", range(20))
def test_total_retries_stay_within_the_budget_in_every_window(seed):
    """Guards against VMs that together exceed the budget in an outage that affects all requests."""
    rng = random.Random(seed)
    vms = rng.choice([3, 8, 23])
    budgets = [RetryBudget(WINDOW_S, RATIO, FIXED) for _ in range(vms)]
    requests, retries = [], []
    now = 0.0
    while now < 60.0:
        now += rng.expovariate(120.0)
        budget = budgets[rng.randrange(vms) if rng.random() < 0.5 else 0]
        budget.count_request(now)
        requests.append(now)
        # An outage in which each request needs three retries.
        if 20.0 < now < 40.0:
            retries += [now for _ in range(3) if budget.try_spend(now, vms)]
    assert retries
    for end in retries:
        start = end - WINDOW_S
        retry_count = sum(start < at <= end for at in retries)
        request_count = sum(start < at <= end for at in requests)
        assert retry_count <= RATIO * request_count + FIXED


@pytest.mark.parametrize("seed", range(20))
def test_total_retries_stay_within_the_budget_when_all_vms_restart(seed):
    """Guards against VMs that start with a whole budget, each as if it were the only one."""
    rng = random.Random(seed)
    vms = rng.choice([8, 23, 140])
    restart_at, discovery_s = 25.0, 1.0
    budgets = [RetryBudget(WINDOW_S, RATIO, FIXED) for _ in range(vms)]
    requests, retries = [], []
    now = 0.0
    while now < 45.0:
        previous, now = now, now + rng.expovariate(116.0)
        if previous < restart_at <= now:
            budgets = [RetryBudget(WINDOW_S, RATIO, FIXED, restart_at) for _ in range(vms)]
        budget = rng.choice(budgets)
        budget.count_request(now)
        requests.append(now)
        known_vms = 1 if 0.0 <= now - restart_at < discovery_s else vms
        if now > 10.0:
            retries += [now for _ in range(3) if budget.try_spend(now, known_vms)]
    for end in retries:
        start = end - WINDOW_S
        retry_count = sum(start < at <= end for at in retries)
        request_count = sum(start < at <= end for at in requests)
        assert retry_count <= RATIO * request_count + FIXED


@pytest.mark.parametrize("seed", range(20))
@pytest.mark.parametrize("per_s", [2.0, 7.6, 9.5])
def test_all_senders_together_keep_the_rate_limit_of_a_cold_server(seed, per_s):
    """Guards against senders whose shares of the rate add up to more or far less than the limit."""
    rng = random.Random(seed)
    limiters = [WarmupRateLimiter() for _ in range(SENDERS_PER_SERVER)]
    sent_at = []
    now = 0.0
    while now < 10.0:
        now += rng.expovariate(400.0)
        if rng.choice(limiters).try_acquire(now, "s1", per_s):
            sent_at.append(now)
    for start in sent_at:
        assert sum(start <= at < start + 1.0 for at in sent_at) <= 1.5 * per_s + 5
    assert len(sent_at) >= 0.7 * per_s * 10


@pytest.mark.parametrize("seed", range(20))
def test_region_shares_change_at_a_bounded_rate(seed):
    """Guards against shares that follow a fluctuating target faster than the limit allows."""
    rng = random.Random(seed)
    shares = RegionShares("a", max_shift_per_s=0.05)
    history = []
    now = 0.0
    for _ in range(300):
        now += rng.uniform(0.0, 0.4)
        target = {name: rng.random() for name in "abc"}
        total = sum(target.values())
        shares.update(now, {name: value / total for name, value in target.items()})
        history.append((now, dict(shares.shares)))
        assert sum(shares.shares.values()) == pytest.approx(1.0, abs=1e-4)
    for earlier, before in history:
        for later, after in history:
            if earlier < later <= earlier + 2.0:
                shifted = sum(
                    max(0.0, after.get(name, 0.0) - before.get(name, 0.0)) for name in "abc"
                )
                assert shifted <= 0.05 * 2.0 + 1e-6


@pytest.mark.parametrize("seed", range(20))
def test_target_shares_overload_no_region_while_another_has_capacity(seed):
    """Guards against target shares that lose requests or exceed the utilization of a region."""
    rng = random.Random(seed)
    slots = {name: rng.randint(0, 40) for name in "abc"}
    arrivals = {name: rng.uniform(0, 300) for name in "abc"}
    targets = {name: target_shares(name, arrivals, slots, 0.1) for name in "abc"}
    if not sum(slots.values()):
        return
    load = dict.fromkeys("abc", 0.0)
    for name, target in targets.items():
        assert sum(target.values()) == pytest.approx(1.0)
        for region, share in target.items():
            load[region] += arrivals[name] * share
    fits = sum(arrivals.values()) <= 0.6 * sum(slots.values()) / 0.1
    for name, count in slots.items():
        if fits:
            assert load[name] <= 0.6 * count / 0.1 + 1e-6


def test_retries_of_foreseen_rejections_leave_a_part_of_the_budget():
    """Guards against attempts at rejecting servers that use up the retries of other requests."""
    budget = RetryBudget(window_s=10.0, ratio=0.0, fixed_retries=10.0)
    spent = 0
    while budget.has_spare(0.0, vms=1):
        assert budget.try_spend(0.0, vms=1)
        spent += 1
    assert spent == 4
    assert sum(budget.try_spend(0.0, vms=1) for _ in range(10)) == 4
