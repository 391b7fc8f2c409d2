"""Tests of the ramp of shares."""

from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st
from pytest import approx

from hibiscushaven.bench.shift_run import DOMAINS, make_document, run_shift
from hibiscushaven.documents import AdminState, ServiceDocument
from hibiscushaven.shifts import ShareRamp, limit_by_capacity
from hibiscushaven.shifts.window import WindowMin

CAP, INTERVAL_S = 0.1, 5.0
EVEN = dict.fromkeys(DOMAINS, 1 / 6)


def edited(document: ServiceDocument, **changes: dict) -> ServiceDocument:
    places = tuple(replace(item, **changes.get(item.name, {})) for item in document.places)
    return replace(document, places=places)


def started(recorded: dict[str, float] | None = None) -> ShareRamp:
    ramp = ShareRamp()
    ramp.set_document(0.0, make_document(CAP, INTERVAL_S), recorded)
    ramp.shares(0.0)
    return ramp


def largest_rise(samples: list[tuple[float, dict[str, float]]]) -> float:
    return max(
        later[place] - earlier[place]
        for index, (end, later) in enumerate(samples)
        for start, earlier in samples[: index + 1]
        for place in later
        if end - start <= INTERVAL_S
    )


STEPS = st.lists(
    st.tuples(
        st.one_of(st.floats(0.0, 0.5), st.floats(0.0, 30.0)),
        st.sampled_from(["edit", "leave", "flap", "load", "tick"]),
        st.sampled_from(DOMAINS),
        st.sampled_from([0.0, 0.5, 1.0, 8.0]),
    ),
    max_size=25,
)


@settings(derandomize=True, deadline=None, max_examples=150)
@given(STEPS)
def test_no_window_of_one_interval_exceeds_the_cap(steps: list) -> None:
    """Guards against edits, flaps, load changes and pauses that together exceed the cap."""
    ramp, document, now, away = started(), make_document(CAP, INTERVAL_S), 0.0, frozenset()
    samples = [(0.0, ramp.shares(0.0))]
    for elapsed, kind, place, value in steps:
        now += elapsed
        before = ramp.shares(now)
        if kind == "edit":
            document = edited(document, **{place: {"weight": value}})
            ramp.set_document(now, document)
        elif kind == "leave":
            document = edited(document, **{place: {"state": AdminState.LEAVING}})
            ramp.set_document(now, document)
        elif kind == "flap":
            away ^= {place}
            ramp.set_available(now, frozenset(DOMAINS) - away)
        elif kind == "load":
            ramp.set_load(now, 100.0 + 200 * value, 1.0)
        after = ramp.shares(now)
        assert all(after[name] <= before[name] + 1e-12 for name in DOMAINS)
        assert min(after.values()) >= 0.0
        assert sum(after.values()) + ramp.unassigned(now) == approx(1.0)
        samples += [(now, samples[-1][1]), (now, before), (now, after)]
    assert largest_rise(samples) <= CAP + 1e-9


def test_many_vms_with_faults_stay_under_the_cap() -> None:
    """Guards against faults of several VMs that together shift more traffic than the cap allows."""
    outcomes = [run_shift(seed) for seed in range(200)]
    assert max(outcome.largest_rise for outcome in outcomes) <= CAP
    assert max(outcome.largest_vm_rise for outcome in outcomes) <= CAP
    assert max(outcome.largest_sum for outcome in outcomes) <= 1 + 1e-9
    for fault in outcomes[0].faults:
        assert sum(outcome.faults[fault] for outcome in outcomes) >= 50, fault
    refused = sum(outcome.refused for outcome in outcomes) / len(outcomes)
    assert 0.0 < refused < 0.2


def test_paused_vm_does_not_catch_up_at_once() -> None:
    """Guards against a VM that makes up for all the time of a pause when it resumes."""
    ramp = started(dict.fromkeys(DOMAINS, 0.0) | {"a1": 1.0})
    before = ramp.shares(1.0)
    after = ramp.shares(500.0)
    assert after["b1"] - before["b1"] <= 0.06 * CAP
    assert sum(after.values()) == approx(1.0)


def test_leaving_and_unreachable_places_get_nothing_at_once() -> None:
    """Guards against new requests for a place that is leaving or unreachable."""
    ramp = started()
    ramp.set_document(1.0, edited(make_document(), a1={"state": AdminState.LEAVING}))
    ramp.set_available(1.0, frozenset(DOMAINS) - {"b1"})
    assert ramp.shares(1.0)["a1"] == ramp.shares(1.0)["b1"] == 0.0
    assert ramp.unassigned(1.0) == approx(2 / 6)


