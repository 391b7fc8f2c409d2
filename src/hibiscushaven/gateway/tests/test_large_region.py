"""VMs of a region that is too large for all to tell each other directly."""

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
STEP_S = 0.02


class FakeLink:
    def __init__(self, fleet):
        self._fleet = fleet

    def send(self, datagram, address):
        self._fleet.sent += 1
        if self._fleet.random.random() >= self._fleet.loss:
            self._fleet.queue.append((datagram, address))

    def close(self):
        pass


class Fleet:
    """Nodes that exchange datagrams on a virtual clock.

    :ivar loss: part of the datagrams that are lost.
    :ivar down: names of VMs that neither send nor hear.
    """

    def __init__(self, sizes, seed=1):
        self.clock = VirtualClock()
        self.random = random.Random(seed)
        self.queue, self.sent, self.loss = [], 0, 0.0
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
        at = Endpoint("10.0.0.1", 1000 + len(self.nodes))
        # One of them has more processor than the others and leads.
        capacity = 2.0 if name.endswith("-3") else 0.5
        options = GatewayOptions(
            name, region, f"{region}-a", REGIONS, at, at, at, at, capacity=capacity
        )
        node = GatewayNode(options, FakeStore(), self.clock, lambda operator: None, dict)
        node._link = FakeLink(self)
        self.nodes[name] = node

    def up(self):
        return {name: node for name, node in self.nodes.items() if name not in self.down}

    def play(self, seconds):
        """Let time pass; each node steps each 0.2 s, and sends digests each 0.1 s."""
        for _ in range(round(seconds / STEP_S)):
            self.clock.time += STEP_S
            now = self.clock.now()
            for name, node in self.up().items():
                offset = list(self.nodes).index(name) * 0.013
                if (now + offset) % 0.2 < STEP_S:
                    node._step(now)
                if (now + offset) % 0.1 < STEP_S:
                    node._send_near_digest(now)
            self._deliver()

    def _deliver(self):
        at = {str(node._options.peers_at): name for name, node in self.nodes.items()}
        while self.queue:
            datagram, address = self.queue.pop(0)
            name = at[address]
            if name not in self.down:
                self.nodes[name]._on_message(decode(datagram))

    def begin(self, name, count):
        """Let a VM have so many requests in progress on the server."""
        node = self.nodes[name]
        node.loads.of("s1").start_times.clear()
        for number in range(count):
            node.loads.of("s1").start_times[number] = self.clock.now()
        node._send_state()
        self._deliver()

    def seen(self):
        return {name: node.view.in_progress(TOKEN) for name, node in self.up().items()}

    def others(self):
        """Return what each VM should see."""
        own = {name: node.loads.of("s1").in_progress for name, node in self.up().items()}
        return {name: sum(own.values()) - own[name] for name in own}


@pytest.fixture(autouse=True)
def in_loop(monkeypatch):
    monkeypatch.setattr(node_module.GatewayNode, "_compare", lambda *arguments: None)
    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    yield
    loop.close()


def test_all_know_the_sums_and_tell_only_the_lead():
    fleet = Fleet({"serra": 20})
    fleet.play(2.0)
    for number in range(20):
        fleet.begin(f"serra-{number}", number)
    fleet.play(0.3)
    assert fleet.seen() == fleet.others()
    fleet.sent = 0
    fleet.play(2.0)
    # 19 states each 0.2 s to the lead and 19 digests each 0.1 s from it; all to all would be
    # 380 each 0.2 s.
    assert fleet.sent <= 2.0 * 19 * (5 + 10) * 1.2
    assert all(len(node.view.near(fleet.clock.now())) == 19 for node in fleet.nodes.values())


def test_sums_hold_while_states_change_between_digests():
    fleet = Fleet({"serra": 20})
    fleet.play(2.0)
    for round_number in range(30):
        name = f"serra-{fleet.random.randrange(20)}"
        fleet.begin(name, fleet.random.randrange(5))
        fleet.play(0.02 if round_number % 3 else 0.1)
    fleet.play(0.3)
    assert fleet.seen() == fleet.others()


def test_lead_that_dies_is_replaced_within_two_seconds():
    fleet = Fleet({"serra": 20})
    fleet.play(2.0)
    for number in range(20):
        fleet.begin(f"serra-{number}", 2)
    fleet.play(0.5)
    fleet.down.add("serra-3")
    fleet.play(0.7)
    # The VMs tell each other directly by now, though the dead one may still count.
    assert all(seen >= 36 for seen in fleet.seen().values())
    fleet.play(1.3)
    assert fleet.seen() == fleet.others()
    fleet.sent = 0
    fleet.play(1.0)
    assert fleet.sent <= 18 * (5 + 10) * 1.5
    fleet.down.clear()
    fleet.nodes["serra-3"]._send_state(is_far=True)
    fleet.play(1.5)
    assert fleet.seen() == fleet.others()


