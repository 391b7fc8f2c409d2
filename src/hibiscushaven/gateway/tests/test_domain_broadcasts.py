"""Datagrams that reach the VMs of another failure domain through one of them."""

import pytest

from hibiscushaven.fleet import (
    CrashReport,
    DomainBroadcast,
    FleetView,
    ForwarderReport,
    MessageError,
    RegionDigest,
    VmState,
)
from hibiscushaven.fleet.messages import decode, encode
from hibiscushaven.gateway.domain_broadcasts import REPORT_INTERVAL_S, DomainBroadcasts
from hibiscushaven.process.tests.support import VirtualClock

DOMAINS = {"serra-a": 7, "serra-b": 4}
CALLERS_AT = "10.0.0.1:80"


def address_of(name):
    """Return the address for messages of a VM, by its failure domain and number."""
    domain, _, number = name.rpartition("-")
    return f"10.0.{list(DOMAINS).index(domain)}.{number}:7000"


class Vm:
    """One VM with its broadcasts; a silent one is down."""

    def __init__(self, network, number, domain):
        self.network, self.domain, self.received = network, domain, []
        self.name = f"{domain}-{number}"
        self.address = address_of(self.name)
        self.view = FleetView(self.name, "serra", domain)
        self.is_silent = False
        self.broadcasts = DomainBroadcasts(
            self.view, 1, network.clock, self._on_message, self._send
        )

    def state(self, sequence):
        return VmState(self.name, 1, sequence, "serra", self.domain, CALLERS_AT, self.address)

    def receive(self, datagram):
        if self.is_silent:
            return
        message = decode(datagram)
        if isinstance(message, DomainBroadcast):
            self.broadcasts.on_broadcast(message)
        elif isinstance(message, ForwarderReport):
            self.broadcasts.on_report(message)
        else:
            self._on_message(message)

    def _on_message(self, message):
        self.received.append(message)
        if isinstance(message, VmState):
            self.view.on_state(self.network.clock.now(), message)

    def _send(self, datagram, address):
        self.network.send(datagram, self.name, self.network.names[address])


class Network:
    """VMs of two failure domains that know each other.

    :ivar crossings: datagrams between the failure domains as sender and recipient.
    """

    def __init__(self, old=()):
        self.clock, self.crossings = VirtualClock(), []
        vms = [Vm(self, n, domain) for domain, count in DOMAINS.items() for n in range(count)]
        self.vms = {vm.name: vm for vm in vms}
        self.names = {vm.address: vm.name for vm in vms}
        for vm in vms:
            for other in vms:
                other.view.on_state(self.clock.now(), vm.state(1))
        for vm in vms:
            if vm.name not in old:
                vm.broadcasts.step()
        self.crossings.clear()
        self.sequence = 1

    def send(self, datagram, sender, recipient):
        if self.vms[sender].domain != self.vms[recipient].domain:
            self.crossings.append((sender, recipient))
        self.vms[recipient].receive(datagram)

    def publish(self, name):
        """Let a VM send its next state to all others; return the names that received it."""
        vm = self.vms[name]
        self.sequence += 1
        state = vm.state(self.sequence)
        vm.broadcasts.send(encode(state), vm.view.known_local_peers())
        return {other.name for other in self.vms.values() if state in other.received}


def test_state_crosses_to_another_failure_domain_once():
    """Guards against copies of each state for each VM of the other failure domain."""
    network = Network()
    for name in network.vms:
        network.crossings.clear()
        assert network.publish(name) == set(network.vms) - {name}
        assert len(network.crossings) == 1


def test_vms_forward_in_turn():
    """Guards against one VM that forwards everything."""
    network = Network()
    for _ in range(8):
        network.publish("serra-a-0")
    forwarders = [recipient for _, recipient in network.crossings]
    assert sorted(forwarders) == sorted(2 * [f"serra-b-{number}" for number in range(4)])


