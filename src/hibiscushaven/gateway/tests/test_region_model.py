"""Model-based test of a large region: VMs fail and return at random, and datagrams are lost."""

import asyncio

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from hibiscushaven.gateway import node as node_module

from .test_large_region import Fleet

VMS = 20

# Longest time until the VMs agree after the last fault: the timeouts for the silence of the
# aggregator and of a failed VM.
CONVERGENCE_S = 3.0


class LargeRegionMachine(RuleBasedStateMachine):
    """Guards against sequences of faults after which VMs disagree on sums, peers or aggregator."""

    @initialize(seed=st.integers(0, 1000))
    def start(self, seed):
        self._loop = asyncio.new_event_loop()
        asyncio.set_event_loop(self._loop)
        self._compare_versions = node_module.GatewayNode._compare_versions
        node_module.GatewayNode._compare_versions = lambda *arguments: None
        self.fleet = Fleet({"serra": VMS}, seed=seed)
        self.fleet.advance(1.5)

    def teardown(self):
        node_module.GatewayNode._compare_versions = self._compare_versions
        self._loop.close()

    @rule(number=st.integers(0, VMS - 1), count=st.integers(0, 5))
    def change_load(self, number, count):
        if f"serra-{number}" not in self.fleet.down:
            self.fleet.set_in_progress(f"serra-{number}", count)

    @rule(numbers=st.sets(st.integers(0, VMS - 1), min_size=1, max_size=6))
    def fail_vms(self, numbers):
        self.fleet.down |= {f"serra-{number}" for number in numbers}

    @rule()
    def fail_aggregator(self):
        self.fleet.down.add("serra-3")

    @rule()
    def return_all(self):
        returned, self.fleet.down = self.fleet.down, set()
        for name in sorted(returned):
            self.fleet.nodes[name]._send_state_to_all()
        self.fleet._deliver()

    @rule(rate=st.sampled_from([0.0, 0.02, 0.05]))
    def set_loss_rate(self, rate):
        self.fleet.loss_rate = rate

    @rule(steps=st.integers(1, 40))
    def wait(self, steps):
        self.fleet.advance(0.02 * steps)

    @rule()
    def converge(self):
        self.fleet.loss_rate = 0.0
        self.fleet.advance(CONVERGENCE_S)
        assert self.fleet.reported_in_progress() == self.fleet.expected_in_progress()
        now = self.fleet.clock.now()
        aggregators = {node.view.aggregator(now).name for node in self.fleet.up().values()}
        assert len(aggregators) == 1
        up_count = len(self.fleet.up())
        assert all(
            len(node.view.live_local_peers(now)) == up_count - 1
            for node in self.fleet.up().values()
        )

    @invariant()
    def no_sum_is_negative(self):
        if hasattr(self, "fleet"):
            assert all(count >= 0 for count in self.fleet.reported_in_progress().values())


LargeRegionMachine.TestCase.settings = settings(
    max_examples=25, stateful_step_count=15, deadline=None
)
TestLargeRegion = LargeRegionMachine.TestCase
