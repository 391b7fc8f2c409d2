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
    home_regions: frozenset[str],
) -> list[str]:
    """Return the VMs that a caller should connect to.

    Explanation
    ===========

    All VMs of the caller's region that are up and ready, so that its load is spread over them
    and it has others when one fails. If there are none, those of the regions that may serve the
    host, else all others.

    :param own: address of this VM, if it is ready.
    :param home_regions: the only regions that may serve the host; empty if all may.
    """
    ready = [
        (state.region, state.callers_at)
        for state in view.up(now)
        if state.is_ready and not state.is_leaving
    ]
    if own is not None:
        ready.append((view.region, own))
    near = [address for place, address in ready if place == region]
    if not near:
        near = [address for place, address in ready if place in home_regions]
    return (near or [address for _, address in ready])[:ADDRESS_LIMIT]