def test_failed_forwarder_costs_a_part_of_the_states_until_it_is_noticed():
    """Guards against a failure domain that hears nothing after one of its VMs has failed."""
    network = Network()
    network.vms["serra-b-1"].is_silent = True
    reached = [network.publish("serra-a-0") for _ in range(8)]
    assert sum("serra-b-2" in names for names in reached) == 6
    network.clock.time += 1.0
    for name in ("serra-b-0", "serra-b-2", "serra-b-3"):
        network.publish(name)
    assert all("serra-b-2" in network.publish("serra-a-0") for _ in range(8))


def test_vms_of_older_builds_are_sent_to_and_do_not_forward():
    """Guards against states that end at a VM which does not know how to forward them."""
    old = {"serra-b-0", "serra-b-1", "serra-b-2"}
    network = Network(old)
    assert network.publish("serra-a-0") == set(network.vms) - {"serra-a-0"}
    assert network.crossings == [("serra-a-0", "serra-b-3")]
    network = Network({*old, "serra-b-3"})
    assert network.publish("serra-a-0") == set(network.vms) - {"serra-a-0"}
    assert len(network.crossings) == 4


def test_restarted_vm_forwards_only_once_it_has_said_so():
    """Guards against a VM that comes back as an older build and drops what it should forward."""
    network = Network()
    sender = network.vms["serra-a-0"]
    for number in range(4):
        name = f"serra-b-{number}"
        restarted = VmState(name, 2, 1, "serra", "serra-b", CALLERS_AT, address_of(name))
        sender.view.on_state(network.clock.now(), restarted)
    network.publish("serra-a-0")
    assert len(network.crossings) == 4


def test_digest_for_another_region_goes_to_one_vm_of_each_failure_domain():
    """Guards against copies of a digest for each VM of another region."""
    network = Network()
    remote = FleetView("vale-0", "vale", "vale-a")
    sent = []
    broadcasts = DomainBroadcasts(
        remote, 1, network.clock, lambda message: None, lambda data, peer: sent.append((data, peer))
    )
    for name, vm in network.vms.items():
        remote.on_state(network.clock.now(), vm.state(2))
        broadcasts.on_report(ForwarderReport(name, 1))
    recipients = remote.remote_digest_recipients(network.clock.now())
    digest = RegionDigest("vale", "vale-0", 1, 1, {7: 2})
    broadcasts.send(encode(digest), recipients)
    assert len(sent) == len(DOMAINS)
    for datagram, recipient in sent:
        network.vms[network.names[recipient]].receive(datagram)
    assert all(vm.received[-1] == digest for vm in network.vms.values())


def test_datagram_for_some_vms_of_a_failure_domain_goes_to_these_alone():
    """Guards against a message for two VMs of a large region that reaches all of them."""
    network = Network()
    sender = network.vms["serra-a-0"]
    some = [state for state in sender.view.known_local_peers() if state.name.startswith("serra-b")]
    sender.broadcasts.send(encode(sender.state(2)), some[:2])
    assert [recipient for _, recipient in network.crossings] == [s.name for s in some[:2]]


def test_forwarders_report_themselves_from_time_to_time():
    """Guards against a VM that missed the report of another one and never learns of it."""
    network = Network()
    network.clock.time += REPORT_INTERVAL_S
    network.vms["serra-b-0"].broadcasts.step()
    network.vms["serra-b-0"].broadcasts.step()
    assert len(network.crossings) == DOMAINS["serra-a"]


@pytest.mark.parametrize(
    "datagram",
    [b"", b"\x93", encode(CrashReport()), encode(DomainBroadcast(encode(CrashReport())))],
)
def test_broadcast_of_anything_but_states_and_digests_is_dropped(datagram):
    """Guards against datagrams that circulate, or stop a VM."""
    network = Network()
    vm = network.vms["serra-b-0"]
    vm.broadcasts.on_broadcast(DomainBroadcast(datagram))
    assert vm.received == [] and network.crossings == []


def test_broadcast_with_a_text_is_malformed():
    datagram = encode(DomainBroadcast(b"x")).replace(b"\xc4\x01x", b"\xa1x")
    with pytest.raises(MessageError):
        decode(datagram)
