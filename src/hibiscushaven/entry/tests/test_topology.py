"""Tests of the choice of relays in other failure domains."""

import random
from types import SimpleNamespace

from hibiscushaven.entry.topology import Topology
from hibiscushaven.ini.fields import Endpoint

from .test_link_budgets import Clock

RELAYS = (Endpoint("10.0.0.1", 7070), Endpoint("10.0.0.2", 7070))


def test_unreachable_relay_is_skipped_for_a_short_time():
    """Guards against retrying the same dead relay until the deadline has passed."""
    clock = Clock()
    digest = SimpleNamespace(domain="b1", age_s=0.5, relays=RELAYS)
    membership = SimpleNamespace(domains={"b1": digest}, view=SimpleNamespace(entries=()))
    topology = Topology(membership, clock)
    rng = random.Random(1)
    topology.mark_unreachable(RELAYS[0])
    assert {topology.pick_relay("b1", rng) for _ in range(20)} == {RELAYS[1]}
    topology.mark_unreachable(RELAYS[1])
    assert topology.pick_relay("b1", rng) is None
    clock.seconds += 10
    assert {topology.pick_relay("b1", rng) for _ in range(20)} == set(RELAYS)
