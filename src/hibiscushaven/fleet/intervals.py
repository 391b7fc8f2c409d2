"""Interval at which the aggregator of a large region sends digests to its VMs."""

__all__ = ["digest_interval_s"]

# Matches the shortest interval between two states of a VM in a small region.
MIN_INTERVAL_S = 0.04

# Grows with the number of VMs, so that the aggregator sends at most 500 datagrams a second.
INTERVAL_PER_VM_S = 0.002

# Fraction of the aggregator's link that digests may use; the rest carries requests and responses.
MAX_LINK_FRACTION = 0.2

# Sums that are older than the duration of a request are useless.
MAX_INTERVAL_S = 0.5

_MBIT_PER_BYTE = 8 * 1e-6


def digest_interval_s(vms: int, digest_bytes: int, link_mbps: float) -> float:
    """Return the interval between two digests, in seconds.

    :param vms: number of VMs that receive each digest.
    :param digest_bytes: size of one digest.
    :param link_mbps: link bandwidth of the VM that sends them, in Mbit/s.

    Examples
    ========

    >>> round(digest_interval_s(46, 1500, link_mbps=200.0), 3)
    0.092
    >>> round(digest_interval_s(46, 1500, link_mbps=10.0), 3)
    0.276

    """
    min_by_link_s = vms * digest_bytes * _MBIT_PER_BYTE / (MAX_LINK_FRACTION * link_mbps)
    return min(MAX_INTERVAL_S, max(MIN_INTERVAL_S, INTERVAL_PER_VM_S * vms, min_by_link_s))
