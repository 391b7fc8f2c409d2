"""Random courses of a large region: VMs die, return, leave, and lose datagrams."""

import asyncio

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from hibiscushaven.gateway import node as node_module

from .test_large_region import Fleet

VMS = 20

# Longest time to agree again after the last fault: silence of the lead, and of a dead VM.
SETTLE_S = 3.0


class LargeRegion(RuleBasedStateMachine):
    """Whatever happened, all VMs that are up know the same sums soon after."""

    @initialize(seed=st.integers(0, 1000))
    def start(self, seed):
        self._loop = asyncio.new_event_loop()
        asyncio.set_event_loop(self._loop)
        self._compare = node_module.GatewayNode._compare
        node_module.GatewayNode._compare = lambda *arguments: None
        self.fleet = Fleet({"serra": VMS}, seed=seed)
        self.fleet.play(1.5)

    def teardown(self):
        node_module.GatewayNode._compare = self._compare
        self._loop.close()

    @rule(number=st.integers(0, VMS - 1), count=st.integers(0, 5))
    def change_load(self, number, count):
        if f"serra-{number}" not in self.fleet.down:
            self.fleet.begin(f"serra-{number}", count)

    @rule(numbers=st.sets(st.integers(0, VMS - 1), min_size=1, max_size=6))
    def lose(self, numbers):
        self.fleet.down |= {f"serra-{number}" for number in numbers}

    @rule()
    def lose_lead(self):
        self.fleet.down.add("serra-3")

    @rule()
    def return_all(self):
        returned, self.fleet.down = self.fleet.down, set()
        for name in sorted(returned):
            self.fleet.nodes[name]._send_state(is_far=True)
        self.fleet._deliver()

    @rule(part=st.sampled_from([0.0, 0.02, 0.05]))
    def lose_datagrams(self, part):
        self.fleet.loss = part

    @rule(steps=st.integers(1, 40))
    def wait(self, steps):
        self.fleet.play(0.02 * steps)

    @rule()
    def settle(self):
        self.fleet.loss = 0.0
        self.fleet.play(SETTLE_S)
        assert self.fleet.seen() == self.fleet.others()
        now = self.fleet.clock.now()
        leads = {node.view.aggregator(now).name for node in self.fleet.up().values()}
        assert len(leads) == 1
        up = len(self.fleet.up())
        assert all(
            len(node.view.live_local_peers(now)) == up - 1 for node in self.fleet.up().values()
        )

    @invariant()
    def no_sum_is_negative(self):
        if hasattr(self, "fleet"):
            assert all(count >= 0 for count in self.fleet.seen().values())


LargeRegion.TestCase.settings = settings(max_examples=25, stateful_step_count=15, deadline=None)
TestLargeRegion = LargeRegion.TestCase
