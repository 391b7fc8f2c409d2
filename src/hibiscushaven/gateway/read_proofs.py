"""Reads of the store on which other VMs may rely."""

from dataclasses import dataclass

__all__ = ["UNKNOWN_AGE_S", "ReadProofs"]

# Age that confirms nothing: above the time since any boot, and in the range of messages.
UNKNOWN_AGE_S = 1e9


@dataclass(frozen=True, slots=True, order=True)
class _Proof:
    """A read that returned the data of a version."""

    version: int = 0
    read_at: float = -UNKNOWN_AGE_S

    def age_s(self, now: float, version: int) -> float:
        return min(now - self.read_at, UNKNOWN_AGE_S) if version == self.version else UNKNOWN_AGE_S


class ReadProofs:
    """Latest reads of one table by this VM, and by those that reported their own reads to it.

    Explanation
    ===========

    An age leaves out the time that its message takes. VMs that pass on ages which they were told
    make data look newer at each hop, and may keep confirming each other's data while nobody reads.
    A VM therefore reports its own reads only, and an aggregator also those that it heard of from
    the reader itself.

    Examples
    ========

    >>> proofs = ReadProofs()
    >>> proofs.add_reported(7, read_at=9.5)
    >>> proofs.own_age_s(10.0, version=7) == UNKNOWN_AGE_S, proofs.age_s(10.0, version=7)
    (True, 0.5)

    """

    def __init__(self) -> None:
        self._own = _Proof()
        self._latest = _Proof()

    def add_own(self, version: int, read_at: float) -> None:
        """Record that a read by this VM returned the data of a version."""
        self._own = _Proof(version, read_at)
        self.add_reported(version, read_at)

    def add_reported(self, version: int, read_at: float) -> None:
        """Record that another VM reported an own read."""
        self._latest = max(self._latest, _Proof(version, read_at))

    def own_age_s(self, now: float, version: int) -> float:
        """Return the age of this VM's last read if it returned a version."""
        return self._own.age_s(now, version)

    def age_s(self, now: float, version: int) -> float:
        """Return the age of the last known read if it returned a version."""
        return self._latest.age_s(now, version)
