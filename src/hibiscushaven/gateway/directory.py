"""Choice of the VMs whose addresses the directory returns to a caller."""

from hibiscushaven.fleet import FleetView

__all__ = ["MAX_ADDRESSES", "MIN_LINKED_FRACTION", "choose_addresses"]

# Upper limit of the addresses in a response of the directory.
MAX_ADDRESSES = 64

# Fraction of the VMs of a region that must reach the backend servers for the others to be left out.
# Fewer could not bear the connections of all callers.
MIN_LINKED_FRACTION = 0.25


def choose_addresses(
    now: float,
    view: FleetView,
    own: str | None,
    region: str,
    failure_domain: str,
    home_regions: frozenset[str],
) -> list[str]:
    """Return the addresses of the VMs that a caller should connect to.

    Explanation
    ===========

    The response names all VMs of the caller's region that are up and ready, so that the caller
    spreads its load over them and can use another one when one fails. If there are none, it
    names those of the home regions of the host, and if there are none of these, all others. VMs
    that reach no backend server only relay requests, and are left out while enough others are up.

    If there are more VMs than a response may hold, those of the caller's failure domain come
    first, so that the callers of all failure domains together reach all VMs. The order does not
    depend on which VM responds: callers close connections to VMs that a response no longer
    names, so that responses which differ would make them reconnect.

    :param own: address of this VM, if it is ready.
    :param region: region of the caller.
    :param failure_domain: failure domain of the caller.
    :param home_regions: the only regions that may serve the host; empty if all may.
    """
    ready = [
        (state.region, state.failure_domain, state.callers_at)
        for state in view.live_peers(now)
        if state.is_ready and not state.is_leaving
    ]
    isolated = {
        state.callers_at for state in view.live_peers(now) if view.isolation.is_isolated(state.name)
    }
    if own is not None:
        ready.append((view.region, view.failure_domain, own))
        if view.isolation.is_isolated(view.name):
            isolated.add(own)
    preferred = [candidate for candidate in ready if candidate[0] == region]
    if not preferred:
        preferred = [candidate for candidate in ready if candidate[0] in home_regions]
    chosen = preferred or ready
    linked = [candidate for candidate in chosen if candidate[2] not in isolated]
    if len(linked) >= MIN_LINKED_FRACTION * len(chosen):
        chosen = linked
    if len(chosen) > MAX_ADDRESSES:
        chosen = sorted(chosen, key=lambda candidate: (candidate[1] != failure_domain, candidate))
    return [address for _, _, address in chosen[:MAX_ADDRESSES]]
