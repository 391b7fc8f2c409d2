"""Exchange of states through an aggregator, in regions too large for an exchange of all with all.

The nodes run on a virtual clock with a simulated network.
"""

import asyncio
import random
from dataclasses import replace

import pytest

from hibiscushaven.fleet import token_of
from hibiscushaven.fleet.messages import decode
from hibiscushaven.gateway import GatewayNode, GatewayOptions
from hibiscushaven.gateway import node as node_module
from hibiscushaven.ini.fields import Endpoint
from hibiscushaven.process.tests.support import VirtualClock

from .support import REGIONS, FakeStore

TOKEN = token_of("s1")

# Time between two steps of the simulation.
STEP_S = 0.02


class FakeTransport:
    """Transport of one node, which counts, loses and queues datagrams."""

    def __init__(self, fleet):
        self._fleet = fleet

    def send(self, datagram, address):
        self._fleet.sent_datagrams += 1
        if self._fleet.rng.random() >= self._fleet.loss_rate:
            self._fleet.queue.append((datagram, address))

    def close(self):
        pass


class Fleet:
    """Nodes that exchange datagrams on a virtual clock.

    :param sizes: number of VMs by region.
    :ivar loss_rate: fraction of the datagrams that are lost.
    :ivar sent_datagrams: number of datagrams sent, lost ones included.
    :ivar down: names of VMs that neither send nor receive.
    """

    def __init__(self, sizes, seed=1):
        self.clock = VirtualClock()
        self.rng = random.Random(seed)
        self.queue, self.sent_datagrams, self.loss_rate = [], 0, 0.0
        self.down = set()
        self.nodes = {}
        for region, size in sizes.items():
            for number in range(size):
                self.add(f"{region}-{number}", region)
        for node in self.nodes.values():
            for other in self.nodes.values():
                node.view.on_state(self.clock.now(), other._state())
        self._due = dict.fromkeys(self.nodes, 0.0)

    def add(self, name, region):
        address = Endpoint("10.0.0.1", 1000 + len(self.nodes))
        # The VM with the most capacity becomes the aggregator.
        capacity = 2.0 if name.endswith("-3") else 0.5
        options = GatewayOptions(
            name,
            region,
            f"{region}-a",
            REGIONS,
            address,
            address,
            address,
            address,
            capacity=capacity,
        )
        node = GatewayNode(options, FakeStore(), self.clock, lambda operator: None, dict)
        node._transport = FakeTransport(self)
        self.nodes[name] = node

    def up(self):
        return {name: node for name, node in self.nodes.items() if name not in self.down}

    def advance(self, duration_s):
        """Advance the clock; nodes step every 0.2 s, and an aggregator sends every 0.1 s."""
        for _ in range(round(duration_s / STEP_S)):
            self.clock.time += STEP_S
            now = self.clock.now()
            for name, node in self.up().items():
                offset = list(self.nodes).index(name) * 0.013
                if (now + offset) % 0.2 < STEP_S:
                    node._step(now)
                if (now + offset) % 0.1 < STEP_S:
                    node._send_local_digest(now)
            self._deliver()

    def _deliver(self):
        names = {str(node._options.peers_at): name for name, node in self.nodes.items()}
        while self.queue:
            datagram, address = self.queue.pop(0)
            name = names[address]
            if name not in self.down:
                self.nodes[name]._on_message(decode(datagram))

    def set_in_progress(self, name, count):
        """Set the number of requests that a VM has in progress on the server."""
        node = self.nodes[name]
        node.loads.of("s1").start_times.clear()
        for number in range(count):
            node.loads.of("s1").start_times[number] = self.clock.now()
        node._send_state()
        self._deliver()

    def reported_in_progress(self):
        """Return the requests in progress of the others, as each VM knows them."""
        return {name: node.view.in_progress(TOKEN) for name, node in self.up().items()}

    def expected_in_progress(self):
        """Return the requests in progress of the others, as each VM should know them."""
        own = {name: node.loads.of("s1").in_progress for name, node in self.up().items()}
        return {name: sum(own.values()) - own[name] for name in own}


