"""Callers are sent to VMs that are up, in their own region first."""

from hibiscushaven.fleet import FleetView, VmState
from hibiscushaven.gateway.directory import ADDRESS_LIMIT, choose_addresses


def make_view(*states):
    view = FleetView("vm-1", "serra", "serra-a")
    for state in states:
        view.on_state(0.0, state)
    return view


def make_state(name, region="serra", **fields):
    defaults = {"failure_domain": f"{region}-a", "is_ready": True}
    fields = {**defaults, **fields}
    return VmState(name, 1, 1, region, callers_at=name, peers_at="b:1", **fields)


def choose(view, now=0.0, own="vm-1", region="serra", domain="serra-a", homes=frozenset()):
    return choose_addresses(now, view, own, region, domain, homes)


def test_own_region_only():
    view = make_view(make_state("near"), make_state("far", "vale"))
    assert choose(view) == ["near", "vm-1"]
    assert choose(view, region="vale") == ["far"]


def test_leaving_unready_and_silent_vms_are_left_out():
    view = make_view(make_state("leaving", is_leaving=True), make_state("new", is_ready=False))
    assert choose(view) == ["vm-1"]
    view = make_view(make_state("silent"))
    assert choose(view, now=1.0) == ["vm-1"]


def test_region_without_vms_uses_the_homes_of_the_host():
    view = make_view(make_state("home", "vale"), make_state("other", "campos"))
    assert choose(view, region="norte", homes=frozenset({"vale"})) == ["home"]
    assert set(choose(view, region="norte")) == {"home", "other", "vm-1"}


def test_answer_is_bounded():
    view = make_view(*(make_state(f"n{number}") for number in range(100)))
    assert len(choose(view)) == ADDRESS_LIMIT


def test_callers_of_all_failure_domains_together_reach_all_vms():
    domains = ("serra-a", "serra-b", "serra-c")
    states = [make_state(f"n{number}", failure_domain=domains[number % 3]) for number in range(100)]
    found = [choose(make_view(*states), domain=domain) for domain in domains]
    assert all(len(addresses) == ADDRESS_LIMIT for addresses in found)
    assert set().union(*found) == {"vm-1", *(state.name for state in states)}


def test_all_vms_answer_alike():
    states = [make_state(f"n{number}") for number in range(100)]
    other = FleetView("n5", "serra", "serra-a")
    for state in [*states[::-1], make_state("vm-1")]:
        if state.name != "n5":
            other.on_state(0.0, state)
    assert choose(make_view(*states)) == choose(other, own="n5")
