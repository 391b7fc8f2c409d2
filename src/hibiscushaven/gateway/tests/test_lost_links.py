"""VMs that lose their links to all backend servers, while callers, store and peers reach them."""

import asyncio
from collections import Counter
from dataclasses import dataclass

import pytest

from hibiscushaven.fleet import LinkStatement
from hibiscushaven.routing import RequestKind

from .simulated_backends import Cut, SimulatedBackends, SimulatedTraffic
from .simulated_region import LoopClock, SimulatedRegion
from .test_crashing_request import ADOPTION_S, SERVERS, SIZES

ARRIVALS_PER_S = 200.0

# Time after the loss from which requests count.
STABLE_S = 3.0

DURATION_S = 5.0

# Fractions of the rule on VMs without links: first tries served relative to those at the other VMs,
# and first tries that may fail, besides a fixed number.
MIN_SERVED_RATIO = 2 / 3
MAX_FAILED_FRACTION = 1 / 50
MAX_FAILED = 10


@dataclass(frozen=True)
class Results:
    """Number of requests by whether their VM was cut off, and whether they were served."""

    counts: Counter

    @classmethod
    def of(cls, responses, cuts, counted_from):
        """Return the results of the requests that arrived from a time on."""
        return cls(
            Counter(
                (item.vm in cuts, item.status == 200)
                for item in responses
                if item.arrived_at >= counted_from
            )
        )

    def keeps_rule(self):
        """Return whether VMs without links served enough, relative to the others or at all."""
        is_served = self.served_fraction(True) >= MIN_SERVED_RATIO * self.served_fraction(False)
        return is_served or self.failed(True) <= MAX_FAILED + MAX_FAILED_FRACTION * self.count

    @property
    def count(self):
        return self.counts.total()

    def failed(self, is_cut):
        return self.counts[is_cut, False]

    def served_fraction(self, is_cut):
        served = self.counts[is_cut, True]
        total = served + self.failed(is_cut)
        return served / total if total else 1.0


def play(cut, seed=1, kind=RequestKind.SAFE, crashing_interval_s=float("inf")):
    """Let every second VM lose its links.

    :returns: results of the requests that count, and ids of misreported requests.
    """

    async def scenario(region):
        backends = SimulatedBackends(region, SERVERS)
        traffic = SimulatedTraffic(region, backends, kind, seed)
        await asyncio.sleep(ADOPTION_S)
        await traffic.run(STABLE_S, arrivals_per_s=ARRIVALS_PER_S)
        for name in list(region.nodes)[::2]:
            backends.cut(name, cut)
        counted_from = LoopClock().now() + STABLE_S
        await traffic.run(STABLE_S + DURATION_S, crashing_interval_s, ARRIVALS_PER_S)
        results = Results.of(traffic.responses, backends.cuts, counted_from)
        return results, traffic.misreported_requests()

    return SimulatedRegion.run(SIZES, scenario)


@pytest.mark.parametrize("kind", list(Cut))
def test_vms_without_links_to_the_servers_serve_their_callers(kind):
    """Guards against VMs without links that refuse requests which other VMs could serve."""
    results, _ = play(kind)
    assert results.served_fraction(True) >= MIN_SERVED_RATIO * results.served_fraction(False)
    assert results.failed(True) <= MAX_FAILED + MAX_FAILED_FRACTION * results.count
    assert results.served_fraction(False) >= 0.9


@pytest.mark.parametrize("cut", Cut)
def test_vms_without_links_misreport_no_unsafe_request(cut):
    """Guards against requests that run twice, or run and are refused as not run, when relayed."""
    _, misreported = play(cut, 2, RequestKind.UNSAFE, crashing_interval_s=0.5)
    assert misreported == []


def test_vms_know_each_others_lost_links_until_they_are_back():
    """Guards against VMs that are left out for good, and against duties given to isolated ones."""

    async def scenario(region):
        traffic = SimulatedTraffic(region, SimulatedBackends(region, SERVERS))
        backends = traffic.backends
        await asyncio.sleep(ADOPTION_S)
        await traffic.run(1.0, arrivals_per_s=ARRIVALS_PER_S)
        cut = sorted(region.nodes)[::2]
        for name in cut:
            backends.cut(name, Cut.HANG)
        await traffic.run(STABLE_S, arrivals_per_s=ARRIVALS_PER_S)
        during = [isolated_vms(node, region) for node in region.nodes.values()]
        duties = {
            name
            for node in region.nodes.values()
            for name in node.view.responsible_vms(LoopClock().now(), "serra-a-1", 4)
        }
        backends.cuts.clear()
        await asyncio.sleep(STABLE_S)
        after = [isolated_vms(node, region) for node in region.nodes.values()]
        return cut, during, duties, after

    cut, during, duties, after = SimulatedRegion.run(SIZES, scenario)
    assert all(names == cut for names in during)
    assert not duties & set(cut)
    assert all(names == [] for names in after)


def isolated_vms(node, region):
    """Return the VMs that a node knows to be isolated."""
    return [name for name in sorted(region.nodes) if node.view.isolation.is_isolated(name)]


def test_vm_that_restarts_corrects_what_others_know_of_its_links():
    """Guards against a VM that is left out since it was isolated before its restart."""

    async def scenario(region):
        first, second = list(region.nodes.values())[:2]
        name = first.view.name
        second.view.isolation.update(name, LinkStatement(True, LoopClock().now() - 1.0))
        second.isolation_exchange.gossip.share_now()
        await asyncio.sleep(STABLE_S)
        return [node.view.isolation.is_isolated(name) for node in region.nodes.values()]

    assert not any(SimulatedRegion.run(SIZES, scenario))


def test_links_that_fail_for_a_moment_are_known_to_be_back():
    """Guards against a VM that is left out since its statements follow each other closely."""

    async def scenario(region):
        node = next(iter(region.nodes.values()))
        for is_isolated in (True, False, True, False):
            node.isolation_exchange.state_own(is_isolated)
            assert node.view.isolation.is_isolated(node.view.name) is is_isolated
            await asyncio.sleep(0.02)
        await asyncio.sleep(STABLE_S)
        return [other.view.isolation.is_isolated(node.view.name) for other in region.nodes.values()]

    assert not any(SimulatedRegion.run(SIZES, scenario))