@pytest.fixture(autouse=True)
def event_loop_without_pulls(monkeypatch):
    """Provide an event loop that does not run, and disable pulls, which need sockets."""
    monkeypatch.setattr(node_module.GatewayNode, "_compare_versions", lambda *arguments: None)
    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    yield
    loop.close()


def test_states_are_exchanged_through_the_aggregator_only():
    """Guards against traffic that grows with the square of the VMs, and against wrong sums."""
    fleet = Fleet({"serra": 20})
    fleet.advance(2.0)
    for number in range(20):
        fleet.set_in_progress(f"serra-{number}", number)
    fleet.advance(0.3)
    assert fleet.reported_in_progress() == fleet.expected_in_progress()
    fleet.sent_datagrams = 0
    fleet.advance(2.0)
    # 19 states every 0.2 s to the aggregator and 19 digests every 0.1 s from it. An exchange of
    # all with all would take 380 states every 0.2 s.
    assert fleet.sent_datagrams <= 2.0 * 19 * (5 + 10) * 1.2
    assert all(
        len(node.view.live_local_peers(fleet.clock.now())) == 19 for node in fleet.nodes.values()
    )


def test_sums_stay_correct_while_states_change_between_digests():
    """Guards against own requests that are counted twice or left out when a digest is older."""
    fleet = Fleet({"serra": 20})
    fleet.advance(2.0)
    for round_number in range(30):
        name = f"serra-{fleet.rng.randrange(20)}"
        fleet.set_in_progress(name, fleet.rng.randrange(5))
        fleet.advance(0.02 if round_number % 3 else 0.1)
    fleet.advance(0.3)
    assert fleet.reported_in_progress() == fleet.expected_in_progress()


def test_failed_aggregator_is_replaced_within_two_seconds():
    """Guards against lost sums, or a permanent exchange of all with all, after a failover."""
    fleet = Fleet({"serra": 20})
    fleet.advance(2.0)
    for number in range(20):
        fleet.set_in_progress(f"serra-{number}", 2)
    fleet.advance(0.5)
    fleet.down.add("serra-3")
    fleet.advance(0.7)
    # The VMs exchange states directly by now; the failed one may still be counted.
    assert all(count >= 36 for count in fleet.reported_in_progress().values())
    fleet.advance(1.3)
    assert fleet.reported_in_progress() == fleet.expected_in_progress()
    fleet.sent_datagrams = 0
    fleet.advance(1.0)
    assert fleet.sent_datagrams <= 18 * (5 + 10) * 1.5
    fleet.down.clear()
    fleet.nodes["serra-3"]._send_state_to_all()
    fleet.advance(1.5)
    assert fleet.reported_in_progress() == fleet.expected_in_progress()


def test_sums_converge_after_lost_datagrams():
    """Guards against live VMs taken for failed, and against sums that stay wrong after losses."""
    fleet = Fleet({"serra": 20}, seed=7)
    fleet.advance(1.0)
    # Twice the highest loss rate of the deployments' links.
    fleet.loss_rate = 0.05
    for _ in range(40):
        fleet.set_in_progress(f"serra-{fleet.rng.randrange(20)}", fleet.rng.randrange(5))
        fleet.advance(0.06)
        assert all(
            len(node.view.live_local_peers(fleet.clock.now())) >= 18
            for node in fleet.nodes.values()
        )
    fleet.loss_rate = 0.0
    fleet.advance(0.5)
    assert fleet.reported_in_progress() == fleet.expected_in_progress()


def test_vm_without_digests_sends_its_state_to_all():
    """Guards against a VM that is cut off from the aggregator only and loses all sums."""
    fleet = Fleet({"serra": 20})
    fleet.advance(2.0)
    aggregator = fleet.nodes["serra-3"]
    aggregator._send_to_local_peers = lambda datagram: [
        aggregator._transport.send(datagram, state.peers_at)
        for state in aggregator.view.known_peers()
        if state.name != "serra-5"
    ]
    fleet.advance(0.6)
    fleet.set_in_progress("serra-5", 4)
    fleet.set_in_progress("serra-6", 1)
    fleet.advance(0.5)
    assert fleet.reported_in_progress() == fleet.expected_in_progress()


