"""VMs that were paused or cut off, and take that for an outage of the store."""

import asyncio

import pytest

from hibiscushaven.bench.virtual_time import run_virtual
from hibiscushaven.discovery import (
    EXPIRY_GRACE_S,
    OUTAGE_RENEWALS,
    RENEWAL_INTERVAL_S,
    Registry,
)
from hibiscushaven.eras import version_of
from hibiscushaven.fleet import FleetView, VmState
from hibiscushaven.gateway import ServerListing
from hibiscushaven.process.tests.support import VirtualClock

from .simulated_region import LoopClock, SimulatedRegion
from .support import FakeStore, make_node, make_operator, make_record
from .test_node import run_in_loop

VMS = 18
PAUSE_S = 4.0
OUTAGE_S = OUTAGE_RENEWALS * RENEWAL_INTERVAL_S + 0.5


def both_records():
    return make_record("s1"), make_record("s2")


async def remove_server_meanwhile(region, name, interruption, removed_after_s):
    """Remove a server while a VM is interrupted; return the others that use it afterwards."""
    others = [node for other, node in region.nodes.items() if other != name]
    with interruption(region, name):
        await asyncio.sleep(removed_after_s)
        region.put_servers([make_record("s1")])
        await asyncio.sleep(PAUSE_S - removed_after_s)
    # Reads follow each other in 0.5 s, and all VMs have the result after 0.5 s more.
    await asyncio.sleep(1.0)
    late = set()
    for _ in range(20):
        late |= {node._options.name for node in others if "s2" in node.registry.servers}
        await asyncio.sleep(0.1)
    return late


@pytest.mark.parametrize("interruption", ["paused", "cut_off"])
@pytest.mark.parametrize("removed_after_s", [0.2, PAUSE_S - 0.1])
@pytest.mark.parametrize("rank", [0, 1, 9])
def test_removed_server_is_not_used_again_after_one_vm_returns(interruption, removed_after_s, rank):
    """Guards against a VM whose own interruption keeps a server in use at all others."""

    async def scenario(region):
        name = region.readers()[rank]
        interrupt = getattr(SimulatedRegion, interruption)
        return await remove_server_meanwhile(region, name, interrupt, removed_after_s)

    assert SimulatedRegion.run(VMS, scenario) == set()


def test_servers_are_kept_by_all_vms_after_an_outage_of_the_store():
    """Guards against VMs that drop a server whose record expired while the store was away."""

    async def scenario(region):
        for node in region.nodes.values():
            node._store.is_down = True
        await asyncio.sleep(OUTAGE_S + 1.0)
        region.put_servers([make_record("s1")])
        for node in region.nodes.values():
            node._store.is_down = False
        await asyncio.sleep(EXPIRY_GRACE_S - 0.5)
        kept = {name for name, node in region.nodes.items() if "s2" in node.registry.servers}
        await asyncio.sleep(3.0)
        late = {name for name, node in region.nodes.items() if "s2" in node.registry.servers}
        return kept, late

    kept, late = SimulatedRegion.run(VMS, scenario)
    assert len(kept) == VMS and late == set()


def make_expiring_update(clock):
    """Return the update of a VM that keeps a server after what it takes for an outage."""
    sender = make_node("vm-2", clock)
    sender.registry.replace_all(clock.now(), 10, both_records(), gap_s=0.5)
    sender.registry.replace_all(clock.now(), 20, [make_record("s1")], gap_s=OUTAGE_S)
    assert "s2" in sender.registry.servers
    return sender.registry.update_since(10)


@pytest.mark.parametrize(("silence_s", "is_kept"), [(0.5, False), (OUTAGE_S, True)])
def test_vm_keeps_a_server_without_record_only_after_an_outage_that_it_saw_itself(
    silence_s, is_kept
):
    """Guards against a peer that decides for all VMs that there was an outage."""

    def scenario():
        clock = VirtualClock()
        node = make_node(clock=clock)
        node._on_listing(ServerListing(10, both_records()), 0.5)
        node._confirm_servers(clock.now(), clock.now())
        clock.time += silence_s
        node._adopt_servers(make_expiring_update(clock), "vm-2")
        assert node.registry.version == 20
        assert ("s2" in node.registry.servers) == is_kept

    run_in_loop(scenario)


def test_vm_without_servers_relies_on_its_peer():
    """Guards against a VM that starts after an outage with too few servers."""

    def scenario():
        clock = VirtualClock()
        node, sender = make_node(clock=clock), make_node("vm-2", clock)
        sender.registry.replace_all(clock.now(), 10, both_records(), gap_s=0.5)
        sender.registry.replace_all(clock.now(), 20, [make_record("s1")], gap_s=OUTAGE_S)
        node._adopt_servers(sender.registry.update_since(0), "vm-2")
        assert set(node.registry.servers) == {"s1", "s2"}

    run_in_loop(scenario)