def test_lost_datagrams_do_no_lasting_harm():
    fleet = Fleet({"serra": 20}, seed=7)
    fleet.play(1.0)
    # Twice what links of the deployments lose at their worst.
    fleet.loss = 0.05
    for _ in range(40):
        fleet.begin(f"serra-{fleet.random.randrange(20)}", fleet.random.randrange(5))
        fleet.play(0.06)
        assert all(len(node.view.near(fleet.clock.now())) >= 18 for node in fleet.nodes.values())
    fleet.loss = 0.0
    fleet.play(0.5)
    assert fleet.seen() == fleet.others()


def test_vm_that_does_not_hear_the_lead_tells_all():
    fleet = Fleet({"serra": 20})
    fleet.play(2.0)
    lead = fleet.nodes["serra-3"]
    lead._send_near = lambda datagram: [
        lead._link.send(datagram, state.peers_at)
        for state in lead.view.known()
        if state.name != "serra-5"
    ]
    fleet.play(0.6)
    fleet.begin("serra-5", 4)
    fleet.begin("serra-6", 1)
    fleet.play(0.5)
    assert fleet.seen() == fleet.others()


def test_regions_tell_each_other_through_their_leads():
    fleet = Fleet({"serra": 20, "vale": 18})
    fleet.play(2.0)
    fleet.begin("vale-1", 5)
    fleet.begin("vale-2", 1)
    fleet.play(0.6)
    assert fleet.seen() == fleet.others()
    now = fleet.clock.now()
    assert all(len(node.view.up(now)) == 37 for node in fleet.nodes.values())
    fleet.sent = 0
    fleet.play(2.0)
    # States to the lead, digests from it, and those of the other region that it passes on.
    assert fleet.sent <= 2.0 * (19 + 17) * (5 + 10 + 5) * 1.2
    fleet.down.add("vale-3")
    fleet.play(2.0)
    assert fleet.seen() == fleet.others()


def test_small_regions_tell_each_other_directly():
    fleet = Fleet({"serra": 8, "vale": 8})
    fleet.play(1.0)
    fleet.begin("serra-1", 3)
    assert [fleet.nodes[f"serra-{n}"].view.in_progress(TOKEN) for n in (0, 1, 7)] == [3, 0, 3]
    fleet.play(0.3)
    assert fleet.seen() == fleet.others()
    assert all(node.view.told.digest is None for node in fleet.nodes.values())


def test_leaving_lead_is_followed_by_the_next():
    fleet = Fleet({"serra": 20})
    fleet.play(2.0)
    fleet.nodes["serra-3"].leave()
    fleet.play(0.6)
    fleet.begin("serra-3", 1)
    fleet.begin("serra-4", 2)
    fleet.play(0.5)
    assert fleet.seen() == fleet.others()


@pytest.mark.parametrize("sizes", [{"serra": 20, "vale": 5}, {"serra": 5, "vale": 20}])
def test_large_and_small_regions_tell_each_other(sizes):
    fleet = Fleet(sizes)
    fleet.play(2.0)
    for number in range(5):
        fleet.begin(f"serra-{number}", 1)
        fleet.begin(f"vale-{number}", 2)
    fleet.play(0.6)
    assert fleet.seen() == fleet.others()
    fleet.play(12.0)
    now = fleet.clock.now()
    assert all(len(node.view.up(now)) == 24 for node in fleet.nodes.values())


def test_lead_with_a_small_link_sums_up_less_often():
    fleet = Fleet({"serra": 20})
    fleet.play(2.0)
    lead = fleet.nodes["serra-3"]
    often = lead._digest_interval_s()
    lead._options = replace(lead._options, link_mbps=0.5)
    assert lead._digest_interval_s() > 2 * often
    fleet.play(1.0)
    assert all(
        node.view.is_told(fleet.clock.now() + 3 * lead._digest_interval_s() - 0.2)
        for name, node in fleet.nodes.items()
        if name != "serra-3"
    )


def test_change_of_the_lead_is_logged(caplog):
    caplog.set_level("INFO")
    fleet = Fleet({"serra": 20})
    fleet.play(2.0)
    fleet.down.add("serra-3")
    fleet.play(2.5)
    leads = [record.lead for record in caplog.records if record.getMessage() == "lead changed"]
    second = fleet.nodes["serra-0"].view.lead(fleet.clock.now()).name
    assert leads.count("serra-3") == 20
    assert leads.count(None) == 19 and leads.count(second) == 19