def test_large_regions_exchange_digests_through_their_aggregators():
    """Guards against remote sums or VMs that are missing, also after a failover over there."""
    fleet = Fleet({"serra": 20, "vale": 18})
    fleet.advance(2.0)
    fleet.set_in_progress("vale-1", 5)
    fleet.set_in_progress("vale-2", 1)
    fleet.advance(0.6)
    assert fleet.reported_in_progress() == fleet.expected_in_progress()
    now = fleet.clock.now()
    assert all(len(node.view.live_peers(now)) == 37 for node in fleet.nodes.values())
    fleet.sent_datagrams = 0
    fleet.advance(2.0)
    # States to the aggregator, its digests, and the other region's digests that it forwards.
    assert fleet.sent_datagrams <= 2.0 * (19 + 17) * (5 + 10 + 5) * 1.2
    fleet.down.add("vale-3")
    fleet.advance(2.0)
    assert fleet.reported_in_progress() == fleet.expected_in_progress()


def test_vms_of_small_regions_exchange_states_directly():
    """Guards against the delay of digests where an exchange of all with all is cheap."""
    fleet = Fleet({"serra": 8, "vale": 8})
    fleet.advance(1.0)
    fleet.set_in_progress("serra-1", 3)
    assert [fleet.nodes[f"serra-{number}"].view.in_progress(TOKEN) for number in (0, 1, 7)] == [
        3,
        0,
        3,
    ]
    fleet.advance(0.3)
    assert fleet.reported_in_progress() == fleet.expected_in_progress()
    assert all(node.view.aggregate.digest is None for node in fleet.nodes.values())


def test_leaving_aggregator_is_replaced():
    """Guards against lost sums when the aggregator shuts down but still sends states."""
    fleet = Fleet({"serra": 20})
    fleet.advance(2.0)
    fleet.nodes["serra-3"].leave()
    fleet.advance(0.6)
    fleet.set_in_progress("serra-3", 1)
    fleet.set_in_progress("serra-4", 2)
    fleet.advance(0.5)
    assert fleet.reported_in_progress() == fleet.expected_in_progress()


@pytest.mark.parametrize("sizes", [{"serra": 20, "vale": 5}, {"serra": 5, "vale": 20}])
def test_large_and_small_regions_exchange_digests(sizes):
    """Guards against regions of different size that miss each other's sums or VMs."""
    fleet = Fleet(sizes)
    fleet.advance(2.0)
    for number in range(5):
        fleet.set_in_progress(f"serra-{number}", 1)
        fleet.set_in_progress(f"vale-{number}", 2)
    fleet.advance(0.6)
    assert fleet.reported_in_progress() == fleet.expected_in_progress()
    fleet.advance(12.0)
    now = fleet.clock.now()
    assert all(len(node.view.live_peers(now)) == 24 for node in fleet.nodes.values())


def test_aggregator_with_a_slow_link_sends_fewer_digests():
    """Guards against a saturated link, and against VMs that take the longer pause for a failure."""
    fleet = Fleet({"serra": 20})
    fleet.advance(2.0)
    aggregator = fleet.nodes["serra-3"]
    usual_interval_s = aggregator._digest_interval_s()
    aggregator._options = replace(aggregator._options, link_mbps=0.5)
    assert aggregator._digest_interval_s() > 2 * usual_interval_s
    fleet.advance(1.0)
    assert all(
        node.view.has_aggregator(fleet.clock.now() + 3 * aggregator._digest_interval_s() - 0.2)
        for name, node in fleet.nodes.items()
        if name != "serra-3"
    )


def test_change_of_the_aggregator_is_logged(caplog):
    """Guards against a failover that the log does not show, or shows more than once per VM."""
    caplog.set_level("INFO")
    fleet = Fleet({"serra": 20})
    fleet.advance(2.0)
    fleet.down.add("serra-3")
    fleet.advance(2.5)
    aggregators = [
        record.lead for record in caplog.records if record.getMessage() == "aggregator changed"
    ]
    second = fleet.nodes["serra-0"].view.aggregator(fleet.clock.now()).name
    assert aggregators.count("serra-3") == 20
    assert aggregators.count(None) == 19 and aggregators.count(second) == 19
