"""State of a VM when its sources contradict each other, are stale or are unavailable."""

import asyncio

from hypothesis import given
from hypothesis import strategies as st

from hibiscushaven.bench.virtual_time import run_virtual
from hibiscushaven.discovery import KnownServer, RegistryUpdate
from hibiscushaven.fleet import ForwarderReport, VmState, token_of
from hibiscushaven.forwarding.tests.support import make_route
from hibiscushaven.gateway.node import NEWER_VERSION_LIFETIME_S
from hibiscushaven.placement.admission import PlacementRequest
from hibiscushaven.process.tests.support import VirtualClock
from hibiscushaven.routing import Configuration, OperatorState, ServiceOptions

from .support import FakeStore, make_node, make_operator, make_record


def run_in_loop(scenario):
    """Run a synchronous function while an event loop is running."""

    async def main():
        return scenario()

    return asyncio.run(main())


def make_state(name="vm-2", **fields):
    return VmState(name, 1, 1, "serra", "serra-a", "10.0.0.2:80", "127.0.0.1:9", **fields)


@given(st.permutations([1, 2, 3, 4, 5]))
def test_configuration_never_goes_back(order):
    """Guards against updates that arrive out of order and restore an older configuration."""

    def scenario():
        adopted = []
        node = make_node(adopted=adopted)
        for version in order:
            node._adopt_operator(make_operator(version * 10, version), "test")
        versions = [operator.configuration.version for operator in adopted]
        assert versions == sorted(versions)
        assert node.operator.configuration.version == 5

    run_in_loop(scenario)


def test_newer_read_with_an_older_configuration_is_ignored():
    """Guards against a rollback by a read of a newer store version with an older configuration."""

    def scenario():
        node = make_node()
        node._adopt_operator(make_operator(10, 7), "test")
        node._adopt_operator(make_operator(20, 6), "test")
        assert node.operator.configuration.version == 7

    run_in_loop(scenario)


def test_servers_are_cold_after_their_evacuation_ends():
    """Guards against full load on servers whose caches are cold after an evacuation."""

    def scenario():
        clock = VirtualClock()
        node = make_node(clock=clock)
        node.registry.replace_all(clock.now(), 10, [make_record()], gap_s=0.5)
        node._adopt_operator(make_operator(10, 1, ["serra-a"]), "test")
        assert not node.picker.usable_servers("stock")
        node._adopt_operator(make_operator(20, 1), "test")
        server = node.registry.servers["s1"]
        assert server.cold_until == clock.now() + 3.0
        assert node.picker.is_cold(clock.now(), server)

    run_in_loop(scenario)


def test_server_that_another_vm_cannot_reach_becomes_cold():
    """Guards against full load on a server that restarts after only another VM lost it."""

    def scenario():
        clock = VirtualClock()
        node = make_node(clock=clock)
        node.registry.replace_all(clock.now(), 10, [make_record()], gap_s=0.5)
        node._adopt_operator(make_operator(10), "test")
        node._on_message(make_state(lost_server_ages_s={token_of("s1"): 0.5}))
        clock.time += 0.7
        node._presume_lost_servers_cold(clock.now())
        assert node.registry.servers["s1"].cold_until > clock.now() + 3.0

    run_in_loop(scenario)


def test_server_that_another_vm_cannot_reach_is_avoided_at_once():
    """Guards against VMs that each find out by themselves that a server is down."""

    def scenario():
        clock = VirtualClock()
        node = make_node(clock=clock)
        records = [make_record("s1"), make_record("s2")]
        node.registry.replace_all(clock.now(), 10, records, gap_s=0.5)
        route = make_route(is_sticky=True)
        services = {"stock": ServiceOptions("stock")}
        node._adopt_operator(OperatorState(10, Configuration(1, (route,), services)), "test")
        node.picker.update_region_shares(clock.now(), {})
        keys = [str(number) for number in range(20)]

        def picked():
            requests = [
                PlacementRequest(route, "stock", key, 0.25, 2.0, frozenset(), False) for key in keys
            ]
            placements = (node.picker.pick(clock.now(), request) for request in requests)
            return {placement.server.record.server_id for placement in placements}

        assert picked() == {"s1", "s2"}
        node._on_message(make_state(lost_server_ages_s={token_of("s1"): 0.0}))
        assert picked() == {"s2"}
        clock.time += 0.3
        node.view.uptime.record(token_of("s1"), clock.now())
        assert picked() == {"s1", "s2"}

    run_in_loop(scenario)


def test_server_that_responds_to_other_vms_does_not_become_cold():
    """Guards against a VM without links, for which all others take the servers for restarted."""

    def scenario():
        clock = VirtualClock()
        node = make_node(clock=clock)
        node.registry.replace_all(clock.now(), 10, [make_record()], gap_s=0.5)
        node._adopt_operator(make_operator(10), "test")
        node._on_message(make_state(lost_server_ages_s={token_of("s1"): 0.0}))
        clock.time += 0.5
        node._on_message(
            make_state("vm-3", lost_server_ages_s={}, slowness={token_of("s1"): (100, 0.05)})
        )
        clock.time += 0.7
        node._presume_lost_servers_cold(clock.now())
        assert node.registry.servers["s1"].cold_until == 0.0

    run_in_loop(scenario)


def test_peers_of_the_region_confirm_the_same_version():
    """Guards against redundant reads, and against confirmation by a peer with older data."""

    def scenario():
        clock = VirtualClock()
        node = make_node(clock=clock)
        node.registry.replace_all(clock.now(), 10, [make_record()], gap_s=0.5)
        assert node.servers_age_s > 1000
        node._on_message(make_state(servers_version=10, servers_age_s=0.25))
        assert round(node.servers_age_s, 3) == 0.25
        node._on_message(make_state("vm-3", servers_version=9, servers_age_s=0.0))
        assert round(node.servers_age_s, 3) == 0.25

    run_in_loop(scenario)