def test_own_pause_is_no_outage_of_the_store():
    """Guards against servers that are kept since this VM did not run."""

    async def main():
        store = FakeStore()
        store.listing, store.operator = ServerListing(10, both_records()), make_operator(5)
        clock = PausableClock()
        node = make_node(clock=clock, store=store)
        node._pauses.step()
        node._on_listing(store.listing, 0.5)
        node._confirm_servers(clock.now(), clock.now())
        clock.pause_s += PAUSE_S
        return node._reader.servers_gap_s(clock.now())

    assert run_virtual(main()) == 0.0


def test_other_vms_are_not_silent_after_an_own_pause():
    """Guards against a VM that takes itself for the only one of its region after a pause."""

    def scenario():
        clock = PausableClock()
        node, peer = make_node(clock=clock), make_node("vm-2", clock)
        node._pauses.step()
        node._on_message(peer._state())
        clock.pause_s += PAUSE_S
        node._step(clock.now())
        assert [state.name for state in node.view.live_peers(clock.now())] == []
        node._pauses.check()
        assert [state.name for state in node.view.live_peers(clock.now())] == ["vm-2"]

    run_in_loop(scenario)


class PausableClock(LoopClock):
    """Clock of the event loop that also counts pauses, in which the loop does not run."""

    def __init__(self):
        self.pause_s = 0.0

    def now(self):
        return super().now() + self.pause_s


@pytest.mark.parametrize(("is_peer_heard", "gap_s"), [(True, OUTAGE_S), (False, 0.0)])
def test_time_without_contact_is_no_outage_of_the_store(is_peer_heard, gap_s):
    """Guards against a VM that takes the failure of its own links for an outage of the store."""

    def scenario():
        clock = VirtualClock()
        node, peer = make_node(clock=clock), make_node("vm-2", clock)
        node._on_message(peer._state())
        node._on_listing(ServerListing(10, both_records()), 0.5)
        node._confirm_servers(clock.now(), clock.now())
        clock.time += OUTAGE_S
        if is_peer_heard:
            node._on_message(peer._state())
        node._step(clock.now())
        assert node._reader.servers_gap_s(clock.now()) == pytest.approx(gap_s)

    run_in_loop(scenario)


def test_vm_of_the_own_failure_domain_is_no_contact_while_others_are_known():
    """Guards against VMs of a failure domain that are cut off together and confirm each other."""
    view = FleetView("vm-1", "serra", "serra-a")
    for name, domain in (("vm-2", "serra-a"), ("vm-3", "serra-b")):
        view.on_state(0.0, make_peer_state(name, domain, 1))
    view.expire(0.1)
    assert view.contact_since(0.1) < 0
    view.on_state(5.0, make_peer_state("vm-2", "serra-a", 2))
    view.expire(5.0)
    assert view.contact_since(5.0) == 5.0
    view.on_state(6.0, make_peer_state("vm-3", "serra-b", 2))
    view.expire(6.0)
    assert view.contact_since(6.5) == 6.0


def test_vm_takes_no_server_back_in_the_grace_period_of_a_restore():
    """Guards against a server that comes back by a VM that has missed its leaving."""
    registry = Registry()
    registry.replace_all(0.0, version_of(1, 10), both_records(), gap_s=0.5)
    registry.replace_all(1.0, version_of(1, 20), [make_record("s1")], gap_s=0.5)
    stale = Registry()
    stale.replace_all(0.0, version_of(1, 10), both_records(), gap_s=0.5)
    for other, now in ((registry, 2.0), (stale, 3.0)):
        other.begin_grace(now)
        other.replace_all(now, version_of(2, 5 + round(now)), [make_record("s1")], gap_s=0.5)
    assert "s2" in stale.servers
    update = stale.update_since(registry.version)
    assert registry.apply_update(registry.accepted_part(3.1, update))
    assert set(registry.servers) == {"s1"}


def test_digest_from_another_vm_than_the_elected_one_tells_of_newer_data():
    """Guards against a VM that returns and learns late what the others know."""

    def scenario():
        clock = VirtualClock()
        node, sender = make_node(clock=clock), make_node("vm-2", clock)
        sender._on_listing(ServerListing(10, both_records()), 0.5)
        node._on_message(sender._local_digest(clock.now()))
        assert node._newest_servers_version == 10 and node._puller.is_pulling

    run_in_loop(scenario)


def make_peer_state(name, failure_domain, sequence):
    return VmState(name, 1, sequence, "serra", failure_domain, "10.0.0.2:80", "10.0.0.2:81")