def test_lowered_weight_drains_without_refusals() -> None:
    """Guards against refusing requests that the drained place can still serve."""
    ramp = started()
    ramp.set_document(0.0, edited(make_document(), a1={"weight": 0.0}))
    now = 0.0
    while ramp.shares(now)["a1"] > 1e-9:
        assert ramp.unassigned(now) == approx(0.0)
        now += 0.25
        assert now < 30
    assert now > INTERVAL_S / 3


def test_edit_during_a_ramp_continues_from_the_current_shares() -> None:
    """Guards against a ramp that restarts or jumps when the document is edited."""
    ramp = started({"a1": 1.0})
    for step in range(40):
        position = ramp.shares(step / 4)
    assert position["b1"] > 0.1
    ramp.set_document(9.75, edited(make_document(), b1={"weight": 3.0}), {"a1": 1.0})
    assert ramp.shares(9.75) == approx(position)


def test_starting_vm_adopts_once_and_running_vm_does_not() -> None:
    """Guards against a running VM that jumps to its peers' shares, and against following one
    outdated peer.
    """
    peers = [{"a1": 0.7, "b1": 0.3}, {"a1": 0.7, "b1": 0.3}, {"a1": 0.0, "b1": 1.0}]
    ramp = ShareRamp()
    ramp.set_document(0.0, make_document(), EVEN)
    assert ramp.adopt(0.0, peers)
    assert ramp.shares(0.0) == approx(dict.fromkeys(DOMAINS, 0.0) | peers[0])
    assert not ramp.adopt(0.1, [EVEN])
    assert ramp.shares(0.1)["a1"] > 0.69
    assert ramp.adopt(0.1 + 2 * INTERVAL_S, [EVEN])


def test_rise_waits_while_traffic_rises_by_moved_callers() -> None:
    """Guards against a ramp that adds to a rise caused by callers that moved between VMs."""
    ramp = started({"a1": 1.0})
    ramp.set_traffic_shares(0.0, {"a1": 1.0, "b1": 0.0})
    ramp.set_traffic_shares(0.1, {"a1": 0.9, "b1": 0.1})
    before = ramp.shares(0.1)
    after = ramp.shares(0.3)
    assert after["b1"] == before["b1"]
    assert after["c1"] > before["c1"]


def test_rise_continues_without_further_traffic_reports() -> None:
    """Guards against an isolated VM whose ramp stops for good after its last report."""
    ramp = started({"a1": 1.0})
    ramp.set_traffic_shares(0.1, {"a1": 1.0, "b1": 0.0})
    ramp.set_traffic_shares(0.11, {"a1": 0.7, "b1": 0.3})
    before = ramp.shares(0.3)
    assert before["b1"] < ramp.shares(0.3 + 1.1 * INTERVAL_S)["b1"]


@settings(derandomize=True, deadline=None, max_examples=50)
@given(st.lists(st.tuples(st.floats(0.0, 3.0), st.floats(0.0, 1.0)), min_size=1, max_size=80))
def test_bucketed_window_is_small_and_never_above_the_exact_minimum(steps: list) -> None:
    """Guards against memory that grows with the number of reports, and a missed minimum."""
    exact, buckets, now = WindowMin(10.0), WindowMin(10.0, buckets=8), 0.0
    for elapsed, value in steps:
        now += elapsed
        exact.add(now, value)
        assert buckets.add(now, value) <= exact.minimum(now)
        assert len(buckets) <= 10
    assert buckets.minimum(now + 11.3) == exact.minimum(now + 11.3) == steps[-1][1]
    for number in range(10_000):
        buckets.add(1000 + number / 100, number)
    assert len(buckets) <= 10
    assert buckets.minimum(1099.99) >= 9999 - 1000 - 125


def test_capacity_limits_shares() -> None:
    """Guards against a place that gets more traffic than its capacity at the known load."""
    ramp = started()
    ramp.set_load(0.0, arrival_rate=1000.0, mean_service_s=1.0)
    assert max(ramp.shares(0.0).values()) == approx(0.1)
    assert ramp.unassigned(0.0) == approx(0.4)
    ramp.set_load(0.0, arrival_rate=1010.0, mean_service_s=1.0)
    assert max(ramp.shares(0.0).values()) == approx(0.1)


@settings(derandomize=True, deadline=None, max_examples=100)
@given(
    st.dictionaries(st.sampled_from(DOMAINS), st.integers(1, 9), min_size=1),
    st.lists(st.floats(0.0, 1.0), min_size=6, max_size=6),
)
def test_limited_target_uses_all_capacity(weights: dict[str, int], values: list) -> None:
    """Guards against an excess that is refused although another place has spare capacity."""
    total = sum(weights.values())
    limits = dict(zip(DOMAINS, values, strict=True))
    result = limit_by_capacity({name: item / total for name, item in weights.items()}, limits)
    assert all(share <= limits[name] + 1e-9 for name, share in result.items())
    assert sum(result.values()) == approx(min(1.0, sum(limits[name] for name in result)))
