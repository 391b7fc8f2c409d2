"""Combiners of the attributes that the entry layer adds to heartbeats and digests."""

from collections import Counter
from typing import Any

from hibiscushaven.membership import combiner
from hibiscushaven.membership.attributes import add_per_key

__all__ = ["MAX_REPORTED_VMS"]

# Bounds the size of a digest in large failure domains. VMs with old revisions come first.
MAX_REPORTED_VMS = 32


combiner("link_users", "usable")(add_per_key)


@combiner("revisions")
def combine_revisions(values: list[dict[str, dict[str, int]]]) -> dict[str, dict[str, int]]:
    """Return the document revisions in force by VM, VMs with the oldest revisions first.

    Examples
    ========

    >>> combine_revisions([{"vm-1": {"stock": 3}}, {"vm-2": {"stock": 2}}])
    {'vm-2': {'stock': 2}, 'vm-1': {'stock': 3}}

    """
    by_vm = {vm: revisions for value in values for vm, revisions in value.items()}
    oldest_first = sorted(by_vm.items(), key=lambda item: (sum(item[1].values()), item[0]))
    return dict(oldest_first[:MAX_REPORTED_VMS])


@combiner("crashes")
def combine_crashes(values: list[dict[str, dict[str, float]]]) -> dict[str, dict[str, float]]:
    """Return the quarantined fingerprints by service with the longest remaining time.

    Times are in seconds.

    Examples
    ========

    >>> combine_crashes([{"stock": {"f1": 3.0}}, {"stock": {"f1": 5.0}}])
    {'stock': {'f1': 5.0}}

    """
    combined: dict[str, dict[str, Any]] = {}
    for value in values:
        for service, fingerprints in value.items():
            longest = combined.setdefault(service, {})
            for fingerprint, remaining_s in fingerprints.items():
                longest[fingerprint] = max(remaining_s, longest.get(fingerprint, 0.0))
    return combined


@combiner("leaving")
def combine_leaving(values: list[list[str]]) -> list[str]:
    """Return the VMs that report themselves as leaving.

    Examples
    ========

    >>> combine_leaving([["vm-2"], []])
    ['vm-2']

    """
    return sorted({vm for value in values for vm in value})


@combiner("down")
def combine_down(values: list[list[str]]) -> list[str]:
    """Return the VMs that more than half of the reporting VMs consider down.

    Examples
    ========

    >>> combine_down([["vm-3"], ["vm-3", "vm-1"], []])
    ['vm-3']

    """
    counts = Counter(vm for value in values for vm in value)
    return sorted(vm for vm, count in counts.items() if 2 * count > len(values))
