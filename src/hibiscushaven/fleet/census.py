"""Number of VMs that share a limit, also while most of them cannot be heard."""

import math
from collections.abc import Iterable

__all__ = ["VmCensus"]

# Time after its last sign of life for which a VM counts. It exceeds all partitions during which
# VMs forward requests without hearing each other.
VM_LIFETIME_S = 3600.0


class VmCensus:
    """VMs that have sent a message or are listed in the store.

    Explanation
    ===========

    A VM that hears no peers is not alone: the others may forward as many requests as it does. It
    therefore counts all VMs that it has ever heard of, except those of long ago.

    Examples
    ========

    >>> census = VmCensus("vm-1")
    >>> census.count(0.0)
    inf
    >>> census.record(0.0, ["vm-1", "vm-2"])
    >>> census.count(1.0)
    2

    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._seen_at: dict[str, float] = {}

    def record(self, now: float, names: Iterable[str]) -> None:
        """Record VMs that are known to exist at this time."""
        self._seen_at.update(dict.fromkeys(names, now))

    def count(self, now: float) -> float:
        """Return the number of VMs, this one included; infinite before any is known."""
        if not self._seen_at:
            return math.inf
        for name, seen_at in list(self._seen_at.items()):
            if now - seen_at > VM_LIFETIME_S:
                del self._seen_at[name]
        return len(self._seen_at.keys() | {self._name})