def test_servers_from_a_peer_are_confirmed_by_the_read_that_it_announced():
    """Guards against data without confirmation while servers change faster than pulls arrive."""

    def scenario():
        clock = VirtualClock()
        node = make_node(clock=clock)
        node._puller.start = lambda peer, address: None
        node._on_message(make_state(servers_version=20, servers_age_s=0.25))
        clock.time += 0.5
        servers = {"s1": KnownServer(make_record())}
        node._adopt_servers(RegistryUpdate(15, servers), "vm-3")
        assert node.servers_age_s > 1000
        node._adopt_servers(RegistryUpdate(21, servers), "vm-2")
        assert round(node.servers_age_s, 3) == 0.75

    run_in_loop(scenario)


def test_vm_is_ready_only_with_configuration_and_servers():
    """Guards against callers that are directed to a VM which cannot serve them."""

    def scenario():
        node = make_node()
        assert not node.is_ready
        node._adopt_operator(make_operator(10), "test")
        assert not node.is_ready
        node.registry.replace_all(0.0, 10, [make_record()], gap_s=0.5)
        assert node.is_ready
        node.leave()
        assert not node.is_ready

    run_in_loop(scenario)


def test_removed_server_addresses_are_reported():
    """Guards against pooled connections to servers that no longer exist."""

    def scenario():
        removed = []
        node = make_node()
        node._on_address_removed = removed.append
        node.registry.replace_all(0.0, 10, [make_record("s1")], gap_s=0.5)
        node._on_registry_change("test")
        node.registry.replace_all(0.5, 20, [], gap_s=0.5)
        node._on_registry_change("test")
        assert removed == [make_record("s1").address]

    run_in_loop(scenario)


def test_newer_versions_of_other_regions_are_not_pulled():
    """Guards against pulls from remote VMs, which are slower than the region's own."""

    def scenario():
        node = make_node()
        remote = VmState(
            "far", 1, 1, "vale", "vale-a", "a:1", "127.0.0.1:9",
            servers_version=99, operator_version=99,
        )  # fmt: skip
        node._on_message(remote)
        assert not node._puller.is_pulling

    run_in_loop(scenario)


def test_configuration_is_old_from_the_news_to_its_arrival():
    """Guards against a VM that denies routes although it knows that it is behind, or for ever."""

    def scenario():
        clock = VirtualClock()
        node = make_node(clock=clock)
        node._puller.start = lambda peer, address: None
        node._adopt_operator(make_operator(10, 1), "test")
        assert not node.is_configuration_old()
        node._on_message(make_state(operator_version=20))
        assert node.is_configuration_old()
        clock.time += NEWER_VERSION_LIFETIME_S + 0.1
        assert not node.is_configuration_old()
        node._on_message(make_state("vm-3", operator_version=20))
        node._adopt_operator(make_operator(20, 2), "test")
        assert not node.is_configuration_old()

    run_in_loop(scenario)


def test_checksum_mismatch_leads_to_a_pull_of_all_servers():
    """Guards against server lists that stay different after two VMs diverged at one version."""

    async def scenario():
        peer, node = make_node("vm-2"), make_node()
        peer.registry.replace_all(0.0, 10, [make_record("s1")], gap_s=0.5)
        node.registry.replace_all(0.0, 10, [make_record("s1", is_leaving=True)], gap_s=0.5)
        peer.registry.replace_all(1.0, 20, [make_record("s1"), make_record("s2")], gap_s=0.5)
        requested_versions = []

        async def pull(address, operator_version, servers_version, timeout_s):
            requested_versions.append(servers_version)
            return peer._make_sync_response(operator_version, servers_version)

        node._transport.pull = pull
        await node._puller.pull_from("vm-2", "127.0.0.1:9")
        assert node.registry.version == 10
        await node._puller.pull_from("vm-2", "127.0.0.1:9")
        assert requested_versions == [10, 0]
        assert node.registry.servers == peer.registry.servers
        node.registry.replace_all(2.0, 15, [make_record("s1")], gap_s=0.5)
        await node._puller.pull_from("vm-2", "127.0.0.1:9")
        assert requested_versions[-1] == 20

    asyncio.run(scenario())


def test_periodic_state_crosses_to_another_region_once_and_that_of_a_leaving_vm_to_each():
    """Guards against callers that are sent to a VM which has left, and against needless copies."""
    node, sent = make_node(), []
    node._transport.send = lambda datagram, address: sent.append(address)
    for number in range(4):
        name = f"vale-{number}"
        state = VmState(name, 1, 1, "vale", "vale-a", "10.0.0.2:80", f"{name}:1")
        node._on_message(state)
        node._on_message(ForwarderReport(name, 1))
    sent.clear()
    for _ in range(4):
        node._send_state_to_all()
    assert sorted(sent) == [f"vale-{number}:1" for number in range(4)]
    sent.clear()
    node.leave()
    assert sorted(sent) == [f"vale-{number}:1" for number in range(4)]


def test_leaving_vm_removes_its_address_once_the_store_responds_again():
    """Guards against addresses of VMs that stay in the store since it was silent at their stop."""

    class CountingStore(FakeStore):
        def __init__(self):
            super().__init__()
            self.removed = []

        async def deregister(self, name):
            self.is_down = self.calls < 2
            await super().deregister(name)
            self.removed.append(name)

    store = CountingStore()
    run_virtual(make_node(store=store).deregister())
    assert store.removed == ["vm-1"] and store.calls == 3
