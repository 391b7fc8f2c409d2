"""Spreading of findings between VMs, and datagrams that are corrupted on the way."""

import contextlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hibiscushaven.fleet import CrashReport, MessageError, RateLimitReport
from hibiscushaven.fleet.messages import decode, encode
from hibiscushaven.gateway.gossip import FANOUT, ROUNDS, Gossip
from hibiscushaven.process.tests.support import VirtualClock

from .support import make_node

REPORTS = (
    CrashReport({"f": [("s1/1", 0.5, 0.25), ("s2/1", 0.5, 0.0)]}, {"g": 1.0}),
    RateLimitReport({"s1/1": 6.9, "s2/1": -1.0}, {"s1/1": 0.5, "s2/1": 0.0}),
)


class Peers:
    """View of one VM with a number of live peers."""

    def __init__(self, count, name="vm-0"):
        self.name = name
        names = [f"vm-{number}" for number in range(count + 1)]
        self._states = [make_node(other)._state() for other in names if other != name]

    def live_peers(self, now):
        return self._states


class Fixture:
    """Gossip of one VM, with the addresses to which it has sent."""

    def __init__(self, count, name="vm-0"):
        self.clock, self.sent, self.datagram = VirtualClock(), [], b"finding"
        self.gossip = Gossip(
            Peers(count, name),
            self.clock,
            lambda: self.datagram,
            lambda data, peer: self.sent.append(data),
        )

    def step(self, count, interval_s=0.2):
        for _ in range(count):
            self.clock.time += interval_s
            self.gossip.step()


def test_finding_is_passed_on_in_a_bounded_number_of_messages():
    """Guards against messages whose number grows with the number of VMs."""
    fixture = Fixture(139)
    fixture.gossip.share_now()
    assert len(fixture.sent) == FANOUT
    fixture.step(ROUNDS)
    assert len(fixture.sent) == FANOUT * (1 + ROUNDS)
    fixture.step(50)
    assert len(fixture.sent) <= FANOUT * (1 + ROUNDS) + 11


def test_many_findings_at_once_share_messages():
    """Guards against a burst of datagrams when many servers crash."""
    fixture = Fixture(139)
    for _ in range(500):
        fixture.clock.time += 0.001
        fixture.gossip.share_now()
    assert len(fixture.sent) <= FANOUT * (0.5 / 0.05 + 1)


def test_vm_without_findings_sends_nothing():
    """Guards against traffic on days on which nothing happens."""
    fixture = Fixture(10)
    fixture.datagram = None
    fixture.gossip.on_vm_up("vm-1", "10.0.0.1:1")
    fixture.step(100)
    assert fixture.sent == []


@pytest.mark.parametrize("number", range(20))
def test_vm_that_starts_is_told_by_a_few_vms(number):
    """Guards against a VM that by chance nobody tells which requests crash servers."""
    fixtures = [Fixture(19, f"vm-{other}") for other in range(20) if other != number]
    for fixture in fixtures:
        fixture.gossip.on_vm_up(f"vm-{number}", "10.0.0.1:1")
    assert sum(len(fixture.sent) for fixture in fixtures) == FANOUT


@pytest.mark.parametrize("report", REPORTS)
def test_report_is_unchanged_by_encoding_and_decoding(report):
    """Guards against findings that another VM understands differently."""
    decoded = decode(encode(report))
    assert type(decoded) is type(report)
    if isinstance(report, CrashReport):
        assert [tuple(item) for item in decoded.crashes["f"]] == list(report.crashes["f"])
    else:
        assert decoded.per_s == pytest.approx(dict(report.per_s))


@given(st.sampled_from(REPORTS), st.integers(0, 120), st.integers(0, 255))
def test_corrupted_report_breaks_no_vm(report, offset, byte):
    """Guards against a datagram that stops a VM or its decisions."""
    datagram = bytearray(encode(report))
    datagram[offset % len(datagram)] = byte
    node = make_node()
    with contextlib.suppress(MessageError):
        node._on_message(decode(bytes(datagram)))
    assert node.picker.rate_limits.limit_of("s9/1") is None
    for gossip in node._gossips():
        gossip.step()
