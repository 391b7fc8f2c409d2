"""What a VM believes when sources contradict each other, are old or missing."""

import asyncio

from hypothesis import given
from hypothesis import strategies as st

from hibiscushaven.fleet import VmState, token_of
from hibiscushaven.process.tests.support import VirtualClock

from .support import make_node, make_operator, make_record


def in_loop(scenario):
    async def main():
        return scenario()

    return asyncio.run(main())


def make_state(name="vm-2", **fields):
    return VmState(name, 1, 1, "serra", "serra-a", "10.0.0.2:80", "127.0.0.1:9", **fields)


@given(st.permutations([1, 2, 3, 4, 5]))
def test_configuration_never_goes_back(order):
    def scenario():
        adopted = []
        node = make_node(adopted=adopted)
        for version in order:
            node._adopt_operator(make_operator(version * 10, version), "test")
        versions = [operator.configuration.version for operator in adopted]
        assert versions == sorted(versions)
        assert node.operator.configuration.version == 5

    in_loop(scenario)


def test_newer_read_with_an_older_configuration_is_ignored():
    def scenario():
        node = make_node()
        node._adopt_operator(make_operator(10, 7), "test")
        node._adopt_operator(make_operator(20, 6), "test")
        assert node.operator.configuration.version == 7

    in_loop(scenario)


def test_domain_that_is_taken_back_is_cold():
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

    in_loop(scenario)


def test_server_that_another_vm_lost_counts_as_cold():
    def scenario():
        clock = VirtualClock()
        node = make_node(clock=clock)
        node.registry.replace_all(clock.now(), 10, [make_record()], gap_s=0.5)
        node._adopt_operator(make_operator(10), "test")
        node._on_message(make_state(lost={token_of("s1"): 0.5}))
        assert node.registry.servers["s1"].cold_until > clock.now() + 3.0

    in_loop(scenario)


def test_peers_of_the_region_confirm_what_is_known():
    def scenario():
        clock = VirtualClock()
        node = make_node(clock=clock)
        node.registry.replace_all(clock.now(), 10, [make_record()], gap_s=0.5)
        assert node.servers_age_s > 1000
        node._on_message(make_state(servers_version=10, servers_age_s=0.25))
        assert round(node.servers_age_s, 3) == 0.25
        node._on_message(make_state("vm-3", servers_version=9, servers_age_s=0.0))
        assert round(node.servers_age_s, 3) == 0.25

    in_loop(scenario)


def test_vm_is_ready_only_with_configuration_and_servers():
    def scenario():
        node = make_node()
        assert not node.is_ready
        node._adopt_operator(make_operator(10), "test")
        assert not node.is_ready
        node.registry.replace_all(0.0, 10, [make_record()], gap_s=0.5)
        assert node.is_ready
        node.leave()
        assert not node.is_ready

    in_loop(scenario)


def test_connections_to_addresses_that_are_gone_are_closed():
    def scenario():
        gone = []
        node = make_node()
        node._on_address_gone = gone.append
        node.registry.replace_all(0.0, 10, [make_record("s1")], gap_s=0.5)
        node._on_servers("test")
        node.registry.replace_all(0.5, 20, [], gap_s=0.5)
        node._on_servers("test")
        assert gone == [make_record("s1").address]

    in_loop(scenario)


def test_vms_of_other_regions_confirm_nothing():
    def scenario():
        node = make_node()
        far = VmState(
            "far", 1, 1, "vale", "vale-a", "a:1", "127.0.0.1:9",
            servers_version=99, operator_version=99,
        )  # fmt: skip
        node._on_message(far)
        assert node._pulling is None

    in_loop(scenario)


def test_vm_whose_servers_differ_asks_for_all_of_them():
    async def scenario():
        peer, node = make_node("vm-2"), make_node()
        peer.registry.replace_all(0.0, 10, [make_record("s1")], gap_s=0.5)
        node.registry.replace_all(0.0, 10, [make_record("s1", is_leaving=True)], gap_s=0.5)
        peer.registry.replace_all(1.0, 20, [make_record("s1"), make_record("s2")], gap_s=0.5)
        asked = []

        async def pull(address, operator_version, servers_version, timeout_s):
            asked.append(servers_version)
            return peer._give_news(operator_version, servers_version)

        node._link.pull = pull
        await node._pull("vm-2", "127.0.0.1:9")
        assert node.registry.version == 10
        await node._pull("vm-2", "127.0.0.1:9")
        assert asked == [10, 0]
        assert node.registry.servers == peer.registry.servers
        node.registry.replace_all(2.0, 15, [make_record("s1")], gap_s=0.5)
        await node._pull("vm-2", "127.0.0.1:9")
        assert asked[-1] == 20

    asyncio.run(scenario())
