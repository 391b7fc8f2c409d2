"""How often the lead of a large region tells its VMs the sums."""

__all__ = ["digest_interval_s"]

# Least time between two digests, as short as that between two states of a VM in a small region.
LEAST_S = 0.04

# The time grows with the VMs, so that the lead sends 500 datagrams a second at most.
PER_VM_S = 0.002

# Part of the lead's link that digests may take; the rest is for callers and their answers.
LINK_PART = 0.2

# Longest time: sums that are older than the work of a request say nothing.
LONGEST_S = 0.5

_BITS = 8 * 1e-6


def digest_interval_s(vms: int, digest_bytes: int, link_mbps: float) -> float:
    """Return the time between two digests, in seconds.

    :param vms: VMs that get each digest.
    :param digest_bytes: size of one.
    :param link_mbps: link of the VM that sends them, in Mbit/s.

    Examples
    ========

    >>> round(digest_interval_s(46, 1500, link_mbps=200.0), 3)
    0.092
    >>> round(digest_interval_s(46, 1500, link_mbps=10.0), 3)
    0.276

    """
    by_link_s = vms * digest_bytes * _BITS / (LINK_PART * link_mbps)
    return min(LONGEST_S, max(LEAST_S, PER_VM_S * vms, by_link_s))
