"""Gateways to other failure domains."""

import random
from types import SimpleNamespace

from hibiscushaven.entry.neighbours import Neighbours
from hibiscushaven.ini.fields import Endpoint

from .test_link_desk import Clock

RELAYS = (Endpoint("10.0.0.1", 7070), Endpoint("10.0.0.2", 7070))


def test_unreachable_gateway_is_left_out_for_a_moment():
    """Guards against waiting for the same dead gateway until the deadline has passed."""
    clock = Clock()
    digest = SimpleNamespace(domain="b1", age_s=0.5, relays=RELAYS)
    membership = SimpleNamespace(domains={"b1": digest}, view=SimpleNamespace(entries=()))
    neighbours = Neighbours(membership, clock)
    rng = random.Random(1)
    neighbours.note_unreachable(RELAYS[0])
    assert {neighbours.gateway("b1", rng) for _ in range(20)} == {RELAYS[1]}
    neighbours.note_unreachable(RELAYS[1])
    assert neighbours.gateway("b1", rng) is None
    clock.seconds += 10
    assert {neighbours.gateway("b1", rng) for _ in range(20)} == set(RELAYS)
