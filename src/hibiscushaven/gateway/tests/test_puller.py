"""When a VM starts pulls, and what it does while they are slow."""

import asyncio

import pytest

from hibiscushaven.bench.virtual_time import run_virtual
from hibiscushaven.fleet import SyncResponse
from hibiscushaven.gateway.puller import PULL_TIMEOUT_S, USUAL_PULL_S, PeerPuller
from hibiscushaven.gateway.sync_reporter import SyncReporter
from hibiscushaven.metrics import Metrics

from .simulated_region import LoopClock


class PullerHarness:
    """A puller whose pulls take a time that is set by address."""

    def __init__(self, **durations_s):
        self.durations_s = durations_s
        self.pulls, self.responses, self.delays = [], [], []
        self.puller = PeerPuller(
            self._pull,
            LoopClock(),
            SyncReporter(Metrics()),
            lambda response, peer: self.responses.append((self._now(), peer)),
            lambda peer: self.delays.append((self._now(), peer)),
        )

    async def _pull(self, address, timeout_s):
        self.pulls.append((self._now(), address))
        async with asyncio.timeout(timeout_s):
            await asyncio.sleep(self.durations_s[address])
        return SyncResponse()

    def _now(self):
        return round(asyncio.get_running_loop().time(), 3)

    def run(self, seconds, *peers):
        """Start a pull from each of the peers each 0.1 s, as their messages arrive."""

        async def main():
            for _ in range(round(seconds / 0.1)):
                for peer in peers:
                    self.puller.start(peer, peer)
                await asyncio.sleep(0.1)
            await self.puller.close()

        run_virtual(main())


def test_slow_pull_is_not_abandoned():
    """Guards against pulls that are repeated behind the same queue and never complete."""
    harness = PullerHarness(a=1.5)
    harness.run(1.6, "a")
    assert harness.pulls[0] == (0.0, "a") and harness.responses == [(1.5, "a")]
    assert harness.delays == [(USUAL_PULL_S, "a")]


def test_another_peer_is_asked_while_a_pull_is_slow():
    """Guards against a VM that waits for a peer which has failed or is cut off."""
    harness = PullerHarness(a=10.0, b=0.05)
    harness.run(0.9, "a", "b")
    assert harness.pulls[:2] == [(0.0, "a"), (USUAL_PULL_S, "b")]
    assert harness.responses[0] == (pytest.approx(USUAL_PULL_S + 0.05), "b")


def test_usual_pull_is_the_only_one():
    """Guards against redundant pulls, which load the aggregator of a large region."""
    harness = PullerHarness(a=0.3, b=0.3)
    harness.run(0.3, "a", "b")
    assert harness.pulls == [(0.0, "a")] and harness.delays == []


def test_peer_that_never_responds_is_given_up():
    """Guards against pulls that pile up for peers which are gone."""
    harness = PullerHarness(a=100.0)
    harness.run(PULL_TIMEOUT_S + 0.2, "a")
    assert [time for time, _ in harness.pulls] == pytest.approx([0.0, PULL_TIMEOUT_S], abs=0.11)
    assert harness.delays[:2] == [(USUAL_PULL_S, "a"), (PULL_TIMEOUT_S, "a")]
