"""Answers to callers that ask where to connect."""

from hibiscushaven.fleet import FleetView

__all__ = ["ADDRESS_LIMIT", "choose_addresses"]

# Most addresses in an answer.
ADDRESS_LIMIT = 64


def choose_addresses(
    now: float,
    view: FleetView,
    own: str | None,
    region: str,
    failure_domain: str,
    home_regions: frozenset[str],
) -> list[str]:
    """Return the VMs that a caller should connect to.

    Explanation
    ===========

    All VMs of the caller's region that are up and ready, so that its load is spread over them
    and it has others when one fails. If there are none, those of the regions that may serve the
    host, else all others. If they are more than an answer may hold, those of the caller's failure
    domain come first, so that callers of all of them together reach all VMs. Callers drop
    connections to VMs that an answer no longer names, so that all VMs answer alike.

    :param own: address of this VM, if it is ready.
    :param home_regions: the only regions that may serve the host; empty if all may.
    """
    ready = [
        (state.region, state.failure_domain, state.callers_at)
        for state in view.live_peers(now)
        if state.is_ready and not state.is_leaving
    ]
    if own is not None:
        ready.append((view.region, view.failure_domain, own))
    near = [item for item in ready if item[0] == region]
    if not near:
        near = [item for item in ready if item[0] in home_regions]
    found = near or ready
    if len(found) > ADDRESS_LIMIT:
        found = sorted(found, key=lambda item: (item[1] != failure_domain, item))
    return [address for _, _, address in found[:ADDRESS_LIMIT]]
