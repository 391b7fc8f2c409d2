"""Choice of the VMs to which an isolated VM relays a request."""

import random

from hibiscushaven.fleet import FleetView
from hibiscushaven.ini.fields import Endpoint

from .directory import MIN_LINKED_FRACTION
from .options import relay_endpoint

__all__ = ["choose_relay_peers"]


def choose_relay_peers(now: float, view: FleetView, home_regions: frozenset[str]) -> list[Endpoint]:
    """Return where a request can be relayed, in the order in which to try.

    Explanation
    ===========

    VMs of the own region come first, in random order. If only a small part of them reaches the
    backend servers, or the region is no home of the request, VMs of other regions follow.

    :param home_regions: the only regions that may receive the request; empty if all may.
    """
    peers = [
        state
        for state in view.live_peers(now)
        if state.is_ready
        and not state.is_leaving
        and (not home_regions or state.region in home_regions)
    ]
    random.shuffle(peers)
    linked = [state for state in peers if not view.isolation.is_isolated(state.name)]
    chosen = [state for state in linked if state.region == view.region]
    local_count = sum(state.region == view.region for state in peers)
    if not chosen or len(chosen) < MIN_LINKED_FRACTION * local_count:
        chosen += [state for state in linked if state.region != view.region]
    return [relay_endpoint(state.peers_at) for state in chosen]
