"""Tests of the plan of flows, the arrival rates and the admission of foreign requests."""

from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st
from pytest import approx

from hibiscushaven.shifts import ArrivalRates, Flows, ForeignAdmission, plan_flows

DOMAINS = ("a1", "a2", "b1", "b2", "c1", "c2")
REGIONS = {name: name[0] for name in DOMAINS}
DELAYS = {frozenset("ab"): 5.0, frozenset("ac"): 20.0, frozenset("bc"): 9.0}

NUMBERS = st.lists(st.one_of(st.just(0.0), st.floats(0.01, 1e4)), min_size=6, max_size=6)


@settings(derandomize=True, deadline=None, max_examples=200)
@given(NUMBERS, NUMBERS, st.floats(0.0, 1.0), st.sampled_from([None, DELAYS]))
def test_every_place_gets_exactly_its_share(rates, weights, share_sum, delays) -> None:
    """Guards against a plan that sends a place more or less than its share of the total."""
    arrivals = dict(zip(DOMAINS, rates, strict=True))
    scale = share_sum / max(sum(weights), 1e-9)
    shares = {name: weight * scale for name, weight in zip(DOMAINS, weights, strict=True)}
    flows = plan_flows(arrivals, shares, REGIONS, delays)
    total = sum(rates)
    for place in DOMAINS:
        sent = sum(arrivals[d] * flows.probabilities(d).get(place, 0.0) for d in DOMAINS)
        assert sent == approx(shares[place] * total, rel=1e-6, abs=1e-6)
    for domain in DOMAINS:
        row = flows.probabilities(domain)
        assert sum(row.values()) <= 1 + 1e-9
        if arrivals[domain]:
            own = min(arrivals[domain], shares[domain] * total) / arrivals[domain]
            assert row.get(domain, 0.0) >= own - 1e-9
    reversed_inputs = dict(reversed(arrivals.items())), dict(reversed(shares.items()))
    reordered_flows = plan_flows(*reversed_inputs, dict(reversed(REGIONS.items())), delays)
    assert [reordered_flows.probabilities(d) for d in DOMAINS] == [
        flows.probabilities(d) for d in DOMAINS
    ]


def test_surplus_goes_to_the_nearest_region_first() -> None:
    """Guards against traffic that crosses regions although a nearer place has a deficit."""
    shares = {"a1": 0.2, "a2": 0.3, "b1": 0.3, "c1": 0.2}
    row = plan_flows({"a1": 100.0}, shares, REGIONS).probabilities("a1")
    assert row == approx(shares)
    delays = {
        frozenset(pair): 5.0 if pair in ("ab", "cd") else 20.0
        for pair in ("ab", "ac", "ad", "bc", "bd", "cd")
    }
    shares = {"a2": 0.2, "b1": 0.4, "c1": 0.4}
    regions = {**REGIONS, "d1": "d"}
    flows = plan_flows({"a1": 60.0, "d1": 40.0}, shares, regions, delays)
    assert flows.probabilities("a1") == approx({"a2": 20 / 60, "b1": 40 / 60})
    assert flows.probabilities("d1") == approx({"c1": 1.0})


def test_choice_follows_the_probabilities() -> None:
    """Guards against draws outside the distribution, and refusals when it sums to 1."""
    flows = Flows({"a1": {"a1": 0.1, "b1": 0.2}}, {"b1": 0.1 + 0.2, "c1": 0.7 - 1e-12})
    rng = Random(1)
    draws = [flows.choose("a1", rng.random()) for _ in range(20_000)]
    assert draws.count("a1") / 20_000 == approx(0.1, abs=0.01)
    assert draws.count(None) / 20_000 == approx(0.7, abs=0.01)
    assert flows.choose("elsewhere", 1 - 2**-53) == "c1"
    assert plan_flows({}, {}, {}).choose("a1", 0.0) is None


def test_rate_is_unbiased_early_and_decays() -> None:
    """Guards against a starting VM that reports too low a rate, and a rate that never decays."""
    rates = ArrivalRates(time_constant_s=5.0)
    for tick in range(100):
        rates.record(tick / 50, "stock")
    assert rates.rate(2.0, "stock") == approx(50, rel=0.1)
    assert rates.rate(60.0, "stock") < 0.01
    rates.record(0.0, "orders")
    assert rates.rates(0.0)["orders"] < 3


def test_foreign_requests_beyond_the_share_are_refused() -> None:
    """Guards against senders with an outdated plan that use the capacity of local callers."""
    admission = ForeignAdmission(slack_fraction=0.0)
    assert not admission.admit(0.0)
    admission.set_limit(0.0, share=0.5, total_rate=100.0, own_rate=30.0)
    admitted = sum(admission.admit(tick / 100) for tick in range(1000))
    assert admitted == approx(20 * 10, rel=0.1)
    assert 0 < admission.retry_after_s < 0.2
    for tick in range(100):
        admission.set_limit(10.0, share=tick % 2, total_rate=100.0, own_rate=0.0)
        admitted = sum(admission.admit(10.0) for _ in range(200))
        assert admitted == 0 or tick < 2
