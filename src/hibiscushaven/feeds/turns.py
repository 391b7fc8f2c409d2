"""Which VM reads the platform's store, and when."""

from dataclasses import dataclass

__all__ = ["RANK_STEP_S", "READ_INTERVAL_S", "ReadingTurn"]

# Backend servers leave within 2.5 s of their notice at the latest; a read each half second
# leaves time for one failed read and for the way to the other VMs.
READ_INTERVAL_S = 0.5

# Each further VM waits so much longer than the one before, so that one of them reads when
# the first one does not.
RANK_STEP_S = 0.3

# First wait after a failed read, doubled with each further one; half of the interval.
FIRST_BACKOFF_S = 0.25

# Longest wait after failed reads: an outage of the store should not outlast it by much.
MAX_BACKOFF_S = 1.0


@dataclass(slots=True)
class ReadingTurn:
    """Decides when one VM reads.

    Explanation
    ===========

    The VMs of a region are ranked. What the first of them reads reaches the others within
    milliseconds, so that they find their knowledge fresh and read nothing. If it stays away,
    for whatever reason, knowledge grows old everywhere and the VM of the next rank reads.
    No agreement is needed: two readers only cost a few calls.

    A VM that is behind a peer and cannot get the news from it reads at once.

    Examples
    ========

    >>> turn = ReadingTurn()
    >>> turn.wait_s(now=10.0, rank=0, confirmed_at=9.8)
    0.3
    >>> turn.wait_s(now=10.0, rank=1, confirmed_at=9.8)
    0.6
    >>> turn.failed(10.0)
    >>> turn.wait_s(now=10.0, rank=0, confirmed_at=0.0)
    0.25

    """

    failures: int = 0
    retry_at: float = 0.0

    @property
    def is_failing(self) -> bool:
        return self.failures > 0

    def wait_s(self, now: float, rank: int, confirmed_at: float) -> float:
        """Return the seconds until this VM should read, unless news arrives before.

        :param rank: number of VMs of the region that come before this one.
        :param confirmed_at: time as of which what is known was read by some VM.
        """
        due = confirmed_at + READ_INTERVAL_S + rank * RANK_STEP_S
        return round(max(0.0, due - now, self.retry_at - now), 6)

    def failed(self, now: float) -> None:
        """Note a failed read."""
        self.failures += 1
        self.retry_at = now + min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2.0 ** min(self.failures - 1, 8))

    def succeeded(self) -> None:
        """Note a complete read."""
        self.failures = 0
        self.retry_at = 0.0
